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

// acceptsTasks reports whether any task may be placed on the worker.
func (w *worker) acceptsTasks(now time.Time) bool {
	return !w.withheld() && w.usable(now)
}

// withheld reports whether the worker is paused, or its pool needs fewer VMs.
func (w *worker) withheld() bool {
	return w.paused() || w.scalingDown
}

// mayPause reports whether there may be a reason to pause the worker.
func (w *worker) mayPause(now time.Time) bool {
	return w.pauses.Reason(now) != mspause.None || w.failures.MaySpeakAgainst(now) || w.stalls.Any()
}

// pauseWorkers decides which workers are paused until the next pass. The caller holds mu.
func (e *Engine) pauseWorkers(now time.Time) {
	var pools map[string]bool
	for _, w := range e.workersByID() {
		if w.paused() || w.pauseLogged != mspause.None || w.mayPause(now) {
			if pools == nil {
				pools = map[string]bool{}
			}
			pools[w.Pool] = true
		}
	}
	if len(pools) == 0 && !e.anyPaused {
		return
	}
	e.findFailing(pools, now)
	byPool := map[string][]mspause.Worker{}
	for _, w := range e.workersByID() {
		switch {
		case !pools[w.Pool]:
		case w.usable(now):
			byPool[w.Pool] = append(byPool[w.Pool], e.pauseOf(w, now))
		default:
			e.setPaused(w, mspause.None, now)
		}
	}
	paused := map[mspause.Reason]int{}
	for _, pool := range byPool {
		mspause.Bound(pool)
		for _, p := range pool {
			e.setPaused(e.workers[p.ID], p.Reason, now)
			paused[p.Reason]++
		}
	}
	delete(paused, mspause.None)
	e.anyPaused = len(paused) > 0
	e.Metrics.setPaused(paused)
}

// findFailing pauses the workers of the pools whose failures speak against them. Such a pause
// lasts, even if a task that ran there before succeeds.
func (e *Engine) findFailing(pools map[string]bool, now time.Time) {
	var suspects, failing []*worker
	for _, w := range e.workersByID() {
		if pools[w.Pool] {
			if w.failures.MaySpeakAgainst(now) {
				suspects = append(suspects, w)
			}
			if w.pauses.For(mspause.Failing, now) {
				failing = append(failing, w)
			}
		}
	}
	if len(suspects) == 0 {
		return
	}
	sound := map[string]mspause.Counts{}
	for _, w := range e.workersByID() {
		if pools[w.Pool] && !w.pauses.For(mspause.Failing, now) {
			sound[w.Pool] = sound[w.Pool].Plus(w.failures.Counts, now)
		}
	}
	for _, w := range suspects {
		known := w.pauses.For(mspause.Failing, now)
		rest := sound[w.Pool]
		if !known {
			rest = rest.Minus(w.failures.Counts, now)
		}
		jobs := func(id string) mspause.Counts {
			j := e.jobs[id]
			if j == nil {
				return mspause.Counts{}
			}
			ends := j.ends
			for _, o := range failing {
				if o != w {
					ends = ends.Minus(o.failures.Of(id), now)
				}
			}
			return ends
		}
		if w.failures.SpeakAgainst(rest, jobs, now) {
			w.pauses.Add(mspause.Failing, now, w.failures.PauseUntil().Sub(now))
		}
	}
}

// pauseOf returns why a worker should be paused.
func (e *Engine) pauseOf(w *worker, now time.Time) mspause.Worker {
	p := mspause.Worker{ID: w.ID, Reason: w.pauses.Reason(now), Until: w.pauses.Until()}
	if !w.stalls.Any() {
		return p
	}
	until := w.stalls.Until(func(task msjob.TaskID) bool { return e.failedElsewhere(task, w) }, now)
	if now.Before(until) && (p.Reason == mspause.None || until.After(p.Until)) {
		p.Reason, p.Until = mspause.Stalled, until
	}
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

const (
	// pauseLogInterval is the minimum time between two log lines on the pauses of a worker. In
	// this time at most maxPauseLines are logged.
	pauseLogInterval = time.Second
	maxPauseLines    = 20
)

// setPaused sets why the worker is paused. It logs the reason once it differs from the one
// logged last and the volume of lines allows it.
func (e *Engine) setPaused(w *worker, r mspause.Reason, now time.Time) {
	w.pausedFor = r
	if r == w.pauseLogged || now.Sub(w.pauseLoggedAt) < pauseLogInterval {
		return
	}
	if now.Sub(e.pauseLinesSince) >= pauseLogInterval {
		e.pauseLines, e.pauseLinesSince = 0, now
	}
	if e.pauseLines++; e.pauseLines > maxPauseLines {
		return
	}
	e.Logger.Info("pause of a worker changed", zap.String("worker", w.ID), zap.String("pool", w.Pool), zap.String("reason", r.String()),
		zap.String("before", w.pauseLogged.String()), zap.Int("failures", w.failures.Count()), zap.Int("runs", len(w.runs)))
	w.pauseLogged, w.pauseLoggedAt = r, now
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
