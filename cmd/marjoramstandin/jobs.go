package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"marjoramspan/msclock"
	"marjoramspan/msjob"
	"marjoramspan/msjournal"
	"marjoramspan/msleader"
	"marjoramspan/msscheduler"
	"marjoramspan/mssite"
	"marjoramspan/msstandin"
	"marjoramspan/msworker"
)

const (
	demoStream   = "jobs"
	demoProgress = "progress"
	demoVMOrders = "vm-orders"
	demoReports  = "reports"
	demoPool     = "booth"
	// demoTimeout bounds the whole run.
	demoTimeout = 2 * time.Minute
	// demoLook is the pause between two looks at what has happened.
	demoLook = 10 * time.Millisecond
)

type jobsCommand struct {
	Jobs    int    `default:"60" help:"How many jobs to run."`
	VMs     int    `default:"8" name:"vms" help:"How many VMs run them."`
	Entries int    `default:"3" help:"How many entries stand for election."`
	Seed    uint64 `default:"1" help:"Seed of the jobs' shapes."`
}

// errBreach says that the run broke a promise.
var errBreach = errors.New("a job was lost or a task ran twice")

// Run runs jobs through the loss of the leader, lost answers of the log, a VM that
// leaves and a maintenance wave, and judges by the workers' own journal.
func (c *jobsCommand) Run() error {
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	d := &jobsDemo{command: c, workers: map[string]*msstandin.JobWorker{}}
	d.build()
	defer d.stop()
	steps := []struct {
		say string
		do  func(ctx context.Context) error
	}{
		{"jobs are handed in", d.submit},
		{"the leader is cut off from the log", d.cutLeader},
		{"answers of the log are lost", func(context.Context) error { d.log.SetFault(msstandin.LogFault{LoseEvery: 5}); return nil }},
		{"a VM leaves", d.drain},
		{"a maintenance wave over every VM", d.wave},
		{"the jobs end", d.finish},
	}
	for _, s := range steps {
		fmt.Fprintln(os.Stdout, s.say)
		if err := s.do(ctx); err != nil {
			return err
		}
	}
	return d.judge()
}

// jobsDemo is a fleet with its entries.
type jobsDemo struct {
	command *jobsCommand
	log     msstandin.JobLog
	journal msstandin.JobJournal
	fleet   msstandin.JobFleet
	reg     msworker.Registry
	sites   mssite.Store
	entries []*demoEntry

	mu      sync.Mutex
	workers map[string]*msstandin.JobWorker
}

// demoEntry is one entry; cut makes the log unreachable for it.
type demoEntry struct {
	name string
	jobs msjob.Table
	stop func()

	mu     sync.Mutex
	cut    bool
	engine *msscheduler.Engine
}

func (d *jobsDemo) build() {
	d.fleet.OnJoin = d.join
	d.fleet.OnLeave = d.leave
	d.sites.Set(&mssite.Site{
		Version: 1,
		Queues:  []mssite.Queue{{Name: "booth-run", Pool: demoPool, Attempts: 3, Stretch: 2, Slack: time.Second}},
		Pools:   map[string]mssite.Pool{demoPool: {Name: demoPool, EnforcesCapacity: true}},
		Teams:   map[string]mssite.Team{"sprayers": {Name: "sprayers", Limit: msjob.Resources{CPU: 16_000}}},
	})
	for i := range d.command.VMs {
		d.fleet.Add(msworker.VM{
			Name: "vm-" + strconv.Itoa(i), Pool: demoPool, Rack: "r" + strconv.Itoa(i/2), Up: true,
			Capacity: msjob.Resources{CPU: 4000, Memory: 8000},
		})
	}
	for i := range d.command.Entries {
		d.entries = append(d.entries, d.entry("entry-"+strconv.Itoa(i+1)))
	}
}

func (d *jobsDemo) join(vm msworker.VM) {
	d.mu.Lock()
	defer d.mu.Unlock()
	w := msworker.Worker{ID: vm.Worker, Address: vm.Worker, Pool: vm.Pool, Rack: vm.Rack, Capacity: vm.Capacity}
	d.workers[vm.Worker] = &msstandin.JobWorker{Worker: w, Journal: &d.journal}
	d.reg.Set(w)
}

func (d *jobsDemo) leave(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if w := d.workers[id]; w != nil {
		w.Restart()
		w.SetDown(true)
	}
	d.reg.Drop(id)
}

func (d *jobsDemo) find(id string) *msstandin.JobWorker {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.workers[id]
}

// entry starts an entry.
func (d *jobsDemo) entry(name string) *demoEntry {
	e := &demoEntry{name: name}
	log, clock, logger := e.reach(d.log.Log()), &msclock.Boot{}, zap.NewNop()
	records := &msjournal.Follower{
		Log: log, Clock: clock, Logger: logger, Stream: demoStream, Reset: e.jobs.Reset,
		Apply: func(r msjournal.Record, _ int64) { _ = e.jobs.Apply(msjob.Record{Key: r.Key, Value: r.Value}) },
	}
	e.jobs.OnJob = func(j msjob.TableEntry) {
		if g := e.current(); g != nil {
			g.AddJob(j)
		}
	}
	leader := &msleader.Elector{
		Log: log, Clock: clock, Logger: logger, Stream: "leader", Holder: name, Jitter: rand.Float64,
		Lead: func(ctx context.Context, t msleader.Term) error {
			g := &msscheduler.Engine{
				Term: t, Holder: name, Log: log, PublicStream: demoStream, ProgressStream: demoProgress, VMOrderStream: demoVMOrders, Jobs: &e.jobs, Journal: records,
				Registry: &d.reg, Orders: msstandin.Orders(d.find), VMs: d.fleet.VMs(), Sites: &d.sites,
				Report: func(wave int64, completed bool) (msjournal.Record, error) {
					return msjournal.Record{Key: strconv.FormatInt(wave, 10), Value: strconv.AppendBool(nil, completed)}, nil
				},
				ReportStream: demoReports,
				Clock:        clock, Wall: msclock.System{}, Logger: logger,
				Settings: msscheduler.Settings{
					MaxLease: 6 * time.Second, StatusRetention: time.Minute,
					MinHolderInterval: 200 * time.Millisecond, MaintenanceDuration: 200 * time.Millisecond,
				},
			}
			e.lead(g)
			defer e.lead(nil)
			return g.Run(ctx)
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, part := range []func(ctx context.Context) error{records.Run, leader.Run} {
		wg.Add(1)
		go func() { defer wg.Done(); _ = part(ctx) }() // Both end without an error once ctx is done.
	}
	e.stop = func() { cancel(); wg.Wait() }
	return e
}

// reach returns the log as the entry reaches it.
func (e *demoEntry) reach(l msjournal.Log) msjournal.Log {
	away := func(op string) error {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.cut {
			return &msjournal.Error{Kind: msjournal.Rejected, Op: op}
		}
		return nil
	}
	return msjournal.Log{
		Append: func(ctx context.Context, a msjournal.AppendRequest) (int64, error) {
			if err := away("append"); err != nil {
				return 0, err
			}
			return l.Append(ctx, a)
		},
		Read: func(ctx context.Context, stream string, from int64, wait time.Duration) (msjournal.Batch, error) {
			if err := away("read"); err != nil {
				return msjournal.Batch{}, err
			}
			return l.Read(ctx, stream, from, wait)
		},
		Newest: func(ctx context.Context, stream, after string) (msjournal.Page, error) {
			if err := away("newest"); err != nil {
				return msjournal.Page{}, err
			}
			return l.Newest(ctx, stream, after)
		},
	}
}

func (e *demoEntry) current() *msscheduler.Engine {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.engine
}

func (e *demoEntry) lead(g *msscheduler.Engine) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.engine = g
}

func (d *jobsDemo) submit(ctx context.Context) error {
	r := rand.New(rand.NewPCG(d.command.Seed, 0))
	for i := range d.command.Jobs {
		s := msjob.Step{Count: 1 + r.IntN(3), Need: msjob.Resources{CPU: 500 + 500*r.Int64N(3), Memory: 100}, Estimate: 200 * time.Millisecond}
		next := s
		next.After = []int{0}
		j := &msjob.Job{
			ID: fmt.Sprintf("%016x", i+1), Queue: "booth-run", Pool: demoPool, Team: "sprayers", Attempts: 3, Stretch: 2, Slack: time.Second,
			Spec: "run=" + strconv.Itoa(100+r.IntN(600)) + "ms", Steps: []msjob.Step{s, next}, Accepted: msclock.System{}.Now().UTC(),
		}
		rec, err := msjob.JobRecord(j)
		if err != nil {
			return err
		}
		d.log.Put(demoStream, rec.Key, rec.Value)
	}
	return await(ctx, func() bool { return len(d.journal.Runs()) > 0 })
}

// cutLeader cuts off the entry that leads until another one does.
func (d *jobsDemo) cutLeader(ctx context.Context) error {
	var old *demoEntry
	err := await(ctx, func() bool {
		for _, e := range d.entries {
			if e.current() != nil {
				old = e
			}
		}
		return old != nil
	})
	if err != nil {
		return err
	}
	old.setCut(true)
	err = await(ctx, func() bool {
		for _, e := range d.entries {
			if e != old && e.current() != nil {
				return true
			}
		}
		return false
	})
	old.setCut(false)
	return err
}

func (e *demoEntry) setCut(cut bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cut = cut
}

// drain lets the worker of the first VM leave.
func (d *jobsDemo) drain(ctx context.Context) error {
	vms, err := d.fleet.VMs().List(ctx)
	if err != nil {
		return err
	}
	w, ok := d.reg.All()[vms[0].Worker]
	if ok {
		w.Draining, w.RemainingTime = true, 2*time.Second
		d.reg.Set(w)
	}
	return nil
}

func (d *jobsDemo) wave(ctx context.Context) error {
	w := mssite.Wave{ID: 1, MaxDuration: 20 * time.Second, MaxUnavailable: 2}
	for i := range d.command.VMs {
		w.VMs = append(w.VMs, "vm-"+strconv.Itoa(i))
	}
	d.sites.SetWave(w)
	return await(ctx, func() bool {
		for _, e := range d.entries {
			if p, ok := e.jobs.Wave(1); ok && p.Completed {
				return true
			}
		}
		return false
	})
}

// finish waits until each entry shows each job as ended.
func (d *jobsDemo) finish(ctx context.Context) error {
	d.log.SetFault(msstandin.LogFault{})
	return await(ctx, func() bool {
		for _, e := range d.entries {
			if n, _ := count(&e.jobs); n != d.command.Jobs {
				return false
			}
		}
		return true
	})
}

// count returns how many jobs have ended, and how many of them well.
func count(t *msjob.Table) (ended, done int) {
	t.Each(func(e msjob.TableEntry) {
		if e.State().Final() {
			ended++
		}
		if e.State() == msjob.Completed {
			done++
		}
	})
	return ended, done
}

func (d *jobsDemo) judge() error {
	_, done := count(&d.entries[0].jobs)
	doubled := len(d.journal.Doubled())
	lost := d.command.Jobs - done
	fmt.Fprintf(os.Stdout, "jobs=%d done=%d lost=%d doubled=%d attempts=%d most-maintained=%d\n",
		d.command.Jobs, done, lost, doubled, len(d.journal.Runs()), d.fleet.MostMaintained())
	if lost > 0 || doubled > 0 || d.fleet.MostMaintained() > 2 {
		return errBreach
	}
	return nil
}

func (d *jobsDemo) stop() {
	for _, e := range d.entries {
		e.stop()
	}
}

// await looks until ok says so or ctx is done.
func await(ctx context.Context, ok func() bool) error {
	for !ok() {
		if err := msclock.Sleep(ctx, msclock.System{}, demoLook); err != nil {
			return err
		}
	}
	return nil
}
