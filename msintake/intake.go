// Package msintake accepts jobs from callers and answers their status requests. It
// runs on every entry and depends only on the log: a job is accepted once its record
// is stored, and its state is read from a table that is built by replaying the records.
//
// No answer is contradicted later: a job is reported as not accepted only if its
// record can't have been stored, and as nonexistent only if the table includes all
// records that were stored before the request, and this entry has no append of it that may
// still be carried out. That of another entry may be: a cancel of a job that isn't stored
// is stored itself, and holds for a record that follows.
package msintake

import (
	"context"
	"time"

	"go.uber.org/zap"

	"marjoramspan/msclock"
	"marjoramspan/msjob"
	"marjoramspan/msjournal"
	"marjoramspan/mssite"
)

// Kind classifies errors by what they mean for the caller.
type Kind int

// The kinds of errors.
const (
	// NoQueue means that no queue is configured for the host and path.
	NoQueue Kind = iota
	// BadKey means that the key is missing or not valid.
	BadKey
	// NoJob means that the job doesn't exist in the queue.
	NoJob
	// NotReady means that the entry has no current configuration, or can't read from
	// or write to the log. A job was not accepted.
	NotReady
	// Overloaded means that the job was not accepted because it would end too late.
	Overloaded
	// OutcomeUnknown means that the job may or may not have been accepted, or cancelled.
	OutcomeUnknown
	// Invalid means that the request is malformed.
	Invalid
	// TooLarge means that the job is larger than what can be stored.
	TooLarge
	// Withdrawn means that the job was canceled before it was handed in, and never runs.
	Withdrawn
)

// String returns the kind's name.
func (k Kind) String() string {
	return [...]string{"no-queue", "bad-key", "no-job", "not-ready", "overloaded", "unknown", "invalid", "too-large", "withdrawn"}[k]
}

// Error describes why a request was not carried out.
type Error struct {
	Kind   Kind
	Reason string
	// RetryAfter is the time after which the caller should retry, or 0 if not known.
	RetryAfter time.Duration
	Err        error
}

// Error returns the kind, the reason and the cause.
func (e *Error) Error() string {
	s := e.Kind.String()
	if e.Reason != "" {
		s += ": " + e.Reason
	}
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// orNil returns e as an error, which is nil if e is.
func (e *Error) orNil() error {
	if e == nil {
		return nil
	}
	return e
}

// Grant is the access that a request's path and key give.
type Grant struct {
	Queue mssite.Queue
	// Team is the team of the key. It is empty for an open queue if the request has
	// no valid key.
	Team string
	// Subpath is the path after the queue's prefix.
	Subpath string
	// Version is the version of the site from which the grant was derived.
	Version int64
}

const (
	// storeRetryAfter is the Retry-After while the log can't be read or written, as its
	// outages last seconds.
	storeRetryAfter = time.Second
	// appendTimeout bounds an append, after which its outcome is reported as unknown.
	appendTimeout = 2500 * time.Millisecond
)

// Intake serves the callers of one entry. Its fields must be set before use.
type Intake struct {
	Clock  msclock.Clock
	Logger *zap.Logger
	Sites  *mssite.Store
	Jobs   *msjob.Table
	// Journal follows the stream of job records, Writer appends to it.
	Journal *msjournal.Follower
	Writer  *msjournal.Writer
	// Streams, if set, has the additional streams for jobs and cancels. The Writer and the
	// Jobs are the same.
	Streams *Streams
	// SiteCurrent returns when the site was last confirmed to be the newest.
	SiteCurrent func() time.Time
	// Operators, if set, follows the operators' records that Sites holds. Requests are then
	// refused by a current site only.
	Operators *msjournal.Follower
	// RollbackSlack is how much later than a request that a site has allowed another one may
	// still be handled by an older site. It is defaultRollbackSlack if 0.
	RollbackSlack time.Duration
	// SiteLimit is the time within which a new site has to be in force. It is defaultSiteLimit
	// if 0.
	SiteLimit time.Duration
	// LastStall, if set, returns when the process last stood still, or zero times.
	LastStall func() (began, ended time.Time)
	// ReadPause, if set, returns by how much the entry's reads of the log are slowed down.
	ReadPause func() time.Duration
	// SiteLease is the maximum time since then for keys to be accepted; 0 means no
	// maximum.
	SiteLease time.Duration
	// RecentWork has the work accepted since the load was published.
	RecentWork RecentWork
	// Metrics, if set, records requests and their outcomes.
	Metrics *Metrics

	unsettled unsettled
	reads     confirmingReads
	stall     stallVersion
}

// Submit stores a job and returns nil once it is stored. It also returns nil for a job
// that was accepted before.
func (in *Intake) Submit(ctx context.Context, g Grant, j *msjob.Job) error {
	if err := j.CheckNew(); err != nil {
		return &Error{Kind: Invalid, Err: err}
	}
	if _, ok := in.Jobs.Job(j.ID); ok {
		return nil
	}
	if in.Jobs.Withdrawn(j.ID, g.withdrawal()) {
		// A request that was repeated or held up may arrive after the cancel.
		return &Error{Kind: Withdrawn, Reason: "the job was canceled before"}
	}
	// An earlier request with the job may have been passed on already.
	repeated := in.unsettled.has(j.ID, in.Clock.Now())
	if !repeated && in.Writer.Failing() && in.journalAge() > logOutageAge {
		return &Error{Kind: NotReady, Reason: "the log does not answer", RetryAfter: storeRetryAfter}
	}
	j.Queue, j.Host, j.Prefix = g.Queue.Name, g.Queue.Host, g.Queue.Prefix
	j.Pool, j.Team, j.SiteVersion = g.Queue.Pool, g.Team, g.Version
	j.Priority, j.Attempts = g.Queue.Priority, g.Queue.Attempts
	j.Stretch, j.Slack = g.Queue.Stretch, g.Queue.Slack
	j.Accepted = in.Clock.Now().UTC()
	if wait, ok := admit(j, in.Jobs.Load(), in.RecentWork.Work(j.Pool, in.Clock.Now())); !ok && !repeated {
		// The job may have been accepted before, through another entry.
		_, known, err := in.lookUp(ctx, j.ID)
		if err != nil {
			return &Error{Kind: OutcomeUnknown, Reason: "the job may have been accepted before", Err: err}
		}
		if known {
			return nil
		}
		return &Error{Kind: Overloaded, Reason: "the pool's backlog leaves no time for the job", RetryAfter: wait}
	}
	return in.storeJob(ctx, j)
}

// logOutageAge is the age of the job table above which the log is regarded as
// unreachable. While the log responds, reads end within two seconds.
const logOutageAge = 2500 * time.Millisecond

// journalAge returns the time since the job table was last known to be current.
func (in *Intake) journalAge() time.Duration {
	return in.Clock.Now().Sub(in.Journal.CurrentAsOf())
}

// storeJob appends the record of a job and waits until it is stored.
func (in *Intake) storeJob(ctx context.Context, j *msjob.Job) error {
	r, err := msjob.JobRecord(j)
	if err != nil {
		return &Error{Kind: Invalid, Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	in.unsettled.begin(j.ID, in.Clock.Now())
	err = in.append(ctx, j.ID, []msjournal.Record{{Key: r.Key, Value: r.Value}})
	in.unsettled.end(j.ID, isSettled(err), in.Clock.Now())
	if err == nil {
		in.RecentWork.Add(j, in.Clock.Now())
		return nil
	}
	return in.appendError(j.ID, err)
}

// isSettled reports whether the error of an append, or nil, says whether the records are
// stored.
func isSettled(err error) bool {
	kind := msjournal.KindOf(err)
	return err == nil || kind == msjournal.Rejected || kind == msjournal.Invalid
}

// appendError returns the error for the caller after a failed append of a job's record,
// or nil if the table shows that the job was stored nevertheless.
func (in *Intake) appendError(id string, err error) error {
	if _, ok := in.Jobs.Job(id); ok {
		return nil
	}
	if in.unsettled.has(id, in.Clock.Now()) {
		return &Error{Kind: OutcomeUnknown, Reason: "the record may have been stored", Err: err}
	}
	return storeError(err)
}

// storeError returns the error for the caller after a failed append.
func storeError(err error) error {
	switch msjournal.KindOf(err) {
	case msjournal.Invalid:
		return &Error{Kind: TooLarge, Reason: "the log never takes the record", Err: err}
	case msjournal.Rejected:
		return &Error{Kind: NotReady, Reason: "the log does not take records", RetryAfter: storeRetryAfter, Err: err}
	case msjournal.Unknown, msjournal.Conflict, msjournal.Fenced, msjournal.OutOfSequence, msjournal.Expired:
	}
	return &Error{Kind: OutcomeUnknown, Reason: "the record may have been stored", Err: err}
}

// find returns a job, and whether it is known. If the table doesn't have the job, it first
// reads all records from the log that were stored until now, since another entry may have
// accepted the job.
func (in *Intake) find(ctx context.Context, id string) (msjob.TableEntry, bool, error) {
	if e, ok := in.Jobs.Job(id); ok {
		return e, true, nil
	}
	e, known, err := in.lookUp(ctx, id)
	if err != nil {
		return e, false, &Error{Kind: NotReady, Reason: "the log can't be read", RetryAfter: storeRetryAfter, Err: err}
	}
	return e, known, nil
}

// covers reports whether a job belongs to the queue and the team of the grant.
func (g Grant) covers(j *msjob.Job) bool {
	return g.withdrawal().Covers(j)
}

func (g Grant) withdrawal() msjob.Withdrawal {
	return msjob.Withdrawal{Queue: g.Queue.Name, Host: g.Queue.Host, Prefix: g.Queue.Prefix, Team: g.Team}
}

func errNoJob() error {
	return &Error{Kind: NoJob, Reason: "no such job in the queue"}
}

// Status returns the state of a job of the queue.
func (in *Intake) Status(ctx context.Context, g Grant, id string) (msjob.State, error) {
	e, known, err := in.find(ctx, id)
	switch {
	case err != nil:
		return 0, err
	case known && g.covers(e.Job):
		return e.State(), nil
	case !known && in.unsettled.has(id, in.Clock.Now()):
		return 0, &Error{Kind: NotReady, Reason: "the job may still be stored", RetryAfter: storeRetryAfter}
	}
	return 0, errNoJob()
}

// Cancel cancels a job and returns nil once the cancellation is stored. It also returns
// nil for a job that has ended or was cancelled before. An error of kind NoJob means that the
// job doesn't exist and won't run, even if an append of it is still carried out.
func (in *Intake) Cancel(ctx context.Context, g Grant, id string) error {
	e, known, err := in.find(ctx, id)
	switch {
	case err != nil:
		return err
	case !known:
		return in.withdraw(ctx, g, id)
	case !g.covers(e.Job):
		return errNoJob()
	case e.Canceled || e.State().Final():
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	r := msjob.CancelRecord(id, in.Clock.Now())
	if err := in.append(ctx, id, []msjournal.Record{{Key: r.Key, Value: r.Value}}); err != nil {
		return storeError(err)
	}
	return nil
}

// maxWithdrawals limits the cancels of unknown jobs that are kept, as every entry holds them
// in memory.
const maxWithdrawals = 10_000

// withdraw cancels a job that isn't stored: another entry's append of it may still be carried
// out.
func (in *Intake) withdraw(ctx context.Context, g Grant, id string) error {
	w := g.withdrawal()
	if in.Jobs.Withdrawn(id, w) {
		return errNoJob()
	}
	if in.Jobs.WithdrawalCount() >= maxWithdrawals {
		return &Error{Kind: NotReady, Reason: "too many cancels of unknown jobs", RetryAfter: storeRetryAfter}
	}
	r, err := msjob.WithdrawalRecord(id, w)
	if err != nil {
		return &Error{Kind: Invalid, Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if err := in.Writer.Append(ctx, []msjournal.Record{{Key: r.Key, Value: r.Value}}); err != nil {
		return storeError(err)
	}
	e, known, err := in.lookUp(ctx, id)
	if err != nil || known && g.covers(e.Job) {
		// The job is canceled, whether it was stored in the meantime or not.
		return nil
	}
	in.Logger.Info("cancel of an unknown job stored", zap.String("job", id), zap.String("queue", w.Queue))
	return errNoJob()
}

// Pending returns the number of jobs of the queue that have no task started.
func (in *Intake) Pending(g Grant) int {
	return in.Jobs.CountQueued(g.Queue.ID())
}
