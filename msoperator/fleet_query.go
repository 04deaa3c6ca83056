package msoperator

import (
	"context"
	"time"

	"marjoramspan/msentry"
	"marjoramspan/mspool"
	"marjoramspan/msstate"
	"marjoramspan/mswave"
)

// table joins the state with the platform's list of VMs.
func (o *Operator) table(ctx context.Context, op string, s *msstate.State) (mspool.Table, error) {
	vms, err := o.Log.VMReports(ctx)
	if err != nil {
		return mspool.Table{}, &Error{Op: op, Kind: Unavailable, Err: err}
	}
	now := o.clock().Now()
	return msentry.FleetTable(s, vms, func(string) time.Time { return now }), nil
}

// Fleet is what an operator sees of the VMs.
type Fleet struct {
	Health []mspool.PoolHealth
	// Table has the wave's VMs marked as out of service.
	Table mspool.Table
	State *msstate.State
}

// Fleet returns the pools' health and their VMs.
func (o *Operator) Fleet(ctx context.Context) (Fleet, error) {
	const op = "pool show"
	_, s, err := o.read(ctx, op)
	if err != nil {
		return Fleet{}, err
	}
	t, err := o.table(ctx, op, s)
	if err != nil {
		return Fleet{}, err
	}
	marked := s.Wave.MarkOutOfService(t)
	return Fleet{Health: mspool.Health(marked), Table: marked, State: s}, nil
}

// WhyVM says why a VM stays as it is.
func (o *Operator) WhyVM(ctx context.Context, vm string) ([]mswave.Reason, error) {
	const op = "why"
	start := o.clock().Now()
	_, s, err := o.read(ctx, op)
	if err != nil {
		return nil, err
	}
	t, err := o.table(ctx, op, s)
	if err != nil {
		return nil, err
	}
	view := mswave.View{Table: t, ReadAt: start, Through: s.Next}
	return mswave.Why(&s.Wave, view, o.clock().Now(), vm), nil
}
