package mspool

import "time"

// Reserve returns how many VMs the spare pool is to keep ready: enough to bring
// every pool back to where it survives the loss of a rack, after the worst rack
// for that has failed, and one for an ordinary failure meanwhile.
func Reserve(t Table, cfg Settings, now time.Time) int {
	return newPlanner(t, cfg.filled(), now).reserve()
}

func (p *planner) reserve() int {
	byRack := make(map[string]int)
	base := 0
	for _, t := range p.pools {
		if t.pool.Spare {
			for rack, n := range t.racks {
				byRack[rack] += n
			}
			continue
		}
		now := t.refill("", 0)
		base += now
		for rack, n := range t.racks {
			byRack[rack] += t.refill(rack, n) - now
		}
	}
	return 1 + base + max(0, worst(byRack, 0).Serving)
}

// refill returns how many VMs the pool needs to survive the loss of a rack once
// it has lost the n VMs in the given one.
func (t *tally) refill(gone string, n int) int {
	rest := 0
	for rack, c := range t.racks {
		if rack != gone {
			rest = max(rest, c)
		}
	}
	left := t.present - n
	missing := max(0, t.want-left)
	return max(0, min(missing, t.pool.Needed()+rest-left))
}

// hold returns how many VMs the spare pool keeps ready.
func (p *planner) hold() int {
	switch {
	case p.cfg.Hold > 0:
		return p.cfg.Hold
	case p.cfg.Lend:
		return p.reserve()
	}
	return p.spare.pool.Size
}

// refillSpare gives VMs of pools with a surplus back, one a pool at a time. It
// does so at once while the spare pool, with what it may recall, is too small;
// else only once the surplus has lasted, as most are gone before that.
func (p *planner) refillSpare() {
	if p.spare == nil {
		return
	}
	lacks := p.spare.present < p.hold()
	for _, t := range p.pools {
		if t.pool.Spare || !lacks && p.settled(t) <= t.want {
			continue
		}
		if i, ok := p.mostCrowded(t); ok {
			v := p.table.VMs[i]
			t.remove(v)
			p.spare.add(v)
			p.decide(i, VMMoveOut, p.spare.pool.Name, "the pool has more than its size")
		}
	}
}

// settled returns how many VMs of t have been up for ReturnAfter.
func (p *planner) settled(t *tally) int {
	n := 0
	for _, i := range t.up {
		if p.now.Sub(p.table.VMs[i].Since) >= p.cfg.ReturnAfter {
			n++
		}
	}
	return n
}

// mostCrowded takes the VM of t whose going leaves it spread best.
func (p *planner) mostCrowded(t *tally) (int, bool) {
	at := -1
	for _, i := range t.up {
		v := p.table.VMs[i]
		if !p.canGive(t, i) {
			continue
		}
		if at < 0 || t.spreadsMore(p.table.VMs[at], v) {
			at = i
		}
	}
	if at < 0 {
		return 0, false
	}
	return at, p.guard.Take(p.table.VMs[at])
}

// sizeSpare lends what the spare pool holds beyond its need to the platform's
// jobs, and recalls what it lacks. One VM more than needed stays, so that a VM
// that fails and returns causes neither.
func (p *planner) sizeSpare() {
	if p.spare == nil || !p.cfg.Lend {
		return
	}
	ready := p.spares()
	want := p.hold()
	for k := len(ready); k > want+1; k-- {
		p.decide(ready[k-1], VMLend, "", "the spare pool has more than it needs")
	}
	lack := want - len(ready) - p.returning()
	for _, i := range p.spare.all {
		v := p.table.VMs[i]
		if lack <= 0 {
			return
		}
		if v.Lent && v.Moving == "" && !p.used[i] && v.State != Failed && v.State != Leaving {
			p.decide(i, VMRecall, "", "the spare pool has too few")
			lack--
		}
	}
}

// returning counts VMs of the spare pool that are on their way to being ready.
func (p *planner) returning() int {
	n := 0
	for _, i := range p.spare.all {
		v := p.table.VMs[i]
		if !v.Lent && v.Moving == "" && (v.State == Draining || v.State == Rebooting) {
			n++
		}
	}
	return n + len(p.spare.arriving)
}
