package msscheduler

import (
	"context"
	"errors"
	"math"
	"slices"
	"sort"
	"time"

	"go.uber.org/zap"

	"marjoramspan/msjob"
	"marjoramspan/msjournal"
	"marjoramspan/mssite"
	"marjoramspan/msworker"
)

// wave is a maintenance wave and its progress. Engine.mu guards it.
type wave struct {
	mssite.Wave
	p    msjob.Wave
	done map[string]bool
	// orderedAt has when the maintenance of a VM was last ordered.
	orderedAt     map[string]time.Time
	startReported bool
	// dirty says that p has changed since it was last stored.
	dirty bool
}

const (
	// waveTimeReserve is the fraction of a wave's time that is kept for VMs that are
	// late.
	waveTimeReserve = 0.25
	// drainTime is how long the tasks on a VM take to end.
	drainTime = 1500 * time.Millisecond
)

// openWaves returns the waves that aren't completed, oldest first.
func (e *Engine) openWaves() []*wave {
	all := e.Sites.Waves()
	stored := map[int64]msjob.Wave{}
	for _, w := range all {
		if p, ok := e.Jobs.Wave(w.ID); ok {
			stored[w.ID] = p
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	var open []*wave
	for _, s := range all {
		w := e.waves[s.ID]
		if w == nil {
			w = &wave{Wave: s, done: map[string]bool{}, orderedAt: map[string]time.Time{}}
			p, ok := stored[s.ID]
			if !ok {
				p, w.dirty = msjob.Wave{ID: s.ID, Begun: e.Wall.Now().UTC()}, true
			}
			w.p = p
			for _, vm := range p.Done {
				w.done[vm] = true
			}
			e.waves[s.ID] = w
		}
		if !w.p.Completed {
			open = append(open, w)
		}
	}
	sort.Slice(open, func(i, k int) bool { return open[i].ID < open[k].ID })
	return open
}

// publishWaves publishes the waves that have changed. The caller holds mu.
func (e *Engine) publishWaves() {
	for _, w := range e.waves {
		if !w.dirty {
			continue
		}
		w.dirty = false
		r, err := msjob.WaveRecord(&w.p)
		e.enqueue(err, r)
	}
}

// runWave orders the maintenance of as many VMs as may be unavailable now.
func (e *Engine) runWave(ctx context.Context, w *wave, vms []msworker.VM) {
	if !w.startReported {
		if err := e.reportWave(ctx, w.ID, false); err != nil {
			e.Logger.Warn("failed to report wave", zap.Int64("wave", w.ID), zap.Error(err))
		} else {
			w.startReported = true
		}
	}
	byName := make(map[string]msworker.VM, len(vms))
	for _, vm := range vms {
		byName[vm.Name] = vm
	}
	chosen, left := e.chooseVMsToMaintain(w, byName)
	if left == 0 {
		e.completeWave(ctx, w)
		return
	}
	names := make([]string, len(chosen))
	for i, vm := range chosen {
		names[i] = vm.Name
	}
	if !e.storeVMOrders(ctx, names, true) {
		return
	}
	for _, vm := range chosen {
		if !e.orderMaintenance(ctx, w, vm) {
			return
		}
	}
	if len(chosen) > 0 {
		_, _ = e.listVMs(ctx) // listVMs logs a failure, and the next poll retries.
	}
}

// reportTimeout bounds the time until operators are told of a wave. What can't be stored in it
// is tried again later.
const reportTimeout = time.Second

// reportWave tells operators that a wave has started or is completed. Reports of earlier
// leaders that are carried out late are fenced off.
func (e *Engine) reportWave(ctx context.Context, wave int64, completed bool) error {
	r, err := e.Report(wave, completed)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	err = e.storeInTurn(ctx, &e.reports, []msjournal.Record{r})
	if kind := msjournal.KindOf(err); err != nil && (kind == msjournal.Fenced || kind == msjournal.OutOfSequence) {
		e.endTerm(err)
	}
	return err
}

func (e *Engine) completeWave(ctx context.Context, w *wave) {
	if err := e.reportWave(ctx, w.ID, true); err != nil {
		e.Logger.Warn("failed to report wave", zap.Int64("wave", w.ID), zap.Error(err))
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	w.p.Completed, w.dirty = true, true
	e.Logger.Info("wave completed", zap.Int64("wave", w.ID), zap.Int("vms", len(w.VMs)))
	e.wakeLoop()
}

// chooseVMsToMaintain returns the VMs to maintain now, those with the lowest disruption
// cost first, and how many still need maintenance. It reserves the workers of the next
// VMs, so that they get no new tasks.
func (e *Engine) chooseVMsToMaintain(w *wave, vms map[string]msworker.VM) ([]msworker.VM, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Clock.Now()
	unavailable := 0
	open := map[string]bool{}
	var left []msworker.VM
	for _, name := range w.VMs {
		vm, ok := vms[name]
		// A VM that is no longer listed needs no maintenance.
		if !ok {
			continue
		}
		if !w.done[name] {
			left = append(left, vm)
			// The order may have been given by an earlier leader.
			open[name] = e.vmOrders.mayBeMaintained(name, now)
		} else if wk := e.workers[vm.Worker]; wk != nil {
			wk.reserved = false
		}
		if vm.Maintained || open[name] || !w.orderedAt[name].IsZero() && now.Sub(w.orderedAt[name]) < e.Settings.MaintenanceDuration+vmPollInterval {
			unavailable++
		}
	}
	e.sortByCost(left)
	// What is open is ordered first: only its answer, or time, shows that it won't begin late.
	slices.SortStableFunc(left, func(a, b msworker.VM) int { return boolToInt(open[b.Name]) - boolToInt(open[a.Name]) })
	concurrency := e.waveConcurrency(w, len(left))
	var chosen []msworker.VM
	taken := map[stepKey]int{}
	reserved := unavailable
	for _, vm := range left {
		wk := e.workers[vm.Worker]
		if wk != nil {
			wk.reserved = false
		}
		if reserved > concurrency && !open[vm.Name] || !vm.Up || !e.vmOrders.mayOrder(vm.Name, now) {
			continue
		}
		if wk != nil {
			wk.reserved = true
		}
		// An open one is counted already.
		fits := unavailable <= w.MaxUnavailable
		if !open[vm.Name] {
			reserved++
			fits = unavailable < min(concurrency, w.MaxUnavailable)
		}
		if fits && e.isDrained(vm) && e.mayDisrupt(vm, taken) {
			chosen = append(chosen, vm)
			e.addLongRunning(vm, taken)
			if !open[vm.Name] {
				unavailable++
			}
		}
	}
	return chosen, len(left)
}

// waveConcurrency is how many VMs to maintain at a time, so that a wave with left VMs to
// do ends within its time. It is no higher than that, as each VM takes capacity from the
// load.
func (e *Engine) waveConcurrency(w *wave, left int) int {
	until := w.p.Begun.Add(time.Duration(float64(w.MaxDuration) * (1 - waveTimeReserve)))
	remaining := until.Sub(e.Wall.Now())
	each := e.Settings.MaintenanceDuration + drainTime
	if remaining <= each {
		return w.MaxUnavailable
	}
	return min(w.MaxUnavailable, max(1, int(math.Ceil(float64(left)*float64(each)/float64(remaining)))))
}

// sortByCost sorts VMs: those already reserved first, then by disruption cost.
func (e *Engine) sortByCost(vms []msworker.VM) {
	reserved := func(vm msworker.VM) bool {
		w := e.workers[vm.Worker]
		return w != nil && w.reserved
	}
	sort.SliceStable(vms, func(i, k int) bool {
		if ri, rk := reserved(vms[i]), reserved(vms[k]); ri != rk {
			return ri
		}
		return e.disruptionCost(vms[i]) < e.disruptionCost(vms[k])
	})
}

// disruptionCost is the cost of taking down a VM. Long-running tasks, which have to
// start again elsewhere, weigh most; other tasks have to end first and count with their
// CPU.
func (e *Engine) disruptionCost(vm msworker.VM) float64 {
	w := e.workers[vm.Worker]
	if w == nil {
		return 0
	}
	sum := 0.0
	for _, r := range w.runs {
		if s := r.step(); s != nil && s.LongRunning {
			sum += longRunningCost
		}
		sum += float64(r.need.CPU) / 1000
	}
	return sum
}

// longRunningCost is the cost of one long-running task, in cores of other tasks.
const longRunningCost = 20

// isDrained reports whether only long-running tasks run on the VM and every end that its
// worker has listed is stored: an end that isn't stored would be lost with the worker,
// and its task would run again.
func (e *Engine) isDrained(vm msworker.VM) bool {
	w := e.workers[vm.Worker]
	if w == nil {
		return true
	}
	if w.acked != w.processed {
		return false
	}
	for _, r := range w.runs {
		if s := r.step(); s != nil && !s.LongRunning {
			return false
		}
	}
	return true
}

// stepKey identifies a step of an occurrence.
type stepKey struct {
	job              string
	occurrence, step int
}

// addLongRunning adds the long-running tasks on a VM to taken.
func (e *Engine) addLongRunning(vm msworker.VM, taken map[stepKey]int) {
	if w := e.workers[vm.Worker]; w != nil {
		e.countLongRunning(w, taken)
	}
}

// mayDisrupt reports whether taking down the VM, in addition to the tasks in taken,
// keeps every long-running step within its MaxUnavailable.
func (e *Engine) mayDisrupt(vm msworker.VM, taken map[stepKey]int) bool {
	w := e.workers[vm.Worker]
	if w == nil {
		return true
	}
	onVM := map[stepKey]int{}
	e.addLongRunning(vm, onVM)
	for k, n := range onVM {
		j := e.jobs[k.job]
		if e.unavailableElsewhere(j, k.occurrence, k.step, w)+taken[k]+n > max(j.def.Steps[k.step].MaxUnavailable, 1) {
			return false
		}
	}
	return true
}

// unavailableElsewhere counts the tasks of a long-running step that aren't serving,
// without those on w.
func (e *Engine) unavailableElsewhere(j *job, k, step int, w *worker) int {
	occurrence := j.p.Occurrences[k]
	if occurrence == nil {
		return 0
	}
	unavailable := 0
	for i := range occurrence.Steps[step] {
		t := &occurrence.Steps[step][i]
		id := msjob.TaskID{Job: j.def.ID, Occurrence: k, Step: step, Index: i}
		r := e.runs[runKey{task: id, attempt: t.Attempt}]
		switch {
		case r != nil && r.w == w:
		case t.Phase != msjob.Assigned || r == nil || r.state != runStarted || r.percent < fullPercent || !r.w.reachable || r.w.terminated || !r.w.maintenanceSince.IsZero():
			unavailable++
		}
	}
	return unavailable
}

// reserveForMaintenance counts the tasks on a VM as unavailable, if they may be. It
// checks again, as other tasks may have become unavailable since the VM was chosen.
func (e *Engine) reserveForMaintenance(vm msworker.VM) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.isDrained(vm) || !e.mayDisrupt(vm, map[stepKey]int{}) {
		return false
	}
	if w := e.workers[vm.Worker]; w != nil {
		w.maintenanceSince = e.Clock.Now()
	}
	return true
}

// orderMaintenance orders the maintenance of a VM and reports whether to go on with the
// next one.
func (e *Engine) orderMaintenance(ctx context.Context, wv *wave, vm msworker.VM) bool {
	if !e.Term.Valid() {
		return false
	}
	if !e.reserveForMaintenance(vm) {
		e.mu.Lock()
		e.vmOrders.endMaintenance(vm.Name, false)
		e.mu.Unlock()
		return true
	}
	octx, cancel := context.WithTimeout(ctx, vmTimeout)
	err := e.VMs.Maintain(octx, msworker.VMOrder{VM: vm.Name, Holder: e.Holder, Token: e.Term.Epoch}, wv.ID)
	cancel()
	e.mu.Lock()
	defer e.mu.Unlock()
	reason := msworker.VMReasonOf(err)
	if err == nil || reason != msworker.VMUnknown {
		e.vmOrders.settle(vm.Name, e.Clock.Now().Add(e.Settings.MinHolderInterval))
	}
	if reason == msworker.VMUnknown && err != nil {
		e.vmOrders.loseMaintenance(vm.Name, e.Clock.Now())
	} else {
		e.vmOrders.endMaintenance(vm.Name, err == nil || reason == msworker.VMNotInWave)
	}
	switch {
	case err == nil || reason == msworker.VMNotInWave:
		// The answer is the same if an earlier leader's order was carried out, so the
		// state of the worker is read from the VM list.
		wv.done[vm.Name], wv.dirty = true, true
		wv.p.Done = append(wv.p.Done, vm.Name)
		wv.orderedAt[vm.Name] = e.Clock.Now()
		if err == nil {
			e.fleet.noteOrder(vm.Name, e.Clock.Now())
		}
		e.wakeLoop()
	case reason == msworker.VMFenced:
		e.endTerm(err)
	case reason == msworker.VMUnknown:
		// The order may be carried out, so the VM counts as unavailable.
		wv.orderedAt[vm.Name] = e.Clock.Now()
	}
	if w := e.workers[vm.Worker]; w != nil && reason != msworker.VMUnknown {
		w.reserved, w.maintenanceSince = false, time.Time{}
	}
	e.Logger.Info("maintenance ordered", zap.Int64("wave", wv.ID), zap.String("vm", vm.Name), zap.String("worker", vm.Worker), zap.Error(err))
	return err == nil || !errors.Is(err, context.Canceled) && reason != msworker.VMFenced
}
