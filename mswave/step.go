package mswave

import (
	"fmt"
	"sort"
	"time"

	"marjoramspan/mspool"
)

// View is what a driver knows about the fleet.
type View struct {
	// Table is the fleet as the platform and the VMs report it, without
	// State.MarkOutOfService.
	Table mspool.Table
	// ReadAt is when the driver began its last successful read to the end of the
	// log, by its own clock. Through is the offset that the read reached.
	ReadAt  time.Time
	Through uint64
}

// Action is one thing for the driver to do.
type Action struct {
	Kind ActionKind
	// Record is the record to append, for Append alone. The driver sets ID and By.
	Record Record
	// VM is the VM to act on, for the other kinds.
	VM string
	// BootID is the boot id before a reboot. The driver orders the reboot on
	// condition that the VM still has it, and at most once per boot timeout.
	BootID string
}

// ActionKind is the type of an action.
type ActionKind string

// Kinds of actions. Only Append makes a decision; the others carry out accepted
// records and are repeated until the VM reports their effect.
const (
	Append  ActionKind = "append"
	DrainVM ActionKind = "drain"
	// RebootVM orders a reboot.
	RebootVM ActionKind = "reboot"
	// UndrainVM lets a VM take work again.
	UndrainVM ActionKind = "open"
)

// Step returns what to do now: the actions on VMs that accepted records call
// for, and at most one record to append. It returns nothing while the driver's
// view of the log is older than the lease.
func Step(s *State, view View, now time.Time) []Action {
	if s.Status == "" {
		return nil
	}
	w := newWaveStep(s, view, now)
	if !w.logIsFresh() {
		return nil
	}
	actions := w.vmActions()
	if s.Status == Ended && s.countInPhase(Draining, Rebooting, Overdue) == 0 {
		return actions
	}
	w.prepareGuard()
	if r, ok := w.decide(); ok {
		actions = append(actions, Action{Kind: Append, Record: r})
	}
	return actions
}

// FailedVMs returns the VMs that count towards stopping the wave: those that did not
// return in time, and those that failed soon after their return.
func FailedVMs(s *State, view View, now time.Time) []Target {
	return newWaveStep(s, view, now).failedVMs()
}

// waveStep holds the inputs of one decision.
type waveStep struct {
	state *State
	cfg   Settings
	view  View
	now   time.Time
	// marked is the table with the wave's VMs out of service, and guard checks
	// budgets against it. Both are unset until prepareGuard.
	marked mspool.Table
	guard  *mspool.Guard
}

func newWaveStep(s *State, view View, now time.Time) *waveStep {
	return &waveStep{state: s, cfg: s.Settings.withDefaults(), view: view, now: now}
}

func (w *waveStep) prepareGuard() {
	w.marked = w.state.MarkOutOfService(w.view.Table)
	w.guard = mspool.NewGuard(w.marked, w.cfg.MinSpare)
}

func (w *waveStep) logIsFresh() bool {
	return w.now.Sub(w.view.ReadAt) <= w.cfg.Lease
}

// vmActions returns the actions that accepted records call for.
func (w *waveStep) vmActions() []Action {
	var actions []Action
	for _, v := range w.view.Table.VMs {
		if a, ok := w.vmAction(v); ok {
			actions = append(actions, a)
		}
	}
	return actions
}

func (w *waveStep) vmAction(v mspool.VM) (Action, bool) {
	p := w.state.VMs[v.Name]
	switch {
	case p.Phase == Draining && v.Maintainable():
		return Action{Kind: DrainVM, VM: v.Name}, true
	case (p.Phase == Rebooting || p.Phase == Overdue) && v.BootID == p.BootID:
		return Action{Kind: RebootVM, VM: v.Name, BootID: p.BootID}, true
	case !w.state.OutOfService(v.Name) && v.State == mspool.Draining && v.Moving == "":
		return Action{Kind: UndrainVM, VM: v.Name}, true
	}
	return Action{}, false
}

// decide returns the most urgent record to append, if there is one.
func (w *waveStep) decide() (Record, bool) {
	if w.state.Status == Running {
		if failed := w.failedVMs(); w.countFailures(failed) >= w.stopThreshold() {
			r := w.newRecord(Stop, nil)
			r.Reason = fmt.Sprintf("%d VMs did not come back or failed soon after, %s among them", len(failed), failed[0].VM)
			return r, true
		}
	}
	if r, ok := w.recordForMatching(Return, w.hasReturned); ok {
		return r, true
	}
	if r, ok := w.recordForMatching(BootTimedOut, w.isOverdue); ok {
		return r, true
	}
	if r, ok := w.recordForMatching(Cancel, w.mustCancel); ok {
		return r, true
	}
	if retired := w.retiredVMs(); len(retired) > 0 {
		return w.newRecord(Discard, retired), true
	}
	switch w.state.Status {
	case Running:
		return w.advance()
	case Stopped:
		return w.resume()
	}
	return Record{}, false
}

// retiredVMs returns the VMs that are in the state but not in the table, sorted
// by name. State.Apply rejects the record where one of them still has a pool.
func (w *waveStep) retiredVMs() []Target {
	listed := make(map[string]bool, len(w.view.Table.VMs))
	for i := range w.view.Table.VMs {
		listed[w.view.Table.VMs[i].Name] = true
	}
	var retired []Target
	for vm := range w.state.VMs {
		if !listed[vm] {
			retired = append(retired, Target{VM: vm})
		}
	}
	for vm := range w.state.Maintained {
		if _, counted := w.state.VMs[vm]; !counted && !listed[vm] {
			retired = append(retired, Target{VM: vm})
		}
	}
	sort.Slice(retired, func(i, j int) bool { return retired[i].VM < retired[j].VM })
	return retired
}

func (w *waveStep) advance() (Record, bool) {
	if r, ok := w.recordForMatching(Reboot, w.isDrained); ok {
		return r, true
	}
	queues := newQueues(w.marked, w.isEligible)
	if picked := queues.pick(w.guard, w.drainAllowance()); len(picked) > 0 {
		return w.newRecord(Drain, picked), true
	}
	if queues.remaining() == 0 && w.state.countInPhase(Draining, Rebooting) == 0 {
		return w.newRecord(End, nil), true
	}
	return Record{}, false
}

func (w *waveStep) resume() (Record, bool) {
	if w.state.Held || w.now.Sub(w.state.StoppedAt) < w.cfg.ResumeDelay {
		return Record{}, false
	}
	if w.countFailures(w.failedVMs()) >= w.stopThreshold() {
		return Record{}, false
	}
	r := w.newRecord(Resume, nil)
	r.Auto = true
	return r, true
}

func (w *waveStep) newRecord(k Kind, vms []Target) Record {
	return Record{
		Kind: k,
		Wave: w.state.Wave,
		Base: w.state.Changed,
		Seen: w.view.Through,
		VMs:  vms,
		At:   w.now,
	}
}

// recordForMatching returns a record of kind k for the VMs of the wave that match.
// It is false where there is none.
func (w *waveStep) recordForMatching(k Kind, match func(mspool.VM, Progress) bool) (Record, bool) {
	var picked []Target
	for _, v := range w.view.Table.VMs {
		if p, ok := w.state.VMs[v.Name]; ok && match(v, p) {
			picked = append(picked, Target{VM: v.Name, Pool: v.Pool, BootID: v.BootID})
		}
	}
	return w.newRecord(k, picked), len(picked) > 0
}
