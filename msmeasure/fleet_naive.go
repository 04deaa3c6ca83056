package msmeasure

import (
	"time"

	"marjoramspan/mspool"
)

// fleetNaive is the naive way to keep a fleet: VMs go to pools in the order of
// their names, the spare pool has a fixed size, a failed VM is replaced by the
// first spare one and joins the spare pool when it is back, and a wave takes one
// VM at a time in that order.
type fleetNaive struct {
	*fleetWorld
	// wave is the place of the VM that the wave has come to, len(vms) when done.
	wave    int
	started time.Time // of the present VM's drain or reboot, zero for none
	timeout time.Duration
}

// newFleetNaive fills the pools in order, and then the spare pool up to spare
// VMs; the rest is lent for good.
func newFleetNaive(w *fleetWorld, spare int) *fleetNaive {
	n := &fleetNaive{fleetWorld: w, wave: len(w.vms), timeout: 15 * time.Minute}
	i := 0
	for _, p := range w.pools {
		for k := 0; k < p.Size && i < len(w.vms); k++ {
			w.vms[i].Pool = p.Name
			w.vms[i].Lent = p.Spare && k >= spare
			i++
		}
	}
	return n
}

func (n *fleetNaive) act() {
	for i := range n.vms {
		v := &n.vms[i]
		if v.State == mspool.Failed && n.now.Sub(v.Since) >= mspool.DefaultReplaceAfter && !n.isSpare(v.Pool) {
			n.replace(v)
		}
	}
	n.maintain()
}

func (n *fleetNaive) isSpare(pool string) bool {
	for _, p := range n.pools {
		if p.Name == pool {
			return p.Spare
		}
	}
	return true
}

// replace swaps a failed VM with the first spare one: one move there, and one
// for the failed VM, which belongs to the spare pool from then on.
func (n *fleetNaive) replace(v *fleetVM) {
	for i := range n.vms {
		s := &n.vms[i]
		if !n.isSpare(s.Pool) || s.State != mspool.Serving || s.Lent || s.out {
			continue
		}
		s.Pool, v.Pool = v.Pool, s.Pool
		s.busyFor(mspool.Rebooting, n.now, prepareTime)
		n.count.moves += 2
		return
	}
}

// maintain takes the wave's present VM one step further.
func (n *fleetNaive) maintain() {
	if n.wave >= len(n.vms) {
		return
	}
	v := &n.vms[n.wave]
	switch {
	case n.started.IsZero() && v.State == mspool.Failed:
		n.wave++
	case n.started.IsZero():
		v.out = true
		n.started = n.now
	case v.out && v.Running == 0 && v.State == mspool.Serving:
		v.out = false
		n.reboot(v)
	case v.State == mspool.Serving && !v.out:
		v.byPolicy = false
		v.LastMaintained = n.now
		n.next()
	case n.now.Sub(n.started) >= n.timeout:
		v.out = false
		n.next()
	}
}

func (n *fleetNaive) next() {
	n.wave++
	n.started = time.Time{}
}
