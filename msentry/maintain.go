package msentry

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"marjoramspan/msclock"
	"marjoramspan/mslog"
	"marjoramspan/msstate"
	"marjoramspan/mstoken"
)

const (
	// maxSnapshotRecords is the most state records between two snapshots.
	maxSnapshotRecords = 1000
	// maxSnapshotAge is the longest time between two snapshots: a log with limited
	// retention would drop the latest snapshot as well.
	maxSnapshotAge = time.Hour
)

// leasePollDivisor divides the lease into the longest duration of one long poll of the
// log, so that an entry gets several proofs before it counts itself as cut off.
const leasePollDivisor = 5

// appendChange appends a change to the state stream once, and returns it as read back.
func (e *Entry) appendChange(ctx context.Context, c msstate.Change) (mslog.Record, error) {
	r := mslog.Record{ID: uuid.NewString(), Data: c.Encode()}
	return e.appender.AppendOnce(ctx, StreamState, e.fold.next(), r)
}

func (e *Entry) author() string {
	return "entry " + e.id
}

// followState folds the state stream until ctx is done.
func (e *Entry) followState(ctx context.Context) error {
	failed := make(chan error, 1)
	t := &mslog.Tail{
		Client: e.logClient,
		Clock:  e.Clock,
		Jitter: e.random.Float64,
		Stream: StreamState,
		From:   e.fold.next(),
		Proof:  e.view.RecordLogRead,
		Wait:   e.Settings.Limits.Lease / leasePollDivisor,
	}
	t.Apply = func(r mslog.Record) {
		if err := e.fold.apply(r); err != nil {
			trySend(failed, err)
		}
	}
	t.Expired = func(first uint64) {
		trySend(failed, &msstate.Error{Op: "follow", Offset: first, Reason: "records expired before this entry had read them"})
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		select {
		case err := <-failed:
			cancel(err)
		case <-ctx.Done():
		}
	}()
	err := t.Run(ctx)
	if cause := context.Cause(ctx); cause != nil && !errors.Is(cause, context.Canceled) {
		return &Error{Op: "follow the state", Err: cause}
	}
	return err
}

func trySend(ch chan error, err error) {
	select {
	case ch <- err:
	default:
	}
}

// join adds the entry to the view.
func (e *Entry) join(ctx context.Context) error {
	set := e.Settings.Entry
	m := msstate.Member{
		ID:         e.id,
		Name:       set.Name,
		DataCentre: set.DataCentre,
		Rack:       set.Rack,
		Region:     set.Region,
		Peer:       set.Advertise,
		Caller:     set.Listen,
		Admin:      set.AdminListen,
	}
	c := msstate.NewChange(msstate.KindMemberJoin, e.author(), 0, msstate.MemberJoin{Member: m})
	r := mslog.Record{ID: uuid.NewString(), Data: c.Encode()}
	for {
		_, err := e.appender.AppendOnce(ctx, StreamState, e.fold.next(), r)
		if err == nil {
			return e.awaitJoin(ctx)
		}
		e.Log.Warn("can't join the view, retrying", zap.Error(err))
		if err := msclock.Sleep(ctx, e.Clock, bootRetryInterval); err != nil {
			return &Error{Op: "join", Err: err}
		}
	}
}

// joinPollInterval is the pause between two checks for the entry's own membership.
const joinPollInterval = 20 * time.Millisecond

func (e *Entry) awaitJoin(ctx context.Context) error {
	for {
		if _, ok := e.fold.tables().state.Member(e.id); ok {
			e.joined.Store(true)
			e.Log.Info("joined")
			return nil
		}
		if err := msclock.Sleep(ctx, e.Clock, joinPollInterval); err != nil {
			return &Error{Op: "join", Err: err}
		}
	}
}

// maintain maintains the view and the state stream, once per heartbeat interval, until
// ctx is done: it excludes silent members, settles lost ones, vouches for those that
// left no claim missing on the log, and writes snapshots.
func (e *Entry) maintain(ctx context.Context) error {
	for {
		if err := msclock.Sleep(ctx, e.Clock, e.Settings.Peers.Heartbeat); err != nil {
			return nil
		}
		now := e.now()
		if fresh, _ := e.view.Fresh(now); !fresh || e.view.IsCutOff(now) {
			continue
		}
		s := e.fold.tables().state
		e.excludeSilent(ctx, s, now)
		e.settleLost(ctx, s, now)
		e.vouch(ctx, s, now)
		e.snapshot(ctx, s, now)
	}
}

func (e *Entry) excludeSilent(ctx context.Context, s *msstate.State, now time.Time) {
	for _, id := range e.view.SilentMembers(now) {
		e.tryAppendChange(ctx, msstate.NewChange(msstate.KindMemberExclude, e.author(), s.Epoch, msstate.MemberEnd{ID: id}))
	}
}

// settleLost removes the lost members that can't run anything any more. One member has
// the duty; if it passes to another in the meantime, the second record is void.
func (e *Entry) settleLost(ctx context.Context, s *msstate.State, now time.Time) {
	for _, m := range s.Lost {
		since := e.firstSeenLost(m.ID, now)
		done := now.Sub(since) > e.Settings.Limits.Lease+e.Settings.Limits.MaxRun
		if done && e.hasDuty("settle/"+m.ID) {
			e.tryAppendChange(ctx, msstate.NewChange(msstate.KindMemberSettle, e.author(), s.Epoch, msstate.MemberEnd{ID: m.ID}))
		}
	}
}

func (e *Entry) vouch(ctx context.Context, s *msstate.State, now time.Time) {
	for _, u := range s.Unsure {
		if e.view.AllClaimsLogged(u.ID, now) && now.Sub(u.At) < e.Settings.Limits.IdempotencyWindow {
			e.tryAppendChange(ctx, msstate.NewChange(msstate.KindMemberVouch, e.author(), s.Epoch, msstate.MemberEnd{ID: u.ID}))
		}
	}
}

// snapshot appends the whole state, well before the records that it replaces expire.
// Concurrent snapshots are harmless.
func (e *Entry) snapshot(ctx context.Context, s *msstate.State, now time.Time) {
	due := s.Next >= s.SnapshotAt+maxSnapshotRecords || now.Sub(s.SnapshotTime) > maxSnapshotAge
	if !due || !e.hasDuty("snapshot") {
		return
	}
	e.tryAppendChange(ctx, msstate.NewSnapshot(s, e.author()))
}

func (e *Entry) tryAppendChange(ctx context.Context, c msstate.Change) {
	ctx, cancel := context.WithTimeout(ctx, e.Settings.Peers.ExcludeAfter)
	defer cancel()
	if _, err := e.appendChange(ctx, c); err != nil {
		e.Log.Warn("can't append state change", zap.String("kind", string(c.Kind)), zap.Error(err))
	}
}

// hasDuty reports whether a duty is assigned to this entry in the present view.
func (e *Entry) hasDuty(duty string) bool {
	s := e.fold.tables().state
	ids := make([]string, 0, len(s.Members))
	for _, m := range s.Members {
		ids = append(ids, m.ID)
	}
	return mstoken.Home(ids, "duty/"+duty) == e.id
}

// flushAccount appends the account reports periodically until ctx is done.
func (e *Entry) flushAccount(ctx context.Context) error {
	for {
		if err := msclock.Sleep(ctx, e.Clock, e.Settings.Account.Flush); err != nil {
			return nil
		}
		e.appendAccount(ctx, false)
	}
}

func (e *Entry) appendAccount(ctx context.Context, last bool) {
	ctx, cancel := context.WithTimeout(ctx, e.Settings.Account.Flush)
	defer cancel()
	reports := e.account.CutReport(e.now(), last)
	for _, r := range reports {
		data, err := json.Marshal(r)
		if err != nil {
			e.Log.Error("can't encode account report", zap.Error(err))
			return
		}
		// A report that is on the stream twice is counted once, by its sequence number.
		rec := mslog.Record{ID: uuid.NewString(), Data: data}
		if _, err := e.logClient.Append(ctx, StreamAccount, []mslog.Record{rec}); err != nil {
			e.Log.Warn("can't append account reports to the log", zap.Int("reports", len(reports)), zap.Error(err))
			return
		}
		e.account.ConfirmThrough(r.Seq)
	}
}
