package msoperator

import (
	"context"
	"fmt"
	"time"

	"marjoramspan/mspool"
	"marjoramspan/msstate"
	"marjoramspan/mswave"
)

// Move is what moving a VM does to its pool.
type Move struct {
	Version uint64 `json:"version,omitempty"`
	VM      string `json:"vm"`
	From    string `json:"from"`
	To      string `json:"to"`
	// Up is how many VMs of From are in service once it has gone, Needed how many
	// its budget asks for, and Lost how many more a rack's failure could take.
	Up     int `json:"up"`
	Needed int `json:"needed"`
	Lost   int `json:"rack-loss"`
	// Fits says whether the budget holds.
	Fits bool `json:"fits"`
}

// MoveVM begins to move a VM to another pool, or with dry only says what that
// would do. A move that breaks the budget of the VM's pool is refused.
func (o *Operator) MoveVM(ctx context.Context, vm, to string, dry bool) (Move, error) {
	const op = "vm move"
	_, s, err := o.read(ctx, op)
	if err != nil {
		return Move{}, err
	}
	t, err := o.table(ctx, op, s)
	if err != nil {
		return Move{}, err
	}
	v, err := find(op, t, vm)
	if err != nil {
		return Move{}, err
	}
	check := mspool.NewGuard(s.Wave.MarkOutOfService(t), 0).Check(v)
	m := Move{VM: vm, From: v.Pool, To: to, Up: check.Up, Needed: check.Needed, Lost: check.Lost, Fits: check.OK}
	if dry {
		return m, nil
	}
	if !m.Fits {
		reason := fmt.Sprintf("pool %s would be left with %d VMs and needs %d, and a rack may fail with %d more", m.From, m.Up, m.Needed, m.Lost)
		return m, &Error{Op: op, Kind: Rejected, Reason: reason}
	}
	r := mspool.Record{Kind: mspool.VMMoveOut, VM: vm, From: v.Pool, To: to, Base: v.Changed, Seen: s.Next, By: o.By}
	m.Version, err = o.change(ctx, op, s.Next, msstate.VMChange(r))
	return m, err
}

func find(op string, t mspool.Table, vm string) (mspool.VM, error) {
	for _, v := range t.VMs {
		if v.Name == vm {
			return v, nil
		}
	}
	return mspool.VM{}, &Error{Op: op, Kind: Invalid, Reason: "no VM " + vm}
}

// StartWave begins a maintenance wave, or with dry only forecasts it.
func (o *Operator) StartWave(ctx context.Context, name string, cfg mswave.Settings, dry bool) (mswave.Forecast, uint64, error) {
	const op = "wave start"
	_, s, err := o.read(ctx, op)
	if err != nil {
		return mswave.Forecast{}, 0, err
	}
	t, err := o.table(ctx, op, s)
	if err != nil {
		return mswave.Forecast{}, 0, err
	}
	f, err := mswave.Plan(s.Wave.MarkOutOfService(t), name, cfg)
	if err != nil {
		return f, 0, &Error{Op: op, Kind: Invalid, Err: err}
	}
	if dry {
		return f, 0, nil
	}
	v, err := o.wave(ctx, op, s, mswave.Record{Kind: mswave.Start, Wave: name, Settings: cfg})
	return f, v, err
}

// PauseWave stops the wave until it is resumed. VMs that are out come back.
func (o *Operator) PauseWave(ctx context.Context, reason string) (uint64, error) {
	const op = "wave pause"
	_, s, err := o.read(ctx, op)
	if err != nil {
		return 0, err
	}
	return o.wave(ctx, op, s, mswave.Record{Kind: mswave.Stop, Wave: s.Wave.Wave, Reason: reason, Hold: true})
}

// ResumeWave lets a stopped wave go on. The VMs that are lost so far no longer
// count against it.
func (o *Operator) ResumeWave(ctx context.Context) (uint64, error) {
	const op = "wave resume"
	_, s, err := o.read(ctx, op)
	if err != nil {
		return 0, err
	}
	return o.wave(ctx, op, s, mswave.Record{Kind: mswave.Resume, Wave: s.Wave.Wave})
}

// wave writes a record decided on s.
func (o *Operator) wave(ctx context.Context, op string, s *msstate.State, r mswave.Record) (uint64, error) {
	r.Base = s.Wave.Changed
	r.Seen = s.Next
	r.At = o.clock().Now().UTC().Round(time.Millisecond)
	r.By = o.By
	return o.change(ctx, op, s.Next, msstate.WaveChange(r))
}
