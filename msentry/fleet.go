package msentry

import (
	"context"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"marjoramspan/msclock"
	"marjoramspan/mslog"
	"marjoramspan/mspool"
	"marjoramspan/msstate"
	"marjoramspan/mswave"
)

// fleetInterval is the pause between two steps of the driver.
const fleetInterval = time.Second

// dutyFleet is the duty of adjusting pools and driving the wave. The entry that has it
// decides; a record of another entry based on the same state is void.
const dutyFleet = "fleet"

// driver adjusts the pools and drives the maintenance wave. It keeps no durable state:
// a new holder of the duty continues from the state and the VM reports.
type driver struct {
	e *Entry
	// rebootOrderedAt is when each VM was last ordered to reboot. Only run accesses it.
	rebootOrderedAt map[string]time.Time
}

// run steps the driver until ctx is done, while this entry has the duty.
func (d *driver) run(ctx context.Context) error {
	d.rebootOrderedAt = make(map[string]time.Time)
	for {
		if err := msclock.Sleep(ctx, d.e.Clock, fleetInterval); err != nil {
			return nil
		}
		if d.e.draining.Load() || !d.e.joined.Load() || !d.e.hasDuty(dutyFleet) {
			continue
		}
		d.step(ctx)
	}
}

// step executes the actions that are due. It does nothing if the state may be stale
// or the list of VMs can't be read.
func (d *driver) step(ctx context.Context) {
	e := d.e
	now := e.now()
	fresh, _ := e.view.Fresh(now)
	reports, at := e.vms.reports()
	if !fresh || e.view.IsCutOff(now) || now.Sub(at) > e.Settings.Limits.Lease {
		return
	}
	t := e.fold.tables()
	reports, err := d.withReports(ctx, t.state, reports)
	if err != nil {
		e.Log.Warn("can't read VM reports", zap.Error(err))
		return
	}
	view := mswave.View{
		Table:   FleetTable(t.state, reports, e.vms.missingSince),
		ReadAt:  e.view.LastOwnRead(),
		Through: t.state.Next,
	}
	for _, a := range mswave.Step(&t.state.Wave, view, now) {
		d.execute(ctx, a, now)
	}
	d.adjustPools(ctx, t.state, view, now)
}

// withReports replaces the list's records of VMs that a wave or a move keeps out of
// service by reports of the VMs themselves. For all others only the state matters.
func (d *driver) withReports(ctx context.Context, s *msstate.State, list []mslog.VM) ([]mslog.VM, error) {
	var names []string
	for vm, h := range s.Ownership.VMs {
		if h.Phase == mspool.MovingOut || s.Wave.OutOfService(vm) {
			names = append(names, vm)
		}
	}
	if len(names) == 0 {
		return list, nil
	}
	ctx, cancel := context.WithTimeout(ctx, d.e.Settings.Log.Timeout)
	defer cancel()
	reports, err := d.e.logClient.VMReports(ctx, names...)
	if err != nil {
		return nil, err
	}
	fresh := make(map[string]mslog.VM, len(reports))
	for _, vm := range reports {
		fresh[vm.Name] = vm
	}
	out := make([]mslog.VM, 0, len(list))
	for _, vm := range list {
		if r, ok := fresh[vm.Name]; ok {
			vm = r
		}
		out = append(out, vm)
	}
	return out, nil
}

func (d *driver) execute(ctx context.Context, a mswave.Action, now time.Time) {
	e := d.e
	ctx, cancel := context.WithTimeout(ctx, e.Settings.Log.Timeout)
	defer cancel()
	var err error
	switch a.Kind {
	case mswave.Append:
		r := a.Record
		r.By = e.author()
		e.tryAppendChange(ctx, msstate.WaveChange(r))
	case mswave.DrainVM:
		err = e.logClient.DrainVM(ctx, a.VM)
	case mswave.UndrainVM:
		err = e.logClient.UndrainVM(ctx, a.VM)
	case mswave.RebootVM:
		if now.Sub(d.rebootOrderedAt[a.VM]) < rebootRetryInterval {
			return
		}
		d.rebootOrderedAt[a.VM] = now
		err = e.logClient.RebootVM(ctx, a.VM, a.BootID)
	}
	if err != nil {
		e.Log.Warn("VM action failed", zap.String("vm", a.VM), zap.String("action", string(a.Kind)), zap.Error(err))
	}
}

// rebootRetryInterval is how long an order to reboot may take before it is repeated.
const rebootRetryInterval = time.Minute

// adjustPools appends the first change that the pools need. Further changes wait for
// the next step, which sees the effect of this one.
func (d *driver) adjustPools(ctx context.Context, s *msstate.State, view mswave.View, now time.Time) {
	e := d.e
	cfg := mspool.Settings{
		Loans:  mswave.Loans(&s.Wave, view, now),
		Lease:  e.Settings.Limits.Lease,
		MaxRun: e.Settings.Limits.MaxRun,
	}
	for _, dec := range mspool.Plan(s.Wave.MarkOutOfService(view.Table), cfg, now) {
		r := dec.Record(uuid.NewString(), e.author(), s.Next)
		e.Log.Info("pool change", zap.String("vm", dec.VM), zap.String("kind", string(dec.Kind)), zap.String("to", dec.To), zap.String("reason", dec.Reason))
		e.tryAppendChange(ctx, msstate.VMChange(r))
		return
	}
}

// FleetTable joins the state with the platform's list of VMs. A VM that is in the state
// but not in the list counts as failed, since the time that missingSince returns for it.
func FleetTable(s *msstate.State, reports []mslog.VM, missingSince func(name string) time.Time) mspool.Table {
	t := mspool.Table{}
	for _, p := range s.Rules.Pools {
		t.Pools = append(t.Pools, mspool.Pool{Name: p.Name, Size: p.Size, Slots: p.Slots, Available: p.Available, Spare: p.Spare})
	}
	listed := make(map[string]bool, len(reports))
	for _, vm := range reports {
		listed[vm.Name] = true
		if h, ok := s.Ownership.VMs[vm.Name]; ok && h.Phase != mspool.Retired {
			t.VMs = append(t.VMs, poolVM(s, h, vm))
		}
	}
	for name, h := range s.Ownership.VMs {
		if !listed[name] && h.Phase != mspool.Retired {
			t.VMs = append(t.VMs, poolVM(s, h, mslog.VM{Name: name, State: mslog.VMFailed, Since: missingSince(name)}))
		}
	}
	return t
}

func poolVM(s *msstate.State, h mspool.Assignment, vm mslog.VM) mspool.VM {
	v := mspool.VM{
		Name:        vm.Name,
		DataCentre:  vm.DataCentre,
		Rack:        vm.Rack,
		Region:      vm.Region,
		Pool:        h.Pool,
		State:       poolState(vm.State),
		Since:       vm.Since,
		Moving:      h.To,
		MoveDrained: h.Phase == mspool.Drained,
		Lent:        h.Lent,
		Evacuated:   s.Evacuated(vm.DataCentre),
		Running:     vm.Running,
		ReportedAt:  vm.ReportedAt,
		BootID:      vm.BootID,
		Changed:     h.Changed,
	}
	v.MovingSince = s.MoveTimes[vm.Name]
	return v
}

func poolState(s mslog.VMState) mspool.State {
	switch s {
	case mslog.VMLive:
		return mspool.Serving
	case mslog.VMDraining:
		return mspool.Draining
	case mslog.VMRebooting:
		return mspool.Rebooting
	case mslog.VMLeaving:
		return mspool.Leaving
	}
	return mspool.Failed
}
