//go:build review

package rig3

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// fleet is the minions, the machines that they run on, and what ran there.
type fleet struct {
	mu      sync.Mutex
	log     *recorder
	store   *store
	minions []*minion
	runs    []*runEntry
}

// runEntry is an attempt that a minion has begun.
type runEntry struct {
	task       string
	attempt    int
	minion     string
	life       int
	start, end time.Time
	how        string
}

// stepSpec is what the subtasks of a step do. A job's spec has one for each step, as JSON.
type stepSpec struct {
	RunMS int `json:"run"`
	CPU   int `json:"cpu"`
}

type activeRun struct {
	entry *runEntry
	spec  stepSpec
	ended bool
	stop  bool
	timer *time.Timer
}

// minion is a machine of the platform and the minion on it. Its lock is that of the fleet.
type minion struct {
	f             *fleet
	machine, pool string
	id            string
	labels        []string
	cpu, mem      int
	life          int
	up            bool
	address       string
	server        *http.Server
	born          time.Time
	clockBase     int64
	fence         int64
	leaseEnd      int64
	barred        map[string]int
	runs          map[string]*activeRun
	ended         []endRow
	endCount      int64
	changed       chan struct{}
	lapse         *time.Timer
	// cut minions get no calls. They reach the store.
	cut bool
	// upkeep is set while the machine is down for its upkeep, kept has the waves that it had one
	// for, and orderFence the highest fence number of orders of the machine.
	upkeep     bool
	kept       map[int64]bool
	orderFence int64
	// delays, if set, says how late a start is carried out, by whichever life is there then. Such a
	// start gets no answer. 0 means at once.
	delays func(m *minion, task string) time.Duration
}

type endRow struct {
	n     int64
	entry *runEntry
}

type order struct {
	Task    string `json:"task"`
	Attempt int    `json:"attempt"`
	Spec    string `json:"spec"`
	Expires int64  `json:"expires_at_ms"`
	Token   int64  `json:"fencing_token"`
	Ack     int64  `json:"ack_cursor"`
	WaitMS  int64  `json:"wait_ms"`
}

const (
	holdMaxMS = 10000
	stopTakes = 30 * time.Millisecond
	checkIn   = 1500 * time.Millisecond
)

// add puts a machine into the fleet and starts its minion.
func (f *fleet) add(machine, pool, rack string, cpu, mem int, labels ...string) *minion {
	m := &minion{f: f, machine: machine, pool: pool, cpu: cpu, mem: mem, labels: append(labels, rack), id: "i-" + machine}
	f.mu.Lock()
	f.minions = append(f.minions, m)
	f.mu.Unlock()
	m.begin()
	go m.checkIns()
	return m
}

// begin starts a life of the minion, at the same address.
func (m *minion) begin() {
	listen := m.address
	if listen == "" {
		listen = "127.0.0.1:0"
	}
	var l net.Listener
	var err error
	for range 200 {
		if l, err = net.Listen("tcp", listen); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err != nil {
		panic(err)
	}
	m.f.mu.Lock()
	m.address = l.Addr().String()
	m.life++
	m.up, m.born = true, time.Now()
	m.clockBase = int64(1000 * (m.life%7 + 1))
	m.fence, m.leaseEnd, m.ended, m.endCount = 0, 0, nil, 0
	m.barred, m.runs = map[string]int{}, map[string]*activeRun{}
	m.changed = make(chan struct{})
	life := m.life
	m.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { m.serve(w, r, life) })}
	m.f.mu.Unlock()
	go func() { _ = m.server.Serve(l) }()
	m.checkIn()
}

// crash ends the minion's life: what runs there ends, and nothing of it is known any more.
func (m *minion) crash() {
	m.f.mu.Lock()
	m.up = false
	now := time.Now()
	n := 0
	for _, r := range m.runs {
		if !r.ended {
			r.ended, r.entry.end, r.entry.how = true, now, "crash"
			n++
		}
	}
	m.runs = map[string]*activeRun{}
	if m.lapse != nil {
		m.lapse.Stop()
	}
	server := m.server
	m.f.mu.Unlock()
	_ = server.Close()
	m.f.log.say("minion %s crashes, %d runs end with it", m.id, n)
}

func (m *minion) checkIns() {
	for {
		time.Sleep(checkIn)
		m.f.mu.Lock()
		ok := m.up
		m.f.mu.Unlock()
		if ok {
			m.checkIn()
		}
	}
}

func (m *minion) checkIn() {
	m.f.mu.Lock()
	v := map[string]any{
		"backend": m.pool, "address": m.address, "zone": "z-a", "version": "v1", "slots": 8, "state": "ready", "warmup_left_ms": 0,
		"capacity": map[string]int{"cpu": m.cpu, "mem_mb": m.mem, "gpus": 0}, "labels": m.labels, "clock_ms": m.clock(),
		"born": m.born.UnixMilli(), "machine": m.machine,
	}
	id := m.id
	m.f.mu.Unlock()
	m.f.store.put("keyed.servers", id, v)
}

// clock is the minion's own clock. The caller holds mu.
func (m *minion) clock() int64 {
	return m.clockBase + time.Since(m.born).Milliseconds()
}

func (m *minion) serve(w http.ResponseWriter, r *http.Request, life int) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var o order
	if err := json.Unmarshal(body, &o); err != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	m.f.mu.Lock()
	cut := m.cut
	m.f.mu.Unlock()
	if cut {
		<-r.Context().Done()
		return
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != m.id {
		reply(w, http.StatusMisdirectedRequest, map[string]any{"clock_ms": 0})
		return
	}
	if d := m.delayOf(r.URL.Path, o); d > 0 {
		m.f.log.say("minion %s leaves the start of %s %d unanswered", m.id, o.Task, o.Attempt)
		time.AfterFunc(d, func() { m.applyLate(o) })
		<-r.Context().Done()
		return
	}
	status, answer := m.apply(r, r.URL.Path, o, life)
	if status == 0 {
		m.f.mu.Lock()
		cut = m.cut
		m.f.mu.Unlock()
		if cut {
			<-r.Context().Done()
		}
		panic(http.ErrAbortHandler)
	}
	reply(w, status, answer)
}

func (m *minion) delayOf(path string, o order) time.Duration {
	if m.delays == nil || path != "/run-start" {
		return 0
	}
	return m.delays(m, o.Task)
}

// applyLate carries out a start that got no answer.
func (m *minion) applyLate(o order) {
	m.f.mu.Lock()
	life := m.life
	m.f.mu.Unlock()
	status, answer := m.apply(nil, "/run-start", o, life)
	m.f.log.say("minion %s carries out the start of %s %d late, in life %d: %d %v", m.id, o.Task, o.Attempt, life, status, answer["reason"])
}

func (m *minion) apply(r *http.Request, path string, o order, life int) (int, map[string]any) {
	m.f.mu.Lock()
	defer m.f.mu.Unlock()
	if !m.up || m.life != life {
		return 0, nil
	}
	answer := map[string]any{"clock_ms": m.clock()}
	refused := func(reason string) (int, map[string]any) {
		answer["reason"] = reason
		return http.StatusConflict, answer
	}
	if o.Token < m.fence {
		return refused("fence")
	}
	m.fence = o.Token
	switch path {
	case "/hold":
		return m.hold(r, o, life)
	case "/run-start":
		if reason := m.start(o); reason != "" {
			return refused(reason)
		}
		return http.StatusOK, answer
	case "/run-stop":
		key := o.Task + "#" + strconv.Itoa(o.Attempt)
		m.barred[o.Task] = max(m.barred[o.Task], o.Attempt)
		if a := m.runs[key]; a != nil && !a.ended && !a.stop {
			a.stop = true
			time.AfterFunc(stopTakes, func() { m.f.locked(func() { m.end(key, life, "stopped") }) })
		}
		return http.StatusOK, answer
	case "/pace":
		return http.StatusOK, answer
	}
	return http.StatusNotFound, answer
}

func (f *fleet) locked(fn func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fn()
}

// extend takes the end of a lease. The caller holds mu.
func (m *minion) extend(expires int64) {
	expires = min(expires, m.clock()+holdMaxMS)
	if expires <= m.leaseEnd {
		return
	}
	m.leaseEnd = expires
	if m.lapse != nil {
		m.lapse.Stop()
	}
	life := m.life
	m.lapse = time.AfterFunc(time.Duration(expires-m.clock())*time.Millisecond, func() {
		m.f.locked(func() {
			if m.life != life || !m.up || m.clock() < m.leaseEnd {
				return
			}
			for k := range m.runs {
				m.end(k, life, "lapsed")
			}
		})
	})
}

// start begins a run, or returns why not. The caller holds mu.
func (m *minion) start(o order) string {
	if o.Expires > 0 && o.Expires <= m.clock() {
		return "late"
	}
	m.extend(o.Expires)
	key := o.Task + "#" + strconv.Itoa(o.Attempt)
	if a := m.runs[key]; a != nil && !a.ended {
		return ""
	}
	if o.Attempt <= m.barred[o.Task] {
		return "old"
	}
	spec := specOf(o.Spec, o.Task)
	used := spec.CPU
	for _, a := range m.runs {
		if !a.ended {
			used += a.spec.CPU
		}
	}
	if used > m.cpu {
		return "room"
	}
	e := &runEntry{task: o.Task, attempt: o.Attempt, minion: m.id, life: m.life, start: time.Now()}
	m.f.runs = append(m.f.runs, e)
	m.f.log.say("run %s %d begins on %s, life %d", o.Task, o.Attempt, m.id, m.life)
	a := &activeRun{entry: e, spec: spec}
	m.runs[key] = a
	life := m.life
	a.timer = time.AfterFunc(time.Duration(spec.RunMS)*time.Millisecond, func() { m.f.locked(func() { m.end(key, life, "done") }) })
	return ""
}

// end ends a run of a life. The caller holds mu.
func (m *minion) end(key string, life int, how string) {
	a := m.runs[key]
	if a == nil || a.ended || m.life != life || !m.up {
		return
	}
	a.ended = true
	a.timer.Stop()
	delete(m.runs, key)
	a.entry.end, a.entry.how = time.Now(), how
	m.barred[a.entry.task] = max(m.barred[a.entry.task], a.entry.attempt)
	m.endCount++
	m.ended = append(m.ended, endRow{n: m.endCount, entry: a.entry})
	m.f.log.say("run %s %d on %s ends %s", a.entry.task, a.entry.attempt, m.id, how)
	close(m.changed)
	m.changed = make(chan struct{})
}

// hold answers a call for the lists. The caller holds mu.
func (m *minion) hold(r *http.Request, o order, life int) (int, map[string]any) {
	m.extend(o.Expires)
	for len(m.ended) > 0 && m.ended[0].n <= o.Ack {
		m.ended = m.ended[1:]
	}
	deadline := time.After(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond)
	for waiting := o.WaitMS > 0; waiting && len(m.ended) == 0 && r != nil; {
		changed := m.changed
		m.f.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		m.f.mu.Lock()
		if !m.up || m.life != life || m.cut || r.Context().Err() != nil {
			return 0, nil
		}
	}
	running, ended := [][]any{}, [][]any{}
	for _, a := range m.runs {
		if !a.ended {
			running = append(running, []any{a.entry.task, a.entry.attempt, "", a.percent(), a.spec.CPU})
		}
	}
	for _, e := range m.ended[:min(len(m.ended), 500)] {
		ended = append(ended, []any{e.n, e.entry.task, e.entry.attempt, e.entry.how, ""})
	}
	return http.StatusOK, map[string]any{"clock_ms": m.clock(), "born": m.born.UnixMilli(), "running": running, "ended_runs": ended}
}

func (a *activeRun) percent() int {
	return int(min(99, 100*time.Since(a.entry.start).Milliseconds()/int64(max(a.spec.RunMS, 1))))
}

// specOf returns what a subtask does.
func specOf(spec, task string) stepSpec {
	var steps []stepSpec
	_ = json.Unmarshal([]byte(spec), &steps)
	parts := strings.Split(task, ".")
	n, _ := strconv.Atoi(parts[2])
	if n >= len(steps) {
		return stepSpec{}
	}
	return steps[n]
}

// serveCloud is the platform's list of machines.
func (f *fleet) serveCloud(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.URL.Path == "/machines" {
		rows := []any{}
		for _, m := range f.minions {
			state := "up"
			switch {
			case m.upkeep:
				state = "upkeep"
			case !m.up:
				state = "down"
			}
			rows = append(rows, map[string]any{
				"machine": m.machine, "pool": m.pool, "state": state, "zone": "z-a", "labels": m.labels,
				"capacity": map[string]int{"cpu": m.cpu, "mem_mb": m.mem, "gpus": 0}, "id": m.id,
			})
		}
		reply(w, http.StatusOK, map[string]any{"machines": rows, "next_token": nil})
		return
	}
	var o struct {
		Machine, Pool string
		Wave          int64
	}
	token, _ := strconv.ParseInt(r.Header.Get("Fencing-Token"), 10, 64)
	_ = json.NewDecoder(r.Body).Decode(&o)
	status, reason := f.orderMachine(r.URL.Path, o.Machine, token, o.Wave)
	f.log.say("%s %s by %s with %d: %d %s", r.URL.Path, o.Machine, r.Header.Get("Duty-Holder"), token, status, reason)
	reply(w, status, map[string]any{"reason": reason})
}

// orderMachine carries out an upkeep. There is one pool, so nothing is moved. The caller holds mu.
func (f *fleet) orderMachine(path, machine string, token, wave int64) (status int, reason string) {
	for _, m := range f.minions {
		switch {
		case m.machine != machine:
			continue
		case path != "/machine-upkeep":
			return http.StatusBadRequest, ""
		case token < m.orderFence:
			return http.StatusConflict, "fence"
		case !m.up:
			return http.StatusConflict, "busy"
		}
		m.orderFence = token
		if !m.inWave(wave) {
			return http.StatusConflict, "wave"
		}
		if m.kept[wave] {
			return http.StatusOK, ""
		}
		if m.kept == nil {
			m.kept = map[int64]bool{}
		}
		m.kept[wave], m.upkeep = true, true
		go m.maintain()
		return http.StatusOK, ""
	}
	return http.StatusBadRequest, ""
}

// inWave reports whether the operator's newest record of a wave names the machine.
func (m *minion) inWave(wave int64) bool {
	var w struct{ Machines []string }
	_ = json.Unmarshal(m.f.store.value("keyed.op", "wave/"+strconv.FormatInt(wave, 10)), &w)
	return slices.Contains(w.Machines, m.machine)
}

// maintain takes the machine down for its upkeep, after which another minion joins.
func (m *minion) maintain() {
	m.crash()
	m.f.store.put("keyed.servers", m.id, nil)
	time.Sleep(2 * time.Second)
	m.f.locked(func() { m.id, m.upkeep = m.id+"x", false })
	m.begin()
}

// runsOf returns the runs of a job so far.
func (f *fleet) runsOf(job string) []runEntry {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []runEntry
	for _, e := range f.runs {
		if strings.HasPrefix(e.task, job+".") {
			all = append(all, *e)
		}
	}
	return all
}
