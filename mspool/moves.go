package mspool

import "time"

// finishMoves takes moves under way one step further, and retires VMs that the
// platform takes away. Any entry may finish a move that another one began.
func (p *planner) finishMoves() {
	for i, v := range p.table.VMs {
		switch {
		case v.Pool == "":
			continue
		case v.Moving == "" && v.State == Leaving && p.isDrained(v, v.Since):
			p.decide(i, VMRetire, "", "the platform takes it away")
		case v.Moving == "":
			continue
		case v.MoveDrained:
			p.decide(i, VMMoveIn, p.target(v), "drained")
		case p.byName[v.Moving] == nil:
			p.decide(i, VMMoveIn, v.Pool, "its target pool is gone")
		case p.isDrained(v, v.MovingSince):
			p.decide(i, VMDrained, "", "runs no request")
		}
	}
}

// target returns where a drained VM goes: home to the spare pool where the pool
// that it was meant for is gone.
func (p *planner) target(v VM) string {
	if p.byName[v.Moving] == nil && p.spare != nil {
		return p.spare.pool.Name
	}
	return v.Moving
}

// isDrained reports whether no request can be running on v, which gets no new
// work since the given time: every entry has heard of it, and the VM has
// reported none since, or its longest has ended.
func (p *planner) isDrained(v VM, since time.Time) bool {
	heard := since.Add(p.cfg.Lease + ClockSkew)
	if v.Running == 0 && !v.ReportedAt.Before(heard) {
		return true
	}
	return !p.now.Before(heard.Add(p.cfg.MaxRun))
}

// assignLoose gives VMs without a pool to the pools that lack most, spread over
// their racks, and the rest to the spare pool.
func (p *planner) assignLoose() {
	var loose []int
	for _, i := range p.index.loose {
		if v := p.table.VMs[i]; v.Pool == "" && v.State != Failed && v.State != Leaving {
			loose = append(loose, i)
		}
	}
	for len(loose) > 0 {
		to := p.neediest(len(loose))
		if to == nil {
			return
		}
		at := to.best(p.table, loose)
		i := loose[at]
		loose = append(loose[:at], loose[at+1:]...)
		to.add(p.table.VMs[i])
		p.decide(i, VMAssign, to.pool.Name, "new in the fleet")
	}
}

// neediest returns the pool with the smallest part of its wanted VMs. The spare
// pool takes part once the n loose VMs are more than the others lack, so that
// it is spread like them.
func (p *planner) neediest(n int) *tally {
	lack := 0
	for _, t := range p.pools {
		if !t.pool.Spare {
			lack += max(0, t.want-t.present)
		}
	}
	var least *tally
	for _, t := range p.pools {
		if t.present >= t.want || t.pool.Spare && n <= lack {
			continue
		}
		if least == nil || t.present*least.want < least.present*t.want {
			least = t
		}
	}
	if least == nil {
		return p.spare
	}
	return least
}

// best returns the place in candidates of the VM that spreads the pool most:
// in the rack, then the data centre, with fewest of its members.
func (t *tally) best(tab Table, candidates []int) int {
	at := 0
	for k := 1; k < len(candidates); k++ {
		if t.spreadsMore(tab.VMs[candidates[k]], tab.VMs[candidates[at]]) {
			at = k
		}
	}
	return at
}

func (t *tally) spreadsMore(a, b VM) bool {
	if t.racks[a.Rack] != t.racks[b.Rack] {
		return t.racks[a.Rack] < t.racks[b.Rack]
	}
	return t.centres[a.DataCentre] < t.centres[b.DataCentre]
}

// fillPools moves VMs into pools that need them, from pools with a surplus
// first, so that one move does for two.
func (p *planner) fillPools() {
	for _, t := range p.byNeed() {
		for range p.inflow(t) {
			if !p.moveInto(t) {
				return
			}
		}
	}
}

// inflow returns how many VMs t is to get now.
func (p *planner) inflow(t *tally) int {
	lack := t.want - t.present
	short := t.short()
	if lack > 0 {
		return max(0, min(lack, max(short, p.patches(t), t.loan)))
	}
	crowded := worst(t.racks, 0).Serving
	if crowded < 2 {
		return 0
	}
	return max(0, min(short, crowded-1+lack))
}

// patches counts members that have been failed for so long that they are
// replaced in any case, and places that no VM was ever given.
func (p *planner) patches(t *tally) int {
	long, absent := 0, t.want
	for _, i := range t.all {
		v := p.table.VMs[i]
		if v.Moving != "" {
			continue
		}
		absent--
		if !p.isPresent(v) && (v.State == Leaving || p.now.Sub(v.Since) >= p.cfg.PatchAfter) {
			long++
		}
	}
	absent -= len(t.arriving)
	return long + max(0, absent)
}

// moveInto begins one move into t, and reports whether a VM was found.
func (p *planner) moveInto(t *tally) bool {
	candidates := p.surplus(t)
	if len(candidates) == 0 {
		candidates = p.spares()
	}
	if len(candidates) == 0 {
		return false
	}
	i := candidates[t.best(p.table, candidates)]
	v := p.table.VMs[i]
	if !p.guard.Take(v) {
		return false
	}
	p.byName[v.Pool].remove(v)
	t.add(v)
	p.decide(i, VMMoveOut, t.pool.Name, "the pool lacks VMs")
	return true
}

// surplus returns VMs of serving pools that have more than they want, other
// than t, and may lose one now.
func (p *planner) surplus(t *tally) []int {
	var out []int
	for _, from := range p.pools {
		if from == t || from.pool.Spare {
			continue
		}
		for _, i := range from.up {
			if p.canGive(from, i) {
				out = append(out, i)
			}
		}
	}
	return out
}

// canGive reports whether t has VM i beyond its size and would not ask for one
// in its place, so that VMs never go round in a circle.
func (p *planner) canGive(t *tally, i int) bool {
	v := p.table.VMs[i]
	if p.used[i] || t.present <= t.want || !p.guard.Check(v).OK {
		return false
	}
	t.remove(v)
	short := t.short()
	t.add(v)
	return short <= 0
}

// spares returns the VMs of the spare pool that are ready.
func (p *planner) spares() []int {
	if p.spare == nil {
		return nil
	}
	var out []int
	for _, i := range p.spare.up {
		if !p.used[i] {
			out = append(out, i)
		}
	}
	return out
}
