package msscheduler

import (
	"context"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"marjoramspan/msclock"
	"marjoramspan/msjob"
	"marjoramspan/msjournal"
	"marjoramspan/msplace"
	"marjoramspan/mssite"
	"marjoramspan/msstandin"
	"marjoramspan/msworker"
)

const evacuationDeadline = 5 * time.Second

// zonedCluster has n workers in each of the data centres north and south, and operators
// who write to a log of their own, as it fails apart from the streams of the system.
type zonedCluster struct {
	*testCluster
	operators msstandin.JobLog
}

func newZonedCluster(t *testing.T, n int) *zonedCluster {
	z := &zonedCluster{testCluster: newTestCluster(t, 0)}
	for i := range 2 * n {
		z.vms.Add(msworker.VM{
			Name: "vm-" + strconv.Itoa(i), Pool: "booth", Rack: "r" + strconv.Itoa(i), Up: true,
			DataCentre: []string{"north", "south"}[i%2], Capacity: msjob.Resources{CPU: 4000, Memory: 8000},
		})
	}
	z.configure = func(g *Engine) { g.Settings.EvacuationDeadline = evacuationDeadline }
	return z
}

// follow has the engines that begin from now on follow the operators' log. A paused
// follower has read the log now, and reads it again only when it has to.
func (z *zonedCluster) follow(paused bool) {
	store := &mssite.Store{}
	store.Set(z.sites.Site())
	operators := &msjournal.Follower{
		Log: z.operators.Log(), Clock: &msclock.Boot{}, Logger: zap.NewNop(), Stream: "op", Reset: store.BeginListing, Loaded: store.EndListing,
		Apply: func(r msjournal.Record, _ int64) {
			if name := strings.TrimPrefix(r.Key, "evacuate/"); len(r.Value) > 0 {
				store.Evacuate(name)
			} else {
				store.Release(name)
			}
		},
	}
	z.configure = func(g *Engine) {
		g.Settings.EvacuationDeadline, g.Sites, g.Operators = evacuationDeadline, store, operators
	}
	require.NoError(z.t, operators.Sync(z.t.Context()))
	if paused {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	z.t.Cleanup(cancel)
	go func() { _ = operators.Run(ctx) }()
}

// in counts the attempts that run or ran in a data centre and whose start is after t.
func (z *zonedCluster) in(zone string, after time.Time) (started, running int) {
	for _, r := range z.journal.Runs() {
		if z.worker(r.Worker).Worker.DataCentre == zone && r.Start.After(after) {
			started++
			running += boolToInt(r.End.IsZero())
		}
	}
	return started, running
}

// From the record to no start there, and back once it is revoked. What runs there and
// ends soon is left to end. A name that no worker has holds nothing back.
func TestEvacuatedDataCentreGetsNoStarts(t *testing.T) {
	t.Parallel()
	z := newZonedCluster(t, 2)
	z.follow(false)
	e := z.entry("a")
	z.submit(&msjob.Job{ID: "0000000000000001", Spec: "run=1s", Steps: []msjob.Step{step(16)}})
	z.awaitRunning(16)
	z.operators.Put("op", "evacuate/nowhere", []byte("{"))
	z.operators.Put("op", "evacuate/north", []byte("\xff not JSON"))
	require.Eventually(t, func() bool { return e.current().Sites.Evacuated("north") }, eventually, time.Millisecond)
	evacuated := time.Now()
	z.submit(&msjob.Job{ID: "0000000000000002", Spec: "run=50ms", Steps: []msjob.Step{step(20)}})
	z.await(e, "0000000000000002", msjob.Completed)
	z.await(e, "0000000000000001", msjob.Completed)
	started, _ := z.in("north", evacuated)
	require.Zero(t, started, "starts in the evacuated data centre")
	for _, r := range z.journal.Runs() {
		require.Equal(t, "done", r.How)
	}
	z.operators.Put("op", "evacuate/north", nil)
	z.submit(&msjob.Job{ID: "0000000000000003", Spec: "run=300ms", Steps: []msjob.Step{step(16)}})
	z.await(e, "0000000000000003", msjob.Completed)
	started, _ = z.in("north", evacuated)
	require.NotZero(t, started, "starts after the evacuation was revoked")
}

// The record arrives while the attempts that were assigned there wait for the log.
func TestEvacuationBeforeTheStart(t *testing.T) {
	t.Parallel()
	z := newZonedCluster(t, 1)
	e := z.entry("a")
	z.submit(&msjob.Job{ID: "0000000000000001", Spec: "run=10ms", Steps: []msjob.Step{step(1)}})
	z.await(e, "0000000000000001", msjob.Completed)
	z.log.SetFault(msstandin.LogFault{Delay: 400 * time.Millisecond})
	planned := time.Now()
	z.submit(&msjob.Job{ID: "0000000000000002", Spec: "run=100ms", Steps: []msjob.Step{step(8)}})
	g := e.current()
	require.Eventually(t, func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return len(g.runs) == 8
	}, eventually, time.Millisecond)
	z.sites.Evacuate("north")
	z.log.SetFault(msstandin.LogFault{})
	z.await(e, "0000000000000002", msjob.Completed)
	started, _ := z.in("north", planned)
	require.Zero(t, started)
	z.requireNoDuplicates()
}

// With every data centre evacuated new work waits, and starts in the one that is released.
func TestWorkWaitsWhileAllIsEvacuated(t *testing.T) {
	t.Parallel()
	z := newZonedCluster(t, 1)
	z.sites.Evacuate("north")
	z.sites.Evacuate("south")
	e := z.entry("a")
	z.submit(&msjob.Job{ID: "0000000000000001", Spec: "run=20ms", Steps: []msjob.Step{step(4)}})
	time.Sleep(time.Second)
	require.Empty(t, z.journal.Runs())
	z.sites.Release("south")
	z.await(e, "0000000000000001", msjob.Completed)
	started, _ := z.in("north", time.Time{})
	require.Zero(t, started)
}

// The answers to starts are lost and the data centre is evacuated: the attempts count as
// running, and are not sent again.
func TestUnansweredStartsInAnEvacuatedDataCentre(t *testing.T) {
	t.Parallel()
	z := newZonedCluster(t, 1)
	for _, j := range z.all() {
		j.LoseStarts(8)
	}
	e := z.entry("a")
	z.submit(&msjob.Job{ID: "0000000000000001", Spec: "run=1500ms", Steps: []msjob.Step{step(8)}})
	z.awaitRunning(8)
	z.sites.Evacuate("north")
	z.sites.Evacuate("south")
	z.await(e, "0000000000000001", msjob.Completed)
	require.Len(t, z.journal.Runs(), 8)
	z.requireNoDuplicates()
}

// The leader is lost between the record and its effect, and its successor has not read
// the record yet. It reads it before it places anything.
func TestNextLeaderReadsEvacuations(t *testing.T) {
	t.Parallel()
	z := newZonedCluster(t, 1)
	z.follow(false)
	a := z.entry("a")
	z.submit(&msjob.Job{ID: "0000000000000001", Spec: "run=10ms", Steps: []msjob.Step{step(1)}})
	z.await(a, "0000000000000001", msjob.Completed)
	z.follow(true)
	z.operators.SetFault(msstandin.LogFault{Down: true})
	z.operators.Put("op", "evacuate/north", []byte("x"))
	a.stop()
	lost := time.Now()
	z.submit(&msjob.Job{ID: "0000000000000002", Spec: "run=200ms", Steps: []msjob.Step{step(8)}})
	b := z.entry("b")
	time.Sleep(1500 * time.Millisecond)
	require.Zero(t, z.running(), "a leader that can't read the operators' records")
	z.operators.SetFault(msstandin.LogFault{})
	z.await(b, "0000000000000002", msjob.Completed)
	started, _ := z.in("north", lost)
	require.Zero(t, started)
}

// The operators' records can't be read any more. The last view stays in effect; once it is
// older than an evacuation may take, nothing new starts until they can be read again.
func TestNothingStartsOnAnOldViewOfTheOperators(t *testing.T) {
	t.Parallel()
	z := newZonedCluster(t, 1)
	z.follow(false)
	e := z.entry("a")
	z.operators.Put("op", "evacuate/north", []byte("x"))
	z.submit(&msjob.Job{ID: "0000000000000001", Spec: "run=10ms", Steps: []msjob.Step{step(1)}})
	z.await(e, "0000000000000001", msjob.Completed)
	require.Eventually(t, func() bool { return e.current().Sites.Evacuated("north") }, eventually, time.Millisecond)
	begun := time.Now()
	z.operators.SetFault(msstandin.LogFault{Silent: true})
	z.submit(&msjob.Job{ID: "0000000000000002", Spec: "run=10ms", Steps: []msjob.Step{step(4)}})
	z.await(e, "0000000000000002", msjob.Completed)
	time.Sleep(time.Until(begun.Add(evacuationDeadline - 500*time.Millisecond)))
	n := len(z.journal.Runs())
	z.submit(&msjob.Job{ID: "0000000000000003", Spec: "run=10ms", Steps: []msjob.Step{step(4)}})
	time.Sleep(time.Second)
	require.Len(t, z.journal.Runs(), n)
	z.operators.SetFault(msstandin.LogFault{})
	z.await(e, "0000000000000003", msjob.Completed)
	started, _ := z.in("north", begun)
	require.Zero(t, started)
}

// Long-running tasks leave an evacuated data centre, and no more of a step are away at a
// time than may be. A step that no worker elsewhere can run stays.
func TestLongRunningTasksLeaveAsTheyMay(t *testing.T) {
	t.Parallel()
	z := newZonedCluster(t, 3)
	e := z.entry("a")
	z.submit(&msjob.Job{ID: "0000000000000001", Spec: "lasting", Steps: []msjob.Step{longRunning(6, 2)}})
	z.awaitRunning(6)
	g := e.current()
	require.Eventually(t, func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.unavailableTasks(g.jobs["0000000000000001"], 0, 0) == 0
	}, eventually, time.Millisecond)
	z.sites.Evacuate("north")
	fewest := 6
	require.Eventually(t, func() bool {
		fewest = min(fewest, z.running())
		_, running := z.in("north", time.Time{})
		return running == 0 && z.running() == 6
	}, eventually, time.Millisecond)
	require.GreaterOrEqual(t, fewest, 4)
	z.sites.Evacuate("south")
	time.Sleep(600 * time.Millisecond)
	require.Equal(t, 6, z.running(), "tasks with no room elsewhere")
	z.requireNoDuplicates()
}

// An evacuated data centre is no capacity, and its VMs don't go to a pool that lacks VMs:
// those of other data centres do, and its own idle ones go to the spare pool.
func TestSizingWithoutAnEvacuatedDataCentre(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	e := &Engine{Sites: &mssite.Store{}, Jobs: &msjob.Table{}, Clock: &msclock.Boot{}, Wall: msclock.System{}, Logger: zap.NewNop(), workers: map[string]*worker{}}
	e.Sites.Set(&mssite.Site{Version: 1, Pools: map[string]mssite.Pool{"booth": {Name: "booth"}, "spare": {Name: "spare", Spare: true}}})
	e.pools.movedAt = map[string]time.Time{}
	for _, pool := range []string{"booth", "spare"} {
		for i := range 8 {
			zone := []string{"north", "south"}[i%2]
			vm := msworker.VM{Name: pool + "-" + zone + "-" + strconv.Itoa(i), Pool: pool, DataCentre: zone, Worker: pool + strconv.Itoa(i), Up: true, Capacity: msjob.Resources{CPU: 4000}}
			e.fleet.vms = append(e.fleet.vms, vm)
			if pool == "booth" {
				e.workers[vm.Worker] = &worker{Worker: msworker.Worker{ID: vm.Worker, Pool: pool, DataCentre: zone, Capacity: vm.Capacity}, registered: true, reachable: true}
			}
		}
	}
	require.Equal(t, 8, e.measurePools(now)[0].BaseSize)
	e.Sites.Evacuate("north")
	e.zones.since = map[string]time.Time{"north": e.Clock.Now().Add(-time.Minute)}
	pools := e.measurePools(now)
	require.Equal(t, []int{4, 8, 4}, []int{pools[0].Size, pools[0].BaseSize, pools[1].Size})
	moves, _ := e.chooseMoves()
	to := map[string]int{}
	for _, m := range moves {
		zone := strings.Split(m.VM, "-")[1]
		to[m.To+" from "+zone]++
	}
	require.Equal(t, map[string]int{"booth from south": 4, "spare from north": 4}, to)
}

// Workers that are warm get the work while they have room, and cold ones the rest.
func TestWarmWorkersGoFirst(t *testing.T) {
	t.Parallel()
	z := newZonedCluster(t, 2)
	for _, entry := range z.reg.All() {
		if entry.DataCentre == "north" {
			entry.WarmupLeft = 20 * time.Second
			z.reg.Set(entry)
		}
	}
	e := z.entry("a")
	z.submit(&msjob.Job{ID: "0000000000000001", Spec: "run=300ms", Steps: []msjob.Step{step(8)}})
	z.await(e, "0000000000000001", msjob.Completed)
	started, _ := z.in("north", time.Time{})
	require.Zero(t, started, "starts on cold workers")
	z.submit(&msjob.Job{ID: "0000000000000002", Spec: "run=300ms", Steps: []msjob.Step{step(12)}})
	z.await(e, "0000000000000002", msjob.Completed)
	started, _ = z.in("north", time.Time{})
	require.Equal(t, 4, started, "starts on cold workers once the warm ones are full")
}

// A cold worker gets no more starts than it should even if it has room, and all of its
// room once it is warm.
func TestColdWorkersGetFewStarts(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	e := &Engine{Clock: &msclock.Boot{}}
	w := &worker{Worker: msworker.Worker{ID: "w-1", Pool: "booth", Capacity: msjob.Resources{CPU: 64_000}}}
	entry := w.Worker
	entry.WarmupLeft = 3 * time.Second
	w.noteWarmup(entry, now)
	w.Worker = entry
	require.Equal(t, int64(32_000), w.countedCPU(now))
	require.InDelta(t, 1, w.coldness(now), 0)
	want := msplace.Requirements{Step: &msjob.Step{Need: msjob.Resources{CPU: 1000}}}
	n := 0
	for ; n < 64 && msplace.CanRun(want, &msplace.Worker{Free: e.offered(w, 4, now)}); n++ {
		e.countStart(w, now)
	}
	require.Equal(t, 7, n, "1.5 times a quarter of 7 starts, and 5")
	w.noteWarmup(entry, now.Add(time.Second))
	require.False(t, w.cold(now.Add(3*time.Second)), "the same entry again doesn't prolong it")
	require.Equal(t, entry.Capacity, e.offered(w, 4, now.Add(3*time.Second)))
}
