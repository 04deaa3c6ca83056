package mslog

import (
	"context"
	"errors"
	"time"

	"marjoramspan/msclock"
)

// DefaultWait is the default wait of a Tail's long polls. While the platform
// responds, Proof is called at least this often once the tail has caught up.
const DefaultWait = 500 * time.Millisecond

// Tail follows a stream. Run calls all callbacks sequentially. Callbacks may
// be nil.
type Tail struct {
	Client *Client
	// Clock times reads and backoff. The default is the client's.
	Clock msclock.Clock
	// Jitter returns numbers from [0, 1) that randomize the backoff after
	// errors.
	Jitter func() float64
	Stream string
	// From is the offset of the next record. Run advances it; while Run is
	// active, only Expired may set it.
	From uint64
	// Max is the maximum number of records per read. Zero selects the
	// platform's default.
	Max int
	// Wait limits the wait of a long poll. The default is DefaultWait.
	Wait time.Duration
	// Apply is called exactly once for each record, in order.
	Apply func(r Record)
	// Proof is called when all records before end have been applied, where end
	// was the end of the stream at some time not before start.
	Proof func(start time.Time, end uint64)
	// Failed is called when a read fails.
	Failed func(err error)
	// Expired is called when the records from From on are no longer retained;
	// first is the oldest retained offset. Run continues from the From that
	// Expired sets. If Expired leaves From unchanged, Run retries after a
	// backoff.
	Expired func(first uint64)
}

// Run follows the stream until ctx is done, and then returns nil.
func (t *Tail) Run(ctx context.Context) error {
	clock := clockOrDefault(t.Clock, t.Client)
	pause := backoff{clock: clock, jitter: t.Jitter}
	for ctx.Err() == nil {
		start := clock.Now()
		p, err := t.Client.Read(ctx, Query{Stream: t.Stream, From: t.From, Max: t.Max, Wait: t.wait()})
		if ctx.Err() != nil {
			return nil
		}
		if err == nil {
			pause.reset()
			t.applyPage(p, start)
			continue
		}
		if t.handleReadError(err) {
			continue
		}
		if pause.wait(ctx) != nil {
			return nil
		}
	}
	return nil
}

// applyPage applies the records of p, and calls Proof if p reached the end of
// the stream.
func (t *Tail) applyPage(p Page, start time.Time) {
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

// handleReadError reports err and returns whether the next read can follow
// without a backoff.
func (t *Tail) handleReadError(err error) bool {
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
