//go:build review

package rig

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// rebornKind sends small jobs that need minions of kind a, while one of these is cut off for
// two seconds, ends there and starts again under its id as kind b.
func rebornKind(r *rig) string {
	r.publish(config{version: 7, routes: []string{"quote"}, tenants: map[string]string{"showroom": "key-s"}})
	var all []*machine
	for range 4 {
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
		body := map[string]any{"spec": "ms=400 cpu=2000", "steps": []step{{"count": 6, "cpu": 2000, "mem_mb": 64, "est_runtime_ms": 400, "constraints": "a"}}}
		for n := 0; time.Now().Before(stop); n++ {
			r.submit(n, "quote", jobID(n), "key-s", body)
			time.Sleep(100 * time.Millisecond)
		}
	}()
	if r.trouble {
		for _, m := range all[:3] {
			time.Sleep(2 * time.Second)
			m.m.cut(true)
			time.Sleep(2 * time.Second)
			m.m.rebirth("b")
			time.Sleep(2 * time.Second)
		}
	}
	wg.Wait()
	time.Sleep(2 * time.Second)
	bad := []string{}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.runs {
		if t.label != "a" {
			bad = append(bad, fmt.Sprintf("%s, attempt %d, was started on %s of kind %s", t.task, t.attempt, t.minion, t.label))
		}
	}
	return strings.Join(bad, "; ")
}
