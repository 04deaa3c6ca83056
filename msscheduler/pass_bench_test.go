package msscheduler

import (
	"context"
	"fmt"
	"strconv"
	"testing"
	"time"

	"go.uber.org/zap"

	"marjoramspan/msclock"
	"marjoramspan/msjob"
	"marjoramspan/msleader"
	"marjoramspan/mssite"
	"marjoramspan/msstandin"
	"marjoramspan/msworker"
)

// saturatedEngine is an engine at peak load: every worker is full with the tasks of one job,
// and further jobs wait.
func saturatedEngine(tb testing.TB, workers, pools, teams, waiting int) *Engine {
	tb.Helper()
	clock := &msclock.Boot{}
	site := &mssite.Site{Version: 1, Pools: map[string]mssite.Pool{}, Teams: map[string]mssite.Team{}}
	for p := range pools {
		name := "pool-" + strconv.Itoa(p)
		site.Pools[name] = mssite.Pool{Name: name, EnforcesCapacity: true}
		site.Queues = append(site.Queues, mssite.Queue{Name: "queue-" + strconv.Itoa(p), Pool: name, Attempts: 3, Stretch: 1.6, Slack: time.Second})
	}
	for i := range teams {
		name := "team-" + strconv.Itoa(i)
		site.Teams[name] = mssite.Team{Name: name, Weight: 1000}
	}
	e := &Engine{
		Term: msleader.Term{Epoch: 1}, Sites: &mssite.Store{}, Registry: &msworker.Registry{}, Jobs: &msjob.Table{},
		Clock: clock, Wall: msclock.System{}, Logger: zap.NewNop(),
		startedAt: clock.Now().Add(-time.Minute), wake: make(chan struct{}, 1), publishWake: make(chan struct{}, 1), termEnded: make(chan error, 1),
		workers: map[string]*worker{}, runs: map[runKey]*run{}, teams: map[string]msjob.Resources{},
		jobs: map[string]*job{}, active: map[string]*job{}, dirty: map[string]*job{}, recurring: map[string]*job{},
		waves: map[int64]*wave{}, adviceByStep: map[stepKey]*advice{},
		othersWait: map[string]bool{},
	}
	e.Sites.Set(site)
	e.pools.movedAt = map[string]time.Time{}
	for i := range workers {
		entry := msworker.Worker{
			ID: fmt.Sprintf("w-%04d", i), Address: strconv.Itoa(i), Pool: "pool-" + strconv.Itoa(i%pools), Rack: "r" + strconv.Itoa(i/20),
			Capacity: msjob.Resources{CPU: 32_000, Memory: 64_000},
		}
		e.Registry.Set(entry)
		w := e.workerFor(entry.ID)
		w.Worker, w.registered, w.reported, w.reachable, w.cancel = entry, true, true, true, func() {}
	}
	step := msjob.Step{Count: 8, Need: msjob.Resources{CPU: 4000, Memory: 2000}, Estimate: 800 * time.Millisecond}
	second := step
	second.After = []int{0}
	for i := range workers + waiting {
		q := i % pools
		e.addJob(msjob.TableEntry{Job: &msjob.Job{
			ID: fmt.Sprintf("%016x", i), Queue: "queue-" + strconv.Itoa(q), Pool: "pool-" + strconv.Itoa(q),
			Team: "team-" + strconv.Itoa(i%max(teams, 1)), Spec: "run=1s", Steps: []msjob.Step{step, second}, Attempts: 3,
			Stretch: 1.6, Slack: time.Second, Accepted: time.Now(),
		}})
	}
	return e
}

// endAttempts ends n attempts, at most one on each worker, as reports would.
func endAttempts(e *Engine, n int, ends map[string]int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Clock.Now()
	for _, w := range e.workers {
		if n == 0 {
			return
		}
		for k := range w.runs {
			ends[w.ID]++
			e.handleEnd(w, msworker.End{Seq: ends[w.ID], Task: k.task, Attempt: k.attempt, Reason: msworker.EndStopped}, now)
			n--
			break
		}
	}
}

// BenchmarkPass measures one pass of a leader whose workers are all busy, with ten ends
// since the previous pass.
func BenchmarkPass(b *testing.B) {
	type size struct {
		name                           string
		workers, pools, teams, waiting int
	}
	sizes := []size{{"1x", 50, 4, 6, 25}, {"2x", 100, 4, 6, 50}, {"4x", 200, 4, 6, 100}, {"350-workers", 350, 5, 20, 175}, {"860-workers", 860, 135, 51, 430}}
	for _, workers := range []int{350, 1000, 3000} {
		for _, waiting := range []int{0, 100, 1000} {
			sizes = append(sizes, size{fmt.Sprintf("%d-workers-%d-waiting", workers, waiting), workers, 5, 20, waiting})
		}
	}
	for _, size := range sizes {
		b.Run(size.name, func(b *testing.B) {
			e := saturatedEngine(b, size.workers, size.pools, size.teams, size.waiting)
			e.Term = validTerm(b)
			ends := map[string]int64{}
			now := e.Clock.Now()
			e.mu.Lock()
			e.pass(now)
			e.mu.Unlock()
			b.ReportAllocs()
			b.ResetTimer()
			for b.Loop() {
				b.StopTimer()
				endAttempts(e, 10, ends)
				b.StartTimer()
				e.mu.Lock()
				e.pass(e.Clock.Now())
				e.unpublished = publication{}
				e.mu.Unlock()
			}
		})
	}
}

// BenchmarkChooseMoves measures one plan of the pools' sizes.
func BenchmarkChooseMoves(b *testing.B) {
	for _, workers := range []int{350, 3000} {
		b.Run(strconv.Itoa(workers)+"-workers", func(b *testing.B) {
			e := saturatedEngine(b, workers, 5, 20, 1000)
			e.Term = validTerm(b)
			for _, w := range e.workers {
				e.fleet.vms = append(e.fleet.vms, msworker.VM{Name: "vm-" + w.ID, Pool: w.Pool, Worker: w.ID, Rack: w.Rack, Up: true, Capacity: w.Capacity})
			}
			e.mu.Lock()
			e.pass(e.Clock.Now())
			e.mu.Unlock()
			b.ReportAllocs()
			for b.Loop() {
				e.chooseMoves()
			}
		})
	}
}

// validTerm returns a term that stays valid for as long as the benchmark runs.
func validTerm(tb testing.TB) msleader.Term {
	tb.Helper()
	log := &msstandin.JobLog{}
	terms := make(chan msleader.Term, 1)
	l := &msleader.Elector{
		Log: log.Log(), Clock: &msclock.Boot{}, Logger: zap.NewNop(), Stream: "leader", Holder: "a",
		Jitter: func() float64 { return 0 },
		Lead: func(ctx context.Context, t msleader.Term) error {
			terms <- t
			<-ctx.Done()
			return nil
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = l.Run(ctx) }()
	tb.Cleanup(func() { cancel(); <-done })
	return <-terms
}
