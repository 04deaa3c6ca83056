package msteam

import (
	"math"
	"time"
)

const (
	// tick is the interval at which the allocation is recomputed.
	tick = 100 * time.Millisecond
	// maxTick bounds the time that one tick accounts for after a pause.
	maxTick = time.Second
	// demandHorizon is the time over which waiting work counts as demand.
	demandHorizon = time.Second
	// deficitDecay is the time constant of the decay of deficits.
	deficitDecay = 10 * time.Second
	// repayTime is the time over which a deficit is repaid.
	repayTime = 2 * time.Second
	// maxLag bounds a team's lag on this entry, in seconds of its target.
	maxLag = time.Second
	// cappedPriority is above the priority of all other teams. A team that only
	// its limit holds back gets it while it runs fewer requests than its target,
	// so that no token of the limit stays idle.
	cappedPriority = 10
	// urgentBoost is added to the priority of a team with urgent waiters: the
	// time by which it may run ahead of its target.
	urgentBoost = time.Second
	// minTarget is the smallest target, in slots, that priorities and lag bounds are
	// computed with, so that a team without a target yet stays comparable.
	minTarget = 0.01
	// minFairShare is the fraction of its fair share that a team keeps while it
	// makes up for past overuse.
	minFairShare = 0.1
)

// Claim is one team's input to and result of AllocateMaxMin.
type Claim struct {
	// Weight must be above 0. Demand is in the unit of the capacity.
	Weight, Demand float64
	// FairShare is the fair share, set by AllocateMaxMin.
	FairShare float64
}

// AllocateMaxMin sets the FairShare of each claim to its weighted max-min fair share of
// capacity: no claim gets more than its demand, and what it leaves is divided
// among the others by weight.
func AllocateMaxMin(capacity float64, claims []Claim) {
	totalWeight := 0.0
	for i := range claims {
		claims[i].FairShare = -1
		totalWeight += claims[i].Weight
	}
	remaining := max(0, capacity)
	for totalWeight > 0 {
		level, satisfied := remaining/totalWeight, false
		for i := range claims {
			c := &claims[i]
			if c.FairShare < 0 && c.Demand <= c.Weight*level {
				c.FairShare = max(0, c.Demand)
				remaining = max(0, remaining-c.FairShare)
				totalWeight -= c.Weight
				satisfied = true
			}
		}
		if !satisfied {
			break
		}
	}
	for i := range claims {
		if c := &claims[i]; c.FairShare < 0 {
			c.FairShare = c.Weight * remaining / totalWeight
		}
	}
}

// team is the state of one team in one pool on this entry.
type team struct {
	name           string
	weight         float64
	limit          int
	urgent, normal fifo
	running        int
	// used is the slot time up to usedUntil; usedAtTick is its value at the last
	// tick.
	used       time.Duration
	usedUntil  time.Time
	usedAtTick time.Duration
	stats      runStats

	// The fields below are in slots or slot seconds, as of the last tick.
	rate           float64 // in use on this entry
	fleetRate      float64 // in use on all entries
	otherPoolsRate float64 // in use on all entries in other pools
	published      float64 // fleetRate as last added to UsageTotals
	demand         float64 // of this entry
	fleetDemand    float64 // of all entries
	cappedDemand   float64 // fleetDemand, bounded by the limit
	deficit        float64 // fair share less usage on all entries, summed with decay
	target         float64 // usage to reach on this entry
	lag            float64 // target less usage on this entry, summed
	// capped is set while only its limit holds the team back.
	capped bool
}

func (t *team) waiting() int {
	return t.urgent.n + t.normal.n
}

func (t *team) fifo(urgent bool) *fifo {
	if urgent {
		return &t.urgent
	}
	return &t.normal
}

// accrue adds the slot time since the last call to used.
func (t *team) accrue(now time.Time) {
	if t.running > 0 && now.After(t.usedUntil) {
		t.used += time.Duration(t.running) * now.Sub(t.usedUntil)
	}
	t.usedUntil = now
}

// priority is how far the team will be behind its target when its running
// requests have ended, in seconds of the target. The highest starts next.
func (t *team) priority(runTime float64) float64 {
	if t.capped && float64(t.running) < t.target {
		return cappedPriority
	}
	priority := (t.lag - float64(t.running)*runTime) / max(minTarget, t.target)
	if t.urgent.n > 0 {
		priority += urgentBoost.Seconds()
	}
	return priority
}

// advance recomputes the allocation if a tick has passed.
func (s *Scheduler) advance(now time.Time) {
	elapsed := now.Sub(s.lastTick)
	if elapsed < tick {
		return
	}
	if s.lastTick.IsZero() || elapsed > maxTick {
		elapsed = maxTick
	}
	s.lastTick = now
	dt := elapsed.Seconds()
	s.observe(now, dt)
	s.updateDeficits(dt)
	s.updateTargets()
	s.updateLags(dt)
}

// observe measures usage and demand on this entry and on its peers.
func (s *Scheduler) observe(now time.Time, dt float64) {
	s.stats.decay(dt, false)
	for _, t := range s.teams {
		t.accrue(now)
		t.rate = (t.used - t.usedAtTick).Seconds() / dt
		t.usedAtTick = t.used
		t.stats.decay(dt, t.waiting() > 0)
		t.demand = t.rate + float64(t.waiting())*s.meanRunTime(t)/demandHorizon.Seconds()
		t.fleetRate, t.fleetDemand = t.rate, t.demand
	}
	s.dropTimedOutPeers(now)
	for _, p := range s.peers {
		for _, u := range p.uses {
			t := u.team
			t.fleetRate += u.rate
			t.fleetDemand += u.rate + float64(u.waiting)*s.meanRunTime(t)/demandHorizon.Seconds()
		}
	}
	if s.UsageTotals != nil {
		s.UsageTotals.update(s.teams)
	}
}

// divide computes the fair shares of capacity from the fleet-wide demands, each
// bounded by the team's limit.
func (s *Scheduler) divide(capacity float64) {
	for i, t := range s.teams {
		s.claims[i] = Claim{Weight: t.weight, Demand: t.fleetDemand}
		if t.limit > 0 {
			s.claims[i].Demand = min(t.fleetDemand, max(0, float64(t.limit)-t.otherPoolsRate))
		}
		t.cappedDemand = s.claims[i].Demand
	}
	AllocateMaxMin(capacity, s.claims)
}

// updateDeficits adds to each deficit the team's fair share of the total usage,
// less its own usage.
func (s *Scheduler) updateDeficits(dt float64) {
	total := 0.0
	for _, t := range s.teams {
		total += t.fleetRate
	}
	s.divide(total)
	factor := math.Exp(-dt / deficitDecay.Seconds())
	for i, t := range s.teams {
		t.deficit = t.deficit*factor + (s.claims[i].FairShare-t.fleetRate)*dt
	}
}

// updateTargets sets how many slots each team should use on this entry: its fair
// share of the whole pool, corrected by its deficit, times the fraction of its
// demand that comes from this entry.
func (s *Scheduler) updateTargets() {
	s.divide(s.capacity())
	for i, t := range s.teams {
		t.target = 0
		if t.fleetDemand <= 0 {
			continue
		}
		fairShare := s.claims[i].FairShare
		t.capped = fairShare < t.fleetDemand && fairShare >= s.claims[i].Demand
		fleetTarget := min(t.fleetDemand, max(fairShare*minFairShare, fairShare+t.deficit/repayTime.Seconds()))
		t.target = fleetTarget * t.demand / t.fleetDemand
	}
}

// capacity returns the number of slots of the whole pool.
func (s *Scheduler) capacity() float64 {
	if s.Capacity > 0 {
		return float64(s.Capacity)
	}
	total := 0.0
	for _, t := range s.teams {
		total += t.fleetRate
	}
	return total
}

// updateLags adds target less usage to each lag. Targets are scaled so that their
// sum is the total usage of this entry.
func (s *Scheduler) updateLags(dt float64) {
	var totalRate, totalTarget float64
	for _, t := range s.teams {
		totalRate += t.rate
		totalTarget += t.target
	}
	scale := 0.0
	if totalTarget > 0 {
		scale = totalRate / totalTarget
	}
	for _, t := range s.teams {
		if t.waiting() == 0 && t.running == 0 {
			t.lag = 0
			continue
		}
		bound := max(minTarget, t.target) * maxLag.Seconds()
		t.lag += (t.target*scale - t.rate) * dt
		t.lag = min(bound, max(-bound, t.lag))
	}
}

// TargetSlots returns how many slots of the pool this entry should hold: all that its
// callers demand while the pool has free capacity, and the sum of its targets
// under contention. It releases slots beyond that while another entry holds fewer
// than it should.
func (s *Scheduler) TargetSlots(now time.Time) int {
	s.advance(now)
	target, slotDemand := 0.0, 0
	for _, t := range s.teams {
		target += t.target
		slotDemand += t.slotDemand()
	}
	if s.headroom() > 0 {
		return slotDemand
	}
	return min(slotDemand, int(math.Ceil(target)))
}

// UsableSlots returns how many slots of the pool this entry can use or keep ready: all
// that its callers demand, and an equal part of those that nobody demands. It
// acquires them only while no other entry holds fewer than it should.
func (s *Scheduler) UsableSlots(now time.Time) int {
	s.advance(now)
	slotDemand := 0
	for _, t := range s.teams {
		slotDemand += t.slotDemand()
	}
	return slotDemand + int(max(0, s.headroom()))/(len(s.peers)+1)
}

// TeamTargetSlots returns how many slots on this entry team should hold. The sum over
// all pools is the number of tokens of the team's limit that the entry should
// hold.
func (s *Scheduler) TeamTargetSlots(team string, now time.Time) int {
	s.advance(now)
	t := s.byName[team]
	if t == nil {
		return 0
	}
	slotDemand := t.running + t.waiting()
	if s.headroom() > 0 && !t.capped {
		return slotDemand
	}
	return min(slotDemand, int(math.Ceil(t.target)))
}

// TeamUsableSlots returns how many slots on this entry team can use, under contention
// at most one more than TeamTargetSlots. The sum over all pools is the number of tokens
// of the team's limit that the entry acquires while no other entry lacks any.
func (s *Scheduler) TeamUsableSlots(team string, now time.Time) int {
	teamSlots := s.TeamTargetSlots(team, now)
	return min(s.slotDemand(team), teamSlots+1)
}

// slotDemand returns how many slots team could use on this entry if its limit
// didn't hold it back.
func (s *Scheduler) slotDemand(team string) int {
	t := s.byName[team]
	if t == nil {
		return 0
	}
	return t.running + t.waiting()
}

// slotDemand returns how many slots t can use on this entry now.
func (t *team) slotDemand() int {
	n := t.running + t.waiting()
	if t.capped {
		n = min(n, max(t.running, int(math.Ceil(t.target))))
	}
	return n
}

// headroom returns the capacity of the pool less the fleet-wide demand, as far as
// limits allow that demand. It is negative under contention.
func (s *Scheduler) headroom() float64 {
	fleet := 0.0
	for _, t := range s.teams {
		fleet += t.cappedDemand
	}
	return s.capacity() - fleet
}
