package msscheduler

import (
	"context"
	"time"

	"go.uber.org/zap"

	"marjoramspan/msclock"
	"marjoramspan/msjob"
	"marjoramspan/msworker"
)

const (
	// orderTimeout bounds one try of an order; workers answer within milliseconds.
	orderTimeout = 600 * time.Millisecond
	// orderRetry is the pause between two tries.
	orderRetry = 60 * time.Millisecond
	// orderUnsent is how long an order that can't be sent is tried.
	orderUnsent = 800 * time.Millisecond
	// roomPause and unhealthyPause keep new tasks from a worker that had no room,
	// or that called itself unhealthy.
	roomPause      = 300 * time.Millisecond
	unhealthyPause = 2 * time.Second
	// invalidPause keeps a task from being tried again at once that a worker could
	// not read.
	invalidPause = 2 * time.Second
)

// order starts an attempt whose record is stored. The caller holds mu.
func (e *Engine) order(r *run) {
	if e.runs[r.runKey] != r || (r.state != runPlanned && r.state != runOrdered) {
		return
	}
	r.state = runOrdered
	r.ordered = e.Clock.Now()
	e.group.Add(1)
	go func() {
		defer e.group.Done()
		e.startRun(e.ctx, r)
	}()
}

// startRun sends a start until its outcome is known or nobody needs it any more.
func (e *Engine) startRun(ctx context.Context, r *run) {
	for ctx.Err() == nil {
		s, entry, ok := e.prepareStart(r)
		if !ok {
			return
		}
		if s.Until == 0 {
			// The worker's clock isn't known yet.
			_ = msclock.Sleep(ctx, e.Clock, orderRetry)
			continue
		}
		octx, cancel := context.WithTimeout(ctx, orderTimeout)
		sent := e.Clock.Now()
		clock, err := e.Orders.Start(octx, entry, s)
		cancel()
		e.Metrics.order("start", err, e.Clock.Now().Sub(sent))
		if ctx.Err() != nil {
			return
		}
		if e.started(r, clock, err) {
			return
		}
		_ = msclock.Sleep(ctx, e.Clock, orderRetry)
	}
}

// prepareStart returns the order, or false where the attempt is no longer wanted.
func (e *Engine) prepareStart(r *run) (msworker.Start, msworker.Worker, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.runs[r.runKey] != r || r.state != runOrdered || r.w.gone {
		return msworker.Start{}, msworker.Worker{}, false
	}
	s := msworker.Start{Task: r.task, Attempt: r.attempt, Spec: r.job.def.Spec, Token: e.Term.Epoch, Ticket: r.ticket}
	if t := r.job.p.Task(r.task); t != nil {
		s.Checkpoint = t.Checkpoint
	}
	if r.w.lease.Known() && e.Term.Valid() {
		s.Until = r.w.lease.Until()
		if r.w.reachable {
			s.Until = r.w.lease.Grant(e.Clock.Now(), e.lease())
		}
	}
	return s, r.w.Worker, true
}

// started takes in the answer to a start and says whether the order is settled.
func (e *Engine) started(r *run, clock time.Duration, err error) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Clock.Now()
	if clock > 0 {
		r.w.lease.Observe(clock, now)
	}
	if e.runs[r.runKey] != r || r.state != runOrdered {
		return true
	}
	if err == nil {
		r.state, r.answered, r.moved = runStarted, now, now
		return true
	}
	reason := msworker.ReasonOf(err)
	switch reason {
	case msworker.Fenced:
		e.depose(err)
		return true
	case msworker.Stale:
		// It has been there: the next report lists its end, or it is lost.
		r.state, r.answered = runStarted, now
		return true
	case msworker.Late:
		return false
	case msworker.Unknown:
		r.uncertain = true
		return false
	case msworker.NotSent:
		if now.Sub(r.ordered) < orderUnsent || r.uncertain {
			return false
		}
	case msworker.NoCapacity:
		r.w.closedUntil = now.Add(roomPause)
	case msworker.Unhealthy:
		r.w.closedUntil = now.Add(unhealthyPause)
	case msworker.NoTicket:
		delete(e.advices, stepKey{r.task.Job, r.task.Occurrence, r.task.Step})
	case msworker.Invalid:
		if r.job.retryAt == nil {
			r.job.retryAt = map[msjob.TaskID]time.Time{}
		}
		r.job.retryAt[r.task] = now.Add(invalidPause)
	}
	e.Logger.Info("start rejected", zap.String("task", r.task.String()), zap.Int("attempt", r.attempt),
		zap.String("worker", r.w.ID), zap.String("reason", reason.String()), zap.Bool("uncertain", r.uncertain), zap.Error(err))
	if r.uncertain && reason != msworker.OtherInstance {
		e.stop(r)
		return true
	}
	e.lose(r, reason.String())
	return true
}

// stop ends an attempt. It stays counted until its worker has listed its end, or
// no longer lists it. The caller holds mu.
func (e *Engine) stop(r *run) {
	if e.runs[r.runKey] != r || r.state == runStopping {
		return
	}
	if r.state == runPlanned {
		e.lose(r, "not wanted any more")
		return
	}
	r.state, r.answered = runStopping, time.Time{}
	e.group.Add(1)
	go func() {
		defer e.group.Done()
		e.stopRun(e.ctx, r)
	}()
}

// stopRun sends a stop until it is answered.
func (e *Engine) stopRun(ctx context.Context, r *run) {
	for ctx.Err() == nil {
		e.mu.Lock()
		if e.runs[r.runKey] != r || r.w.gone {
			e.mu.Unlock()
			return
		}
		entry := r.w.Worker
		e.mu.Unlock()
		octx, cancel := context.WithTimeout(ctx, orderTimeout)
		sent := e.Clock.Now()
		_, err := e.Orders.Stop(octx, entry, msworker.Stop{Task: r.task, Attempt: r.attempt, Token: e.Term.Epoch})
		cancel()
		e.Metrics.order("stop", err, e.Clock.Now().Sub(sent))
		if e.stopped(r, err) {
			return
		}
		_ = msclock.Sleep(ctx, e.Clock, orderRetry)
	}
}

// stopped takes in the answer to a stop and says whether the order is settled.
func (e *Engine) stopped(r *run, err error) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case err == nil:
		r.answered = e.Clock.Now()
		return true
	case msworker.ReasonOf(err) == msworker.Fenced:
		e.depose(err)
		return true
	case msworker.ReasonOf(err) == msworker.Stale:
		r.answered = e.Clock.Now()
		return true
	}
	return false
}
