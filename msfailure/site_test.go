package msfailure

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjoramspan/msclock"
	"marjoramspan/mslog"
	"marjoramspan/msoperator"
	"marjoramspan/msrule"
	"marjoramspan/msstandin"
)

var binary string

func TestMain(m *testing.M) {
	os.Exit(build(m))
}

func build(m *testing.M) int {
	dir, err := os.MkdirTemp("", "marjoramspan")
	if err != nil {
		fmt.Println(err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary = filepath.Join(dir, "marjoramspan")
	out, err := exec.Command("go", "build", "-o", binary, "marjoramspan/cmd/marjoramspan").CombinedOutput()
	if err != nil {
		fmt.Println(string(out), err)
		return 1
	}
	return m.Run()
}

// site is a platform, upstream VMs and entries.
type site struct {
	t         *testing.T
	dir       string
	platform  *msstandin.Platform
	address   string
	upstreams []*msstandin.Upstream
	entries   []*entry
	operator  *msoperator.Operator
	secrets   map[string]string
	records   []msstandin.CallerRecord
	mu        sync.Mutex
	limits    map[string]int
}

type entry struct {
	name, caller, admin, peer, settings string
	cmd                                 *exec.Cmd
	log                                 string
}

const siteRules = `
data-centre dc-1 region=r  # test
data-centre dc-2 region=r  # test
pool quotes size=2 slots=8 connections=64 available=50%  # test
pool booths size=2 slots=8 connections=64 available=50%  # test
team a share=3 limit=9  # test
team b share=1 limit=5  # test
queue quote pool=quotes teams=all idempotent=yes deadline=4s  # test
queue run pool=booths teams=all deadline=4s  # test
vm vm-0 pool=quotes  # test
vm vm-1 pool=quotes  # test
vm vm-2 pool=booths  # test
vm vm-3 pool=booths  # test
`

const (
	vmCount = 4
	// patience bounds every wait for a state that must come.
	patience = 30 * time.Second
)

// newSite starts everything, publishes the rules and gives each team a key.
func newSite(t *testing.T, entries int) *site {
	t.Helper()
	if testing.Short() {
		t.Skip("runs processes")
	}
	s := &site{t: t, dir: t.TempDir(), platform: &msstandin.Platform{}, secrets: map[string]string{}, limits: map[string]int{"a": 9, "b": 5}}
	srv := httptest.NewServer(s.platform)
	t.Cleanup(srv.Close)
	s.address = srv.Listener.Addr().String()
	for i := range vmCount {
		s.addUpstream(fmt.Sprint("vm-", i))
	}
	for i := range entries {
		s.entries = append(s.entries, s.newEntry(fmt.Sprint("entry-", i)))
	}
	t.Cleanup(s.stop)
	for _, e := range s.entries {
		s.start(e)
	}
	for _, e := range s.entries {
		s.awaitReady(e)
	}
	s.operator = &msoperator.Operator{Log: &mslog.Client{Address: s.address}, By: "test", Jitter: func() float64 { return 0 }}
	s.publish(siteRules)
	for _, team := range []string{"a", "b"} {
		k, err := s.operator.GiveKey(t.Context(), "key-"+team, team, "test")
		require.NoError(t, err)
		s.secrets[team] = k.Secret
	}
	s.inForce()
	return s
}

func (s *site) publish(text string) uint64 {
	rules, err := msrule.Parse("site.rules", strings.NewReader(text))
	require.NoError(s.t, err)
	state, err := s.operator.State(s.t.Context())
	require.NoError(s.t, err)
	rules.Keys = state.Rules.Keys
	a, err := s.operator.Publish(s.t.Context(), rules, state.RulesVersion)
	require.NoError(s.t, err)
	return a.Version
}

// inForce waits until every member acts on the newest rules.
func (s *site) inForce() {
	ctx, cancel := context.WithTimeout(s.t.Context(), patience)
	defer cancel()
	state, err := s.operator.State(ctx)
	require.NoError(s.t, err)
	_, err = s.operator.WaitInForce(ctx, state.RulesVersion)
	require.NoError(s.t, err)
}

func (s *site) addUpstream(name string) {
	u := &msstandin.Upstream{Name: name, Mode: msstandin.UpstreamMode{Run: 15 * time.Millisecond, Spread: 10 * time.Millisecond, Seed: 1}}
	srv := httptest.NewUnstartedServer(u)
	srv.Config.ConnContext = u.ConnContext
	srv.Config.ConnState = u.ConnState
	srv.Start()
	s.t.Cleanup(srv.CloseClientConnections)
	s.upstreams = append(s.upstreams, u)
	s.platform.PutVM(mslog.VM{Name: name, Address: srv.Listener.Addr().String(), DataCentre: "dc-1", Rack: "rack-" + name, Region: "r", State: mslog.VMLive})
}

func freeAddress(t *testing.T) string {
	address, release, err := msstandin.FreeAddress()
	require.NoError(t, err)
	t.Cleanup(release)
	return address
}

func (s *site) newEntry(name string) *entry {
	e := &entry{name: name, caller: freeAddress(s.t), admin: freeAddress(s.t), peer: freeAddress(s.t)}
	e.settings = filepath.Join(s.dir, name+".ini")
	e.log = filepath.Join(s.dir, name+".log")
	text := fmt.Sprintf(`[entry]
name = %s
data-centre = dc-1
rack = r
region = r
listen = %s
admin-listen = %s
peer-listen = %s
[log]
address = %s
timeout = 1s
[limits]
lease = 2s
max-run = 5s
[peers]
heartbeat = 500ms
exclude-after = 3s
[drain]
balancer-lag = 1s
grace = 10s
[account]
flush = 1s
`, name, e.caller, e.admin, e.peer, s.address)
	require.NoError(s.t, os.WriteFile(e.settings, []byte(text), 0o600))
	return e
}

func (s *site) start(e *entry) {
	f, err := os.OpenFile(e.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(s.t, err)
	defer func() { _ = f.Close() }()
	e.cmd = exec.Command(binary, "serve", "--settings", e.settings)
	e.cmd.Stdout = f
	e.cmd.Stderr = f
	require.NoError(s.t, e.cmd.Start())
}

func (e *entry) signal(sig syscall.Signal) {
	_ = e.cmd.Process.Signal(sig)
}

// end waits until the entry's process has ended.
func (e *entry) end() {
	_, _ = e.cmd.Process.Wait()
	e.cmd = nil
}

func (e *entry) kill() {
	e.signal(syscall.SIGKILL)
	e.end()
}

func (s *site) stop() {
	for _, e := range s.entries {
		if e.cmd != nil {
			e.kill()
		}
	}
	if s.t.Failed() {
		for _, e := range s.entries {
			if b, err := os.ReadFile(e.log); err == nil {
				s.t.Logf("%s:\n%s", e.name, tail(string(b)))
			}
		}
	}
}

func tail(text string) string {
	const most = 4000
	return text[max(0, len(text)-most):]
}

func (s *site) ready(e *entry) bool {
	c := http.Client{Timeout: time.Second}
	res, err := c.Get("http://" + e.admin + "/readyz")
	if err != nil {
		return false
	}
	defer func() { _ = res.Body.Close() }()
	return res.StatusCode == http.StatusOK
}

func (s *site) awaitReady(e *entry) {
	require.Eventually(s.t, func() bool { return s.ready(e) }, patience, 50*time.Millisecond, e.name)
}

// ask sends one request with a team's secret to an entry and returns the status
// and the outcome.
func (s *site) ask(e *entry, queue, secret, key string) (int, string) {
	c := http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequestWithContext(s.t.Context(), http.MethodPost, "http://"+e.caller+"/v1/queues/"+queue+"/x", strings.NewReader("x"))
	require.NoError(s.t, err)
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+secret)
	req.Header.Set("Idempotency-Key", key)
	res, err := c.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = res.Body.Close() }()
	return res.StatusCode, res.Header.Get("X-Outcome")
}

// load makes n requests of both teams and both queues while during runs, and
// waits for all.
func (s *site) load(n int, rate float64, during func()) {
	done := make(chan error, 1)
	go func() { done <- s.callers(n, rate) }()
	during()
	require.NoError(s.t, <-done)
}

// callers asks n requests and records what became of them.
func (s *site) callers(n int, rate float64) error {
	c := &msstandin.Callers{Plan: s.plan(n, rate), Record: func(r msstandin.CallerRecord) error {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.records = append(s.records, r)
		return nil
	}}
	return c.Run(s.t.Context())
}

func (s *site) plan(n int, rate float64) msstandin.Plan {
	p := msstandin.Plan{
		Seed:        uint64(n + len(s.records)),
		Requests:    n,
		Rate:        rate,
		Concurrency: 40,
		TimeoutMS:   9000,
		Tries:       5,
		PauseMS:     200,
		Teams: []msstandin.PlanTeam{
			{Name: "a", Secret: s.secrets["a"], Limit: s.limits["a"], Weight: 3, Queues: []string{"quote", "run"}},
			{Name: "b", Secret: s.secrets["b"], Limit: s.limits["b"], Weight: 1, Queues: []string{"quote", "run"}},
		},
		Queues: []msstandin.PlanQueue{{Name: "quote", Path: "q", Idempotent: true, BodyBytes: 100}, {Name: "run", Path: "r", BodyBytes: 100}},
	}
	for _, e := range s.entries {
		p.Entries = append(p.Entries, e.caller)
	}
	return p
}

// judge counts breaches, of which there must be none, and returns the verdict.
func (s *site) judge() msstandin.Verdict {
	j := msstandin.Judge{Limits: s.limits, Records: s.records}
	for _, u := range s.upstreams {
		j.Journals = append(j.Journals, u.ReadJournal())
	}
	v := j.Verdict()
	s.t.Log(v, s.reasons())
	require.NoError(s.t, v.Err())
	require.Positive(s.t, v.Answered)
	return v
}

// reasons counts why requests were not answered.
func (s *site) reasons() map[string]int {
	n := make(map[string]int)
	for _, r := range s.records {
		if r.Outcome != msstandin.OutcomeAnswered {
			reason := r.Reason
			if i := strings.LastIndex(reason, `": `); i >= 0 {
				reason = reason[i:]
			}
			n[string(r.Outcome)+" "+reason]++
		}
	}
	return n
}

// pause lets the system run for d. It decides nothing.
func pause(d time.Duration) {
	<-msclock.System{}.After(d)
}
