package msscheduler

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"marjoramspan/msclock"
	"marjoramspan/msorder"
	"marjoramspan/mspause"
	"marjoramspan/msworker"
)

const (
	// orderTimeout bounds one attempt to send an order; workers answer within
	// milliseconds.
	orderTimeout = 600 * time.Millisecond
	// orderRetryDelay is the delay between two attempts.
	orderRetryDelay = 60 * time.Millisecond
	// maxUnsentTime is how long an order that can't be sent is retried.
	maxUnsentTime = 800 * time.Millisecond
	// noCapacityPause and unhealthyPause are how long a worker that rejected a start for
	// lack of capacity, or as unhealthy, gets no new tasks.
	noCapacityPause = 300 * time.Millisecond
	unhealthyPause  = 2 * time.Second
	// invalidPause delays the next attempt of a task that a worker could not read.
	invalidPause = 2 * time.Second
)

// beginStart sends the start of an attempt whose record is stored. The caller holds mu.
func (e *Engine) beginStart(r *run) {
	if e.runs[r.runKey] != r || (r.state != runPlanned && r.state != runOrdered) {
		return
	}
	r.state = runOrdered
	r.orderedAt = e.Clock.Now()
	r.starts.First = r.orderedAt
	e.pushOrder(r, msorder.Start)
}

// pushOrder has the senders of the attempt's worker send an order. The caller holds mu.
func (e *Engine) pushOrder(r *run, kind msorder.Kind) {
	w := r.w
	w.orders.Push(msorder.Order{Kind: kind, Task: r.task, Attempt: r.attempt})
	for w.orders.AddSender() {
		e.group.Add(1)
		go func() {
			defer e.group.Done()
			e.sendOrders(e.ctx, w)
		}()
	}
}

// sendOrders sends the orders of a worker until none is left for the sender.
func (e *Engine) sendOrders(ctx context.Context, w *worker) {
	for ctx.Err() == nil {
		r, o, wait := e.takeOrder(w)
		switch {
		case r != nil && !e.sendOrder(ctx, r, o.Kind):
			e.mu.Lock()
			w.orders.Delay(o, e.Clock.Now().Add(orderRetryDelay))
			e.mu.Unlock()
		case r != nil:
		case wait == 0:
			return
		default:
			_ = msclock.Sleep(ctx, e.Clock, wait)
			e.mu.Lock()
			resumes := w.orders.Resume()
			e.mu.Unlock()
			if !resumes {
				return
			}
		}
	}
}

// takeOrder returns the next order to a worker and its attempt, or nil and how long the sender waits
// for one.
func (e *Engine) takeOrder(w *worker) (*run, msorder.Order, time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for {
		o, wait, ok := w.orders.Next(e.Clock.Now())
		if w.orders.HasRoom() {
			e.wakeLoop()
		}
		if !ok {
			return nil, o, wait
		}
		// An attempt may have been given up, and listed again since by another worker.
		if r := e.runs[runKey{task: o.Task, attempt: o.Attempt}]; r != nil && r.w == w {
			return r, o, 0
		}
	}
}

// sendOrder sends an order once and reports whether it is settled.
func (e *Engine) sendOrder(ctx context.Context, r *run, kind msorder.Kind) bool {
	if kind == msorder.Stop {
		return e.stopRun(ctx, r)
	}
	return e.startRun(ctx, r)
}

// startRun sends a start once, and reports whether its outcome is known or the attempt is no longer
// wanted.
func (e *Engine) startRun(ctx context.Context, r *run) bool {
	s, life, ok := e.prepareStart(r)
	if !ok {
		return true
	}
	if s.Until == 0 {
		// No lease can be granted yet: the worker doesn't answer or isn't fenced, or
		// the term isn't valid.
		return false
	}
	octx, cancel := context.WithTimeout(ctx, orderTimeout)
	sent := e.Clock.Now()
	// The answer doesn't say which life has given it, and so whose clock it bears.
	_, err := e.Orders.Start(octx, life, s)
	cancel()
	e.Metrics.order("start", err, e.Clock.Now().Sub(sent))
	return ctx.Err() != nil || e.handleStartAnswer(r, life, s.Token, err)
}

// prepareStart returns the order, or false if the attempt is no longer wanted.
func (e *Engine) prepareStart(r *run) (msworker.Start, msworker.Worker, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.runs[r.runKey] != r || r.state != runOrdered || r.w.terminated {
		return msworker.Start{}, msworker.Worker{}, false
	}
	if r.unanswered > 0 && !r.sentAt.IsZero() && e.zoneOf(r) != "" {
		// A start without an answer counts as running: sent again, it might be carried out
		// only now. The next report shows whether it was, and if not, it is stopped.
		r.state, r.uncertain, r.answeredAt = runStarted, true, e.Clock.Now()
		return msworker.Start{}, msworker.Worker{}, false
	}
	if reason := e.unfit(r); reason != "" {
		if r.unanswered == 0 && !r.uncertain {
			e.markLost(r, notEnded, reason)
		} else {
			e.stop(r)
		}
		return msworker.Start{}, msworker.Worker{}, false
	}
	s := msworker.Start{Task: r.task, Attempt: r.attempt, Spec: r.job.def.Spec, Token: e.tokenFor(r.w), Ticket: r.ticket}
	if t := r.job.p.Task(r.task); t != nil {
		s.Checkpoint = t.Checkpoint
	}
	if !r.w.reachable && r.unanswered == 0 && !r.uncertain && e.Clock.Now().Sub(r.orderedAt) >= maxUnsentTime {
		e.markLost(r, notEnded, "its worker doesn't answer")
		return msworker.Start{}, msworker.Worker{}, false
	}
	if r.needsReport() {
		return s, r.w.presentLife(), true
	}
	if r.w.reachable && r.w.lease.Known() && r.w.lease.Fenced() && e.Term.Valid() && e.operatorsCurrent(e.Clock.Now()) {
		s.Until = r.w.lease.Grant(e.Clock.Now(), e.leaseDuration())
	}
	if s.Until != 0 {
		r.sentAt = e.Clock.Now()
		r.starts.Sent(r.sentAt)
		r.unanswered++
		r.life = r.w.processStart
		r.w.lease.Sent(s.Token)
	}
	return s, r.w.presentLife(), true
}

// needsReport reports whether a start without an answer may be repeated only after the next
// report: the worker may have restarted since, because of the task or without a label that the
// step asks for, and the report shows that. The connection that a start goes over doesn't, as
// whichever life is there when it arrives may carry it out.
func (r *run) needsReport() bool {
	if !r.uncertain || r.sentAt.IsZero() || r.w.reportRequestedAt.After(r.sentAt) {
		return false
	}
	step := r.step()
	return r.suspect || step != nil && step.Label != ""
}

// unfit returns why the worker of an attempt no longer suits it, or "". The worker may have
// changed while the attempt waited for its record to be stored.
func (e *Engine) unfit(r *run) string {
	if zone := e.zoneOf(r); zone != "" {
		return "its data centre " + zone + " is evacuated"
	}
	entry, ok := e.Registry.Worker(r.w.ID)
	if !ok {
		return ""
	}
	// The entry may be newer than the latest pass, and of an earlier life.
	s := r.w.sources()
	s.Entry, s.Registered = entry, true
	w := s.Current()
	r.w.Capacity = w.Capacity
	step := r.step()
	switch {
	case !r.w.used.Fits(w.Capacity):
		return "its worker has shrunk"
	case w.Draining:
		return "its worker drains"
	case !s.Settled(e.Clock.Now()):
		return "its worker has restarted"
	case step != nil && step.Label != "" && !slices.Contains(w.Labels, step.Label):
		return "its worker is of another kind"
	}
	if pool := poolOf(r.job.def, e.Sites.Site()); pool != "" && pool != w.Pool && !r.uncertain {
		return "its worker is of another pool"
	}
	return ""
}

// handleStartAnswer handles the answer of a worker to a start for one of its lives, with the given
// token, and reports whether the order is settled.
func (e *Engine) handleStartAnswer(r *run, life msworker.Worker, token int64, err error) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Clock.Now()
	if msworker.ReasonOf(err) != msworker.Unknown {
		r.unanswered = max(0, r.unanswered-1)
	}
	if msworker.FoundOtherLife(err) {
		e.foundOtherLife(r.w, life)
	}
	if e.runs[r.runKey] != r || r.state != runOrdered {
		return true
	}
	if err == nil {
		r.state, r.answeredAt, r.progressedAt, r.confirmedAt = runStarted, now, now, now
		r.w.attemptsChanged()
		return true
	}
	reason := msworker.ReasonOf(err)
	switch reason {
	case msworker.Fenced:
		e.callFenced(r.w, token, err)
		return token >= r.w.token
	case msworker.Stale:
		// The worker has had the attempt: its next report lists the end, or the attempt
		// is lost.
		r.state, r.answeredAt = runStarted, now
		return true
	case msworker.Late:
		return false
	case msworker.Unknown:
		if !r.uncertain {
			e.Logger.Info("start unanswered", zap.String("task", r.task.String()), zap.Int("attempt", r.attempt), zap.String("worker", r.w.ID),
				zap.Int64("born", life.ProcessStart), zap.Int64("token", token), zap.Duration("lease-end", r.w.lease.Until()), zap.Error(err))
		}
		r.uncertain = true
		return false
	case msworker.NotSent:
		if now.Sub(r.orderedAt) < maxUnsentTime || r.uncertain {
			return false
		}
	case msworker.NoCapacity:
		r.w.pauses.Reject(mspause.NoRoom, now, noCapacityPause)
	case msworker.Unhealthy:
		r.w.pauses.Reject(mspause.Unhealthy, now, unhealthyPause)
	case msworker.NoTicket:
		k := stepKey{r.task.Job, r.task.Occurrence, r.task.Step}
		if a := e.adviceByStep[k]; a != nil && a.tickets[r.w.ID] == r.ticket {
			delete(e.adviceByStep, k)
		}
	case msworker.Invalid:
		r.job.delay(r.task, now.Add(invalidPause))
	}
	e.Logger.Info("start rejected", zap.String("task", r.task.String()), zap.Int("attempt", r.attempt),
		zap.String("worker", r.w.ID), zap.String("reason", reason.String()), zap.Bool("uncertain", r.uncertain), zap.Error(err))
	if r.uncertain && reason != msworker.OtherInstance {
		e.stop(r)
		return true
	}
	e.markLost(r, notEnded, reason.String())
	return true
}

// stop ends an attempt. If its start may have been sent, it stays counted until its worker
// has listed its end or no longer lists it. The caller holds mu.
func (e *Engine) stop(r *run) {
	if e.runs[r.runKey] != r || r.state == runStopping {
		return
	}
	if r.state == runPlanned || r.state == runOrdered && r.unanswered == 0 && !r.uncertain {
		// No start was sent that its worker may still carry out, and none will be.
		e.markLost(r, notEnded, "no longer wanted")
		return
	}
	r.stopAt = e.Clock.Now()
	e.beginStop(r)
}

// beginStop sends the stop of an attempt. The caller holds mu.
func (e *Engine) beginStop(r *run) {
	r.state, r.answeredAt = runStopping, time.Time{}
	e.pushOrder(r, msorder.Stop)
}

// stopGrace is how long after the answer to a stop a worker may still list the attempt.
const stopGrace = time.Second

// repeatStop sends a stop again if its worker lists the attempt although it has confirmed the
// stop: it may have restarted since, and carried out an earlier start late. requested is when
// the list was requested. The caller holds mu.
func (e *Engine) repeatStop(r *run, requested time.Time) {
	if r.state != runStopping || r.answeredAt.IsZero() || requested.Sub(r.answeredAt) < stopGrace {
		return
	}
	e.Logger.Warn("attempt runs on after its stop", zap.String("task", r.task.String()), zap.Int("attempt", r.attempt),
		zap.String("worker", r.w.ID), zap.Duration("since", requested.Sub(r.answeredAt)))
	e.beginStop(r)
}

// stopRun sends a stop once and reports whether it is settled.
func (e *Engine) stopRun(ctx context.Context, r *run) bool {
	e.mu.Lock()
	if e.runs[r.runKey] != r || r.state != runStopping || r.w.terminated {
		e.mu.Unlock()
		return true
	}
	entry, token := r.w.Worker, e.tokenFor(r.w)
	e.mu.Unlock()
	octx, cancel := context.WithTimeout(ctx, orderTimeout)
	sent := e.Clock.Now()
	_, err := e.Orders.Stop(octx, entry, msworker.Stop{Task: r.task, Attempt: r.attempt, Token: token})
	cancel()
	e.Metrics.order("stop", err, e.Clock.Now().Sub(sent))
	return ctx.Err() != nil || e.handleStopAnswer(r, token, err)
}

// handleStopAnswer handles the answer to a stop with the given token and reports whether the
// order is settled.
func (e *Engine) handleStopAnswer(r *run, token int64, err error) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case err == nil:
		r.answeredAt = e.Clock.Now()
		return true
	case msworker.ReasonOf(err) == msworker.Fenced:
		e.callFenced(r.w, token, err)
		return token >= r.w.token
	case msworker.ReasonOf(err) == msworker.Stale:
		r.answeredAt = e.Clock.Now()
		return true
	}
	return false
}
