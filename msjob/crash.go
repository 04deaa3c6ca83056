package msjob

import "time"

const (
	// minCrashes is how many workers must have crashed under a task before it may be
	// given up. A single crash says little about the tasks that ran there.
	minCrashes = 2
	// minUnconfirmedCrashes is the same if not all of the workers had confirmed the start.
	minUnconfirmedCrashes = 3
	// maxUnprovenCrashes is from how many crashes on a task that is not a likely cause is
	// isolated.
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
		// Unlikely causes only make the task start apart from others.
		t.UnconfirmedCrashes++
	}
	t.CrashRuntime = max(t.CrashRuntime, ran)
}

// TrialTime is how long an attempt of the task has to run before it is no longer a likely
// cause of a crash.
func (t *Task) TrialTime() time.Duration {
	return min(max(MinTrialTime, t.CrashRuntime+t.CrashRuntime/2+MinTrialTime/2), MaxTrialTime)
}

const (
	// MinTrialTime is the TrialTime of tasks that have not run before a crash: most tasks
	// that crash a worker do so as they start.
	MinTrialTime = 300 * time.Millisecond
	// MaxTrialTime is the longest. A task that crashes its workers later is not found.
	MaxTrialTime = 10 * time.Second
)

// MaxCrashes returns how many workers the task may have crashed. A task with any is
// suspect.
func (t *Task) MaxCrashes() int {
	return t.Crashes + t.UnconfirmedCrashes
}

// Isolation is beside what a suspect task may start.
type Isolation int

const (
	// NotIsolated tasks start beside any other, on an idle worker if there is one.
	NotIsolated Isolation = iota
	// IsolatedWithSuspects tasks start beside others of their kind: none of them is a likely
	// cause, and it would take long to start each of them alone.
	IsolatedWithSuspects
	// IsolatedByJob tasks start beside tasks of their job only, so that another crash proves
	// that the job is the cause.
	IsolatedByJob
)

// Isolation returns beside what the task may start.
func (t *Task) Isolation() Isolation {
	switch {
	case t.Crashes > 0 || t.MaxCrashes() > maxUnprovenCrashes:
		return IsolatedByJob
	case t.MaxCrashes() >= maxUnprovenCrashes:
		return IsolatedWithSuspects
	}
	return NotIsolated
}

// Exonerate forgets the crashes, once an attempt has run for long.
func (t *Task) Exonerate() {
	t.Crashes, t.UnconfirmedCrashes, t.CrashRuntime = 0, 0, 0
}

// CrashesWorkers reports whether the task is taken to crash the workers that start it. It must
// not be started again, or only after a delay if it is long-running. alone says that the
// worker that crashed last had started no task of another job shortly before.
//
// It answers a load in which one task takes worker after worker down, and with each of them
// the tasks of other jobs. Those are started again as often as it takes: they lose workers
// beside such a task, and seldom alone.
func (t *Task) CrashesWorkers(alone bool) bool {
	n := t.MaxCrashes()
	return n >= maxCrashes || alone && (t.Crashes >= minCrashes || n >= minUnconfirmedCrashes)
}
