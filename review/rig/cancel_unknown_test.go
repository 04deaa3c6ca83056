//go:build review

package rig

import (
	"fmt"
	"net/http"
	"time"
)

// cancelUnknown hands in a job whose subtasks last at an entry whose appends get no answer and
// are carried out late, and cancels it at another entry.
func cancelUnknown(r *rig) string {
	r.publish(config{version: 7, routes: []string{"quote"}, tenants: map[string]string{"showroom": "key-s"}})
	for range 6 {
		r.addMachine("svc-quote")
	}
	for range 3 {
		r.addEntry()
	}
	r.waitReady()
	time.Sleep(time.Second)
	leader := r.leader()
	var at, other *entry
	for _, e := range r.entries {
		switch {
		case e == leader:
		case at == nil:
			at = e
		default:
			other = e
		}
	}
	if r.trouble {
		until := time.Now().Add(3500 * time.Millisecond)
		r.store.onAppend = func(e *entry, topic string, _ [][]byte) fate {
			if e != at || time.Now().After(until) {
				return fate{}
			}
			return fate{lose: true, delay: 4 * time.Second}
		}
	}
	id := jobID(1)
	lasting := map[string]any{"spec": "lasting cpu=2000", "steps": []step{{"count": 2, "cpu": 2000, "mem_mb": 64, "long_running": true}}}
	status, text := at.call(http.MethodPost, "/quote/"+id, "key-s", lasting, deadline)
	r.note("caller: POST of the job at %s: %d %s", at.name, status, text)
	time.Sleep(200 * time.Millisecond)
	var canceled time.Time
	for range 5 {
		status, text = other.call(http.MethodDelete, "/quote/"+id, "key-s", nil, deadline)
		canceled = time.Now()
		r.note("caller: DELETE of the job at %s: %d %s", other.name, status, text)
		if status == http.StatusOK || status == http.StatusGone {
			break
		}
		time.Sleep(500 * time.Millisecond)
	}
	if status != http.StatusOK && status != http.StatusGone {
		panic(notRun("the cancel was not answered"))
	}
	time.Sleep(20 * time.Second)
	broken := ""
	for _, t := range r.runsOf(id) {
		if late := t.begun.Sub(canceled); late > 3*time.Second {
			broken = fmt.Sprintf("a subtask was started %.1f s after the job's cancel was answered", late.Seconds())
		}
		if t.end.IsZero() {
			r.note("%s, attempt %d, still runs at %s", t.task, t.attempt, t.minion)
			broken = "subtasks run 20 s after their job's cancel was answered"
		}
	}
	r.note("caller: GET of the job at %s: %s", other.name, other.state("quote", id, "key-s"))
	return broken
}
