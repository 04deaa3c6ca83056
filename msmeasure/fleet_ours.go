package msmeasure

import (
	"fmt"
	"time"

	"marjoramspan/mspool"
	"marjoramspan/mswave"
)

// fleetOurs drives a world by mspool and mswave, as the daemon does.
type fleetOurs struct {
	*fleetWorld
	own  mspool.Ownership
	wave mswave.State
	cfg  mspool.Settings
	// rollOut is the setting of the wave.
	rollOut mswave.Settings
	offset  uint64
	// acted is the world's changes, and the offset, when act last found work.
	acted  int
	logged uint64
	until  time.Time
}

const placeSteps = 50 // plans that suffice to place a fleet

func newFleetOurs(w *fleetWorld) *fleetOurs {
	o := &fleetOurs{fleetWorld: w, cfg: mspool.Settings{Lend: true}, rollOut: mswave.Settings{MinSpare: 1}}
	for range placeSteps {
		if o.plan() == 0 {
			break
		}
	}
	for i := range w.vms {
		w.vms[i].until = time.Time{}
		w.vms[i].State = mspool.Serving
	}
	w.count = fleetCount{}
	return o
}

func (o *fleetOurs) table() mspool.Table {
	t := mspool.Table{Pools: o.pools, VMs: make([]mspool.VM, len(o.vms))}
	for i := range o.vms {
		t.VMs[i] = o.vms[i].VM
	}
	return t
}

// idleTime is how long nothing is looked at while nothing happens.
const idleTime = 10 * time.Minute

// idle reports whether nothing has happened that could ask for a decision.
func (o *fleetOurs) idle() bool {
	if o.waveOver() && o.acted == o.changes && o.logged == o.offset && o.now.Before(o.until) {
		return true
	}
	o.acted, o.logged = o.changes, o.offset
	o.until = o.now.Add(idleTime)
	return false
}

// act takes one step of the plan and of the wave.
func (o *fleetOurs) act() error {
	if o.idle() {
		return nil
	}
	o.plan()
	view := o.view()
	for _, a := range mswave.Step(&o.wave, view, o.now) {
		if a.Kind == mswave.Append {
			if err := o.append(a.Record); err != nil {
				return err
			}
			continue
		}
		o.drive(a)
	}
	o.join()
	o.addStandstill()
	return nil
}

// addStandstill counts the time in which a wave has VMs to take and none out.
func (o *fleetOurs) addStandstill() {
	out := 0
	for _, p := range o.wave.VMs {
		if p.Phase == mswave.Draining || p.Phase == mswave.Rebooting {
			out++
		}
	}
	switch {
	case o.wave.Status == mswave.Stopped:
		o.count.stopped += o.tick
	case o.wave.Status == mswave.Running && out == 0:
		o.count.waited += o.tick
	}
}

func (o *fleetOurs) view() mswave.View {
	return mswave.View{Table: o.table(), ReadAt: o.now, Through: o.offset}
}

func (o *fleetOurs) append(r mswave.Record) error {
	o.offset++
	r.Offset = o.offset
	r.ID = fmt.Sprint(o.offset)
	return o.wave.Apply(r, &o.own)
}

func (o *fleetOurs) startWave(cutoff time.Time) error {
	cfg := o.rollOut
	cfg.Cutoff = cutoff
	return o.append(mswave.Record{Kind: mswave.Start, Wave: fmt.Sprint(o.offset), Base: o.wave.Changed, At: o.now, Settings: cfg})
}

// plan appends what the pool plan asks for and returns how much that was.
func (o *fleetOurs) plan() int {
	cfg := o.cfg
	cfg.Loans = mswave.Loans(&o.wave, o.view(), o.now)
	decisions := mspool.Plan(o.wave.MarkOutOfService(o.table()), cfg, o.now)
	for _, d := range decisions {
		r := d.Record(fmt.Sprint(o.offset), "measure", o.offset)
		o.offset++
		r.Offset = o.offset
		if o.own.Apply(r) == nil {
			o.took(d)
		}
	}
	o.join()
	return len(decisions)
}

// took counts an accepted decision and what it does to the VM.
func (o *fleetOurs) took(d mspool.Decision) {
	v := o.find(d.VM)
	switch d.Kind {
	case mspool.VMMoveOut:
		o.count.moves++
		v.MovingSince = o.now
	case mspool.VMMoveIn:
		v.busyFor(mspool.Rebooting, o.now, prepareTime)
	case mspool.VMLend:
		o.count.lends++
	case mspool.VMRecall:
		v.busyFor(mspool.Draining, o.now, recallTime)
	}
}

func (v *fleetVM) busyFor(s mspool.State, now time.Time, d time.Duration) {
	if v.State == mspool.Serving {
		v.State, v.Since, v.until = s, now, now.Add(d)
	}
}

func (o *fleetOurs) drive(a mswave.Action) {
	v := o.find(a.VM)
	switch a.Kind {
	case mswave.DrainVM:
		v.State, v.Since, v.until = mspool.Draining, o.now, time.Time{}
	case mswave.RebootVM:
		if v.BootID == a.BootID && v.State != mspool.Failed {
			o.reboot(v)
		}
	case mswave.UndrainVM:
		if v.until.IsZero() {
			v.State, v.Since = mspool.Serving, o.now
		}
	}
}

// join copies what the log says to the VMs.
func (o *fleetOurs) join() {
	for i := range o.vms {
		v := &o.vms[i]
		h := o.own.VMs[v.Name]
		v.Pool, v.Moving, v.Lent, v.Changed = h.Pool, h.To, h.Lent, h.Changed
		v.MoveDrained = h.Phase == mspool.Drained
		wasOut := v.out
		v.out = o.wave.OutOfService(v.Name)
		if p := o.wave.VMs[v.Name]; wasOut && p.Phase == mswave.Returned {
			v.LastMaintained, v.byPolicy = p.Since, false
		}
	}
}

func (w *fleetWorld) find(vm string) *fleetVM {
	for i := range w.vms {
		if w.vms[i].Name == vm {
			return &w.vms[i]
		}
	}
	return nil
}
