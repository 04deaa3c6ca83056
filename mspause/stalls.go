package mspause

import (
	"time"

	"marjoramspan/msjob"
)

// Stalls has the tasks that showed no progress on a worker lately. The zero value has none.
type Stalls struct {
	byTask map[msjob.TaskID]time.Time
}

// stallPause is how long a worker on which a task stalled is paused.
const stallPause = 5 * time.Second

// Add counts a task that was stopped because it showed no progress.
func (s *Stalls) Add(task msjob.TaskID, now time.Time) {
	if s.byTask == nil {
		s.byTask = map[msjob.TaskID]time.Time{}
	}
	s.byTask[task] = now
}

// Until returns when the pause for the latest stall ends, or the zero time if no stall speaks
// against the worker. elsewhere reports whether a task has failed or stalled on another worker
// too: then it is the more likely cause, unless tasks of several jobs have stalled here.
func (s *Stalls) Until(elsewhere func(task msjob.TaskID) bool, now time.Time) time.Time {
	var all, latest time.Time
	job, several := "", false
	for task, at := range s.byTask {
		if now.Sub(at) >= stallPause {
			delete(s.byTask, task)
			continue
		}
		several = several || job != "" && job != task.Job
		job = task.Job
		if at.After(all) {
			all = at
		}
		if at.After(latest) && !elsewhere(task) {
			latest = at
		}
	}
	if several {
		latest = all
	}
	if latest.IsZero() {
		return latest
	}
	return latest.Add(stallPause)
}

// Any reports whether there may be a recent stall.
func (s *Stalls) Any() bool {
	return len(s.byTask) > 0
}
