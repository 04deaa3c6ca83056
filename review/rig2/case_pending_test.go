//go:build review

package rig2

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["pending"] = pendingAfterBursts }

const (
	burstEntries = 9
	burstRate    = 360 // jobs a second at all entries together
	burstTime    = 4 * time.Second
	// slowRate is that of the same jobs without bursts.
	slowRate = 60
)

// accepted has when the jobs of a queue were accepted.
type accepted struct {
	mu sync.Mutex
	at map[string]time.Time
}

// submitAt hands in n jobs at a rate, in turn at all entries but a quiet one, and notes those that
// are accepted. It returns once all are answered.
func (r *rig) submitAt(a *accepted, quiet int, prefix string, first, n, rate int, body map[string]any) {
	clients := make([]*http.Client, burstEntries)
	for i := range clients {
		clients[i] = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	}
	var wg sync.WaitGroup
	begun := time.Now()
	for i := range n {
		time.Sleep(time.Until(begun.Add(time.Duration(i) * time.Second / time.Duration(rate))))
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := i % burstEntries
			e := c
			if e >= quiet {
				e++
			}
			id := fmt.Sprintf("%016x", uint64(first+i)*0x9e3779b97f4a7c15)
			status, _ := r.entries[e].call(clients[c], http.MethodPost, host, prefix+id, apiKey, body)
			r.event("submit", "entry", e, "job", id, "status", status)
			if status == http.StatusOK {
				a.mu.Lock()
				a.at[id] = time.Now()
				a.mu.Unlock()
			}
		}()
	}
	wg.Wait()
}

// pendingAfterBursts has two bursts of jobs at nine of ten entries, and asks all for the number of
// pending jobs after the second.
func pendingAfterBursts(r *rig) int {
	r.configure(
		[]route{
			{Name: "quick", Host: host, PathPrefix: "/quick/", Backend: "quick", Attempts: 3, Stretch: 3, TargetMS: 600000},
			{Name: "plan", Host: host, PathPrefix: prefix, Backend: pool, Attempts: 3, Stretch: 3, TargetMS: 600000},
		},
		[]map[string]any{{"name": pool, "enforces_capacity": true}, {"name": "quick", "enforces_capacity": true}},
		[]map[string]any{{"name": "t1", "api_keys": []string{apiKey}, "weight": 1000.0, "cap": map[string]any{"cpu": 0, "mem_mb": 0, "gpus": 0}}},
	)
	r.addMinions(pool, 4, 8000)
	r.addMinions("quick", 8, 64000)
	r.addEntries(burstEntries+1, nil)
	// The entry that schedules reads all streams.
	quiet := burstEntries
	if r.leader().n == quiet {
		quiet--
	}
	r.event("quiet", "entry", quiet)
	rate := burstRate
	if !r.trouble {
		rate = slowRate
	}
	n := int(burstTime.Seconds() * burstRate)
	// The first burst is served at once.
	quick := &accepted{at: map[string]time.Time{}}
	r.submitAt(quick, quiet, "/quick/", 1, n, rate, job(50*time.Millisecond, 1, 100))
	r.event("first-burst-ended", "accepted", len(quick.at), "additional", r.additional())
	time.Sleep(time.Until(r.begun.Add(66 * time.Second)))
	// These fill the service of the second queue.
	full := &accepted{at: map[string]time.Time{}}
	r.submitAt(full, quiet, prefix, 100001, 4, 10, job(100*time.Second, 1, 8000))
	time.Sleep(2 * time.Second)
	waiting := &accepted{at: map[string]time.Time{}}
	second := n
	if !r.trouble {
		second = n / 3
	}
	r.submitAt(waiting, quiet, prefix, 200001, second, rate, job(100*time.Second, 1, 8000))
	r.event("second-burst-ended", "accepted", len(waiting.at), "additional", r.additional())
	// visible_ms and 2 s more.
	time.Sleep(5200 * time.Millisecond)
	r.mu.Lock()
	begun := map[string]bool{}
	for _, row := range r.runs {
		begun[row.task[:16]] = true
	}
	r.mu.Unlock()
	want := 0
	for id, at := range waiting.at {
		if !begun[id] && time.Since(at) > 5*time.Second {
			want++
		}
	}
	code := held
	for i, e := range r.entries {
		status, v := e.call(nil, http.MethodGet, host, prefix, apiKey, nil)
		got, ok := v["pending"].(float64)
		r.event("pending", "entry", i, "status", status, "pending", got, "accepted-and-not-begun", want)
		if ok && status == http.StatusOK && 2*got < float64(want) {
			code = broken
		}
	}
	return code
}

// additional returns the number of records in topics of the system beside its usual ones, as the
// store sees them.
func (r *rig) additional() map[string]int {
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	all := map[string]int{}
	for name, t := range r.store.topics {
		all[name] = len(t.records)
	}
	return all
}
