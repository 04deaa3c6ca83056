package msscheduler

import (
	"time"

	"marjoramspan/msjob"
	"marjoramspan/mspause"
	"marjoramspan/msplace"
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

// keptOut returns the jobs that protections have kept from all workers for too long and that
// have no task on trial. They go first, as one trial after another would keep the workers that
// they need.
func keptOut(jobs []*job) []*job {
	var all []*job
	for _, j := range jobs {
		if j.givesWay && j.blocker.IsProtection() && !j.tasks().mustStartApart() {
			all = append(all, j)
		}
	}
	return all
}

// noteIdle notes since when the job has had nothing running beside free workers, by what the
// latest pass has found, and whether protections give way to it. Each task of a long-running job
// should run, however full its pool is.
func (j *job) noteIdle(pool *poolSnapshot, now time.Time) {
	inUse := 0.0
	if pool != nil && !j.def.LongRunning() {
		inUse = pool.inUse(j.tasks().wanted)
	}
	switch {
	case pool == nil, len(j.runs) > 0 && !j.def.LongRunning(), inUse >= mspause.MaxInUse,
		j.blocker == mswait.TeamLimit, j.blocker == mswait.RetryDelay, j.blocker == mswait.NewerSite:
		j.idleSince = time.Time{}
	case j.idleSince.IsZero():
		j.idleSince = now
	}
	j.givesWay = !j.idleSince.IsZero() && mspause.GivesWay(now.Sub(j.idleSince), inUse)
}
