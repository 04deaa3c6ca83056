//go:build review

package rig

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// minion is a life of a machine, or several that have the same id.
type minion struct {
	rig               *rig
	id, machine, pool string
	address           string

	mu   sync.Mutex
	born time.Time
	// label is the kind of the minion.
	label string
	// down minions have ended, gone ones don't start again. hidden ones have ended behind a
	// cut, so that nobody can see it. Calls to minions that are cut off get no answer.
	down, gone, hidden, cutOff bool
	// token is the highest fence number seen, until the end of the lease on the minion's clock.
	token int64
	until time.Duration
	// lapses has when the lease has lapsed, lapsed says that it has now.
	lapses  []time.Time
	lapsed  bool
	running map[string]*taskRun
	// barred has the highest run of each subtask that was stopped or has ended.
	barred map[string]int
	// ended has the ends that aren't acknowledged, ends is the number of the latest one.
	ended []runEnd
	ends  int64
	// used is the capacity in use, in thousandths of a core.
	used int64
	// changed is closed and replaced when a run ends.
	changed chan struct{}
}

// runEnd is an end that a minion lists.
type runEnd struct {
	number int64
	run    *taskRun
	saved  string
}

// minionCPU is the capacity of a minion, in thousandths of a core.
const minionCPU = 32000

// addMachine adds a machine with its first minion.
func (r *rig) addMachine(pool string) *machine {
	r.mu.Lock()
	m := &machine{name: fmt.Sprintf("box%02d", len(r.machines)+1), pool: pool, waves: map[int64]bool{}}
	r.machines = append(r.machines, m)
	r.mu.Unlock()
	r.join(m)
	return m
}

// join begins a life of a machine.
func (r *rig) join(on *machine) *minion {
	r.mu.Lock()
	r.lives++
	m := &minion{rig: r, id: fmt.Sprintf("m%04d", r.lives), machine: on.name, pool: on.pool, label: "a", changed: make(chan struct{})}
	r.minions[m.id] = m
	r.mu.Unlock()
	m.address = r.serve(m.handle)
	m.begin()
	r.mu.Lock()
	on.m, on.state = m, "up"
	r.mu.Unlock()
	m.register()
	go func() {
		for range time.Tick(2 * time.Millisecond) {
			m.mu.Lock()
			gone := m.gone
			if !m.down {
				m.advance()
			}
			m.mu.Unlock()
			if gone {
				return
			}
		}
	}()
	return m
}

// begin begins a life. It knows nothing of an earlier one.
func (m *minion) begin() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.born, m.token, m.until, m.ends, m.used, m.ended = time.Now(), 0, 0, 0, 0, nil
	m.running, m.barred, m.down, m.lapsed = map[string]*taskRun{}, map[string]int{}, false, false
}

// rebirth ends the life of a minion that is cut off. It starts again under its id, and the
// cut heals.
func (m *minion) rebirth(label string) {
	m.mu.Lock()
	m.hidden = true
	m.die("gone")
	m.label = label
	m.mu.Unlock()
	m.begin()
	m.cut(false)
	m.rig.note("%s on %s has ended behind the cut and is back under its id, kind %s", m.id, m.machine, label)
	// The minion registers within a check-in interval.
	time.AfterFunc(500*time.Millisecond, m.register)
}

// leave ends the life of a minion for good.
func (m *minion) leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.die("gone")
	m.gone = true
}

// die ends what runs, and the life. The caller holds mu.
func (m *minion) die(how string) {
	now := time.Now()
	for _, t := range m.running {
		m.rig.endRun(t, how, now)
	}
	m.running, m.down = map[string]*taskRun{}, true
	close(m.changed)
	m.changed = make(chan struct{})
}

// acknowledge notes that ack_cursor has reached an end.
func (r *rig) acknowledge(t *taskRun, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t.acked = now
}

// endRun notes the end of a run.
func (r *rig) endRun(t *taskRun, how string, now time.Time) {
	r.mu.Lock()
	t.end, t.how = now, how
	r.mu.Unlock()
	r.note("%s: %s, attempt %d, ends %s", t.minion, t.task, t.attempt, how)
}

// crashMachine takes a machine down for a time. It comes back as another minion.
func (r *rig) crashMachine(on *machine, away time.Duration) {
	r.mu.Lock()
	m := on.m
	on.state, on.m = "down", nil
	r.mu.Unlock()
	m.leave()
	r.note("%s crashes, and with it %s", on.name, m.id)
	// The entry of a silent minion is removed after three check-in intervals.
	time.AfterFunc(4500*time.Millisecond, func() { r.store.put("keyed.servers", m.id, nil) })
	time.AfterFunc(away, func() {
		n := r.join(on)
		r.note("%s is back as %s", on.name, n.id)
	})
}

// register writes the minion's entry to the store.
func (m *minion) register() {
	m.mu.Lock()
	defer m.mu.Unlock()
	b, _ := json.Marshal(map[string]any{
		"backend": m.pool, "address": m.address, "zone": "a", "version": "1", "slots": 8, "state": "ready", "seq": 1, "labels": []string{m.label, "r1"},
		"capacity": map[string]int64{"cpu": minionCPU, "mem_mb": 65536, "gpus": 0}, "born": m.born.UnixMilli(), "machine": m.machine,
	})
	m.rig.store.put("keyed.servers", m.id, b)
}

// clock is the minion's own clock.
func (m *minion) clock() time.Duration { return time.Since(m.born) }

// advance ends what has ended. The caller holds mu.
func (m *minion) advance() {
	now := time.Now()
	lapsed := m.until > 0 && m.clock() > m.until
	if lapsed && !m.lapsed {
		m.lapses = append(m.lapses, now)
	}
	m.lapsed = lapsed
	for _, t := range m.running {
		switch {
		case t.stop:
			m.end(t, "stopped", now)
		case !t.lasting && t.gang == 0 && t.worked(now) >= t.takes:
			m.end(t, "done", now)
		case lapsed:
			m.end(t, "lapsed", now)
		}
	}
}

// end ends a run and lists the end. The caller holds mu.
func (m *minion) end(t *taskRun, how string, now time.Time) {
	delete(m.running, t.task)
	m.barred[t.task] = max(m.barred[t.task], t.attempt)
	m.used -= t.cpu
	m.ends++
	m.ended = append(m.ended, runEnd{number: m.ends, run: t, saved: t.saved(now)})
	m.rig.endRun(t, how, now)
	close(m.changed)
	m.changed = make(chan struct{})
}

// handle is the HTTP handler of the minion.
func (m *minion) handle(w http.ResponseWriter, q *http.Request) {
	var o struct {
		Task       string `json:"task"`
		Attempt    int    `json:"attempt"`
		Spec       string `json:"spec"`
		Expires    int64  `json:"expires_at_ms"`
		Token      int64  `json:"fencing_token"`
		Cursor     int64  `json:"ack_cursor"`
		WaitMS     int64  `json:"wait_ms"`
		Checkpoint string `json:"checkpoint"`
	}
	if json.NewDecoder(q.Body).Decode(&o) != nil {
		respond(w, http.StatusBadRequest, map[string]any{"clock_ms": m.clock().Milliseconds()})
		return
	}
	if h := q.Header.Get("Expect-Instance"); h != "" && h != m.id {
		respond(w, http.StatusMisdirectedRequest, map[string]any{"clock_ms": m.clock().Milliseconds()})
		return
	}
	m.mu.Lock()
	cutOff := m.cutOff
	m.mu.Unlock()
	if cutOff {
		<-q.Context().Done()
		abort()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		abort()
	}
	reason := m.enter(o.Token)
	if reason == "" {
		switch q.URL.Path {
		case "/run-start":
			reason = m.start(o.Task, o.Attempt, o.Spec, o.Checkpoint, time.Duration(o.Expires)*time.Millisecond)
		case "/run-stop":
			m.barred[o.Task] = max(m.barred[o.Task], o.Attempt)
			if t := m.running[o.Task]; t != nil && t.attempt <= o.Attempt {
				t.stop = true
			}
		case "/hold":
			m.hold(w, q, time.Duration(o.Expires)*time.Millisecond, o.Cursor, time.Duration(o.WaitMS)*time.Millisecond)
			return
		}
	}
	if reason != "" {
		respond(w, http.StatusConflict, map[string]any{"clock_ms": m.clock().Milliseconds(), "reason": reason})
		return
	}
	respond(w, http.StatusOK, map[string]any{"clock_ms": m.clock().Milliseconds()})
}

// enter does what each order begins with, and returns "fence" if it is refused for its token.
func (m *minion) enter(token int64) string {
	m.advance()
	if token < m.token {
		return "fence"
	}
	m.token = token
	return ""
}

// holdMax is hold_max_ms of the settings.
const holdMax = 6 * time.Second

// grant prolongs the lease, up to holdMax.
func (m *minion) grant(until time.Duration) {
	m.until = max(m.until, min(until, m.clock()+holdMax))
}

// cut cuts a minion off, or ends the cut.
func (m *minion) cut(off bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cutOff = off
	if off {
		m.rig.note("%s is cut off", m.id)
	}
}

// start begins a run and returns why not, or "". The caller holds mu.
func (m *minion) start(task string, attempt int, spec, checkpoint string, until time.Duration) string {
	if until <= m.clock() {
		return "late"
	}
	m.grant(until)
	if t := m.running[task]; t != nil && t.attempt == attempt {
		return ""
	}
	if attempt <= m.barred[task] {
		return "old"
	}
	t := &taskRun{task: task, attempt: attempt, minion: m.id, begun: time.Now(), label: m.label, checkpoint: checkpoint}
	for _, f := range strings.Fields(spec) {
		name, value, _ := strings.Cut(f, "=")
		n, _ := strconv.ParseInt(value, 10, 64)
		switch name {
		case "ms":
			t.takes = time.Duration(n) * time.Millisecond
		case "cpu":
			t.cpu = n
		case "lasting":
			t.lasting = true
		case "saves":
			t.saves = true
		case "gang":
			t.gang = int(n)
		}
	}
	if m.used+t.cpu > minionCPU {
		return "room"
	}
	m.used += t.cpu
	m.running[task] = t
	m.rig.mu.Lock()
	m.rig.runs = append(m.rig.runs, t)
	m.rig.mu.Unlock()
	m.rig.note("%s: %s, attempt %d, starts, checkpoint %q", m.id, task, attempt, checkpoint)
	return ""
}

// hold renews the lease and lists what runs and what has ended. The caller holds mu.
func (m *minion) hold(w http.ResponseWriter, q *http.Request, until time.Duration, cursor int64, wait time.Duration) {
	if until > 0 {
		m.grant(until)
	}
	for len(m.ended) > 0 && m.ended[0].number <= cursor {
		m.rig.acknowledge(m.ended[0].run, time.Now())
		m.ended = m.ended[1:]
	}
	timeout, born := time.After(wait), m.born
	for waiting := wait > 0; waiting && len(m.ended) == 0; {
		changed := m.changed
		m.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-q.Context().Done():
			waiting = false
		}
		m.mu.Lock()
		if m.down || m.born != born {
			hidden := m.hidden
			m.mu.Unlock()
			if hidden {
				// The sender can't see that the minion has ended.
				<-q.Context().Done()
			}
			m.mu.Lock()
			abort()
		}
	}
	running, list := [][]any{}, [][]any{}
	for _, t := range m.running {
		percent := 100
		if !t.lasting && t.takes > 0 {
			percent = int(min(99, 100*t.worked(time.Now())/t.takes))
		}
		running = append(running, []any{t.task, t.attempt, t.saved(time.Now()), percent, t.cpu})
	}
	for _, e := range m.ended[:min(500, len(m.ended))] {
		list = append(list, []any{e.number, e.run.task, e.run.attempt, e.run.how, e.saved})
	}
	respond(w, http.StatusOK, map[string]any{"clock_ms": m.clock().Milliseconds(), "born": m.born.UnixMilli(), "running": running, "ended_runs": list})
}
