package mslog

import (
	"context"
	"time"

	"marjoramspan/msclock"
)

// enqueue adds p to the queue. It returns false if Run has ended.
func (b *Batcher) enqueue(p *pending) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped {
		return false
	}
	b.queue = append(b.queue, p)
	b.wakeRun()
	return true
}

// wakeRun wakes Run. The caller must hold mu.
func (b *Batcher) wakeRun() {
	select {
	case b.wakeChannel() <- struct{}{}:
	default:
	}
}

// wakeChannel returns the channel that wakes Run. The caller must hold mu.
func (b *Batcher) wakeChannel() chan struct{} {
	if b.wake == nil {
		b.wake = make(chan struct{}, 1)
	}
	return b.wake
}

// awaitBatch blocks until a batch is ready to send. It returns false once ctx
// is done.
func (b *Batcher) awaitBatch(ctx context.Context, clock msclock.Clock) bool {
	var due <-chan time.Time
	for {
		b.mu.Lock()
		n, wake := len(b.queue), b.wakeChannel()
		b.mu.Unlock()
		if n >= b.maxBatch() || (n > 0 && b.MaxDelay <= 0) {
			return ctx.Err() == nil
		}
		if n > 0 && due == nil {
			due = clock.After(b.MaxDelay)
		}
		select {
		case <-wake:
		case <-due:
			return true
		case <-ctx.Done():
			return false
		}
	}
}

// dequeueBatch removes the next batch from the queue.
func (b *Batcher) dequeueBatch() []*pending {
	b.mu.Lock()
	defer b.mu.Unlock()
	n, size := 0, 0
	for n < len(b.queue) && n < b.maxBatch() {
		size += len(b.queue[n].record.Data)
		if n > 0 && size > maxBatchBytes {
			break
		}
		b.queue[n].inFlight = true
		n++
	}
	batch := append([]*pending(nil), b.queue[:n]...)
	b.queue = append([]*pending(nil), b.queue[n:]...)
	return batch
}

// requeue puts a batch that did not take effect back at the head of the queue,
// without the records whose Add has returned.
func (b *Batcher) requeue(batch []*pending) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var queue []*pending
	for _, p := range batch {
		p.inFlight = false
		if !p.abandoned {
			queue = append(queue, p)
		}
	}
	b.queue = append(queue, b.queue...)
	if len(b.queue) > 0 {
		b.wakeRun()
	}
}

// markOutcomeUnknown records that an append of the batch got no response.
func (b *Batcher) markOutcomeUnknown(batch []*pending) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range batch {
		p.outcomeUnknown = true
	}
}

// cancelAdd removes p from the queue after the context of its Add ended, and
// returns an error that tells whether p may have taken effect.
func (b *Batcher) cancelAdd(p *pending, cause error) (Record, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case o := <-p.done:
		return o.record, o.err
	default:
	}
	p.abandoned = true
	for i, q := range b.queue {
		if q == p {
			b.queue = append(b.queue[:i:i], b.queue[i+1:]...)
			break
		}
	}
	if p.inFlight || p.outcomeUnknown {
		return Record{}, b.newError(Unknown, cause)
	}
	return Record{}, b.newError(Unavailable, cause)
}

// markRunning makes Add accept records, also after an earlier Run has ended.
func (b *Batcher) markRunning() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = false
}

// shutdown fails every pending Add and rejects later ones.
func (b *Batcher) shutdown() {
	b.mu.Lock()
	queue := b.queue
	b.queue = nil
	b.stopped = true
	b.mu.Unlock()
	b.completeWithError(queue, Unavailable, ErrStopped)
}
