package mspause

import (
	"math"
	"time"
)

// Counts has how many tasks have ended lately, and how many of them by a failure. Older ends
// count less. The zero value has none.
type Counts struct {
	failed, ended float64
	updated       time.Time
}

// countsDecay is the time in which ends decay to 1/e.
const countsDecay = 10 * time.Second

// Add counts an end.
func (c *Counts) Add(failed bool, now time.Time) {
	*c = c.at(now)
	c.ended++
	if failed {
		c.failed++
	}
}

// Plus returns the ends of c and o together.
func (c Counts) Plus(o Counts, now time.Time) Counts {
	c, o = c.at(now), o.at(now)
	c.failed, c.ended = c.failed+o.failed, c.ended+o.ended
	return c
}

// Minus returns the ends of c that are not in o.
func (c Counts) Minus(o Counts, now time.Time) Counts {
	c, o = c.at(now), o.at(now)
	c.failed, c.ended = max(0, c.failed-o.failed), max(0, c.ended-o.ended)
	return c
}

func (c Counts) at(now time.Time) Counts {
	if c.updated.IsZero() {
		return Counts{updated: now}
	}
	decay := math.Exp(-max(0, now.Sub(c.updated)).Seconds() / countsDecay.Seconds())
	return Counts{failed: c.failed * decay, ended: c.ended * decay, updated: now}
}

// usualFailures is the part of tasks that fail where nothing is known: most fail once in
// hundreds of attempts. It counts as much as one end.
const usualFailures = 0.01

// rate estimates the part of ends that are failures.
func (c Counts) rate() float64 {
	return (c.failed + usualFailures) / (c.ended + 1)
}

// Failures has the failures on a worker since a task last succeeded there. The zero value has
// none.
type Failures struct {
	// Counts has all recent ends on the worker.
	Counts Counts
	n      int
	byJob  map[string]Counts
	latest time.Time
}

const (
	// minFailures is how many failures in a row it takes at least to pause a worker, all within
	// countsDecay of the next.
	minFailures = 3
	// maxChance is the largest probability of such a row, on a worker like the others, at
	// which it is evidence against the worker.
	maxChance = 1e-4
	// failurePause is how long after its latest failure a worker that fails its tasks is paused.
	failurePause = 6 * time.Second
)

// Succeed counts a task that has succeeded.
func (f *Failures) Succeed(now time.Time) {
	f.Counts.Add(false, now)
	f.n, f.byJob = 0, nil
}

// Fail counts a task of a job that has failed.
func (f *Failures) Fail(job string, now time.Time) {
	f.Counts.Add(true, now)
	if f.byJob == nil || now.Sub(f.latest) > countsDecay {
		f.n, f.byJob = 0, map[string]Counts{}
	}
	f.n++
	of := f.byJob[job]
	of.Add(true, now)
	f.byJob[job] = of
	f.latest = now
}

// Of returns the failures that are of a job.
func (f *Failures) Of(job string) Counts {
	return f.byJob[job]
}

// Count returns the number of failures.
func (f *Failures) Count() int {
	return f.n
}

// PauseUntil returns when a pause for the latest failures ends.
func (f *Failures) PauseUntil() time.Time {
	return f.latest.Add(failurePause)
}

// MaySpeakAgainst reports whether there are enough failures, and recent ones, to ask
// SpeakAgainst.
func (f *Failures) MaySpeakAgainst(now time.Time) bool {
	return f.n >= minFailures && now.Before(f.PauseUntil())
}

// SpeakAgainst reports whether the failures speak against the worker. rest has the ends on the
// other workers of its pool, and jobs returns those of a job, both without the workers that are
// known to fail their tasks.
//
// They do if they are unlikely on a worker like the others: a failure of a job whose tasks fail
// elsewhere too, or where all workers have failures, says little. So a worker that fails all
// its tasks is found after three of them.
func (f *Failures) SpeakAgainst(rest Counts, jobs func(id string) Counts, now time.Time) bool {
	if !f.MaySpeakAgainst(now) {
		return false
	}
	others, chance := rest.at(now).rate(), 1.0
	for id, of := range f.byJob {
		elsewhere := jobs(id).Minus(of, now)
		chance *= math.Pow(max(others, elsewhere.rate()), of.at(now).failed)
	}
	return chance < maxChance
}

// Risk rates, from 0 to 1, how likely the next task is to fail.
func (f *Failures) Risk(now time.Time) float64 {
	if f.n == 0 || now.Sub(f.latest) > 2*failurePause {
		return 0
	}
	return min(1, float64(f.n)/minFailures)
}
