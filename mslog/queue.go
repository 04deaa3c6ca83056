package mslog

import (
	"context"
	"time"

	"marjoramspan/msclock"
)

// enqueue adds p to the queue, unless Run has ended.
func (b *Batcher) enqueue(p *pending) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped {
		return false
	}
	b.queue = append(b.queue, p)
	b.signal()
	return true
}

// signal wakes Run. The caller holds mu.
func (b *Batcher) signal() {
	select {
	case b.wakeup() <- struct{}{}:
	default:
	}
}

// wakeup returns the channel that wakes Run. The caller holds mu.
func (b *Batcher) wakeup() chan struct{} {
	if b.wake == nil {
		b.wake = make(chan struct{}, 1)
	}
	return b.wake
}

// await waits for a batch to be due, and returns false once ctx is done.
func (b *Batcher) await(ctx context.Context, clock msclock.Clock) bool {
	var due <-chan time.Time
	for {
		b.mu.Lock()
		n, wake := len(b.queue), b.wakeup()
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

// take removes the next batch from the queue.
func (b *Batcher) take() []*pending {
	b.mu.Lock()
	defer b.mu.Unlock()
	n, size := 0, 0
	for n < len(b.queue) && n < b.maxBatch() {
		size += len(b.queue[n].record.Data)
		if n > 0 && size > maxBatchBytes {
			break
		}
		b.queue[n].sent = true
		n++
	}
	batch := append([]*pending(nil), b.queue[:n]...)
	b.queue = append([]*pending(nil), b.queue[n:]...)
	return batch
}

// requeue puts a batch that did not take effect before the rest of the queue,
// without the records whose Add has left.
func (b *Batcher) requeue(batch []*pending) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var queue []*pending
	for _, p := range batch {
		p.sent = false
		if !p.gone {
			queue = append(queue, p)
		}
	}
	b.queue = append(queue, b.queue...)
	if len(b.queue) > 0 {
		b.signal()
	}
}

// doubt notes that an append of the batch had no answer.
func (b *Batcher) doubt(batch []*pending) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range batch {
		p.unknown = true
	}
}

// leave takes p out of the queue for an Add whose context ended, and says what
// may have become of it.
func (b *Batcher) leave(p *pending, cause error) (Record, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case o := <-p.done:
		return o.record, o.err
	default:
	}
	p.gone = true
	for i, q := range b.queue {
		if q == p {
			b.queue = append(b.queue[:i:i], b.queue[i+1:]...)
			break
		}
	}
	if p.sent || p.unknown {
		return Record{}, b.fail(Unknown, cause)
	}
	return Record{}, b.fail(Unavailable, cause)
}

// open lets Add in, also after an earlier Run has ended.
func (b *Batcher) open() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = false
}

// close answers every Add that still waits.
func (b *Batcher) close() {
	b.mu.Lock()
	queue := b.queue
	b.queue = nil
	b.stopped = true
	b.mu.Unlock()
	b.reject(queue, Unavailable, ErrStopped)
}
