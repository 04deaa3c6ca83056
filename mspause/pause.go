// Package mspause decides which workers of a pool get no new tasks for a time because of what
// happened on them, and when such a protection gives way. It does no I/O and starts no
// goroutines.
//
// A protection spares tasks from a worker that fails them, or keeps room for others. It costs
// the tasks that wait for it, so it is bounded in three ways. A worker is paused only on
// evidence that speaks against it rather than against its tasks. At most half of a pool is
// paused at a time. A job that has waited for MaxWait beside free workers may start in spite of
// it.
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
	// Stalled workers had a task that showed no progress, and there is no likelier cause.
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
	// less than MaxInUse of its pool is in use.
	MaxWait = time.Second
	// MaxInUse is the part of a pool in use from which on tasks wait because it is full.
	MaxInUse = 0.5
	// minBar is how long a worker that has rejected a start is barred from all starts. It
	// doubles with each further rejection within maxBar, up to maxBar.
	minBar = 300 * time.Millisecond
	maxBar = time.Second
)

// Pauses has until when a worker is paused, by reason. The zero value is of a worker that is
// not paused.
type Pauses struct {
	until [reasons]time.Time
	// last is the latest of until.
	last time.Time
	// barredUntil is until when the worker is barred, bar for how long it was barred last.
	barredUntil time.Time
	bar         time.Duration
}

// Add pauses the worker for d, unless it is paused for that reason for longer already.
func (p *Pauses) Add(r Reason, now time.Time, d time.Duration) {
	until := now.Add(d)
	if until.After(p.until[r]) {
		p.until[r] = until
	}
	if until.After(p.last) {
		p.last = until
	}
}

// Reject pauses a worker for d that has rejected a start, and bars it for a shorter time.
func (p *Pauses) Reject(r Reason, now time.Time, d time.Duration) {
	p.Add(r, now, d)
	if now.Sub(p.barredUntil) > maxBar {
		p.bar = 0
	}
	p.bar = min(max(2*p.bar, minBar), maxBar, d)
	p.barredUntil = now.Add(p.bar)
}

// Reason returns why the worker is paused, or None. If there are several reasons, it is the one
// that holds the longest.
func (p *Pauses) Reason(now time.Time) Reason {
	r := None
	if !now.Before(p.last) {
		return r
	}
	for i := range p.until {
		if now.Before(p.until[i]) && (r == None || p.until[i].After(p.until[r])) {
			r = Reason(i)
		}
	}
	return r
}

// For reports whether the worker is paused for the given reason.
func (p *Pauses) For(r Reason, now time.Time) bool {
	return now.Before(p.until[r])
}

// Until returns when the last of the pauses ends.
func (p *Pauses) Until() time.Time {
	return p.last
}

// Barred reports whether no start at all may be sent to the worker, as it has just rejected
// one. This bounds the starts that are sent in vain to a pool of which all workers reject them.
func (p *Pauses) Barred(now time.Time) bool {
	return now.Before(p.barredUntil)
}

// Worker is a worker of a pool, as Bound sees it.
type Worker struct {
	ID     string
	Reason Reason
	// Until is when its pauses end.
	Until time.Time
}

// Bound lifts the pauses of workers, by setting their Reason to None, until at most half of the
// pool's workers are paused, and none in a pool of one. Those that would end first go first.
// Workers without room stay paused, as tasks can't start there.
//
// It answers a load in which tasks that can't be done fail on worker after worker: each failure
// is evidence against one worker, and together they paused the whole pool.
func Bound(workers []Worker) {
	var paused []*Worker
	for i := range workers {
		if w := &workers[i]; w.Reason != None && w.Reason != NoRoom {
			paused = append(paused, w)
		}
	}
	excess := len(paused) - len(workers)/2
	if excess <= 0 {
		return
	}
	slices.SortFunc(paused, func(a, b *Worker) int {
		return cmp.Or(a.Until.Compare(b.Until), cmp.Compare(a.ID, b.ID))
	})
	for _, w := range paused[:excess] {
		w.Reason = None
	}
}

// GivesWay reports whether a job may start in spite of protections. waited is how long it has
// had nothing running although it could run, inUse the part of its pool that is in use.
func GivesWay(waited time.Duration, inUse float64) bool {
	return waited >= MaxWait && inUse < MaxInUse
}
