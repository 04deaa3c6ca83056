//go:build review

package rig2

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["soak"] = soak }

// soakJob is a job of the soak as its consumer knows it.
type soakJob struct {
	id                  string
	tasks               int // of its first step; a second one has one task
	accepted            time.Time
	rejectedOnly        bool
	cancelled, cancelOK time.Time
	state               string
}

// soakState has what becomes of the calls to minions and to the store.
type soakState struct {
	mu      sync.Mutex
	rand    *rand.Rand
	late    float64
	cut     map[string]string // how a minion is cut off
	store   map[int]string    // how the store treats an entry
	lost    float64
	lateApp bool
}

func (s *soakState) order(m *minion, o order) callFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch s.cut[m.id] {
	case "all":
		return callFault{lose: true, delay: time.Hour}
	case "one-way":
		return callFault{lose: true}
	}
	if o.Path != "/hold" && s.rand.Float64() < s.late {
		return callFault{lose: true, delay: 2*time.Second + time.Duration(s.rand.Int64N(int64(10*time.Second)))}
	}
	return callFault{}
}

func (s *soakState) call(entry int, r *http.Request) callFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch s.store[entry] {
	case "busy":
		return callFault{status: 503}
	case "many":
		return callFault{status: 429}
	case "reset":
		return callFault{drop: true}
	case "silent":
		return callFault{lose: true, delay: time.Hour}
	case "slow":
		return callFault{delay: 250 * time.Millisecond}
	}
	if r.URL.Path == "/log-append" && s.rand.Float64() < s.lost {
		f := callFault{lose: true}
		if s.lateApp {
			f.delay = time.Second + time.Duration(s.rand.Int64N(int64(5*time.Second)))
		}
		return f
	}
	return callFault{}
}

func soak(r *rig) int {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	kinds := os.Getenv("KINDS")
	rnd := rand.New(rand.NewPCG(seed, 1))
	st := &soakState{rand: rand.New(rand.NewPCG(seed, 2)), cut: map[string]string{}, store: map[int]string{}}
	r.basicConfig(60000)
	r.addMinions(pool, 10, 8000)
	for _, m := range r.minions {
		m.onOrder = st.order
		m.takesStrayOrders = strings.Contains(kinds, "stray")
		m.slow = 0.02 * rnd.Float64()
	}
	r.store.fault = st.call
	r.addEntries(4, nil)
	r.leader()
	var mu sync.Mutex
	jobs := map[string]*soakJob{}
	var bad []string
	violation := func(format string, args ...any) {
		line := fmt.Sprintf(format, args...)
		r.event("VIOLATION", "what", line)
		mu.Lock()
		bad = append(bad, line)
		mu.Unlock()
	}
	stop := time.Now().Add(45 * time.Second)
	var wg sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}}
	for c := range 6 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			rnd := rand.New(rand.NewPCG(seed, uint64(100+c)))
			for i := 0; time.Now().Before(stop); i++ {
				time.Sleep(time.Duration(100+rnd.IntN(500)) * time.Millisecond)
				j := &soakJob{id: fmt.Sprintf("%08x%04x%04x", seed, c, i), tasks: 1 + rnd.IntN(4), rejectedOnly: true}
				run := time.Duration(200+rnd.IntN(2500)) * time.Millisecond
				cpu := int64(500 + rnd.IntN(1500))
				body := map[string]any{
					"spec": fmt.Sprintf("run=%s cpu=%d", run, cpu),
					"steps": []map[string]any{
						{"count": j.tasks, "cpu": cpu, "mem_mb": 256, "est_runtime_ms": run.Milliseconds()},
						{"count": 1, "cpu": cpu, "mem_mb": 256, "est_runtime_ms": run.Milliseconds(), "after": []int{0}},
					},
				}
				mu.Lock()
				jobs[j.id] = j
				mu.Unlock()
				for range 5 {
					e := rnd.IntN(4)
					status, _ := r.entries[e].call(client, http.MethodPost, host, prefix+j.id, apiKey, body)
					r.event("submit", "entry", e, "job", j.id, "status", status)
					mu.Lock()
					j.rejectedOnly = j.rejectedOnly && (status == 429 || status == 503)
					if status == 200 {
						j.accepted = time.Now()
					}
					mu.Unlock()
					if status == 200 || status == 429 || status == 503 {
						break
					}
					time.Sleep(200 * time.Millisecond)
				}
				if !j.accepted.IsZero() && rnd.IntN(8) == 0 {
					time.Sleep(time.Duration(rnd.IntN(1500)) * time.Millisecond)
					mu.Lock()
					j.cancelled = time.Now()
					mu.Unlock()
					e := rnd.IntN(4)
					status, _ := r.entries[e].call(client, http.MethodDelete, host, prefix+j.id, apiKey, nil)
					r.event("cancel", "entry", e, "job", j.id, "status", status)
					if status == 200 || status == 410 {
						mu.Lock()
						j.cancelOK = time.Now()
						mu.Unlock()
					}
				}
			}
		}()
	}
	r.injectSoak(st, rnd, kinds, stop.Add(-3*time.Second))
	wg.Wait()
	r.event("faults-ended")
	st.mu.Lock()
	st.late, st.lost, st.cut, st.store = 0, 0, map[string]string{}, map[int]string{}
	st.mu.Unlock()
	end := time.Now().Add(35 * time.Second)
	open := -1
	for time.Now().Before(end) && open != 0 {
		time.Sleep(500 * time.Millisecond)
		open = 0
		for _, j := range jobs {
			if j.accepted.IsZero() || j.state == "completed" {
				continue
			}
			status, v := r.entries[rnd.IntN(4)].call(client, http.MethodGet, host, prefix+j.id, apiKey, nil)
			state, _ := v["state"].(string)
			switch {
			case status == 410:
				violation("LOST: %s answered 410", j.id)
				j.state = "completed"
			case state == "failed", state == "canceled" && j.cancelled.IsZero():
				violation("LOST: %s shown as %s", j.id, state)
				j.state = "completed"
			case state == "completed", state == "canceled":
				j.state = "completed"
				if state == "completed" {
					r.checkDone(j, violation)
				}
			default:
				open++
			}
		}
	}
	if open > 0 {
		for _, j := range jobs {
			if !j.accepted.IsZero() && j.state == "" {
				violation("LOST: %s has not ended", j.id)
			}
		}
	}
	for _, line := range r.twice() {
		violation("TWICE: %s", line)
	}
	r.mu.Lock()
	runs := append([]*runRow(nil), r.runs...)
	r.mu.Unlock()
	firstDone := map[string]time.Time{}
	for _, row := range runs {
		if row.how == "done" {
			if t, ok := firstDone[row.task]; !ok || row.end.Before(t) {
				firstDone[row.task] = row.end
			}
		}
	}
	for _, row := range runs {
		j := jobs[row.task[:16]]
		if j == nil {
			violation("UNASKED: %s", row.task)
			continue
		}
		if j.rejectedOnly {
			violation("REFUSED: %s", row.task)
		}
		if !j.cancelOK.IsZero() && row.start.Sub(j.cancelOK) > 6*time.Second {
			violation("UNASKED?: %s started %s after its cancel", row.task, row.start.Sub(j.cancelOK))
		}
		if strings.HasPrefix(row.task[16:], ".0.1.") {
			for i := range j.tasks {
				if t, ok := firstDone[fmt.Sprintf("%s.0.0.%d", j.id, i)]; !ok || t.After(row.start) {
					violation("ORDER: %s", row.task)
				}
			}
		}
	}
	fmt.Println("seed", seed, "jobs", len(jobs), "runs", len(runs), "violations", len(bad))
	for i, line := range bad {
		if i < 8 {
			fmt.Println("  ", line)
		}
	}
	if len(bad) > 0 {
		return broken
	}
	return held
}

// checkDone checks that all subtasks of a completed job have ended as done.
func (r *rig) checkDone(j *soakJob, violation func(format string, args ...any)) {
	r.mu.Lock()
	done := map[string]bool{}
	for _, row := range r.runs {
		if strings.HasPrefix(row.task, j.id) && row.how == "done" {
			done[row.task] = true
		}
	}
	r.mu.Unlock()
	if len(done) != j.tasks+1 {
		violation("MIXED: %s is completed with %d of %d subtasks done", j.id, len(done), j.tasks+1)
	}
}

func (r *rig) injectSoak(st *soakState, rnd *rand.Rand, kinds string, stop time.Time) {
	all := strings.Fields(strings.ReplaceAll(kinds, ",", " "))
	var usable []string
	for _, k := range all {
		if k != "stray" {
			usable = append(usable, k)
		}
	}
	if len(usable) == 0 {
		usable = []string{"crash", "restart", "cut", "one-way", "reborn", "late", "kill", "stop", "term", "store", "lost", "late-append"}
	}
	ms := func(a, b int) time.Duration { return time.Duration(a+rnd.IntN(b-a)) * time.Millisecond }
	var wg sync.WaitGroup
	busyMinion, busyEntry := map[string]bool{}, map[int]bool{}
	var mu sync.Mutex
	for time.Now().Before(stop) {
		time.Sleep(ms(100, 1200))
		kind := usable[rnd.IntN(len(usable))]
		m := r.minions[rnd.IntN(len(r.minions))]
		e := r.entries[rnd.IntN(len(r.entries))]
		if rnd.IntN(2) == 0 {
			for _, c := range r.entries {
				if c.leads() {
					e = c
				}
			}
		}
		d, d2 := ms(300, 5500), ms(0, 2500)
		how := []string{"busy", "many", "reset", "silent", "slow"}[rnd.IntN(5)]
		share := 0.05 + 0.3*rnd.Float64()
		mu.Lock()
		onMinion := strings.Contains("crash restart cut one-way reborn", kind)
		onEntry := strings.Contains("kill stop term store", kind)
		if onMinion && busyMinion[m.id] || onEntry && busyEntry[e.n] {
			mu.Unlock()
			continue
		}
		busyMinion[m.id], busyEntry[e.n] = busyMinion[m.id] || onMinion, busyEntry[e.n] || onEntry
		mu.Unlock()
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer func() {
				mu.Lock()
				defer mu.Unlock()
				if onMinion {
					delete(busyMinion, m.id)
				}
				if onEntry {
					delete(busyEntry, e.n)
				}
			}()
			r.event("fault", "kind", kind, "minion", m.id, "entry", e.n, "for", d, "how", how)
			setCut := func(how string) {
				st.mu.Lock()
				defer st.mu.Unlock()
				st.cut[m.id] = how
			}
			reborn := func(down time.Duration) {
				if down > 500*time.Millisecond {
					r.vms.set(m.machine, "down")
				}
				m.crash()
				time.Sleep(down)
				m.base = time.Duration(rand.Int64N(int64(3 * time.Hour)))
				r.vms.set(m.machine, "")
				must(m.start())
			}
			switch kind {
			case "crash":
				reborn(d)
			case "restart":
				reborn(time.Duration(d2) / 10)
			case "cut", "one-way":
				setCut(map[string]string{"cut": "all", "one-way": "one-way"}[kind])
				time.Sleep(d)
				setCut("")
			case "reborn":
				setCut("all")
				time.Sleep(d2)
				reborn(200 * time.Millisecond)
				time.Sleep(d)
				setCut("")
			case "late":
				st.mu.Lock()
				st.late = share
				st.mu.Unlock()
				time.Sleep(d)
				st.mu.Lock()
				st.late = 0
				st.mu.Unlock()
			case "kill":
				e.kill()
				time.Sleep(d2 / 3)
				e.start()
			case "stop":
				e.signal(syscall.SIGSTOP)
				time.Sleep(d)
				e.signal(syscall.SIGCONT)
			case "term":
				e.signal(syscall.SIGTERM)
				select {
				case <-e.exited:
				case <-time.After(6 * time.Second):
					e.kill()
				}
				e.start()
			case "store":
				st.mu.Lock()
				st.store[e.n] = how
				st.mu.Unlock()
				time.Sleep(d)
				st.mu.Lock()
				delete(st.store, e.n)
				st.mu.Unlock()
			case "lost", "late-append":
				st.mu.Lock()
				st.lost, st.lateApp = share, kind == "late-append"
				st.mu.Unlock()
				time.Sleep(d)
				st.mu.Lock()
				st.lost = 0
				st.mu.Unlock()
			}
		}()
	}
	wg.Wait()
}
