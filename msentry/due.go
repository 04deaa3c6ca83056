package msentry

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"marjoramspan/msstate"
	"marjoramspan/mstoken"
)

// dueEvery is the pause between two looks at what is due.
const dueEvery = 100 * time.Millisecond

// addDue changes by n what the team is due in all pools of this entry.
func (d *demand) addDue(team string, n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.dues == nil {
		d.dues = make(map[string]int)
	}
	d.dues[team] += n
	return d.dues[team]
}

// reviewDues tells the ledger what is due now in every pool in which anything was,
// also where nothing waits: what a pool no longer needs is due to the others.
func (e *Entry) reviewDues() {
	now := e.now()
	for _, p := range e.pools.all() {
		p.reviewDues(now)
	}
}

func (p *pool) reviewDues(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.hasDue {
		p.wantSlots(now)
	}
}

// tellDues tells the ledger what this entry is due, if that has not just been told.
func (p *pool) tellDues(open []string, now time.Time) {
	if now.Sub(p.dueAt) < dueEvery {
		return
	}
	p.dueAt = now
	p.tellSlots(open, now)
	p.tellTeams(now)
}

// tellSlots tells the ledger how many slots this entry is due of each VM that may be
// given work.
func (p *pool) tellSlots(open []string, now time.Time) {
	open = slices.Sorted(slices.Values(open))
	held, parts := make([]int, len(open)), make([]int, len(open))
	for i, name := range open {
		held[i] = p.ledger.Counts(msstate.SlotResource(name)).Held
	}
	due := p.sched.Slots(now)
	p.hasDue = due > 0
	mstoken.Spread(parts, held, due, p.slots, p.offset(now, len(open)))
	for i, name := range open {
		p.ledger.SetEntitlement(msstate.SlotResource(name), parts[i])
	}
}

// offset is the VM that a remainder goes to first. It differs by entry and pool, and
// moves on, so that an entry that lacks slots at one VM tries another.
func (p *pool) offset(now time.Time, n int) int {
	if n == 0 {
		return 0
	}
	at := xxhash.Sum64String(p.ledger.Self+"/"+p.name) + uint64(now.Unix())
	return int(at % uint64(n))
}

// tellTeams tells the ledger how many tokens of each team's upper limit this entry is
// due over all its pools, where that has changed in this one.
func (p *pool) tellTeams(now time.Time) {
	if p.dues == nil {
		p.dues = make(map[string]int)
	}
	for _, team := range p.teams {
		due := p.sched.TeamSlots(team, now)
		p.hasDue = p.hasDue || due > 0
		if due == p.dues[team] {
			continue
		}
		p.ledger.SetEntitlement(msstate.TeamResource(team), p.demand.addDue(team, due-p.dues[team]))
		p.dues[team] = due
	}
}
