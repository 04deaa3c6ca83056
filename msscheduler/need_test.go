package msscheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjoramspan/mscapacity"
	"marjoramspan/msjob"
	"marjoramspan/mssite"
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

// Only tasks that could run count: not those beyond their team's limit, nor those whose turn has
// not come. Ordinary jobs need room for one task.
func TestNeedsOfAPool(t *testing.T) {
	t.Parallel()
	e := saturatedEngine(t, 0, 1, 0, 0)
	site := *e.Sites.Site()
	site.Version = 2
	site.Teams = map[string]mssite.Team{"full": {Name: "full", Limit: msjob.Resources{CPU: 2000}}, "half": {Name: "half", Limit: msjob.Resources{CPU: 3000}}}
	e.Sites.Set(&site)
	e.teams["full"] = msjob.Resources{CPU: 2000}
	labelled := func(label string, s msjob.Step) msjob.Step {
		s.Label = label
		return s
	}
	spread := longRunning(5, 1)
	spread.MaxPerWorker = 1
	gang := step(4)
	gang.Gang = true
	next := labelled("next", step(1))
	next.After = []int{0}
	for i, c := range []struct {
		team  string
		steps []msjob.Step
	}{
		{"", []msjob.Step{labelled("one", step(9)), next}},
		{"", []msjob.Step{labelled("one", step(3))}},
		{"", []msjob.Step{labelled("spread", spread)}},
		{"", []msjob.Step{labelled("spread", spread)}},
		{"", []msjob.Step{labelled("gang", gang)}},
		{"full", []msjob.Step{labelled("full", spread)}},
		{"half", []msjob.Step{labelled("half", spread)}},
		{"half", []msjob.Step{labelled("gang-half", gang)}},
	} {
		e.addJob(msjob.TableEntry{Job: &msjob.Job{ID: fmt.Sprintf("%016x", i), Queue: "queue-0", Pool: "pool-0", Team: c.team, Steps: c.steps, Accepted: time.Now()}})
	}
	e.fleet.vms = []msworker.VM{{Name: "vm", Pool: "pool-0", Up: true, Capacity: msjob.Resources{CPU: 4000}}}
	size := step(1).Need
	require.ElementsMatch(t, []mscapacity.Need{
		{Label: "one", Size: size, Tasks: 1},
		{Label: "spread", Size: size, Tasks: 5, PerVM: 1, Reserve: 1},
		{Label: "spread", Size: size, Tasks: 10},
		{Label: "gang", Size: size, Tasks: 4},
		{Label: "half", Size: size, Tasks: 3, PerVM: 1, Reserve: 1},
		{Label: "half", Size: size, Tasks: 3},
	}, e.measurePools(e.Clock.Now())[0].Needs)
}

// A VM is absent once it has been down or its worker silent for some time, not if it is moved or
// maintained. A worker that was given up while it answered has just become silent.
func TestAbsentVMs(t *testing.T) {
	t.Parallel()
	at := time.Unix(1000, 0)
	e := &Engine{workers: map[string]*worker{
		"answers": {reachable: true},
		"silent":  {unreachableSince: at},
		"gone":    {unreachableSince: at.Add(-time.Hour), terminated: true, terminatedAt: at},
	}}
	vms := []msworker.VM{
		{Name: "down"},
		{Name: "silent", Worker: "silent", Up: true},
		{Name: "gone", Worker: "gone", Up: true},
		{Name: "answers", Worker: "answers", Up: true},
		{Name: "moving", Moving: true},
		{Name: "maintained", Maintained: true},
	}
	e.fleet.set(vms, at, at)
	e.fleet.set(vms, at.Add(time.Second), at.Add(time.Second))
	for i, vm := range vms {
		require.False(t, e.isAbsent(vm, at.Add(absenceGrace-1)), vm.Name)
		require.Equal(t, i < 3, e.isAbsent(vm, at.Add(absenceGrace)), vm.Name)
	}
	vms[0].Up = true
	e.fleet.set(vms, at.Add(2*time.Second), at.Add(2*time.Second))
	require.False(t, e.isAbsent(vms[0], at.Add(absenceGrace)))
}
