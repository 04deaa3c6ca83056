//go:build review

package rig2

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { cases["series"] = longSeries }

const (
	// seriesTimes is how often the steps of the scheduled job run: each second of a day.
	seriesTimes = 24 * 60 * 60
	// shortSeriesTimes is that of the job that disturbs nobody.
	shortSeriesTimes = 100
	// smallJobs is the number of jobs of the other service, one each second.
	smallJobs = 30
	// finish is finish_s, standstill how long nothing may run.
	finish     = 14 * time.Second
	standstill = 3 * time.Second
	// lastingStandstill is how long a subtask that lasts may not run.
	lastingStandstill = 6*time.Second + standstill
)

// longSeries has a scheduled job whose times have all passed, and jobs of another service, which is
// almost idle.
func longSeries(r *rig) int {
	r.configure(
		[]route{
			{Name: "quick", Host: host, PathPrefix: "/quick/", Backend: "quick", Attempts: 3, Stretch: 3, TargetMS: 60000},
			{Name: "plan", Host: host, PathPrefix: prefix, Backend: pool, Priority: 1, Attempts: 3, Stretch: 3, TargetMS: 60000},
		},
		[]map[string]any{{"name": pool, "enforces_capacity": true}, {"name": "quick", "enforces_capacity": true}},
		[]map[string]any{
			{"name": "t1", "api_keys": []string{apiKey}, "weight": 1000.0, "cap": map[string]any{"cpu": 0, "mem_mb": 0, "gpus": 0}},
			{"name": "t2", "api_keys": []string{"key-of-t2"}, "weight": 1000.0, "cap": map[string]any{"cpu": 0, "mem_mb": 0, "gpus": 0}},
		},
	)
	r.addMinions(pool, 9, 32000)
	r.addMinions("quick", 8, 32000)
	r.addEntries(3, nil)
	r.leader()
	submit := func(entry int, path, id, key string, body map[string]any) {
		status, _ := r.entries[entry].call(nil, http.MethodPost, host, path+id, key, body)
		r.event("submit", "entry", entry, "path", path, "job", id, "status", status)
		if status != http.StatusOK {
			panic("a job was not accepted")
		}
	}
	lasting := "00000000000000aa"
	submit(0, "/quick/", lasting, apiKey, map[string]any{
		"spec":  "lasts=1 cpu=1000",
		"steps": []map[string]any{{"count": 4, "cpu": 1000, "mem_mb": 256, "est_runtime_ms": 1000, "long_running": true}},
	})
	time.Sleep(2 * time.Second)
	times := shortSeriesTimes
	if r.trouble {
		times = seriesTimes
	}
	first := time.Now().Add(-time.Duration(times) * time.Second)
	submit(1, prefix, "00000000000000bb", "key-of-t2", map[string]any{
		"spec":         "run=1000ms cpu=50",
		"steps":        []map[string]any{{"count": 1, "cpu": 50, "mem_mb": 10, "est_runtime_ms": 1000, "allow_duplicates": true}},
		"repeat_count": times, "start_at_ms": first.UnixMilli(), "interval_ms": 1000,
	})
	var small []string
	for i := range smallJobs {
		time.Sleep(time.Second)
		small = append(small, fmt.Sprintf("%016x", 0x1000+i))
		submit(i%3, "/quick/", small[i], apiKey, job(200*time.Millisecond, 2, 1000))
	}
	r.event("traffic-ended")
	time.Sleep(finish + standstill)
	code := held
	for i, id := range small {
		runs := r.runsOf(id)
		if len(runs) > 0 {
			continue
		}
		status, v := r.entries[i%3].call(nil, http.MethodGet, host, "/quick/"+id, apiKey, nil)
		r.event("nothing-has-run", "job", id, "status", status, "state", v["state"])
		code = broken
	}
	for i := range 4 {
		if gap := r.longestGap(fmt.Sprintf("%s.0.0.%d", lasting, i)); gap > lastingStandstill {
			r.event("not-running", "task", fmt.Sprintf("%s.0.0.%d", lasting, i), "for", gap)
			code = broken
		}
	}
	lapsed := 0
	for _, row := range r.runsOf(lasting) {
		if row.how == "lapsed" {
			lapsed++
		}
	}
	r.event("lasting-runs", "lapsed", lapsed)
	return code
}

// runsOf returns the runs of a job or of a subtask, in the order of their starts.
func (r *rig) runsOf(name string) []runRow {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []runRow
	for _, row := range r.runs {
		if strings.HasPrefix(row.task, name) {
			all = append(all, *row)
		}
	}
	return all
}

// longestGap returns the longest time after a run of a subtask in which there was none, until now.
func (r *rig) longestGap(task string) time.Duration {
	var longest time.Duration
	var end time.Time
	for _, row := range r.runsOf(task) {
		if !end.IsZero() {
			longest = max(longest, row.start.Sub(end))
		}
		if end = row.end; end.IsZero() {
			return longest
		}
	}
	return max(longest, time.Since(end))
}
