package msscheduler

import (
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
	// duplicateAfter is the multiple of its estimate after which a task gets a
	// duplicate, if its step allows duplicates.
	duplicateAfter = 2.2
)

// stopStalled stops the attempts that make no progress and keeps new tasks off their
// workers for a time: a worker may hang or turn slow while it looks healthy. The caller
// holds mu.
func (e *Engine) stopStalled(now time.Time) {
	for _, w := range e.workers {
		if !w.reachable {
			continue
		}
		for _, r := range w.runs {
			if r.state == runStarted && e.isStalled(r, now) {
				e.Logger.Info("attempt stalled", zap.String("task", r.task.String()), zap.Int("attempt", r.attempt),
					zap.String("worker", w.ID), zap.Int("percent", r.percent), zap.Duration("since", now.Sub(r.progressedAt)))
				e.health.Stalled(e.healthOf(w), now)
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
	if _, ok := e.straggles(r, now); ok {
		return true
	}
	return !r.w.reachable && ran > stallTimeout/2 || ran > time.Duration(duplicateAfter*float64(s.Estimate))+stallTimeout/4
}
