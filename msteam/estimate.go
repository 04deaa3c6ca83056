package msteam

import (
	"fmt"
	"math"
	"time"
)

const (
	// defaultRunTime is taken while no request has ended, in seconds.
	defaultRunTime = 0.1
	// runMemory is how fast run times that were seen are forgotten.
	runMemory = 30 * time.Second
	// leastRuns is the decayed number of ended requests that gives a mean.
	leastRuns = 1e-6
	// paceMemory is how fast the pace of starts is forgotten.
	paceMemory = 3 * time.Second
	// mayLeave is the part of those ahead, one in so many, that may leave the
	// line before their turn. Early refusal takes it off the wait.
	mayLeave = 5
	// leastSeen is the waiting time that must have been seen for an estimate.
	leastSeen = 500 * time.Millisecond
)

// Reason says why a request was refused.
type Reason string

// The reasons of a Refusal.
const (
	// ReasonDeadline: it can't start by its deadline.
	ReasonDeadline Reason = "deadline"
	// ReasonLineFull: too many requests of the team wait already.
	ReasonLineFull Reason = "line-full"
	// ReasonDuplicate: a request of the same ID waits already.
	ReasonDuplicate Reason = "duplicate"
)

// Refusal is the error for a request that isn't taken into the waiting line.
type Refusal struct {
	Team, Queue string
	Reason      Reason
	// Wait is the estimated wait, where one is known.
	Wait time.Duration
}

// Error tells the reason and the estimated wait.
func (r *Refusal) Error() string {
	return fmt.Sprintf("team %s queue %s: refused before running: %s (estimated wait %s)", r.Team, r.Queue, r.Reason, r.Wait)
}

// refuse returns why w isn't taken, or nil.
func (s *Scheduler) refuse(t *team, w Waiter, now time.Time) *Refusal {
	if s.line.has(w.ID) {
		return refusal(w, ReasonDuplicate, 0)
	}
	wait, ok := s.wait(t, t.ahead(w.Urgent))
	if t.waiting() >= s.bound(t) {
		return refusal(w, ReasonLineFull, wait)
	}
	if w.Deadline.IsZero() {
		return nil
	}
	left := w.Deadline.Sub(now)
	sure := wait - wait/mayLeave
	if left < 0 || ok && !s.Late && sure > left {
		return refusal(w, ReasonDeadline, wait)
	}
	return nil
}

func refusal(w Waiter, reason Reason, wait time.Duration) *Refusal {
	return &Refusal{Team: w.Team, Queue: w.Queue, Reason: reason, Wait: wait}
}

// bound returns the team's part of MaxWaiting.
func (s *Scheduler) bound(t *team) int {
	n := s.MaxWaiting
	if n <= 0 {
		n = DefaultMaxWaiting
	}
	return max(1, int(float64(n)*t.weight/s.weights))
}

// Estimate returns how long a new request of team would wait, from the pace
// at which its requests were started here while others waited. It isn't ok
// while too little has been seen.
func (s *Scheduler) Estimate(team string, now time.Time) (wait time.Duration, ok bool) {
	s.advance(now)
	t := s.byName[team]
	if t == nil {
		return 0, false
	}
	return s.wait(t, t.waiting())
}

// ahead returns how many would start before a new waiter.
func (t *team) ahead(urgent bool) int {
	if urgent {
		return t.urgent.n
	}
	return t.waiting()
}

// wait returns how long it takes until n waiters of t and one more have
// started: by the pace that was seen, or by the target where that is faster,
// as slots are still on their way here when a queue's turn begins.
func (s *Scheduler) wait(t *team, n int) (time.Duration, bool) {
	if t.pace.waited < leastSeen.Seconds() {
		return 0, false
	}
	perStart := t.pace.waited / max(1, t.pace.starts)
	if t.target > 0 {
		perStart = min(perStart, s.runTime(t)/t.target)
	}
	return time.Duration(float64(n) * perStart * float64(time.Second)), true
}

// pace is what was seen of a team's run times and starts; older sights count
// for less.
type pace struct {
	runs, ran      float64 // requests ended and their seconds in a slot
	starts, waited float64 // starts while some waited, and the seconds of it
	pending        float64 // starts since the last decay
}

func (p *pace) start() {
	p.pending++
}

func (p *pace) end(used time.Duration) {
	p.runs++
	p.ran += used.Seconds()
}

func (p *pace) runTime() (float64, bool) {
	if p.runs < leastRuns {
		return 0, false
	}
	return max(0.0001, p.ran/p.runs), true
}

// decay forgets dt seconds' worth, and counts them where some waited.
func (p *pace) decay(dt float64, waiting bool) {
	old := math.Exp(-dt / runMemory.Seconds())
	p.runs *= old
	p.ran *= old
	if waiting {
		old = math.Exp(-dt / paceMemory.Seconds())
		p.waited = p.waited*old + dt
		p.starts = p.starts*old + p.pending
	}
	p.pending = 0
}
