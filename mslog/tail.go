package mslog

import (
	"context"
	"errors"
	"time"

	"marjoramspan/msclock"
)

// DefaultWait is how long a Tail lets the platform hold an answer. Proofs come
// at least this often while the platform answers.
const DefaultWait = 500 * time.Millisecond

// Tail follows a stream. All its functions are called from Run, one at a time,
// and nil ones are left out.
type Tail struct {
	Client *Client
	// Clock times reads and pauses. The default is the client's.
	Clock msclock.Clock
	// Jitter returns numbers from [0, 1) that spread the pauses after errors.
	Jitter func() float64
	Stream string
	// From is the offset of the next record. Run moves it; only Expired may set
	// it while Run runs.
	From uint64
	// Max is the most records of one read. Zero leaves it to the platform.
	Max int
	// Wait bounds a long poll. The default is DefaultWait.
	Wait time.Duration
	// Apply is given each record in order, exactly once.
	Apply func(r Record)
	// Proof is called when all records before end have been applied, where end
	// was the stream's end at some time not before start.
	Proof func(start time.Time, end uint64)
	// Failed is called when a read failed.
	Failed func(err error)
	// Expired is called when the records from From on are no longer kept, and
	// first is the oldest that is. Run goes on where it leaves From.
	Expired func(first uint64)
}

// Run follows the stream until ctx is done, and then returns nil.
func (t *Tail) Run(ctx context.Context) error {
	clock := clockOr(t.Clock, t.Client)
	pause := backoff{clock: clock, jitter: t.Jitter}
	for ctx.Err() == nil {
		start := clock.Now()
		p, err := t.Client.Read(ctx, Query{Stream: t.Stream, From: t.From, Max: t.Max, Wait: t.wait()})
		if ctx.Err() != nil {
			return nil
		}
		if err == nil {
			pause.reset()
			t.take(p, start)
			continue
		}
		if t.skip(err) {
			continue
		}
		if pause.wait(ctx) != nil {
			return nil
		}
	}
	return nil
}

// take applies the records of p, and proves the end if p reached it.
func (t *Tail) take(p Page, start time.Time) {
	for _, r := range p.Records {
		t.From = r.Offset + 1
		if t.Apply != nil {
			t.Apply(r)
		}
	}
	if t.From == p.End && t.Proof != nil {
		t.Proof(start, p.End)
	}
}

// skip reports err and says whether the stream can be read on at once.
func (t *Tail) skip(err error) bool {
	var e *Error
	if !errors.As(err, &e) || e.Kind != Expired {
		if t.Failed != nil {
			t.Failed(err)
		}
		return false
	}
	before := t.From
	if t.Expired != nil {
		t.Expired(e.First)
	}
	return t.From != before
}

func (t *Tail) wait() time.Duration {
	if t.Wait <= 0 {
		return DefaultWait
	}
	return t.Wait
}
