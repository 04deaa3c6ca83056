package msscheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjoramspan/msjob"
	"marjoramspan/msworker"
)

// A new leader must keep images apart that its predecessor has found to interfere, and start
// them beside each other where no other worker has room.
func TestNextLeaderKeepsInterferingImagesApart(t *testing.T) {
	t.Parallel()
	w := newTestCluster(t, 2)
	r, err := msjob.FleetRecord(&msjob.Fleet{Interference: []msjob.Interference{
		{Slowed: "a", By: "b", Slowdown: 1.5, Evidence: 12, Samples: 20, Updated: time.Now().UnixMilli()},
	}})
	require.NoError(t, err)
	w.log.Put("jobs", r.Key, r.Value)
	w.entry("a")
	run := func(id, image string, tasks int) {
		s := step(tasks)
		s.Image, s.Estimate = image, time.Minute
		w.submit(&msjob.Job{ID: id, Spec: "run=60s", Steps: []msjob.Step{s}})
	}
	workersOf := func(job string) map[string]int {
		on := map[string]int{}
		for _, r := range w.journal.Runs() {
			if r.Task.Job == job {
				on[r.Worker]++
			}
		}
		return on
	}
	run("0000000000000001", "b", 1)
	w.awaitRunning(1)
	run("0000000000000002", "a", 4)
	w.awaitRunning(5)
	for worker := range workersOf("0000000000000001") {
		require.NotContains(t, workersOf("0000000000000002"), worker)
	}
	run("0000000000000003", "a", 3)
	w.awaitRunning(8)
	require.Equal(t, workersOf("0000000000000001"), map[string]int{onlyKey(t, workersOf("0000000000000003")): 1})
}

func onlyKey(t *testing.T, m map[string]int) string {
	t.Helper()
	require.Len(t, m, 1)
	for k := range m {
		return k
	}
	return ""
}

// The leader must find a pair from the ends of attempts, with what ran and what has ended
// beside them, and must not blame neighbours for a worker that fails.
func TestEndsShowInterference(t *testing.T) {
	t.Parallel()
	for _, failed := range []bool{false, true} {
		e := saturatedEngine(t, 1, 1, 1, 100)
		w := e.workerFor("w-0000")
		now := e.Clock.Now()
		if failed {
			w.failures.Fail("j", now.Add(time.Minute))
		}
		second := 0
		var j *job
		for _, j = range e.active {
			r := e.newRun(j, msjob.TaskID{Job: j.def.ID}, 1, w)
			start := now.Add(time.Duration(second) * time.Second)
			r.image, r.answeredAt, r.confirmedAt = "a", start, start
			took := time.Duration(800+second) * time.Millisecond
			if second >= 40 && second%2 == 0 {
				took = took * 3 / 2
				w.history.Ended("b", start.Add(-time.Second), start.Add(took))
			}
			e.noteInterference(r, msworker.End{Reason: msworker.EndDone}, start.Add(took))
			second++
		}
		e.checkInterference(now)
		if failed {
			require.Zero(t, e.interference.table.Found())
			continue
		}
		require.Equal(t, []string{"b"}, e.interference.table.Partners("a"))
		require.Contains(t, e.interference.attempts, "b")
		other := e.newRun(j, msjob.TaskID{Job: j.def.ID}, 2, w)
		other.image = "b"
		e.addRun(other)
		require.Equal(t, []map[string]int{{"w-0000": 1}}, e.interference.partnersOf("a"))
		e.dropRun(other)
		require.Empty(t, e.interference.partnersOf("a"))
	}
}
