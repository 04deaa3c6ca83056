package msscheduler

import (
	"context"
	"time"

	"go.uber.org/zap"

	"marjoramspan/msjob"
	"marjoramspan/msjournal"
)

const (
	// appendTimeout bounds one attempt to append.
	appendTimeout = 600 * time.Millisecond
	// logRetryDelay is the delay between two attempts to append to or read a stream.
	logRetryDelay = 40 * time.Millisecond
	// producer is the producer name of a leader's appends; their epoch is that of its
	// term.
	producer = "scheduler"
)

// appender is the write position of the leader in one stream.
type appender struct {
	stream   string
	sequence int64
	// fenced is set once earlier leaders are known to be fenced off an additional stream.
	fenced bool
}

// publication has the records that publish stores in the stream that every entry reads.
// It is separate from the stream of progress, which is too large for entries on narrow
// links.
type publication struct {
	records []msjournal.Record
	// ended has the jobs whose final status is in records.
	ended []string
	// expired has the jobs to delete. Their progress is deleted once that is stored.
	expired []string
}

// enqueue adds records for publish to store, or logs err. The caller holds mu.
func (e *Engine) enqueue(err error, records ...msjob.Record) {
	if err != nil {
		e.Logger.Error("failed to encode record", zap.Error(err))
		return
	}
	for _, r := range records {
		e.unpublished.records = append(e.unpublished.records, msjournal.Record{Key: r.Key, Value: r.Value})
	}
	select {
	case e.publishWake <- struct{}{}:
	default:
	}
}

// publish stores the enqueued records until ctx is done. It runs concurrently with the
// appends of progress, so that callers see the end of a job one round trip to the log
// earlier. A new leader treats a job as ended if either stream says so.
func (e *Engine) publish(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.publishWake:
		}
		e.mu.Lock()
		a := e.unpublished
		e.unpublished = publication{}
		e.mu.Unlock()
		deletions := e.expire(&a)
		if err := e.storeAll(ctx, &e.public, a.records); err != nil {
			if ctx.Err() == nil {
				e.endTerm(err)
			}
			return
		}
		for _, id := range a.ended {
			deletions.addJob(id, e.Jobs.JobStreams(id))
		}
		e.mu.Lock()
		e.copyDeletions.merge(deletions)
		e.orphanedProgress = append(e.orphanedProgress, a.expired...)
		e.mu.Unlock()
	}
}

// commit stores a batch, then advances the acknowledgements and sends the starts that
// depend on it.
func (e *Engine) commit(ctx context.Context, b batch) error {
	if err := e.storeAll(ctx, &e.progress, b.records); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for w, n := range b.acked {
		if n > w.acked {
			w.acked = n
			w.signalStored()
		}
	}
	for _, r := range b.starts {
		e.beginStart(r)
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

// store appends records, and retries until it is known that they are stored or that
// another leader has fenced this one.
func (e *Engine) store(ctx context.Context, a *appender, records []msjournal.Record) error {
	failing := false
	for {
		sctx, cancel := context.WithTimeout(ctx, appendTimeout)
		_, err := e.Log.Append(sctx, msjournal.AppendRequest{
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
		if kind := msjournal.KindOf(err); kind == msjournal.Fenced || kind == msjournal.OutOfSequence {
			return err
		}
		if !failing {
			failing = true
			e.Logger.Warn("appends fail", zap.String("stream", a.stream), zap.Int64("epoch", e.Term.Epoch), zap.Int("records", len(records)), zap.Error(err))
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case derr := <-e.termEnded:
			e.endTerm(derr)
			return derr
		case <-e.Clock.After(logRetryDelay):
		}
	}
}
