package msscheduler

import (
	"context"
	"time"

	"go.uber.org/zap"

	"marjoramspan/mshealth"
	"marjoramspan/msjob"
	"marjoramspan/msworker"
)

// Stragglers are tasks that take much longer than others of their image and their step: their
// worker hangs or has turned slow. A job ends with its last task, so one of them makes it
// late.

// peerGain is how many times faster the other tasks of the step must be. If they are as slow,
// the tasks have more to do.
const peerGain = 1.5

// stragglerInterval is the minimum time between two searches for stragglers. They have run
// for some hundreds of milliseconds.
const stragglerInterval = 50 * time.Millisecond

// moveStragglers stops the attempts that would end much sooner elsewhere, where a worker has
// room, and asks workers how far their tasks are where that is not known. The caller holds
// mu.
func (e *Engine) moveStragglers(now time.Time) {
	if now.Sub(e.stragglersAt) < stragglerInterval {
		return
	}
	e.stragglersAt = now
	for _, w := range e.workers {
		if !w.reachable {
			continue
		}
		for _, r := range w.runs {
			if r.state != runStarted {
				continue
			}
			e.rateRunning(r, now)
			e.moveLongRunning(r, now)
			usual := e.usualRuntime(r)
			if usual <= 0 {
				continue
			}
			usual = e.health.Expected(r.image, usual)
			if now.Sub(r.answeredAt) < mshealth.JudgeAfter(usual) {
				continue
			}
			if r.reportedAt.Sub(r.answeredAt) < mshealth.JudgeAfter(usual) {
				e.probe(w, r, usual, now)
				continue
			}
			if a, ok := e.straggles(r, now); ok && !r.step().Duplicates && e.roomElsewhere(r, now) {
				if a.StandsStill() {
					e.health.Stalled(e.healthOf(w), now)
				}
				e.Logger.Info("straggler stopped", zap.String("task", r.task.String()), zap.Int("attempt", r.attempt),
					zap.String("worker", w.ID), zap.Int("percent", r.percent), zap.Duration("ran", now.Sub(r.answeredAt)), zap.Duration("usual", usual))
				r.job.avoidWorker(r.task, w.ID)
				e.stop(r)
			}
		}
	}
}

// straggles reports whether an attempt would end much sooner elsewhere, by its latest report.
func (e *Engine) straggles(r *run, now time.Time) (mshealth.Attempt, bool) {
	s := r.step()
	usual := e.usualRuntime(r)
	if usual <= 0 || r.reportedAt.IsZero() || !e.health.Progresses(r.image) || now.Sub(r.reportedAt) > stallTimeout || r.job.p.State.Final() || len(r.job.avoid[r.task]) >= maxStalls {
		return mshealth.Attempt{}, false
	}
	a := mshealth.Attempt{
		Ran: r.reportedAt.Sub(r.answeredAt), Expected: e.health.Expected(r.image, usual),
		Done: float64(r.percent) / fullPercent, Checkpoint: s.Checkpoints && r.checkpoint != "",
	}
	return a, a.WorthMoving() && e.peersAreFaster(r, a)
}

// peersAreFaster reports whether the other attempts of the step on other workers, if any of
// them has a report, are mostly faster.
func (e *Engine) peersAreFaster(r *run, a mshealth.Attempt) bool {
	faster, peers := 0, 0
	speed := max(a.Done, 0.01) / a.Ran.Seconds()
	for _, o := range r.job.runs {
		ran := o.reportedAt.Sub(o.answeredAt)
		if o.w == r.w || o.task.Occurrence != r.task.Occurrence || o.task.Step != r.task.Step || o.state != runStarted || o.answeredAt.IsZero() || ran < mshealth.JudgeAfter(a.Expected) {
			continue
		}
		peers++
		if float64(o.percent)/fullPercent/ran.Seconds() > peerGain*speed {
			faster++
		}
	}
	return peers == 0 || 2*faster > peers
}

// roomElsewhere reports whether a sound worker of the pool has room for the attempt's task.
func (e *Engine) roomElsewhere(r *run, now time.Time) bool {
	s := r.step()
	for _, o := range e.workers {
		if o == r.w || o.Pool != r.w.Pool || o.healthState != mshealth.Sound || !r.need.Fits(o.free()) || !o.usable(now) || r.job.avoid[r.task][o.ID] {
			continue
		}
		if s.Label == "" || hasLabel(o, s.Label) {
			return true
		}
	}
	return false
}

func hasLabel(w *worker, label string) bool {
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// longRunningPatience is how long a worker must have been slow or out of use before its
// long-running tasks leave: each of them is unavailable for about a second meanwhile.
const longRunningPatience = time.Second

// moveLongRunning stops a long-running task whose worker is slow or out of use, if its step
// may miss one more and a worker has room.
func (e *Engine) moveLongRunning(r *run, now time.Time) {
	s := r.step()
	if s == nil || !s.LongRunning || s.Gang || r.w.health == nil || r.w.health.BadFor(now) < longRunningPatience || r.job.p.State.Final() {
		return
	}
	if e.unavailableTasks(r.job, r.task.Occurrence, r.task.Step) >= s.MaxUnavailable || !e.roomElsewhere(r, now) {
		return
	}
	e.Logger.Info("task moves off its worker", zap.String("task", r.task.String()), zap.Int("attempt", r.attempt),
		zap.String("worker", r.w.ID), zap.String("health", r.w.healthState.String()))
	r.job.avoidWorker(r.task, r.w.ID)
	e.stop(r)
}

const (
	// probeInterval is the minimum time between two extra reports of a worker.
	probeInterval = 300 * time.Millisecond
	// probeShare is the same as a fraction of the task's usual time: workers with long tasks
	// report often enough without being asked.
	probeShare = 0.3
	// probeTimeout bounds such a request.
	probeTimeout = 600 * time.Millisecond
)

// probe requests a report at once, as the pending request is answered only when a task ends
// or after up to two seconds. Workers on which a task has succeeded since the attempt started
// are not asked: they work. The caller holds mu.
func (e *Engine) probe(w *worker, r *run, usual time.Duration, now time.Time) {
	latest := r.answeredAt
	if r.reportedAt.After(latest) {
		latest = r.reportedAt
	}
	if now.Sub(latest) < max(probeInterval, time.Duration(probeShare*float64(usual))) {
		// A report is due soon enough.
		return
	}
	if now.Sub(w.probedAt) < probeInterval || w.probing || w.health != nil && e.health.WorkedSince(w.health, r.answeredAt) {
		return
	}
	if !e.health.MayAsk(r.image) {
		return
	}
	w.probedAt, w.probing = now, true
	renewal, entry := msworker.LeaseRenewal{Token: e.Term.Epoch, Acked: w.acked}, w.Worker
	e.group.Add(1)
	go func() {
		defer e.group.Done()
		ctx, cancel := context.WithTimeout(e.ctx, probeTimeout)
		defer cancel()
		report, err := e.Orders.RenewLease(ctx, entry, renewal)
		e.mu.Lock()
		defer e.mu.Unlock()
		w.probing = false
		switch {
		case e.ctx.Err() != nil || w.terminated:
		case err != nil && msworker.ReasonOf(err) == msworker.Fenced:
			e.endTerm(err)
		case err != nil && msworker.ReasonOf(err) == msworker.Unknown:
			e.noteUnanswered(w)
		case err == nil && w.reported && w.reachable && report.ProcessStart == w.processStart:
			e.handleReport(w, now, report)
			e.wakeLoop()
		}
	}()
}

// overtaken reports whether a later report of the worker has arrived before one with the given
// time of its clock. Two are in flight only around a probe.
func (w *worker) overtaken(clock time.Duration, now time.Time) bool {
	const longest = reportWait + idleReportWait
	return now.Sub(w.probedAt) < longest && clock < w.reportClock && w.reportClock-clock < longest
}

// noteProgress tells how far an attempt is by the report that has just been applied.
func (e *Engine) noteProgress(r *run, now time.Time) {
	if usual := e.usualRuntime(r); usual > 0 && r.state == runStarted {
		e.health.Progressed(e.healthOf(r.w), r.image, now.Sub(r.answeredAt), usual, float64(r.percent)/fullPercent, now)
	}
}

// roomWait remembers since when the waiting tasks of a step wait for a better worker.
type roomWait map[stepKey]time.Time

// begin notes that a step waits.
func (w roomWait) begin(j *job, k, s int, now time.Time) roomWait {
	if w == nil {
		w = roomWait{}
	}
	key := stepKey{j.def.ID, k, s}
	if _, ok := w[key]; !ok {
		w[key] = now
	}
	return w
}

// over reports whether a step has waited for as long as a run on the worse worker would have
// taken longer.
func (w roomWait) over(id msjob.TaskID, gain time.Duration, now time.Time) bool {
	since, ok := w[stepKey{id.Job, id.Occurrence, id.Step}]
	return ok && now.Sub(since) > gain
}
