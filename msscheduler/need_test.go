package msscheduler

import (
	"testing"

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
