package msscheduler

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjoramspan/msjob"
	"marjoramspan/msworker"
)

// restartedWorker returns the only worker of e after a restart under its ID. change alters its
// entry, which is that of the life before, and its row in a later list of VMs.
func restartedWorker(e *Engine, change func(entry *msworker.Worker, vm *msworker.VM)) *worker {
	now := e.Clock.Now()
	entry, _ := e.Registry.Worker("w-0000")
	entry.ProcessStart = 5
	vm := msworker.VM{Name: "vm-0", Pool: entry.Pool, Rack: entry.Rack, Labels: entry.Labels, Capacity: entry.Capacity, Worker: entry.ID, Up: true}
	change(&entry, &vm)
	e.Registry.Set(entry)
	e.syncWorkers(now)
	w := e.workers["w-0000"]
	w.processStart, w.processSeenAt = 7, now.Add(time.Millisecond)
	e.applyVMs([]msworker.VM{vm}, now.Add(2*time.Millisecond))
	return w
}

// planned adds an attempt that waits for its record to be stored.
func planned(e *Engine, w *worker) *run {
	j := e.jobs["0000000000000000"]
	r := e.newRun(j, msjob.TaskID{Job: j.def.ID}, 1+len(e.runs), w)
	e.addRun(r)
	return r
}

// A start was checked against the entry alone, and went to a restarted worker without the room.
func TestStartIsCheckedAgainstThePresentLife(t *testing.T) {
	t.Parallel()
	e := saturatedEngine(t, 1, 1, 1, 0)
	w := restartedWorker(e, func(_ *msworker.Worker, vm *msworker.VM) { vm.Capacity.CPU = 2000 })
	r := planned(e, w)
	require.Equal(t, "its worker has shrunk", e.unfit(r))
	require.EqualValues(t, 2000, w.Capacity.CPU)
}

// The life before was draining, so each start on the restarted worker was given up and planned
// again.
func TestStartIsNotRefusedForTheDrainingOfAnEarlierLife(t *testing.T) {
	t.Parallel()
	e := saturatedEngine(t, 1, 1, 1, 0)
	w := restartedWorker(e, func(entry *msworker.Worker, _ *msworker.VM) { entry.Draining = true })
	require.True(t, w.usable(e.Clock.Now()))
	require.Empty(t, e.unfit(planned(e, w)))
}

// A worker that only the records of an earlier term name lost its ID to an empty entry. Its next
// life was then kept as a worker without an ID.
func TestAdoptedWorkerWithoutAnEntryKeepsItsID(t *testing.T) {
	t.Parallel()
	e := saturatedEngine(t, 0, 1, 1, 1)
	w := e.workerFor("w-1")
	planned(e, w)
	now := e.Clock.Now()
	e.applyVMs([]msworker.VM{{Name: "vm-0", Worker: "w-1", Moving: true}}, now)
	require.True(t, w.terminated)
	require.Equal(t, "w-1", w.ID)
	e.applyVMs([]msworker.VM{{Name: "vm-0", Worker: "w-1", Up: true}}, e.Clock.Now().Add(time.Millisecond))
	require.NotSame(t, w, e.workers["w-1"])
	require.False(t, e.workers["w-1"].terminated)
	require.Equal(t, "w-1", e.workers["w-1"].ID)
	require.Nil(t, e.workers[""])
}

// A report that arrives while its worker is given up brought the worker's attempts back. Nothing
// ended them, so they counted against their team for the rest of the term.
func TestReportOfAGivenUpWorkerIsIgnored(t *testing.T) {
	t.Parallel()
	e := saturatedEngine(t, 1, 1, 1, 0)
	e.syncWorkers(e.Clock.Now())
	w := e.workers["w-0000"]
	r := planned(e, w)
	r.state = runStarted
	e.ctx = t.Context()
	e.Orders.RenewLease = func(context.Context, msworker.Worker, msworker.LeaseRenewal) (msworker.Report, error) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.terminateWorker(w, "its VM is away or another worker")
		return msworker.Report{Clock: time.Second, Running: []msworker.Run{{Task: r.task, Attempt: r.attempt}}}, nil
	}
	// The poll's context is canceled only after the report was taken.
	e.requestReport(t.Context(), w)
	require.False(t, w.reachable)
	require.Empty(t, e.runs)
	require.Zero(t, e.teams["team-0"])
}

// An attempt whose record was still being stored started on the next life of its worker, without
// the label that it asks for.
func TestPlannedAttemptDoesNotStartOnAnotherKind(t *testing.T) {
	t.Parallel()
	e := saturatedEngine(t, 1, 1, 1, 0)
	w := restartedWorker(e, func(entry *msworker.Worker, vm *msworker.VM) {
		entry.Labels, vm.Labels = []string{"a"}, []string{"b"}
	})
	r := planned(e, w)
	r.job.def.Steps[0].Label = "a"
	require.Equal(t, "its worker is of another kind", e.unfit(r))
}

// Whether the next life suits the attempt isn't known before its entry or a list of VMs.
func TestPlannedAttemptDoesNotStartOnALifeThatIsNotDescribed(t *testing.T) {
	t.Parallel()
	e := saturatedEngine(t, 1, 1, 1, 0)
	w := restartedWorker(e, func(*msworker.Worker, *msworker.VM) {})
	w.processStart, w.processSeenAt = 9, e.Clock.Now().Add(time.Second)
	require.Equal(t, "its worker has restarted", e.unfit(planned(e, w)))
}

// The same for a worker that is back in another pool.
func TestPlannedAttemptDoesNotStartInAnotherPool(t *testing.T) {
	t.Parallel()
	e := saturatedEngine(t, 1, 1, 1, 0)
	w := restartedWorker(e, func(_ *msworker.Worker, vm *msworker.VM) { vm.Pool = "pool-1" })
	require.Equal(t, "its worker is of another pool", e.unfit(planned(e, w)))
}

// A wall clock that was set back gives the next life an earlier start time. The entry of the life
// before was believed then.
func TestEntryOfAnEarlierLifeWithALaterStartTimeIsNotBelieved(t *testing.T) {
	t.Parallel()
	e := saturatedEngine(t, 1, 1, 1, 0)
	w := restartedWorker(e, func(entry *msworker.Worker, vm *msworker.VM) {
		entry.ProcessStart, entry.Labels, vm.Labels = 9, []string{"a"}, []string{"b"}
	})
	require.Equal(t, []string{"b"}, w.Labels)
	w.processStart, w.processSeenAt = 8, e.Clock.Now().Add(time.Second)
	w.sourcesChanged()
	require.True(t, w.outdated(e.Clock.Now()), "nothing describes the life that started at 8")
}

// A leader that first sees a worker while it drains took it to have drained for ever: what had
// time left to end was stopped, and the next life under the ID counted as one after a crash.
func TestWorkerThatDrainsWhenFirstSeenHasItsTimeLeft(t *testing.T) {
	t.Parallel()
	e := saturatedEngine(t, 0, 1, 1, 1)
	var cancel context.CancelFunc
	e.ctx, cancel = context.WithCancel(t.Context())
	cancel()
	e.Registry.Set(msworker.Worker{ID: "w-1", Pool: "pool-0", Capacity: msjob.Resources{CPU: 32_000}, Draining: true, RemainingTime: time.Minute})
	now := e.Clock.Now()
	e.syncWorkers(now)
	require.Equal(t, now, e.workers["w-1"].drainingSince)
}

// The entries of a rack's workers lapse before their leases end. The failure of the rack was then
// laid to the tasks that ran there.
func TestRackFailsAlsoOnceItsEntriesHaveLapsed(t *testing.T) {
	t.Parallel()
	e := saturatedEngine(t, 3, 1, 1, 0)
	now := e.Clock.Now()
	e.syncWorkers(now)
	for _, w := range e.workers {
		planned(e, w).state = runStarted
		w.vm, w.reachable, w.unreachableSince = "vm of "+w.ID, false, now
		e.Registry.Drop(w.ID)
	}
	require.True(t, e.rackFails(e.workers["w-0000"]))
	e.syncWorkers(now.Add(3 * time.Second))
	require.Len(t, e.workers, 3)
	require.True(t, e.rackFails(e.workers["w-0000"]))
}

// A list of VMs from before a worker joined showed its VM down while the worker missed a report.
// It was taken to have crashed for the rest of the term, also when it was only cut off.
func TestWorkerThatAnswersAgainHasNotCrashed(t *testing.T) {
	t.Parallel()
	e := saturatedEngine(t, 1, 1, 1, 0)
	entry, _ := e.Registry.Worker("w-0000")
	entry.VM = "vm-0"
	e.Registry.Set(entry)
	now := e.Clock.Now()
	e.syncWorkers(now)
	w := e.workers["w-0000"]
	w.reachable, w.unreachableSince, w.firstReportAt = false, now, now.Add(-time.Second)
	e.applyVMs([]msworker.VM{{Name: "vm-0", Pool: entry.Pool}}, now.Add(-time.Millisecond))
	require.True(t, w.crashed)
	require.False(t, w.terminated)
	e.handleReport(w, now, e.Term.Epoch, msworker.Report{Clock: time.Second})
	require.False(t, w.crashed)
	w.reachable, w.unreachableSince = false, now
	e.applyVMs([]msworker.VM{{Name: "vm-0", Pool: entry.Pool, Worker: w.ID, Up: true}}, now.Add(time.Millisecond))
	require.Equal(t, cutOff, e.endOf(w, now))
}

// A worker that had returned was in no data centre until the next list of VMs, if its entry names
// none, and got tasks though its own was evacuated.
func TestReturnedWorkerIsInTheDataCentreOfItsVM(t *testing.T) {
	t.Parallel()
	e := saturatedEngine(t, 1, 1, 1, 0)
	now := e.Clock.Now()
	e.syncWorkers(now)
	vm := msworker.VM{Name: "vm-0", Worker: "w-0000", Pool: "pool-0", DataCentre: "north", Moving: true}
	e.applyVMs([]msworker.VM{vm}, now)
	require.True(t, e.workers["w-0000"].terminated)
	vm.Moving, vm.Up = false, true
	e.applyVMs([]msworker.VM{vm}, e.Clock.Now().Add(time.Millisecond))
	w := e.workers["w-0000"]
	require.False(t, w.terminated)
	require.Equal(t, "north", w.dataCentre())
	require.Equal(t, "vm-0", w.vm)
}
