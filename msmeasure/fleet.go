package msmeasure

import (
	"fmt"
	"time"

	"marjoramspan/mswave"
)

// Times of the fleet measures.
const (
	fleetPeriod   = 28 * 24 * time.Hour
	fleetTick     = time.Minute
	fleetInterval = 24 * time.Hour // between two waves of ours
	fleetLongest  = 6 * time.Hour  // of one of them
	rollOutTick   = 10 * time.Second
	rollOutSpan   = 6 * time.Hour // within which the rack fails
	rollOutMost   = 7 * 24 * time.Hour
	// fleetGain is the wanted ratio of ours to the baseline.
	fleetGain = 0.7
)

// FleetMeasures returns the measures of pools and waves.
func FleetMeasures() []Measure {
	return []Measure{
		{Name: "fleet", Run: fleetMonth},
		{Name: "roll-out-time", Run: fleetRollOut},
	}
}

// fleetMonth runs four weeks of failures with every VM maintained, and returns
// buffer-cost, moves and budget-breaches.
func fleetMonth(d Deployment, seed uint64) ([]Line, error) {
	ours, err := oursMonth(d, seed)
	if err != nil {
		return nil, err
	}
	naive := naiveMonth(d, seed, spareSize(d))
	least, found := leastFixed(d, seed, ours.broken)
	leastNote := "none"
	if found {
		leastNote = fmt.Sprint(least)
	}
	budgets := []Note{
		{"broken", minutes(ours.broken)},
		{"baseline-broken", minutes(naive.broken)},
		{"least-fixed-spare", leastNote},
		{"lends", fmt.Sprint(ours.lends)},
	}
	work := []Note{
		{"moves", fmt.Sprint(ours.moves)},
		{"restarts", fmt.Sprint(ours.restarts)},
		{"baseline-moves", fmt.Sprint(naive.moves)},
		{"baseline-restarts", fmt.Sprint(naive.restarts)},
		{"late-vm-hours", hours(ours.lateVMTime)},
		{"repairs", fmt.Sprint(ours.repairs)},
	}
	cost := line("buffer-cost", d, seed, ours.bufferCost(), naive.bufferCost(), budgets)
	cost.Target = fleetGain * cost.Baseline
	cost.Cause = "VMs that came back stay with their pools until the surplus has lasted, and the reserve grows with each rack that holds two VMs of a pool"
	moves := line("moves", d, seed, ours.perMaintained(), naive.perMaintained(), work)
	moves.Target = min(1, moves.Baseline)
	moves.Cause = "more VMs were moved in place of failed ones than failed ones came back"
	return []Line{cost, moves, breaches(d, seed, "month", ours, naive)}, nil
}

func breaches(d Deployment, seed uint64, run string, ours, naive fleetCount) Line {
	return line("budget-breaches", d, seed, ours.brokenByUs.Minutes(), naive.brokenByUs.Minutes(), []Note{
		{"run", run},
		{"unit", "pool-minutes-by-own-actions"},
		{"by-failures", minutes(ours.broken - ours.brokenByUs)},
		{"baseline-by-failures", minutes(naive.broken - naive.brokenByUs)},
	})
}

func line(name string, d Deployment, seed uint64, ours, baseline float64, notes []Note) Line {
	return Line{Name: name, Deployment: d.Name, Ours: ours, Baseline: baseline, Seed: seed, Notes: notes}
}

func minutes(d time.Duration) string { return fmt.Sprintf("%.0fmin", d.Minutes()) }

func hours(d time.Duration) string { return fmt.Sprintf("%.0f", d.Hours()) }

func (c fleetCount) bufferCost() float64 {
	return c.held.Hours() / c.needed.Hours()
}

// perMaintained returns moves and planned restarts for each time that a VM came
// back maintained, by a planned restart or by a repair.
func (c fleetCount) perMaintained() float64 {
	return float64(c.moves+c.restarts) / float64(c.restarts+c.repairs)
}

func spareSize(d Deployment) int {
	for _, s := range d.Services {
		if s.Spare {
			return s.Instances
		}
	}
	return 0
}

func oursMonth(d Deployment, seed uint64) (fleetCount, error) {
	o := newFleetOurs(newFleetWorld(d, seed, fleetPeriod, fleetTick))
	next := o.began.Add(fleetInterval)
	for o.now.Sub(o.began) < fleetPeriod {
		o.pass()
		if !o.now.Before(next) && o.waveOver() {
			if err := o.startWave(mswave.PeriodicCutoff(o.now, fleetPeriod, fleetInterval, fleetLongest)); err != nil {
				return fleetCount{}, err
			}
			next = next.Add(fleetInterval)
		}
		if err := o.act(); err != nil {
			return fleetCount{}, err
		}
	}
	return o.count, nil
}

// naiveMonth runs the naive way with one wave in the middle of the four weeks.
func naiveMonth(d Deployment, seed uint64, spare int) fleetCount {
	n := newFleetNaive(newFleetWorld(d, seed, fleetPeriod, fleetTick), spare)
	started := false
	for n.now.Sub(n.began) < fleetPeriod {
		n.pass()
		if !started && n.now.Sub(n.began) >= fleetPeriod/2 {
			started = true
			n.wave = 0
		}
		n.act()
	}
	return n.count
}

// leastFixed returns the smallest fixed spare pool with which the naive way
// breaks budgets for no longer than broken.
func leastFixed(d Deployment, seed uint64, broken time.Duration) (int, bool) {
	for spare := range spareSize(d) + 1 {
		if naiveMonth(d, seed, spare).broken <= broken {
			return spare, true
		}
	}
	return 0, false
}
