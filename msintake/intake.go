// Package msintake takes jobs from callers and answers what becomes of them. It
// runs on every entry and needs only the log: a job is accepted once its record
// is stored, and its state is read from the fold of the records.
//
// Every answer is true for good: "not accepted" is said only where nothing can
// have been stored, and "no such job" only where the fold has all that was stored
// before the question.
package msintake

import (
	"context"
	"strconv"
	"time"

	"go.uber.org/zap"

	"marjoramspan/msclock"
	"marjoramspan/msjob"
	"marjoramspan/msjournal"
	"marjoramspan/mssite"
)

// Kind says what an error means for the caller.
type Kind int

// The kinds of errors.
const (
	// NoQueue means that no queue has the host and path.
	NoQueue Kind = iota
	// BadKey means that the key isn't one in force.
	BadKey
	// NoJob means that the queue has no such job.
	NoJob
	// NotReady means that the entry can't know what is in force or can't store; a
	// job was not accepted.
	NotReady
	// Overloaded means that the job was not accepted as it could not be in time.
	Overloaded
	// Unknown leaves open whether the job was accepted.
	Unknown
	// Invalid requests can't be read.
	Invalid
)

// String returns the kind's name.
func (k Kind) String() string {
	return [...]string{"no-queue", "bad-key", "no-job", "not-ready", "overloaded", "unknown", "invalid"}[k]
}

// Error is a request that was not carried out.
type Error struct {
	Kind   Kind
	Reason string
	// RetryAfter is when it is worth to come back; 0 is not said.
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

// Grant is what a caller's key and path entitle to.
type Grant struct {
	Queue mssite.Queue
	// Team is empty on a queue open to all that was called without a key.
	Team string
	// Rest is the path behind the queue's prefix.
	Rest string
	// Version is that of the site that decided.
	Version int64
}

const (
	// storeRetry is the Retry-After where the log does not take records; its
	// disturbances last seconds.
	storeRetry = time.Second
	// unknownTimeout bounds the wait for a record whose outcome is open.
	unknownTimeout = 2500 * time.Millisecond
)

// Intake serves callers on one entry. Its fields are set before use.
type Intake struct {
	Clock  msclock.Clock
	Logger *zap.Logger
	Sites  *mssite.Holder
	Jobs   *msjob.Table
	// Journal follows the records of jobs, Writer appends them.
	Journal *msjournal.Follower
	Writer  *msjournal.Writer
	// SiteCurrent returns when the site was last known to be the newest.
	SiteCurrent func() time.Time
	// SiteLease is how old that may be for a key to count; 0 is any age.
	SiteLease time.Duration
	// Recent counts the jobs accepted since the load was published.
	Recent Recent
	// Metrics, if set, counts outcomes.
	Metrics *Metrics
}

// Grant finds the queue and checks the key.
func (in *Intake) Grant(host, path, key string) (Grant, error) {
	site := in.Sites.Site()
	if site == nil {
		return Grant{}, &Error{Kind: NotReady, Reason: "no site has been read", RetryAfter: storeRetry}
	}
	q, rest := site.Queue(host, path)
	if q == nil {
		return Grant{}, &Error{Kind: NoQueue, Reason: "no queue at this host and path in version " + strconv.FormatInt(site.Version, 10)}
	}
	g := Grant{Queue: *q, Rest: rest, Version: site.Version, Team: site.Keys[key]}
	if q.Open {
		return g, nil
	}
	age := in.Clock.Now().Sub(in.SiteCurrent())
	if in.SiteLease > 0 && age > in.SiteLease {
		return g, &Error{Kind: NotReady, Reason: "keys were last confirmed " + age.Round(time.Millisecond).String() + " ago", RetryAfter: storeRetry}
	}
	if key == "" || g.Team == "" {
		return g, &Error{Kind: BadKey, Reason: "the key is not in version " + strconv.FormatInt(site.Version, 10)}
	}
	return g, nil
}

// Submit stores a job and returns nil once it is stored. A job that is known is
// accepted again.
func (in *Intake) Submit(ctx context.Context, g Grant, j *msjob.Job) error {
	if err := j.Check(); err != nil {
		return &Error{Kind: Invalid, Err: err}
	}
	if _, ok := in.Jobs.Job(j.ID); ok {
		return nil
	}
	if in.Writer.Failing() && in.journalAge() > storeOutage {
		return &Error{Kind: NotReady, Reason: "the log does not answer", RetryAfter: storeRetry}
	}
	j.Queue, j.Pool, j.Team = g.Queue.Name, g.Queue.Pool, g.Team
	j.Priority, j.Attempts = g.Queue.Priority, g.Queue.Attempts
	j.Stretch, j.Slack = g.Queue.Stretch, g.Queue.Slack
	j.Accepted = in.Clock.Now().UTC()
	if wait, ok := admit(j, in.Jobs.Load(), in.Recent.Work(j.Pool, in.Clock.Now())); !ok {
		// The job may have been accepted before, through another entry.
		if err := in.Journal.Sync(ctx); err == nil {
			if _, known := in.Jobs.Job(j.ID); known {
				return nil
			}
		}
		return &Error{Kind: Overloaded, Reason: "the pool's backlog leaves no time for the job", RetryAfter: wait}
	}
	return in.store(ctx, j)
}

// storeOutage is how old the fold of the jobs is when the log counts as out of
// reach; reads end within two seconds while it answers.
const storeOutage = 2500 * time.Millisecond

func (in *Intake) journalAge() time.Duration {
	return in.Clock.Now().Sub(in.Journal.Current())
}

func (in *Intake) store(ctx context.Context, j *msjob.Job) error {
	r, err := msjob.JobRecord(j)
	if err != nil {
		return &Error{Kind: Invalid, Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, unknownTimeout)
	defer cancel()
	err = in.Writer.Append(ctx, []msjournal.Record{{Key: r.Key, Value: r.Value}})
	if err == nil {
		in.Recent.Add(j, in.Clock.Now())
		return nil
	}
	return in.unstored(j.ID, err)
}

// unstored says what an append that failed means for the caller.
func (in *Intake) unstored(id string, err error) error {
	if _, ok := in.Jobs.Job(id); ok {
		return nil
	}
	if msjournal.KindOf(err) == msjournal.Rejected {
		return &Error{Kind: NotReady, Reason: "the log does not take records", RetryAfter: storeRetry, Err: err}
	}
	return &Error{Kind: Unknown, Reason: "the record may be stored", Err: err}
}

// find returns a job of the queue and team. A job that isn't known is looked for
// in the log.
func (in *Intake) find(ctx context.Context, g Grant, id string) (msjob.Entry, error) {
	e, ok := in.Jobs.Job(id)
	if !ok {
		if err := in.Journal.Sync(ctx); err != nil {
			return e, &Error{Kind: NotReady, Reason: "the log can't be read", RetryAfter: storeRetry, Err: err}
		}
		e, ok = in.Jobs.Job(id)
	}
	if !ok || e.Job.Queue != g.Queue.Name || (e.Job.Team != "" && g.Team != "" && e.Job.Team != g.Team) {
		return e, &Error{Kind: NoJob, Reason: "no such job in the queue"}
	}
	return e, nil
}

// Status returns a job's state.
func (in *Intake) Status(ctx context.Context, g Grant, id string) (msjob.State, error) {
	e, err := in.find(ctx, g, id)
	if err != nil {
		return 0, err
	}
	return e.State(), nil
}

// Cancel returns nil once it is stored that the job is cancelled.
func (in *Intake) Cancel(ctx context.Context, g Grant, id string) error {
	e, err := in.find(ctx, g, id)
	if err != nil {
		return err
	}
	if e.Canceled || e.State().Final() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, unknownTimeout)
	defer cancel()
	r := msjob.CancelRecord(id)
	if err := in.Writer.Append(ctx, []msjournal.Record{{Key: r.Key, Value: r.Value}}); err != nil {
		if msjournal.KindOf(err) == msjournal.Rejected {
			return &Error{Kind: NotReady, Reason: "the log does not take records", RetryAfter: storeRetry, Err: err}
		}
		return &Error{Kind: Unknown, Reason: "the record may be stored", Err: err}
	}
	return nil
}

// Pending returns how many jobs of the queue have no task started.
func (in *Intake) Pending(g Grant) int {
	return in.Jobs.Pending(g.Queue.Name)
}
