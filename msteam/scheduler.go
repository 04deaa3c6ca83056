// Package msteam decides whose request an entry starts next.
//
// A pool of slots serves several teams. While slots are free everyone gets what
// it asks for. Once all is full, each team is due its share: the weighted
// max-min division of the pool over the demands, where no team is due more than
// it asks for and what one leaves is divided among the rest. A team that was
// short of its due is repaid over the next seconds; a team that took what
// nobody else wanted owes nothing for it.
//
// Every entry has its own callers waiting and its own slots, so each runs a
// Scheduler for each pool and tells its peers, about once a second, what its
// teams use and have waiting:
//
//	s.SetShares(shares)
//	s.SetRemote(peer, usesOfPeer, now)        // for each heartbeat
//	if err := s.Add(waiter, now); err != nil { // refused early: not run
//		return err
//	}
//	if w, ok := s.Next(now, hasLimitToken); ok {
//		s.Started(w.Team, now)
//		// run it, then
//		s.Ended(w.Team, ran, now)
//	}
//
// From these reports each entry divides the whole pool, takes the part of every
// team's due that its own callers stand for, and follows that part closely with
// what it sees itself at once. Slots says how many slots it needs to do so.
package msteam

import (
	"cmp"
	"slices"
	"time"
)

// DefaultMaxWaiting bounds the waiting line of a Scheduler that sets no bound.
const DefaultMaxWaiting = 8192

// Share is a team's weight when all is full and its upper limit across the fleet.
type Share struct {
	Team string
	// Weight below 1 counts as 1.
	Weight int
	// Limit is the most that the team may have running; 0 is no limit.
	Limit int
}

// Waiter is a request that waits for a slot.
type Waiter struct {
	ID          uint64
	Team, Queue string
	// Urgent waiters go before the others of their team.
	Urgent  bool
	Arrived time.Time
	// Deadline is the latest time to start; zero is never.
	Deadline time.Time
}

// Scheduler picks the next request of one pool on one entry. The zero value
// works. It isn't safe for concurrent use: hold one mutex around every call.
type Scheduler struct {
	// Capacity is the number of slots in the whole pool, over all entries;
	// 0 takes what was seen in use.
	Capacity int
	// MaxWaiting bounds the waiting line; 0 is DefaultMaxWaiting. A team's part
	// of it follows its weight, so that one flood leaves room for the others.
	MaxWaiting int
	// Late accepts requests that can't start by their deadline.
	Late bool
	// Limits is shared by the schedulers of all pools; nil takes each team's
	// upper limit as if it used no other pool.
	Limits *Limits

	teams   []*team // by name
	byName  map[string]*team
	peers   []*peer // by name
	line    line
	expired []Waiter
	weights float64 // sum over teams
	ticked  time.Time
	claims  []Claim // scratch of divide
	pace    pace    // of all teams together
}

// Close takes the scheduler's part out of Limits, when its pool goes away.
func (s *Scheduler) Close() {
	if s.Limits != nil {
		s.Limits.withdraw(s.teams)
	}
}

// SetShares replaces the shares. Teams without one weigh 1.
func (s *Scheduler) SetShares(shares []Share) {
	for _, t := range s.teams {
		t.weight, t.limit = 1, 0
	}
	for _, sh := range shares {
		t := s.team(sh.Team)
		t.weight = float64(max(1, sh.Weight))
		t.limit = sh.Limit
	}
	s.weights = 0
	for _, t := range s.teams {
		s.weights += t.weight
	}
}

// Add puts w into the waiting line. The error is a *Refusal, and then w was
// not run and isn't waiting.
func (s *Scheduler) Add(w Waiter, now time.Time) error {
	s.advance(now)
	t := s.team(w.Team)
	if r := s.refuse(t, w, now); r != nil {
		return r
	}
	s.line.add(t, w)
	return nil
}

// Remove takes a waiter out whose caller went away. It reports whether the
// waiter was still in line or not yet returned by Expired.
func (s *Scheduler) Remove(id uint64) bool {
	if s.line.remove(id) {
		return true
	}
	i := slices.IndexFunc(s.expired, func(w Waiter) bool { return w.ID == id })
	if i < 0 {
		return false
	}
	s.expired = slices.Delete(s.expired, i, i+1)
	return true
}

// Next takes the waiter out of line that should start now, if any may. may
// reports whether a team has a token of its upper limit; nil allows all. The
// caller reports the start by Started before it calls Next again.
func (s *Scheduler) Next(now time.Time, may func(team string) bool) (Waiter, bool) {
	s.advance(now)
	s.expire(now)
	var best *team
	var high float64
	for _, t := range s.teams {
		if t.waiting() == 0 {
			continue
		}
		score := t.score(s.runTime(t))
		if best != nil && score <= high {
			continue
		}
		if may == nil || may(t.name) {
			best, high = t, score
		}
	}
	if best == nil {
		return Waiter{}, false
	}
	return s.line.pop(best), true
}

// Started counts a request of team as running from now on.
func (s *Scheduler) Started(team string, now time.Time) {
	s.advance(now)
	t := s.team(team)
	t.settle(now)
	t.running++
	t.pace.start()
}

// Ended counts a request of team as over after it held a slot for used.
func (s *Scheduler) Ended(team string, used time.Duration, now time.Time) {
	s.advance(now)
	t := s.team(team)
	t.settle(now)
	t.running = max(0, t.running-1)
	t.pace.end(used)
	s.pace.end(used)
}

// Waiting returns how many requests of team wait here.
func (s *Scheduler) Waiting(team string) int {
	t := s.byName[team]
	if t == nil {
		return 0
	}
	return t.waiting()
}

// Expired returns, once each, the waiters whose deadline passed before they
// were started. They were not run.
func (s *Scheduler) Expired(now time.Time) []Waiter {
	s.expire(now)
	out := s.expired
	s.expired = nil
	return out
}

func (s *Scheduler) expire(now time.Time) {
	for {
		w, ok := s.line.popExpired(now)
		if !ok {
			return
		}
		s.expired = append(s.expired, w)
	}
}

// team returns the state of a team and makes it where it is new.
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
	s.weights += t.weight
	return t
}

// runTime returns the mean run time in seconds that was seen for t, or for
// all teams where t is new.
func (s *Scheduler) runTime(t *team) float64 {
	if m, ok := t.pace.runTime(); ok {
		return m
	}
	if m, ok := s.pace.runTime(); ok {
		return m
	}
	return defaultRunTime
}
