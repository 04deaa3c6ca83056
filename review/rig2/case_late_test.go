//go:build review

package rig2

import (
	"net/http"
	"sync"
	"time"
)

func init() { cases["late"] = lateStart }

const (
	// lateBy is how late the minion carries out the start, of the 2 to 12 s that are allowed.
	lateBy = 9 * time.Second
	// cutFor is how long it is cut off, of 12 s.
	cutFor = 11 * time.Second
)

// lateStart has a minion leave a start unanswered and carry it out late. The minion is cut off from
// all machines of the system meanwhile, crashes behind the cut and starts again.
func lateStart(r *rig) int {
	r.basicConfig(60000)
	r.addMinions(pool, 8, 8000)
	id := "00000000000000a1"
	var mu sync.Mutex
	var victim *minion
	cut := false
	rebornAt := make(chan *minion, 1)
	for _, m := range r.minions {
		m.takesStrayOrders = true
		m.onOrder = func(m *minion, o order) callFault {
			mu.Lock()
			defer mu.Unlock()
			switch {
			case !r.trouble:
			case victim == nil && o.Path == "/run-start" && o.Task == id+".0.0.0":
				victim = m
				r.event("start-unanswered", "minion", m.id, "task", o.Task, "attempt", o.Attempt, "token", o.FencingToken, "expires", o.ExpiresAtMS)
				rebornAt <- m
				return callFault{lose: true, delay: lateBy}
			case victim == m && cut:
				return callFault{lose: true, delay: time.Hour}
			}
			return callFault{}
		}
	}
	r.addEntries(3, nil)
	r.leader()
	time.Sleep(time.Second)
	if r.trouble {
		go func() {
			m := <-rebornAt
			time.Sleep(200 * time.Millisecond)
			mu.Lock()
			cut = true
			mu.Unlock()
			r.event("cut", "minion", m.id)
			time.Sleep(300 * time.Millisecond)
			m.crash()
			time.Sleep(300 * time.Millisecond)
			must(m.start())
			time.Sleep(cutFor - 600*time.Millisecond)
			mu.Lock()
			cut = false
			mu.Unlock()
			r.event("cut-ended", "minion", m.id)
		}()
	}
	status, _ := r.entries[0].call(nil, http.MethodPost, host, prefix+id, apiKey, job(10*time.Second, 1, 2000))
	r.event("submit", "job", id, "status", status)
	if status != http.StatusOK {
		return failed
	}
	for end := time.Now().Add(45 * time.Second); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		_, v := r.entries[1].call(nil, http.MethodGet, host, prefix+id, apiKey, nil)
		if v["state"] == "completed" {
			break
		}
	}
	time.Sleep(time.Second)
	bad := r.twice()
	for _, line := range bad {
		r.event("broken", "rule", "TWICE", "what", line)
	}
	if len(bad) > 0 {
		return broken
	}
	return held
}
