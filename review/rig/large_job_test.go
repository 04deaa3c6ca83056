//go:build review

package rig

import (
	"net/http"
	"time"
)

const (
	largeCount = 20_000
	smallCount = 200
)

// largeJob hands in one job with many subtasks, and then small jobs of another tenant to
// another service, whose minions are idle.
func largeJob(r *rig) string {
	r.publish(config{version: 7, routes: []string{"plan", "quote"}, tenants: map[string]string{"fitters": "key-f", "showroom": "key-s"}})
	for range 6 {
		r.addMachine("svc-plan")
	}
	for range 4 {
		r.addMachine("svc-quote")
	}
	for range 3 {
		r.addEntry()
	}
	r.waitReady()
	small := map[string]any{"spec": "ms=300 cpu=1000", "steps": []step{{"count": 4, "cpu": 1000, "mem_mb": 64, "est_runtime_ms": 300}}}
	for i := range 5 {
		if r.submit(i, "quote", jobID(i), "key-s", small) != http.StatusOK {
			panic(notRun("a first small job was not accepted"))
		}
	}
	for i := range 5 {
		if !r.awaitState(i, "completed", 10*time.Second) {
			panic(notRun("a first small job was not completed"))
		}
	}
	count := smallCount
	if r.trouble {
		count = largeCount
	}
	large := map[string]any{"spec": "ms=40 cpu=1000", "steps": []step{{"count": count, "cpu": 1000, "mem_mb": 64, "est_runtime_ms": 40}}}
	r.note("a job with %d subtasks comes", count)
	if r.submit(0, "plan", jobID(1000), "key-f", large) != http.StatusOK {
		return "" // A refusal keeps the rule.
	}
	time.Sleep(30 * time.Second)
	r.note("the large job is shown as %s, %d subtasks have ended done", r.entries[0].state("plan", jobID(1000), "key-f"), r.countDone(jobID(1000)))
	accepted := []int{}
	for i := 10; i < 30; i++ {
		if r.submit(i, "quote", jobID(i), "key-s", small) == http.StatusOK {
			accepted = append(accepted, i)
		}
		time.Sleep(100 * time.Millisecond)
	}
	// finish_s is 14 s; a job that has nothing running for 3 s while there is room breaks the
	// rule.
	time.Sleep(14 * time.Second)
	bad := 0
	for _, i := range accepted {
		state := r.entries[i%3].state("quote", jobID(i), "key-s")
		n := r.countRuns(jobID(i))
		r.note("job %s: state %s, %d runs", jobID(i), state, n)
		if n == 0 && state != "completed" && state != "failed" {
			bad++
		}
	}
	r.note("the large job is shown as %s, %d subtasks have ended done", r.entries[0].state("plan", jobID(1000), "key-f"), r.countDone(jobID(1000)))
	if bad > 0 {
		return "accepted jobs have nothing running for 14 s, on a service whose minions are idle"
	}
	return ""
}
