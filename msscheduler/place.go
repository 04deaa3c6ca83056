package msscheduler

import (
	"time"

	"go.uber.org/zap"

	"marjoramspan/msjob"
	"marjoramspan/msorder"
	"marjoramspan/mspause"
	"marjoramspan/msplace"
	"marjoramspan/mssite"
	"marjoramspan/mswait"
)

// poolSnapshot has the usable workers of a pool and their state as the placement sees
// it.
type poolSnapshot struct {
	workers   []*worker
	placement []msplace.Worker
	// size is the number of workers of the whole pool that accept tasks.
	size int
	// capacity is what the workers have that can be reached, used what tasks reserve there.
	capacity, used msjob.Resources
	// unsettled is set if there are workers whose state isn't known, leaving if there are some
	// that drain, are ordered away or can't be reached.
	unsettled, leaving bool
	// sparesOthers bounds the workers that are isolated at a time for suspect tasks.
	sparesOthers bool
	// othersWait is set once a task that need not be isolated has found no worker.
	othersWait bool
	// usefulWait is set once a task has found no room whose job is of use to callers only for
	// some time and can still be. Jobs that never become useless don't set it, nor do tasks for
	// which there is no worker, however idle: they may wait for ever.
	usefulWait bool
	// protects is set if a worker is withheld or isolated.
	protects bool
	// held is the worker that is kept free for a wide job in this pass, or nil.
	held *worker
	// suspectsWait is set once a task that has to start apart has found no worker.
	suspectsWait bool
	// full has what no worker of the pool has room for.
	full []roomRequest
	// slice is the time that the pass spends on the pool, and cutShort is set once that is over.
	slice    msplace.Slice
	cutShort bool
	// resumeAfter is the job after which the pass goes on, as the previous one was cut short there, or
	// nil. cutAfter is the same for the next pass.
	resumeAfter, cutAfter *job
	// resumed is set once the pass has gone on after resumeAfter.
	resumed bool
}

// passSlice bounds the time that one pass places tasks for, as renewals, reports and callers wait
// for it. The next pass goes on after the job at which it was cut short, so that jobs which take long and
// can't be placed don't keep those behind them waiting.
const (
	passSlice = 10 * time.Millisecond
	// minPoolSlice is the least that a pool has of a pass. A shorter one is used up by a few jobs, and
	// each further pass waits for an append to the log.
	minPoolSlice = 2 * time.Millisecond
)

// maxSoughtSteps is the number of steps of a job whose tasks may get duplicates that each pass looks
// at. Duplicates are for tasks that are seconds late.
const maxSoughtSteps = 64

// checkedPlacements is how many tasks are placed between two looks at the clock.
const checkedPlacements = 16

// isCutShort reports whether no further task of the pool is placed in this pass.
func (p *poolSnapshot) isCutShort(now time.Time) bool {
	p.cutShort = p.cutShort || p.slice.IsOver(now)
	p.othersWait = p.othersWait || p.cutShort
	return p.cutShort
}

// skips reports whether the pass doesn't look at a job, as its pool's slice begins after the job or is
// over.
func (p *poolSnapshot) skips(j *job) bool {
	if p == nil || p.resumeAfter == nil {
		return p != nil && p.cutShort
	}
	if p.resumeAfter == j {
		p.resumeAfter, p.resumed = nil, true
	}
	return true
}

// releaseIsolated allows other tasks on the workers that were kept free for suspect tasks.
func (p *poolSnapshot) releaseIsolated() {
	for _, w := range p.workers {
		w.isolatedUntil = time.Time{}
	}
}

// snapshotPools returns the usable workers of each pool. The snapshots are valid until the
// next call.
func (e *Engine) snapshotPools(now time.Time) map[string]*poolSnapshot {
	all := e.resetSnapshots()
	if now.Sub(e.mediansAt) >= mediansMaxAge {
		e.medians, e.mediansAt = e.medianRuntimeRatios(), now
	}
	medians := e.medians
	for _, w := range e.workersByID() {
		if w.terminated || !w.exists(now) {
			continue
		}
		r := all[w.Pool]
		if r == nil {
			r = &poolSnapshot{}
			all[w.Pool] = r
		}
		if w.reachable {
			r.capacity, r.used = r.capacity.Plus(w.Capacity), r.used.Plus(w.used)
		}
		if !w.usable(now) {
			r.unsettled, r.leaving = r.unsettled || w.stays(now), r.leaving || !w.stays(now)
			continue
		}
		if !w.withheld() {
			r.size++
		}
		w.planned = 0
		n := w.attemptCounts()
		v := msplace.Worker{
			ID: w.ID, Rack: w.Rack, Labels: w.Labels, Capacity: w.Capacity, Free: w.free(), FailureRisk: max(w.failures.Risk(now), w.slowness(medians[w.Pool]), w.coldness(now)),
			Serving: n.serving, Backfilling: n.backfilling, LongRunning: n.longRunning, Recent: n.recent, Suspects: n.suspects,
			Isolated: n.isolated || now.Before(w.isolatedUntil), IsolatedFor: n.isolatedFor, FreshTrial: n.freshUnconfirmed || now.Before(n.freshUntil),
			Withheld: w.withheld(), Barred: w.pauses.Barred(now), Busy: w.busy(),
		}
		r.protects = r.protects || v.Withheld || v.Isolated
		r.workers = append(r.workers, w)
		r.placement = append(r.placement, v)
	}
	for name, r := range all {
		if len(r.workers) == 0 && !r.unsettled && !r.leaving {
			delete(all, name)
			continue
		}
		for i, w := range r.workers {
			if w.cold(now) {
				r.placement[i].Free = e.offered(w, r.size, now)
			}
		}
	}
	return all
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// place assigns waiting tasks to workers and returns the new attempts. Their starts may
// be sent once the progress is stored. The caller holds mu.
func (e *Engine) place(now time.Time) []*run {
	e.reportShares(now)
	e.pauseWorkers(now)
	defer e.reportWaits(now)
	if r := e.placesNothing(now); r != mswait.None {
		e.noteAllWaits(r, now)
		return nil
	}
	site := e.Sites.Site()
	jobs, candidates := e.queue(site, now)
	if len(jobs) == 0 {
		return nil
	}
	snapshots := e.snapshotPools(now)
	for name, pool := range snapshots {
		pool.sparesOthers = e.othersWait[name]
		pool.slice.Limit = max(passSlice/time.Duration(len(snapshots)), minPoolSlice)
		if j := e.resumeAfter[name]; j != nil && j.inQueue && j.poolIn(site) == name {
			pool.resumeAfter = j
		}
	}
	clear(e.resumeAfter)
	var placed []*run
	for _, j := range jobs {
		j.noteIdle(snapshots[j.poolIn(site)], now)
	}
	for _, j := range keptOut(jobs) {
		placed = append(placed, e.placeJob(j, snapshots, site, now)...)
	}
	for _, j := range jobs {
		pool := snapshots[j.poolIn(site)]
		if !pool.skips(j) {
			placed = append(placed, e.placeJob(j, snapshots, site, now)...)
		}
		if pool != nil && pool.cutShort && pool.cutAfter == nil {
			pool.cutAfter = j
		}
		e.noteWait(j, pool, now)
	}
	for name, pool := range snapshots {
		e.othersWait[name] = pool.othersWait
		if pool.cutShort {
			if e.resumeAfter == nil {
				e.resumeAfter = map[string]*job{}
			}
			e.resumeAfter[name] = pool.cutAfter
			e.wakeLoop()
		} else if pool.resumed {
			e.wakeLoop()
		}
		if !pool.suspectsWait {
			pool.releaseIsolated()
		}
		if pool.usefulWait {
			e.logFullPool(name, pool.held, candidates, now)
		}
	}
	return placed
}

// placesNothing returns why nothing is placed in this pass, or None.
func (e *Engine) placesNothing(now time.Time) mswait.Reason {
	switch {
	case !e.Term.Valid():
		return mswait.NoTerm
	case !e.initialReportsReceived(now):
		return mswait.StartOfTerm
	case !e.operatorsCurrent(now):
		return mswait.StaleRecords
	}
	return mswait.None
}

// initialReportWait is how long a new leader waits for the first reports of workers;
// earlier placements would all go to the few that answered first.
const initialReportWait = 200 * time.Millisecond

// initialReportsReceived reports whether the registered workers have reported or the
// wait for them is over.
func (e *Engine) initialReportsReceived(now time.Time) bool {
	if now.Sub(e.startedAt) > initialReportWait {
		return true
	}
	for _, w := range e.workers {
		if w.registered && !w.reported {
			return false
		}
	}
	return len(e.workers) > 0
}

// queue returns the jobs with tasks that may be placed by a site, in the order of placement,
// and what they were ordered by. The results are valid until the next call.
func (e *Engine) queue(site *mssite.Site, now time.Time) ([]*job, []*msplace.Candidate) {
	wall := e.Wall.Now()
	defaultWeight := meanWeight(site)
	jobs, candidates := e.queued[:0], e.candidates[:0]
	for _, j := range e.activeJobs() {
		t, ok := j.candidate(wall)
		j.inQueue = ok && !e.awaitsSite(j, site)
		if !j.inQueue {
			if !ok {
				j.idleSince = time.Time{}
			} else {
				j.blocker = mswait.NewerSite
				e.noteWait(j, nil, now)
			}
			continue
		}
		t.Starved = j.wide && e.wideJobs.Starved(j.queueKey())
		t.Index, t.Pool, t.Weight = len(jobs), poolOf(j.def, site), teamWeight(j.def.Team, site, defaultWeight)
		j.order, j.useless = t, t.Useless()
		if t.Late() {
			e.recordOutcome(j, false)
		}
		jobs = append(jobs, j)
		candidates = append(candidates, &j.order)
	}
	e.queued, e.candidates = jobs, candidates
	if len(jobs) == 0 {
		return nil, nil
	}
	e.shares.Rank(candidates, e.poolCapacities(now), now)
	ordered := e.ordered[:0]
	for _, c := range candidates {
		ordered = append(ordered, jobs[c.Index])
	}
	e.ordered = ordered
	e.keepOrder(ordered)
	return ordered, candidates
}

// awaitsSite reports whether a job waits for a newer version than site, by which it was
// accepted: its effect must not show before this entry handles requests by it.
func (e *Engine) awaitsSite(j *job, site *mssite.Site) bool {
	if !site.OlderThan(j.def.SiteVersion) {
		return false
	}
	if e.Sites.Awaits(j.def.SiteVersion) {
		e.readSite()
		return true
	}
	// If the version was read meanwhile, the next pass places by it.
	return e.Sites.Site() != site
}

// candidate describes a job for the placement order and reports whether any of its tasks
// waits to be placed.
func (j *job) candidate(now time.Time) (msplace.Candidate, bool) {
	tasks := j.tasks()
	t := msplace.Candidate{
		ID: j.def.ID, Team: j.def.Team, LongRunning: tasks.longRunning, Priority: j.def.Priority,
		OverShare: j.overShare, Started: j.p.Started, Wanted: tasks.wanted,
	}
	ratio := j.ratio()
	t.Objective = ratio.Objective(j.def, j.criticalPath)
	for _, p := range tasks.paths {
		left := ratio.RemainingTime(p.left)
		slack := p.due.Add(t.Objective).Sub(now) - left
		if t.Slack == 0 || slack < t.Slack {
			t.Slack, t.RemainingPath = slack, left
		}
	}
	if j.def.OccurrenceCount() > 1 {
		// One occurrence that is late beyond use must not hold back those that are due now.
		t.Objective = 0
	}
	return t, tasks.waiting
}

// queueOf returns the queue of a job, or nil if it no longer exists.
func queueOf(j *msjob.Job, site *mssite.Site) *mssite.Queue {
	if site == nil {
		return nil
	}
	return site.FindQueue(j.QueueID())
}

// markDuplicated records that a duplicate of a task was started, which happens once.
func (j *job) markDuplicated(id msjob.TaskID) {
	if j.duplicated == nil {
		j.duplicated = map[msjob.TaskID]bool{}
	}
	j.duplicated[id] = true
}

// poolOf returns the pool that runs a job now: that of its queue, while the queue
// exists.
func poolOf(j *msjob.Job, site *mssite.Site) string {
	if q := queueOf(j, site); q != nil {
		return q.Pool
	}
	return j.Pool
}

// canBecomeUseless reports whether the job is of use to callers now and will not be some time after
// its objective.
func (j *job) canBecomeUseless() bool {
	return !j.useless && !j.def.LongRunning() && j.order.Objective > 0
}

func (e *Engine) placeJob(j *job, snapshots map[string]*poolSnapshot, site *mssite.Site, now time.Time) []*run {
	j.blocker, j.workers = mswait.None, mswait.Workers{}
	pool := snapshots[j.poolIn(site)]
	if pool == nil {
		e.noteNoWorker(j, j.firstRequirements(), nil)
		return nil
	}
	// Those before it in the pass may have filled the pool.
	j.givesWay = j.givesWay && (j.def.LongRunning() || pool.inUse(j.tasks().wanted) < mspause.MaxInUse)
	if j.useless && pool.usefulWait && !j.givesWay {
		j.blocker = mswait.BehindUseful
		return nil
	}
	var placed []*run
	ready := j.tasks().ready
	// Jobs with many steps in progress are spared the search in most passes.
	seeksDuplicates := len(ready) <= maxSoughtSteps || now.Sub(j.duplicatesSoughtAt) >= stallCheckInterval
	if seeksDuplicates {
		j.duplicatesSoughtAt = now
	}
	for i := range ready {
		r := &ready[i]
		if r.waiting == 0 && (!seeksDuplicates || !j.def.Steps[r.step].Duplicates) {
			continue
		}
		if e.findsNoRoom(j, r, pool, site) {
			pool.othersWait = true
			continue
		}
		// The clock is read only where there is work: most jobs of a full pool have none.
		pool.slice.Begin(e.Clock.Now())
		placed = append(placed, e.placeStep(j, r, pool, site, now)...)
		pool.slice.End(e.Clock.Now())
		if pool.isCutShort(pool.slice.Ended()) {
			break
		}
	}
	if len(placed) > 0 {
		j.idleSince, j.givesWay = time.Time{}, false
		if j.window.Left() > 0 {
			e.wakeLoop()
		}
	}
	return placed
}

// placeStep places the waiting tasks of a ready step. Those of a gang are placed all at once
// or not at all.
func (e *Engine) placeStep(j *job, ready *readyStep, pool *poolSnapshot, site *mssite.Site, now time.Time) []*run {
	k, s := ready.occurrence, ready.step
	step := &j.def.Steps[s]
	occurrence := j.p.Occurrences[k]
	tasks := occurrence.Steps[s]
	running := j.stepRuns(stepIndex{k, s})
	defer j.dropEmptySum(stepIndex{k, s})
	want := msplace.Requirements{Step: step, OnWorker: running.onWorker, OnRack: e.onRacks(running), SparesOthers: pool.sparesOthers}
	room := min(e.attemptRoom(j), max(1, len(pool.workers))*msorder.MaxStarts)
	if step.Gang {
		room = step.Count
		if e.teamHeadroom(j.def.Team, step.Need, site) < room {
			j.blocker = mswait.TeamLimit
			return nil
		}
		if ready.waiting < step.Count || running.n > 0 || !e.gangHasRoom(j, &want, pool, pool) {
			return nil
		}
	}
	waiting := e.findWaiting(j, ready, tasks, room, now)
	if len(waiting) == 0 || step.Gang && len(waiting) < step.Count {
		if len(j.retryAt) > 0 {
			j.blocker = mswait.RetryDelay
		}
		return nil
	}
	if n := e.teamHeadroom(j.def.Team, step.Need, site); n < len(waiting) {
		j.blocker = mswait.TeamLimit
		if step.Gang || n == 0 {
			return nil
		}
		waiting = waiting[:n]
	}
	var tickets map[string]string
	whole := pool
	if q := j.queueIn(site); q != nil && q.Advisor != nil {
		a := e.adviceFor(stepKey{j.def.ID, k, s}, q, pool, j.givesWay, now)
		if a == nil {
			j.blocker = mswait.Ticket
			return nil
		}
		tickets = a.tickets
		pool = a.restrict(pool)
		if step.Gang && !e.gangHasRoom(j, &want, pool, whole) {
			return nil
		}
	}
	if e.interference.table.Found() > 0 {
		want.Beside = e.interference.partnersOf(imageOf(j, step))
	}
	if step.Gang {
		return e.placeGang(j, ready, want, waiting, tickets, pool, whole, site)
	}
	var placed []*run
	for n, i := range waiting {
		if n%checkedPlacements == checkedPlacements-1 && whole.isCutShort(e.Clock.Now()) {
			break
		}
		id := msjob.TaskID{Job: j.def.ID, Occurrence: k, Step: s, Index: i}
		// One task that runs is enough for its job not to stand still.
		want.UseWithheld = j.givesWay && pool.protects && (len(placed) == 0 || step.LongRunning)
		want.Avoid, want.Suspect, want.Group = j.avoid[id], tasks[i].MaxCrashes() > 0, isolationGroup(j, step, &tasks[i])
		n := e.chooseWorker(j, &want, pool, whole)
		if n < 0 && want.Group != "" {
			whole.suspectsWait = true
			isolateWorker(want, pool, now)
			continue
		}
		if n < 0 {
			whole.othersWait = true
			break
		}
		if tasks[i].Phase == msjob.Assigned {
			j.markDuplicated(id)
		}
		e.notePlacedApart(want, pool, n)
		r := e.reserve(j, id, tasks[i].Attempt+1, pool, n, want)
		r.ticket = tickets[r.w.ID]
		placed = append(placed, r)
	}
	if len(placed) < len(waiting) {
		e.holdForWide(j, want, whole)
	}
	for _, r := range placed {
		e.assign(r, occurrence)
	}
	e.logPlaced(j, k, s, placed, len(waiting), site)
	return placed
}

// findWaiting returns the first tasks of a step that wait to be placed, or may get a duplicate, at most
// limit. The result is valid until the next call.
func (e *Engine) findWaiting(j *job, ready *readyStep, tasks []msjob.Task, limit int, now time.Time) []int {
	waiting := e.waitingTasks[:0]
	duplicates := j.def.Steps[ready.step].Duplicates
	// Attempts that were given up may have been listed again, and are being stopped.
	strays := !duplicates && j.stepRuns(stepIndex{ready.occurrence, ready.step}).n > ready.assigned
	for i := range tasks {
		t := &tasks[i]
		if t.Phase == msjob.Done || t.Phase == msjob.Assigned && !duplicates {
			continue
		}
		if len(waiting) >= limit {
			j.blocker = mswait.AttemptLimit
			break
		}
		id := msjob.TaskID{Job: j.def.ID, Occurrence: ready.occurrence, Step: ready.step, Index: i}
		if strays && e.mayRun(id, t.Attempt) {
			continue
		}
		if t.Phase == msjob.Waiting && !j.isDelayed(id, now) || t.Phase == msjob.Assigned && e.wantsDuplicate(j, id, t, now) {
			waiting = append(waiting, i)
		}
	}
	e.waitingTasks = waiting
	return waiting
}

// mayRun reports whether an attempt of a task up to the given one may still run.
func (e *Engine) mayRun(id msjob.TaskID, attempt int) bool {
	for n := 1; n <= attempt; n++ {
		if e.runs[runKey{id, n}] != nil {
			return true
		}
	}
	return false
}

// isolateWorker keeps new tasks away from a worker, so that the task can soon start there
// apart from others.
func isolateWorker(want msplace.Requirements, pool *poolSnapshot, now time.Time) {
	if n := msplace.ChooseIsolated(want, pool.placement); n >= 0 {
		pool.placement[n].Isolated = true
		pool.workers[n].isolatedUntil = now.Add(isolationTime)
	}
}

// isolationTime is how long a worker is kept free for a task that has to start alone. The
// attempts that run there have ended by then, or have run for long enough.
const isolationTime = msjob.MinTrialTime + servingReportWait + reportPause

// logPlaced logs in one line what a pass has placed of a step.
func (e *Engine) logPlaced(j *job, k, s int, placed []*run, waiting int, site *mssite.Site) {
	if len(placed) == 0 {
		return
	}
	tasks, workers := make([]int, len(placed)), make([]string, len(placed))
	for i, r := range placed {
		tasks[i], workers[i] = r.task.Index, r.w.ID
	}
	version := int64(0)
	if site != nil {
		version = site.Version
	}
	e.Logger.Info("tasks assigned", zap.String("job", j.def.ID), zap.Int("occurrence", k), zap.Int("step", s),
		zap.Ints("tasks", tasks), zap.Int("attempt", placed[0].attempt), zap.Strings("workers", workers),
		zap.Int("waiting", waiting), zap.Int64("version", version), zap.Bool("excess", j.overShare))
}

// reserve reserves capacity for a task on the n-th worker of the pool.
func (e *Engine) reserve(j *job, id msjob.TaskID, attempt int, pool *poolSnapshot, n int, want msplace.Requirements) *run {
	w := pool.workers[n]
	r := e.newRun(j, id, attempt, w)
	e.addRun(r)
	now := e.Clock.Now()
	e.countStart(w, now)
	pool.used = pool.used.Plus(r.need)
	v := &pool.placement[n]
	v.Free = e.offered(w, pool.size, now)
	v.Recent++
	v.Suspects += boolToInt(want.Suspect)
	if want.Group != "" {
		v.Isolated, v.IsolatedFor, v.FreshTrial = true, want.Group, true
		pool.protects = true
	}
	w.isolatedUntil = time.Time{}
	w.planned++
	v.Busy = w.busy()
	v.Serving += boolToInt(want.Step.TailLatencyTarget > 0)
	v.Backfilling += boolToInt(want.Step.Backfill)
	v.LongRunning += boolToInt(want.Step.LongRunning)
	if want.OnRack != nil {
		want.OnRack[w.Rack]++
	}
	return r
}

// assign records a planned attempt in the progress.
func (e *Engine) assign(r *run, occurrence *msjob.OccurrenceProgress) {
	t := &occurrence.Steps[r.task.Step][r.task.Index]
	t.Phase, t.Attempt, t.Worker = msjob.Assigned, r.attempt, r.w.ID
	r.job.p.State, r.job.p.Started = msjob.Running, true
	e.markDirty(r.job)
}

// teamHeadroom is how many more tasks a team may run within its limit.
func (e *Engine) teamHeadroom(team string, need msjob.Resources, site *mssite.Site) int {
	const unbounded = 1 << 30
	if team == "" || site == nil {
		return unbounded
	}
	t, ok := site.Teams[team]
	if !ok {
		return unbounded
	}
	used := e.teams[team]
	n := int64(unbounded)
	for _, part := range [][3]int64{
		{t.Limit.CPU, used.CPU, need.CPU},
		{t.Limit.Memory, used.Memory, need.Memory},
		{t.Limit.GPUs, used.GPUs, need.GPUs},
	} {
		if limit, used, need := part[0], part[1], part[2]; limit > 0 && need > 0 {
			n = min(n, max(0, limit-used)/need)
		}
	}
	return int(n)
}
