package mspause

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjoramspan/msjob"
)

// A task that shows no progress anywhere paused each worker that it was tried on.
func TestStallsOfATaskThatStallsElsewhereDontCount(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	a, b := msjob.TaskID{Job: "1"}, msjob.TaskID{Job: "1", Index: 1}
	stalledElsewhere := map[msjob.TaskID]bool{}
	elsewhere := func(task msjob.TaskID) bool { return stalledElsewhere[task] }
	var s Stalls
	require.Zero(t, s.Until(elsewhere, now))
	s.Add(a, now)
	require.Equal(t, now.Add(stallPause), s.Until(elsewhere, now))
	stalledElsewhere[a] = true
	require.Zero(t, s.Until(elsewhere, now))
	s.Add(b, now.Add(time.Second))
	require.Equal(t, now.Add(time.Second+stallPause), s.Until(elsewhere, now.Add(time.Second)))
	stalledElsewhere[b] = true
	require.Zero(t, s.Until(elsewhere, now.Add(time.Second)))
	s.Add(msjob.TaskID{Job: "2"}, now.Add(2*time.Second))
	stalledElsewhere[msjob.TaskID{Job: "2"}] = true
	require.Equal(t, now.Add(2*time.Second+stallPause), s.Until(elsewhere, now.Add(2*time.Second)), "tasks of several jobs")
	require.Zero(t, s.Until(elsewhere, now.Add(2*time.Second+stallPause)))
	require.False(t, s.Any())
}
