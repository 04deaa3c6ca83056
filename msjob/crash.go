package msjob

import "time"

const (
	// minCrashes is how many workers must have crashed under a task before it may be
	// given up. A single crash says little about the tasks that ran there.
	minCrashes = 2
	// minUnconfirmedCrashes is the same if not all of the workers had confirmed the start.
	minUnconfirmedCrashes = 3
	// isolatedCrashes and maxUnprovenCrashes are from how many crashes on, and from how many
	// with those that are not confirmed, a task starts alone on a worker.
	isolatedCrashes    = 1
	maxUnprovenCrashes = 3
	// maxCrashes is how many workers a task may take down, whatever else may have been the
	// cause.
	maxCrashes = 5
)

// CrashEvidence is how likely a task is the cause of the end of a worker.
type CrashEvidence int

const (
	// CrashUnlikely is for tasks that had run for some time when others had just started.
	CrashUnlikely CrashEvidence = iota
	// CrashUnconfirmed is for workers that may not have crashed, or not have had the task.
	CrashUnconfirmed
	// CrashConfirmed is for workers that crashed after they had confirmed the start, without
	// a likelier cause.
	CrashConfirmed
)

// RecordCrash counts a worker that ended without an order while it may have run the task,
// for the given time.
func (t *Task) RecordCrash(evidence CrashEvidence, ran time.Duration) {
	switch {
	case evidence == CrashConfirmed:
		t.Crashes++
	case evidence == CrashUnconfirmed, t.MaxCrashes() < maxUnprovenCrashes:
		// Unlikely causes only make the task start alone.
		t.UnconfirmedCrashes++
	}
	t.CrashRuntime = max(t.CrashRuntime, ran)
}

// TrialTime is how long an attempt of the task has to run before it is no longer a likely
// cause of a crash.
func (t *Task) TrialTime() time.Duration {
	return min(max(MinTrialTime, t.CrashRuntime+t.CrashRuntime/2+MinTrialTime/2), maxTrialTime)
}

const (
	// MinTrialTime is the TrialTime of tasks that have not run before a crash: most tasks
	// that crash a worker do so as they start.
	MinTrialTime = 300 * time.Millisecond
	maxTrialTime = 10 * time.Second
)

// MaxCrashes returns how many workers the task may have crashed. A task with any is
// suspect.
func (t *Task) MaxCrashes() int {
	return t.Crashes + t.UnconfirmedCrashes
}

// NeedsIsolation reports whether the task must start alone on a worker, so that another
// crash proves that it is the cause. Tasks that are a less likely cause of a crash are only
// kept apart from others where there is room.
func (t *Task) NeedsIsolation() bool {
	return t.Crashes >= isolatedCrashes || t.MaxCrashes() >= maxUnprovenCrashes
}

// Exonerate forgets the crashes, once an attempt has run for long.
func (t *Task) Exonerate() {
	t.Crashes, t.UnconfirmedCrashes, t.CrashRuntime = 0, 0, 0
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
