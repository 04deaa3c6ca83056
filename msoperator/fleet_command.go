package msoperator

import (
	"context"
	"fmt"
	"time"

	"marjoramspan/mspool"
	"marjoramspan/msstate"
	"marjoramspan/mswave"
)

// Move describes how moving a VM affects the pool that it leaves.
type Move struct {
	Version uint64 `json:"version,omitempty"`
	VM      string `json:"vm"`
	From    string `json:"from"`
	To      string `json:"to"`
	// InService is the number of VMs of From in service after the move, Needed the number
	// that its availability budget requires, and RackLoss the number of further VMs
	// that one rack failure could take out.
	InService int `json:"up"`
	Needed    int `json:"needed"`
	RackLoss  int `json:"rack-loss"`
	// Fits reports whether the move keeps within the budget.
	Fits bool `json:"fits"`
}

// MoveVM starts moving a VM to another pool. With dryRun it only returns the effect.
// A move that would break the availability budget of the VM's pool is rejected.
func (o *Operator) MoveVM(ctx context.Context, vm, to string, dryRun bool) (Move, error) {
	const op = "vm move"
	_, s, err := o.readState(ctx, op)
	if err != nil {
		return Move{}, err
	}
	t, err := o.fleetTable(ctx, op, s)
	if err != nil {
		return Move{}, err
	}
	v, err := findVM(op, t, vm)
	if err != nil {
		return Move{}, err
	}
	check := mspool.NewGuard(s.Wave.MarkOutOfService(t), 0).Check(v)
	m := Move{VM: vm, From: v.Pool, To: to, InService: check.Up, Needed: check.Needed, RackLoss: check.Lost, Fits: check.OK}
	if dryRun {
		return m, nil
	}
	if !m.Fits {
		reason := fmt.Sprintf("pool %s would have %d VMs in service and needs %d, and a rack failure could take %d more", m.From, m.InService, m.Needed, m.RackLoss)
		return m, &Error{Op: op, Kind: Rejected, Reason: reason}
	}
	r := mspool.Record{Kind: mspool.VMMoveOut, VM: vm, From: v.Pool, To: to, Base: v.Changed, Seen: s.Next, By: o.By}
	m.Version, err = o.appendChange(ctx, op, s.Next, msstate.VMChange(r))
	return m, err
}

func findVM(op string, t mspool.Table, vm string) (mspool.VM, error) {
	for _, v := range t.VMs {
		if v.Name == vm {
			return v, nil
		}
	}
	return mspool.VM{}, &Error{Op: op, Kind: Invalid, Reason: "no VM " + vm}
}

// StartWave starts a maintenance wave. With dryRun it only returns the forecast.
func (o *Operator) StartWave(ctx context.Context, name string, cfg mswave.Settings, dryRun bool) (mswave.Forecast, uint64, error) {
	const op = "wave start"
	_, s, err := o.readState(ctx, op)
	if err != nil {
		return mswave.Forecast{}, 0, err
	}
	t, err := o.fleetTable(ctx, op, s)
	if err != nil {
		return mswave.Forecast{}, 0, err
	}
	f, err := mswave.Plan(s.Wave.MarkOutOfService(t), name, cfg)
	if err != nil {
		return f, 0, &Error{Op: op, Kind: Invalid, Err: err}
	}
	if dryRun {
		return f, 0, nil
	}
	v, err := o.appendWaveRecord(ctx, op, s, mswave.Record{Kind: mswave.Start, Wave: name, Settings: cfg})
	return f, v, err
}

// PauseWave stops the wave until it is resumed. VMs that are out for maintenance still
// return to service.
func (o *Operator) PauseWave(ctx context.Context, reason string) (uint64, error) {
	const op = "wave pause"
	_, s, err := o.readState(ctx, op)
	if err != nil {
		return 0, err
	}
	return o.appendWaveRecord(ctx, op, s, mswave.Record{Kind: mswave.Stop, Wave: s.Wave.Wave, Reason: reason, Hold: true})
}

// ResumeWave continues a stopped wave. VMs that have failed so far no longer
// count towards its stop limit.
func (o *Operator) ResumeWave(ctx context.Context) (uint64, error) {
	const op = "wave resume"
	_, s, err := o.readState(ctx, op)
	if err != nil {
		return 0, err
	}
	return o.appendWaveRecord(ctx, op, s, mswave.Record{Kind: mswave.Resume, Wave: s.Wave.Wave})
}

// appendWaveRecord appends a wave record that was decided on state s.
func (o *Operator) appendWaveRecord(ctx context.Context, op string, s *msstate.State, r mswave.Record) (uint64, error) {
	r.Base = s.Wave.Changed
	r.Seen = s.Next
	r.At = o.clock().Now().UTC().Round(time.Millisecond)
	r.By = o.By
	return o.appendChange(ctx, op, s.Next, msstate.WaveChange(r))
}
