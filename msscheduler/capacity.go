package msscheduler

import (
	"context"
	"sort"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"marjoramspan/mscapacity"
	"marjoramspan/msjob"
	"marjoramspan/msworker"
)

// pools are the sizes of the pools and the turns of their queues. mu guards it.
type pools struct {
	turns mscapacity.BurstTracker
	home  map[string]int
	// arrivals is the work that comes in.
	arrivals mscapacity.Arrivals
	// leaving has the VMs that were ordered to another pool and when.
	leaving map[string]time.Time
	dirty   bool
}

// measurePools takes in the demand of each pool. The caller holds mu.
func (e *Engine) measurePools(now time.Time) []mscapacity.Pool {
	site := e.Sites.Site()
	if site == nil || len(e.fleet.vms) == 0 {
		return nil
	}
	by := map[string]*mscapacity.Pool{}
	for name, p := range site.Pools {
		by[name] = &mscapacity.Pool{Name: name, Spare: p.Spare}
	}
	for _, vm := range e.fleet.vms {
		p := by[vm.Pool]
		if p == nil {
			continue
		}
		p.Size++
		p.VMMilliCores = max(p.VMMilliCores, vm.Capacity.CPU)
	}
	e.demand(by)
	for name, p := range by {
		p.Demand = max(p.Demand, e.pools.arrivals.Rate(name, now))
	}
	for _, w := range e.workers {
		if p := by[w.Pool]; p != nil && w.hostsLasting() {
			p.LastingVMs++
		}
	}
	e.setHome(by)
	var all []mscapacity.Pool
	for _, p := range by {
		all = append(all, *p)
	}
	sort.Slice(all, func(i, k int) bool { return all[i].Name < all[k].Name })
	e.pools.turns.Observe(all, now)
	return all
}

// setHome takes the sizes first seen for those that operators gave.
func (e *Engine) setHome(by map[string]*mscapacity.Pool) {
	if e.pools.home == nil {
		if f, ok := e.Jobs.Fleet(); ok {
			e.pools.home = f.BaseSize
			e.pools.turns = mscapacity.BurstTracker{BurstEnded: f.BurstEnded, InBurst: f.InBurst, Peak: map[string]int64{}}
			if e.pools.turns.InBurst == nil {
				e.pools.turns.InBurst = map[string]bool{}
			}
			if e.pools.turns.BurstEnded == nil {
				e.pools.turns.BurstEnded = map[string]time.Time{}
			}
		} else {
			e.pools.home = map[string]int{}
		}
	}
	for name, p := range by {
		if _, ok := e.pools.home[name]; !ok && p.Size > 0 {
			e.pools.home[name] = p.Size
			e.pools.dirty = true
		}
		p.BaseSize = e.pools.home[name]
	}
}

// lateDemand is by how much the demand of late jobs is divided: they are served, but
// VMs that come for them are late as well.
const lateDemand = 4

// demand adds what runs and what could start now.
func (e *Engine) demand(by map[string]*mscapacity.Pool) {
	site := e.Sites.Site()
	wall := e.Wall.Now()
	for _, j := range e.active {
		p := by[poolOf(j.def, site)]
		if p == nil {
			continue
		}
		turn, _ := j.turn(wall)
		late := turn.Late()
		for _, round := range j.p.Occurrences {
			for s := range round.Steps {
				step := &j.def.Steps[s]
				if !round.Ready(j.def, s) {
					continue
				}
				n, waiting := int64(0), int64(0)
				for i := range round.Steps[s] {
					switch round.Steps[s][i].Phase {
					case msjob.Assigned:
						n++
					case msjob.Waiting:
						waiting++
					case msjob.Done:
					}
				}
				if late && !step.LongRunning {
					waiting /= lateDemand
				}
				n += waiting
				if step.LongRunning {
					p.Lasting += n * step.Reserved().CPU
				} else {
					p.Demand += n * step.Reserved().CPU
				}
			}
		}
	}
}

func (w *worker) hostsLasting() bool {
	for _, r := range w.runs {
		if s := r.step(); s != nil && s.LongRunning {
			return true
		}
	}
	return false
}

// vmOrdersAtOnce bounds the orders that are on their way: a turn lasts seconds and
// asks for a hundred VMs, and an order takes a few milliseconds.
const vmOrdersAtOnce = 6

// sizePools orders the moves that bring pools to their sizes, and says whether any
// was ordered.
func (e *Engine) sizePools(ctx context.Context) bool {
	moves, names := e.chooseMoves()
	var g errgroup.Group
	g.SetLimit(vmOrdersAtOnce)
	var stopped atomic.Bool
	for i, m := range moves {
		if stopped.Load() {
			break
		}
		g.Go(func() error {
			if !e.moveVM(ctx, m, names[i]) {
				stopped.Store(true)
			}
			return nil
		})
	}
	_ = g.Wait() // Each order notes its own failure.
	return len(moves) > 0
}

// chooseMoves returns the moves to order now, and keeps new tasks away from the
// workers of their VMs.
func (e *Engine) chooseMoves() ([]mscapacity.Move, []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Clock.Now()
	pools := e.measurePools(now)
	if pools == nil {
		return nil, nil
	}
	byName := map[string]msworker.VM{}
	var vms []mscapacity.VM
	spare := map[string]bool{}
	for _, p := range pools {
		spare[p.Name] = p.Spare
	}
	for _, vm := range e.fleet.vms {
		if !vm.Up || now.Sub(e.pools.leaving[vm.Name]) < leavingTime {
			continue
		}
		byName[vm.Name] = vm
		vms = append(vms, e.movable(vm, spare[vm.Pool]))
	}
	orders := e.pools.turns.Plan(pools, vms)
	for _, w := range e.workers {
		w.yielding = false
	}
	for _, name := range orders.Drain {
		if w := e.workers[byName[name].Worker]; w != nil {
			w.yielding = true
		}
	}
	var workers []string
	for _, m := range orders.Moves {
		id := byName[m.VM].Worker
		workers = append(workers, id)
		if w := e.workers[id]; w != nil {
			w.leaving = true
		}
		e.pools.leaving[m.VM] = now
	}
	return orders.Moves, workers
}

// movable describes a VM for the plan. VMs whose worker isn't known to run nothing,
// or that runs lasting tasks, stay.
func (e *Engine) movable(vm msworker.VM, spare bool) mscapacity.VM {
	v := mscapacity.VM{Name: vm.Name, Pool: vm.Pool, DataCentre: vm.DataCentre, Idle: spare}
	if spare {
		return v
	}
	w := e.workers[vm.Worker]
	if w == nil || !w.reachable || w.reserved || w.Draining || w.hostsLasting() {
		v.Pinned = true
		return v
	}
	v.Idle = len(w.runs) == 0 && w.acked == w.processed
	for _, r := range w.runs {
		v.Load += r.need.CPU
	}
	return v
}

// leavingTime is how long a VM is left alone after a move was ordered.
const leavingTime = 3 * time.Second

// moveVM orders a move and says whether to go on.
func (e *Engine) moveVM(ctx context.Context, m mscapacity.Move, worker string) bool {
	if !e.Term.Valid() {
		return false
	}
	octx, cancel := context.WithTimeout(ctx, vmTimeout)
	err := e.VMs.Move(octx, msworker.VMOrder{VM: m.VM, Holder: e.Holder, Token: e.Term.Epoch}, m.To)
	cancel()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Logger.Info("move ordered", zap.String("vm", m.VM), zap.String("worker", worker), zap.String("to", m.To), zap.Error(err))
	if err == nil {
		// The next plan counts the VM where it will be.
		for i := range e.fleet.vms {
			if vm := &e.fleet.vms[i]; vm.Name == m.VM {
				vm.Pool, vm.Up, vm.Moving = m.To, false, true
			}
		}
		return true
	}
	reason := msworker.VMReasonOf(err)
	if reason == msworker.VMFenced {
		e.depose(err)
		return false
	}
	if w := e.workers[worker]; w != nil && reason != msworker.VMUnknown {
		w.leaving = false
	}
	return ctx.Err() == nil
}

// settleMoves lets tasks onto workers again whose VM was not moved after all. The
// caller holds mu.
func (e *Engine) settleMoves(asked time.Time) {
	for _, vm := range e.fleet.vms {
		at, ok := e.pools.leaving[vm.Name]
		if !ok || asked.Sub(at) < leavingTime {
			continue
		}
		delete(e.pools.leaving, vm.Name)
		if w := e.workers[vm.Worker]; w != nil && vm.Up {
			w.leaving = false
		}
	}
}

// announcePools publishes the pools' sizes if they have changed. The caller holds mu.
func (e *Engine) announcePools() {
	if !e.pools.dirty {
		return
	}
	e.pools.dirty = false
	f := msjob.Fleet{BaseSize: e.pools.home, BurstEnded: e.pools.turns.BurstEnded, InBurst: e.pools.turns.InBurst}
	r, err := msjob.FleetRecord(&f)
	e.announce(err, r)
}
