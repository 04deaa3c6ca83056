package msscheduler

import (
	"context"
	"time"

	"go.uber.org/zap"

	"marjoramspan/msjob"
	"marjoramspan/msjournal"
)

const (
	// storeTimeout bounds one try of an append.
	storeTimeout = 600 * time.Millisecond
	// storePause is the pause between two tries.
	storePause = 40 * time.Millisecond
	// producer is the name under which a leader appends; its epoch is the term's.
	producer = "scheduler"
)

// appender is one stream that the leader writes.
type appender struct {
	stream   string
	sequence int64
}

// announcement is what every entry is told. It goes onto a stream of its own, as
// entries on narrow links can't read all that the progress takes.
type announcement struct {
	records []msjournal.Record
	// forgotten has the jobs whose progress is dropped once the records are stored.
	forgotten []string
}

// announce gives records to publish, or logs why there are none. The caller holds
// mu.
func (e *Engine) announce(err error, records ...msjob.Record) {
	if err != nil {
		e.Logger.Error("record not written", zap.Error(err))
		return
	}
	for _, r := range records {
		e.waiting.records = append(e.waiting.records, msjournal.Record{Key: r.Key, Value: r.Value})
	}
	select {
	case e.publishing <- struct{}{}:
	default:
	}
}

// publish stores announcements until ctx is done. It runs beside the appends of
// progress, so that callers see a job's end one answer of the log earlier. A leader
// that takes over counts a job as ended that either stream shows so.
func (e *Engine) publish(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.publishing:
		}
		e.mu.Lock()
		a := e.waiting
		e.waiting = announcement{}
		e.mu.Unlock()
		if err := e.storeAll(ctx, &e.public, a.records); err != nil {
			if ctx.Err() == nil {
				e.depose(err)
			}
			return
		}
		e.mu.Lock()
		e.orphaned = append(e.orphaned, a.forgotten...)
		e.mu.Unlock()
	}
}

// commit stores a batch, then does what rests on it.
func (e *Engine) commit(ctx context.Context, b batch) error {
	if err := e.storeAll(ctx, &e.progress, b.records); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for w, n := range b.acked {
		if n > w.acked {
			w.acked = n
			w.release()
		}
	}
	for _, r := range b.starts {
		e.order(r)
	}
	return nil
}

// maxBatch bounds the records of one append, and maxBatchBytes their size.
const (
	maxBatch      = 400
	maxBatchBytes = 1 << 20
)

func (e *Engine) storeAll(ctx context.Context, a *appender, records []msjournal.Record) error {
	for len(records) > 0 {
		n, bytes := 0, 0
		for n < len(records) && n < maxBatch && (n == 0 || bytes+len(records[n].Value) < maxBatchBytes) {
			bytes += len(records[n].Value) + len(records[n].Key)
			n++
		}
		if err := e.store(ctx, a, records[:n]); err != nil {
			return err
		}
		records = records[n:]
	}
	return nil
}

// store appends records, and tries until it is known that they are stored or that
// another leader has shut this one out.
func (e *Engine) store(ctx context.Context, a *appender, records []msjournal.Record) error {
	failing := false
	for {
		sctx, cancel := context.WithTimeout(ctx, storeTimeout)
		_, err := e.Log.Append(sctx, msjournal.Append{
			Stream: a.stream, Records: records,
			Producer: producer, Epoch: e.Term.Epoch, Sequence: a.sequence,
		})
		cancel()
		if err == nil {
			if len(records) > 0 {
				a.sequence++
			}
			if failing {
				e.Logger.Info("appends succeed again", zap.String("stream", a.stream), zap.Int64("epoch", e.Term.Epoch))
			}
			return nil
		}
		if kind := msjournal.KindOf(err); kind == msjournal.Fenced || kind == msjournal.Sequence {
			return err
		}
		if !failing {
			failing = true
			e.Logger.Warn("appends fail", zap.String("stream", a.stream), zap.Int64("epoch", e.Term.Epoch), zap.Int("records", len(records)), zap.Error(err))
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case derr := <-e.deposed:
			e.depose(derr)
			return derr
		case <-e.Clock.After(storePause):
		}
	}
}
