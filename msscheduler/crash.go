package msscheduler

import (
	"time"

	"go.uber.org/zap"

	"marjoramspan/msworker"
)

// workerEnd is what ended a worker, as far as this is known.
type workerEnd int

const (
	// notEnded is for attempts that were lost while their worker went on.
	notEnded workerEnd = iota
	// endedUnknown workers are gone, and nothing shows why.
	endedUnknown
	// endedAsPlanned workers left after they had drained, or because their VM was ordered
	// away.
	endedAsPlanned
	// cutOff workers are up, but were unreachable until their lease ended.
	cutOff
	// endedByCrash workers ended without an order or a notice.
	endedByCrash
)

// String returns the name of the end, as in logs and metrics.
func (w workerEnd) String() string {
	return [...]string{"none", "unknown", "planned", "cut-off", "crash"}[w]
}

// endOf returns what ended a worker that is unreachable or no longer listed. The caller
// holds mu.
func (e *Engine) endOf(w *worker, now time.Time) workerEnd {
	name := w.vm
	if name == "" {
		name = w.VM
	}
	if w.Draining || w.moving || w.reserved || !w.maintenanceSince.IsZero() || !e.vmOrders.mayOrder(name, now) {
		return endedAsPlanned
	}
	vm := e.fleet.find(name)
	switch {
	case vm == nil || !e.fleet.readAt.After(w.unreachableSince):
		return endedUnknown
	case vm.Maintained || vm.Moving || vm.Pool != w.Pool:
		return endedAsPlanned
	case vm.Up && vm.Worker == w.ID:
		return cutOff
	}
	return endedByCrash
}

// find returns the VM with the given name, or nil.
func (f *fleet) find(name string) *msworker.VM {
	for i := range f.vms {
		if f.vms[i].Name == name {
			return &f.vms[i]
		}
	}
	return nil
}

// noteEnd logs and counts the end of a worker with attempts on it. The caller holds mu.
func (e *Engine) noteEnd(w *worker, end workerEnd, reason string) {
	if len(w.runs) == 0 {
		return
	}
	var recent []string
	for _, r := range w.runs {
		if r.sent && r.confirmedRuntime() < minExoneratingRuntime {
			recent = append(recent, r.task.String())
		}
	}
	e.Metrics.workerEnded(end)
	e.Logger.Info("worker ended", zap.String("worker", w.ID), zap.String("vm", w.VM), zap.String("end", end.String()),
		zap.String("reason", reason), zap.Int("runs", len(w.runs)), zap.Strings("recent", recent))
}

// minExoneratingRuntime is how long an attempt must have run before the crash of its
// worker, so that a more recent attempt is the more likely cause.
const minExoneratingRuntime = 2 * time.Second

// confirmedRuntime returns how long the worker is known to have run the attempt.
func (r *run) confirmedRuntime() time.Duration {
	if r.confirmedAt.IsZero() || r.reportedAt.Before(r.confirmedAt) {
		return 0
	}
	return r.reportedAt.Sub(r.confirmedAt)
}
