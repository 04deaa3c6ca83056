//go:build review

package rig2

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["advice"] = adviceStarved }

// adviceStarved has more jobs than its service can run in a queue with a recommendation, and then a
// job in another queue with one, whose service is idle.
func adviceStarved(r *rig) int {
	terms := advice{DecisionMS: 100, PeriodMS: 5, ValidityMS: 3000}
	r.advisor.terms = terms
	r.configure(
		[]route{
			{Name: "first", Host: host, PathPrefix: "/first/", Backend: "first", Attempts: 3, Stretch: 3, TargetMS: 600000, Advice: &terms},
			{Name: "plan", Host: host, PathPrefix: prefix, Backend: pool, Priority: 1, Attempts: 3, Stretch: 3, TargetMS: 600000, Advice: &terms},
		},
		[]map[string]any{{"name": pool, "enforces_capacity": true}, {"name": "first", "enforces_capacity": true}},
		[]map[string]any{{"name": "t1", "api_keys": []string{apiKey}, "weight": 1000.0, "cap": map[string]any{"cpu": 0, "mem_mb": 0, "gpus": 0}}},
	)
	r.addMinions(pool, 8, 8000)
	r.addMinions("first", 8, 8000)
	r.addEntries(3, nil)
	r.leader()
	time.Sleep(time.Second)
	submit := func(path, id string, body map[string]any) {
		body["spec"] = fmt.Sprint(body["spec"], " ticket")
		status, _ := r.entries[0].call(nil, http.MethodPost, host, path+id, apiKey, body)
		r.event("submit", "path", path, "job", id, "status", status)
		if status != http.StatusOK {
			panic("a job was not accepted")
		}
	}
	// Eight of these fill the service of the first queue, the others wait.
	n := 8
	if r.trouble {
		n = 48
	}
	for i := range n {
		submit("/first/", fmt.Sprintf("00000000000001%02x", i), job(60*time.Second, 1, 8000))
		time.Sleep(83 * time.Millisecond)
	}
	time.Sleep(8 * time.Second)
	id := "00000000000000a1"
	submit(prefix, id, job(500*time.Millisecond, 1, 1000))
	accepted := time.Now()
	// The traffic has ended. The job counts as lost if it has nothing running for 3 s from finish_s on.
	waited := 17500 * time.Millisecond
	for time.Since(accepted) < waited {
		time.Sleep(100 * time.Millisecond)
		r.mu.Lock()
		for _, row := range r.runs {
			if row.task == id+".0.0.0" {
				waited = row.start.Sub(accepted)
			}
		}
		r.mu.Unlock()
	}
	status, v := r.entries[1].call(nil, http.MethodGet, host, prefix+id, apiKey, nil)
	r.event("state", "job", id, "status", status, "state", v["state"])
	r.event("waited", "job", id, "for", waited, "calls-for-advice", r.advisor.calls)
	if waited > 17*time.Second {
		return broken
	}
	return held
}
