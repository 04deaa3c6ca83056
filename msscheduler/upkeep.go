package msscheduler

import (
	"context"
	"errors"
	"sort"
	"time"

	"go.uber.org/zap"

	"marjoramspan/msclock"
	"marjoramspan/msjob"
	"marjoramspan/mssite"
	"marjoramspan/msworker"
)

const (
	// vmPoll is the time between two looks at the list of VMs while something is to
	// be done, idlePoll while nothing is.
	vmPoll   = 500 * time.Millisecond
	idlePoll = 3 * time.Second
	// vmTimeout bounds one call of the VM service.
	vmTimeout = 900 * time.Millisecond
)

// upkeep is what is known of planned maintenance. mu guards it.
type upkeep struct {
	// done has the VMs whose maintenance in a wave was ordered and answered.
	done map[int64]map[string]bool
	// down has when the maintenance of a VM was ordered, by VM.
	down map[string]time.Time
	// reported has the waves whose end was reported.
	reported map[int64]bool
	// announced has the waves whose begin was reported.
	announced map[int64]bool
}

// fleet is the newest list of VMs. mu guards it.
type fleet struct {
	vms  []msworker.VM
	read time.Time
}

// manageVMs carries out maintenance until ctx is done.
func (e *Engine) manageVMs(ctx context.Context) {
	// Another holder may have ordered just before this term.
	_ = msclock.Sleep(ctx, e.Clock, e.Settings.HolderPause)
	e.mu.Lock()
	e.upkeep = upkeep{
		done: map[int64]map[string]bool{}, down: map[string]time.Time{},
		reported: map[int64]bool{}, announced: map[int64]bool{},
	}
	e.mu.Unlock()
	for ctx.Err() == nil {
		pause := idlePoll
		if waves := e.openWaves(); len(waves) > 0 {
			pause = vmPoll
			e.runWaves(ctx, waves)
		}
		_ = msclock.Sleep(ctx, e.Clock, pause)
	}
}

// openWaves returns the waves that aren't reported as completed, oldest first.
func (e *Engine) openWaves() []mssite.Wave {
	all := e.Sites.Waves()
	e.mu.Lock()
	defer e.mu.Unlock()
	var open []mssite.Wave
	for _, w := range all {
		if !e.upkeep.reported[w.ID] {
			open = append(open, w)
		}
	}
	sort.Slice(open, func(i, k int) bool { return open[i].ID < open[k].ID })
	return open
}

func (e *Engine) runWaves(ctx context.Context, waves []mssite.Wave) {
	if !e.Term.Valid() {
		return
	}
	lctx, cancel := context.WithTimeout(ctx, vmTimeout)
	vms, err := e.VMs.List(lctx)
	cancel()
	if err != nil {
		e.Logger.Warn("VMs not listed", zap.Error(err))
		return
	}
	e.mu.Lock()
	e.fleet = fleet{vms: vms, read: e.Clock.Now()}
	e.mu.Unlock()
	for _, wave := range waves {
		e.runWave(ctx, wave, vms)
	}
}

// runWave orders the maintenance of as many VMs as may be away now.
func (e *Engine) runWave(ctx context.Context, wave mssite.Wave, vms []msworker.VM) {
	e.mu.Lock()
	if e.upkeep.done[wave.ID] == nil {
		e.upkeep.done[wave.ID] = map[string]bool{}
	}
	announced := e.upkeep.announced[wave.ID]
	e.mu.Unlock()
	if !announced {
		if err := e.Report(ctx, wave.ID, false); err != nil {
			e.Logger.Warn("wave not reported", zap.Int64("wave", wave.ID), zap.Error(err))
		} else {
			e.mu.Lock()
			e.upkeep.announced[wave.ID] = true
			e.mu.Unlock()
		}
	}
	byName := make(map[string]msworker.VM, len(vms))
	for _, vm := range vms {
		byName[vm.Name] = vm
	}
	left := e.waveLeft(wave, byName)
	if len(left) == 0 {
		e.completeWave(ctx, wave)
		return
	}
	for _, vm := range e.chooseMaintained(wave, left, byName) {
		if !e.maintain(ctx, wave, vm) {
			return
		}
	}
}

// waveLeft returns the VMs of a wave that still need their maintenance. A VM that
// is no longer in the list doesn't stay.
func (e *Engine) waveLeft(wave mssite.Wave, vms map[string]msworker.VM) []msworker.VM {
	e.mu.Lock()
	defer e.mu.Unlock()
	var left []msworker.VM
	for _, name := range wave.VMs {
		vm, ok := vms[name]
		if ok && !e.upkeep.done[wave.ID][name] {
			left = append(left, vm)
		}
	}
	return left
}

func (e *Engine) completeWave(ctx context.Context, wave mssite.Wave) {
	if err := e.Report(ctx, wave.ID, true); err != nil {
		e.Logger.Warn("wave not reported", zap.Int64("wave", wave.ID), zap.Error(err))
		return
	}
	e.mu.Lock()
	e.upkeep.reported[wave.ID] = true
	e.mu.Unlock()
	e.Logger.Info("wave completed", zap.Int64("wave", wave.ID), zap.Int("vms", len(wave.VMs)))
}

// chooseMaintained returns the VMs to maintain now, those on which least runs
// first, and reserves their workers.
func (e *Engine) chooseMaintained(wave mssite.Wave, left []msworker.VM, vms map[string]msworker.VM) []msworker.VM {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Clock.Now()
	away := 0
	for _, name := range wave.VMs {
		if vm, ok := vms[name]; ok && vm.Maintained || now.Sub(e.upkeep.down[name]) < e.Settings.MaintenanceTime+vmPoll {
			away++
		}
	}
	e.orderByCost(left)
	var chosen []msworker.VM
	reserved := 0
	for _, vm := range left {
		w := e.workers[vm.Worker]
		if w != nil {
			w.reserved = false
		}
		if away+reserved > wave.AtOnce || !vm.Up || !e.mayTake(vm) {
			continue
		}
		reserved++
		if w != nil {
			w.reserved = true
		}
		if away+len(chosen) < wave.AtOnce && e.isDrained(vm) {
			chosen = append(chosen, vm)
		}
	}
	return chosen
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

// isDrained says whether nothing but lasting tasks runs on the VM.
func (e *Engine) isDrained(vm msworker.VM) bool {
	w := e.workers[vm.Worker]
	if w == nil {
		return true
	}
	for _, r := range w.runs {
		if s := r.step(); s != nil && !s.Lasting {
			return false
		}
	}
	return true
}

// cost is what is lost when a VM is taken away, in core-seconds of work done.
func (e *Engine) cost(vm msworker.VM) float64 {
	w := e.workers[vm.Worker]
	if w == nil {
		return 0
	}
	sum := 0.0
	for _, r := range w.runs {
		sum += 1 + float64(r.need.CPU)/1000
	}
	return sum
}

// mayTake says whether taking the VM away keeps the availability of lasting steps.
func (e *Engine) mayTake(vm msworker.VM) bool {
	w := e.workers[vm.Worker]
	if w == nil {
		return true
	}
	type stepKey struct {
		job              string
		occurrence, step int
	}
	taken := map[stepKey]int{}
	for _, r := range w.runs {
		s := r.step()
		if s == nil || !s.Lasting {
			continue
		}
		taken[stepKey{r.task.Job, r.task.Occurrence, r.task.Step}]++
	}
	for k, n := range taken {
		j := e.jobs[k.job]
		if j == nil || j.p.State.Final() {
			continue
		}
		away := e.awayElsewhere(j, k.occurrence, k.step, w)
		if away+n > max(j.def.Steps[k.step].MayMiss, 1) {
			return false
		}
	}
	return true
}

// awayElsewhere counts the tasks of a lasting step that aren't at work on other
// workers than w.
func (e *Engine) awayElsewhere(j *job, k, step int, w *worker) int {
	round := j.p.Rounds[k]
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
		case t.Phase != msjob.Assigned || r == nil || r.state != runStarted || r.percent < fullPace || !r.w.reachable:
			away++
		}
	}
	return away
}

// maintain orders the maintenance of a VM and says whether to go on.
func (e *Engine) maintain(ctx context.Context, wave mssite.Wave, vm msworker.VM) bool {
	if !e.Term.Valid() {
		return false
	}
	octx, cancel := context.WithTimeout(ctx, vmTimeout)
	err := e.VMs.Maintain(octx, msworker.VMOrder{VM: vm.Name, Holder: e.Holder, Token: e.Term.Epoch}, wave.ID)
	cancel()
	e.mu.Lock()
	defer e.mu.Unlock()
	w := e.workers[vm.Worker]
	var ve *msworker.VMError
	switch {
	case err == nil:
		e.upkeep.done[wave.ID][vm.Name] = true
		e.upkeep.down[vm.Name] = e.Clock.Now()
		e.Logger.Info("VM maintained", zap.Int64("wave", wave.ID), zap.String("vm", vm.Name), zap.String("worker", vm.Worker))
		if w != nil {
			e.buryWorker(w, "its VM is maintained")
		}
		return true
	case errors.As(err, &ve) && ve.Reason == msworker.VMFenced:
		e.depose(err)
		return false
	case errors.As(err, &ve) && ve.Reason == msworker.VMUnknown:
		// It may be carried out: the worker stays reserved until the VM's state tells,
		// and the VM counts as away.
		e.upkeep.down[vm.Name] = e.Clock.Now()
	case errors.As(err, &ve) && ve.Reason == msworker.VMNotInWave:
		e.upkeep.done[wave.ID][vm.Name] = true
	}
	if w != nil && !(errors.As(err, &ve) && ve.Reason == msworker.VMUnknown) {
		w.reserved = false
	}
	e.Logger.Warn("VM not maintained", zap.Int64("wave", wave.ID), zap.String("vm", vm.Name), zap.Error(err))
	return true
}

// buryWorker notes that a worker's life is over and nothing runs on it.
func (e *Engine) buryWorker(w *worker, reason string) {
	w.gone, w.reachable = true, false
	if w.cancel != nil {
		w.cancel()
	}
	for _, r := range w.runs {
		e.lose(r, reason)
	}
	e.kick()
}
