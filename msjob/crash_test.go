package msjob

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestTasksThatCrashTheirWorkers(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		crashes, unconfirmed int
		alone, want          bool
	}{
		{crashes: 1, alone: true},
		{unconfirmed: 2, alone: true},
		{crashes: 2, alone: true, want: true},
		{crashes: 1, unconfirmed: 1, alone: true},
		{crashes: 1, unconfirmed: 2, alone: true, want: true},
		{unconfirmed: 3, alone: true, want: true},
		{crashes: 2},
		{crashes: 4},
		{crashes: 5, want: true},
		{crashes: 2, unconfirmed: 3, want: true},
		{unconfirmed: 5, want: true},
	} {
		task := Task{Crashes: c.crashes, UnconfirmedCrashes: c.unconfirmed}
		require.Equal(t, c.want, task.CrashesWorkers(c.alone), "%+v", c)
	}
}

// The last start that a task may have is alone, so that no task is given up beside others.
func TestLastStartIsIsolated(t *testing.T) {
	t.Parallel()
	for mask := range 1 << (maxCrashes - 1) {
		var task Task
		for i := range maxCrashes - 1 {
			require.False(t, task.CrashesWorkers(false))
			task.RecordCrash(CrashEvidence(mask>>i&1)+CrashUnconfirmed, 0)
		}
		require.Equal(t, IsolatedByJob, task.Isolation(), "%b", mask)
	}
	for n, want := range []Isolation{NotIsolated, NotIsolated, NotIsolated, IsolatedWithSuspects, IsolatedByJob} {
		unconfirmed := Task{UnconfirmedCrashes: n}
		require.Equal(t, want, unconfirmed.Isolation(), n)
	}
}

// However the evidence comes in, no task may crash more workers than the bound.
func TestTasksCrashABoundedNumberOfWorkers(t *testing.T) {
	t.Parallel()
	for mask := range 1 << 12 {
		var task Task
		n := 0
		for i := range 6 {
			n++
			task.RecordCrash(CrashEvidence(mask>>(2*i)&1)+CrashUnconfirmed, 0)
			if task.CrashesWorkers(mask>>(2*i)&2 != 0) {
				break
			}
		}
		require.LessOrEqual(t, n, 5)
		require.GreaterOrEqual(t, n, 2)
	}
}

func TestExoneratedTasksAreNotSuspect(t *testing.T) {
	t.Parallel()
	var task Task
	task.RecordCrash(CrashConfirmed, 2*time.Second)
	task.RecordCrash(CrashUnconfirmed, time.Second)
	require.Equal(t, 3150*time.Millisecond, task.TrialTime())
	require.Equal(t, 2, task.MaxCrashes())
	task.Exonerate()
	require.Zero(t, task.MaxCrashes())
}

// Tasks that had run for some time beside ones that had just started are not given up,
// however often their worker crashes, but start alone.
func TestUnlikelyCausesAreNotGivenUp(t *testing.T) {
	t.Parallel()
	var task Task
	for range 20 {
		task.RecordCrash(CrashUnlikely, 2*time.Second)
		require.False(t, task.CrashesWorkers(false))
	}
	require.Equal(t, IsolatedWithSuspects, task.Isolation())
	task.RecordCrash(CrashConfirmed, 2*time.Second)
	require.True(t, task.CrashesWorkers(true))
}
