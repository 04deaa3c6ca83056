// Package mspause decides which workers of a pool get no new tasks for a time because of what
// happened on them, and when such a protection gives way. It does no I/O and starts no
// goroutines.
//
// A protection spares tasks from a worker that fails them, or keeps room for others. It costs
// the tasks that wait for it, so it is bounded in three ways. A worker is paused only on
// evidence that speaks against it rather than against its tasks. At most half of a pool is
// paused at a time. A job that has waited for MaxWait may start in spite of it, while less than
// half of its pool is in use.
package mspause

import (
	"cmp"
	"slices"
	"time"
)

// Reason is why a worker is paused.
type Reason int

const (
	// None is the reason of workers that are not paused.
	None Reason = iota
	// Failing workers fail their tasks while others don't.
	Failing
	// Stalled workers had a task that showed no progress.
	Stalled
	// Unhealthy workers rejected a start as unhealthy.
	Unhealthy
	// NoRoom workers rejected a start for lack of capacity that they should have.
	NoRoom

	reasons
)

// String returns the name of the reason, as in logs and metrics.
func (r Reason) String() string {
	return [...]string{"none", "failing", "stalled", "unhealthy", "no-room"}[r]
}

const (
	// MaxWait is the longest time for which protections may keep a job from all room while
	// less than MaxInUse of its pool is in use. Callers whose jobs take a second notice a
	// longer one.
	MaxWait = time.Second
	// MaxInUse is the part of a pool in use from which on tasks wait because it is full.
	MaxInUse = 0.5
	// MaxPaused is the largest part of a pool's capacity that may be paused at a time.
	MaxPaused = 0.5
	// retryDelay is how long after the latest evidence against a worker no job may start on it,
	// however long it has waited. It bounds the starts that a worker rejects.
	retryDelay = 300 * time.Millisecond
)

// Pauses has until when a worker is paused, by reason. The zero value is of a worker that is
// not paused.
type Pauses struct {
	until [reasons]time.Time
	// since is the time of the latest evidence.
	since time.Time
}

// Add pauses the worker for d, unless it is paused for that reason for longer already.
func (p *Pauses) Add(r Reason, now time.Time, d time.Duration) {
	if until := now.Add(d); until.After(p.until[r]) {
		p.until[r] = until
	}
	p.since = now
}

// Reason returns why the worker is paused, or None. If there are several reasons, it is the one
// that holds the longest.
func (p *Pauses) Reason(now time.Time) Reason {
	r := None
	for i := range p.until {
		if now.Before(p.until[i]) && (r == None || p.until[i].After(p.until[r])) {
			r = Reason(i)
		}
	}
	return r
}

// Until returns when the last of the pauses ends.
func (p *Pauses) Until() time.Time {
	return slices.MaxFunc(p.until[:], time.Time.Compare)
}

// HoldsAnyway reports whether not even a job that has waited for too long may start on the
// worker: there was evidence against it just before.
func (p *Pauses) HoldsAnyway(now time.Time) bool {
	return p.Reason(now) != None && now.Sub(p.since) < retryDelay
}

// Worker is a worker of a pool, as Bound sees it.
type Worker struct {
	ID string
	// Capacity is the worker's CPU.
	Capacity int64
	Reason   Reason
	// Until is when its pauses end.
	Until time.Time
}

// Bound lifts the pauses of workers, by setting their Reason to None, until at most MaxPaused
// of the pool's capacity is paused. Those that would end first go first. Workers without room
// stay paused, as tasks can't start there.
//
// It answers a load in which tasks that can't be done fail on worker after worker: each failure
// is evidence against one worker, and together they paused the whole pool. One worker that is
// left would be none the better for being alone, so a pool of one is never paused.
func Bound(workers []Worker) {
	total, paused := int64(0), int64(0)
	var lift []*Worker
	for i := range workers {
		w := &workers[i]
		total += w.Capacity
		if w.Reason != None && w.Reason != NoRoom {
			paused += w.Capacity
			lift = append(lift, w)
		}
	}
	slices.SortFunc(lift, func(a, b *Worker) int {
		return cmp.Or(a.Until.Compare(b.Until), cmp.Compare(a.ID, b.ID))
	})
	for _, w := range lift {
		if float64(paused) <= MaxPaused*float64(total) {
			return
		}
		w.Reason = None
		paused -= w.Capacity
	}
}

// GivesWay reports whether a job may start in spite of protections. waited is how long it has
// had nothing running although it could run, inUse the part of its pool that is in use.
func GivesWay(waited time.Duration, inUse float64) bool {
	return waited >= MaxWait && inUse < MaxInUse
}
