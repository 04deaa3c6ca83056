package msscheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjoramspan/msjob"
	"marjoramspan/msworker"
)

// The only VM with the label of a task was a spare one, and stayed there.
func TestTaskGetsAVMWithItsLabelFromTheSparePool(t *testing.T) {
	t.Parallel()
	w := newTestCluster(t, 2)
	w.addSpareVMs(2)
	w.vms.Add(msworker.VM{Name: "vm-labelled", Pool: "spare", Rack: "r9", Labels: []string{"gpu", "r9"}, Up: true, Capacity: msjob.Resources{CPU: 4000, Memory: 8000}})
	e := w.entry("a")
	labelled := step(1)
	labelled.Label = "gpu"
	w.submit(&msjob.Job{ID: "0000000000000001", Spec: "run=50ms", Steps: []msjob.Step{labelled}})
	w.await(e, "0000000000000001", msjob.Completed)
	w.requireNoDuplicates()
}

// A pool without VMs got none, though a task waited there beside spare VMs.
func TestTaskOfAnEmptyPoolGetsAVM(t *testing.T) {
	t.Parallel()
	w := newTestCluster(t, 0)
	w.addSpareVMs(3)
	e := w.entry("a")
	w.submit(&msjob.Job{ID: "0000000000000001", Spec: "run=50ms", Steps: []msjob.Step{step(1)}})
	w.await(e, "0000000000000001", msjob.Completed)
	w.requireNoDuplicates()
}

// All VMs of a pool were down and stayed down, and counted as if they served. Spare VMs stayed
// where they were.
func TestTaskOfAPoolWhoseVMsStayDownGetsAVM(t *testing.T) {
	t.Parallel()
	w := newTestCluster(t, 2)
	w.addSpareVMs(2)
	w.vms.Away = eventually
	e := w.entry("a")
	for _, id := range []string{"w-1", "w-2"} {
		awaitWorker(e, id, func(w *worker) bool { return w.reachable && w.vm != "" })
		w.vms.Crash(id)
	}
	w.submit(&msjob.Job{ID: "0000000000000001", Spec: "run=50ms", Steps: []msjob.Step{step(1)}})
	require.Eventually(t, func() bool { return len(w.vmOrdersOf("a")) > 0 }, eventually, 5*time.Millisecond)
	time.Sleep(5 * vmPollInterval)
	require.Len(t, w.vmOrdersOf("a"), 1, "one VM is enough")
}

// VMs that are back soon are not replaced.
func TestPoolWhoseVMsAreBackSoonKeepsItsSize(t *testing.T) {
	t.Parallel()
	w := newTestCluster(t, 2)
	w.addSpareVMs(2)
	w.vms.Away = 1500 * time.Millisecond
	e := w.entry("a")
	for _, id := range []string{"w-1", "w-2"} {
		awaitWorker(e, id, func(w *worker) bool { return w.reachable && w.vm != "" })
		w.vms.Crash(id)
	}
	w.submit(&msjob.Job{ID: "0000000000000001", Spec: "run=50ms", Steps: []msjob.Step{step(1)}})
	w.await(e, "0000000000000001", msjob.Completed)
	require.Empty(t, w.vmOrdersOf("a"))
}
