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
	// unsettled has the records of an append by storeInTurn whose outcome is unknown.
	unsettled []msjournal.Record
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
		if _, err := e.storeAll(ctx, &e.public, a.records); err != nil {
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
		for _, id := range a.expired {
			e.orphanedProgress = append(e.orphanedProgress, msjob.ProgressKey(id))
		}
		e.mu.Unlock()
	}
}

// commit stores a batch, then advances the acknowledgements and sends the starts that
// depend on it.
func (e *Engine) commit(ctx context.Context, b batch) error {
	refused, err := e.storeAll(ctx, &e.progress, b.records)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, id := range refused {
		e.failUnstored(id)
	}
	if len(refused) == 0 {
		for w, end := range b.acked {
			if end.processStart == w.processStart && end.seq > w.acked {
				w.acked = end.seq
				w.signalStored()
			}
		}
	}
	for _, r := range b.starts {
		e.beginStart(r)
	}
	return nil
}

// failUnstored ends a job whose progress the log refuses for good: no attempt may start that a
// successor could not know of. The caller holds mu.
func (e *Engine) failUnstored(id string) {
	j := e.jobs[id]
	if j == nil || j.p.State.Final() {
		return
	}
	e.endJob(j, msjob.Failed, "the log refuses the job's progress")
}

// maxBatch bounds the records of one append, and maxBatchBytes their size, beside the limits
// of the log.
const (
	maxBatch      = 400
	maxBatchBytes = 1 << 20
)

// storeAll appends records, in several calls if there are many. Those that the log refuses for
// good are left out, and the jobs that they belong to are returned.
func (e *Engine) storeAll(ctx context.Context, a *appender, records []msjournal.Record) (refused []string, err error) {
	for len(records) > 0 {
		n := e.nextCall(records)
		err := e.store(ctx, a, records[:n])
		switch {
		case err == nil:
			records = records[n:]
			continue
		case msjournal.KindOf(err) != msjournal.Invalid:
			return refused, err
		}
		for _, r := range records[:n] {
			one := records[:1]
			records = records[1:]
			if n > 1 {
				err = e.store(ctx, a, one)
			}
			switch {
			case err == nil:
			case msjournal.KindOf(err) != msjournal.Invalid:
				return refused, err
			default:
				e.Metrics.refusedRecord(a.stream)
				e.Logger.Error("record refused by the log", zap.String("stream", a.stream), zap.String("key", r.Key), zap.Int("bytes", r.Size()), zap.Error(err))
				if id := msjob.JobOf(r.Key); id != "" {
					refused = append(refused, id)
				}
			}
		}
	}
	return refused, nil
}

// nextCall returns how many of the records the next append takes. Those of a job are not
// divided unless they are too many by themselves.
func (e *Engine) nextCall(records []msjournal.Record) int {
	n := e.Log.Limits.Fit(records, maxBatch, maxBatchBytes)
	if n == len(records) {
		return n
	}
	for i := n; i > 0; i-- {
		if id := msjob.JobOf(records[i].Key); id == "" || id != msjob.JobOf(records[i-1].Key) {
			return i
		}
	}
	return n
}

// storeInTurn is store for callers that give up at the end of ctx. An earlier append whose
// outcome is unknown is repeated first: a different one would have its sequence number, and
// what is carried out late must not follow what is stored now.
func (e *Engine) storeInTurn(ctx context.Context, a *appender, records []msjournal.Record) error {
	if a.unsettled != nil {
		if err := e.store(ctx, a, a.unsettled); err != nil && msjournal.KindOf(err) != msjournal.Invalid {
			return err
		}
	}
	a.unsettled = records
	err := e.store(ctx, a, records)
	if err == nil || msjournal.KindOf(err) == msjournal.Invalid {
		a.unsettled = nil
	}
	return err
}

// store appends records, and retries until it is known that they are stored, that another
// leader has fenced this one, or that the log refuses them for good.
func (e *Engine) store(ctx context.Context, a *appender, records []msjournal.Record) error {
	if err := e.Log.Limits.Check(records); err != nil {
		return err
	}
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
		switch msjournal.KindOf(err) {
		case msjournal.Fenced, msjournal.OutOfSequence, msjournal.Invalid:
			return err
		case msjournal.Unknown, msjournal.Rejected, msjournal.Conflict, msjournal.Expired:
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
