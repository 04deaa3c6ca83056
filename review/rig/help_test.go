//go:build review

package rig

import (
	"strings"
	"time"
)

// awaitState waits until the small job n is shown in the state.
func (r *rig) awaitState(n int, want string, limit time.Duration) bool {
	for begun := time.Now(); time.Since(begun) < limit; time.Sleep(100 * time.Millisecond) {
		if r.entries[n%len(r.entries)].state("quote", jobID(n), "key-s") == want {
			return true
		}
	}
	return false
}

// countRuns returns how many runs of a job's subtasks have begun.
func (r *rig) countRuns(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, t := range r.runs {
		if strings.HasPrefix(t.task, id+".") {
			n++
		}
	}
	return n
}

// countDone returns how many runs of a job's subtasks have ended done.
func (r *rig) countDone(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, t := range r.runs {
		if strings.HasPrefix(t.task, id+".") && t.how == "done" {
			n++
		}
	}
	return n
}

// runsOf returns copies of the runs of a job or of a subtask, or all if the name is empty.
func (r *rig) runsOf(name string) []taskRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []taskRun
	for _, t := range r.runs {
		if name == "" || t.task == name || strings.HasPrefix(t.task, name+".") {
			all = append(all, *t)
		}
	}
	return all
}

// machineOf returns the machine that runs a minion.
func (r *rig) machineOf(minion string) *machine {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.machines {
		if m.m != nil && m.m.id == minion {
			return m
		}
	}
	panic(notRun("no machine runs " + minion))
}

func (r *rig) minionByID(id string) *minion {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.minions[id]
}
