package msscheduler

import (
	"strconv"
	"time"

	"go.uber.org/zap"

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

// endOf returns what ended a worker that is unreachable or no longer listed. The caller
// holds mu.
func (e *Engine) endOf(w *worker, now time.Time) workerEnd {
	name := w.vm
	if name == "" {
		name = w.VM
	}
	vm := e.fleet.find(name)
	ordered := w.moving || w.reserved || !w.maintenanceSince.IsZero()
	switch {
	case w.Draining:
		return endedAsPlanned
	case vm == nil || !e.fleet.readAt.After(w.unreachableSince):
		return endedUnknown
	case vm.Maintained || vm.Moving || vm.Pool != w.Pool:
		return endedAsPlanned
	case !vm.Up:
		return endedByCrash
	case vm.Worker == w.ID:
		return cutOff
	case ordered:
		return endedAsPlanned
	case !e.vmOrders.mayOrder(name, now):
		// An earlier leader may have ordered the maintenance of the VM.
		return endedUnknown
	}
	return endedByCrash
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
// that crashes its workers is given up. The caller holds mu and then drops the attempts.
func (e *Engine) noteEnd(w *worker, end workerEnd, reason string, runs []*run) {
	if len(runs) == 0 {
		return
	}
	var recent []string
	jobs := map[*job]bool{}
	for _, r := range runs {
		if r.mayHaveStarted() && r.confirmedRuntime() < minExoneratingRuntime {
			recent = append(recent, r.task.String())
			jobs[r.job] = true
		}
	}
	e.Metrics.workerEnded(end)
	e.Logger.Info("worker ended", zap.String("worker", w.ID), zap.String("vm", w.VM), zap.String("end", end.String()),
		zap.String("reason", reason), zap.Int("runs", len(runs)), zap.Strings("recent", recent))
	if end == endedAsPlanned || end == cutOff {
		return
	}
	for _, r := range runs {
		alone := end != endedUnknown && len(jobs) == 1 && jobs[r.job] && r.confirmedRuntime() < minExoneratingRuntime
		e.recordCrash(r, end, alone)
	}
}

// recordCrash counts the end of a worker against an attempt that may have run there.
func (e *Engine) recordCrash(r *run, end workerEnd, alone bool) {
	if !r.mayHaveStarted() || r.state == runStopping || r.job == nil || r.job.p.State.Final() {
		return
	}
	t := r.job.p.Task(r.task)
	if t == nil || t.Phase != msjob.Assigned {
		return
	}
	switch {
	case end != endedUnknown && !r.confirmedAt.IsZero():
		t.RecordCrash(true)
	case end == restarted:
		// The worker may have crashed with each of the starts.
		for range r.unanswered {
			t.RecordCrash(false)
		}
	default:
		t.RecordCrash(false)
	}
	e.markDirty(r.job)
	if !t.CrashesWorkers(alone) {
		return
	}
	n := strconv.Itoa(t.MaxCrashes())
	e.Logger.Warn("task given up", zap.String("task", r.task.String()), zap.Int("attempt", r.attempt), zap.String("worker", r.w.ID),
		zap.Int("crashes", t.Crashes), zap.Int("unconfirmed", t.UnconfirmedCrashes), zap.Bool("alone", alone))
	e.Metrics.gaveUp()
	e.endJob(r.job, msjob.Failed, "task "+r.task.String()+" was started on "+n+" workers that crashed")
}

// mayHaveStarted reports whether the worker has started the attempt or may have.
func (r *run) mayHaveStarted() bool {
	return r.unanswered > 0 || !r.confirmedAt.IsZero()
}

// exonerate forgets the crashes of a long-running task that has run for long enough.
func (e *Engine) exonerate(r *run) {
	if r.crashes == 0 || r.confirmedRuntime() < exoneratingRuntime || r.job.p.State.Final() {
		return
	}
	r.crashes = 0
	if s, t := r.step(), r.job.p.Task(r.task); s.LongRunning && t != nil {
		t.Exonerate()
		e.markDirty(r.job)
	}
}

// allRuns returns the attempts on the worker.
func (w *worker) allRuns() []*run {
	runs := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		runs = append(runs, r)
	}
	return runs
}

// exoneratingRuntime is how long an attempt must have run before earlier crashes no longer
// count against its task: over the life of a long-running task several workers may crash.
const exoneratingRuntime = 10 * time.Second

// minExoneratingRuntime is how long an attempt must have run before the crash of its
// worker, so that a more recent attempt is the more likely cause.
const minExoneratingRuntime = 2 * time.Second

// confirmedRuntime returns how long the worker is known to have run the attempt.
func (r *run) confirmedRuntime() time.Duration {
	if r.confirmedAt.IsZero() || r.reportedAt.Before(r.confirmedAt) {
		return 0
	}
	return r.reportedAt.Sub(r.confirmedAt)
}
