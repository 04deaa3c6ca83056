package msmeasure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"marjoramspan/mspool"
)

// How often things fail in the fleet measures, and how long they take.
const (
	vmFailuresPerDay = 6.0 / 860 // of one VM
	badReboots       = 0.03      // part of maintenance reboots that don't come back
	weakRackDelay    = 30 * time.Minute
	shortestRepair   = time.Hour
	longestRepair    = 6 * time.Hour
	longestOrdinary  = 24 * time.Hour
	shortestBoot     = 2 * time.Minute
	longestBoot      = 5 * time.Minute
	recallTime       = 10 * time.Minute
	prepareTime      = 3 * time.Minute // from moved in to serving
	fates            = 64              // reboots and repairs drawn beforehand for each VM
)

// fleetWorld is a fleet of VMs that fail by a list drawn beforehand. What
// happens to a VM does not depend on what a policy asked of others, but for the
// failures that follow a wave.
type fleetWorld struct {
	now, began time.Time
	tick       time.Duration
	pools      []mspool.Pool
	vms        []fleetVM
	failures   []fleetFailure
	turns      Turns
	// weakRack fails a while after the first maintenance reboot in it.
	weakRack string
	weakDone bool
	count    fleetCount
	// changes counts what has happened to VMs by themselves.
	changes int
}

// fleetVM is a VM as it really is.
type fleetVM struct {
	mspool.VM
	until time.Time // end of the present Failed, Rebooting or Draining
	// out and byPolicy: the policy keeps the VM out of service, or a reboot that
	// it ordered has not ended well yet.
	out, byPolicy bool
	boots         int
	fate          [fates]fleetFate
}

// fleetFate is what a VM's next reboot or repair will be like.
type fleetFate struct {
	bad                bool
	boot, repair, busy time.Duration
}

// fleetFailure takes down one VM, or a whole rack.
type fleetFailure struct {
	at      time.Time
	vm      int
	rack    string
	lasting time.Duration
}

// fleetCount adds up what a run cost.
type fleetCount struct {
	held, needed       time.Duration // VM time
	broken, brokenByUs time.Duration // pool time below the budget
	moves, restarts    int
	repairs, lends     int
	lateVMTime         time.Duration
	// stopped and waited are how long the wave stood still, by its own stop and
	// for want of VMs that a budget lets go.
	stopped, waited time.Duration
	mostFailed      int
}

// newFleetWorld draws a fleet of d that lives for span: as many VMs as its pools
// want, in racks of as many as d has workers in one.
func newFleetWorld(d Deployment, seed uint64, span, tick time.Duration) *fleetWorld {
	rnd := rand.New(rand.NewPCG(seed, xxhash.Sum64String(d.Name)))
	w := &fleetWorld{began: time.Unix(1_800_000_000, 0), tick: tick, turns: d.Turns}
	w.now = w.began
	for _, s := range d.Services {
		w.pools = append(w.pools, mspool.Pool{
			Name: s.Name, Size: s.Instances, Slots: s.Slots, Available: s.Available, Spare: s.Spare,
		})
	}
	vms := 0
	for _, s := range d.Services {
		vms += s.Instances
	}
	racks := (vms + d.Workers.PerRack - 1) / d.Workers.PerRack
	for i := range vms {
		w.vms = append(w.vms, newFleetVM(i, i/d.Workers.PerRack, d.DataCentres, w.now, rnd))
	}
	w.weakRack = fleetRack(rnd.IntN(racks))
	w.drawFailures(rnd, racks, span)
	return w
}

func fleetRack(i int) string {
	return fmt.Sprintf("rack%02d", i)
}

func newFleetVM(i, rack, centres int, now time.Time, rnd *rand.Rand) fleetVM {
	v := fleetVM{VM: mspool.VM{
		Name: fmt.Sprintf("vm%04d", i), Rack: fleetRack(rack), DataCentre: fmt.Sprintf("dc%d", rack%centres),
		State: mspool.Serving, Since: now, BootID: "0",
	}}
	v.LastMaintained = now.Add(-time.Duration(rnd.Float64() * float64(fleetPeriod-fleetInterval-fleetLongest)))
	for k := range v.fate {
		v.fate[k] = fleetFate{
			bad:    rnd.Float64() < badReboots,
			boot:   between(rnd, shortestBoot, longestBoot),
			repair: between(rnd, shortestRepair, longestRepair),
			busy:   time.Duration(math.Exp(rnd.NormFloat64()) * float64(time.Second)),
		}
	}
	return v
}

func between(rnd *rand.Rand, a, b time.Duration) time.Duration {
	return a + time.Duration(rnd.Float64()*float64(b-a))
}

// drawFailures draws ordinary failures of VMs and the loss of one rack.
func (w *fleetWorld) drawFailures(rnd *rand.Rand, racks int, span time.Duration) {
	for i := range w.vms {
		at := w.began
		for {
			days := rnd.ExpFloat64() / vmFailuresPerDay
			at = at.Add(time.Duration(days * float64(24*time.Hour)))
			if at.Sub(w.began) > span {
				break
			}
			w.failures = append(w.failures, fleetFailure{at: at, vm: i, lasting: between(rnd, shortestRepair, longestOrdinary)})
		}
	}
	w.failures = append(w.failures, fleetFailure{
		at:      w.began.Add(time.Duration(rnd.Float64() * float64(span))),
		rack:    fleetRack(rnd.IntN(racks)),
		lasting: between(rnd, shortestRepair, longestRepair),
	})
}

// pass lets one tick pass.
func (w *fleetWorld) pass() {
	w.now = w.now.Add(w.tick)
	kept := w.failures[:0]
	for _, f := range w.failures {
		if f.at.After(w.now) {
			kept = append(kept, f)
			continue
		}
		w.fail(f)
	}
	w.failures = kept
	for i := range w.vms {
		w.passOne(i)
	}
	w.add()
}

func (w *fleetWorld) fail(f fleetFailure) {
	for i := range w.vms {
		v := &w.vms[i]
		if f.rack == "" && i != f.vm || f.rack != "" && v.Rack != f.rack {
			continue
		}
		w.breakVM(v, f.lasting)
	}
}

func (w *fleetWorld) breakVM(v *fleetVM, lasting time.Duration) {
	until := w.now.Add(lasting)
	if v.State == mspool.Failed && v.until.After(until) {
		return
	}
	w.changes++
	v.State, v.Since, v.until = mspool.Failed, w.now, until
}

func (w *fleetWorld) passOne(i int) {
	v := &w.vms[i]
	over := !w.now.Before(v.until)
	switch {
	case v.State == mspool.Failed && over:
		w.changes++
		w.count.repairs++
		v.boots++
		v.BootID = fmt.Sprint(v.boots)
		v.State, v.Since, v.LastMaintained, v.byPolicy = mspool.Serving, w.now, w.now, false
	case v.State == mspool.Rebooting && over, v.State == mspool.Draining && over && !v.until.IsZero():
		w.changes++
		v.State, v.Since = mspool.Serving, w.now
	}
	v.Running = w.running(i)
	v.ReportedAt = w.now
}

// running returns the requests on VM i: all its slots while its pool's queue
// has its turn, and until they end once it is out of service.
func (w *fleetWorld) running(i int) int {
	v := &w.vms[i]
	if v.State != mspool.Serving && v.State != mspool.Draining {
		return 0
	}
	if v.out && w.now.Sub(v.Since) >= v.fate[v.boots%fates].busy {
		return 0
	}
	turn := int(w.now.Sub(w.began)/w.turns.For) % len(w.pools)
	for k, p := range w.pools {
		if p.Name == v.Pool && !p.Spare && k == turn {
			return p.Slots
		}
	}
	return 0
}

// reboot carries out a maintenance reboot.
func (w *fleetWorld) reboot(v *fleetVM) {
	fate := v.fate[v.boots%fates]
	v.boots++
	v.BootID = fmt.Sprint(v.boots)
	v.byPolicy = true
	w.count.restarts++
	if fate.bad {
		w.breakVM(v, fate.repair)
	} else {
		v.State, v.Since, v.until = mspool.Rebooting, w.now, w.now.Add(fate.boot)
	}
	if v.Rack == w.weakRack && !w.weakDone {
		w.weakDone = true
		w.failures = append(w.failures, fleetFailure{at: w.now.Add(weakRackDelay), rack: v.Rack, lasting: fate.repair})
	}
}

// inService reports whether v counts for its pool's budget.
func (v *fleetVM) inService() bool {
	return v.State == mspool.Serving && v.Moving == "" && !v.Lent && !v.out
}

// add counts one tick. A budget is broken by us where the VMs that the policy
// keeps out, or that its reboots have not brought back, would have kept it.
func (w *fleetWorld) add() {
	for _, p := range w.pools {
		up, ours, held := 0, 0, 0
		for i := range w.vms {
			v := &w.vms[i]
			if v.Pool != p.Name {
				continue
			}
			if v.inService() {
				up++
			} else if v.out || v.byPolicy || v.Moving != "" {
				ours++
			}
			if v.State != mspool.Failed && !v.Lent {
				held++
			}
		}
		w.addPool(p, up, ours, held)
	}
	failed := 0
	for i := range w.vms {
		if w.now.Sub(w.vms[i].LastMaintained) > fleetPeriod {
			w.count.lateVMTime += w.tick
		}
		if w.vms[i].State == mspool.Failed {
			failed++
		}
	}
	w.count.mostFailed = max(w.count.mostFailed, failed)
}

func (w *fleetWorld) addPool(p mspool.Pool, up, ours, held int) {
	if p.Spare {
		w.count.held += time.Duration(held) * w.tick
		return
	}
	w.count.needed += time.Duration(p.Size) * w.tick
	w.count.held += time.Duration(max(0, held-p.Size)) * w.tick
	if up < p.Needed() {
		w.count.broken += w.tick
		if up+ours >= p.Needed() {
			w.count.brokenByUs += w.tick
		}
	}
}
