//go:build review

package rig

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// rebornEnds sends small jobs, while one minion of eight is cut off for 1.2 seconds, ends there
// and starts again under its id.
func rebornEnds(r *rig) string {
	r.publish(config{version: 7, routes: []string{"quote"}, tenants: map[string]string{"showroom": "key-s"}})
	var all []*machine
	for range 8 {
		all = append(all, r.addMachine("svc-quote"))
	}
	for range 3 {
		r.addEntry()
	}
	r.waitReady()
	stop := time.Now().Add(20 * time.Second)
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		body := map[string]any{"spec": "ms=300 cpu=4000", "steps": []step{{"count": 8, "cpu": 4000, "mem_mb": 64, "est_runtime_ms": 300}}}
		for n := 0; time.Now().Before(stop); n++ {
			if r.submit(n, "quote", jobID(n), "key-s", body) != http.StatusOK {
				r.note("the job was not accepted")
			}
			time.Sleep(60 * time.Millisecond)
		}
	}()
	if r.trouble {
		for n := range 4 {
			time.Sleep(2500 * time.Millisecond)
			m := all[n].m
			m.cut(true)
			time.Sleep(1200 * time.Millisecond)
			m.rebirth("a")
		}
	}
	wg.Wait()
	time.Sleep(8 * time.Second)
	bad := []string{}
	for _, t := range r.runsOf("") {
		for _, o := range r.runsOf(t.task) {
			if !o.begun.Before(t.begun) || o.how != "done" || o.acked.IsZero() || !o.end.Before(t.begun) || r.minionByID(o.minion).lapsedBetween(o.end, o.acked) {
				continue
			}
			bad = append(bad, fmt.Sprintf("%s: attempt %d began at %s %d ms after attempt %d had ended done at %s, which ack_cursor has reached", t.task, t.attempt, t.minion, t.begun.Sub(o.end).Milliseconds(), o.attempt, o.minion))
		}
	}
	return strings.Join(bad, "\n          ")
}

// lapsedBetween reports whether the minion's lease lapsed between two times.
func (m *minion) lapsedBetween(from, to time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, t := range m.lapses {
		if !t.Before(from) && !t.After(to) {
			return true
		}
	}
	return false
}
