package msoperator

import (
	"context"
	"time"

	"marjoramspan/msentry"
	"marjoramspan/mspool"
	"marjoramspan/msstate"
	"marjoramspan/mswave"
)

// fleetTable combines the state with the platform's list of VMs. A VM that is missing
// from the list counts as failed since now.
func (o *Operator) fleetTable(ctx context.Context, op string, s *msstate.State) (mspool.Table, error) {
	vms, err := o.Log.VMReports(ctx)
	if err != nil {
		return mspool.Table{}, &Error{Op: op, Kind: Unavailable, Err: err}
	}
	now := o.clock().Now()
	return msentry.FleetTable(s, vms, func(string) time.Time { return now }), nil
}

// Fleet is a snapshot of the pools and their VMs.
type Fleet struct {
	Health []mspool.PoolHealth
	// Table has the VMs that the wave has taken out marked as out of service.
	Table mspool.Table
	State *msstate.State
}

// Fleet reads the state and the platform's VM list and returns the pools' health.
func (o *Operator) Fleet(ctx context.Context) (Fleet, error) {
	const op = "pool show"
	_, s, err := o.readState(ctx, op)
	if err != nil {
		return Fleet{}, err
	}
	t, err := o.fleetTable(ctx, op, s)
	if err != nil {
		return Fleet{}, err
	}
	marked := s.Wave.MarkOutOfService(t)
	return Fleet{Health: mspool.Health(marked), Table: marked, State: s}, nil
}

// WhyVM returns the reasons why a VM does not proceed through maintenance now.
func (o *Operator) WhyVM(ctx context.Context, vm string) ([]mswave.Reason, error) {
	const op = "why"
	start := o.clock().Now()
	_, s, err := o.readState(ctx, op)
	if err != nil {
		return nil, err
	}
	t, err := o.fleetTable(ctx, op, s)
	if err != nil {
		return nil, err
	}
	view := mswave.View{Table: t, ReadAt: start, Through: s.Next}
	return mswave.Why(&s.Wave, view, o.clock().Now(), vm), nil
}
