package msscheduler

import (
	"context"
	"time"

	"go.uber.org/zap"

	"marjoramspan/msclock"
	"marjoramspan/msworker"
)

const (
	// vmPoll is the time between two looks at whether something is to be done with
	// VMs.
	vmPoll = 120 * time.Millisecond
	// vmQuiet is how old the list of VMs may be while nothing changes.
	vmQuiet = 1500 * time.Millisecond
	// vmBusy is the same while VMs are on their way.
	vmBusy = 350 * time.Millisecond
	// vmTimeout bounds one call of the VM service.
	vmTimeout = 900 * time.Millisecond
)

// fleet is the newest list of VMs. mu guards it.
type fleet struct {
	vms  []msworker.VM
	read time.Time
}

// manageVMs watches the list of VMs and carries out maintenance until ctx is done.
func (e *Engine) manageVMs(ctx context.Context) {
	for ctx.Err() == nil {
		// Another holder may have ordered just before this term.
		mayOrder := e.Term.Valid() && e.Clock.Now().Sub(e.begun) > e.Settings.HolderPause
		if vms, ok := e.vmsKnown(ctx); ok && mayOrder {
			e.runWaves(ctx, e.openWaves(), vms)
			e.sizePools(ctx)
		}
		_ = msclock.Sleep(ctx, e.Clock, vmPoll)
	}
}

// vmsKnown returns the VMs, read anew where something about them may have changed.
func (e *Engine) vmsKnown(ctx context.Context) ([]msworker.VM, bool) {
	e.mu.Lock()
	known, age := e.fleet.vms, e.Clock.Now().Sub(e.fleet.read)
	limit := vmQuiet
	if e.vmsChange() {
		limit = vmBusy
	}
	fresh := known != nil && age < limit
	e.mu.Unlock()
	if fresh {
		return known, true
	}
	vms, err := e.listVMs(ctx)
	return vms, err == nil
}

// vmsChange says whether VMs are on their way, or workers are out of reach. The
// caller holds mu.
func (e *Engine) vmsChange() bool {
	if len(e.pools.leaving) > 0 {
		return true
	}
	for _, w := range e.waves {
		if !w.p.Completed {
			return true
		}
	}
	for _, w := range e.workers {
		if !w.reachable {
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
	e.settleMoves(asked)
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
		case w.gone:
		case vm != nil && vm.Up:
			if w.taken.Before(asked) {
				w.taken = time.Time{}
			}
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

func (e *Engine) runWaves(ctx context.Context, waves []*wave, vms []msworker.VM) {
	for _, w := range waves {
		e.runWave(ctx, w, vms)
	}
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
