package msscheduler

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjoramspan/msjob"
	"marjoramspan/msroster"
	"marjoramspan/msworker"
)

const rosterJob = "0000000000000001"

// worker1 is the only worker of a cluster whose VMs keep the IDs of their workers.
const worker1 = "w-vm-0"

// newKeptIDs returns a cluster with one VM, whose worker comes back under its ID.
func newKeptIDs(t *testing.T) *testCluster {
	w := newTestCluster(t, 0)
	// Longer than it takes to notice that a worker which has just begun answers no more.
	w.vms.KeepIDs, w.vms.Away = true, idleReportWait+reportTimeoutMargin+vmListMaxAge
	w.vms.Add(msworker.VM{Name: "vm-0", Pool: "booth", Rack: "r1", Labels: []string{"a", "r1"}, Up: true, Capacity: msjob.Resources{CPU: 4000, Memory: 8000}})
	return w
}

// awaitWorker waits until the leader's view of a worker fulfils a condition.
func awaitWorker(e *entry, id string, ok func(w *worker) bool) {
	e.w.t.Helper()
	require.Eventually(e.w.t, func() bool {
		g := e.current()
		if g == nil {
			return false
		}
		g.mu.Lock()
		defer g.mu.Unlock()
		w := g.workers[id]
		return w != nil && ok(w)
	}, eventually, 5*time.Millisecond)
}

// The list of VMs doesn't name the worker of a VM that is down. The leader gave such a worker up
// for good, and its next life under the same ID got no tasks.
func TestWorkerThatReturnsUnderItsIDAfterACrashIsUsed(t *testing.T) {
	t.Parallel()
	w := newKeptIDs(t)
	e := w.entry("a")
	awaitWorker(e, worker1, func(w *worker) bool { return w.reachable && w.vm != "" })
	w.vms.Crash(worker1)
	awaitWorker(e, worker1, func(w *worker) bool { return w.terminated })
	w.submit(&msjob.Job{ID: rosterJob, Spec: "run=50ms", Steps: []msjob.Step{step(1)}})
	w.await(e, rosterJob, msjob.Completed)
}

// The same for a VM that was away for its maintenance.
func TestWorkerThatReturnsUnderItsIDAfterMaintenanceIsUsed(t *testing.T) {
	t.Parallel()
	w := newKeptIDs(t)
	e := w.entry("a")
	awaitWorker(e, worker1, func(w *worker) bool { return w.reachable && w.vm != "" })
	require.NoError(t, w.vms.VMs().Maintain(t.Context(), msworker.VMOrder{VM: "vm-0", Holder: "another", Token: 0}, 1))
	awaitWorker(e, worker1, func(w *worker) bool { return w.terminated })
	w.submit(&msjob.Job{ID: rosterJob, Spec: "run=50ms", Steps: []msjob.Step{step(1)}})
	w.await(e, rosterJob, msjob.Completed)
}

// A list that still shows a VM as moving may name the worker that it has moved to. That worker was
// given up before it got its first task.
func TestWorkerOfAVMThatIsStillShownMovingIsUsed(t *testing.T) {
	t.Parallel()
	w := newTestCluster(t, 1)
	var moving atomic.Bool
	w.configure = func(g *Engine) {
		list := g.VMs.List
		g.VMs.List = func(ctx context.Context) ([]msworker.VM, error) {
			all, err := list(ctx)
			for i := range all {
				if moving.Load() {
					all[i].Up, all[i].Moving = false, true
				}
			}
			return all, err
		}
	}
	e := w.entry("a")
	// A worker that is first seen after a list that shows its VM away is kept.
	awaitWorker(e, "w-1", func(w *worker) bool { return w.reachable })
	moving.Store(true)
	awaitWorker(e, "w-1", func(w *worker) bool { return w.terminated })
	moving.Store(false)
	w.submit(&msjob.Job{ID: rosterJob, Spec: "run=50ms", Steps: []msjob.Step{step(1)}})
	w.await(e, rosterJob, msjob.Completed)
}

// A worker without an entry got no tasks, though it answered and the list of VMs had it.
func TestWorkerWhoseEntryLapsedIsUsed(t *testing.T) {
	t.Parallel()
	w := newTestCluster(t, 1)
	e := w.entry("a")
	awaitWorker(e, "w-1", func(w *worker) bool { return w.reachable && w.vm != "" })
	w.reg.Drop("w-1")
	awaitWorker(e, "w-1", func(w *worker) bool { return !w.registered })
	w.submit(&msjob.Job{ID: rosterJob, Spec: "run=50ms", Steps: []msjob.Step{step(1)}})
	w.await(e, rosterJob, msjob.Completed)
}

// Such a worker was forgotten once it missed one report.
func TestWorkerWhoseEntryLapsedMayMissAReport(t *testing.T) {
	t.Parallel()
	w := newTestCluster(t, 1)
	e := w.entry("a")
	awaitWorker(e, "w-1", func(w *worker) bool { return w.reachable && w.vm != "" })
	w.reg.Drop("w-1")
	awaitWorker(e, "w-1", func(w *worker) bool { return !w.registered })
	w.loseReports.Store(true)
	require.Eventually(t, func() bool {
		g := e.current()
		g.mu.Lock()
		defer g.mu.Unlock()
		w := g.workers["w-1"]
		return w == nil || !w.reachable
	}, eventually, 5*time.Millisecond)
	time.Sleep(2 * maxPassInterval)
	w.loseReports.Store(false)
	w.submit(&msjob.Job{ID: rosterJob, Spec: "run=50ms", Steps: []msjob.Step{step(1)}})
	w.await(e, rosterJob, msjob.Completed)
}

// restartAsKind restarts worker1 as another kind. Its entry remains that of the life before.
func restartAsKind(w *testCluster, e *entry, label string) {
	life := w.worker(worker1).Born().UnixMilli()
	entry, _ := w.reg.Worker(worker1)
	entry.ProcessStart = life
	w.reg.Set(entry)
	awaitWorker(e, worker1, func(w *worker) bool { return w.reachable && w.vm != "" && w.ProcessStart == life })
	w.vms.SetLabels("vm-0", label, "r1")
	w.worker(worker1).Restart()
	awaitWorker(e, worker1, func(w *worker) bool { return w.reachable && w.processStart != life })
}

// A restarted worker whose entry is late got no tasks for 5 s, though the list of VMs had its kind.
func TestRestartedWorkerIsUsedAsTheKindOfItsVM(t *testing.T) {
	t.Parallel()
	w := newKeptIDs(t)
	e := w.entry("a")
	restartAsKind(w, e, "b")
	labelled := step(1)
	labelled.Label = "b"
	w.submit(&msjob.Job{ID: rosterJob, Spec: "run=50ms", Steps: []msjob.Step{labelled}})
	w.await(e, rosterJob, msjob.Completed)
}

// After 5 s the entry of an earlier life was believed again, and a task started on a worker
// without its label.
func TestEntryOfAnEarlierLifeIsNotBelievedAgain(t *testing.T) {
	t.Parallel()
	w := newKeptIDs(t)
	e := w.entry("a")
	restartAsKind(w, e, "b")
	labelled := step(1)
	labelled.Label = "a"
	w.submit(&msjob.Job{ID: rosterJob, Spec: "run=50ms", Steps: []msjob.Step{labelled}})
	require.Never(t, func() bool {
		got, _ := e.jobs.Job(rosterJob)
		return got.State() != msjob.Queued
	}, msroster.MaxEntryDelay+2*time.Second, 50*time.Millisecond)
}

// A list of VMs whose pages were read while the list changed can lack a VM. The tasks of its worker
// started elsewhere while they still ran there.
func TestWorkerThatAnswersIsKeptIfAListLacksItsVM(t *testing.T) {
	t.Parallel()
	w := newTestCluster(t, 2)
	var lacking, lacked atomic.Bool
	w.configure = func(g *Engine) {
		list := g.VMs.List
		g.VMs.List = func(ctx context.Context) ([]msworker.VM, error) {
			all, err := list(ctx)
			if err != nil || !lacking.Load() || lacked.Swap(true) {
				return all, err
			}
			return nil, nil
		}
	}
	e := w.entry("a")
	for _, id := range []string{"w-1", "w-2"} {
		awaitWorker(e, id, func(w *worker) bool { return w.reachable && w.vm != "" })
	}
	w.submit(&msjob.Job{ID: rosterJob, Spec: "run=4s", Steps: []msjob.Step{step(2)}})
	w.await(e, rosterJob, msjob.Running)
	lacking.Store(true)
	w.await(e, rosterJob, msjob.Completed)
	require.True(t, lacked.Load())
	w.requireNoDuplicates()
	require.Len(t, w.journal.Runs(), 2)
}

// A list of VMs that lags shows a VM still in maintenance whose worker runs tasks already. The
// worker was given up, and its tasks ran twice.
func TestWorkerThatIsBackIsKeptThoughTheListLags(t *testing.T) {
	t.Parallel()
	w := newTestCluster(t, 1)
	w.vms.Away = vmListMaxAge + time.Second
	var lagsUntil atomic.Int64
	w.configure = func(g *Engine) {
		list := g.VMs.List
		g.VMs.List = func(ctx context.Context) ([]msworker.VM, error) {
			all, err := list(ctx)
			for i := range all {
				if all[i].Worker != "w-1" && time.Now().UnixMilli() < lagsUntil.Load() {
					all[i].Up, all[i].Maintained = false, true
				}
			}
			return all, err
		}
	}
	e := w.entry("a")
	awaitWorker(e, "w-1", func(w *worker) bool { return w.reachable && w.vm != "" })
	lagsUntil.Store(time.Now().Add(w.vms.Away + 4*time.Second).UnixMilli())
	require.NoError(t, w.vms.VMs().Maintain(t.Context(), msworker.VMOrder{VM: "vm-0", Holder: "another", Token: 0}, 1))
	awaitWorker(e, "w-2", func(w *worker) bool { return w.reachable })
	w.submit(&msjob.Job{ID: rosterJob, Spec: "run=3s", Steps: []msjob.Step{step(2)}})
	w.await(e, rosterJob, msjob.Completed)
	w.requireNoDuplicates()
	require.Len(t, w.journal.Runs(), 2)
}

// An order marks a worker as leaving. Its next life under the same ID was taken to leave as well.
func TestNextLifeIsNotBoundByTheOrderToTheOneBefore(t *testing.T) {
	t.Parallel()
	e := saturatedEngine(t, 1, 1, 1, 0)
	e.syncWorkers(e.Clock.Now())
	w := e.workers["w-0000"]
	w.reserved, w.moving, w.maintenanceSince = true, true, e.Clock.Now()
	e.handleRestart(w, msworker.Report{ProcessStart: 9})
	require.True(t, w.stays(e.Clock.Now()))
	require.Zero(t, w.maintenanceSince)
}

// A list of VMs that lags behind a crash shows a VM down whose worker has restarted. The worker was
// given up, and its tasks counted one crash twice.
func TestCrashIsCountedOnceThoughTheListLags(t *testing.T) {
	t.Parallel()
	e := saturatedEngine(t, 1, 1, 1, 0)
	e.syncWorkers(e.Clock.Now())
	w := e.workers["w-0000"]
	vm := msworker.VM{Name: "vm-0", Pool: w.Pool, Capacity: w.Capacity, Worker: w.ID, Up: true}
	e.applyVMs([]msworker.VM{vm}, e.Clock.Now())
	e.handleReport(w, e.Clock.Now(), e.Term.Epoch, msworker.Report{ProcessStart: 9})
	vm.Worker, vm.Up = "", false
	e.applyVMs([]msworker.VM{vm}, e.Clock.Now().Add(time.Second))
	require.False(t, w.terminated)
	e.applyVMs([]msworker.VM{vm}, e.Clock.Now().Add(time.Second+msroster.MaxListAge))
	require.True(t, w.terminated, "lists don't lag for so long")
}

// An entry that can't be used names no worker, unlike one that has lapsed.
func TestWorkerWhoseEntryCannotBeUsedGetsNoTasks(t *testing.T) {
	t.Parallel()
	w := newTestCluster(t, 2)
	e := w.entry("a")
	awaitWorker(e, "w-1", func(w *worker) bool { return w.reachable && w.vm != "" })
	w.reg.Refuse("w-1")
	// A report and a list of VMs that are later than a lapse vouch for a worker.
	awaitWorker(e, "w-1", func(w *worker) bool {
		return !w.registered && w.reachable && w.reportRequestedAt.After(w.lapsedAt) && w.listedAt.After(w.lapsedAt)
	})
	w.submit(&msjob.Job{ID: rosterJob, Spec: "run=50ms", Steps: []msjob.Step{step(8)}})
	w.await(e, rosterJob, msjob.Completed)
	for _, r := range w.journal.Runs() {
		require.Equal(t, "w-2", r.Worker)
	}
}

// A start that reached the next life of its worker before that had reported counted as lost with the
// life before, and as a crash. After two of them the task was given up.
func TestStartThatReachedTheNextLifeIsNotLost(t *testing.T) {
	t.Parallel()
	e := saturatedEngine(t, 1, 1, 1, 0)
	e.syncWorkers(e.Clock.Now())
	w := e.workers["w-0000"]
	e.handleReport(w, e.Clock.Now(), e.Term.Epoch, msworker.Report{ProcessStart: 5})
	r, ended := planned(e, w), e.newRun(e.jobs["0000000000000000"], msjob.TaskID{Job: "0000000000000000", Index: 1}, 1, w)
	e.addRun(ended)
	for _, r := range []*run{r, ended} {
		r.state, r.answeredAt = runStarted, e.Clock.Now()
	}
	e.handleReport(w, e.Clock.Now(), e.Term.Epoch, msworker.Report{
		ProcessStart: 9,
		Running:      []msworker.Run{{Task: r.task, Attempt: r.attempt}},
		Ended:        []msworker.End{{Seq: 1, Task: ended.task, Attempt: ended.attempt, Reason: msworker.EndDone}},
	})
	require.Same(t, r, e.runs[r.runKey])
	require.Equal(t, runStarted, r.state)
	tasks := e.jobs["0000000000000000"].p.Occurrences[0].Steps[0]
	require.Zero(t, tasks[0].MaxCrashes())
	require.Equal(t, msjob.Done, tasks[1].Phase)
}
