package msplace

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjoramspan/msjob"
)

// Many jobs want the rack of their data. A task that took any free worker at once ran for
// three times as long and was late, also where room on its rack was about to come free.
func TestTaskWaitsForItsRackWhileThatEndsSooner(t *testing.T) {
	const run = 850 * time.Millisecond
	for name, c := range map[string]struct {
		penalty float64
		ends    time.Duration
		free    int64
		want    int
	}{
		"room on the rack":          {3, 0, 32000, 0},
		"room soon":                 {3, 300 * time.Millisecond, 0, -1},
		"room too late":             {3, 2 * time.Second, 0, 1},
		"elsewhere costs little":    {1.5, 400 * time.Millisecond, 0, 1},
		"nothing is known to end":   {3, 0, 0, 1},
		"without a penalty at once": {1, 10 * time.Millisecond, 0, 1},
	} {
		s := msjob.Step{Count: 1, Need: msjob.Resources{CPU: 32000, Memory: 100}, DataRack: "r1"}
		want := newWant(s)
		want.RunTime, want.RemotePenalty, want.RackRoom = run, c.penalty, &Room{}
		want.RackRoom.AddWorker(msjob.Resources{CPU: 32000, Memory: 64000})
		if c.ends > 0 {
			want.RackRoom.AddEnd(c.ends, msjob.Resources{CPU: 32000, Memory: 100})
		}
		workers := []Worker{newWorker("a", "r1", c.free), newWorker("b", "r2", 32000)}
		got, room := ChooseOrWait(want, workers)
		require.Equal(t, c.want, got, name)
		require.Equal(t, c.want < 0, room != nil, name)
		if room != nil {
			// A second task would have to wait for the first one as well, a third for two.
			_, room = ChooseOrWait(want, workers)
			require.NotNil(t, room, name)
			got, _ = ChooseOrWait(want, workers)
			require.Equal(t, 1, got, name)
		}
	}
}

// A task that takes three times as long away from its data runs on a cold worker near it, but
// not on a slow one.
func TestHighPenaltyPrefersTheRack(t *testing.T) {
	want := newWant(msjob.Step{Count: 1, Need: msjob.Resources{CPU: 4000, Memory: 100}, DataRack: "r1"})
	workers := []Worker{newWorker("a", "r1", 32000), newWorker("b", "r2", 32000)}
	workers[0].FailureRisk, want.RemotePenalty = 1, 1.5
	require.Equal(t, 1, Choose(want, workers))
	want.RemotePenalty = 3
	require.Equal(t, 0, Choose(want, workers))
	workers[0].FailureRisk, workers[0].LastResort = 0, true
	require.Equal(t, 1, Choose(want, workers))
}

// Work that does not need the data took the rack's last room while tasks waited for it.
func TestWantedRackIsKeptForItsData(t *testing.T) {
	s := msjob.Step{Count: 1, Need: msjob.Resources{CPU: 4000, Memory: 100}}
	workers := []Worker{newWorker("a", "r1", 8000), newWorker("b", "r2", 32000)}
	require.Equal(t, 0, Choose(newWant(s), workers))
	workers[0].Wanted = true
	require.Equal(t, 1, Choose(newWant(s), workers))
	require.Equal(t, 0, Choose(newWant(s), workers[:1]), "no room elsewhere")
	s.DataRack = "r1"
	require.Equal(t, 0, Choose(newWant(s), workers))
}

// A slow worker gets only what no other can take, and a task waits for a sound one if it
// then ends sooner. A worker that has failed gets one task at a time, and none that has failed.
func TestBadWorkersAreTheLastResort(t *testing.T) {
	s := msjob.Step{Count: 1, Need: msjob.Resources{CPU: 4000, Memory: 100}, DataRack: "r1"}
	workers := []Worker{newWorker("a", "r1", 32000), newWorker("b", "r2", 32000)}
	workers[0].LastResort, workers[0].Slowdown = true, 8
	want := newWant(s)
	require.Equal(t, 1, Choose(want, workers))
	workers[1].Free.CPU = 0
	want.RunTime, want.PoolRoom = time.Second, &Room{}
	want.PoolRoom.AddWorker(workers[1].Capacity)
	n, _ := ChooseOrWait(want, workers)
	require.Equal(t, 0, n, "no room expected")
	want.PoolRoom.AddEnd(500*time.Millisecond, msjob.Resources{CPU: 32000, Memory: 64000})
	n, _ = ChooseOrWait(want, workers)
	require.Equal(t, -1, n)
	workers[0] = newWorker("a", "r1", 32000)
	workers[0].LastResort, workers[0].Limited = true, true
	want = newWant(s)
	require.Equal(t, 0, Choose(want, workers))
	want.Failures = 1
	require.Equal(t, -1, Choose(want, workers), "it waits for a proven worker")
	want.Failures, workers[0].Tasks = 0, 1
	require.Equal(t, -1, Choose(want, workers), "one task at a time")
	workers[1].Free.CPU, workers[1].Proven = 32000, 1
	workers = append(workers, newWorker("c", "r1", 32000))
	want.Failures = 1
	require.Equal(t, 1, Choose(want, workers), "a proven worker rather than the rack of the data")
}
