package msscheduler

import (
	"sort"
	"time"

	"go.uber.org/zap"

	"marjoramspan/msjob"
	"marjoramspan/msplace"
	"marjoramspan/mssite"
	"marjoramspan/msworker"
)

// room is the workers of a pool that may take tasks, as a placement sees them.
type room struct {
	workers []*worker
	view    []msplace.Worker
}

// rooms returns the usable workers of each pool.
func (e *Engine) rooms(now time.Time) map[string]*room {
	all := map[string]*room{}
	for _, w := range e.workers {
		if !w.usable(now) {
			continue
		}
		r := all[w.Pool]
		if r == nil {
			r = &room{}
			all[w.Pool] = r
		}
		r.workers = append(r.workers, w)
	}
	medians := e.poolRatios()
	for _, r := range all {
		sort.Slice(r.workers, func(i, k int) bool { return r.workers[i].ID < r.workers[k].ID })
		for _, w := range r.workers {
			v := msplace.Worker{ID: w.ID, Rack: w.Rack, Labels: w.Labels, Capacity: w.Capacity, Free: w.free(), FailureRisk: max(w.score.doubt(now), w.slowness(medians[w.Pool]))}
			for _, run := range w.runs {
				if s := run.step(); s != nil {
					v.Serving += count(s.TailLatencyTarget > 0)
					v.Backfilling += count(s.Backfill)
					v.LongRunning += count(s.LongRunning)
				}
			}
			r.view = append(r.view, v)
		}
	}
	return all
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}

// place puts waiting tasks on workers and returns the new attempts. Their starts
// may be sent once the progress is stored. The caller holds mu.
func (e *Engine) place(now time.Time) []*run {
	if !e.Term.Valid() || !e.settled(now) {
		return nil
	}
	jobs := e.queue()
	if len(jobs) == 0 {
		return nil
	}
	rooms := e.rooms(now)
	site := e.Sites.Site()
	var placed []*run
	for _, j := range jobs {
		placed = append(placed, e.placeJob(j, rooms, site, now)...)
	}
	return placed
}

// settleTime is how long a new leader waits for the first reports of workers; what
// is placed before goes to the few that answered first.
const settleTime = 200 * time.Millisecond

// settled says whether the listed workers have reported, or had time to.
func (e *Engine) settled(now time.Time) bool {
	if now.Sub(e.begun) > settleTime {
		return true
	}
	for _, w := range e.workers {
		if w.listed && !w.reported {
			return false
		}
	}
	return len(e.workers) > 0
}

// queue returns the jobs with tasks that may be placed, in the order in which they
// get room.
func (e *Engine) queue() []*job {
	wall := e.Wall.Now()
	var jobs []*job
	var turns []msplace.Candidate
	for _, j := range e.active {
		t, ok := j.turn(wall)
		if !ok {
			continue
		}
		t.Index = len(jobs)
		jobs = append(jobs, j)
		turns = append(turns, t)
	}
	msplace.SortCandidates(turns)
	ordered := make([]*job, len(turns))
	for i := range turns {
		ordered[i] = jobs[turns[i].Index]
	}
	return ordered
}

// turn describes a job for its place in the queue, and says whether any of its
// tasks waits for room.
func (j *job) turn(now time.Time) (msplace.Candidate, bool) {
	t := msplace.Candidate{ID: j.def.ID, LongRunning: j.def.LongRunning(), Priority: j.def.Priority, OverShare: j.excess, Started: j.p.Started}
	waits := false
	for k, round := range j.p.Occurrences {
		for s := range round.Steps {
			if !round.Ready(j.def, s) {
				continue
			}
			for i := range round.Steps[s] {
				if p := round.Steps[s][i].Phase; p == msjob.Waiting || p == msjob.Assigned && j.def.Steps[s].Duplicates {
					waits = true
					break
				}
			}
		}
		left := round.RemainingPath(j.def)
		slack := j.def.Due(k).Add(j.def.LatencyObjective()).Sub(now) - left
		if t.Slack == 0 || slack < t.Slack {
			t.Slack, t.RemainingPath = slack, left
		}
	}
	return t, waits
}

// queueOf is a job's queue, or nil where it is gone.
func queueOf(j *msjob.Job, site *mssite.Site) *mssite.Queue {
	if site == nil {
		return nil
	}
	return site.QueueByName(j.Queue)
}

// noteCopy remembers that a copy of a task was started, which happens once.
func (j *job) noteCopy(id msjob.TaskID) {
	if j.copied == nil {
		j.copied = map[msjob.TaskID]bool{}
	}
	j.copied[id] = true
}

// poolOf is the pool that runs a job now: that of its queue, while it exists.
func poolOf(j *msjob.Job, site *mssite.Site) string {
	if q := queueOf(j, site); q != nil {
		return q.Pool
	}
	return j.Pool
}

func (e *Engine) placeJob(j *job, rooms map[string]*room, site *mssite.Site, now time.Time) []*run {
	rm := rooms[poolOf(j.def, site)]
	if rm == nil {
		return nil
	}
	var placed []*run
	for k := range j.p.Occurrences {
		round := j.p.Occurrences[k]
		for s := range round.Steps {
			if round.StepDone(s) || !round.Ready(j.def, s) {
				continue
			}
			placed = append(placed, e.placeStep(j, round, k, s, rm, site, now)...)
		}
	}
	return placed
}

// placeStep places the waiting tasks of a step; those of a gang all or not at all.
func (e *Engine) placeStep(j *job, round *msjob.OccurrenceProgress, k, s int, rm *room, site *mssite.Site, now time.Time) []*run {
	step := &j.def.Steps[s]
	tasks := round.Steps[s]
	var waiting []int
	for i := range tasks {
		id := msjob.TaskID{Job: j.def.ID, Occurrence: k, Step: s, Index: i}
		if tasks[i].Phase == msjob.Waiting && !now.Before(j.retryAt[id]) || e.wantsCopy(j, id, &tasks[i], now) {
			waiting = append(waiting, i)
		}
	}
	if len(waiting) == 0 || step.Gang && (len(waiting) < step.Count || j.gangRuns(k, s)) {
		return nil
	}
	if n := e.teamRoom(j.def.Team, step.Need, site); n < len(waiting) {
		if step.Gang {
			return nil
		}
		waiting = waiting[:n]
	}
	var tickets map[string]string
	if q := queueOf(j.def, site); q != nil && q.Advisor != nil {
		a := e.advised(stepKey{j.def.ID, k, s}, q, rm, now)
		if a == nil {
			return nil
		}
		tickets = a.tickets
		rm = a.restrict(rm)
	}
	want := msplace.Requirements{Step: step, OnWorker: map[string]int{}, OnRack: map[string]int{}}
	for key, r := range j.runs {
		if key.task.Occurrence == k && key.task.Step == s {
			want.OnWorker[r.w.ID]++
			want.OnRack[r.w.Rack]++
		}
	}
	var placed []*run
	for _, i := range waiting {
		id := msjob.TaskID{Job: j.def.ID, Occurrence: k, Step: s, Index: i}
		want.Avoid = j.avoid[id]
		n := msplace.Choose(want, rm.view)
		if n < 0 {
			break
		}
		if tasks[i].Phase == msjob.Assigned {
			j.noteCopy(id)
		}
		r := e.plan(j, id, attempt(tasks, i, step.Gang), rm, n, want)
		r.ticket = tickets[r.w.ID]
		placed = append(placed, r)
	}
	if step.Gang && len(placed) < len(waiting) {
		for _, r := range placed {
			e.unplan(r, rm)
		}
		return nil
	}
	for _, r := range placed {
		e.assign(r, round)
	}
	e.logPlaced(j, k, s, placed, len(waiting), site)
	return placed
}

// logPlaced writes one line for what a pass has placed of a step.
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
		zap.Int("waiting", waiting), zap.Int64("version", version), zap.Bool("excess", j.excess))
}

// gangRuns says whether an attempt of a gang may still run somewhere.
func (j *job) gangRuns(k, s int) bool {
	for key := range j.runs {
		if key.task.Occurrence == k && key.task.Step == s {
			return true
		}
	}
	return false
}

// attempt is the number of a task's next attempt, which members of a gang share.
func attempt(tasks []msjob.Task, i int, gang bool) int {
	n := tasks[i].Attempt
	if gang {
		for k := range tasks {
			n = max(n, tasks[k].Attempt)
		}
	}
	return n + 1
}

// plan takes room for a task on the n-th worker of rm.
func (e *Engine) plan(j *job, id msjob.TaskID, attempt int, rm *room, n int, want msplace.Requirements) *run {
	w := rm.workers[n]
	r := e.newRun(j, id, attempt, w)
	e.addRun(r)
	v := &rm.view[n]
	v.Free = w.free()
	v.Serving += count(want.Step.TailLatencyTarget > 0)
	v.Backfilling += count(want.Step.Backfill)
	v.LongRunning += count(want.Step.LongRunning)
	want.OnWorker[w.ID]++
	want.OnRack[w.Rack]++
	return r
}

func (e *Engine) unplan(r *run, rm *room) {
	e.dropRun(r)
	for n, w := range rm.workers {
		if w == r.w {
			rm.view[n].Free = w.free()
		}
	}
}

// assign writes a planned attempt into the progress.
func (e *Engine) assign(r *run, round *msjob.OccurrenceProgress) {
	t := &round.Steps[r.task.Step][r.task.Index]
	t.Phase, t.Attempt, t.Worker = msjob.Assigned, r.attempt, r.w.ID
	r.job.p.State, r.job.p.Started = msjob.Running, true
	e.touch(r.job)
}

// teamRoom is how many more tasks a team may have running.
func (e *Engine) teamRoom(team string, need msjob.Resources, site *mssite.Site) int {
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

// score counts how attempts on a worker have ended lately.
type score struct {
	failures int
	// since is when the newest failure was noted.
	since time.Time
}

const (
	// suspectFailures in a row, without an attempt that ended well, make a worker
	// suspect: most tasks fail once in hundreds of attempts.
	suspectFailures = 3
	// suspectFor is how long a suspect worker gets no tasks while others can.
	suspectFor = 6 * time.Second
)

func (w *worker) noteEnd(how msworker.EndReason, now time.Time) {
	switch how {
	case msworker.EndDone:
		w.score = score{}
	case msworker.EndFailed:
		w.score.failures++
		w.score.since = now
		if w.score.failures >= suspectFailures {
			w.closedUntil = now.Add(suspectFor)
		}
	}
}

// doubt is from 0 to 1.
func (s score) doubt(now time.Time) float64 {
	if s.failures == 0 || now.Sub(s.since) > 2*suspectFor {
		return 0
	}
	return min(1, float64(s.failures)/suspectFailures)
}
