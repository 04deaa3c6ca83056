//go:build review

package rig

import (
	"net/http"
	"time"
)

// gangCheckpoint hands in a gang that checkpoints its progress, and takes down the machine of
// one of its subtasks.
func gangCheckpoint(r *rig) string {
	r.publish(config{version: 7, routes: []string{"quote"}, tenants: map[string]string{"showroom": "key-s"}})
	for range 8 {
		r.addMachine("svc-quote")
	}
	for range 3 {
		r.addEntry()
	}
	r.waitReady()
	broken := ""
	for n := range 3 {
		id := jobID(n)
		gang := map[string]any{"spec": "ms=9000 cpu=20000 saves gang=4", "steps": []step{{"count": 4, "cpu": 20000, "mem_mb": 64, "est_runtime_ms": 9000, "gang": true, "checkpointing": true}}}
		if r.submit(n, "quote", id, "key-s", gang) != http.StatusOK {
			panic(notRun("the job was not accepted"))
		}
		time.Sleep(time.Duration(4300+n*300) * time.Millisecond)
		runs := r.runsOf(id)
		if len(runs) != 4 {
			panic(notRun("the gang doesn't run"))
		}
		if r.trouble {
			r.crashMachine(r.machineOf(runs[0].minion), 3*time.Second)
		}
		time.Sleep(11 * time.Second)
		values := map[int]map[string]bool{}
		for _, t := range r.runsOf(id) {
			if values[t.attempt] == nil {
				values[t.attempt] = map[string]bool{}
			}
			values[t.attempt][t.checkpoint] = true
		}
		for attempt, v := range values {
			if len(v) > 1 {
				r.note("attempt %d of gang %s was started with different checkpoints: %v", attempt, id, v)
				broken = "subtasks of one run of a gang were started with different checkpoints"
			}
		}
		r.note("caller: GET of the job: %s", r.entries[0].state("quote", id, "key-s"))
	}
	return broken
}
