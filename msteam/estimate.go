package msteam

import (
	"fmt"
	"math"
	"time"
)

const (
	// defaultRunTime is the run time in seconds that is assumed until a request
	// has ended.
	defaultRunTime = 0.1
	// runTimeDecay is the time constant of the decay of observed run times.
	runTimeDecay = 30 * time.Second
	// minRunSamples is the decayed number of ended requests that a mean needs.
	minRunSamples = 1e-6
	// startRateDecay is the time constant of the decay of the observed start
	// rate.
	startRateDecay = 3 * time.Second
	// abandonDivisor: one in this many of the waiters ahead may leave the queue
	// before it starts. Admission subtracts this fraction from the estimated wait.
	abandonDivisor = 5
	// minObservedWait is the time with waiters that must have been observed
	// before a wait is estimated.
	minObservedWait = 500 * time.Millisecond
)

// Reason says why a request was refused.
type Reason string

// The reasons of a Refusal.
const (
	// ReasonDeadline: the request can't start by its deadline.
	ReasonDeadline Reason = "deadline"
	// ReasonQueueFull: the team's part of the wait queue is full.
	ReasonQueueFull Reason = "line-full"
	// ReasonDuplicate: a request with the same ID is already waiting.
	ReasonDuplicate Reason = "duplicate"
)

// Refusal is the error for a request that isn't admitted to the wait queue.
type Refusal struct {
	Team, Queue string
	Reason      Reason
	// Wait is the estimated wait, or 0 if there is no estimate.
	Wait time.Duration
}

// Error returns the reason and the estimated wait.
func (r *Refusal) Error() string {
	return fmt.Sprintf("team %s queue %s: refused before running: %s (estimated wait %s)", r.Team, r.Queue, r.Reason, r.Wait)
}

// checkAdmission returns why w isn't admitted, or nil if it is.
func (s *Scheduler) checkAdmission(t *team, w Waiter, now time.Time) *Refusal {
	if s.waiters.has(w.ID) {
		return newRefusal(w, ReasonDuplicate, 0)
	}
	wait, ok := s.estimateWait(t, t.ahead(w.Urgent))
	if t.waiting() >= s.teamMaxWaiting(t) {
		return newRefusal(w, ReasonQueueFull, wait)
	}
	if w.Deadline.IsZero() {
		return nil
	}
	remaining := w.Deadline.Sub(now)
	likelyWait := wait - wait/abandonDivisor
	if remaining < 0 || ok && !s.AdmitLate && likelyWait > remaining {
		return newRefusal(w, ReasonDeadline, wait)
	}
	return nil
}

func newRefusal(w Waiter, reason Reason, wait time.Duration) *Refusal {
	return &Refusal{Team: w.Team, Queue: w.Queue, Reason: reason, Wait: wait}
}

// teamMaxWaiting returns the team's part of MaxWaiting, by weight.
func (s *Scheduler) teamMaxWaiting(t *team) int {
	n := s.MaxWaiting
	if n <= 0 {
		n = DefaultMaxWaiting
	}
	return max(1, int(float64(n)*t.weight/s.totalWeight))
}

// EstimateWait returns how long a new request of team would wait, from the rate at
// which this entry started the team's requests while others were waiting. ok is
// false until enough has been observed.
func (s *Scheduler) EstimateWait(team string, now time.Time) (wait time.Duration, ok bool) {
	s.advance(now)
	t := s.byName[team]
	if t == nil {
		return 0, false
	}
	return s.estimateWait(t, t.waiting())
}

// ahead returns how many waiters would start before a new one.
func (t *team) ahead(urgent bool) int {
	if urgent {
		return t.urgent.n
	}
	return t.waiting()
}

// estimateWait returns the expected wait of a request of t with n waiters ahead
// of it. It uses the observed start rate, or the rate that the target allows if
// that is higher: when a queue's turn begins, slots are still being moved to this
// entry and the observed rate is too low.
func (s *Scheduler) estimateWait(t *team, n int) (time.Duration, bool) {
	if t.stats.waitSeconds < minObservedWait.Seconds() {
		return 0, false
	}
	secondsPerStart := t.stats.waitSeconds / max(1, t.stats.starts)
	if t.target > 0 {
		secondsPerStart = min(secondsPerStart, s.meanRunTime(t)/t.target)
	}
	return time.Duration(float64(n) * secondsPerStart * float64(time.Second)), true
}

// runStats holds exponentially decayed statistics of a team's run times and
// starts.
type runStats struct {
	endedRuns, runSeconds float64 // decayed number of ended requests and their slot seconds
	starts, waitSeconds   float64 // decayed starts while others waited, and the seconds of it
	newStarts             float64 // starts since the last decay
}

func (r *runStats) start() {
	r.newStarts++
}

func (r *runStats) end(used time.Duration) {
	r.endedRuns++
	r.runSeconds += used.Seconds()
}

func (r *runStats) meanRunTime() (float64, bool) {
	if r.endedRuns < minRunSamples {
		return 0, false
	}
	return max(0.0001, r.runSeconds/r.endedRuns), true
}

// decay ages the statistics by dt seconds. If waiting is set, it also counts dt
// and the new starts towards the start rate.
func (r *runStats) decay(dt float64, waiting bool) {
	factor := math.Exp(-dt / runTimeDecay.Seconds())
	r.endedRuns *= factor
	r.runSeconds *= factor
	if waiting {
		factor = math.Exp(-dt / startRateDecay.Seconds())
		r.waitSeconds = r.waitSeconds*factor + dt
		r.starts = r.starts*factor + r.newStarts
	}
	r.newStarts = 0
}
