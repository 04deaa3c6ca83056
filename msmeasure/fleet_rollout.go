package msmeasure

import (
	"fmt"
	"time"

	"marjoramspan/mswave"
)

// fleetRollOut runs one wave over every VM, with the loss of a rack, reboots
// that fail and a rack that fails after its first reboot, and returns the hours
// until no VM that is up is left, and budget-breaches.
func fleetRollOut(d Deployment, seed uint64) ([]Line, error) {
	ours, took, err := oursRollOut(d, seed)
	if err != nil {
		return nil, err
	}
	naive, naiveTook := naiveRollOut(d, seed)
	l := line("roll-out-time", d, seed, took.Hours(), naiveTook.Hours(), []Note{
		{"unit", "hours"},
		{"broken", minutes(ours.broken)},
		{"baseline-broken", minutes(naive.broken)},
		{"moves", fmt.Sprint(ours.moves)},
		{"restarts", fmt.Sprint(ours.restarts)},
		{"moves-per-maintained", fmt.Sprintf("%.3g", ours.perMaintained())},
		{"baseline-moves-per-maintained", fmt.Sprintf("%.3g", naive.perMaintained())},
		{"most-failed", fmt.Sprint(ours.mostFailed)},
	})
	l.Target = fleetGain * l.Baseline
	l.Cause = fmt.Sprintf("up to %d VMs failed at the same time: the wave stopped itself for %s and waited for budgets, with no spare VM left, for %s",
		ours.mostFailed, minutes(ours.stopped), minutes(ours.waited))
	return []Line{l, breaches(d, seed, "roll-out", ours, naive)}, nil
}

func (o *fleetOurs) waveOver() bool {
	return o.wave.Status == "" || o.wave.Status == mswave.Ended
}

func oursRollOut(d Deployment, seed uint64) (fleetCount, time.Duration, error) {
	o := newFleetOurs(newFleetWorld(d, seed, rollOutSpan, rollOutTick))
	if err := o.startWave(time.Time{}); err != nil {
		return fleetCount{}, 0, err
	}
	for !o.waveOver() && o.now.Sub(o.began) < rollOutMost {
		o.pass()
		if err := o.act(); err != nil {
			return fleetCount{}, 0, err
		}
	}
	return o.count, o.now.Sub(o.began), nil
}

func naiveRollOut(d Deployment, seed uint64) (fleetCount, time.Duration) {
	n := newFleetNaive(newFleetWorld(d, seed, rollOutSpan, rollOutTick), spareSize(d))
	n.wave = 0
	for n.wave < len(n.vms) {
		n.pass()
		n.act()
	}
	return n.count, n.now.Sub(n.began)
}
