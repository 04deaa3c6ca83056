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
	// vmPoll is the time between two looks at whether something is to be done with
	// VMs.
	vmPoll = 500 * time.Millisecond
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

// manageVMs watches the list of VMs and carries out maintenance until ctx is done.
func (e *Engine) manageVMs(ctx context.Context) {
	e.mu.Lock()
	e.upkeep = upkeep{
		done: map[int64]map[string]bool{}, down: map[string]time.Time{},
		reported: map[int64]bool{}, announced: map[int64]bool{},
	}
	e.mu.Unlock()
	for ctx.Err() == nil {
		waves := e.openWaves()
		if len(waves) > 0 || e.hasLost() {
			vms, err := e.listVMs(ctx)
			// Another holder may have ordered just before this term.
			if err == nil && e.Term.Valid() && e.Clock.Now().Sub(e.begun) > e.Settings.HolderPause {
				e.runWaves(ctx, waves, vms)
			}
		}
		_ = msclock.Sleep(ctx, e.Clock, vmPoll)
	}
}

// hasLost says whether attempts are counted on workers out of reach.
func (e *Engine) hasLost() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, w := range e.workers {
		if !w.reachable && len(w.runs) > 0 {
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

// applyVMs ends the lives of workers whose VM is another worker now or is no longer
// there, and gives up what ran on those whose VM is down. asked is when the list
// was asked for.
func (e *Engine) applyVMs(vms []msworker.VM, asked time.Time) {
	e.fleet = fleet{vms: vms, read: asked}
	of := make(map[string]*msworker.VM, len(vms))
	for i := range vms {
		of[vms[i].Worker] = &vms[i]
		if w := e.workers[vms[i].Worker]; w != nil {
			w.vm = vms[i].Name
		}
	}
	for id, w := range e.workers {
		vm := of[id]
		switch {
		case w.gone || vm != nil && vm.Up:
		case vm == nil && w.vm == "" && w.listed:
			// It has just joined and isn't in this list yet.
		case vm == nil || vm.Maintained || vm.Moving:
			e.buryWorker(w, "its VM is away or another worker")
		case !w.reachable:
			// A VM that is down may come back as the same worker.
			for _, r := range w.runs {
				if r.ordered.Before(asked) {
					e.lose(r, "its VM is down")
				}
			}
		}
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

func (e *Engine) runWaves(ctx context.Context, waves []mssite.Wave, vms []msworker.VM) {
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
	chosen := e.chooseMaintained(wave, left, byName)
	for _, vm := range chosen {
		if !e.maintain(ctx, wave, vm) {
			return
		}
	}
	if len(chosen) > 0 {
		_, _ = e.listVMs(ctx) // A failure is logged, and the next look makes up for it.
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
	taken := map[stepKey]int{}
	reserved := 0
	for _, vm := range left {
		w := e.workers[vm.Worker]
		if w != nil {
			w.reserved = false
		}
		if away+reserved > wave.AtOnce || !vm.Up || !e.mayTake(vm, taken) {
			continue
		}
		reserved++
		if w != nil {
			w.reserved = true
		}
		if away+len(chosen) < wave.AtOnce && e.isDrained(vm) {
			chosen = append(chosen, vm)
			e.take(vm, taken)
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

// stepKey names a step of an occurrence.
type stepKey struct {
	job              string
	occurrence, step int
}

// take adds the lasting tasks on a VM to those that are taken away.
func (e *Engine) take(vm msworker.VM, taken map[stepKey]int) {
	w := e.workers[vm.Worker]
	if w == nil {
		return
	}
	for _, r := range w.runs {
		if s := r.step(); s != nil && s.Lasting && !r.job.p.State.Final() {
			taken[stepKey{r.task.Job, r.task.Occurrence, r.task.Step}]++
		}
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
		if e.awayElsewhere(j, k.occurrence, k.step, w)+taken[k]+n > max(j.def.Steps[k.step].MayMiss, 1) {
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
		case t.Phase != msjob.Assigned || r == nil || r.state != runStarted || r.percent < fullPace || !r.w.reachable || r.w.gone:
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
		// The order is answered alike where an earlier leader's was carried out, so
		// what became of the worker is read from the list.
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
	if err != nil && w != nil && !(errors.As(err, &ve) && ve.Reason == msworker.VMUnknown) {
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
