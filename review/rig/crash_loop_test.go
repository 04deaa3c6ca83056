//go:build review

package rig

import (
	"net/http"
	"strings"
	"time"
)

// crashLoop hands in a job whose subtasks last, and takes down the machine of its first
// subtask twice: some seconds after the start, and again soon after the subtask runs elsewhere.
func crashLoop(r *rig) string {
	r.publish(config{version: 7, routes: []string{"quote"}, tenants: map[string]string{"showroom": "key-s"}})
	for range 10 {
		r.addMachine("svc-quote")
	}
	for range 3 {
		r.addEntry()
	}
	r.waitReady()
	id := jobID(1)
	lasting := map[string]any{"spec": "lasting cpu=2000", "steps": []step{{"count": 3, "cpu": 2000, "mem_mb": 64, "long_running": true, "may_miss": 1}}}
	if r.submit(0, "quote", id, "key-s", lasting) != http.StatusOK {
		panic(notRun("the job was not accepted"))
	}
	time.Sleep(time.Second)
	if n := r.countRuns(id); n != 3 {
		panic(notRun("the job's subtasks don't run"))
	}
	if r.trouble {
		for range 2 {
			r.crashMachineOf(id+".0.0.0", 3*time.Second)
		}
	}
	time.Sleep(12 * time.Second)
	broken := []string{}
	for _, e := range r.entries {
		state := e.state("quote", id, "key-s")
		r.note("caller: GET of the job at %s: %s", e.name, state)
		if state != "running" {
			broken = append(broken, "LOST: the job is shown as "+state+", and none of its runs has ended failed")
			break
		}
	}
	running, stopped := 0, 0
	for _, t := range r.runsOf(id) {
		if t.end.IsZero() {
			running++
		}
		if t.how == "stopped" {
			stopped++
		}
	}
	r.note("%d of 3 subtasks run, %d were stopped", running, stopped)
	if stopped > 0 {
		// The subtask whose machines went down is away, as many as may_miss allows.
		broken = append(broken, "AVAIL: subtasks at work were stopped while another one of their step was away, and 1 may be")
	}
	if running < 3 {
		broken = append(broken, "LOST: subtasks that last don't run for 10 s, with idle minions")
	}
	return strings.Join(broken, "; ")
}

// crashMachineOf takes down the machine on which a subtask has run for half a second.
func (r *rig) crashMachineOf(task string, away time.Duration) {
	for begun := time.Now(); time.Since(begun) < 10*time.Second; time.Sleep(10 * time.Millisecond) {
		for _, t := range r.runsOf(task) {
			if t.end.IsZero() && time.Since(t.begun) > 500*time.Millisecond {
				r.crashMachine(r.machineOf(t.minion), away)
				return
			}
		}
	}
	panic(notRun(task + " didn't start again"))
}
