package msscheduler

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"marjoramspan/mscrash"
	"marjoramspan/msjob"
	"marjoramspan/msworker"
)

// workerEnd is what ended a worker, as far as this is known.
type workerEnd int

const (
	// notEnded is for attempts that were lost while their worker went on.
	notEnded workerEnd = iota
	// endedUnknown workers are gone, and nothing shows why.
	endedUnknown
	// endedAsPlanned workers left after they had drained, or because their VM was ordered
	// away.
	endedAsPlanned
	// cutOff workers are up, but were unreachable until their lease ended.
	cutOff
	// endedByCrash workers ended without an order or a notice, and so did restarted ones,
	// which are back under their ID.
	endedByCrash
	restarted
)

// String returns the name of the end, as in logs and metrics.
func (w workerEnd) String() string {
	return [...]string{"none", "unknown", "planned", "cut-off", "crash", "restart"}[w]
}

// endOf returns what ended a worker that is unreachable or no longer listed, by the VM list.
// The caller holds mu.
func (e *Engine) endOf(w *worker, now time.Time) workerEnd {
	if w.Draining {
		return endedAsPlanned
	}
	if w.crashed {
		return endedByCrash
	}
	vm := e.fleet.find(w.vmName())
	ordered := w.moving || !w.maintenanceSince.IsZero()
	switch {
	case vm == nil || !e.fleet.readAt.After(w.firstReportAt):
		return endedUnknown
	case vm.Maintained || vm.Moving || vm.Pool != w.Pool:
		return endedAsPlanned
	case !vm.Up:
		return endedByCrash
	case vm.Worker == w.ID && e.fleet.readAt.After(w.unreachableSince):
		return cutOff
	case vm.Worker == w.ID:
		return endedUnknown
	case ordered:
		return endedAsPlanned
	case !e.vmOrders.mayOrder(vm.Name, now):
		// An earlier leader may have ordered the maintenance of the VM.
		return endedUnknown
	}
	return endedByCrash
}

// vmName returns the name of the worker's VM, or "" if neither the VM list nor its entry has
// shown it.
func (w *worker) vmName() string {
	if w.vm != "" {
		return w.vm
	}
	return w.VM
}

// find returns the VM with the given name, or nil.
func (f *fleet) find(name string) *msworker.VM {
	for i := range f.vms {
		if f.vms[i].Name == name {
			return &f.vms[i]
		}
	}
	return nil
}

// noteEnd logs the end of a worker and counts it against the tasks that ran there. A task
// that crashes its workers is given up or, if it is long-running, delayed. The caller holds mu
// and then drops the attempts.
func (e *Engine) noteEnd(w *worker, end workerEnd, reason string, runs []*run) {
	e.noteEndBefore(w, end, reason, runs, time.Time{})
}

// noteEndBefore is noteEnd for a worker whose next life began at nextBornAt, by its own clock.
func (e *Engine) noteEndBefore(w *worker, end workerEnd, reason string, runs []*run, nextBornAt time.Time) {
	c := causesOf(runs)
	planned := end == endedAsPlanned || end == cutOff
	var life mscrash.End
	if !planned {
		life = e.recordEnd(w, c, nextBornAt)
	}
	if len(runs) == 0 {
		return
	}
	rackFails := !planned && e.rackFails(w)
	shared := rackFails || !planned && mscrash.SharedFailure(life, e.otherEnds)
	e.Metrics.workerEnded(end)
	e.Logger.Info("worker ended", zap.String("worker", w.ID), zap.String("vm", w.VM), zap.String("end", end.String()),
		zap.String("reason", reason), zap.Int("runs", len(runs)), zap.Strings("recent", c.recentTasks), zap.Bool("rack-fails", rackFails), zap.Bool("shared-failure", shared))
	if planned {
		return
	}
	alone := len(c.jobs) == 1 && end != endedUnknown && !shared
	for _, r := range runs {
		e.recordCrash(r, evidenceAgainst(r, end, c.likely(r), shared), alone && c.likely(r))
	}
}

// causes are the attempts on a worker that may have ended it: those that had just started or, if
// there are none, young ones.
type causes struct {
	recentTasks []string
	jobs        []string
	// startedAt is when the first of them that has been confirmed was.
	startedAt time.Time
	// inherited says that there are attempts of an earlier leader that may have just started as
	// well.
	inherited bool
}

// causesOf returns the likely causes of the end of a worker among its attempts.
func causesOf(runs []*run) causes {
	var c causes
	for _, r := range runs {
		if r.mayHaveStarted() && r.recent() {
			c.recentTasks = append(c.recentTasks, r.task.String())
		}
		c.inherited = c.inherited || r.adopted && r.confirmedRuntime() < maxYoungRuntime
	}
	for _, r := range runs {
		if !r.mayHaveStarted() || !c.likely(r) {
			continue
		}
		if !slices.Contains(c.jobs, r.task.Job) {
			c.jobs = append(c.jobs, r.task.Job)
		}
		if !r.confirmedAt.IsZero() && (c.startedAt.IsZero() || r.confirmedAt.Before(c.startedAt)) {
			c.startedAt = r.confirmedAt
		}
	}
	return c
}

// recent reports whether the causes had just started.
func (c *causes) recent() bool {
	return len(c.recentTasks) > 0
}

// likely reports whether no other attempt is a more likely cause than the given one.
func (c *causes) likely(r *run) bool {
	if c.recent() {
		return r.recent()
	}
	return r.young()
}

// endedLife is the recorded end of a life of a worker.
type endedLife struct {
	mscrash.End
	processStart int64
	at           time.Time
}

// maxEndAge is how long the end of a worker is kept. The attempts of another that ended together
// with it may be given up as late as its lease ends.
const maxEndAge = 30 * time.Second

// recordEnd records the end of a worker's present life, of which only some attempts may be known
// to have ended with it so far.
func (e *Engine) recordEnd(w *worker, c causes, nextBornAt time.Time) mscrash.End {
	now := e.Clock.Now()
	if e.ended == nil {
		e.ended = map[string]endedLife{}
	}
	life := endedLife{End: e.endSeen(w, c), processStart: w.processStart, at: now}
	life.NextBornAt = nextBornAt
	if before, ok := e.ended[w.ID]; ok && before.processStart == w.processStart {
		life.LostAt, life.ListedAt, life.at = before.LostAt, before.ListedAt, before.at
		life.Jobs, life.Recent, life.Older = append(life.Jobs, before.Jobs...), life.Recent || before.Recent, life.Older || before.Older
	}
	e.ended[w.ID] = life
	return life.End
}

// forgetEnds drops the recorded ends that are too old to matter.
func (e *Engine) forgetEnds(now time.Time) {
	maps.DeleteFunc(e.ended, func(_ string, l endedLife) bool { return now.Sub(l.at) > maxEndAge })
}

// endSeen returns the end of a worker's present life, as far as it has been seen.
func (e *Engine) endSeen(w *worker, c causes) mscrash.End {
	end := mscrash.End{Worker: w.ID, ListedAt: e.fleet.workerEndedAt[w.ID], Jobs: c.jobs, Recent: c.recent() || c.inherited}
	endedBy := e.Clock.Now()
	if !w.reachable {
		end.LostAt, endedBy = w.unreachableSince, w.unreachableSince
	}
	end.Older = !c.startedAt.IsZero() && endedBy.Sub(c.startedAt) >= msjob.MinTrialTime
	return end
}

// otherEnds yields the ends of workers that were recorded lately, and then those of workers that
// don't answer or whose VM is down, which may have ended.
func (e *Engine) otherEnds(yield func(mscrash.End) bool) {
	for _, l := range e.ended {
		if !yield(l.End) {
			return
		}
	}
	for id, w := range e.workers {
		l, ended := e.ended[id]
		if ended && (w.reachable || l.processStart == w.processStart) || !e.mayHaveCrashed(w) {
			continue
		}
		if !yield(e.endSeen(w, causesOf(w.allRuns()))) {
			return
		}
	}
}

// mayHaveCrashed reports whether a worker whose end isn't recorded may have ended, without an
// order or a notice. One that the list of VMs shows since is cut off.
func (e *Engine) mayHaveCrashed(w *worker) bool {
	if w.terminated || w.Draining || w.moving || !w.maintenanceSince.IsZero() || !w.registered && !w.reported {
		return false
	}
	if _, ok := e.fleet.workerEndedAt[w.ID]; ok {
		return true
	}
	return !w.reachable && (!w.listed.Up || !w.listedAt.After(w.unreachableSince))
}

// evidenceAgainst returns how likely an attempt is the cause of the end of its worker. likely
// says that no other attempt there is a more likely one. A failure that several workers share
// explains the end by itself.
func evidenceAgainst(r *run, end workerEnd, likely, shared bool) msjob.CrashEvidence {
	switch {
	case !likely, shared && !r.isolated:
		return msjob.CrashUnlikely
	case shared, end == endedUnknown, r.confirmedAt.IsZero():
		return msjob.CrashUnconfirmed
	}
	return msjob.CrashConfirmed
}

// rackFails reports whether other workers of the rack have ended at the same time, which a
// task on one of them does not explain.
func (e *Engine) rackFails(w *worker) bool {
	now := e.Clock.Now()
	gone := map[string]bool{}
	n := 0
	for i := range e.fleet.vms {
		vm := &e.fleet.vms[i]
		if vm.Rack != w.Rack || vm.Name == w.vmName() {
			continue
		}
		n++
		if at, ok := e.fleet.endedAt[vm.Name]; ok && now.Sub(at) < rackFailureSpan {
			gone[vm.Name] = true
		}
	}
	for _, o := range e.workers {
		if o != w && o.Rack == w.Rack && (o.registered || o.reported) && !o.reachable && o.unreachableSince.Sub(w.unreachableSince).Abs() < rackFailureSpan {
			gone[o.vmName()] = true
		}
	}
	return len(gone) >= 2 && 2*len(gone) >= n
}

// rackFailureSpan is the time within which the VMs of a rack that fails are seen to be down.
const rackFailureSpan = mscrash.Span

// recordCrash counts the end of a worker against an attempt that may have run there. alone
// says that no other job had a likely cause there.
func (e *Engine) recordCrash(r *run, evidence msjob.CrashEvidence, alone bool) {
	if !r.mayHaveStarted() || r.state == runStopping || r.job == nil || r.job.p.State.Final() {
		return
	}
	t := r.job.p.Task(r.task)
	if t == nil || t.Phase != msjob.Assigned || r.confirmedRuntime() >= r.exoneratingRuntime() {
		return
	}
	t.RecordCrash(evidence, r.confirmedRuntime())
	e.markDirty(r.job)
	if !t.CrashesWorkers(alone) {
		return
	}
	if r.step().LongRunning {
		e.delayRestart(r, t.MaxCrashes())
		return
	}
	crashes := strconv.Itoa(t.MaxCrashes())
	e.Logger.Warn("task given up", zap.String("task", r.task.String()), zap.Int("attempt", r.attempt), zap.String("worker", r.w.ID),
		zap.Int("crashes", t.Crashes), zap.Int("unconfirmed", t.UnconfirmedCrashes), zap.Bool("alone", alone))
	e.Metrics.gaveUp()
	e.endJob(r.job, msjob.Failed, "task "+r.task.String()+" was started on "+crashes+" workers that crashed")
}

// delayRestart delays the next start of a long-running task that may crash its workers. The
// task is never given up, as over its life it may lose any number of workers by chance.
func (e *Engine) delayRestart(r *run, crashes int) {
	d := crashDelay(crashes)
	r.job.delay(r.task, e.Clock.Now().Add(d))
	e.Logger.Warn("restart delayed", zap.String("task", r.task.String()), zap.Int("attempt", r.attempt), zap.String("worker", r.w.ID),
		zap.Int("crashes", crashes), zap.Duration("delay", d))
	e.Metrics.delayedRestart()
}

const (
	// minCrashDelay is the delay before the next start of a long-running task that may have
	// crashed minDelayedCrashes workers. It doubles with each further one, up to
	// maxCrashDelay.
	minCrashDelay     = 300 * time.Millisecond
	maxCrashDelay     = 4 * time.Second
	minDelayedCrashes = 2
)

// crashDelay returns the delay before a long-running task starts again.
func crashDelay(crashes int) time.Duration {
	d := minCrashDelay
	for n := minDelayedCrashes; n < crashes; n++ {
		if d *= 2; d >= maxCrashDelay {
			return maxCrashDelay
		}
	}
	return d
}

// mayHaveStarted reports whether the worker has started the attempt or may have.
func (r *run) mayHaveStarted() bool {
	return r.unanswered > 0 || !r.confirmedAt.IsZero()
}

// exonerate forgets the crashes of a task that has run for long, or alone for long enough.
func (e *Engine) exonerate(r *run) {
	if !r.suspect || r.job.p.State.Final() {
		return
	}
	t := r.job.p.Task(r.task)
	proven := r.isolated && !r.recent() || r.confirmedRuntime() >= r.exoneratingRuntime()
	if t == nil || !proven {
		return
	}
	r.suspect, r.isolated, r.trialTime = false, false, 0
	r.w.attemptsChanged()
	t.Exonerate()
	e.markDirty(r.job)
}

// suspectsGroup is the group of the tasks that are isolated with other suspects.
const suspectsGroup = "suspects"

// isolationGroup returns the group of tasks beside which a task may start, or "" if it may
// start beside any. The members of a gang have to start at the same time.
func isolationGroup(j *job, s *msjob.Step, t *msjob.Task) string {
	switch isolation := t.Isolation(); {
	case s.Gang || isolation == msjob.NotIsolated:
		return ""
	case isolation == msjob.IsolatedWithSuspects:
		return suspectsGroup
	}
	return j.def.ID
}

// allRuns returns the attempts on the worker.
func (w *worker) allRuns() []*run {
	runs := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		runs = append(runs, r)
	}
	return runs
}

// exoneratingRuntime is how long an attempt must have run to show that its task does not
// crash its workers. Over the life of a long-running task several workers may crash.
func (r *run) exoneratingRuntime() time.Duration {
	if r.step().LongRunning {
		return maxYoungRuntime
	}
	return msjob.MaxTrialTime
}

// recent reports whether the attempt has started shortly before, as far as is known.
func (r *run) recent() bool {
	if r.adopted && !r.isolated && !r.confirmedAt.IsZero() {
		// It has run since before the change of leader.
		return false
	}
	return r.confirmedRuntime() < max(r.trialTime, msjob.MinTrialTime)
}

// young reports whether the attempt may be the cause of a crash when no other has started
// more recently. One that has run for longer has more likely lost its worker to a failure of
// the VM.
func (r *run) young() bool {
	return r.recent() || !r.adopted && r.confirmedRuntime() < maxYoungRuntime
}

const maxYoungRuntime = 2 * time.Second

// confirmedRuntime returns how long the worker is known to have run the attempt.
func (r *run) confirmedRuntime() time.Duration {
	if r.confirmedAt.IsZero() || r.reportedAt.Before(r.confirmedAt) {
		return 0
	}
	return r.reportedAt.Sub(r.confirmedAt)
}
