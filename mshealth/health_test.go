package mshealth

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

// busyTable has 20 workers on one rack that have all run tasks well.
func busyTable(now time.Time) (*Table, []*Worker) {
	t := &Table{RackSize: map[string]int{"r": 20}, PoolSize: map[string]int{"p": 20}}
	var workers []*Worker
	for i := range 20 {
		w := t.Worker("vm"+strconv.Itoa(i), "p", "r", now)
		for range 5 {
			t.Ran(w, "i", time.Second, time.Second, now)
			t.Succeeded(w, "i", now)
		}
		workers = append(workers, w)
	}
	return t, workers
}

// Two failures of different jobs take a worker out of use, each time for longer, and it
// returns once tasks succeed.
func TestFailuresTakeAWorkerOutUntilTasksSucceed(t *testing.T) {
	now := start
	table, workers := busyTable(now)
	w := workers[0]
	table.Failed(w, Failure{Job: "a", Image: "i"}, now)
	require.Equal(t, Suspect, table.State(w, now))
	table.Failed(w, Failure{Job: "b", Image: "i"}, now)
	require.Equal(t, Out, table.State(w, now))
	require.Zero(t, table.Throughput(w, now))
	now = now.Add(firstPause)
	require.Equal(t, Probation, table.State(w, now))
	table.Failed(w, Failure{Job: "c", Image: "i"}, now)
	now = now.Add(2*firstPause - time.Millisecond)
	require.Equal(t, Out, table.State(w, now))
	now = now.Add(time.Millisecond)
	for range probationSuccesses {
		require.Equal(t, Probation, table.State(w, now))
		table.Succeeded(w, "i", now)
	}
	require.Equal(t, Sound, table.State(w, now))
	table.Stalled(w, now)
	now = now.Add(maxPause + maxProbation + scoreHalfLife)
	require.Equal(t, Sound, table.State(w, now), "also if it gets no tasks, as others have room")
}

// A job that fails on every worker, or an image whose tasks fail everywhere, must not take
// the pool out of use.
func TestTasksThatFailEverywhereAreNotBlamedOnWorkers(t *testing.T) {
	now := start
	table, workers := busyTable(now)
	for range 8 {
		table.Failed(workers[0], Failure{Job: "a", Image: "i"}, now)
	}
	require.Equal(t, Suspect, table.State(workers[0], now), "eight tasks of one job")
	for n := range 400 {
		now = now.Add(25 * time.Millisecond)
		w := workers[n%len(workers)]
		if n%2 == 0 {
			table.Failed(w, Failure{Job: strconv.Itoa(n), Image: "broken", Elsewhere: n%4 == 0}, now)
		} else {
			table.Succeeded(w, "i", now)
		}
	}
	out := 0
	for _, w := range workers {
		if table.State(w, now) == Out {
			out++
		}
	}
	require.LessOrEqual(t, out, len(workers)/4)
	out = 0
	for _, w := range workers {
		table.Stalled(w, now)
		if table.State(w, now) == Out {
			out++
		}
	}
	require.Equal(t, len(workers)/2, out, "not the whole pool")
}

// A rack that fails is no fault of its workers: none of them is out of use for longer.
func TestRackIsToldFromWorkers(t *testing.T) {
	now := start
	table, workers := busyTable(now)
	for _, w := range workers {
		table.Lost(w, false, now)
		now = now.Add(20 * time.Millisecond)
	}
	for _, w := range workers {
		require.Equal(t, Sound, table.State(w, now))
	}
	now = now.Add(time.Minute)
	for range 2 {
		table.Lost(workers[3], false, now)
		now = now.Add(1400 * time.Millisecond)
	}
	require.Equal(t, Out, table.State(workers[3], now), "a worker that flaps alone")
}

// A worker that refuses a start and whose tasks end well stays in use.
func TestWorkerThatReportsTroubleAndWorksStaysInUse(t *testing.T) {
	now := start
	table, workers := busyTable(now)
	for range 20 {
		now = now.Add(500 * time.Millisecond)
		table.Refused(workers[0], now)
		table.Succeeded(workers[0], "i", now)
	}
	require.Equal(t, Sound, table.State(workers[0], now))
	now = now.Add(time.Minute)
	for range 8 {
		table.Refused(workers[1], now)
	}
	require.Equal(t, Out, table.State(workers[1], now))
}

// A worker that turns eight times slower is slow before its first task ends, counts with an
// eighth of its capacity after it, and is tried again later.
func TestSlowWorkerIsSeenBeforeItsTaskEnds(t *testing.T) {
	now := start
	table, workers := busyTable(now)
	w := workers[0]
	table.Progressed(workers[1], "i", 600*time.Millisecond, time.Second, 0.6, now)
	require.Equal(t, Sound, table.State(w, now))
	table.Progressed(w, "i", 600*time.Millisecond, time.Second, 0.07, now)
	require.Equal(t, Slow, table.State(w, now))
	now = now.Add(8 * time.Second)
	table.Ran(w, "i", 8*time.Second, time.Second, now)
	table.Ran(w, "i", 8*time.Second, time.Second, now)
	table.Ran(w, "i", 8*time.Second, time.Second, now)
	require.InDelta(t, 0.125, table.Throughput(w, now), 0.01)
	require.Equal(t, Sound, table.State(workers[1], now))
	now = now.Add(sampleAge)
	require.Equal(t, Sound, table.State(w, now))
}

// A new leader went on with workers that the earlier one had taken out of use.
func TestRecordKeepsBadWorkersForTheNextLeader(t *testing.T) {
	now, wall := start, time.Unix(50000, 0)
	table, workers := busyTable(now)
	for i := range 2 {
		table.Failed(workers[0], Failure{Job: strconv.Itoa(i)}, now)
	}
	require.Equal(t, Out, table.State(workers[0], now))
	require.True(t, table.RecordDue(now))
	require.False(t, table.RecordDue(now))
	all := table.Record(now, wall)
	require.Len(t, all, 1)
	next, later := &Table{}, start.Add(time.Hour)
	next.Restore(all, later, wall.Add(time.Second))
	w := next.Worker("vm0", "p", "r", later)
	require.Equal(t, Out, next.State(w, later))
	later = later.Add(firstPause)
	require.Equal(t, Probation, next.State(w, later))
	next.Failed(w, Failure{Job: "x"}, later)
	require.Equal(t, Out, next.State(w, later.Add(2*firstPause-time.Millisecond)), "its pauses go on to grow")
	// A worker that has been sound for long is not recorded.
	require.Empty(t, (&Table{}).Record(now, wall))
	for i := range 2 * maxRecorded {
		o := table.Worker("x"+strconv.Itoa(i), "large", "", now)
		table.Stalled(o, now)
	}
	require.Len(t, table.Record(now, wall), maxRecorded)
}
