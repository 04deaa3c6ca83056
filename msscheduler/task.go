package msscheduler

import (
	"time"

	"go.uber.org/zap"

	"marjoramspan/msjob"
	"marjoramspan/msworker"
)

// runState is what is known of an attempt on its worker.
type runState int

const (
	// runPlanned attempts wait for their record to be stored.
	runPlanned runState = iota
	// runAdopted attempts stand in the records of an earlier term; whether they run
	// is known once their worker has reported.
	runAdopted
	// runOrdered attempts are being started.
	runOrdered
	// runStarted attempts run, or have ended and their end isn't listed yet.
	runStarted
	// runStopping attempts are being stopped.
	runStopping
)

// run is an attempt that may run on a worker. It counts against the worker's
// capacity and the team's limit for as long as it is kept.
type run struct {
	runKey
	job    *job
	w      *worker
	need   msjob.Resources
	team   string
	limit  msjob.Resources
	state  runState
	ticket string
	// answered is when a start or a stop was answered; only a report asked for
	// after it tells whether the attempt is there.
	answered time.Time
	// uncertain starts were sent without an answer and may be carried out late.
	uncertain bool
	// ordered is when the start was first sent.
	ordered    time.Time
	checkpoint string
	percent    int
	usage      int64
	// moved is when percent last rose.
	moved time.Time
	// atWork is when a lasting task was last seen at work.
	atWork time.Time
	pace   int
	// pacing says that a pace is on its way.
	pacing bool
	// seen is when the newest report that listed the attempt was asked for.
	seen time.Time
}

func (r *run) step() *msjob.Step {
	if r.job == nil || r.task.Step >= len(r.job.def.Steps) {
		return nil
	}
	return &r.job.def.Steps[r.task.Step]
}

// addRun counts an attempt on its worker and for its team.
func (e *Engine) addRun(r *run) {
	e.runs[r.runKey] = r
	r.w.runs[r.runKey] = r
	if r.job != nil {
		if r.job.runs == nil {
			r.job.runs = map[runKey]*run{}
		}
		r.job.runs[r.runKey] = r
	}
	r.w.used = r.w.used.Plus(r.need)
	if r.team != "" {
		e.teams[r.team] = e.teams[r.team].Plus(r.limit)
	}
}

// dropRun forgets an attempt that surely doesn't run any more and never will.
func (e *Engine) dropRun(r *run) {
	if e.runs[r.runKey] != r {
		return
	}
	delete(e.runs, r.runKey)
	delete(r.w.runs, r.runKey)
	if r.job != nil {
		delete(r.job.runs, r.runKey)
	}
	r.w.used = r.w.used.Minus(r.need)
	if r.team != "" {
		e.teams[r.team] = e.teams[r.team].Minus(r.limit)
	}
	e.kick()
}

// newRun returns an attempt of a known task on w.
func (e *Engine) newRun(j *job, id msjob.TaskID, attempt int, w *worker) *run {
	s := &j.def.Steps[id.Step]
	return &run{
		runKey: runKey{task: id, attempt: attempt}, job: j, w: w,
		need: s.Reserved(), team: j.def.Team, limit: s.Need, pace: fullPace,
	}
}

const fullPace = 100

// adopt takes over the attempts of a job that stand in the records.
func (e *Engine) adopt(j *job) {
	for k, r := range j.p.Occurrences {
		for s := range r.Steps {
			for i := range r.Steps[s] {
				t := &r.Steps[s][i]
				if t.Phase != msjob.Assigned {
					continue
				}
				id := msjob.TaskID{Job: j.def.ID, Occurrence: k, Step: s, Index: i}
				n := e.newRun(j, id, t.Attempt, e.workerFor(t.Worker))
				// The earlier leader may have sent the start without an answer.
				n.state, n.uncertain = runAdopted, true
				e.addRun(n)
			}
		}
	}
}

// lose notes that an attempt doesn't run any more and that no end of it will be
// listed.
func (e *Engine) lose(r *run, reason string) {
	if e.runs[r.runKey] != r {
		return
	}
	e.dropRun(r)
	if r.job == nil || r.job.p.State.Final() {
		return
	}
	t := r.job.p.Task(r.task)
	if t == nil || t.Phase != msjob.Assigned || t.Attempt != r.attempt {
		return
	}
	e.Logger.Info("attempt lost", zap.String("task", r.task.String()), zap.Int("attempt", r.attempt),
		zap.String("worker", r.w.ID), zap.String("reason", reason))
	t.Phase = msjob.Waiting
	if r.checkpoint != "" {
		t.Checkpoint = r.checkpoint
	}
	if r.step().Gang {
		e.stopGang(r, reason)
	}
}

// ended notes the end of an attempt that its worker has listed.
func (e *Engine) ended(w *worker, end msworker.End, now time.Time) {
	key := runKey{task: end.Task, attempt: end.Attempt}
	r := e.runs[key]
	if r != nil && r.w == w {
		if s := r.step(); end.Reason == msworker.EndDone && s != nil && !r.answered.IsZero() {
			w.noteRunTime(now.Sub(r.answered), s.Estimate)
		}
		e.dropRun(r)
	}
	j := e.jobs[end.Task.Job]
	if j == nil {
		return
	}
	e.Metrics.end(end.Reason)
	t := j.p.Task(end.Task)
	if t == nil {
		return
	}
	isNew := t.RecordEnd(end.Attempt)
	if isNew {
		w.noteEnd(end.Reason, now)
	}
	if j.p.State.Final() {
		return
	}
	step := &j.def.Steps[end.Task.Step]
	switch {
	case end.Reason == msworker.EndDone && !step.LongRunning:
		e.done(j, step, t, end)
		return
	case end.Reason == msworker.EndFailed && isNew && !step.LongRunning:
		j.avoidWorker(end.Task, w.ID)
		if !e.failed(j, step, t, end) {
			return
		}
	case isNew && step.LongRunning && end.Reason == msworker.EndFailed:
		j.avoidWorker(end.Task, w.ID)
	}
	if isNew {
		e.touch(j)
	}
	if t.Phase == msjob.Assigned && t.Attempt == end.Attempt {
		t.Phase = msjob.Waiting
		if end.Checkpoint != "" {
			t.Checkpoint = end.Checkpoint
		}
		if step.Gang && r != nil {
			e.stopGang(r, string(end.Reason))
		}
	}
	e.kick()
}

// avoidWorker keeps a task away from a worker that it has failed on.
func (j *job) avoidWorker(id msjob.TaskID, worker string) {
	if j.avoid == nil {
		j.avoid = map[msjob.TaskID]map[string]bool{}
	}
	if j.avoid[id] == nil {
		j.avoid[id] = map[string]bool{}
	}
	j.avoid[id][worker] = true
}

// done notes that a task, or a whole gang, has ended well.
func (e *Engine) done(j *job, step *msjob.Step, t *msjob.Task, end msworker.End) {
	if t.Phase == msjob.Done {
		return
	}
	e.touch(j)
	round := j.p.Occurrences[end.Task.Occurrence]
	if step.Gang {
		for i := range round.Steps[end.Task.Step] {
			round.Steps[end.Task.Step][i].MarkDone()
		}
	} else {
		t.MarkDone()
		e.stopOthers(j, end.Task, end.Attempt)
	}
	if round.Done() {
		j.p.MarkFinished(end.Task.Occurrence)
		if e.roundsLeft(j) == 0 {
			e.end(j, msjob.Completed, "")
		}
	}
	e.kick()
}

func (e *Engine) roundsLeft(j *job) int {
	n := 0
	for k := range j.def.OccurrenceCount() {
		if !j.p.IsFinished(k) {
			n++
		}
	}
	return n
}

// failed counts a failure and says whether the task may be tried again.
func (e *Engine) failed(j *job, step *msjob.Step, t *msjob.Task, end msworker.End) bool {
	e.touch(j)
	if step.Gang {
		k := gangKey{occurrence: end.Task.Occurrence, step: end.Task.Step, attempt: end.Attempt}
		if j.broken[k] {
			return true
		}
		if j.broken == nil {
			j.broken = map[gangKey]bool{}
		}
		j.broken[k] = true
		for i := range j.p.Occurrences[end.Task.Occurrence].Steps[end.Task.Step] {
			j.p.Occurrences[end.Task.Occurrence].Steps[end.Task.Step][i].Failures++
		}
	} else {
		t.Failures++
	}
	if t.Failures >= max(j.def.Attempts, 1) {
		e.end(j, msjob.Failed, "task "+end.Task.String()+" has failed as often as it may")
		return false
	}
	return true
}

// end puts a job into a final state and stops what still runs of it.
func (e *Engine) end(j *job, state msjob.State, reason string) {
	j.p.State, j.p.Reason = state, reason
	j.p.Ended = e.Wall.Now().UnixMilli()
	j.p.Occurrences = nil
	e.touch(j)
	delete(e.active, j.def.ID)
	for _, r := range j.runs {
		e.stop(r)
	}
	e.Logger.Info("job ended", zap.String("job", j.def.ID), zap.String("state", state.String()), zap.String("reason", reason),
		zap.Duration("age", e.Wall.Now().Sub(j.def.Accepted)))
	e.Metrics.job(state)
	e.kick()
}

// stopOthers stops the other attempts of a task.
func (e *Engine) stopOthers(j *job, id msjob.TaskID, attempt int) {
	for k, r := range j.runs {
		if k.task == id && k.attempt != attempt {
			e.stop(r)
		}
	}
}

// stopGang stops the members of the attempt that r belonged to.
func (e *Engine) stopGang(r *run, reason string) {
	for k, m := range r.job.runs {
		if k.task.Occurrence == r.task.Occurrence && k.task.Step == r.task.Step && k.attempt == r.attempt {
			e.stop(m)
		}
	}
	e.Logger.Info("gang broken", zap.String("task", r.task.String()), zap.Int("attempt", r.attempt), zap.String("reason", reason))
}

// beginRounds begins the occurrences that are due.
func (e *Engine) beginRounds() {
	now := e.Wall.Now()
	for _, j := range e.active {
		if j.def.Occurrences == 0 {
			j.p.Occurrence(j.def, 0)
			continue
		}
		for k := range j.def.Occurrences {
			if now.Before(j.def.Due(k)) {
				break
			}
			if !j.p.IsFinished(k) {
				j.p.Occurrence(j.def, k)
			}
		}
	}
}
