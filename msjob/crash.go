package msjob

const (
	// minCrashes is how many workers must have crashed under a task before it may be
	// given up. A single crash says little about the tasks that ran there.
	minCrashes = 2
	// minUnconfirmedCrashes is the same if not all of the workers had confirmed the start.
	minUnconfirmedCrashes = 3
	// maxCrashes is how many workers a task may take down, whatever else may have been the
	// cause.
	maxCrashes = 5
)

// RecordCrash counts a worker that ended without an order while it ran the task. confirmed
// says that the worker crashed and had confirmed the start; otherwise it may not have had
// the task, or may not have crashed.
func (t *Task) RecordCrash(confirmed bool) {
	if confirmed {
		t.Crashes++
	} else {
		t.UnconfirmedCrashes++
	}
}

// MaxCrashes returns how many workers the task may have crashed. A task with any is
// suspect.
func (t *Task) MaxCrashes() int {
	return t.Crashes + t.UnconfirmedCrashes
}

// Exonerate forgets the crashes, once an attempt has run for long.
func (t *Task) Exonerate() {
	t.Crashes, t.UnconfirmedCrashes = 0, 0
}

// CrashesWorkers reports whether the task must not be started again, as it crashes the
// workers that start it. alone says that the worker that crashed last had started no task
// of another job shortly before.
//
// It answers a load in which one task takes worker after worker down, and with each of them
// the tasks of other jobs. Those are started again as often as it takes: they lose workers
// beside such a task, and seldom alone.
func (t *Task) CrashesWorkers(alone bool) bool {
	n := t.MaxCrashes()
	return n >= maxCrashes || alone && (t.Crashes >= minCrashes || n >= minUnconfirmedCrashes)
}
