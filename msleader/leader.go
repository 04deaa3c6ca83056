// Package msleader elects the one entry that schedules.
//
// The leader renews a record on a stream of the log by appends that succeed only
// where nobody else has appended since. An entry that has seen no renewal for a
// TTL appends its own; the offset of that record makes the epoch, so epochs rise
// for as long as the log lives, whoever restarts. Time is read from a clock that
// counts suspension, and a leader counts its TTL from when it sent the renewal,
// so two entries never hold a valid term at a time.
package msleader

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"marjoramspan/msclock"
	"marjoramspan/msjournal"
)

const (
	// ttl is how long a term is valid after its newest renewal. A leader that
	// died is replaced after it; the log may take 300 ms for an answer and lose
	// some, and three renewals fit in.
	ttl = 1600 * time.Millisecond
	// renewEvery is the time between two renewals.
	renewEvery = 500 * time.Millisecond
	// margin ends the term early on the leader's own clock.
	margin = 100 * time.Millisecond
	// callTimeout bounds one call of the log.
	callTimeout = 500 * time.Millisecond
	// readWait is how long a follower's read waits for a record.
	readWait = 800 * time.Millisecond
	// retryPause is the pause after a call that failed; it doubles up to
	// maxRetryPause.
	retryPause    = 80 * time.Millisecond
	maxRetryPause = 640 * time.Millisecond
	// spread is the most by which candidates differ by chance in when they stand.
	spread = 20 * time.Millisecond

	termKey = "term"
)

// Term is one entry's time as the leader.
type Term struct {
	// Epoch is higher than that of every term before. It is the fencing token of
	// all that is ordered in the term.
	Epoch int64
	// Clean says that the leader before has given up its term, after which it
	// ordered nothing.
	Clean bool

	l *Leader
}

// Valid says whether no other entry can hold a term now.
func (t Term) Valid() bool {
	t.l.mu.Lock()
	defer t.l.mu.Unlock()
	return t.l.epoch == t.Epoch && t.l.Clock.Now().Before(t.l.deadline)
}

// Lapsed returns how long ago the term was last valid; 0 while it is.
func (t Term) Lapsed() time.Duration {
	t.l.mu.Lock()
	defer t.l.mu.Unlock()
	return max(0, t.l.Clock.Now().Sub(t.l.deadline))
}

// record is the value of the stream's one key.
type record struct {
	Holder string `json:"holder"`
	// Epoch is 0 in the record that begins a term.
	Epoch int64 `json:"epoch,omitempty"`
	// Serial tells a holder's records apart.
	Serial   int64 `json:"serial"`
	Released bool  `json:"released,omitempty"`
}

// Leader stands for election and leads. Its fields are set before Run.
type Leader struct {
	Log    msjournal.Log
	Clock  msclock.Clock
	Logger *zap.Logger
	Stream string
	// Holder is unique to this run of the process.
	Holder string
	// Jitter returns a number from 0 to 1.
	Jitter func() float64
	// Handicap, if set, returns how much longer than others the entry waits before it
	// stands.
	Handicap func() time.Duration
	// Lead runs for the time of a term and ends soon after ctx is done. Where it
	// returns first, the term is given up.
	Lead func(ctx context.Context, t Term) error

	mu       sync.Mutex
	epoch    int64
	deadline time.Time

	next     int64
	seen     time.Time
	released bool
	serial   int64
}

// Run takes part until ctx is done, then gives up its term.
func (l *Leader) Run(ctx context.Context) error {
	lost := false
	pause := retryPause
	for ctx.Err() == nil {
		err := l.load(ctx)
		if err == nil {
			if lost {
				l.Logger.Info("can read again who leads")
			}
			lost, pause = false, retryPause
			err = l.follow(ctx)
		}
		if err != nil && ctx.Err() == nil && !lost {
			l.Logger.Warn("can't read who leads", zap.Error(err))
			lost = true
		}
		_ = msclock.Sleep(ctx, l.Clock, pause)
		pause = min(2*pause, maxRetryPause)
	}
	return nil
}

func (l *Leader) load(ctx context.Context) error {
	rctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	p, err := l.Log.Newest(rctx, l.Stream, "")
	if err != nil {
		return err
	}
	l.next = p.End
	l.seen = l.Clock.Now()
	// A stream without a record has had no leader.
	l.released = len(p.Records) == 0
	for _, r := range p.Records {
		l.note(r)
	}
	return nil
}

func (l *Leader) note(r msjournal.Record) {
	var rec record
	if err := json.Unmarshal(r.Value, &rec); err != nil {
		l.Logger.Warn("a leader's record can't be read", zap.Error(err))
		return
	}
	l.released = rec.Released
}

// follow reads renewals and stands for election where they stay away.
func (l *Leader) follow(ctx context.Context) error {
	patience := ttl + l.delay()
	failing := false
	for ctx.Err() == nil {
		if l.released || l.Clock.Now().Sub(l.seen) >= patience {
			if l.released {
				_ = msclock.Sleep(ctx, l.Clock, l.delay())
			}
			if err := l.stand(ctx); err != nil {
				return err
			}
			continue
		}
		wait := min(readWait, patience-l.Clock.Now().Sub(l.seen))
		rctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
		b, err := l.Log.Read(rctx, l.Stream, l.next, max(wait, time.Millisecond))
		cancel()
		if err != nil {
			if msjournal.KindOf(err) == msjournal.Expired {
				return err
			}
			failing = true
			_ = msclock.Sleep(ctx, l.Clock, retryPause)
			continue
		}
		if failing {
			// The leader may have been unable to renew for the same reason.
			failing = false
			l.seen = l.Clock.Now()
		}
		for _, r := range b.Records {
			l.note(r)
			l.seen = l.Clock.Now()
		}
		l.next = max(l.next, b.Next)
	}
	return nil
}

// delay is how long the candidate waits once the term is free.
func (l *Leader) delay() time.Duration {
	d := time.Duration(l.Jitter() * float64(spread))
	if l.Handicap != nil {
		d += l.Handicap()
	}
	return d
}

// stand appends a record that begins a term, and leads if it is stored.
func (l *Leader) stand(ctx context.Context) error {
	clean := l.released
	off, sent, err := l.append(ctx, record{})
	if err != nil {
		l.seen, l.released = l.Clock.Now(), false
		if msjournal.KindOf(err) == msjournal.Conflict {
			return nil
		}
		return err
	}
	l.lead(ctx, off+1, sent, clean)
	return nil
}

// append appends rec where nobody else has appended, and returns its offset and
// when it was sent. A lost answer is made up for by reading what was stored.
func (l *Leader) append(ctx context.Context, rec record) (int64, time.Time, error) {
	l.serial++
	rec.Holder, rec.Serial = l.Holder, l.serial
	value, err := json.Marshal(rec)
	if err != nil {
		return 0, time.Time{}, err
	}
	at, sent := l.next, l.Clock.Now()
	actx, cancel := context.WithTimeout(ctx, callTimeout)
	off, err := l.Log.Append(actx, msjournal.Append{
		Stream: l.Stream, At: &at,
		Records: []msjournal.Record{{Key: termKey, Value: value}},
	})
	cancel()
	if err == nil {
		l.next = off + 1
		return off, sent, nil
	}
	if kind := msjournal.KindOf(err); kind != msjournal.Unknown && kind != msjournal.Conflict {
		return 0, sent, err
	}
	return l.find(ctx, rec, sent, err)
}

// find looks for rec among the records at the end of the stream.
func (l *Leader) find(ctx context.Context, rec record, sent time.Time, cause error) (int64, time.Time, error) {
	rctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	b, err := l.Log.Read(rctx, l.Stream, l.next, 0)
	if err != nil {
		return 0, sent, cause
	}
	others := false
	for i, r := range b.Records {
		var got record
		if json.Unmarshal(r.Value, &got) == nil && got.Holder == l.Holder && !others {
			l.next = b.From + int64(i) + 1
			if got.Serial == rec.Serial {
				return b.From + int64(i), sent, nil
			}
			// An earlier try was stored late. It renews from when it was sent, which
			// others count from, so this try is sent again behind it.
			continue
		}
		others = true
	}
	if others {
		l.next, l.seen = b.Next, l.Clock.Now()
		for _, r := range b.Records {
			l.note(r)
		}
		return 0, sent, &msjournal.Error{Kind: msjournal.Conflict, Op: "renew", Err: cause}
	}
	return 0, sent, cause
}

// lead runs Lead and renews the term until another entry has taken over.
func (l *Leader) lead(ctx context.Context, epoch int64, sent time.Time, clean bool) {
	l.mu.Lock()
	l.epoch, l.deadline = epoch, sent.Add(ttl-margin)
	l.mu.Unlock()
	l.Logger.Info("term begun", zap.Int64("epoch", epoch))
	lctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	ended := make(chan error, 1)
	go func() { ended <- l.Lead(lctx, Term{Epoch: epoch, Clean: clean, l: l}) }()
	reason, leading := l.renew(ctx, epoch, ended)
	cancel()
	if leading {
		if err := <-ended; err != nil {
			l.Logger.Info("scheduling ended", zap.Error(err))
		}
	}
	l.mu.Lock()
	l.epoch = 0
	l.mu.Unlock()
	l.Logger.Info("term ended", zap.Int64("epoch", epoch), zap.String("reason", reason))
	if reason != reasonReplaced {
		rctx, stop := context.WithTimeout(context.WithoutCancel(ctx), 2*callTimeout)
		defer stop()
		if _, _, err := l.append(rctx, record{Epoch: epoch, Released: true}); err != nil {
			l.Logger.Info("term not released", zap.Error(err))
		}
	}
	l.seen, l.released = l.Clock.Now(), false
}

// The reasons for which a term ends.
const (
	reasonReplaced = "replaced"
	reasonStopping = "stopping"
	reasonGivenUp  = "given up"
)

func (l *Leader) renew(ctx context.Context, epoch int64, ended <-chan error) (reason string, leading bool) {
	pause := renewEvery
	for {
		select {
		case <-ctx.Done():
			return reasonStopping, true
		case err := <-ended:
			if err != nil {
				l.Logger.Warn("scheduling ended", zap.Error(err))
			}
			return reasonGivenUp, false
		case <-l.Clock.After(pause):
		}
		_, sent, err := l.append(ctx, record{Epoch: epoch})
		switch {
		case err == nil:
			l.mu.Lock()
			l.deadline = sent.Add(ttl - margin)
			l.mu.Unlock()
			pause = renewEvery
		case msjournal.KindOf(err) == msjournal.Conflict:
			return reasonReplaced, true
		default:
			l.Logger.Warn("term not renewed", zap.Int64("epoch", epoch), zap.String("lapsed", strconv.FormatBool(!Term{Epoch: epoch, l: l}.Valid())), zap.Error(err))
			pause = retryPause
		}
	}
}
