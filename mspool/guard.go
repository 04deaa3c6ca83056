package mspool

// Guard counts what may be taken out of service at the same time. It allows a
// VM to go only while the budget of its pool would hold even if the worst one
// of the pool's racks failed at that moment. What is down already is counted as
// down. A Guard belongs to one decision and is not safe for concurrent use.
type Guard struct {
	pools map[string]*members
}

// NewGuard counts t. The spare pool also keeps keepSpare VMs up, or as many as
// still let one of its VMs go; that is no budget, and a rack may break it.
func NewGuard(t Table, keepSpare int) *Guard {
	x := newIndex(t)
	for _, m := range x.pools {
		m.needed = m.pool.Needed()
		if m.pool.Spare {
			m.keep = min(keepSpare, len(m.all)-1)
		}
	}
	return &Guard{pools: x.byName}
}

// Verdict is a Guard's answer for one VM.
type Verdict struct {
	OK bool
	// Up counts what would serve in the pool without the VM, Needed what must.
	Up, Needed int
	// Rack is the rack whose loss would cost most, and Lost what it would cost.
	Rack string
	Lost int
}

// Check says whether v may go out of service. A VM that is not up may always
// go, as its pool loses nothing.
func (g *Guard) Check(v VM) Verdict {
	m := g.pools[v.Pool]
	if m == nil || !v.Up() {
		return Verdict{OK: true}
	}
	left := Verdict{Up: m.serving - 1, Needed: m.needed}
	m.racks[v.Rack]--
	l := worst(m.racks, left.Up-left.Needed)
	m.racks[v.Rack]++
	left.Rack, left.Lost = l.Domain, l.Serving
	left.OK = l.Margin >= 0 && left.Up >= m.keep
	return left
}

// Take checks v and, where it may go, counts it as gone.
func (g *Guard) Take(v VM) bool {
	if !g.Check(v).OK {
		return false
	}
	if m := g.pools[v.Pool]; m != nil && v.Up() {
		m.serving--
		m.racks[v.Rack]--
	}
	return true
}

// Safe reports whether the budget of pool holds and would still hold without
// its worst rack.
func (g *Guard) Safe(pool string) bool {
	m := g.pools[pool]
	return m == nil || worst(m.racks, m.serving-m.needed).Margin >= 0
}

// Shortage returns how many more serving VMs the pool of v needs before v may
// go, 0 where it may go now.
func (g *Guard) Shortage(v VM) int {
	c := g.Check(v)
	return max(0, c.Needed+c.Lost-c.Up)
}
