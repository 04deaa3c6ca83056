package msscheduler

import (
	"time"

	"marjoramspan/msjob"
	"marjoramspan/msplace"
	"marjoramspan/mssite"
	"marjoramspan/mswait"
)

// maxGangMembers is the number of members from which on a gang isn't started. They have to start within
// 3 s of each other, and a leader with 0.4 of a core sends some 2,000 starts a second beside its other
// work.
const maxGangMembers = 2048

// gangHasRoom reports whether a gang can start as a whole now, and notes why not. pool has all workers of
// whole or some. It looks at each worker, and at no member.
func (e *Engine) gangHasRoom(j *job, want *msplace.Requirements, pool, whole *poolSnapshot) bool {
	n := want.Step.Count
	want.UseWithheld = j.givesWay && pool.protects
	room := msplace.Room(*want, pool.placement, n)
	if room < n {
		slots, onlyWithheld := msplace.Slots(*want, pool.placement)
		if onlyWithheld && pool.held == nil && !want.UseWithheld {
			want.UseWithheld = true
			room = msplace.Room(*want, pool.placement, n)
		}
		if room < n {
			e.noteBlocker(j, *want, pool)
			switch {
			case room > 0:
				j.blocker = mswait.Gang
			case pool != whole:
				j.blocker = mswait.Ticket
			}
			j.noteUsefulWait(want.Step, slots, whole)
			whole.othersWait = true
			e.holdForWide(j, *want, whole)
			return false
		}
	}
	switch {
	case n > maxGangMembers:
		j.blocker = mswait.WideGang
		return false
	case n > e.attemptRoom(j):
		j.blocker = mswait.AttemptLimit
		return false
	}
	return true
}

// placeGang places the members of a gang, for which there is room.
func (e *Engine) placeGang(j *job, ready *readyStep, want msplace.Requirements, waiting []int, tickets map[string]string, pool, whole *poolSnapshot, site *mssite.Site) []*run {
	k, s := ready.occurrence, ready.step
	occurrence := j.p.Occurrences[k]
	tasks := occurrence.Steps[s]
	attempt := nextGangAttempt(tasks)
	// Members of a wide gang go to a worker by several at a time, so that the workers are compared
	// a few hundred times at most.
	batch := len(waiting)/gangBatches + 1
	placed, taken := make([]*run, 0, len(waiting)), make([]reservation, 0, len(waiting))
	n, left := -1, 0
	for _, i := range waiting {
		id := msjob.TaskID{Job: j.def.ID, Occurrence: k, Step: s, Index: i}
		want.Avoid, want.Suspect = j.avoid[id], tasks[i].MaxCrashes() > 0
		if left == 0 || !msplace.CanRun(want, &pool.placement[n]) {
			if n = e.chooseWorker(j, &want, pool, whole); n < 0 {
				// A worker that is cold takes fewer than it has room for.
				break
			}
			left = batch
		}
		left--
		e.notePlacedApart(want, pool, n)
		taken = append(taken, reservation{n: n, before: pool.placement[n], isolatedUntil: pool.workers[n].isolatedUntil})
		r := e.reserve(j, id, attempt, pool, n, want)
		r.ticket = tickets[r.w.ID]
		placed = append(placed, r)
	}
	if len(placed) < len(waiting) {
		for i := len(placed) - 1; i >= 0; i-- {
			e.unreserve(placed[i], taken[i], pool)
		}
		pool.full = pool.full[:0]
		j.blocker, whole.othersWait = mswait.Gang, true
		e.holdForWide(j, want, whole)
		return nil
	}
	for _, r := range placed {
		e.assign(r, occurrence)
	}
	e.logPlaced(j, k, s, placed, len(waiting), site)
	return placed
}

// gangBatches is the number of batches in which the members of a wide gang are placed.
const gangBatches = 256

// nextGangAttempt returns the number of a gang's next attempt, which its members share.
func nextGangAttempt(tasks []msjob.Task) int {
	n := 0
	for i := range tasks {
		n = max(n, tasks[i].Attempt)
	}
	return n + 1
}

// reservation has what reserve changes, so that it can be taken back.
type reservation struct {
	// n is the index of the worker in the pool.
	n             int
	before        msplace.Worker
	isolatedUntil time.Time
}

// unreserve takes back the latest call of reserve. The caller clears pool.full.
func (e *Engine) unreserve(r *run, before reservation, pool *poolSnapshot) {
	e.dropRun(r)
	r.w.planned--
	pool.used = pool.used.Minus(r.need)
	pool.placement[before.n] = before.before
	r.w.isolatedUntil = before.isolatedUntil
}
