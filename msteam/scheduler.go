// Package msteam is a weighted fair scheduler: it decides which team's request an
// entry starts next.
//
// A pool of slots serves several teams. While slots are free, every team gets
// what it demands. Under contention each team gets its fair share: the weighted
// max-min allocation of the pool, where no team gets more than it demands and
// what it leaves is divided among the others by weight. A team that received
// less than its fair share is repaid over the next seconds; a team isn't charged
// for slots that no other team demanded.
//
// Every entry has its own callers and its own slots, so each runs a Scheduler for
// each pool and reports to its peers, about once a second, the usage and the
// waiting requests of its teams:
//
//	s.SetShares(shares)
//	s.SetPeerUsage(peer, usesOfPeer, now)     // for each heartbeat
//	if err := s.Add(waiter, now); err != nil { // refused early: not run
//		return err
//	}
//	if w, ok := s.Next(now, hasLimitToken); ok {
//		s.Started(w.Team, now)
//		// run it, then
//		s.Ended(w.Team, ran, now)
//	}
//
// From these reports each entry computes the fair shares of the whole pool. Its
// target for a team is the part of the team's fair share that matches its part of
// the team's demand. It tracks the target with its own measurements, which need
// no report. TargetSlots returns how many slots it needs to do so.
package msteam

import (
	"cmp"
	"slices"
	"time"
)

// DefaultMaxWaiting is the size of the wait queue if MaxWaiting isn't set.
const DefaultMaxWaiting = 8192

// Share is a team's weight under contention and its fleet-wide limit.
type Share struct {
	Team string
	// Weight below 1 counts as 1.
	Weight int
	// Limit is the maximum number of running requests of the team; 0 is no
	// limit.
	Limit int
}

// Waiter is a request that waits for a slot.
type Waiter struct {
	ID          uint64
	Team, Queue string
	// Urgent waiters start before the others of their team.
	Urgent  bool
	Arrived time.Time
	// Deadline is the latest time to start; the zero time is no deadline.
	Deadline time.Time
}

// Scheduler picks the next request of one pool on one entry. The zero value is
// ready to use. It isn't safe for concurrent use: guard all calls by one mutex.
type Scheduler struct {
	// Capacity is the number of slots in the whole pool, over all entries;
	// 0 takes the observed usage.
	Capacity int
	// MaxWaiting bounds the wait queue; 0 is DefaultMaxWaiting. It is divided
	// among the teams by weight, so that a burst of one team leaves room for the
	// others.
	MaxWaiting int
	// AdmitLate admits requests whose estimated wait exceeds their deadline. Those
	// whose deadline has passed are refused all the same.
	AdmitLate bool
	// UsageTotals is shared by the schedulers of all pools. If it is nil, a team's
	// limit applies as if the team used no other pool.
	UsageTotals *UsageTotals

	teams       []*team // by name
	byName      map[string]*team
	peers       []*peer // by name
	waiters     waitQueue
	expired     []Waiter
	totalWeight float64 // sum over teams
	lastTick    time.Time
	claims      []Claim  // scratch space of divide
	stats       runStats // over all teams
}

// Close removes the pool's usage from UsageTotals when the pool is removed.
func (s *Scheduler) Close() {
	if s.UsageTotals != nil {
		s.UsageTotals.withdraw(s.teams)
	}
}

// SetShares replaces the shares. Teams without one have weight 1 and no limit.
func (s *Scheduler) SetShares(shares []Share) {
	for _, t := range s.teams {
		t.weight, t.limit = 1, 0
	}
	for _, sh := range shares {
		t := s.team(sh.Team)
		t.weight = float64(max(1, sh.Weight))
		t.limit = sh.Limit
	}
	s.totalWeight = 0
	for _, t := range s.teams {
		s.totalWeight += t.weight
	}
}

// Add puts w into the wait queue. The error is a *Refusal; w was then not run
// and isn't waiting.
func (s *Scheduler) Add(w Waiter, now time.Time) error {
	s.advance(now)
	t := s.team(w.Team)
	if r := s.checkAdmission(t, w, now); r != nil {
		return r
	}
	s.waiters.add(t, w)
	return nil
}

// Remove removes a waiter whose caller has gone. It reports whether the waiter
// was still in the wait queue or expired but not yet returned by Expired.
func (s *Scheduler) Remove(id uint64) bool {
	if s.waiters.remove(id) {
		return true
	}
	i := slices.IndexFunc(s.expired, func(w Waiter) bool { return w.ID == id })
	if i < 0 {
		return false
	}
	s.expired = slices.Delete(s.expired, i, i+1)
	return true
}

// Next removes and returns the waiter to start now, if any. hasLimitToken reports
// whether a team holds a token of its limit; nil allows all teams. The caller
// must report the start by Started before it calls Next again.
func (s *Scheduler) Next(now time.Time, hasLimitToken func(team string) bool) (Waiter, bool) {
	s.advance(now)
	s.expire(now)
	var best *team
	var bestPriority float64
	for _, t := range s.teams {
		if t.waiting() == 0 {
			continue
		}
		priority := t.priority(s.meanRunTime(t))
		if best != nil && priority <= bestPriority {
			continue
		}
		if hasLimitToken == nil || hasLimitToken(t.name) {
			best, bestPriority = t, priority
		}
	}
	if best == nil {
		return Waiter{}, false
	}
	return s.waiters.pop(best), true
}

// Started counts a request of team as running from now on.
func (s *Scheduler) Started(team string, now time.Time) {
	s.advance(now)
	t := s.team(team)
	t.accrue(now)
	t.running++
	t.stats.start()
}

// Ended counts a request of team as ended after it held a slot for used.
func (s *Scheduler) Ended(team string, used time.Duration, now time.Time) {
	s.advance(now)
	t := s.team(team)
	t.accrue(now)
	t.running = max(0, t.running-1)
	t.stats.end(used)
	s.stats.end(used)
}

// Waiting returns how many requests of team are waiting on this entry.
func (s *Scheduler) Waiting(team string) int {
	t := s.byName[team]
	if t == nil {
		return 0
	}
	return t.waiting()
}

// Expired returns, once each, the waiters whose deadline passed before they
// started. They were not run.
func (s *Scheduler) Expired(now time.Time) []Waiter {
	s.expire(now)
	out := s.expired
	s.expired = nil
	return out
}

func (s *Scheduler) expire(now time.Time) {
	for {
		w, ok := s.waiters.popExpired(now)
		if !ok {
			return
		}
		s.expired = append(s.expired, w)
	}
}

// team returns the state of a team and creates it if there is none.
func (s *Scheduler) team(name string) *team {
	if t := s.byName[name]; t != nil {
		return t
	}
	if s.byName == nil {
		s.byName = make(map[string]*team)
	}
	t := &team{name: name, weight: 1}
	s.byName[name] = t
	i, _ := slices.BinarySearchFunc(s.teams, name, func(t *team, name string) int { return cmp.Compare(t.name, name) })
	s.teams = slices.Insert(s.teams, i, t)
	s.claims = append(s.claims, Claim{})
	s.totalWeight += t.weight
	return t
}

// meanRunTime returns the observed mean run time of t in seconds, or that of all
// teams while none of t has been observed.
func (s *Scheduler) meanRunTime(t *team) float64 {
	if m, ok := t.stats.meanRunTime(); ok {
		return m
	}
	if m, ok := s.stats.meanRunTime(); ok {
		return m
	}
	return defaultRunTime
}
