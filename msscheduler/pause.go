package msscheduler

import (
	"time"

	"go.uber.org/zap"

	"marjoramspan/msjob"
	"marjoramspan/mspause"
	"marjoramspan/msworker"
)

// paused reports whether the worker gets no new tasks for a time.
func (w *worker) paused() bool {
	return w.pausedFor != mspause.None
}

// mayPause reports whether there may be a reason to pause the worker.
func (w *worker) mayPause(now time.Time) bool {
	return w.pauses.Reason(now) != mspause.None || w.failures.MayPause(now) || w.stalls.MayPause()
}

// pauseWorkers decides which workers are paused until the next pass. The caller holds mu.
func (e *Engine) pauseWorkers(now time.Time) {
	any := false
	for _, w := range e.workers {
		any = any || w.paused() || w.mayPause(now)
	}
	if !any {
		return
	}
	ends := map[string]mspause.Counts{}
	for _, w := range e.workersByID() {
		ends[w.Pool] = ends[w.Pool].Plus(w.failures.Counts, now)
	}
	pools := map[string][]mspause.Worker{}
	for _, w := range e.workersByID() {
		if w.usable(now) {
			pools[w.Pool] = append(pools[w.Pool], e.pauseOf(w, ends[w.Pool], now))
		} else {
			e.setPaused(w, mspause.None, now)
		}
	}
	paused := map[mspause.Reason]int{}
	for _, pool := range pools {
		mspause.Bound(pool)
		for _, p := range pool {
			e.setPaused(e.workers[p.ID], p.Reason, now)
			paused[p.Reason]++
		}
	}
	e.Metrics.setPaused(paused)
}

// pauseOf returns why a worker should be paused. ends has the ends on all workers of its pool.
func (e *Engine) pauseOf(w *worker, ends mspause.Counts, now time.Time) mspause.Worker {
	p := mspause.Worker{ID: w.ID, Capacity: w.Capacity.CPU, Reason: w.pauses.Reason(now), Until: w.pauses.Until()}
	note := func(r mspause.Reason, until time.Time) {
		if now.Before(until) && (p.Reason == mspause.None || until.After(p.Until)) {
			p.Reason, p.Until = r, until
		}
	}
	if w.failures.Pause(ends.Minus(w.failures.Counts, now), e.endsOf, now) {
		note(mspause.Failing, w.failures.Until())
	}
	note(mspause.Stalled, w.stalls.Until(func(task msjob.TaskID) bool { return e.failedElsewhere(task, w) }, now))
	return p
}

// failedElsewhere reports whether a task has failed or stalled on another worker.
func (e *Engine) failedElsewhere(task msjob.TaskID, w *worker) bool {
	j := e.jobs[task.Job]
	if j == nil {
		return false
	}
	avoid := j.avoid[task]
	return len(avoid) > 1 || len(avoid) == 1 && !avoid[w.ID]
}

// endsOf returns how the tasks of a job ended lately.
func (e *Engine) endsOf(id string) mspause.Counts {
	if j := e.jobs[id]; j != nil {
		return j.ends
	}
	return mspause.Counts{}
}

// pauseLogInterval is the minimum time between two log lines on the pauses of a worker.
const pauseLogInterval = time.Second

func (e *Engine) setPaused(w *worker, r mspause.Reason, now time.Time) {
	if r == w.pausedFor {
		return
	}
	before := w.pausedFor
	w.pausedFor = r
	if now.Sub(w.pauseLoggedAt) < pauseLogInterval {
		return
	}
	w.pauseLoggedAt = now
	e.Logger.Info("pause of a worker changed", zap.String("worker", w.ID), zap.String("pool", w.Pool), zap.String("reason", r.String()),
		zap.String("before", before.String()), zap.Int("failures", w.failures.Len()), zap.Int("runs", len(w.runs)))
}

// recordEnd counts the end of a task as evidence for or against its worker.
func recordEnd(w *worker, j *job, reason msworker.EndReason, now time.Time) {
	switch reason {
	case msworker.EndDone:
		w.failures.Succeed(now)
		j.ends.Add(false, now)
	case msworker.EndFailed:
		w.failures.Fail(j.def.ID, now)
		j.ends.Add(true, now)
	}
}
