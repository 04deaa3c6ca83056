package msscheduler

import (
	"sort"
	"time"

	"go.uber.org/zap"

	"marjoramspan/msjob"
)

const (
	// stallBase is how long an attempt may show no progress; workers report at least
	// once a second, and a task of seconds moves by percents between two reports.
	stallBase = 1700 * time.Millisecond
	// stallShare of its estimate is allowed on top, for tasks that move slowly.
	stallShare = 0.05
	// maxStalls is on how many workers a task is stopped for want of progress; one
	// that moves nowhere may just not show it.
	maxStalls = 2
	// stalledFor is how long a worker on which an attempt stalled gets no new tasks.
	stalledFor = 5 * time.Second
	// paceWeight is the weight of the newest attempt in a worker's mean run time.
	paceWeight = 0.3
	// slowFrom and slowTo are the ratios of a worker's mean run time to the pool's
	// from which it is doubted and at which it is not trusted at all.
	slowFrom = 1.7
	slowTo   = 4.0
	// copyFrom is how many times its estimate a task may take before a copy is
	// started, where its step allows copies.
	copyFrom = 2.2
)

// watch looks for attempts that don't move, and for those that are slow where a
// copy may run. It answers workers that stand still or turn slow while they look
// healthy. The caller holds mu.
func (e *Engine) watch(now time.Time) {
	for _, w := range e.workers {
		if !w.reachable {
			continue
		}
		for _, r := range w.runs {
			if r.state == runStarted && e.isStalled(r, now) {
				e.Logger.Info("attempt stalled", zap.String("task", r.task.String()), zap.Int("attempt", r.attempt),
					zap.String("worker", w.ID), zap.Int("percent", r.percent), zap.Duration("since", now.Sub(r.moved)))
				w.closedUntil = now.Add(stalledFor)
				r.job.avoidWorker(r.task, w.ID)
				e.stop(r)
			}
		}
	}
}

func (e *Engine) isStalled(r *run, now time.Time) bool {
	s := r.step()
	if s == nil || s.Gang || s.Backfill || r.moved.IsZero() || r.job.p.State.Final() {
		return false
	}
	if s.LongRunning && r.percent >= fullPace {
		return false
	}
	if len(r.job.avoid[r.task]) >= maxStalls {
		return false
	}
	limit := stallBase + time.Duration(stallShare*float64(s.Estimate))
	// Only a report that came after the limit shows that nothing has moved.
	return r.seen.Sub(r.moved) > limit && now.Sub(r.seen) < stallBase
}

// noteRunTime takes the run time of an attempt that ended well into its worker's
// mean, as a multiple of the estimate.
func (w *worker) noteRunTime(took, estimate time.Duration) {
	if estimate <= 0 || took <= 0 {
		return
	}
	ratio := float64(took) / float64(estimate)
	if w.ratio == 0 {
		w.ratio = ratio
		return
	}
	w.ratio += paceWeight * (ratio - w.ratio)
}

// poolRatios returns the median of the workers' mean run times, by pool.
func (e *Engine) poolRatios() map[string]float64 {
	all := map[string][]float64{}
	for _, w := range e.workers {
		if w.ratio > 0 {
			all[w.Pool] = append(all[w.Pool], w.ratio)
		}
	}
	medians := make(map[string]float64, len(all))
	for pool, r := range all {
		sort.Float64s(r)
		medians[pool] = r[len(r)/2]
	}
	return medians
}

// slowness is from 0 to 1: how much slower than its pool a worker is.
func (w *worker) slowness(median float64) float64 {
	if w.ratio == 0 || median == 0 {
		return 0
	}
	return min(1, max(0, (w.ratio/median-slowFrom)/(slowTo-slowFrom)))
}

// wantsCopy says whether a copy of the task may start beside its only attempt.
func (e *Engine) wantsCopy(j *job, id msjob.TaskID, t *msjob.Task, now time.Time) bool {
	s := &j.def.Steps[id.Step]
	if !s.Duplicates || s.Gang || s.LongRunning || t.Phase != msjob.Assigned {
		return false
	}
	r := e.runs[runKey{task: id, attempt: t.Attempt}]
	if r == nil || r.state == runPlanned || j.copied[id] {
		return false
	}
	since := r.answered
	if since.IsZero() {
		since = r.ordered
	}
	if since.IsZero() {
		return false
	}
	ran := now.Sub(since)
	return !r.w.reachable && ran > stallBase/2 || ran > time.Duration(copyFrom*float64(s.Estimate))+stallBase/4
}
