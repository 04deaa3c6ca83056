package mslog

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"marjoramspan/msclock"
)

const (
	// DefaultMaxBatch is the default limit on the number of records per
	// append.
	DefaultMaxBatch = 256
	// maxBatchBytes limits the record data of one append. A single larger
	// record is sent alone.
	maxBatchBytes = 4 << 20
)

// ErrStopped is the cause of an Add that fails because the Batcher's Run has
// ended.
var ErrStopped = errors.New("batcher stopped")

// Batcher groups records from concurrent callers into batches and appends them
// to one stream, one batch at a time. Run sends the batches; Add is safe for
// concurrent use. As with Appender, a record may appear in the stream twice
// after a timeout, and readers use the first record of each id.
type Batcher struct {
	Client *Client
	// Clock times the batch delay and the backoff. The default is the
	// client's.
	Clock msclock.Clock
	// Jitter returns numbers from [0, 1) that randomize the backoff after
	// errors.
	Jitter func() float64
	Stream string
	// MaxBatch is the maximum number of records per append. The default is
	// DefaultMaxBatch.
	MaxBatch int
	// MaxDelay is how long a batch waits for more records. With zero, a batch
	// is sent as soon as it holds a record.
	MaxDelay time.Duration

	mu      sync.Mutex
	queue   []*pending
	stopped bool
	// wake is signaled when queue grows.
	wake chan struct{}
	// end is a lower bound for the offset of every pending record. Only Run
	// uses end and endKnown.
	end      uint64
	endKnown bool
}

// pending is a record whose Add has not returned.
type pending struct {
	record Record
	done   chan outcome
	// outcomeUnknown reports whether an append of the record got no response,
	// and abandoned whether Add has returned early. Batcher.mu guards both,
	// and inFlight.
	outcomeUnknown bool
	abandoned      bool
	inFlight       bool
}

// outcome is the result of an Add.
type outcome struct {
	record Record
	err    error
}

// Add appends r with the next batch and returns it with its offset but without
// its time. While the log is unavailable, Add blocks until ctx ends. An error
// of Kind Unknown means that r may already be in the stream or may still be
// added.
func (b *Batcher) Add(ctx context.Context, r Record) (Record, error) {
	if r.ID == "" || !json.Valid(r.Data) {
		return Record{}, b.newError(Refused, errors.New("record requires an id and valid JSON data"))
	}
	p := &pending{record: r, done: make(chan outcome, 1)}
	if !b.enqueue(p) {
		return Record{}, b.newError(Unavailable, ErrStopped)
	}
	select {
	case o := <-p.done:
		return o.record, o.err
	case <-ctx.Done():
		return b.cancelAdd(p, context.Cause(ctx))
	}
}

// Run appends batches until ctx is done, and then returns nil.
func (b *Batcher) Run(ctx context.Context) error {
	b.markRunning()
	defer b.shutdown()
	clock := clockOrDefault(b.Clock, b.Client)
	pause := backoff{clock: clock, jitter: b.Jitter}
	for b.awaitBatch(ctx, clock) {
		err := b.flush(ctx)
		if err == nil {
			pause.reset()
			continue
		}
		if pause.wait(ctx) != nil {
			return nil
		}
	}
	return nil
}

// flush appends one batch. If the append gets no response, flush determines
// which records took effect.
func (b *Batcher) flush(ctx context.Context) error {
	if !b.endKnown {
		return b.fetchEnd(ctx)
	}
	batch := b.dequeueBatch()
	if len(batch) == 0 {
		return nil
	}
	rs := make([]Record, 0, len(batch))
	for _, p := range batch {
		rs = append(rs, p.record)
	}
	first, err := b.Client.Append(ctx, b.Stream, rs)
	if err == nil {
		b.end = first + uint64(len(batch))
		b.completeWithOffsets(batch, first)
		return nil
	}
	switch KindOf(err) {
	case Unknown:
		return b.resolveUnknown(ctx, batch, err)
	case Refused:
		b.completeWithError(batch, Refused, err)
	default:
		b.requeue(batch)
	}
	return err
}

// fetchEnd reads the end of the stream before the first append.
func (b *Batcher) fetchEnd(ctx context.Context) error {
	p, err := b.Client.Read(ctx, Query{Stream: b.Stream, Max: 1})
	if err != nil && KindOf(err) != Expired {
		return err
	}
	b.end = p.End
	b.endKnown = true
	return nil
}

// resolveUnknown searches the stream for the records of a batch whose append
// got no response, and retries until a search succeeds or ctx ends. Records
// that are missing go back into the queue.
func (b *Batcher) resolveUnknown(ctx context.Context, batch []*pending, cause error) error {
	ids := make(map[string]bool, len(batch))
	for _, p := range batch {
		ids[p.record.ID] = true
	}
	b.markOutcomeUnknown(batch)
	pause := backoff{clock: clockOrDefault(b.Clock, b.Client), jitter: b.Jitter}
	for {
		s, err := b.Client.findRecords(ctx, b.Stream, b.end, ids)
		if err == nil {
			b.completeFound(batch, s, cause)
			return cause
		}
		if pause.wait(ctx) != nil {
			b.completeWithError(batch, Unknown, cause)
			return cause
		}
	}
}

// completeFound completes the Adds whose records the search found and requeues
// the rest. If records expired before the search read them, the outcome of the
// missing records is unknown.
func (b *Batcher) completeFound(batch []*pending, s searchResult, cause error) {
	var missing []*pending
	for _, p := range batch {
		r, found := s.records[p.record.ID]
		if found {
			p.done <- outcome{record: r}
			continue
		}
		missing = append(missing, p)
	}
	b.end = s.end
	if s.gap {
		b.completeWithError(missing, Unknown, errors.Join(ErrGap, cause))
		return
	}
	b.requeue(missing)
}

func (b *Batcher) completeWithOffsets(batch []*pending, first uint64) {
	for i, p := range batch {
		r := p.record
		r.Offset = first + uint64(i)
		p.done <- outcome{record: r}
	}
}

func (b *Batcher) completeWithError(batch []*pending, k Kind, err error) {
	for _, p := range batch {
		kind := k
		if p.outcomeUnknown {
			kind = Unknown
		}
		p.done <- outcome{err: b.newError(kind, err)}
	}
}

func (b *Batcher) newError(k Kind, err error) *Error {
	return &Error{Op: "batch", Stream: b.Stream, Kind: k, Err: err}
}

func (b *Batcher) maxBatch() int {
	if b.MaxBatch <= 0 {
		return DefaultMaxBatch
	}
	return b.MaxBatch
}
