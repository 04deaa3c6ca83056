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

// Until returns when the pause for the latest stall ends that speaks against the worker. A task
// that failed or stalled elsewhere too, which elsewhere reports, is the more likely cause. The
// result is the zero time if there is no such stall.
func (s *Stalls) Until(elsewhere func(task msjob.TaskID) bool, now time.Time) time.Time {
	var latest time.Time
	for task, at := range s.byTask {
		switch {
		case now.Sub(at) >= stallPause:
			delete(s.byTask, task)
		case at.After(latest) && !elsewhere(task):
			latest = at
		}
	}
	if latest.IsZero() {
		return latest
	}
	return latest.Add(stallPause)
}

// MayPause reports whether there may be a recent stall.
func (s *Stalls) MayPause() bool {
	return len(s.byTask) > 0
}
