package mspool

import "time"

// advanceMoves advances each move in progress by one step, and retires VMs that
// the platform is removing. Any entry can finish a move that another one started.
func (p *planner) advanceMoves() {
	for i, v := range p.table.VMs {
		switch {
		case v.Pool == "":
			continue
		case v.Moving == "" && v.State == Leaving && p.isDrained(v, v.Since):
			p.addDecision(i, VMRetire, "", "the platform takes it away")
		case v.Moving == "":
			continue
		case v.MoveDrained:
			p.addDecision(i, VMMoveIn, p.moveTarget(v), "drained")
		case p.byName[v.Moving] == nil:
			p.addDecision(i, VMMoveIn, v.Pool, "its target pool is gone")
		case p.isDrained(v, v.MovingSince):
			p.addDecision(i, VMDrained, "", "runs no request")
		}
	}
}

// moveTarget returns the pool that a drained VM moves into: its target, or the
// spare pool if the target no longer exists.
func (p *planner) moveTarget(v VM) string {
	if p.byName[v.Moving] == nil && p.spare != nil {
		return p.spare.pool.Name
	}
	return v.Moving
}

// isDrained reports whether no request can be running on v, which has been closed
// to new work since the given time. For Lease and ClockSkew after that time, an
// entry that has not read the change may still send work. From then on v is drained
// once it reports no running request, or once MaxRun has passed.
func (p *planner) isDrained(v VM, since time.Time) bool {
	noNewWorkSince := since.Add(p.cfg.Lease + ClockSkew)
	if v.Running == 0 && !v.ReportedAt.Before(noNewWorkSince) {
		return true
	}
	return !p.now.Before(noNewWorkSince.Add(p.cfg.MaxRun))
}

// assignUnassigned assigns VMs without a pool to the pools that are filled least,
// spread over racks, and the rest to the spare pool.
func (p *planner) assignUnassigned() {
	var unassigned []int
	for _, i := range p.index.unassigned {
		if v := p.table.VMs[i]; v.Pool == "" && v.State != Failed && v.State != Leaving {
			unassigned = append(unassigned, i)
		}
	}
	for len(unassigned) > 0 {
		to := p.leastFilled(len(unassigned))
		if to == nil {
			return
		}
		best := to.bestCandidate(p.table, unassigned)
		i := unassigned[best]
		unassigned = append(unassigned[:best], unassigned[best+1:]...)
		to.add(p.table.VMs[i])
		p.addDecision(i, VMAssign, to.pool.Name, "new in the fleet")
	}
}

// leastFilled returns the pool with the lowest ratio of present to wanted VMs. The
// spare pool is considered once there are more unassigned VMs than the other pools
// are missing, so that it is spread over racks as well.
func (p *planner) leastFilled(unassigned int) *projectedPool {
	missing := 0
	for _, pp := range p.pools {
		if !pp.pool.Spare {
			missing += max(0, pp.want-pp.present)
		}
	}
	var least *projectedPool
	for _, pp := range p.pools {
		if pp.present >= pp.want || pp.pool.Spare && unassigned <= missing {
			continue
		}
		if least == nil || pp.present*least.want < least.present*pp.want {
			least = pp
		}
	}
	if least == nil {
		return p.spare
	}
	return least
}

// bestCandidate returns the index in candidates of the VM that spreads the pool
// best: the one whose rack, then data centre, has the fewest members of the pool.
func (pp *projectedPool) bestCandidate(tab Table, candidates []int) int {
	best := 0
	for k := 1; k < len(candidates); k++ {
		if pp.spreadsMore(tab.VMs[candidates[k]], tab.VMs[candidates[best]]) {
			best = k
		}
	}
	return best
}

// spreadsMore reports whether adding a would spread the pool more than adding b.
func (pp *projectedPool) spreadsMore(a, b VM) bool {
	if pp.racks[a.Rack] != pp.racks[b.Rack] {
		return pp.racks[a.Rack] < pp.racks[b.Rack]
	}
	return pp.dataCentres[a.DataCentre] < pp.dataCentres[b.DataCentre]
}

// fillPools starts moves into pools that need VMs. It takes VMs from pools with a
// surplus before spare VMs, so that one move corrects both pools.
func (p *planner) fillPools() {
	for _, pp := range p.byShortfall() {
		for range p.vmsToMoveIn(pp) {
			if !p.startMoveInto(pp) {
				return
			}
		}
	}
}

// vmsToMoveIn returns how many VMs to move into pp now. A full pool gets more only
// to survive the loss of a rack that holds several of its VMs.
func (p *planner) vmsToMoveIn(pp *projectedPool) int {
	missing := pp.want - pp.present
	shortfall := pp.shortfall()
	if missing > 0 {
		return max(0, min(missing, max(shortfall, p.overdueReplacements(pp), pp.loan)))
	}
	largestRack := worstLoss(pp.racks, 0).Serving
	if largestRack < 2 {
		return 0
	}
	return max(0, min(shortfall, largestRack-1+missing))
}

// overdueReplacements counts the members of pp that are leaving or have been failed
// for ReplaceAlwaysAfter, which are replaced in any case, and the positions of the pool that
// have no VM assigned.
func (p *planner) overdueReplacements(pp *projectedPool) int {
	overdue, unfilled := 0, pp.want
	for _, i := range pp.all {
		v := p.table.VMs[i]
		if v.Moving != "" {
			continue
		}
		unfilled--
		if !p.isPresent(v) && (v.State == Leaving || p.now.Sub(v.Since) >= p.cfg.ReplaceAlwaysAfter) {
			overdue++
		}
	}
	unfilled -= len(pp.incoming)
	return overdue + max(0, unfilled)
}

// startMoveInto starts moving one VM into pp, and reports whether it found one.
func (p *planner) startMoveInto(pp *projectedPool) bool {
	candidates := p.surplusVMs(pp)
	if len(candidates) == 0 {
		candidates = p.readySpares()
	}
	if len(candidates) == 0 {
		return false
	}
	i := candidates[pp.bestCandidate(p.table, candidates)]
	v := p.table.VMs[i]
	if !p.guard.Take(v) {
		return false
	}
	p.byName[v.Pool].remove(v)
	pp.add(v)
	p.addDecision(i, VMMoveOut, pp.pool.Name, "the pool lacks VMs")
	return true
}

// surplusVMs returns the VMs that serving pools other than pp can release now.
func (p *planner) surplusVMs(pp *projectedPool) []int {
	var out []int
	for _, from := range p.pools {
		if from == pp || from.pool.Spare {
			continue
		}
		for _, i := range from.up {
			if p.canRelease(from, i) {
				out = append(out, i)
			}
		}
	}
	return out
}

// canRelease reports whether pp has more VMs than it wants and would not need a
// replacement for VM i. This keeps VMs from moving back and forth between pools.
func (p *planner) canRelease(pp *projectedPool, i int) bool {
	v := p.table.VMs[i]
	if p.decided[i] || pp.present <= pp.want || !p.guard.Check(v).OK {
		return false
	}
	pp.remove(v)
	shortfall := pp.shortfall()
	pp.add(v)
	return shortfall <= 0
}

// readySpares returns the VMs of the spare pool that are up and not yet part of a
// decision.
func (p *planner) readySpares() []int {
	if p.spare == nil {
		return nil
	}
	var out []int
	for _, i := range p.spare.up {
		if !p.decided[i] {
			out = append(out, i)
		}
	}
	return out
}
