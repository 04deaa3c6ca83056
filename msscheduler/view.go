package msscheduler

import (
	"slices"
	"strings"
	"time"

	"marjoramspan/msjob"
	"marjoramspan/msplace"
	"marjoramspan/mssite"
	"marjoramspan/mswait"
)

// This file has what a pass derives from jobs and workers and keeps until they change. It
// is for the load of a full cluster: a thousand jobs wait, ten attempts end between two
// passes, and everything else is as it was.

// passState has what passes reuse, so that they need no allocations. Engine.mu guards it.
type passState struct {
	// sortedWorkers has the workers by ID, or is nil if they have changed.
	sortedWorkers []*worker
	snapshots     map[string]*poolSnapshot
	// order has the active jobs as the previous pass has sorted them. It may have ended
	// jobs and lack new ones.
	order, nextOrder []*job
	queued, ordered  []*job
	candidates       []*msplace.Candidate
	waitingTasks     []int
	// resumeAfter has the jobs after which the next pass goes on, by pool.
	resumeAfter map[string]*job
	onRack      map[string]int
	// stallsCheckedAt is when attempts without progress were last looked for.
	stallsCheckedAt time.Time
	// medians has the medians of the workers' run times at mediansAt.
	medians   map[string]float64
	mediansAt time.Time
}

// mediansMaxAge is how old the medians of the workers' run times may be: they are averages
// over several attempts of each worker.
const mediansMaxAge = 100 * time.Millisecond

// workersByID returns the workers in the order of their IDs.
func (e *Engine) workersByID() []*worker {
	if e.sortedWorkers == nil || len(e.sortedWorkers) != len(e.workers) {
		all := make([]*worker, 0, len(e.workers))
		for _, w := range e.workers {
			all = append(all, w)
		}
		slices.SortFunc(all, func(a, b *worker) int { return strings.Compare(a.ID, b.ID) })
		e.sortedWorkers = all
	}
	return e.sortedWorkers
}

// resetSnapshots returns the snapshots of the previous pass without their workers.
func (e *Engine) resetSnapshots() map[string]*poolSnapshot {
	if e.snapshots == nil {
		e.snapshots = map[string]*poolSnapshot{}
	}
	for _, r := range e.snapshots {
		clear(r.workers)
		*r = poolSnapshot{workers: r.workers[:0], placement: r.placement[:0], full: r.full[:0]}
	}
	return e.snapshots
}

// activeJobs returns the active jobs, those that the previous pass had in its queue first
// and in that order: a list that is nearly in order is sorted faster.
func (e *Engine) activeJobs() []*job {
	all := e.nextOrder[:0]
	for _, j := range e.order {
		if !j.p.State.Final() {
			all = append(all, j)
		}
	}
	if len(all) != len(e.active) {
		for _, j := range e.active {
			if !j.inOrder {
				j.inOrder = true
				all = append(all, j)
			}
		}
	}
	e.setOrder(all)
	return all
}

// keepOrder puts the jobs of the queue first in the list of active jobs.
func (e *Engine) keepOrder(queue []*job) {
	all := append(e.nextOrder[:0], queue...)
	for _, j := range e.order {
		if !j.inQueue {
			all = append(all, j)
		}
	}
	e.setOrder(all)
}

func (e *Engine) setOrder(all []*job) {
	clear(e.order)
	e.order, e.nextOrder = all, e.order
}

// taskView sums up the tasks of a job.
type taskView struct {
	// waiting is set if a task waits to be placed or may get a duplicate.
	waiting, longRunning bool
	// paths has the remaining critical path of each occurrence.
	paths []occurrencePath
	// ready has the steps that can run now and are not done.
	ready []readyStep
	// work is the estimated work that isn't done, in core-seconds, without long-running and
	// backfill steps.
	work float64
	// waitingOccurrences counts the occurrences with tasks that wait to be placed, apart from those that
	// have to start apart.
	waitingOccurrences int
	// wanted is what the tasks that wait to be placed reserve.
	wanted msjob.Resources
}

type occurrencePath struct {
	due  time.Time
	left time.Duration
}

type readyStep struct {
	occurrence, step  int
	waiting, assigned int
	// apart counts the tasks that have to start apart from others, isolated those of them
	// that need a worker for themselves.
	apart, isolated int
}

// mustStartApart reports whether a task has to start apart from others.
func (v *taskView) mustStartApart() bool {
	for i := range v.ready {
		if v.ready[i].apart > 0 {
			return true
		}
	}
	return false
}

// tasksChanged has the next call of tasks sum up the tasks again.
func (j *job) tasksChanged() {
	j.tasksKnown = false
}

// tasks sums up the tasks of the job. The slices are valid until the next call after a
// change.
func (j *job) tasks() *taskView {
	v := &j.taskView
	if j.tasksKnown {
		return v
	}
	j.tasksKnown = true
	*v = taskView{longRunning: j.def.LongRunning(), paths: v.paths[:0], ready: v.ready[:0]}
	for k, occurrence := range j.p.Occurrences {
		v.paths = append(v.paths, occurrencePath{due: j.def.Due(k), left: occurrence.RemainingPath(j.def)})
		waits := false
		for s := range occurrence.Steps {
			waits = v.addStep(j.def, occurrence, k, s) || waits
		}
		v.waitingOccurrences += boolToInt(waits)
	}
	return v
}

// addStep adds a step to the view, and reports whether tasks of it wait to be placed beside others.
func (v *taskView) addStep(def *msjob.Job, occurrence *msjob.OccurrenceProgress, k, s int) bool {
	step := &def.Steps[s]
	r := readyStep{occurrence: k, step: s}
	for i := range occurrence.Steps[s] {
		t := &occurrence.Steps[s][i]
		switch t.Phase {
		case msjob.Waiting:
			r.waiting++
		case msjob.Assigned:
			r.assigned++
		case msjob.Done:
			continue
		}
		isolation := t.Isolation()
		r.apart += boolToInt(isolation != msjob.NotIsolated)
		r.isolated += boolToInt(isolation == msjob.IsolatedByJob)
	}
	left := r.waiting + r.assigned
	if left == 0 {
		return false
	}
	if !step.LongRunning && !step.Backfill {
		v.work += float64(left) * float64(step.Need.CPU) / 1000 * step.Estimate.Seconds()
	}
	if !occurrence.Ready(def, s) {
		return false
	}
	v.ready = append(v.ready, r)
	v.waiting = v.waiting || r.waiting > 0 || step.Duplicates
	v.wanted = v.wanted.Plus(step.Reserved().Times(int64(r.waiting)))
	return r.waiting > r.apart
}

// Calm reports whether nothing waits for the leader: no task, no start, no record, no VM order
// and no wave, and whether the term is valid.
func (e *Engine) Calm() bool {
	if !e.Term.Valid() {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.jobs == nil || len(e.dirty) > 0 || len(e.unpublished.records) > 0 || len(e.pools.movedAt) > 0 {
		return false
	}
	for _, w := range e.waves {
		if !w.p.Completed {
			return false
		}
	}
	for _, j := range e.active {
		for _, r := range j.tasks().ready {
			if r.waiting > 0 {
				return false
			}
		}
	}
	for _, r := range e.runs {
		if r.state != runStarted {
			return false
		}
	}
	return true
}

// poolIn returns the pool that runs the job now.
func (j *job) poolIn(site *mssite.Site) string {
	j.queueIn(site)
	return j.pool
}

// queueIn returns the job's queue, or nil if it no longer exists. A site is replaced, never
// modified.
func (j *job) queueIn(site *mssite.Site) *mssite.Queue {
	if j.pool == "" || j.queueSite != site {
		j.queue, j.pool, j.queueSite = queueOf(j.def, site), poolOf(j.def, site), site
	}
	return j.queue
}

// attemptCounts sums up the attempts on a worker.
type attemptCounts struct {
	serving, backfilling, longRunning int
	recent, suspects                  int
	isolated                          bool
	isolatedFor                       string
	// An attempt that started apart is fresh until freshUntil, or until its start is confirmed
	// if freshUnconfirmed is set.
	freshUntil       time.Time
	freshUnconfirmed bool
}

// attemptsChanged has the next call of attemptCounts sum up the attempts again.
func (w *worker) attemptsChanged() {
	w.attemptsKnown = false
}

// attemptCounts sums up the attempts on the worker.
func (w *worker) attemptCounts() attemptCounts {
	if w.attemptsKnown {
		return w.attempts
	}
	var n attemptCounts
	for _, r := range w.runs {
		if r.recent() {
			n.recent++
			n.suspects += boolToInt(r.suspect)
			if r.isolated {
				n.isolated, n.isolatedFor = true, r.group
				if r.confirmedAt.IsZero() {
					n.freshUnconfirmed = true
				} else if until := r.confirmedAt.Add(msjob.MinTrialTime); until.After(n.freshUntil) {
					n.freshUntil = until
				}
			}
		}
		if s := r.step(); s != nil {
			n.serving += boolToInt(s.TailLatencyTarget > 0)
			n.backfilling += boolToInt(s.Backfill)
			n.longRunning += boolToInt(s.LongRunning)
		}
	}
	w.attempts, w.attemptsKnown = n, true
	return n
}

// roomRequest is what a task needs of a worker.
type roomRequest struct {
	need  msjob.Resources
	label string
	// useWithheld is set if withheld workers would do.
	useWithheld bool
	// reason is why none of them has it, slots for how many such tasks they had room if they
	// were idle.
	reason mswait.Reason
	slots  int
}

// fullFor returns what an earlier search has shown if no worker has room for a task of the
// step, or nil. Capacity that is free only shrinks while a pass places tasks, so what had no
// room has none until the end of the pass.
//
// A search for another label does not show whether all workers with that of the step are
// withheld.
func (p *poolSnapshot) fullFor(step *msjob.Step, useWithheld bool) *roomRequest {
	for i := range p.full {
		f := &p.full[i]
		sameLabel := f.label == step.Label || f.label == "" && (f.useWithheld || !p.protects)
		if sameLabel && f.need.Fits(step.Reserved()) && (f.useWithheld || !useWithheld) {
			return f
		}
	}
	return nil
}

// findsNoRoom reports whether a search for workers for a ready step would find none, as
// it has found none for one that needs no more.
func (e *Engine) findsNoRoom(j *job, r *readyStep, pool *poolSnapshot, site *mssite.Site) bool {
	step := &j.def.Steps[r.step]
	if step.Gang || step.Duplicates || r.apart > 0 || len(j.retryAt) > 0 {
		return false
	}
	f := pool.fullFor(step, j.givesWay && pool.protects)
	if f == nil {
		return false
	}
	q := j.queueIn(site)
	if q != nil && q.Advisor != nil || e.teamHeadroom(j.def.Team, step.Need, site) == 0 {
		return false
	}
	j.blocker = f.reason
	j.noteUsefulWait(step, f.slots, pool)
	return true
}

// addFull remembers that no worker has room for what a task needs, if that is so: a task may
// also have been given no worker for another reason.
func (p *poolSnapshot) addFull(reason mswait.Reason, slots int, want msplace.Requirements) {
	f := roomRequest{need: want.Step.Reserved(), label: want.Step.Label, useWithheld: want.UseWithheld, reason: reason, slots: slots}
	if want.Step.MaxPerWorker > 0 {
		// The tasks of the step that run need not be why others find no room.
		f.reason = mswait.Full
	}
	for i := range p.placement {
		w := &p.placement[i]
		kept := w.Barred || w.Busy || w.Withheld && !f.useWithheld
		if !kept && f.need.Fits(w.Free) && (f.label == "" || slices.Contains(w.Labels, f.label)) {
			return
		}
	}
	p.full = append(p.full, f)
}
