package mswave

import (
	"fmt"
	"sort"
	"time"

	"marjoramspan/mspool"
)

// View is what a driver knows of the fleet.
type View struct {
	// Table is as the platform and the VMs report it, not marked by the wave.
	Table mspool.Table
	// ReadAt is when the driver began its last successful read to the end of the
	// log, on its own clock; Through is the offset that it reached.
	ReadAt  time.Time
	Through uint64
}

// Action is one thing to do now.
type Action struct {
	Kind ActionKind
	// Record is to be appended, for Append alone. The driver fills in ID and By.
	Record Record
	// VM is driven, for the other kinds.
	VM string
	// BootID is the boot that a reboot is to end. The driver sends the reboot on
	// condition that it is still this one, and at most once in a boot timeout.
	BootID string
}

// ActionKind names what to do.
type ActionKind string

// Kinds of actions. Only Append makes a decision; the others carry out what
// has been accepted, and are repeated until the VM reports their effect.
const (
	Append     ActionKind = "append"
	DriveDrain ActionKind = "drain"
	// DriveReboot orders a reboot.
	DriveReboot ActionKind = "reboot"
	// DriveOpen lets a VM take work again.
	DriveOpen ActionKind = "open"
)

// Step returns what to do now: VMs to drive, and at most one record to append.
// It returns nothing while the driver's view of the log is older than the lease.
func Step(s *State, view View, now time.Time) []Action {
	if s.Status == "" {
		return nil
	}
	w := newWork(s, view, now)
	if !w.fresh() {
		return nil
	}
	actions := w.drives()
	if s.Status == Ended && s.count(Draining, Rebooting, Overdue) == 0 {
		return actions
	}
	w.count()
	if r, ok := w.decide(); ok {
		actions = append(actions, Action{Kind: Append, Record: r})
	}
	return actions
}

// Lost returns the VMs that count towards stopping the wave: those that did not
// come back, and those that failed soon after.
func Lost(s *State, view View, now time.Time) []Target {
	return newWork(s, view, now).lost()
}

// work is one step's view of the wave.
type work struct {
	state *State
	cfg   Settings
	view  View
	now   time.Time
	// marked is the table with the wave's VMs out of service, and guard counts
	// it; both are empty until count.
	marked mspool.Table
	guard  *mspool.Guard
}

func newWork(s *State, view View, now time.Time) *work {
	return &work{state: s, cfg: s.Settings.filled(), view: view, now: now}
}

func (w *work) count() {
	w.marked = w.state.Mark(w.view.Table)
	w.guard = mspool.NewGuard(w.marked, w.cfg.KeepSpare)
}

func (w *work) fresh() bool {
	return w.now.Sub(w.view.ReadAt) <= w.cfg.Lease
}

// drives returns the actions that accepted records ask for.
func (w *work) drives() []Action {
	var out []Action
	for _, v := range w.view.Table.VMs {
		if a, ok := w.drive(v); ok {
			out = append(out, a)
		}
	}
	return out
}

func (w *work) drive(v mspool.VM) (Action, bool) {
	p := w.state.VMs[v.Name]
	switch {
	case p.Phase == Draining && v.Runs():
		return Action{Kind: DriveDrain, VM: v.Name}, true
	case (p.Phase == Rebooting || p.Phase == Overdue) && v.BootID == p.BootID:
		return Action{Kind: DriveReboot, VM: v.Name, BootID: p.BootID}, true
	case !w.state.Out(v.Name) && v.State == mspool.Draining && v.Moving == "":
		return Action{Kind: DriveOpen, VM: v.Name}, true
	}
	return Action{}, false
}

// decide returns the most urgent record of this step.
func (w *work) decide() (Record, bool) {
	if w.state.Status == Running {
		if lost := w.lost(); w.weight(lost) >= w.stopAt() {
			r := w.record(Stop, nil)
			r.Reason = fmt.Sprintf("%d VMs did not come back or failed soon after, %s among them", len(lost), lost[0].VM)
			return r, true
		}
	}
	if r, ok := w.first(Return, w.isBack); ok {
		return r, true
	}
	if r, ok := w.first(Late, w.isLate); ok {
		return r, true
	}
	if r, ok := w.first(Cancel, w.mustCancel); ok {
		return r, true
	}
	if gone := w.gone(); len(gone) > 0 {
		return w.record(Discard, gone), true
	}
	switch w.state.Status {
	case Running:
		return w.goOn()
	case Stopped:
		return w.resume()
	}
	return Record{}, false
}

// gone returns the VMs that the state knows and the table lacks, by name: they
// have been retired. The fold refuses those that still have a pool.
func (w *work) gone() []Target {
	listed := make(map[string]bool, len(w.view.Table.VMs))
	for i := range w.view.Table.VMs {
		listed[w.view.Table.VMs[i].Name] = true
	}
	var out []Target
	for vm := range w.state.VMs {
		if !listed[vm] {
			out = append(out, Target{VM: vm})
		}
	}
	for vm := range w.state.Maintained {
		if _, both := w.state.VMs[vm]; !both && !listed[vm] {
			out = append(out, Target{VM: vm})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].VM < out[j].VM })
	return out
}

func (w *work) goOn() (Record, bool) {
	if r, ok := w.first(Reboot, w.isDrained); ok {
		return r, true
	}
	queues := newQueues(w.marked, w.isDue)
	if picked := queues.pick(w.guard, w.room()); len(picked) > 0 {
		return w.record(Drain, picked), true
	}
	if queues.left() == 0 && w.state.count(Draining, Rebooting) == 0 {
		return w.record(End, nil), true
	}
	return Record{}, false
}

func (w *work) resume() (Record, bool) {
	if w.state.Held || w.now.Sub(w.state.StoppedAt) < w.cfg.Quiet {
		return Record{}, false
	}
	if w.weight(w.lost()) >= w.stopAt() {
		return Record{}, false
	}
	r := w.record(Resume, nil)
	r.Auto = true
	return r, true
}

func (w *work) record(k Kind, vms []Target) Record {
	return Record{
		Kind: k,
		Wave: w.state.Wave,
		Base: w.state.Changed,
		Seen: w.view.Through,
		VMs:  vms,
		At:   w.now,
	}
}

// first makes a record of kind k for every VM of the wave that is so.
func (w *work) first(k Kind, is func(mspool.VM, Progress) bool) (Record, bool) {
	var picked []Target
	for _, v := range w.view.Table.VMs {
		if p, ok := w.state.VMs[v.Name]; ok && is(v, p) {
			picked = append(picked, Target{VM: v.Name, Pool: v.Pool, BootID: v.BootID})
		}
	}
	return w.record(k, picked), len(picked) > 0
}
