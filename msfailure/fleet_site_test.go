package msfailure

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjoramspan/msclock"
	"marjoramspan/mslog"
	"marjoramspan/msoperator"
	"marjoramspan/mspool"
	"marjoramspan/msstandin"
	"marjoramspan/msstate"
	"marjoramspan/mstoken"
	"marjoramspan/mswave"
)

// waveRules lets two VMs of each pool go at a time: one rack may fail as well.
const waveRules = `
data-centre dc-1 region=r  # test
pool quotes size=4 slots=8 connections=64 available=25%  # test
pool booths size=4 slots=8 connections=64 available=25%  # test
team a share=3 limit=24  # test
team b share=1 limit=12  # test
queue quote pool=quotes teams=all idempotent=yes deadline=7s  # test
queue run pool=booths teams=all deadline=7s  # test
vm vm-0 pool=quotes  # test
vm vm-1 pool=quotes  # test
vm vm-2 pool=quotes  # test
vm vm-3 pool=quotes  # test
vm vm-4 pool=booths  # test
vm vm-5 pool=booths  # test
vm vm-6 pool=booths  # test
vm vm-7 pool=booths  # test
`

const (
	// waveVMs is how many VMs waveRules name. They go in two batches.
	waveVMs   = 8
	waveBatch = 4
	// wavePatience bounds the wait for a wave, which takes each VM's drain in turn.
	wavePatience = 2 * time.Minute
	// bootTime is how long a VM is away for a reboot.
	bootTime = 300 * time.Millisecond
	// fleetRate is the requests a second. With the tail of the run times a VM
	// seldom runs none.
	fleetRate  = 80
	fleetChunk = 160
)

var fleetMode = msstandin.UpstreamMode{
	Run:      15 * time.Millisecond,
	Spread:   10 * time.Millisecond,
	TailRun:  2500 * time.Millisecond,
	TailRate: 0.1,
	Seed:     1,
}

// machine is a VM that reports to the platform and reboots when it is told to.
type machine struct {
	upstream *msstandin.Upstream
	agent    *msstandin.Agent
	address  string
	// back holds up the end of a reboot until it is closed; nil holds up nothing.
	back chan struct{}
}

// fleet is a site whose VMs report to the platform.
type fleet struct {
	*site
	machines []*machine
}

// newFleet starts three entries and a VM for each of the rules' names vm-0, vm-1...
func newFleet(t *testing.T, rules string, vms int) *fleet {
	t.Helper()
	if testing.Short() {
		t.Skip("runs processes")
	}
	s := &site{t: t, dir: t.TempDir(), platform: &msstandin.Platform{}, secrets: map[string]string{}, limits: map[string]int{"a": 24, "b": 12}}
	f := &fleet{site: s}
	srv := httptest.NewServer(s.platform)
	t.Cleanup(srv.Close)
	s.address = srv.Listener.Addr().String()
	ctx, stop := context.WithCancel(context.Background())
	for i := range vms {
		f.addMachine(ctx, fmt.Sprint("vm-", i))
	}
	t.Cleanup(stop)
	for i := range 3 {
		s.entries = append(s.entries, s.newEntry(fmt.Sprint("entry-", i)))
	}
	t.Cleanup(s.stop)
	for _, e := range s.entries {
		s.start(e)
	}
	for _, e := range s.entries {
		s.awaitReady(e)
	}
	s.operator = f.newOperator("test")
	s.publish(rules)
	for _, team := range []string{"a", "b"} {
		k, err := s.operator.GiveKey(t.Context(), "key-"+team, team, "test")
		require.NoError(t, err)
		s.secrets[team] = k.Secret
	}
	s.inForce()
	return f
}

func (f *fleet) newOperator(by string) *msoperator.Operator {
	return &msoperator.Operator{Log: &mslog.Client{Address: f.address}, By: by, Jitter: func() float64 { return 0 }}
}

func (f *fleet) addMachine(ctx context.Context, name string) {
	m := &machine{upstream: &msstandin.Upstream{Name: name, Mode: fleetMode}, address: freeAddress(f.t)}
	m.agent = &msstandin.Agent{
		Upstream: m.upstream,
		Platform: f.address,
		Report:   msstandin.VMReport{Address: m.address, DataCentre: "dc-1", Rack: "rack-" + name, Region: "r"},
		Clock:    msclock.System{},
		HTTP:     &http.Client{Timeout: time.Second},
	}
	f.machines = append(f.machines, m)
	f.upstreams = append(f.upstreams, m.upstream)
	l, err := net.Listen("tcp", m.address)
	require.NoError(f.t, err)
	ended := make(chan error, 1)
	go func() { ended <- m.run(ctx, l) }()
	f.t.Cleanup(func() { require.NoError(f.t, <-ended) })
}

// run serves one boot after another until ctx is done.
func (m *machine) run(ctx context.Context, l net.Listener) error {
	for {
		if !m.boot(ctx, l) {
			return nil
		}
		if msclock.Sleep(ctx, m.agent.Clock, bootTime) != nil || !m.awaitBack(ctx) {
			return nil
		}
		var err error
		if l, err = net.Listen("tcp", m.address); err != nil {
			return err
		}
	}
}

// boot serves until the VM is to reboot or ctx is done, and returns which. A
// reboot cuts what still runs.
func (m *machine) boot(ctx context.Context, l net.Listener) bool {
	srv := &http.Server{Handler: m.upstream, ConnContext: m.upstream.ConnContext, ConnState: m.upstream.ConnState}
	go func() { _ = srv.Serve(l) }()
	again := m.agent.Run(ctx)
	if again {
		m.upstream.Reboot()
	}
	_ = srv.Close()
	return again
}

func (m *machine) awaitBack(ctx context.Context) bool {
	if m.back == nil {
		return true
	}
	select {
	case <-ctx.Done():
		return false
	case <-m.back:
		return true
	}
}

// underLoad asks without a pause while during runs, and waits for all answers.
func (f *fleet) underLoad(during func()) {
	stop := make(chan struct{})
	done := make(chan error, 1)
	go func() {
		for {
			if err := f.callers(fleetChunk, fleetRate); err != nil {
				done <- err
				return
			}
			select {
			case <-stop:
				done <- nil
				return
			default:
			}
		}
	}()
	during()
	close(stop)
	require.NoError(f.t, <-done)
}

// startWave starts a wave once the VMs have work.
func (f *fleet) startWave(cfg mswave.Settings) {
	f.t.Helper()
	busy := func() bool {
		for _, u := range f.upstreams {
			if u.Running() == 0 {
				return false
			}
		}
		return true
	}
	require.Eventually(f.t, busy, patience, 5*time.Millisecond, "every VM runs a request")
	cfg.Lease = 2 * time.Second
	cfg.MaxRun = 5 * time.Second
	cfg.Soak = bootTime
	cfg.Canary = waveBatch
	_, _, err := f.operator.StartWave(f.t.Context(), "test", cfg, false)
	require.NoError(f.t, err)
}

// awaitWave waits until the wave is as wanted, and returns it.
func (f *fleet) awaitWave(what string, is func(*mswave.State) bool) *mswave.State {
	f.t.Helper()
	return &f.await(what, func(s *msstate.State) bool { return is(&s.Wave) }).Wave
}

// await waits until the state on the log is as wanted. A log that can't be read
// is asked again.
func (f *fleet) await(what string, is func(*msstate.State) bool) *msstate.State {
	f.t.Helper()
	var last *msstate.State
	ok := func() bool {
		s, err := f.operator.State(f.t.Context())
		if err != nil {
			return false
		}
		last = s
		return is(s)
	}
	require.Eventually(f.t, ok, wavePatience, 100*time.Millisecond, what)
	return last
}

func hasEnded(w *mswave.State) bool { return w.Status == mswave.Ended }

// reached returns a condition for n VMs of the wave being in a phase, or returned.
func reached(n int, phase mswave.Phase) func(*mswave.State) bool {
	return func(w *mswave.State) bool {
		found := 0
		for _, p := range w.VMs {
			if p.Phase == phase || p.Phase == mswave.Returned {
				found++
			}
		}
		return found >= n
	}
}

// driver returns the entry that drives the wave in the present view.
func (f *fleet) driver() *entry {
	f.t.Helper()
	var name string
	f.await("a driver", func(s *msstate.State) bool {
		ids := make([]string, 0, len(s.Members))
		for _, m := range s.Members {
			ids = append(ids, m.ID)
		}
		m, ok := s.Member(mstoken.Home(ids, "duty/fleet"))
		name = m.Name
		return ok
	})
	for _, e := range f.entries {
		if e.name == name {
			return e
		}
	}
	require.Fail(f.t, "no entry has the name", name)
	return nil
}

// judgeFleet holds requests and VMs against the log. There must be no breach, nor
// a request of one pool that runs on a VM after it has gone to another.
func (f *fleet) judgeFleet() {
	f.t.Helper()
	f.judge()
	// An entry sends nothing to a VM once its move is complete, whatever the
	// entry has missed: the judge allows no lag.
	j := msstandin.FleetJudge{Events: f.history(), Owners: f.owners()}
	for _, u := range f.upstreams {
		j.Journals = append(j.Journals, u.ReadJournal())
	}
	j.From = j.Owners[0].At
	v := j.Verdict()
	f.t.Log(v)
	require.NoError(f.t, v.Err())
	for _, l := range j.Journals {
		require.Zero(f.t, overrun(l, j.Owners), "requests ran on %s after its move to another pool", l.Name)
	}
}

// rebootedOnce requires that the wave rebooted each VM exactly once.
func (f *fleet) rebootedOnce() {
	f.t.Helper()
	for _, u := range f.upstreams {
		require.Equal(f.t, 1, u.ReadJournal().Reboots, "reboots of %s", u.Name)
	}
}

// outOnce requires that each VM was taken out of service exactly once.
func (f *fleet) outOnce() {
	f.t.Helper()
	times := make(map[string]int)
	for _, e := range f.history() {
		if e.State == mslog.VMDraining {
			times[e.VM]++
		}
	}
	for _, u := range f.upstreams {
		require.Equal(f.t, 1, times[u.Name], "drains of %s", u.Name)
	}
}

// overrun counts requests that still ran when their VM came into another pool.
func overrun(l msstandin.Journal, owners []msstandin.Ownership) int {
	n := 0
	for _, e := range l.Entries {
		for _, o := range owners {
			ended := e.End != nil && !e.End.After(o.At)
			if o.At.After(e.Start) && !ended && o.Pools[l.Name] != o.Paths[e.Path] {
				n++
				break
			}
		}
	}
	return n
}

func (f *fleet) history() []msstandin.VMEvent {
	res, err := http.Get("http://" + f.address + "/standin/history")
	require.NoError(f.t, err)
	defer func() { _ = res.Body.Close() }()
	var events []msstandin.VMEvent
	require.NoError(f.t, json.NewDecoder(res.Body).Decode(&events))
	return events
}

// owners returns which pool each VM belonged to after each accepted record.
func (f *fleet) owners() []msstandin.Ownership {
	reading, err := msstate.Read(f.t.Context(), &mslog.Client{Address: f.address}, msclock.System{}, "state")
	require.NoError(f.t, err)
	s := &msstate.State{}
	var all []msstandin.Ownership
	for _, rec := range reading.Records {
		out, err := s.Apply(rec)
		require.NoError(f.t, err)
		if !out.Accepted || s.RulesVersion == 0 {
			continue
		}
		o := msstandin.Ownership{At: rec.Time, Pools: map[string]string{}, Needed: map[string]int{}, Paths: map[string]string{"/q": "quotes", "/r": "booths"}}
		for vm, h := range s.Ownership.VMs {
			o.Pools[vm] = h.Pool
		}
		for _, p := range s.Rules.Pools {
			o.Needed[p.Name] = mspool.Pool{Size: p.Size, Available: p.Available}.Needed()
		}
		all = append(all, o)
	}
	return all
}
