package msentry

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"marjoramspan/msstate"
	"marjoramspan/mstoken"
)

// entitlementInterval is the shortest time between two updates of a pool's entitlements.
const entitlementInterval = 100 * time.Millisecond

// addEntitlement adds n to the team's entitlement over all pools of this entry, and returns the sum.
func (d *demand) addEntitlement(team string, n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.entitlements == nil {
		d.entitlements = make(map[string]int)
	}
	d.entitlements[team] += n
	return d.entitlements[team]
}

// updateEntitlements updates the ledger for every pool that had an entitlement, even
// if nothing waits there: what a pool no longer needs is available to the others.
func (e *Entry) updateEntitlements() {
	now := e.now()
	for _, p := range e.pools.all() {
		p.updateEntitlements(now)
	}
}

func (p *pool) updateEntitlements(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.hasEntitlement {
		p.updateSlotDemand(now)
	}
}

// setEntitlements updates the ledger, at most once per entitlementInterval.
func (p *pool) setEntitlements(usableNames []string, now time.Time) {
	if now.Sub(p.entitledAt) < entitlementInterval {
		return
	}
	p.entitledAt = now
	p.setSlotEntitlements(usableNames, now)
	p.setTeamEntitlements(now)
}

// setSlotEntitlements tells the ledger how many slots of each usable VM this entry is
// entitled to.
func (p *pool) setSlotEntitlements(usableNames []string, now time.Time) {
	usableNames = slices.Sorted(slices.Values(usableNames))
	held, parts := make([]int, len(usableNames)), make([]int, len(usableNames))
	for i, name := range usableNames {
		held[i] = p.ledger.Counts(msstate.SlotResource(name)).Held
	}
	entitlement := p.sched.TargetSlots(now)
	p.hasEntitlement = entitlement > 0
	mstoken.Spread(parts, held, entitlement, p.slots, p.firstVM(now, len(usableNames)))
	for i, name := range usableNames {
		p.ledger.SetEntitlement(msstate.SlotResource(name), parts[i])
	}
}

// firstVM is the index of the VM that gets the remainder first. It differs by entry and
// pool and changes every second, so that an entry that lacks slots at one VM tries another.
func (p *pool) firstVM(now time.Time, n int) int {
	if n == 0 {
		return 0
	}
	at := xxhash.Sum64String(p.ledger.Self+"/"+p.name) + uint64(now.Unix())
	return int(at % uint64(n))
}

// setTeamEntitlements tells the ledger how many tokens of each team's upper limit this
// entry is entitled to over all its pools, for the teams whose part in this pool changed.
func (p *pool) setTeamEntitlements(now time.Time) {
	if p.entitlements == nil {
		p.entitlements = make(map[string]int)
	}
	for _, team := range p.teams {
		entitlement := p.sched.TeamTargetSlots(team, now)
		p.hasEntitlement = p.hasEntitlement || entitlement > 0
		if entitlement == p.entitlements[team] {
			continue
		}
		p.ledger.SetEntitlement(msstate.TeamResource(team), p.demand.addEntitlement(team, entitlement-p.entitlements[team]))
		p.entitlements[team] = entitlement
	}
}
