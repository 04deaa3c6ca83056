// Package mszone decides what happens to the tasks and VMs of data centres that
// operators evacuate, and how much work a worker gets that comes back cold. It does no
// I/O: its functions compute over tables, with the clock passed in.
//
// It is designed for a load in which operators evacuate one of three data centres while
// its workers run short tasks, tasks with checkpoints and long-running tasks, and for
// workers of a data centre that all come back at about the same time and are slow at
// first.
package mszone

import (
	"slices"
	"sort"
	"time"

	"marjoramspan/msjob"
)

// Step identifies a step of an occurrence of a job.
type Step struct {
	Job              string
	Occurrence, Step int
}

// Task is an attempt that runs on a worker of an evacuated data centre.
type Task struct {
	// Index identifies the task to the caller of Stops.
	Index int
	Step  Step
	Pool  string
	// Need and Label are what the task requires of a worker.
	Need  msjob.Resources
	Label string
	// LongRunning tasks run until their job is cancelled. Serving says that one of them
	// is available.
	LongRunning, Serving bool
	// Checkpoints says that the task can go on elsewhere from where it was, Gang that it
	// can't go on without the other tasks of its step.
	Checkpoints, Gang bool
	// Remaining is the estimated time until the task ends.
	Remaining time.Duration
	// Stopping says that the task is already being stopped.
	Stopping bool
}

// Worker is a worker outside evacuated data centres that takes new tasks.
type Worker struct {
	Capacity msjob.Resources
	Labels   []string
}

// Availability is how many tasks of a long-running step are not available now, and how
// many may be.
type Availability struct {
	Unavailable, MaxUnavailable int
}

// Soon is the remaining time up to which a task with checkpoints is left to end: to stop
// it, store its checkpoint and start it elsewhere takes a second or two, and operators
// wait five seconds for an evacuation anyway.
const Soon = 5 * time.Second

// Stops returns the indexes of the tasks to stop now. steps has the availability of each
// long-running step, room the capacities of the workers outside evacuated data centres by
// pool.
//
// Long-running tasks go first, as many of each step as may be unavailable; the others of
// a step follow once these are available elsewhere. Tasks with checkpoints that can't end
// soon follow when no long-running task can be stopped or is being stopped, so that the
// long-running ones get the capacity elsewhere first. All other tasks are left to end. A
// task that no worker elsewhere could run is left as well: stopping it would only end it
// earlier.
func Stops(tasks []Task, steps map[Step]Availability, room map[string][]Worker) []int {
	ordered := append([]Task(nil), tasks...)
	// Tasks that aren't available yet are lost at no cost to callers.
	sort.SliceStable(ordered, func(i, k int) bool { return !ordered[i].Serving && ordered[k].Serving })
	var stops []int
	busy := false
	taken := map[Step]int{}
	for _, t := range ordered {
		if !t.LongRunning {
			continue
		}
		a := steps[t.Step]
		unavailable := a.Unavailable + taken[t.Step]
		if t.Serving {
			unavailable++
		}
		switch {
		case t.Stopping:
			busy = true
		case t.Gang || !canRunElsewhere(&t, room[t.Pool]):
		case unavailable <= max(a.MaxUnavailable, 1):
			stops = append(stops, t.Index)
			if t.Serving {
				taken[t.Step]++
			}
			busy = true
		}
	}
	if busy {
		return stops
	}
	for _, t := range ordered {
		if !t.LongRunning && t.Checkpoints && !t.Gang && !t.Stopping && t.Remaining > Soon && canRunElsewhere(&t, room[t.Pool]) {
			stops = append(stops, t.Index)
		}
	}
	return stops
}

// canRunElsewhere reports whether any of the workers could run the task once it is free.
func canRunElsewhere(t *Task, room []Worker) bool {
	for i := range room {
		w := &room[i]
		if t.Need.Fits(w.Capacity) && (t.Label == "" || slices.Contains(w.Labels, t.Label)) {
			return true
		}
	}
	return false
}

// viewMargin is how much earlier than its deadline an evacuation has to be known: an
// order that was checked against the newest view may still be on its way to the worker
// for the time-out of an order, 600 ms.
const viewMargin = time.Second

// MayStart reports whether tasks may be started on a view of the operators' records of
// the given age. deadline is the time within which an evacuation must be in effect; 0
// means that there is none.
func MayStart(age, deadline time.Duration) bool {
	return deadline <= 0 || age <= max(deadline-viewMargin, deadline/2)
}

// VM is a VM of an evacuated data centre.
type VM struct {
	Name, Pool string
	// Idle means that it runs no tasks, Pinned that it can't be moved now.
	Idle, Pinned bool
	// Evacuated is how long its data centre has been evacuated.
	Evacuated time.Duration
}

// maxReleases bounds the VMs that Releases returns at a time, so that their orders don't
// delay those that bring VMs to pools that need capacity.
const maxReleases = 12

// minEvacuation is how long a data centre has to be evacuated for its VMs to go to the
// spare pool. An evacuation that is revoked at once would move them twice.
const minEvacuation = 3 * time.Second

// Releases returns the VMs to move to the spare pool: those that are idle, by name.
func Releases(vms []VM, spare string) []string {
	if spare == "" {
		return nil
	}
	var all []string
	for _, vm := range vms {
		if vm.Idle && !vm.Pinned && vm.Pool != spare && vm.Evacuated >= minEvacuation {
			all = append(all, vm.Name)
		}
	}
	sort.Strings(all)
	return all[:min(len(all), maxReleases)]
}
