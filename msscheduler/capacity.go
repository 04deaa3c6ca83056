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
	"marjoramspan/mssite"
	"marjoramspan/mswait"
	"marjoramspan/msworker"
	"marjoramspan/mszone"
)

// pools has the sizes of the pools and the bursts of their load. Engine.mu guards it.
type pools struct {
	bursts    mscapacity.BurstTracker
	baseSizes map[string]int
	// arrivals tracks the rate of arriving work.
	arrivals mscapacity.Arrivals
	// movedAt has the VMs that were ordered to another pool and when.
	movedAt map[string]time.Time
	dirty   bool
}

// measurePools returns the size and demand of each pool and passes them to the burst
// tracker. The caller holds mu.
func (e *Engine) measurePools(now time.Time) []mscapacity.Pool {
	site := e.Sites.Site()
	if site == nil || len(e.fleet.vms) == 0 {
		return nil
	}
	by := map[string]*mscapacity.Pool{}
	for name, p := range site.Pools {
		by[name] = &mscapacity.Pool{Name: name, Spare: p.Spare}
	}
	// VMs of evacuated data centres are in total only: they are no capacity.
	total, totalCPU := map[string]int{}, map[string]int64{}
	for _, vm := range e.fleet.vms {
		p := by[vm.Pool]
		if p == nil {
			continue
		}
		cpu := e.countedCPU(vm, now)
		total[vm.Pool]++
		totalCPU[vm.Pool] += cpu
		if _, ok := e.vmEvacuated(vm, now); ok {
			continue
		}
		p.Size++
		p.VMMilliCores += cpu
	}
	for name, p := range by {
		if p.Size > 0 {
			p.VMMilliCores /= int64(p.Size)
		} else if total[name] > 0 {
			p.VMMilliCores = totalCPU[name] / int64(total[name])
		}
	}
	e.addDemand(by, site)
	for name, p := range by {
		p.Demand = max(p.Demand, e.pools.arrivals.Rate(name, now))
	}
	for _, w := range e.workers {
		if p := by[w.Pool]; p != nil && w.hostsLongRunning() {
			p.LongRunningVMs++
		}
	}
	e.setBaseSizes(by, total)
	var all []mscapacity.Pool
	for _, p := range by {
		all = append(all, *p)
	}
	sort.Slice(all, func(i, k int) bool { return all[i].Name < all[k].Name })
	e.pools.bursts.Observe(all, now)
	return all
}

// countedCPU returns the CPU with which a VM counts: what its worker says, as that may
// shrink and grow while it runs, or what the VM list says if it has no worker.
func (e *Engine) countedCPU(vm msworker.VM, now time.Time) int64 {
	if w := e.workers[vm.Worker]; w != nil && w.exists(now) {
		return w.countedCPU(now)
	}
	return vm.Capacity.CPU
}

// setBaseSizes sets the base sizes. They are restored from the records; the first size
// seen of a pool without a record counts as the one that operators gave it.
func (e *Engine) setBaseSizes(by map[string]*mscapacity.Pool, total map[string]int) {
	if e.pools.baseSizes == nil {
		if f, ok := e.Jobs.Fleet(); ok {
			e.pools.baseSizes = f.BaseSize
			e.pools.bursts = mscapacity.BurstTracker{BurstEnded: f.BurstEnded, InBurst: f.InBurst, Peak: map[string]int64{}}
			if e.pools.bursts.InBurst == nil {
				e.pools.bursts.InBurst = map[string]bool{}
			}
			if e.pools.bursts.BurstEnded == nil {
				e.pools.bursts.BurstEnded = map[string]time.Time{}
			}
		}
		if e.pools.baseSizes == nil {
			e.pools.baseSizes = map[string]int{}
		}
	}
	for name, p := range by {
		if _, ok := e.pools.baseSizes[name]; !ok && total[name] > 0 {
			e.pools.baseSizes[name] = total[name]
			e.pools.dirty = true
		}
		p.BaseSize = e.pools.baseSizes[name]
	}
}

// lateDemandDivisor reduces the demand of late jobs: they are served, but VMs that move
// for them are late as well.
const lateDemandDivisor = 4

// addDemand adds the CPU of the tasks that run and of those that could start now, and what they
// need of VMs.
func (e *Engine) addDemand(by map[string]*mscapacity.Pool, site *mssite.Site) {
	wall := e.Wall.Now()
	together := map[needKey]int{}
	for _, j := range e.active {
		p := by[j.poolIn(site)]
		if p == nil {
			continue
		}
		candidate, _ := j.candidate(wall)
		late := candidate.Late()
		for _, r := range j.tasks().ready {
			step := &j.def.Steps[r.step]
			// An isolated task takes a worker for itself.
			p.Demand += int64(r.isolated) * max(0, p.VMMilliCores-step.Reserved().CPU)
			waiting := int64(r.waiting)
			if late && !step.LongRunning {
				waiting /= lateDemandDivisor
			}
			n := int64(r.assigned) + waiting
			if step.LongRunning {
				p.LongRunning += n * step.Reserved().CPU
			} else {
				p.Demand += n * step.Reserved().CPU
			}
			e.addNeed(p, j, &r, site, together)
		}
		p.Demand += j.demandOfDue() / int64(1+boolToInt(late)*(lateDemandDivisor-1))
	}
	for k, n := range together {
		p := by[k.pool]
		p.AddNeed(mscapacity.Need{Label: k.label, Size: k.size, Tasks: n})
	}
}

// needKey identifies long-running tasks that need room beside each other on the same VMs.
type needKey struct {
	pool, label string
	size        msjob.Resources
}

// addNeed adds what the tasks of a step need of the pool's VMs. together counts the long-running
// tasks that need a label.
func (e *Engine) addNeed(p *mscapacity.Pool, j *job, r *readyStep, site *mssite.Site, together map[needKey]int) {
	step := &j.def.Steps[r.step]
	n := mscapacity.Need{Label: step.Label, Size: step.Reserved(), Tasks: 1}
	all := step.LongRunning || step.Gang
	if all || r.assigned == 0 {
		waiting := min(r.waiting, e.teamHeadroom(j.def.Team, step.Need, site))
		if step.Gang && waiting < r.waiting {
			waiting = 0
		}
		if r.assigned+waiting == 0 || j.blocker == mswait.NewerSite {
			return
		}
		if all {
			n.Tasks, n.PerVM = r.assigned+waiting, step.MaxPerWorker
		}
	}
	if step.LongRunning {
		// A VM that is taken away leaves tasks that need another one.
		n.Reserve = step.MaxPerWorker
	}
	if step.LongRunning && step.Label != "" {
		together[needKey{pool: p.Name, label: n.Label, size: n.Size}] += n.Tasks
	}
	p.AddNeed(n)
}

func (w *worker) hostsLongRunning() bool {
	return w.attemptCounts().longRunning > 0
}

// maxConcurrentMoves bounds the move orders in flight: a burst lasts seconds and needs a
// hundred VMs, and an order takes a few milliseconds.
const maxConcurrentMoves = 6

// resizePools orders the moves that bring pools to their target sizes, and reports
// whether any was ordered.
func (e *Engine) resizePools(ctx context.Context) bool {
	moves, names := e.chooseMoves()
	vms := make([]string, len(moves))
	for i, m := range moves {
		vms[i] = m.VM
	}
	if !e.storeVMOrders(ctx, vms, false) {
		e.undoMoves(moves, names)
		return false
	}
	var g errgroup.Group
	g.SetLimit(maxConcurrentMoves)
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
	_ = g.Wait() // moveVM logs its own failures.
	return len(moves) > 0
}

// chooseMoves returns the moves to order now and the workers on their VMs, and keeps new
// tasks away from these workers.
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
	sparePool := ""
	for _, p := range pools {
		spare[p.Name] = p.Spare
		if p.Spare {
			sparePool = p.Name
		}
	}
	var evacuated []mszone.VM
	for _, vm := range e.fleet.vms {
		mayMove := vm.Up && now.Sub(e.pools.movedAt[vm.Name]) >= moveCooldown && e.vmOrders.mayOrder(vm.Name, now)
		byName[vm.Name] = vm
		v := e.vmToPlan(vm, spare[vm.Pool])
		v.Labels, v.Capacity = e.kindOf(vm, now)
		v.Absent = !spare[vm.Pool] && e.isAbsent(vm, now)
		if since, ok := e.vmEvacuated(vm, now); ok {
			if mayMove {
				evacuated = append(evacuated, mszone.VM{Name: v.Name, Pool: v.Pool, Idle: v.Idle, Pinned: v.Pinned, Evacuated: since})
			}
			continue
		}
		// A VM that can't be moved now counts for the needs of its pool: it is there, or is
		// being moved or maintained and will be, unless it is absent.
		v.Pinned = v.Pinned || !mayMove
		vms = append(vms, v)
	}
	orders := e.pools.bursts.Plan(pools, vms)
	for _, name := range mszone.Releases(evacuated, sparePool) {
		orders.Moves = append(orders.Moves, mscapacity.Move{VM: name, To: sparePool})
	}
	for _, w := range e.workers {
		w.scalingDown = false
	}
	for _, name := range orders.Drain {
		if w := e.workers[byName[name].Worker]; w != nil {
			w.scalingDown = true
		}
	}
	var workers []string
	for _, m := range orders.Moves {
		id := byName[m.VM].Worker
		workers = append(workers, id)
		if w := e.workers[id]; w != nil {
			w.moving = true
		}
		e.pools.movedAt[m.VM] = now
	}
	return orders.Moves, workers
}

// kindOf returns the labels and the capacity of a VM: what is known of its worker, or what the VM
// list says if the worker isn't usable.
func (e *Engine) kindOf(vm msworker.VM, now time.Time) ([]string, msjob.Resources) {
	if w := e.workers[vm.Worker]; w != nil && w.usable(now) {
		return w.Labels, w.Capacity
	}
	return vm.Labels, vm.Capacity
}

// absenceGrace is how long a VM that is down, or whose worker doesn't answer, counts for the needs
// of its pool. A VM that crashes is back sooner than another one comes.
const absenceGrace = 3 * time.Second

// isAbsent reports whether a VM has been out of service for longer than absenceGrace, neither moved
// nor maintained.
func (e *Engine) isAbsent(vm msworker.VM, now time.Time) bool {
	since, down := e.fleet.downSince[vm.Name]
	if w := e.workers[vm.Worker]; !down && vm.Up && w != nil && !w.reachable {
		since, down = w.unreachableSince, true
		if w.terminatedAt.After(since) {
			since = w.terminatedAt
		}
	}
	return down && now.Sub(since) >= absenceGrace
}

// undoMoves takes back moves that were chosen and not ordered.
func (e *Engine) undoMoves(moves []mscapacity.Move, workers []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, m := range moves {
		delete(e.pools.movedAt, m.VM)
		if w := e.workers[workers[i]]; w != nil {
			w.moving = false
		}
	}
}

// vmToPlan describes a VM for the plan. A VM is pinned if the state of its worker is
// unknown, or the worker is reserved, draining, or has long-running tasks.
func (e *Engine) vmToPlan(vm msworker.VM, spare bool) mscapacity.VM {
	v := mscapacity.VM{Name: vm.Name, Pool: vm.Pool, DataCentre: vm.DataCentre, Idle: spare}
	if spare {
		return v
	}
	w := e.workers[vm.Worker]
	if w == nil || !w.reachable || w.reserved || w.Draining || w.hostsLongRunning() {
		v.Pinned = true
		return v
	}
	v.Idle = len(w.runs) == 0 && w.acked == w.processed
	for _, r := range w.runs {
		v.Load += r.need.CPU
	}
	return v
}

// moveCooldown is how long a VM is left alone after a move was ordered.
const moveCooldown = 3 * time.Second

// moveVM orders a move and reports whether to go on with the next one.
func (e *Engine) moveVM(ctx context.Context, m mscapacity.Move, worker string) bool {
	if !e.Term.Valid() {
		return false
	}
	octx, cancel := context.WithTimeout(ctx, vmTimeout)
	err := e.VMs.Move(octx, msworker.VMOrder{VM: m.VM, Holder: e.Holder, Token: e.Term.Epoch}, m.To)
	cancel()
	e.mu.Lock()
	defer e.mu.Unlock()
	if err == nil || msworker.VMReasonOf(err) != msworker.VMUnknown {
		e.vmOrders.settle(m.VM, e.Clock.Now().Add(e.Settings.MinHolderInterval))
	}
	e.Logger.Info("move ordered", zap.String("vm", m.VM), zap.String("worker", worker), zap.String("to", m.To), zap.Bool("for-need", m.ForNeed), zap.Error(err))
	if err == nil {
		e.fleet.noteOrder(m.VM, e.Clock.Now())
		// The next plan counts the VM in its new pool.
		for i := range e.fleet.vms {
			if vm := &e.fleet.vms[i]; vm.Name == m.VM {
				vm.Pool, vm.Up, vm.Moving = m.To, false, true
			}
		}
		return true
	}
	reason := msworker.VMReasonOf(err)
	if reason == msworker.VMFenced {
		e.endTerm(err)
		return false
	}
	if w := e.workers[worker]; w != nil && reason != msworker.VMUnknown {
		w.moving = false
	}
	return ctx.Err() == nil
}

// releaseUnmoved allows tasks again on workers whose VM was not moved after all. The
// caller holds mu.
func (e *Engine) releaseUnmoved(asked time.Time) {
	for _, vm := range e.fleet.vms {
		at, ok := e.pools.movedAt[vm.Name]
		if !ok || asked.Sub(at) < moveCooldown {
			continue
		}
		delete(e.pools.movedAt, vm.Name)
		if w := e.workers[vm.Worker]; w != nil && vm.Up {
			w.moving = false
		}
	}
}

// publishPools publishes the sizes of the pools, and the images that interfere, if they have
// changed. The caller holds
// mu.
func (e *Engine) publishPools() {
	due := e.pools.baseSizes != nil && e.interference.table.RecordDue(e.Clock.Now())
	if !e.pools.dirty && !due {
		return
	}
	e.pools.dirty = false
	f := msjob.Fleet{BaseSize: e.pools.baseSizes, BurstEnded: e.pools.bursts.BurstEnded, InBurst: e.pools.bursts.InBurst}
	f.Interference = e.interference.table.Record(e.Clock.Now(), e.Wall.Now())
	r, err := msjob.FleetRecord(&f)
	e.enqueue(err, r)
}
