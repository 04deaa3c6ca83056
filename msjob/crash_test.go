package msjob

import (
	"testing"

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

// However the evidence comes in, no task may crash more workers than the bound.
func TestTasksCrashABoundedNumberOfWorkers(t *testing.T) {
	t.Parallel()
	for mask := range 1 << 12 {
		var task Task
		n := 0
		for i := range 6 {
			n++
			task.RecordCrash(mask>>(2*i)&1 != 0)
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
	task.RecordCrash(true)
	task.RecordCrash(false)
	require.Equal(t, 2, task.MaxCrashes())
	task.Exonerate()
	require.Zero(t, task.MaxCrashes())
}
