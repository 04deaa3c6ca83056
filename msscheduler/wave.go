package msscheduler

import (
	"context"
	"errors"
	"math"
	"sort"
	"time"

	"go.uber.org/zap"

	"marjoramspan/msjob"
	"marjoramspan/mssite"
	"marjoramspan/msworker"
)

// wave is a wave of maintenance and how far it has come. mu guards it.
type wave struct {
	mssite.Wave
	p    msjob.Wave
	done map[string]bool
	// ordered has when the maintenance of a VM was last ordered.
	ordered   map[string]time.Time
	announced bool
	// dirty says that p has changed since it was last stored.
	dirty bool
}

const (
	// waveReserve is the share of a wave's time that is kept for VMs that are late.
	waveReserve = 0.25
	// drainTime is how long a VM takes until the tasks on it have ended.
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
			w = &wave{Wave: s, done: map[string]bool{}, ordered: map[string]time.Time{}}
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

// announceWaves publishes the waves that have changed. The caller holds mu.
func (e *Engine) announceWaves() {
	for _, w := range e.waves {
		if !w.dirty {
			continue
		}
		w.dirty = false
		r, err := msjob.WaveRecord(&w.p)
		e.announce(err, r)
	}
}

// runWave orders the maintenance of as many VMs as may be away now.
func (e *Engine) runWave(ctx context.Context, w *wave, vms []msworker.VM) {
	if !w.announced {
		if err := e.Report(ctx, w.ID, false); err != nil {
			e.Logger.Warn("wave not reported", zap.Int64("wave", w.ID), zap.Error(err))
		} else {
			w.announced = true
		}
	}
	byName := make(map[string]msworker.VM, len(vms))
	for _, vm := range vms {
		byName[vm.Name] = vm
	}
	chosen, left := e.chooseMaintained(w, byName)
	if left == 0 {
		e.completeWave(ctx, w)
		return
	}
	for _, vm := range chosen {
		if !e.maintain(ctx, w, vm) {
			return
		}
	}
	if len(chosen) > 0 {
		_, _ = e.listVMs(ctx) // A failure is logged, and the next look makes up for it.
	}
}

func (e *Engine) completeWave(ctx context.Context, w *wave) {
	if err := e.Report(ctx, w.ID, true); err != nil {
		e.Logger.Warn("wave not reported", zap.Int64("wave", w.ID), zap.Error(err))
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	w.p.Completed, w.dirty = true, true
	e.Logger.Info("wave completed", zap.Int64("wave", w.ID), zap.Int("vms", len(w.VMs)))
	e.kick()
}

// chooseMaintained returns the VMs to maintain now, those on which least runs
// first, and how many still need it. It keeps new tasks away from those that go
// next.
func (e *Engine) chooseMaintained(w *wave, vms map[string]msworker.VM) ([]msworker.VM, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Clock.Now()
	away := 0
	var left []msworker.VM
	for _, name := range w.VMs {
		vm, ok := vms[name]
		// A VM that is no longer listed doesn't stay.
		if !ok {
			continue
		}
		if !w.done[name] {
			left = append(left, vm)
		} else if wk := e.workers[vm.Worker]; wk != nil {
			wk.reserved = false
		}
		if vm.Maintained || !w.ordered[name].IsZero() && now.Sub(w.ordered[name]) < e.Settings.MaintenanceTime+vmPoll {
			away++
		}
	}
	e.orderByCost(left)
	width := e.waveWidth(w, len(left))
	var chosen []msworker.VM
	taken := map[stepKey]int{}
	reserved := away
	for _, vm := range left {
		wk := e.workers[vm.Worker]
		if wk != nil {
			wk.reserved = false
		}
		if reserved > width || !vm.Up {
			continue
		}
		reserved++
		if wk != nil {
			wk.reserved = true
		}
		if away+len(chosen) < min(width, w.MaxUnavailable) && e.isDrained(vm) && e.mayTake(vm, taken) {
			chosen = append(chosen, vm)
			e.take(vm, taken)
		}
	}
	return chosen, len(left)
}

// waveWidth is how many VMs to maintain at a time, so that a wave of left VMs ends
// within its time, and no more: each takes room from the load.
func (e *Engine) waveWidth(w *wave, left int) int {
	until := w.p.Begun.Add(time.Duration(float64(w.MaxDuration) * (1 - waveReserve)))
	remaining := until.Sub(e.Wall.Now())
	each := e.Settings.MaintenanceTime + drainTime
	if remaining <= each {
		return w.MaxUnavailable
	}
	return min(w.MaxUnavailable, max(1, int(math.Ceil(float64(left)*float64(each)/float64(remaining)))))
}

// orderByCost sorts VMs: those already kept free first, then by what runs there.
func (e *Engine) orderByCost(vms []msworker.VM) {
	reserved := func(vm msworker.VM) bool {
		w := e.workers[vm.Worker]
		return w != nil && w.reserved
	}
	sort.SliceStable(vms, func(i, k int) bool {
		if ri, rk := reserved(vms[i]), reserved(vms[k]); ri != rk {
			return ri
		}
		return e.cost(vms[i]) < e.cost(vms[k])
	})
}

// cost is what stands in the way of taking a VM: lasting tasks that have to start
// again elsewhere weigh most, then the work that has to end first.
func (e *Engine) cost(vm msworker.VM) float64 {
	w := e.workers[vm.Worker]
	if w == nil {
		return 0
	}
	sum := 0.0
	for _, r := range w.runs {
		if s := r.step(); s != nil && s.LongRunning {
			sum += lastingCost
		}
		sum += float64(r.need.CPU) / 1000
	}
	return sum
}

// lastingCost is what a lasting task weighs, in cores of other work.
const lastingCost = 20

// isDrained says whether nothing but lasting tasks runs on the VM, and every end that
// its worker has listed is stored: an end that is not would be lost with the worker,
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

// stepKey names a step of an occurrence.
type stepKey struct {
	job              string
	occurrence, step int
}

// take adds the lasting tasks on a VM to those that are taken away.
func (e *Engine) take(vm msworker.VM, taken map[stepKey]int) {
	if w := e.workers[vm.Worker]; w != nil {
		e.takeRuns(w, taken)
	}
}

// mayTake says whether taking the VM away, beside those already taken, keeps the
// availability of lasting steps.
func (e *Engine) mayTake(vm msworker.VM, taken map[stepKey]int) bool {
	w := e.workers[vm.Worker]
	if w == nil {
		return true
	}
	more := map[stepKey]int{}
	e.take(vm, more)
	for k, n := range more {
		j := e.jobs[k.job]
		if e.awayElsewhere(j, k.occurrence, k.step, w)+taken[k]+n > max(j.def.Steps[k.step].MaxUnavailable, 1) {
			return false
		}
	}
	return true
}

// awayElsewhere counts the tasks of a lasting step that aren't at work on other
// workers than w.
func (e *Engine) awayElsewhere(j *job, k, step int, w *worker) int {
	round := j.p.Occurrences[k]
	if round == nil {
		return 0
	}
	away := 0
	for i := range round.Steps[step] {
		t := &round.Steps[step][i]
		id := msjob.TaskID{Job: j.def.ID, Occurrence: k, Step: step, Index: i}
		r := e.runs[runKey{task: id, attempt: t.Attempt}]
		switch {
		case r != nil && r.w == w:
		case t.Phase != msjob.Assigned || r == nil || r.state != runStarted || r.percent < fullPace || !r.w.reachable || r.w.gone || !r.w.taken.IsZero():
			away++
		}
	}
	return away
}

// takeWorker counts the tasks on a VM as away, if they may be. Others may have gone
// away since the VM was chosen.
func (e *Engine) takeWorker(vm msworker.VM) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.isDrained(vm) || !e.mayTake(vm, map[stepKey]int{}) {
		return false
	}
	if w := e.workers[vm.Worker]; w != nil {
		w.taken = e.Clock.Now()
	}
	return true
}

// maintain orders the maintenance of a VM and says whether to go on.
func (e *Engine) maintain(ctx context.Context, wv *wave, vm msworker.VM) bool {
	if !e.Term.Valid() {
		return false
	}
	if !e.takeWorker(vm) {
		return true
	}
	octx, cancel := context.WithTimeout(ctx, vmTimeout)
	err := e.VMs.Maintain(octx, msworker.VMOrder{VM: vm.Name, Holder: e.Holder, Token: e.Term.Epoch}, wv.ID)
	cancel()
	e.mu.Lock()
	defer e.mu.Unlock()
	reason := msworker.VMReasonOf(err)
	switch {
	case err == nil || reason == msworker.VMNotInWave:
		// The order is answered alike where an earlier leader's was carried out, so
		// what became of the worker is read from the list.
		wv.done[vm.Name], wv.dirty = true, true
		wv.p.Done = append(wv.p.Done, vm.Name)
		wv.ordered[vm.Name] = e.Clock.Now()
		e.kick()
	case reason == msworker.VMFenced:
		e.depose(err)
	case reason == msworker.VMUnknown:
		// It may be carried out, so the VM counts as away.
		wv.ordered[vm.Name] = e.Clock.Now()
	}
	if w := e.workers[vm.Worker]; w != nil && reason != msworker.VMUnknown {
		w.reserved, w.taken = false, time.Time{}
	}
	e.Logger.Info("maintenance ordered", zap.Int64("wave", wv.ID), zap.String("vm", vm.Name), zap.String("worker", vm.Worker), zap.Error(err))
	return err == nil || !errors.Is(err, context.Canceled) && reason != msworker.VMFenced
}
