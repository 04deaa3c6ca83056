package msscheduler

import (
	"time"

	"marjoramspan/msruntime"
)

// ratio returns the learned run times of the job's queue.
func (j *job) ratio() msruntime.Ratio {
	if j.runtimes == nil {
		return msruntime.Ratio{}
	}
	return j.runtimes.Queue(j.queueKey())
}

// recordRuntime learns from an attempt that succeeded after it ran for the given time.
// Attempts that an earlier leader started are left out, as their start isn't known, and so
// are those that may have continued from a checkpoint.
func (e *Engine) recordRuntime(r *run, ran time.Duration, now time.Time) {
	step := r.step()
	if r.adopted || step.LongRunning || step.Backfill || step.Checkpoints && r.attempt > 1 {
		return
	}
	e.runtimes.RecordTask(step.Image, ran, step.Estimate, now)
	if r.job.longestRuns == nil {
		r.job.longestRuns = make([]time.Duration, len(r.job.def.Steps))
	}
	r.job.longestRuns[r.task.Step] = max(r.job.longestRuns[r.task.Step], ran)
}

// recordJobRuntime learns from a job that has completed, if it ran once and a run is known
// of each step. The length of the job is that of the longest chain of its tasks' runs. The
// time for which tasks waited for capacity doesn't count, as callers' objectives don't count
// it either.
func (e *Engine) recordJobRuntime(j *job) {
	if j.def.OccurrenceCount() != 1 || j.longestRuns == nil {
		return
	}
	finish := make([]time.Duration, len(j.def.Steps))
	longest := time.Duration(0)
	for i := range j.def.Steps {
		if j.longestRuns[i] == 0 {
			return
		}
		start := time.Duration(0)
		for _, dep := range j.def.Steps[i].After {
			start = max(start, finish[dep])
		}
		finish[i] = start + j.longestRuns[i]
		longest = max(longest, finish[i])
	}
	e.runtimes.RecordJob(j.queueKey(), longest, j.criticalPath, e.Clock.Now())
}
