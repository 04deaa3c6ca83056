//go:build review

package rig2

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["assigned"] = assignedToCutMinion }

// assignedToCutMinion has a minion cut off from all entries for 5.5 s, hands jobs in just after the cut
// began, and asks for the number of pending jobs once they have waited for visible_ms and 2 s more.
func assignedToCutMinion(r *rig) int {
	r.basicConfig(60000)
	r.addMinions(pool, 8, 32000)
	var mu sync.Mutex
	var victim *minion
	for _, m := range r.minions {
		m.onOrder = func(m *minion, _ order) callFault {
			mu.Lock()
			defer mu.Unlock()
			if m == victim {
				return callFault{lose: true, delay: time.Hour}
			}
			return callFault{}
		}
	}
	r.addEntries(3, nil)
	r.leader()
	time.Sleep(time.Second)
	// The minion that runs the first job gets the next ones too, over the channels that its subtasks were
	// started on.
	first := "00000000000000a0"
	status, _ := r.entries[0].call(nil, http.MethodPost, host, prefix+first, apiKey, job(40*time.Second, 6, 1000))
	r.event("submit", "job", first, "status", status)
	time.Sleep(time.Second)
	r.mu.Lock()
	if len(r.runs) != 6 {
		r.mu.Unlock()
		return failed
	}
	m := r.runs[0].minion
	r.mu.Unlock()
	if r.trouble {
		mu.Lock()
		victim = r.minionByID(m)
		mu.Unlock()
		r.event("cut", "minion", m)
		time.AfterFunc(5500*time.Millisecond, func() {
			mu.Lock()
			victim = nil
			mu.Unlock()
			r.event("cut-ended", "minion", m)
		})
	}
	const n = 5
	var last time.Time
	ids := map[string]bool{}
	for i := range n {
		id := fmt.Sprintf("00000000000000b%d", i)
		status, _ := r.entries[i%3].call(nil, http.MethodPost, host, prefix+id, apiKey, job(40*time.Second, 1, 1000))
		r.event("submit", "job", id, "status", status)
		if status != http.StatusOK {
			return failed
		}
		ids[id], last = true, time.Now()
		time.Sleep(10 * time.Millisecond)
	}
	code := held
	for time.Sleep(time.Until(last.Add(5020 * time.Millisecond))); time.Since(last) < 5320*time.Millisecond; time.Sleep(50 * time.Millisecond) {
		for i, e := range r.entries {
			status, v := e.call(nil, http.MethodGet, host, prefix, apiKey, nil)
			// A job that begins while the entry answers does not count.
			r.mu.Lock()
			want := n
			for _, row := range r.runs {
				if ids[row.task[:16]] {
					want--
				}
			}
			r.mu.Unlock()
			got, ok := v["pending"].(float64)
			r.event("pending", "entry", i, "status", status, "pending", got, "accepted-and-not-begun", want)
			if ok && status == http.StatusOK && 2*got < float64(want) {
				code = broken
			}
		}
	}
	for id := range ids {
		_, v := r.entries[0].call(nil, http.MethodGet, host, prefix+id, apiKey, nil)
		r.event("state", "job", id, "state", v["state"])
	}
	time.Sleep(4 * time.Second)
	return code
}
