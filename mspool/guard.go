package mspool

// Guard limits how many VMs are taken out of service at the same time. It lets a
// VM be taken only if its pool would stay within its availability budget even if
// the pool's largest rack failed as well. VMs that are already down count as
// unavailable. Use a new Guard for each decision; it is not safe for concurrent
// use.
type Guard struct {
	pools map[string]*poolMembers
}

// NewGuard returns a Guard for the VMs of t. It also keeps keepSpare VMs up in the
// spare pool, but at most one less than the pool has, so that one VM can always be
// taken. This minimum does not have to survive the loss of a rack.
func NewGuard(t Table, keepSpare int) *Guard {
	x := newIndex(t)
	for _, m := range x.pools {
		m.needed = m.pool.Needed()
		if m.pool.Spare {
			m.minUp = min(keepSpare, len(m.all)-1)
		}
	}
	return &Guard{pools: x.byName}
}

// Verdict is a Guard's answer for one VM.
type Verdict struct {
	OK bool
	// Up is the number of VMs that would still serve in the pool without this VM,
	// Needed the number that the budget requires.
	Up, Needed int
	// Rack is the rack with the most VMs of the pool that would still serve, and Lost
	// their number.
	Rack string
	Lost int
}

// Check reports whether v may be taken out of service. A VM that is not up may
// always be taken, because its pool loses no capacity.
func (g *Guard) Check(v VM) Verdict {
	m := g.pools[v.Pool]
	if m == nil || !v.Up() {
		return Verdict{OK: true}
	}
	verdict := Verdict{Up: m.serving - 1, Needed: m.needed}
	m.racks[v.Rack]--
	worstRack := worstLoss(m.racks, verdict.Up-verdict.Needed)
	m.racks[v.Rack]++
	verdict.Rack, verdict.Lost = worstRack.Domain, worstRack.Serving
	verdict.OK = worstRack.Margin >= 0 && verdict.Up >= m.minUp
	return verdict
}

// Take checks v and, if it may be taken out of service, counts it as unavailable.
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

// SurvivesRackLoss reports whether pool would stay within its budget if its largest rack
// failed.
func (g *Guard) SurvivesRackLoss(pool string) bool {
	m := g.pools[pool]
	return m == nil || worstLoss(m.racks, m.serving-m.needed).Margin >= 0
}

// Shortage returns how many more serving VMs the pool of v needs before v may be
// taken out of service, 0 if it may be taken now.
func (g *Guard) Shortage(v VM) int {
	verdict := g.Check(v)
	return max(0, verdict.Needed+verdict.Lost-verdict.Up)
}
