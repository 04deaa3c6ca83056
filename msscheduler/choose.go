package msscheduler

import (
	"time"

	"marjoramspan/msjob"
	"marjoramspan/mspause"
	"marjoramspan/msplace"
	"marjoramspan/mssite"
	"marjoramspan/mswait"
)

// chooseWorker returns the index of the worker for a task in pool, which has all workers of
// whole or some, or -1. It then notes why there is none. Protections give way to a task that
// could run on withheld workers only, as a worker on which tasks failed is better than none.
func (e *Engine) chooseWorker(j *job, want *msplace.Requirements, pool, whole *poolSnapshot) int {
	if f := pool.fullFor(want.Step, want.UseWithheld); f != nil && want.Group == "" {
		j.blocker = f.reason
		j.noteUsefulWait(want.Step, f.slots, whole)
		return -1
	}
	n := msplace.Choose(*want, pool.placement)
	if n >= 0 {
		return n
	}
	slots, onlyWithheld := msplace.Slots(*want, pool.placement)
	if onlyWithheld && pool.held == nil && !want.UseWithheld {
		want.UseWithheld = true
		if n = msplace.Choose(*want, pool.placement); n >= 0 {
			return n
		}
	}
	e.noteBlocker(j, *want, pool)
	if pool != whole {
		j.blocker = mswait.Ticket
	}
	if want.Group == "" {
		pool.addFull(j.blocker, slots, *want)
		j.noteUsefulWait(want.Step, slots, whole)
	}
	return -1
}

// noteUsefulWait has useless jobs wait behind a task of the job that found no room, if the pool
// had room for it, or for all of its gang, if it were idle. slots is how many of such tasks it
// had room for then.
func (j *job) noteUsefulWait(step *msjob.Step, slots int, pool *poolSnapshot) {
	if slots > 0 && (!step.Gang || slots >= step.Count) && j.canBecomeUseless() {
		pool.usefulWait = true
	}
}

// waitedTooLong finds the jobs to which protections give way. It returns those of them that are
// of use and have no task on trial: they go first, as one trial after another would keep the
// workers that they need.
func (e *Engine) waitedTooLong(jobs []*job, snapshots map[string]*poolSnapshot, site *mssite.Site, now time.Time) []*job {
	var first []*job
	for _, j := range jobs {
		pool := snapshots[j.poolIn(site)]
		if j.noteIdle(pool, now); j.givesWay && !j.useless && !j.tasks().apart() {
			first = append(first, j)
		}
	}
	return first
}

// noteIdle notes since when the job has had nothing running beside free workers, and whether
// protections give way to it. Each task of a long-running job should run, however full its pool
// is.
func (j *job) noteIdle(pool *poolSnapshot, now time.Time) {
	inUse := 0.0
	if pool != nil && !j.def.LongRunning() {
		inUse = pool.inUse()
	}
	switch {
	case pool == nil, len(j.runs) > 0 && !j.def.LongRunning(), inUse >= mspause.MaxInUse:
		j.idleSince = time.Time{}
	case j.idleSince.IsZero():
		j.idleSince = now
	}
	j.givesWay = !j.idleSince.IsZero() && mspause.GivesWay(now.Sub(j.idleSince), inUse)
}
