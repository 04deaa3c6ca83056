package msteam

import (
	"math"
	"time"
)

const (
	// tick is how often the pool is divided anew.
	tick = 100 * time.Millisecond
	// maxTick bounds the time that one division accounts for, after a pause.
	maxTick = time.Second
	// horizon is the time over which waiting work counts as present demand.
	horizon = time.Second
	// memory is how fast a shortage is forgotten.
	memory = 10 * time.Second
	// repay is the time over which a shortage is made good.
	repay = 2 * time.Second
	// follow bounds how far the entry's own account of a team runs from zero.
	follow = time.Second
	// cappedScore puts a team that only its upper limit holds back before all
	// others, so that no token of it lies idle.
	cappedScore = 10
	// urgentLead is how far a team with urgent work is let ahead of its target.
	urgentLead = time.Second
	// leastTarget keeps a team with no target yet comparable, in slots.
	leastTarget = 0.01
	// leastPart of its due is what a team that got too much before still gets.
	leastPart = 0.1
)

// Claim is one team's part in a division.
type Claim struct {
	// Weight is above 0, and Demand in the unit of the capacity.
	Weight, Demand float64
	// Due is what Divide sets.
	Due float64
}

// Divide sets the Due of each claim to its weighted max-min part of capacity:
// nobody gets more than its demand, and what one leaves goes to the others by
// weight.
func Divide(capacity float64, claims []Claim) {
	weights := 0.0
	for i := range claims {
		claims[i].Due = -1
		weights += claims[i].Weight
	}
	left := max(0, capacity)
	for weights > 0 {
		level, settled := left/weights, false
		for i := range claims {
			c := &claims[i]
			if c.Due < 0 && c.Demand <= c.Weight*level {
				c.Due = max(0, c.Demand)
				left = max(0, left-c.Due)
				weights -= c.Weight
				settled = true
			}
		}
		if !settled {
			break
		}
	}
	for i := range claims {
		if c := &claims[i]; c.Due < 0 {
			c.Due = c.Weight * left / weights
		}
	}
}

// team is the state of one team in one pool, as this entry sees it.
type team struct {
	name           string
	weight         float64
	limit          int
	urgent, normal queue
	running        int
	// used is the slot time up to since; folded what the last division counted.
	used   time.Duration
	since  time.Time
	folded time.Duration
	pace   pace

	// The rest is in slots, or slot seconds, at the last division.
	rate      float64 // in use here
	fleetRate float64 // in use on all entries
	elsewhere float64 // in use on all entries in other pools
	counted   float64 // what Limits has of this pool
	demand    float64 // asked for here
	fleet     float64 // asked for on all entries
	able      float64 // fleet, as far as the upper limit allows
	shortage  float64 // due to the team on all entries, not yet repaid
	target    float64 // to use here
	account   float64 // target less use here, summed
	// capped is set while the upper limit is all that holds the team back.
	capped bool
}

func (t *team) waiting() int {
	return t.urgent.n + t.normal.n
}

func (t *team) queue(urgent bool) *queue {
	if urgent {
		return &t.urgent
	}
	return &t.normal
}

// settle adds what ran since the last call to used.
func (t *team) settle(now time.Time) {
	if t.running > 0 && now.After(t.since) {
		t.used += time.Duration(t.running) * now.Sub(t.since)
	}
	t.since = now
}

// score orders teams: how far the team is behind its target once those that
// run now have ended, in seconds of its target.
func (t *team) score(runTime float64) float64 {
	if t.capped && float64(t.running) < t.target {
		return cappedScore
	}
	score := (t.account - float64(t.running)*runTime) / max(leastTarget, t.target)
	if t.urgent.n > 0 {
		score += urgentLead.Seconds()
	}
	return score
}

// advance divides the pool anew if a tick has passed.
func (s *Scheduler) advance(now time.Time) {
	passed := now.Sub(s.ticked)
	if passed < tick {
		return
	}
	if s.ticked.IsZero() || passed > maxTick {
		passed = maxTick
	}
	s.ticked = now
	dt := passed.Seconds()
	s.observe(now, dt)
	s.recount(dt)
	s.retarget()
	s.follow(dt)
}

// observe measures use and demand, here and on the peers.
func (s *Scheduler) observe(now time.Time, dt float64) {
	s.pace.decay(dt, false)
	for _, t := range s.teams {
		t.settle(now)
		t.rate = (t.used - t.folded).Seconds() / dt
		t.folded = t.used
		t.pace.decay(dt, t.waiting() > 0)
		t.demand = t.rate + float64(t.waiting())*s.runTime(t)/horizon.Seconds()
		t.fleetRate, t.fleet = t.rate, t.demand
	}
	s.dropSilent(now)
	for _, p := range s.peers {
		for _, u := range p.uses {
			t := u.team
			t.fleetRate += u.rate
			t.fleet += u.rate + float64(u.waiting)*s.runTime(t)/horizon.Seconds()
		}
	}
	if s.Limits != nil {
		s.Limits.exchange(s.teams)
	}
}

// divide sets the claims to the division of capacity over the fleet's demands.
func (s *Scheduler) divide(capacity float64) {
	for i, t := range s.teams {
		s.claims[i] = Claim{Weight: t.weight, Demand: t.fleet}
		if t.limit > 0 {
			s.claims[i].Demand = min(t.fleet, max(0, float64(t.limit)-t.elsewhere))
		}
		t.able = s.claims[i].Demand
	}
	Divide(capacity, s.claims)
}

// recount adds to each shortage what the team was due of all that was used,
// less what it used itself.
func (s *Scheduler) recount(dt float64) {
	total := 0.0
	for _, t := range s.teams {
		total += t.fleetRate
	}
	s.divide(total)
	keep := math.Exp(-dt / memory.Seconds())
	for i, t := range s.teams {
		t.shortage = t.shortage*keep + (s.claims[i].Due-t.fleetRate)*dt
	}
}

// retarget sets how many slots each team should use here: its due of the whole
// pool, put right by its shortage, by this entry's part of its demand.
func (s *Scheduler) retarget() {
	s.divide(s.capacity())
	for i, t := range s.teams {
		t.target = 0
		if t.fleet <= 0 {
			continue
		}
		due := s.claims[i].Due
		t.capped = due < t.fleet && due >= s.claims[i].Demand
		wanted := min(t.fleet, max(due*leastPart, due+t.shortage/repay.Seconds()))
		t.target = wanted * t.demand / t.fleet
	}
}

// capacity returns the slots of the whole pool.
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

// follow moves each account by target less use, with the targets scaled to
// what this entry used in all.
func (s *Scheduler) follow(dt float64) {
	var used, wanted float64
	for _, t := range s.teams {
		used += t.rate
		wanted += t.target
	}
	scale := 0.0
	if wanted > 0 {
		scale = used / wanted
	}
	for _, t := range s.teams {
		if t.waiting() == 0 && t.running == 0 {
			t.account = 0
			continue
		}
		bound := max(leastTarget, t.target) * follow.Seconds()
		t.account += (t.target*scale - t.rate) * dt
		t.account = min(bound, max(-bound, t.account))
	}
}

// Slots returns how many slots of the pool this entry is due: all that its
// callers ask for while the pool has room, and its part of their due once all
// is full. It gives up what it holds beyond while some other holds less than
// its due.
func (s *Scheduler) Slots(now time.Time) int {
	s.advance(now)
	target, asked := 0.0, 0
	for _, t := range s.teams {
		target += t.target
		asked += t.asked()
	}
	if s.room() > 0 {
		return asked
	}
	return min(asked, int(math.Ceil(target)))
}

// Wanted returns how many slots of the pool this entry can use or keep ready:
// all that its callers ask for, and an equal part of those that nobody asks
// for. It takes them where nobody else lacks any of its due.
func (s *Scheduler) Wanted(now time.Time) int {
	s.advance(now)
	asked := 0
	for _, t := range s.teams {
		asked += t.asked()
	}
	return asked + int(max(0, s.room()))/(len(s.peers)+1)
}

// TeamSlots returns how many of the slots here team is due. Summed over pools,
// it is how many tokens of the team's upper limit the entry is due.
func (s *Scheduler) TeamSlots(team string, now time.Time) int {
	s.advance(now)
	t := s.byName[team]
	if t == nil {
		return 0
	}
	asked := t.running + t.waiting()
	if s.room() > 0 && !t.capped {
		return asked
	}
	return min(asked, int(math.Ceil(t.target)))
}

// TeamWanted returns how many of the slots here team can use, at most one
// beyond its due once all is full. Summed over pools, it is how many tokens of
// the team's upper limit the entry takes where nobody else lacks any.
func (s *Scheduler) TeamWanted(team string, now time.Time) int {
	due := s.TeamSlots(team, now)
	return min(s.asked(team), due+1)
}

func (s *Scheduler) asked(team string) int {
	t := s.byName[team]
	if t == nil {
		return 0
	}
	return t.running + t.waiting()
}

// asked returns how many slots t could use here now.
func (t *team) asked() int {
	n := t.running + t.waiting()
	if t.capped {
		n = min(n, max(t.running, int(math.Ceil(t.target))))
	}
	return n
}

// room returns how many slots of the pool nobody asks for, below 0 once more
// is asked than there is.
func (s *Scheduler) room() float64 {
	fleet := 0.0
	for _, t := range s.teams {
		fleet += t.able
	}
	return s.capacity() - fleet
}
