package msscheduler

import (
	"time"

	"go.uber.org/zap"
)

// evacuate stops tasks on workers that are about to leave or to be maintained, so
// that they start elsewhere in time. The caller holds mu.
//
// Lasting tasks on a worker whose VM waits for maintenance go one of a step at a
// time, as its availability allows. A draining worker is lost anyway, so all its
// lasting tasks go at once; of the others only those that keep what they have done
// and can't end in the time left.
func (e *Engine) evacuate(now time.Time) {
	for _, w := range e.workers {
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
	left := w.RemainingTime - now.Sub(w.drainSeen)
	for _, r := range w.runs {
		s := r.step()
		if s == nil || r.state != runStarted {
			continue
		}
		if s.LongRunning || s.Checkpoints && !s.Gang && left < evacuateMargin && r.left(now) > left {
			e.Logger.Info("task evacuated", zap.String("task", r.task.String()), zap.Int("attempt", r.attempt),
				zap.String("worker", w.ID), zap.Duration("left", left))
			e.stop(r)
		}
	}
}

// evacuateMargin is how long before a worker leaves a task is stopped that can't
// end in time; a stop and its report take a few hundred milliseconds.
const evacuateMargin = 800 * time.Millisecond

// left is how much longer an attempt runs, by its progress if it has made any.
func (r *run) left(now time.Time) time.Duration {
	estimate := r.step().Estimate
	ran := now.Sub(r.answered)
	if r.percent >= 5 && ran > 0 {
		return time.Duration(float64(ran) * float64(fullPace-r.percent) / float64(r.percent))
	}
	return max(0, estimate-ran)
}

// evacuateReserved stops one lasting task of each step that has more tasks on w
// than may be away at a time.
func (e *Engine) evacuateReserved(w *worker) {
	on := map[stepKey]int{}
	e.takeRuns(w, on)
	for _, r := range w.runs {
		s := r.step()
		if s == nil || !s.LongRunning || r.state != runStarted || r.job.p.State.Final() {
			continue
		}
		k := stepKey{r.task.Job, r.task.Occurrence, r.task.Step}
		if on[k] <= max(s.MaxUnavailable, 1) || e.awayFrom(r.job, k.occurrence, k.step) >= max(s.MaxUnavailable, 1) {
			continue
		}
		e.Logger.Info("task evacuated", zap.String("task", r.task.String()), zap.Int("attempt", r.attempt), zap.String("worker", w.ID))
		e.stop(r)
		on[k] = 0
	}
}

// awayFrom counts the tasks of a lasting step that aren't at work.
func (e *Engine) awayFrom(j *job, k, step int) int {
	return e.awayElsewhere(j, k, step, nil)
}

// takeRuns adds the lasting tasks on a worker, by step.
func (e *Engine) takeRuns(w *worker, taken map[stepKey]int) {
	for _, r := range w.runs {
		if s := r.step(); s != nil && s.LongRunning && !r.job.p.State.Final() {
			taken[stepKey{r.task.Job, r.task.Occurrence, r.task.Step}]++
		}
	}
}
