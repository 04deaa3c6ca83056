//go:build review

// Package rig2 has the stand-ins of the platform for the scripts of the second review: the store,
// the machines and the minions, and the programs of the deploy file as processes beside them.
package rig2

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sort"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Results of a script.
const (
	held   = 0
	broken = 1
	failed = 2
)

// cases has the scripts by the number of their folder.
var cases = map[string]func(r *rig) int{}

// maxRun bounds a script.
const maxRun = 110 * time.Second

func TestMain(m *testing.M) {
	number := os.Getenv("CASE")
	run := cases[number]
	if run == nil {
		fmt.Println("set CASE to the number of a case")
		os.Exit(failed)
	}
	// The processes end with the thread that starts them.
	runtime.LockOSThread()
	r, err := newRig()
	if err != nil {
		fmt.Println(err)
		os.Exit(failed)
	}
	result := make(chan int, 1)
	go func() {
		defer func() {
			if p := recover(); p != nil {
				r.event("script-failed", "error", fmt.Sprint(p))
				result <- failed
			}
		}()
		result <- run(r)
	}()
	var code int
	for waiting := true; waiting; {
		select {
		case code = <-result:
			waiting = false
		case <-time.After(maxRun - time.Since(r.begun)):
			r.event("script-failed", "error", "out of time")
			code, waiting = failed, false
		case f := <-r.onMain:
			f()
		}
	}
	r.event("result", "code", code)
	r.close()
	os.Exit(code)
}

// rig has the stand-ins and the processes of one script.
type rig struct {
	begun   time.Time
	dir     string
	trouble bool
	store   store
	vms     machines
	advisor advisor
	onMain  chan func()

	mu      sync.Mutex
	record  *os.File
	entries []*entry
	minions []*minion
	runs    []*runRow
	onStart func(r *runRow)
	version int
}

// runRow is an attempt that a minion has begun.
type runRow struct {
	task   string
	n      int
	minion string
	start  time.Time
	end    time.Time
	how    string
	acked  time.Time
	lapsed bool
}

func newRig() (*rig, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	r := &rig{begun: time.Now(), dir: dir, trouble: os.Getenv("TROUBLE") != "0", onMain: make(chan func())}
	// The record of what was sent, answered and run is the output, which run.sh writes to record.txt.
	r.record = os.Stdout
	r.vms.rig = r
	return r, nil
}

// event writes a line to the record.
func (r *rig) event(what string, fields ...any) {
	var b strings.Builder
	fmt.Fprintf(&b, "%9.3f %s", time.Since(r.begun).Seconds(), what)
	for i := 0; i+1 < len(fields); i += 2 {
		fmt.Fprintf(&b, " %v=%v", fields[i], fields[i+1])
	}
	b.WriteByte('\n')
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.record.WriteString(b.String())
}

func (r *rig) started(task string, n int, minion string, at time.Time) {
	r.event("start", "task", task, "attempt", n, "minion", minion)
	row := &runRow{task: task, n: n, minion: minion, start: at}
	r.mu.Lock()
	r.runs = append(r.runs, row)
	fn := r.onStart
	r.mu.Unlock()
	if fn != nil {
		go fn(row)
	}
}

// rowOf returns the latest run of an attempt on a minion. The caller holds mu.
func (r *rig) rowOf(task string, n int, minion string) *runRow {
	for i := len(r.runs) - 1; i >= 0; i-- {
		if row := r.runs[i]; row.task == task && row.n == n && row.minion == minion {
			return row
		}
	}
	return nil
}

func (r *rig) ranUntil(task string, n int, minion string, at time.Time, how string) {
	r.event("end", "task", task, "attempt", n, "minion", minion, "how", how)
	r.mu.Lock()
	defer r.mu.Unlock()
	if row := r.rowOf(task, n, minion); row != nil && row.end.IsZero() {
		row.end, row.how = at, how
	}
}

func (r *rig) acked(task string, n int, minion string) {
	r.event("acked", "task", task, "attempt", n, "minion", minion)
	r.mu.Lock()
	defer r.mu.Unlock()
	if row := r.rowOf(task, n, minion); row != nil {
		row.acked = time.Now()
	}
}

// lapse notes that the lease of a minion has lapsed.
func (r *rig) lapse(minion string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, row := range r.runs {
		if row.minion == minion && !row.end.IsZero() && row.acked.IsZero() {
			row.lapsed = true
		}
	}
}

// twice returns a line for each start that rule TWICE forbids: while another run of the subtask was
// on, or after one that had ended done and whose end was taken note of, then or later.
func (r *rig) twice() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var bad []string
	for _, b := range r.runs {
		for _, a := range r.runs {
			if a == b || a.task != b.task || !a.start.Before(b.start) {
				continue
			}
			during := a.end.IsZero() || a.end.After(b.start)
			after := a.how == "done" && !a.acked.IsZero() && !a.lapsed
			if during || after {
				bad = append(bad, fmt.Sprintf("%s: attempt %d on %s began at %.3f s; attempt %d on %s ran from %.3f s (end %s)",
					b.task, b.n, b.minion, b.start.Sub(r.begun).Seconds(), a.n, a.minion, a.start.Sub(r.begun).Seconds(), a.how))
			}
		}
	}
	return bad
}

func (r *rig) listen(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }()
	return l.Addr().String()
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// entry is a process of the role in the deploy file.
type entry struct {
	rig      *rig
	n        int
	ip       string
	settings string
	program  string
	log      *os.File

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// addEntries starts n entries. bounds replaces bounds of the settings.
func (r *rig) addEntries(n int, bounds map[string]any) {
	program := os.Getenv("PROGRAM")
	pid := os.Getpid()
	for i := range n {
		e := &entry{rig: r, n: i, program: program, ip: fmt.Sprintf("127.%d.%d.%d", 10+pid>>8&0x3f, pid&0xff, 1+i)}
		e.settings = filepath.Join(r.dir, fmt.Sprintf("entry-%d.yaml", i))
		all := map[string]any{
			"contact_ms": 3000, "ack_timeout_ms": 4000, "drain_timeout_ms": 2000, "grace_s": 6, "config_apply_ms": 2000, "rollback_slack_ms": 250,
			"strict_revoke": true, "revoke_ms": 5000, "hold_max_ms": 10000, "stop_grace_ms": 200, "gang_timeout_ms": 3000, "cancel_ms": 3000, "visible_ms": 3000,
			"early_ms": 250, "finish_s": 14, "status_s": 120, "notice_ms": 4500, "migration_s": 1.5, "maintenance_s": 2, "fencing_enforced": true, "lease_ms": 3000,
		}
		for k, v := range bounds {
			all[k] = v
		}
		var b strings.Builder
		fmt.Fprintf(&b, "node_name: \"edge-%d\"\nrole: \"entry\"\nip: %q\nzone: \"a\"\nregion: \"r\"\n", i, e.ip)
		fmt.Fprintf(&b, "listen_addrs: {frontend: \"%s:8340\", ready: \"%s:8343\"}\n", e.ip, e.ip)
		b.WriteString("limits: {cpu_quota: 0.4, cores: 1, memory_mb: 284, max_fds: 4100}\ncontrol_mode: \"call\"\nheartbeat_ms: 1500\n")
		fmt.Fprintf(&b, "platform: {address: %q, form: \"log\", writes_per_s: 800, reads_per_s: 2000, parts: 8, append_ms: 4.0, record_bytes: 262144, request_bytes: 2097152, keep_s: 300}\n", r.listen(r.store.handler(i)))
		fmt.Fprintf(&b, "recommendation: %q\n", r.listen(r.advisor.handler(r)))
		fmt.Fprintf(&b, "cloud_api: {address: %q, rate_per_s: 64.0, duties_per_s: 64.0}\n", r.listen(&r.vms))
		b.WriteString("bounds:\n")
		var names []string
		for k := range all {
			names = append(names, k)
		}
		sort.Strings(names)
		for _, k := range names {
			fmt.Fprintf(&b, "  %s: %v\n", k, all[k])
		}
		must(os.WriteFile(e.settings, []byte(b.String()), 0o600))
		var err error
		e.log, err = os.Create(filepath.Join(r.dir, fmt.Sprintf("entry-%d.log", i)))
		must(err)
		r.entries = append(r.entries, e)
		e.start()
	}
	deadline := time.Now().Add(20 * time.Second)
	for _, e := range r.entries {
		for !e.ready() {
			if time.Now().After(deadline) {
				panic("an entry is not ready")
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	r.event("entries-ready", "n", n)
}

// start starts the process on the main thread, with which it ends.
func (e *entry) start() {
	done := make(chan error)
	e.rig.onMain <- func() {
		cmd := exec.Command(e.program, "platform")
		cmd.Env = append(os.Environ(), "MARJORAMSPAN_BOOT="+e.settings)
		cmd.Stdout, cmd.Stderr = e.log, e.log
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		err := cmd.Start()
		if err == nil {
			exited := make(chan struct{})
			e.mu.Lock()
			e.cmd, e.exited = cmd, exited
			e.mu.Unlock()
			go func() {
				state := cmd.Wait()
				e.rig.event("entry-exit", "entry", e.n, "state", state)
				close(exited)
			}()
		}
		go func() { done <- err }()
	}
	must(<-done)
	e.rig.event("entry-start", "entry", e.n)
}

func (e *entry) signal(sig syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rig.event("entry-signal", "entry", e.n, "signal", sig)
	_ = e.cmd.Process.Signal(sig)
}

func (e *entry) kill() {
	e.signal(syscall.SIGKILL)
	<-e.exited
}

func (e *entry) ready() bool {
	resp, err := http.Get("http://" + e.ip + ":8343/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// leads reports whether the entry schedules, by its own metrics.
func (e *entry) leads() bool {
	resp, err := http.Get("http://" + e.ip + ":7001/metrics")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	return bytes.Contains(b, []byte("marjoramspan_leads 1"))
}

// leader returns the entry that schedules.
func (r *rig) leader() *entry {
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		for _, e := range r.entries {
			if e.leads() {
				return e
			}
		}
	}
	panic("no entry leads")
}

func (r *rig) close() {
	for _, e := range r.entries {
		e.mu.Lock()
		_ = e.cmd.Process.Kill()
		exited := e.exited
		e.mu.Unlock()
		<-exited
	}
	if keep := os.Getenv("KEEP_LOGS"); keep == "" {
		_ = os.RemoveAll(r.dir)
	} else {
		fmt.Println("logs:", r.dir)
	}
}

// route is a queue of the config.
type route struct {
	Name       string  `json:"name"`
	Host       string  `json:"host"`
	PathPrefix string  `json:"path_prefix"`
	Backend    string  `json:"backend"`
	Priority   int     `json:"priority"`
	Attempts   int     `json:"attempts"`
	Stretch    float64 `json:"stretch_factor"`
	TargetMS   float64 `json:"target_latency_ms"`
	Public     bool    `json:"public"`
	TimeoutMS  int     `json:"timeout_ms"`
	Advice     *advice `json:"recommendation,omitempty"`
}

// configure writes the next version of the config.
func (r *rig) configure(routes []route, pools []map[string]any, tenants []map[string]any) {
	r.version += 3
	r.store.put("keyed.op", "config", map[string]any{
		"version": r.version, "routes": routes, "backends": pools, "tenants": tenants,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 10000, "idle_timeout_ms": 60000},
	})
	r.event("config", "version", r.version)
}

// addMinions adds machines with one minion each to a pool.
func (r *rig) addMinions(pool string, n int, cpu int64) {
	for i := range n {
		m := &minion{
			rig: r, id: fmt.Sprintf("i-%s-%d", pool, i), machine: fmt.Sprintf("m-%s-%d", pool, i), pool: pool,
			labels: []string{"kind-a", "r1-" + strconv.Itoa(i/4)}, capacity: resources{CPU: cpu, MemMB: 65536},
			age: 30 * time.Minute, maxLease: 10 * time.Second, stopGrace: 100 * time.Millisecond,
		}
		must(m.start())
		r.mu.Lock()
		r.minions = append(r.minions, m)
		r.mu.Unlock()
	}
}

func (r *rig) minionByID(id string) *minion {
	for _, m := range r.minions {
		if m.id == id {
			return m
		}
	}
	return nil
}

// call sends a request of a consumer. The status is 0 if there is no answer.
func (e *entry) call(client *http.Client, method, host, path, key string, body any) (int, map[string]any) {
	var in io.Reader
	if body != nil {
		b, _ := json.Marshal(body)
		in = bytes.NewReader(b)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+e.ip+":8340"+path, in)
	must(err)
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", "3000")
	if key != "" {
		req.Header.Set("Credential", key)
	}
	if client == nil {
		client = http.DefaultClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	var v map[string]any
	_ = json.Unmarshal(b, &v)
	return resp.StatusCode, v
}

// machines is the platform's list of machines, and its orders to them.
type machines struct {
	rig *rig

	mu    sync.Mutex
	state map[string]string // of machines that are not up
	fence map[string]int64
	moves int
}

func (v *machines) set(machine, state string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.state == nil {
		v.state = map[string]string{}
	}
	v.state[machine] = state
}

func (v *machines) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet {
		v.order(w, r)
		return
	}
	rows := []map[string]any{}
	v.rig.mu.Lock()
	all := append([]*minion(nil), v.rig.minions...)
	v.rig.mu.Unlock()
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, m := range all {
		state := v.state[m.machine]
		if state == "" {
			state = "up"
		}
		rows = append(rows, map[string]any{"machine": m.machine, "pool": m.pool, "state": state, "zone": "a", "labels": m.labels, "capacity": m.capacity, "id": m.id})
	}
	reply(w, http.StatusOK, map[string]any{"machines": rows, "next_token": ""})
}

// migration is how long a machine takes to another service.
const migration = 1500 * time.Millisecond

// order carries out the order to move a machine. No machine has its upkeep in these scripts.
func (v *machines) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil || r.URL.Path != "/machine-move" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	token, _ := strconv.ParseInt(r.Header.Get("Fencing-Token"), 10, 64)
	v.rig.mu.Lock()
	var m *minion
	for _, c := range v.rig.minions {
		if c.machine == o.Machine {
			m = c
		}
	}
	v.rig.mu.Unlock()
	v.mu.Lock()
	if v.fence == nil {
		v.fence = map[string]int64{}
	}
	stale, state := token < v.fence[o.Machine], v.state[o.Machine]
	if m != nil && !stale {
		v.fence[o.Machine] = token
	}
	v.mu.Unlock()
	switch {
	case m == nil:
		w.WriteHeader(http.StatusBadRequest)
		return
	case stale:
		reply(w, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	case m.pool == o.Pool:
		reply(w, http.StatusOK, map[string]any{})
		return
	case state != "":
		reply(w, http.StatusConflict, map[string]any{"reason": "busy"})
		return
	}
	v.rig.event("move", "machine", o.Machine, "from", m.pool, "to", o.Pool)
	v.set(o.Machine, "moving")
	m.crash()
	v.rig.store.put("keyed.servers", m.id, nil)
	v.rig.mu.Lock()
	v.moves++
	next := &minion{
		rig: v.rig, id: fmt.Sprintf("%s-%d", o.Machine, v.moves), machine: m.machine, pool: o.Pool, labels: m.labels, capacity: m.capacity,
		maxLease: m.maxLease, stopGrace: m.stopGrace, onOrder: m.onOrder, takesStrayOrders: m.takesStrayOrders,
	}
	for i, c := range v.rig.minions {
		if c == m {
			v.rig.minions[i] = next
		}
	}
	v.rig.mu.Unlock()
	time.AfterFunc(migration, func() {
		must(next.start())
		v.set(next.machine, "")
	})
	reply(w, http.StatusOK, map[string]any{})
}
