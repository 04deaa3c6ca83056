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
	// DefaultMaxBatch is the most records of one append.
	DefaultMaxBatch = 256
	// maxBatchBytes bounds the data of one append.
	maxBatchBytes = 4 << 20
)

// ErrStopped is the cause when a Batcher's Run has ended.
var ErrStopped = errors.New("the batcher has stopped")

// Batcher appends the records of many callers to one stream in common batches,
// one batch at a time. Run does the work; Add may be called from anywhere. As
// with Appender, a record may stand in the stream twice after a timeout, and
// readers take the first of each id.
type Batcher struct {
	Client *Client
	// Clock times delays and pauses. The default is the client's.
	Clock msclock.Clock
	// Jitter returns numbers from [0, 1) that spread the pauses after errors.
	Jitter func() float64
	Stream string
	// MaxBatch is the most records of one append. The default is
	// DefaultMaxBatch.
	MaxBatch int
	// MaxDelay is how long a batch waits for more records. Zero sends what is
	// there.
	MaxDelay time.Duration

	mu      sync.Mutex
	queue   []*pending
	stopped bool
	// wake is signalled when queue grows.
	wake chan struct{}
	// end is an offset before which no pending record can stand. It belongs to
	// Run, as does known.
	end   uint64
	known bool
}

// pending is a record whose Add waits.
type pending struct {
	record Record
	done   chan outcome
	// unknown says that an append of the record had no answer. It is guarded by
	// Batcher.mu, as is gone, which says that the Add has left.
	unknown bool
	gone    bool
	sent    bool
}

// outcome is the answer to an Add.
type outcome struct {
	record Record
	err    error
}

// Add appends r with the next batch and returns it with its offset, without
// its time. While the log is down it waits for ctx to end. An error of Kind
// Unknown means that r may stand in the stream, or may yet.
func (b *Batcher) Add(ctx context.Context, r Record) (Record, error) {
	if r.ID == "" || !json.Valid(r.Data) {
		return Record{}, b.fail(Refused, errors.New("a record needs an id and JSON data"))
	}
	p := &pending{record: r, done: make(chan outcome, 1)}
	if !b.enqueue(p) {
		return Record{}, b.fail(Unavailable, ErrStopped)
	}
	select {
	case o := <-p.done:
		return o.record, o.err
	case <-ctx.Done():
		return b.leave(p, context.Cause(ctx))
	}
}

// Run appends batches until ctx is done, and then returns nil.
func (b *Batcher) Run(ctx context.Context) error {
	b.open()
	defer b.close()
	clock := clockOr(b.Clock, b.Client)
	pause := backoff{clock: clock, jitter: b.Jitter}
	for b.await(ctx, clock) {
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

// flush appends one batch, or settles what became of it.
func (b *Batcher) flush(ctx context.Context) error {
	if !b.known {
		return b.learnEnd(ctx)
	}
	batch := b.take()
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
		b.acknowledge(batch, first)
		return nil
	}
	switch KindOf(err) {
	case Unknown:
		return b.settle(ctx, batch, err)
	case Refused:
		b.reject(batch, Refused, err)
	default:
		b.requeue(batch)
	}
	return err
}

// learnEnd reads where the stream ends before the first append.
func (b *Batcher) learnEnd(ctx context.Context) error {
	p, err := b.Client.Read(ctx, Query{Stream: b.Stream, Max: 1})
	if err != nil && KindOf(err) != Expired {
		return err
	}
	b.end = p.End
	b.known = true
	return nil
}

// settle looks for the records of a batch whose append had no answer, until
// the platform tells. Those that are not there go back into the queue.
func (b *Batcher) settle(ctx context.Context, batch []*pending, cause error) error {
	ids := make(map[string]bool, len(batch))
	for _, p := range batch {
		ids[p.record.ID] = true
	}
	b.doubt(batch)
	pause := backoff{clock: clockOr(b.Clock, b.Client), jitter: b.Jitter}
	for {
		s, err := b.Client.find(ctx, b.Stream, b.end, ids)
		if err == nil {
			b.sort(batch, s, cause)
			return cause
		}
		if pause.wait(ctx) != nil {
			b.reject(batch, Unknown, cause)
			return cause
		}
	}
}

// sort answers the records that a look has found, and puts back the others.
// Where the look had a gap, nothing is known of them.
func (b *Batcher) sort(batch []*pending, s search, cause error) {
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
		b.reject(missing, Unknown, errors.Join(ErrGap, cause))
		return
	}
	b.requeue(missing)
}

func (b *Batcher) acknowledge(batch []*pending, first uint64) {
	for i, p := range batch {
		r := p.record
		r.Offset = first + uint64(i)
		p.done <- outcome{record: r}
	}
}

func (b *Batcher) reject(batch []*pending, k Kind, err error) {
	for _, p := range batch {
		kind := k
		if p.unknown {
			kind = Unknown
		}
		p.done <- outcome{err: b.fail(kind, err)}
	}
}

func (b *Batcher) fail(k Kind, err error) *Error {
	return &Error{Op: "batch", Stream: b.Stream, Kind: k, Err: err}
}

func (b *Batcher) maxBatch() int {
	if b.MaxBatch <= 0 {
		return DefaultMaxBatch
	}
	return b.MaxBatch
}
