//go:build review

package rig2

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["memory"] = manySteps }

const (
	memoryMB = 284
	// largeSteps is the number of steps of a large job, whose body is well below max_body_bytes.
	largeSteps = 4000
	largeJobs  = 1000
	// jobPause is the time between two jobs.
	jobPause = 60 * time.Millisecond
	// watchUntil is when the script ends, ownEnds how often the processes of two machines may end by
	// themselves.
	watchUntil = 105 * time.Second
	ownEnds    = 3
)

// memory returns the memory of the process in MB, without what it maps of files.
func (e *entry) memory() int {
	e.mu.Lock()
	pid := e.cmd.Process.Pid
	e.mu.Unlock()
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for _, line := range strings.Split(string(b), "\n") {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "RssAnon:" {
			n, _ := strconv.Atoi(f[1])
			return n / 1024
		}
	}
	return 0
}

// manySteps hands in jobs of many steps. A process that takes more memory than its limit is killed and
// started again, as the platform does.
func manySteps(r *rig) int {
	r.basicConfig(60000)
	r.addMinions(pool, 8, 8000)
	r.addEntries(3, nil)
	r.leader()
	time.Sleep(time.Second)
	steps := []map[string]any{{"count": 1, "cpu": 1000}}
	for i := 1; r.trouble && i < largeSteps; i++ {
		steps = append(steps, map[string]any{"count": 1, "cpu": 1000, "after": []int{i - 1}})
	}
	body := map[string]any{"spec": "run=100ms cpu=1000", "steps": steps}
	var mu sync.Mutex
	ends := map[int]int{}
	done := make(chan struct{})
	var wg sync.WaitGroup
	for _, e := range r.entries {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				case <-time.After(50 * time.Millisecond):
				}
				mb := e.memory()
				if n%40 == 0 {
					r.event("memory", "entry", e.n, "mb", mb)
				}
				if mb <= memoryMB {
					continue
				}
				r.event("killed-for-memory", "entry", e.n, "mb", mb)
				e.kill()
				mu.Lock()
				ends[e.n]++
				mu.Unlock()
				time.Sleep(500 * time.Millisecond)
				e.start()
			}
		}()
	}
	often := func() int {
		mu.Lock()
		defer mu.Unlock()
		n := 0
		for _, k := range ends {
			if k >= ownEnds {
				n++
			}
		}
		return n
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
	accepted := 0
	for i := 0; accepted < largeJobs && time.Since(r.begun) < 85*time.Second && often() < 2; i++ {
		id := fmt.Sprintf("%016x", 0xc0000+i)
		status, _ := r.entries[i%3].call(client, http.MethodPost, host, prefix+id, apiKey, body)
		r.event("submit", "entry", i%3, "job", id, "status", status)
		if status == http.StatusOK {
			accepted++
		}
		time.Sleep(jobPause)
	}
	r.event("submitted", "accepted", accepted, "steps", len(steps))
	for time.Since(r.begun) < watchUntil && often() < 2 {
		time.Sleep(200 * time.Millisecond)
	}
	close(done)
	wg.Wait()
	r.event("own-ends", "by-entry", fmt.Sprint(ends))
	if often() >= 2 {
		return broken
	}
	return held
}
