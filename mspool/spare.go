package mspool

import "time"

// Reserve returns how many VMs the spare pool has to keep ready. After the failure
// of the rack that requires the most replacements, they suffice to let every pool
// survive the loss of another rack. One more VM covers a single failure meanwhile.
func Reserve(t Table, cfg Settings, now time.Time) int {
	return newPlanner(t, cfg.withDefaults(), now).reserve()
}

func (p *planner) reserve() int {
	byRack := make(map[string]int)
	current := 0
	for _, pp := range p.pools {
		if pp.pool.Spare {
			for rack, n := range pp.racks {
				byRack[rack] += n
			}
			continue
		}
		need := pp.neededAfterLoss("", 0)
		current += need
		for rack, n := range pp.racks {
			byRack[rack] += pp.neededAfterLoss(rack, n) - need
		}
	}
	return 1 + current + max(0, worstLoss(byRack, 0).Serving)
}

// neededAfterLoss returns how many more VMs the pool needs to survive the loss of a
// rack after it has already lost the given number of VMs in lostRack.
func (pp *projectedPool) neededAfterLoss(lostRack string, lost int) int {
	largestOther := 0
	for rack, c := range pp.racks {
		if rack != lostRack {
			largestOther = max(largestOther, c)
		}
	}
	remaining := pp.present - lost
	missing := max(0, pp.want-remaining)
	return max(0, min(missing, pp.pool.Needed()+largestOther-remaining))
}

// readyTarget returns how many VMs the spare pool should keep ready.
func (p *planner) readyTarget() int {
	switch {
	case p.cfg.MinSpare > 0:
		return p.cfg.MinSpare
	case p.cfg.Lend:
		return p.reserve()
	}
	return p.spare.pool.Size
}

// refillSpare moves VMs from pools with a surplus to the spare pool, at most one per
// pool and plan. It does so at once while the spare pool, lent VMs included, is too
// small. Otherwise it waits until the surplus has lasted for ReturnAfter, because
// most surpluses disappear sooner.
func (p *planner) refillSpare() {
	if p.spare == nil {
		return
	}
	belowTarget := p.spare.present < p.readyTarget()
	for _, pp := range p.pools {
		if pp.pool.Spare || !belowTarget && p.countStable(pp) <= pp.want {
			continue
		}
		if i, ok := p.takeMostCrowded(pp); ok {
			v := p.table.VMs[i]
			pp.remove(v)
			p.spare.add(v)
			p.addDecision(i, VMMoveOut, p.spare.pool.Name, "the pool has more than its size")
		}
	}
}

// countStable returns how many VMs of pp have been up for at least ReturnAfter.
func (p *planner) countStable(pp *projectedPool) int {
	n := 0
	for _, i := range pp.up {
		if p.now.Sub(p.table.VMs[i].Since) >= p.cfg.ReturnAfter {
			n++
		}
	}
	return n
}

// takeMostCrowded takes the VM whose removal leaves pp spread best. It reports false
// if no VM can be released or the budget doesn't allow it.
func (p *planner) takeMostCrowded(pp *projectedPool) (int, bool) {
	best := -1
	for _, i := range pp.up {
		v := p.table.VMs[i]
		if !p.canRelease(pp, i) {
			continue
		}
		if best < 0 || pp.spreadsMore(p.table.VMs[best], v) {
			best = i
		}
	}
	if best < 0 {
		return 0, false
	}
	return best, p.guard.Take(p.table.VMs[best])
}

// lendOrRecall lends surplus VMs of the spare pool to the platform's jobs, and
// recalls lent VMs when too few are ready. It keeps one VM more than needed, so that
// a VM that fails and comes back causes neither a recall nor a loan.
func (p *planner) lendOrRecall() {
	if p.spare == nil || !p.cfg.Lend {
		return
	}
	ready := p.readySpares()
	target := p.readyTarget()
	for k := len(ready); k > target+1; k-- {
		p.addDecision(ready[k-1], VMLend, "", "the spare pool has more than it needs")
	}
	missing := target - len(ready) - p.becomingReady()
	for _, i := range p.spare.all {
		v := p.table.VMs[i]
		if missing <= 0 {
			return
		}
		if v.Lent && v.Moving == "" && !p.decided[i] && v.State != Failed && v.State != Leaving {
			p.addDecision(i, VMRecall, "", "the spare pool has too few")
			missing--
		}
	}
}

// becomingReady counts the VMs that drain, reboot or move into the spare pool and
// will be ready soon.
func (p *planner) becomingReady() int {
	n := 0
	for _, i := range p.spare.all {
		v := p.table.VMs[i]
		if !v.Lent && v.Moving == "" && (v.State == Draining || v.State == Rebooting) {
			n++
		}
	}
	return n + len(p.spare.incoming)
}
