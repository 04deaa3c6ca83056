//go:build review

package rig2

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// resources is an amount of processor time, memory and GPUs.
type resources struct {
	CPU   int64 `json:"cpu,omitempty"`
	MemMB int64 `json:"mem_mb,omitempty"`
	GPUs  int64 `json:"gpus,omitempty"`
}

// minion is a minion that accepts orders by calls. One that starts again keeps its id and its
// address and knows nothing of before.
type minion struct {
	rig      *rig
	id       string
	machine  string
	pool     string
	labels   []string
	capacity resources
	address  string
	// maxLease is hold_max_ms, stopGrace is how long a stop takes.
	maxLease, stopGrace time.Duration
	// age is how long ago the first life began.
	age time.Duration
	// takesStrayOrders says that a life carries out late orders that an earlier one has received.
	takesStrayOrders bool
	// onOrder, if set, decides what becomes of an order before it is carried out.
	onOrder func(m *minion, o order) callFault

	mu       sync.Mutex
	listener net.Listener
	server   *http.Server
	alive    bool
	draining bool
	born     time.Time
	// base is what the minion's clock shows as its life begins, slow by which part it is slow.
	base    time.Duration
	slow    float64
	life    int
	token   int64
	until   time.Duration
	running map[string]*attempt
	barred  map[string]int
	ended   [][]any
	seq     int64
	changed chan struct{}
}

// attempt is a run of a subtask.
type attempt struct {
	task     string
	n        int
	begun    time.Time
	takes    time.Duration
	lasts    bool
	fails    bool
	stopAt   time.Time
	need     int64
	finished bool
}

// order is a call to a minion.
type order struct {
	Path         string `json:"-"`
	Task         string `json:"task"`
	Attempt      int    `json:"attempt"`
	Spec         string `json:"spec"`
	ExpiresAtMS  int64  `json:"expires_at_ms"`
	FencingToken int64  `json:"fencing_token"`
	AckCursor    int64  `json:"ack_cursor"`
	WaitMS       int64  `json:"wait_ms"`
	Percent      int    `json:"percent"`
	Ticket       string `json:"ticket"`
}

// start begins a life of the minion, at the address of the life before.
func (m *minion) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	at := m.address
	if at == "" {
		at = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", at)
	if err != nil {
		return err
	}
	m.address, m.listener = l.Addr().String(), l
	m.alive, m.draining, m.born, m.token, m.until, m.seq = true, false, time.Now(), 0, 0, 0
	if m.life == 0 {
		m.born = m.born.Add(-m.age)
	}
	m.life++
	m.running, m.barred, m.ended, m.changed = map[string]*attempt{}, map[string]int{}, nil, make(chan struct{})
	m.server = &http.Server{Handler: http.HandlerFunc(m.serve)}
	go func(s *http.Server) { _ = s.Serve(l) }(m.server)
	m.register()
	m.rig.event("minion-up", "minion", m.id, "born", m.born.UnixMilli())
	return nil
}

// register writes the minion's entry. The caller holds mu.
func (m *minion) register() {
	state := "ready"
	if m.draining {
		state = "draining"
	}
	m.rig.store.put("keyed.servers", m.id, map[string]any{
		"backend": m.pool, "address": m.address, "zone": "a", "version": "1", "slots": 8, "state": state, "warmup_left_ms": 0, "seq": m.seq,
		"capacity": m.capacity, "labels": m.labels, "machine": m.machine, "born": m.born.UnixMilli(),
	})
}

// crash ends the minion without a word.
func (m *minion) crash() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.alive {
		return
	}
	m.alive = false
	_ = m.server.Close()
	for _, a := range m.running {
		m.rig.ranUntil(a.task, a.n, m.id, time.Now(), "gone")
	}
	m.running = nil
	m.rig.event("minion-crash", "minion", m.id)
	close(m.changed)
}

// clock is the minion's own clock.
func (m *minion) clock() time.Duration {
	return m.base + time.Duration(float64(time.Since(m.born))*(1-m.slow))
}

// lapsedAt is when the lease ends.
func (m *minion) lapsedAt() time.Time {
	return m.born.Add(time.Duration(float64(m.until-m.base) / (1 - m.slow)))
}

func parseSpec(spec string) map[string]string {
	all := map[string]string{}
	for _, f := range strings.Fields(spec) {
		name, value, _ := strings.Cut(f, "=")
		all[name] = value
	}
	return all
}

// advance ends what has ended by now. The caller holds mu.
func (m *minion) advance() {
	now, clock := time.Now(), m.clock()
	lapsed := m.until > 0 && clock > m.until
	var keys []string
	for k := range m.running {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	for _, k := range keys {
		a := m.running[k]
		end := a.begun.Add(a.takes)
		switch {
		case !a.stopAt.IsZero() && !now.Before(a.stopAt):
			m.end(k, "stopped", a.stopAt)
		case !a.lasts && !now.Before(end) && (!lapsed || end.Before(m.lapsedAt())):
			how := "done"
			if a.fails {
				how = "failed"
			}
			m.end(k, how, end)
		case lapsed:
			m.end(k, "lapsed", m.lapsedAt())
		}
	}
	if lapsed {
		m.rig.lapse(m.id)
	}
}

// end ends an attempt. The caller holds mu.
func (m *minion) end(key, how string, at time.Time) {
	a := m.running[key]
	delete(m.running, key)
	m.barred[a.task] = max(m.barred[a.task], a.n)
	m.seq++
	m.ended = append(m.ended, []any{m.seq, a.task, a.n, how, ""})
	m.rig.ranUntil(a.task, a.n, m.id, at, how)
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *minion) used() int64 {
	var sum int64
	for _, a := range m.running {
		sum += a.need
	}
	return sum
}

func (m *minion) serve(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var o order
	if json.Unmarshal(b, &o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	o.Path = r.URL.Path
	if id := r.Header.Get("Expect-Instance"); id != "" && id != m.id {
		reply(w, http.StatusMisdirectedRequest, map[string]any{"clock_ms": 0})
		return
	}
	var f callFault
	if m.onOrder != nil {
		f = m.onOrder(m, o)
	}
	switch {
	case f.drop:
		panic(http.ErrAbortHandler)
	case f.status != 0:
		reply(w, f.status, map[string]any{})
		return
	case f.lose:
		if f.delay > 0 {
			m.mu.Lock()
			life := m.life
			m.mu.Unlock()
			time.AfterFunc(f.delay, func() {
				m.mu.Lock()
				other := m.life != life
				m.mu.Unlock()
				if other && !m.takesStrayOrders {
					return
				}
				status, reason := m.carryOut(o)
				m.rig.event("late-order", "minion", m.id, "path", o.Path, "task", o.Task, "attempt", o.Attempt, "token", o.FencingToken, "status", status, "reason", reason)
			})
		} else {
			m.carryOut(o)
		}
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if o.Path == "/hold" {
		m.hold(w, r, o)
		return
	}
	status, reason := m.carryOut(o)
	m.mu.Lock()
	clock := m.clock()
	m.mu.Unlock()
	body := map[string]any{"clock_ms": clock.Milliseconds()}
	if reason != "" {
		body["reason"] = reason
	}
	reply(w, status, body)
}

// carryOut carries out an order to whichever life of the minion is there.
func (m *minion) carryOut(o order) (status int, reason string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.alive {
		return 0, "down"
	}
	m.advance()
	if o.FencingToken < m.token {
		return http.StatusConflict, "fence"
	}
	m.token = o.FencingToken
	switch o.Path {
	case "/run-start":
		return m.startRun(o)
	case "/run-stop":
		m.barred[o.Task] = max(m.barred[o.Task], o.Attempt)
		if a := m.running[key(o.Task, o.Attempt)]; a != nil && a.stopAt.IsZero() {
			a.stopAt = time.Now().Add(m.stopGrace)
		}
	}
	return http.StatusOK, ""
}

func key(task string, n int) string { return task + "/" + strconv.Itoa(n) }

// extend extends the lease. The caller holds mu.
func (m *minion) extend(ms int64) {
	until := min(time.Duration(ms)*time.Millisecond, m.clock()+m.maxLease)
	m.until = max(m.until, until)
}

func (m *minion) startRun(o order) (int, string) {
	if time.Duration(o.ExpiresAtMS)*time.Millisecond <= m.clock() {
		return http.StatusConflict, "late"
	}
	m.extend(o.ExpiresAtMS)
	k := key(o.Task, o.Attempt)
	if m.running[k] != nil {
		return http.StatusOK, ""
	}
	if o.Attempt <= m.barred[o.Task] {
		return http.StatusConflict, "old"
	}
	s := parseSpec(o.Spec)
	if _, ok := s["ticket"]; ok && !m.rig.advisor.valid(o.Ticket, o.Task, m.id) {
		return http.StatusConflict, "ticket"
	}
	need, _ := strconv.ParseInt(s["cpu"], 10, 64)
	if m.used()+need > m.capacity.CPU {
		return http.StatusConflict, "room"
	}
	a := &attempt{task: o.Task, n: o.Attempt, begun: time.Now(), need: need}
	a.takes, _ = time.ParseDuration(s["run"])
	_, a.lasts = s["lasts"]
	m.running[k] = a
	m.rig.started(o.Task, o.Attempt, m.id, a.begun)
	if !a.lasts {
		time.AfterFunc(a.takes, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			if m.alive {
				m.advance()
			}
		})
	}
	return http.StatusOK, ""
}

func (m *minion) hold(w http.ResponseWriter, r *http.Request, o order) {
	m.mu.Lock()
	if !m.alive {
		m.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	m.advance()
	if o.FencingToken < m.token {
		clock := m.clock()
		m.mu.Unlock()
		reply(w, http.StatusConflict, map[string]any{"clock_ms": clock.Milliseconds(), "reason": "fence"})
		return
	}
	m.token = o.FencingToken
	if o.ExpiresAtMS > 0 {
		m.extend(o.ExpiresAtMS)
	}
	for len(m.ended) > 0 && m.ended[0][0].(int64) <= o.AckCursor {
		m.rig.acked(m.ended[0][1].(string), m.ended[0][2].(int), m.id)
		m.ended = m.ended[1:]
	}
	timeout := time.After(time.Duration(o.WaitMS) * time.Millisecond)
	born := m.born
	for waiting := o.WaitMS > 0; len(m.ended) == 0 && waiting; {
		changed := m.changed
		m.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-time.After(20 * time.Millisecond):
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
		m.mu.Lock()
		if !m.alive || m.born != born {
			m.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		m.advance()
	}
	running := [][]any{}
	for _, a := range m.running {
		percent := 100
		if !a.lasts && a.takes > 0 {
			percent = int(min(99, 100*time.Since(a.begun)/a.takes))
		}
		running = append(running, []any{a.task, a.n, "", percent, a.need})
	}
	ended := m.ended
	if len(ended) > 500 {
		ended = ended[:500]
	}
	if ended == nil {
		ended = [][]any{}
	}
	body := map[string]any{"clock_ms": m.clock().Milliseconds(), "born": m.born.UnixMilli(), "running": running, "ended_runs": ended}
	b, _ := json.Marshal(body)
	m.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", fmt.Sprint(len(b)))
	_, _ = w.Write(b)
}
