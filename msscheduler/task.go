package msscheduler

import (
	"time"

	"go.uber.org/zap"

	"marjoramspan/msjob"
	"marjoramspan/msworker"
)

// runState is the known state of an attempt on its worker.
type runState int

const (
	// runPlanned attempts wait for their record to be stored.
	runPlanned runState = iota
	// runAdopted attempts come from the records of an earlier term; whether they run is
	// known once their worker has reported.
	runAdopted
	// runOrdered attempts are being started.
	runOrdered
	// runStarted attempts run, or have ended and their end isn't reported yet.
	runStarted
	// runStopping attempts are being stopped.
	runStopping
)

// run is an attempt that may run on a worker. It counts against the worker's capacity
// and the team's limit until it is dropped.
type run struct {
	runKey
	job   *job
	w     *worker
	need  msjob.Resources
	team  string
	limit msjob.Resources
	// pool is the pool whose shares count the attempt, or empty.
	pool   string
	state  runState
	ticket string
	// stopAt is when the stop was ordered. stopLogged is set once it was logged as slow.
	stopAt     time.Time
	stopLogged bool
	// answeredAt is when a start or a stop was answered; only a report requested after
	// it shows whether the worker has the attempt.
	answeredAt time.Time
	// endNoted says that the end of its worker has been counted.
	endNoted bool
	// suspect is set if a worker may have crashed because of the task, isolated if it has to
	// start apart from others: beside tasks of its group only.
	suspect, isolated bool
	group             string
	// trialTime is how long the attempt has to run before it is no longer a likely cause of
	// a crash.
	trialTime time.Duration
	// adopted says that an earlier leader assigned the attempt.
	adopted bool
	// sentAt is when the latest start was sent, unanswered how many starts the worker may
	// have had without a confirmation, and starts when they were sent.
	sentAt     time.Time
	unanswered int
	starts     msworker.SentStarts
	// confirmedAt is when the worker first confirmed that it runs the attempt, by its
	// answer to the start or in a report.
	confirmedAt time.Time
	// uncertain says that a start was sent without an answer and may be carried out
	// late.
	uncertain bool
	// orderedAt is when the start was first sent.
	orderedAt time.Time
	// life is the start time of the life that the latest start was sent to, or that has listed the
	// attempt since.
	life       int64
	checkpoint string
	// checkpointTooLarge is set once a checkpoint of the attempt was too large to be stored.
	checkpointTooLarge bool
	percent            int
	usage              int64
	// progressedAt is when percent last rose.
	progressedAt time.Time
	// servingAt is when a long-running task was last seen serving.
	servingAt time.Time
	// throttlePercent is the speed that the worker was told, or unknownPercent.
	throttlePercent int
	// throttlePending is set while a throttle request is in flight.
	throttlePending bool
	// reportedAt is when the latest report that listed the attempt arrived.
	reportedAt time.Time
	// image names what the attempt runs; resumed says that it began from a checkpoint.
	image   string
	resumed bool
	// latencySampledAt is when the latency of a long-running task was last sampled.
	latencySampledAt time.Time
}

// delay keeps a task from being placed until the given time.
func (j *job) delay(id msjob.TaskID, until time.Time) {
	if j.retryAt == nil {
		j.retryAt = map[msjob.TaskID]time.Time{}
	}
	j.retryAt[id] = until
}

const (
	// minFailureDelay is the delay before the next start of a long-running task that has failed
	// twice in a row without serving. It doubles with each further failure, up to
	// maxFailureDelay.
	minFailureDelay = 100 * time.Millisecond
	maxFailureDelay = 2 * time.Second
)

// delayFailed delays the next start of a long-running task that fails again and again. Each
// start takes a record on the log, and their number has no bound.
func (j *job) delayFailed(id msjob.TaskID, now time.Time) {
	if j.failuresInRow == nil {
		j.failuresInRow = map[msjob.TaskID]int{}
	}
	n := j.failuresInRow[id]
	j.failuresInRow[id] = n + 1
	if n > 0 {
		j.delay(id, now.Add(min(minFailureDelay<<min(n-1, 10), maxFailureDelay)))
	}
}

func (r *run) step() *msjob.Step {
	if r.job == nil || r.task.Step >= len(r.job.def.Steps) {
		return nil
	}
	return &r.job.def.Steps[r.task.Step]
}

// isDelayed reports whether a task must not be placed yet.
func (j *job) isDelayed(id msjob.TaskID, now time.Time) bool {
	at, ok := j.retryAt[id]
	if ok && !now.Before(at) {
		delete(j.retryAt, id)
		return false
	}
	return ok
}

// addRun adds an attempt and counts it against its worker and its team.
func (e *Engine) addRun(r *run) {
	e.runs[r.runKey] = r
	r.w.runs[r.runKey] = r
	r.w.attemptsChanged()
	if r.job == nil {
		r.w.unknownRuns++
	}
	if r.job != nil {
		if r.job.runs == nil {
			r.job.runs = map[runKey]*run{}
		}
		r.job.runs[r.runKey] = r
		r.job.countRun(r, 1)
		e.countAttempt(r.job, 1)
	}
	e.interference.count(r, 1)
	r.w.used = r.w.used.Plus(r.need)
	if r.team != "" {
		e.teams[r.team] = e.teams[r.team].Plus(r.limit)
	}
	e.countShare(r)
}

// dropRun removes an attempt that certainly doesn't run any more and never will.
func (e *Engine) dropRun(r *run) {
	if e.runs[r.runKey] != r {
		return
	}
	delete(e.runs, r.runKey)
	delete(r.w.runs, r.runKey)
	r.w.attemptsChanged()
	if r.job == nil {
		r.w.unknownRuns--
	}
	if r.job != nil {
		delete(r.job.runs, r.runKey)
		r.job.countRun(r, -1)
		e.countAttempt(r.job, -1)
		e.noteCanceled(r.job)
	}
	e.interference.count(r, -1)
	if !r.confirmedAt.IsZero() {
		r.w.history.Ended(r.image, r.confirmedAt, e.Clock.Now())
	}
	r.w.used = r.w.used.Minus(r.need)
	if r.team != "" {
		e.teams[r.team] = e.teams[r.team].Minus(r.limit)
	}
	e.uncountShare(r)
	e.wakeLoop()
}

// newRun returns an attempt of a known task on w, without adding it.
func (e *Engine) newRun(j *job, id msjob.TaskID, attempt int, w *worker) *run {
	s := &j.def.Steps[id.Step]
	t := j.p.Task(id)
	if t == nil {
		t = &msjob.Task{}
	}
	group := isolationGroup(j, s, t)
	return &run{
		runKey: runKey{task: id, attempt: attempt}, job: j, w: w,
		need: s.Reserved(), team: j.def.Team, limit: s.Need, throttlePercent: fullPercent,
		image: imageOf(j, s), resumed: t.Checkpoint != "", suspect: t.MaxCrashes() > 0, isolated: group != "", group: group, trialTime: t.TrialTime(),
	}
}

const (
	fullPercent = 100
	// unknownPercent is the speed of an attempt that may have been told one without an answer, or by
	// an earlier leader.
	unknownPercent = -1
)

// adoptRuns adds the attempts that a job's stored progress shows as assigned.
func (e *Engine) adoptRuns(j *job) {
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
				n.state, n.uncertain, n.adopted, n.unanswered = runAdopted, true, true, 1
				n.starts = e.earlierStarts()
				if j.def.Steps[s].Backfill {
					n.throttlePercent = unknownPercent
				}
				e.addRun(n)
			}
		}
	}
}

// earlierStarts returns when the earlier leader may have sent starts. The last one was sent before its
// term ended. Its tasks wait for a worker that is absent from when the leader was last seen, as their
// callers do.
func (e *Engine) earlierStarts() msworker.SentStarts {
	s := msworker.SentStarts{First: e.Term.EarlierSeenAt, Last: e.startedAt}
	if s.First.IsZero() {
		s.First = e.startedAt
	}
	return s
}

// markLost drops an attempt that doesn't run any more and whose end will never be
// reported. end is what ended its worker, if that is why. Its task waits again.
func (e *Engine) markLost(r *run, end workerEnd, reason string) {
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
		zap.String("worker", r.w.ID), zap.Int64("born", r.life), zap.String("reason", reason), zap.String("worker-end", end.String()),
		zap.Bool("uncertain", r.uncertain), zap.Bool("confirmed", !r.confirmedAt.IsZero()), zap.Duration("ran", r.confirmedRuntime()))
	e.Metrics.lost(end)
	t.Phase = msjob.Waiting
	r.job.tasksChanged()
	if r.checkpoint != "" {
		r.job.setCheckpoint(r.task, r.checkpoint)
	}
	if r.step().Gang {
		e.stopGang(r, reason)
	}
}

// setCheckpoint sets where a task goes on. That of one member is valid for its whole gang,
// whose members have to go on from the same point.
func (j *job) setCheckpoint(id msjob.TaskID, checkpoint string) {
	if !j.def.Steps[id.Step].Gang {
		j.p.Task(id).Checkpoint = checkpoint
		return
	}
	tasks := j.p.Occurrences[id.Occurrence].Steps[id.Step]
	for i := range tasks {
		tasks[i].Checkpoint = checkpoint
	}
}

// handleEnd handles the end of an attempt that its worker has reported.
func (e *Engine) handleEnd(w *worker, end msworker.End, now time.Time) {
	key := runKey{task: end.Task, attempt: end.Attempt}
	r := e.runs[key]
	if r != nil && r.w == w {
		e.noteInterference(r, end, now)
		if s := r.step(); end.Reason == msworker.EndDone && s != nil && !r.answeredAt.IsZero() {
			w.recordRuntime(now.Sub(r.answeredAt), s.Estimate)
			e.recordRuntime(r, now.Sub(r.answeredAt), now)
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
		recordEnd(w, j, end.Reason, now)
	}
	if j.p.State.Final() {
		return
	}
	step := &j.def.Steps[end.Task.Step]
	switch {
	case end.Reason == msworker.EndDone && !step.LongRunning:
		e.recordDone(j, step, t, end)
		return
	case end.Reason == msworker.EndFailed && isNew && !step.LongRunning:
		j.avoidWorker(end.Task, w.ID)
		if !e.recordFailure(j, step, t, end) {
			return
		}
	case isNew && step.LongRunning && end.Reason == msworker.EndFailed:
		j.avoidWorker(end.Task, w.ID)
		j.delayFailed(end.Task, now)
	}
	if isNew {
		e.markDirty(j)
	}
	if t.Phase == msjob.Assigned && t.Attempt == end.Attempt {
		t.Phase = msjob.Waiting
		j.tasksChanged()
		if e.canStore(r, end.Checkpoint) {
			j.setCheckpoint(end.Task, end.Checkpoint)
		}
		if step.Gang && r != nil {
			e.stopGang(r, string(end.Reason))
		}
	}
	e.wakeLoop()
}

// canStore reports whether there is a checkpoint that can be stored. A task whose checkpoints
// are too large goes on from an earlier one, or from its beginning. r may be nil.
func (e *Engine) canStore(r *run, checkpoint string) bool {
	if checkpoint == "" {
		return false
	}
	if msjob.CanStoreCheckpoint(checkpoint) {
		return true
	}
	if r != nil && !r.checkpointTooLarge {
		r.checkpointTooLarge = true
		e.Logger.Warn("checkpoint too large", zap.String("task", r.task.String()), zap.Int("attempt", r.attempt), zap.Int("bytes", len(checkpoint)))
	}
	return false
}

// avoidWorker excludes a worker on which a task has failed or stalled from the task's
// further attempts.
func (j *job) avoidWorker(id msjob.TaskID, worker string) {
	if j.avoid == nil {
		j.avoid = map[msjob.TaskID]map[string]bool{}
	}
	if j.avoid[id] == nil {
		j.avoid[id] = map[string]bool{}
	}
	j.avoid[id][worker] = true
}

// recordDone records that a task, or a whole gang, has succeeded.
func (e *Engine) recordDone(j *job, step *msjob.Step, t *msjob.Task, end msworker.End) {
	if t.Phase == msjob.Done {
		return
	}
	e.markDirty(j)
	occurrence := j.p.Occurrences[end.Task.Occurrence]
	if step.Gang {
		for i := range occurrence.Steps[end.Task.Step] {
			occurrence.MarkDone(end.Task.Step, i)
		}
	} else {
		occurrence.MarkDone(end.Task.Step, end.Task.Index)
		delete(j.duplicated, end.Task)
		delete(j.avoid, end.Task)
		e.stopOthers(j, end.Task, end.Attempt)
	}
	if occurrence.Done() {
		e.recordJobRuntime(j)
		j.p.MarkFinished(end.Task.Occurrence)
		e.forgetOccurrence(j, end.Task.Occurrence)
		if j.p.FinishedCount() == j.def.OccurrenceCount() {
			e.endJob(j, msjob.Completed, "")
		}
	}
	e.wakeLoop()
}

// recordFailure counts a failure and reports whether the task may be retried.
func (e *Engine) recordFailure(j *job, step *msjob.Step, t *msjob.Task, end msworker.End) bool {
	e.markDirty(j)
	if step.Gang {
		k := gangKey{occurrence: end.Task.Occurrence, step: end.Task.Step, attempt: end.Attempt}
		if j.failedGangs[k] {
			return true
		}
		if j.failedGangs == nil {
			j.failedGangs = map[gangKey]bool{}
		}
		j.failedGangs[k] = true
		for i := range j.p.Occurrences[end.Task.Occurrence].Steps[end.Task.Step] {
			j.p.Occurrences[end.Task.Occurrence].Steps[end.Task.Step][i].Failures++
		}
	} else {
		t.Failures++
	}
	if t.Failures >= max(j.def.Attempts, 1) {
		e.endJob(j, msjob.Failed, "task "+end.Task.String()+" has failed as often as it may")
		return false
	}
	return true
}

// endJob puts a job into a final state and stops its attempts.
func (e *Engine) endJob(j *job, state msjob.State, reason string) {
	j.p.State, j.p.Reason = state, reason
	j.p.Ended = e.Wall.Now().UnixMilli()
	j.p.Occurrences = nil
	if state == msjob.Completed {
		e.recordOutcome(j, e.Wall.Now().Sub(j.def.Due(j.def.OccurrenceCount()-1)) <= j.ratio().Objective(j.def, j.criticalPath))
	}
	e.markDirty(j)
	delete(e.active, j.def.ID)
	delete(e.recurring, j.def.ID)
	for _, r := range j.runs {
		e.stop(r)
	}
	e.Logger.Info("job ended", zap.String("job", j.def.ID), zap.String("state", state.String()), zap.String("reason", reason),
		zap.Duration("age", e.Wall.Now().Sub(j.def.Accepted)))
	e.Metrics.job(state)
	e.wakeLoop()
}

// stopOthers stops the other attempts of a task.
func (e *Engine) stopOthers(j *job, id msjob.TaskID, attempt int) {
	for n := 1; n <= j.p.Task(id).Attempt; n++ {
		if r := e.runs[runKey{id, n}]; r != nil && n != attempt {
			e.stop(r)
		}
	}
}

// stopGang stops the members of the gang attempt that r belongs to, once for all of its members.
func (e *Engine) stopGang(r *run, reason string) {
	sum := r.job.steps[stepIndex{r.task.Occurrence, r.task.Step}]
	if sum == nil || sum.broken == r.attempt {
		return
	}
	sum.broken = r.attempt
	for k, m := range r.job.runs {
		if k.task.Occurrence == r.task.Occurrence && k.task.Step == r.task.Step && k.attempt == r.attempt {
			e.stop(m)
		}
	}
	e.Logger.Info("gang broken", zap.String("task", r.task.String()), zap.Int("attempt", r.attempt), zap.String("reason", reason))
}
