//go:build review

package rig2

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["late"] = lateStart }

const (
	// lateAt is when the minion carries the start out, after it was first sent.
	lateAt = 6350 * time.Millisecond
	// cutAfter is when the minion is cut off after the start was sent, cutFor for how long.
	cutAfter, cutFor = 1200 * time.Millisecond, 5500 * time.Millisecond
	// otherOrders is the number of subtasks that are started without trouble.
	otherOrders = 40
)

// lateStart has a minion leave a start unanswered, twice, and carry it out late. The minion is cut off
// from all machines of the system meanwhile, crashes behind the cut and starts again.
func lateStart(r *rig) int {
	r.basicConfig(60000)
	r.addMinions(pool, 8, 8000)
	id := "00000000000000a1"
	var mu sync.Mutex
	var victim *minion
	var sent time.Time
	cut := false
	orders := 0
	begun := make(chan *minion, 1)
	for _, m := range r.minions {
		m.takesStrayOrders = true
		m.onOrder = func(m *minion, o order) callFault {
			mu.Lock()
			defer mu.Unlock()
			if o.Path != "/hold" {
				orders++
			}
			switch {
			case !r.trouble:
			case victim == m && cut:
				return callFault{lose: true, delay: time.Hour}
			case o.Path == "/run-start" && o.Task == id+".0.0.0" && o.Attempt == 1:
				if victim == nil {
					victim, sent = m, time.Now()
					begun <- m
				}
				r.event("start-unanswered", "minion", m.id, "task", o.Task, "attempt", o.Attempt, "token", o.FencingToken, "expires", o.ExpiresAtMS)
				return callFault{lose: true, delay: time.Until(sent.Add(lateAt))}
			}
			return callFault{}
		}
	}
	r.addEntries(3, nil)
	r.leader()
	time.Sleep(time.Second)
	submit := func(id string, body map[string]any) bool {
		status, _ := r.entries[0].call(nil, http.MethodPost, host, prefix+id, apiKey, body)
		r.event("submit", "job", id, "status", status)
		return status == http.StatusOK
	}
	if r.trouble {
		go func() {
			m := <-begun
			time.Sleep(cutAfter)
			mu.Lock()
			cut = true
			mu.Unlock()
			r.event("cut", "minion", m.id)
			time.Sleep(200 * time.Millisecond)
			m.crash()
			time.Sleep(300 * time.Millisecond)
			must(m.start())
			time.Sleep(time.Until(sent.Add(cutAfter + cutFor)))
			mu.Lock()
			cut = false
			mu.Unlock()
			r.event("cut-ended", "minion", m.id)
		}()
	}
	// The second job needs a whole minion.
	if !submit("00000000000000a0", job(4*time.Second, otherOrders, 500)) || !submit(id, job(10*time.Second, 1, 8000)) {
		return failed
	}
	for end := time.Now().Add(45 * time.Second); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		_, v := r.entries[1].call(nil, http.MethodGet, host, prefix+id, apiKey, nil)
		if v["state"] == "completed" {
			break
		}
	}
	time.Sleep(time.Second)
	r.event("orders", "all", fmt.Sprint(orders))
	bad := r.twice()
	for _, line := range bad {
		r.event("broken", "rule", "TWICE", "what", line)
	}
	if len(bad) > 0 {
		return broken
	}
	return held
}
