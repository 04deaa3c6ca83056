package msscheduler

import (
	"sort"
	"time"

	"go.uber.org/zap"

	"marjoramspan/msjob"
)

const (
	// stallTimeout is how long an attempt may show no progress. Workers report at least
	// once a second, and a task that takes seconds advances by percents between two
	// reports.
	stallTimeout = 1700 * time.Millisecond
	// stallEstimateShare is the fraction of its estimate that a task is allowed on top,
	// as long tasks advance slowly.
	stallEstimateShare = 0.05
	// stallCheckInterval is the time between two searches for attempts that make no
	// progress: a search looks at every attempt, and the limits are far longer.
	stallCheckInterval = 100 * time.Millisecond
	// maxStalls is on how many workers a task is stopped as stalled. One that advances
	// nowhere may just not report progress.
	maxStalls = 2
	// runtimeWeight is the weight of the latest attempt in a worker's average run time.
	runtimeWeight = 0.3
	// minSlowRatio and maxSlowRatio are the ratios of a worker's average run time to the
	// median of its pool at which its slowness rises above 0 and reaches 1.
	minSlowRatio = 1.7
	maxSlowRatio = 4.0
	// duplicateAfter is the multiple of its estimate after which a task gets a
	// duplicate, if its step allows duplicates.
	duplicateAfter = 2.2
)

// stopStalled stops the attempts that make no progress and keeps new tasks off their
// workers for a time: a worker may hang or turn slow while it looks healthy. The caller
// holds mu.
func (e *Engine) stopStalled(now time.Time) {
	for _, w := range e.workers {
		for _, r := range w.runs {
			e.logSlowStop(r, now)
		}
		if !w.reachable {
			continue
		}
		for _, r := range w.runs {
			if r.state == runStarted && e.isStalled(r, now) {
				e.Logger.Info("attempt stalled", zap.String("task", r.task.String()), zap.Int("attempt", r.attempt),
					zap.String("worker", w.ID), zap.Int("percent", r.percent), zap.Duration("since", now.Sub(r.progressedAt)))
				w.stalls.Add(r.task, now)
				r.job.avoidWorker(r.task, w.ID)
				e.stop(r)
			}
		}
	}
}

func (e *Engine) isStalled(r *run, now time.Time) bool {
	s := r.step()
	if s == nil || s.Gang || s.Backfill || r.progressedAt.IsZero() || r.job.p.State.Final() {
		return false
	}
	if s.LongRunning && r.percent >= fullPercent {
		return false
	}
	if len(r.job.avoid[r.task]) >= maxStalls {
		return false
	}
	limit := stallTimeout + time.Duration(stallEstimateShare*float64(s.Estimate))
	// Only a report that came after the limit shows that there was no progress.
	return r.reportedAt.Sub(r.progressedAt) > limit && now.Sub(r.reportedAt) < stallTimeout
}

// recordRuntime adds the run time of a successful attempt to its worker's average, as a
// multiple of the estimate.
func (w *worker) recordRuntime(took, estimate time.Duration) {
	if estimate <= 0 || took <= 0 {
		return
	}
	ratio := float64(took) / float64(estimate)
	if w.runtimeRatio == 0 {
		w.runtimeRatio = ratio
		return
	}
	w.runtimeRatio += runtimeWeight * (ratio - w.runtimeRatio)
}

// medianRuntimeRatios returns the median of the workers' average run times, by pool.
func (e *Engine) medianRuntimeRatios() map[string]float64 {
	all := map[string][]float64{}
	for _, w := range e.workers {
		if w.runtimeRatio > 0 {
			all[w.Pool] = append(all[w.Pool], w.runtimeRatio)
		}
	}
	medians := make(map[string]float64, len(all))
	for pool, r := range all {
		sort.Float64s(r)
		medians[pool] = r[len(r)/2]
	}
	return medians
}

// slowness is how much slower than its pool a worker is, from 0 to 1.
func (w *worker) slowness(median float64) float64 {
	if w.runtimeRatio == 0 || median == 0 {
		return 0
	}
	return min(1, max(0, (w.runtimeRatio/median-minSlowRatio)/(maxSlowRatio-minSlowRatio)))
}

// wantsDuplicate reports whether a duplicate of the task may start beside its only
// attempt.
func (e *Engine) wantsDuplicate(j *job, id msjob.TaskID, t *msjob.Task, now time.Time) bool {
	s := &j.def.Steps[id.Step]
	if !s.Duplicates || s.Gang || s.LongRunning || t.Phase != msjob.Assigned || t.MaxCrashes() > 0 {
		return false
	}
	r := e.runs[runKey{task: id, attempt: t.Attempt}]
	if r == nil || r.state == runPlanned || j.duplicated[id] {
		return false
	}
	since := r.answeredAt
	if since.IsZero() {
		since = r.orderedAt
	}
	if since.IsZero() {
		return false
	}
	ran := now.Sub(since)
	return !r.w.reachable && ran > stallTimeout/2 || ran > time.Duration(duplicateAfter*float64(s.Estimate))+stallTimeout/4
}
