//go:build review

package rig2

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["crash"] = crashedMinions }

const (
	pool   = "desk"
	host   = "desk.example"
	prefix = "/plan/"
	apiKey = "k-1"
)

// basicConfig has one queue, one service and one tenant without a limit.
func (r *rig) basicConfig(target float64) {
	r.configure(
		[]route{{Name: "plan", Host: host, PathPrefix: prefix, Backend: pool, Priority: 0, Attempts: 3, Stretch: 3, TargetMS: target}},
		[]map[string]any{{"name": pool, "enforces_capacity": true}},
		[]map[string]any{{"name": "t1", "api_keys": []string{apiKey}, "weight": 1000.0, "cap": map[string]any{"cpu": 0, "mem_mb": 0, "gpus": 0}}},
	)
}

func job(run time.Duration, count int, cpu int64) map[string]any {
	return map[string]any{
		"spec":  fmt.Sprintf("run=%s cpu=%d", run, cpu),
		"steps": []map[string]any{{"count": count, "cpu": cpu, "mem_mb": 256, "est_runtime_ms": run.Milliseconds()}},
	}
}

// crashedMinions lets the minion that runs a subtask crash shortly after the start, twice.
func crashedMinions(r *rig) int {
	r.basicConfig(10000)
	r.addMinions(pool, 8, 8000)
	var mu sync.Mutex
	crashes := 0
	id := "00000000000000a1"
	r.onStart = func(row *runRow) {
		mu.Lock()
		hit := r.trouble && row.task == id+".0.0.0" && crashes < 2
		if hit {
			crashes++
		}
		mu.Unlock()
		if !hit {
			return
		}
		time.Sleep(150 * time.Millisecond)
		m := r.minionByID(row.minion)
		r.vms.set(m.machine, "down")
		m.crash()
		time.Sleep(4500 * time.Millisecond)
		r.vms.set(m.machine, "")
		must(m.start())
	}
	r.addEntries(3, nil)
	r.leader()
	time.Sleep(time.Second)
	status, _ := r.entries[0].call(nil, http.MethodPost, host, prefix+id, apiKey, job(5*time.Second, 1, 2000))
	r.event("submit", "job", id, "status", status)
	if status != 200 {
		return failed
	}
	for end := time.Now().Add(40 * time.Second); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		status, v := r.entries[1].call(nil, http.MethodGet, host, prefix+id, apiKey, nil)
		r.event("state", "status", status, "state", v["state"])
		switch v["state"] {
		case "completed":
			return held
		case "failed", "canceled":
			return broken
		}
	}
	return failed
}
