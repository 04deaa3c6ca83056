package msscheduler

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"marjoramspan/msclock"
	"marjoramspan/msroster"
	"marjoramspan/msworker"
)

const (
	// vmPollInterval is the time between two checks whether waves or pool sizes need VM
	// orders.
	vmPollInterval = 120 * time.Millisecond
	// vmListMaxAge is how old the VM list may be while nothing changes.
	vmListMaxAge = 1500 * time.Millisecond
	// vmListMaxAgeBusy is the same while VMs change or workers are unreachable.
	vmListMaxAgeBusy = 350 * time.Millisecond
	// vmTimeout bounds one call of the VM service.
	vmTimeout = 900 * time.Millisecond
)

// fleet is the latest VM list. Engine.mu guards it.
type fleet struct {
	vms    []msworker.VM
	readAt time.Time
	// endedAt is when a list first showed that a VM's worker had ended, neither moved nor
	// maintained.
	endedAt map[string]time.Time
	// workerEndedAt is the same by the worker's ID.
	workerEndedAt map[string]time.Time
	// downSince is since when lists have shown a VM down, neither moved nor maintained.
	downSince map[string]time.Time
	// awaySince is since when lists have shown a VM not up. orderedAt is when an order to move or
	// maintain a VM was carried out, until a later list shows it up.
	awaySince, orderedAt map[string]time.Time
}

// noteOrder notes that an order to move or maintain a VM was carried out.
func (f *fleet) noteOrder(vm string, now time.Time) {
	if f.orderedAt == nil {
		f.orderedAt = map[string]time.Time{}
	}
	f.orderedAt[vm] = now
}

// lagsBehind reports whether the list, requested at asked, shows a VM as it was before a life of
// its worker that was first seen at seenAt.
func (f *fleet) lagsBehind(vm *msworker.VM, seenAt, asked time.Time) bool {
	if vm == nil {
		return true // A list is read in pages, and one that changes can lack a VM.
	}
	if vm.Up {
		return false
	}
	return msroster.ListLags(seenAt, f.orderedAt[vm.Name], f.awaySince[vm.Name], asked)
}

// isOfEarlierLife reports whether the list, requested at asked, may show a VM as it was before a
// life of its worker that was first seen at seenAt: the VM has been away in each list since before
// then, and lists that lag don't lag for longer.
func (f *fleet) isOfEarlierLife(name string, seenAt, asked time.Time) bool {
	vm := f.find(name)
	since, away := f.awaySince[name]
	return vm != nil && !vm.Up && away && seenAt.After(since) && asked.Sub(seenAt) < msroster.MaxListAge
}

// set replaces the list by one that was requested at asked.
func (f *fleet) set(vms []msworker.VM, asked, now time.Time) {
	before := make(map[string]*msworker.VM, len(f.vms))
	for i := range f.vms {
		before[f.vms[i].Name] = &f.vms[i]
	}
	ended, down, away := map[string]time.Time{}, map[string]time.Time{}, map[string]time.Time{}
	workers := map[string]time.Time{}
	for id, at := range f.workerEndedAt {
		if now.Sub(at) < rackFailureSpan {
			workers[id] = at
		}
	}
	for i := range vms {
		vm := &vms[i]
		if !vm.Up && !vm.Moving && !vm.Maintained {
			down[vm.Name] = asked
			if at, ok := f.downSince[vm.Name]; ok {
				down[vm.Name] = at
			}
		}
		if !vm.Up {
			away[vm.Name] = asked
			if at, ok := f.awaySince[vm.Name]; ok {
				away[vm.Name] = at
			}
		} else if f.orderedAt[vm.Name].Before(asked) {
			delete(f.orderedAt, vm.Name)
		}
		if at, ok := f.endedAt[vm.Name]; ok && now.Sub(at) < rackFailureSpan {
			ended[vm.Name] = at
		}
		old := before[vm.Name]
		if old != nil && old.Up && old.Worker != "" && old.Worker != vm.Worker && old.Pool == vm.Pool && !vm.Maintained && !vm.Moving {
			ended[vm.Name], workers[old.Worker] = now, now
		}
	}
	f.vms, f.readAt, f.endedAt, f.workerEndedAt, f.downSince, f.awaySince = vms, asked, ended, workers, down, away
}

// manageVMs refreshes the VM list, runs maintenance waves and resizes pools until ctx is
// done.
func (e *Engine) manageVMs(ctx context.Context) {
	for ctx.Err() == nil {
		if vms, ok := e.currentVMs(ctx); ok && e.Term.Valid() {
			e.runWaves(ctx, e.openWaves(), vms)
			e.resizePools(ctx)
			e.pruneVMOrders(ctx)
		}
		_ = msclock.Sleep(ctx, e.Clock, vmPollInterval)
	}
}

// currentVMs returns the VM list, and refreshes it first if it may be out of date.
func (e *Engine) currentVMs(ctx context.Context) ([]msworker.VM, bool) {
	e.mu.Lock()
	known, age := e.fleet.vms, e.Clock.Now().Sub(e.fleet.readAt)
	limit := vmListMaxAge
	if e.vmsChanging() {
		limit = vmListMaxAgeBusy
	}
	fresh := known != nil && age < limit
	e.mu.Unlock()
	if fresh {
		return known, true
	}
	vms, err := e.listVMs(ctx)
	return vms, err == nil
}

// vmsChanging reports whether a VM is being moved, a wave is open, or a worker is
// unreachable. The caller holds mu.
func (e *Engine) vmsChanging() bool {
	if len(e.pools.movedAt) > 0 {
		return true
	}
	for _, w := range e.waves {
		if !w.p.Completed {
			return true
		}
	}
	now := e.Clock.Now()
	for _, w := range e.workers {
		if !w.reachable || w.outdated(now) {
			return true
		}
	}
	return false
}

func (e *Engine) listVMs(ctx context.Context) ([]msworker.VM, error) {
	lctx, cancel := context.WithTimeout(ctx, vmTimeout)
	defer cancel()
	asked := e.Clock.Now()
	vms, err := e.VMs.List(lctx)
	if err != nil {
		if ctx.Err() == nil {
			e.Logger.Warn("VMs not listed", zap.Error(err))
		}
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.applyVMs(vms, asked)
	return vms, nil
}

// applyVMs terminates the workers whose VM now runs another worker or, if they don't answer, is
// no longer there, and gives up the attempts on unreachable workers whose VM is down. asked is
// when the list was requested.
func (e *Engine) applyVMs(vms []msworker.VM, asked time.Time) {
	now := e.Clock.Now()
	e.fleet.set(vms, asked, now)
	e.releaseUnmoved(asked)
	e.forgetEnds(now)
	of := make(map[string]*msworker.VM, len(vms))
	for i := range vms {
		of[vms[i].Worker] = &vms[i]
		if w := e.workers[vms[i].Worker]; w != nil {
			w.vm, w.vmDataCentre = vms[i].Name, vms[i].DataCentre
		}
	}
	for id, w := range e.workers {
		vm := of[id]
		w.noteListed(vm, asked)
		w.crashed = w.crashed || w.reported && !w.reachable && vm == nil && e.endOf(w, now) == endedByCrash
		switch {
		case w.terminated:
			if next := e.returned(w); next != w && vm != nil {
				next.vm, next.vmDataCentre = vm.Name, vm.DataCentre
				next.noteListed(vm, asked)
			}
		case vm != nil && vm.Up:
			if w.maintenanceSince.Before(asked) {
				w.maintenanceSince = time.Time{}
			}
		case vm == nil && w.vm == "" && w.registered:
			// The worker has just joined and isn't in this list yet, unless it has left again.
			if w.reported && !w.reachable && asked.After(w.unreachableSince) && e.endOf(w, now) == endedByCrash {
				e.endWorker(w, "its VM is down or another worker")
			}
		case w.reachable && e.fleet.lagsBehind(e.fleet.find(w.vmName()), w.lifeSeenAt(), asked):
			// A worker that has ended won't answer the next request.
		case e.fleet.isOfEarlierLife(w.vmName(), w.lifeSeenAt(), asked):
			// A worker that is cut off soon after a restart goes on.
		case vm == nil || vm.Maintained || vm.Moving:
			e.endWorker(w, "its VM is away or another worker")
		case !w.reachable:
			// A VM that is down may come back with the same worker.
			var runs []*run
			for _, r := range w.runs {
				if r.orderedAt.Before(asked) {
					runs = append(runs, r)
				}
			}
			e.giveUp(w, runs, e.endOf(w, now), "VM down", "its VM is down")
		}
	}
}

// noteListed notes the worker's row in a list of VMs that was requested at asked, or nil.
func (w *worker) noteListed(vm *msworker.VM, asked time.Time) {
	if vm == nil {
		w.listedAt = time.Time{}
	} else {
		w.listed, w.listedAt = *vm, asked
	}
	w.sourcesChanged()
}

// lifeSeenAt is when the present life of the worker was first seen to answer.
func (w *worker) lifeSeenAt() time.Time {
	if w.processSeenAt.After(w.firstReportAt) {
		return w.processSeenAt
	}
	return w.firstReportAt
}

func (e *Engine) runWaves(ctx context.Context, waves []*wave, vms []msworker.VM) {
	for _, w := range waves {
		e.runWave(ctx, w, vms)
	}
}

// endWorker gives up a worker whose VM is away. While another life under its ID may still carry out a
// start, the worker is kept, and only its attempts are given up.
func (e *Engine) endWorker(w *worker, reason string) {
	now := e.Clock.Now()
	if !slices.ContainsFunc(w.allRuns(), func(r *run) bool { return e.mayStartLate(r, now) }) {
		e.terminateWorker(w, reason)
		return
	}
	if w.reachable {
		w.reachable, w.unreachableSince = false, now
	}
	e.giveUp(w, w.allRuns(), e.endOf(w, now), reason, reason)
}

// terminateWorker marks a worker as terminated and gives up its attempts.
func (e *Engine) terminateWorker(w *worker, reason string) {
	end := e.endOf(w, e.Clock.Now())
	runs := w.allRuns()
	e.Logger.Info("worker given up", zap.String("worker", w.ID), zap.String("pool", w.Pool), zap.String("vm", w.vm), zap.String("reason", reason), zap.Int("runs", len(runs)))
	e.noteEnd(w, end, reason, runs)
	w.terminated, w.terminatedAt, w.reachable = true, e.Clock.Now(), false
	if w.cancel != nil {
		w.cancel()
	}
	for _, r := range runs {
		e.markLost(r, end, reason)
	}
	e.wakeLoop()
}
