package msscheduler

import (
	"time"

	"go.uber.org/zap"
)

// evacuate stops tasks on workers that are about to leave or to be maintained, so that
// they start elsewhere in time. The caller holds mu.
//
// Long-running tasks on a worker whose VM waits for maintenance are stopped one per step
// at a time, as the step's MaxUnavailable allows. A draining worker is lost anyway, so
// all its long-running tasks are stopped at once; of the others only those that have
// checkpoints and can't end in the time left.
func (e *Engine) evacuate(now time.Time) {
	for _, w := range e.workersByID() {
		if !w.reachable || len(w.runs) == 0 {
			continue
		}
		switch {
		case w.Draining:
			e.evacuateDraining(w, now)
		case w.reserved:
			e.evacuateReserved(w)
		}
	}
}

func (e *Engine) evacuateDraining(w *worker, now time.Time) {
	remaining := w.RemainingTime - now.Sub(w.drainingSince)
	for _, r := range w.runs {
		s := r.step()
		if s == nil || r.state != runStarted {
			continue
		}
		if s.LongRunning || s.Checkpoints && !s.Gang && remaining < evacuateMargin && r.remainingTime(now) > remaining {
			e.Logger.Info("task evacuated", zap.String("task", r.task.String()), zap.Int("attempt", r.attempt),
				zap.String("worker", w.ID), zap.Duration("left", remaining))
			e.stop(r)
		}
	}
}

// evacuateMargin is how long before a worker leaves the tasks that can't end in time are
// stopped. A stop and its report take a few hundred milliseconds.
const evacuateMargin = 800 * time.Millisecond

// remainingTime estimates how much longer an attempt runs, by its progress if it has
// made any.
func (r *run) remainingTime(now time.Time) time.Duration {
	estimate := r.step().Estimate
	ran := now.Sub(r.answeredAt)
	if r.percent >= 5 && ran > 0 {
		return time.Duration(float64(ran) * float64(fullPercent-r.percent) / float64(r.percent))
	}
	return max(0, estimate-ran)
}

// evacuateReserved stops one long-running task of each step that has more tasks on w
// than may be unavailable at a time.
func (e *Engine) evacuateReserved(w *worker) {
	onWorker := map[stepKey]int{}
	e.countLongRunning(w, onWorker)
	for _, r := range w.runs {
		s := r.step()
		if s == nil || !s.LongRunning || r.state != runStarted || r.job.p.State.Final() {
			continue
		}
		k := stepKey{r.task.Job, r.task.Occurrence, r.task.Step}
		if onWorker[k] <= max(s.MaxUnavailable, 1) || e.unavailableTasks(r.job, k.occurrence, k.step) >= max(s.MaxUnavailable, 1) {
			continue
		}
		e.Logger.Info("task evacuated", zap.String("task", r.task.String()), zap.Int("attempt", r.attempt), zap.String("worker", w.ID))
		e.stop(r)
		onWorker[k] = 0
	}
}

// unavailableTasks counts the tasks of a long-running step that aren't serving.
func (e *Engine) unavailableTasks(j *job, k, step int) int {
	return e.unavailableElsewhere(j, k, step, nil)
}

// countLongRunning adds the long-running tasks on a worker to taken, by step.
func (e *Engine) countLongRunning(w *worker, taken map[stepKey]int) {
	for _, r := range w.runs {
		if s := r.step(); s != nil && s.LongRunning && !r.job.p.State.Final() {
			taken[stepKey{r.task.Job, r.task.Occurrence, r.task.Step}]++
		}
	}
}
