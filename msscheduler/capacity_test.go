package msscheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjoramspan/msclock"
	"marjoramspan/msjob"
	"marjoramspan/msroster"
	"marjoramspan/mssite"
	"marjoramspan/msstandin"
	"marjoramspan/msworker"
)

// setCapacity changes what a worker says of its capacity.
func (w *testCluster) setCapacity(id string, capacity msjob.Resources) {
	entry := w.reg.All()[id]
	entry.Capacity = capacity
	w.reg.Set(entry)
}

// A worker shrinks while the attempts that were assigned to it wait for the log. Workers
// that don't check their capacity would start all of them.
func TestCapacityThatShrinksBeforeTheStart(t *testing.T) {
	t.Parallel()
	w := newTestCluster(t, 2)
	e := w.entry("a")
	w.submit(&msjob.Job{ID: "0000000000000001", Spec: "run=10ms", Steps: []msjob.Step{step(1)}})
	w.await(e, "0000000000000001", msjob.Completed)
	w.setCapacity("w-2", msjob.Resources{})
	w.log.SetFault(msstandin.LogFault{Delay: 400 * time.Millisecond})
	w.submit(&msjob.Job{ID: "0000000000000002", Spec: "run=1s", Steps: []msjob.Step{step(4)}})
	g := e.current()
	require.Eventually(t, func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return len(g.workers["w-1"].runs) == 4
	}, eventually, time.Millisecond)
	small := msjob.Resources{CPU: 2000, Memory: 8000}
	w.setCapacity("w-1", small)
	w.setCapacity("w-2", small)
	w.log.SetFault(msstandin.LogFault{})
	w.await(e, "0000000000000002", msjob.Completed)
	requireWithin(t, w.journal.Runs(), 2)
	w.requireNoDuplicates()
}

// requireWithin requires that no worker ran more than n tasks of a core at a time.
func requireWithin(t *testing.T, runs []msstandin.JobRunEntry, n int) {
	t.Helper()
	byWorker := map[string][]msstandin.JobRunEntry{}
	for _, r := range runs {
		if r.Task.Job != "0000000000000001" {
			byWorker[r.Worker] = append(byWorker[r.Worker], r)
		}
	}
	for id, runs := range byWorker {
		require.LessOrEqual(t, maxConcurrent(runs), n, "tasks of a core at a time on %s", id)
	}
}

// What runs on a worker that has shrunk goes on; it gets new tasks once it has room again,
// and all of its room when it has grown.
func TestCapacityThatShrinksAndGrows(t *testing.T) {
	t.Parallel()
	w := newTestCluster(t, 1)
	e := w.entry("a")
	w.submit(&msjob.Job{ID: "0000000000000001", Spec: "lasting", Steps: []msjob.Step{longRunning(2, 1)}})
	w.awaitRunning(2)
	w.setCapacity("w-1", msjob.Resources{CPU: 1000, Memory: 8000})
	w.submit(&msjob.Job{ID: "0000000000000002", Spec: "run=100ms", Steps: []msjob.Step{step(4)}})
	time.Sleep(600 * time.Millisecond)
	require.Equal(t, 2, w.running(), "tasks on a worker that is full")
	w.setCapacity("w-1", msjob.Resources{CPU: 4000, Memory: 8000})
	w.await(e, "0000000000000002", msjob.Completed)
	requireWithin(t, w.journal.Runs(), 2)
}

// A worker drains while the attempts that were assigned to it wait for the log.
func TestWorkerThatDrainsBeforeTheStart(t *testing.T) {
	t.Parallel()
	w := newTestCluster(t, 2)
	e := w.entry("a")
	w.submit(&msjob.Job{ID: "0000000000000001", Spec: "run=10ms", Steps: []msjob.Step{step(1)}})
	w.await(e, "0000000000000001", msjob.Completed)
	w.setCapacity("w-2", msjob.Resources{})
	w.log.SetFault(msstandin.LogFault{Delay: 400 * time.Millisecond})
	w.submit(&msjob.Job{ID: "0000000000000002", Spec: "run=100ms", Steps: []msjob.Step{step(4)}})
	g := e.current()
	require.Eventually(t, func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return len(g.workers["w-1"].runs) == 4
	}, eventually, time.Millisecond)
	draining := w.reg.All()["w-1"]
	draining.Draining, draining.RemainingTime = true, 2*time.Second
	w.reg.Set(draining)
	w.setCapacity("w-2", msjob.Resources{CPU: 4000, Memory: 8000})
	w.log.SetFault(msstandin.LogFault{})
	w.await(e, "0000000000000002", msjob.Completed)
	for _, r := range w.journal.Runs() {
		if r.Task.Job == "0000000000000002" {
			require.Equal(t, "w-2", r.Worker)
		}
	}
	w.requireNoDuplicates()
}

// A job has ended under an earlier leader, and what it needs is no longer known. Its tasks
// take room on their worker until they have stopped.
func TestUnknownAttemptsTakeRoom(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	w := &worker{
		Worker: msworker.Worker{ID: "w-1", Capacity: msjob.Resources{CPU: 4000}}, registered: true, reported: true, reachable: true,
		runs: map[runKey]*run{}, stored: make(chan struct{}),
	}
	require.True(t, w.usable(now))
	stray := &run{runKey: runKey{task: msjob.TaskID{Job: "00000000000000ff"}, attempt: 1}, w: w, state: runStopping}
	e := &Engine{runs: map[runKey]*run{}, wake: make(chan struct{}, 1)}
	e.addRun(stray)
	require.False(t, w.usable(now))
	e.dropRun(stray)
	require.True(t, w.usable(now))
}

// A worker is back under its ID, perhaps with another capacity, before its new entry is
// known.
func TestRestartedWorkerWaitsForItsEntry(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	w := &worker{entry: msworker.Worker{ID: "w-1", ProcessStart: 5}, registered: true, reported: true, reachable: true, processStart: 5}
	require.True(t, w.usable(now))
	w.processStart, w.processSeenAt = 7, now
	require.False(t, w.usable(now))
	require.True(t, w.usable(now.Add(msroster.MaxEntryDelay)), "an entry that names another time than the reports")
	w.entry.ProcessStart = 7
	require.True(t, w.usable(now))
	w.entry.ProcessStart = 0
	require.True(t, w.usable(now), "an entry that does not name the start of its process")
}

// Pools whose workers have shrunk need more VMs for the same load.
func TestPoolsAreSizedByWhatTheirWorkersSay(t *testing.T) {
	t.Parallel()
	e := &Engine{Sites: &mssite.Store{}, Jobs: &msjob.Table{}, Wall: msclock.System{}, workers: map[string]*worker{}}
	e.Sites.Set(&mssite.Site{Version: 1, Pools: map[string]mssite.Pool{"booth": {Name: "booth"}}})
	for _, id := range []string{"w-1", "w-2"} {
		e.fleet.vms = append(e.fleet.vms, msworker.VM{Name: "vm-" + id, Pool: "booth", Worker: id, Up: true, Capacity: msjob.Resources{CPU: 4000}})
	}
	now := time.Unix(1000, 0)
	require.Equal(t, int64(4000), e.measurePools(now)[0].VMMilliCores)
	e.workers["w-1"] = &worker{Worker: msworker.Worker{ID: "w-1", Pool: "booth", Capacity: msjob.Resources{CPU: 1000}}, registered: true}
	require.Equal(t, int64(2500), e.measurePools(now)[0].VMMilliCores)
}
