package msscheduler

import (
	"context"
	"time"

	"go.uber.org/zap"

	"marjoramspan/msclock"
	"marjoramspan/msjob"
	"marjoramspan/msplace"
	"marjoramspan/msworker"
)

const (
	// holdWait is how long a worker with work waits for an end before it answers;
	// its lease is renewed at least that often.
	holdWait = time.Second
	// servingWait is the same for a worker with serving and filling tasks.
	servingWait = 300 * time.Millisecond
	// idleWait is the same for a worker without work.
	idleWait = 2 * time.Second
	// holdSlack is how much longer than its wait a report may take.
	holdSlack = 700 * time.Millisecond
	// holdRetry is the pause after a report that did not come.
	holdRetry = 120 * time.Millisecond
	// ackWait bounds the wait for ends to be stored before the next report.
	ackWait = 500 * time.Millisecond
	// gatherPause is the pause between a report and the next question, in which
	// ends gather.
	gatherPause = 15 * time.Millisecond
)

// worker is one life of a worker, or of one that an earlier term has used and that
// the registry doesn't have.
type worker struct {
	msworker.Worker
	// listed says that the registry has the worker.
	listed bool
	// reported says that the worker has answered in this term, so that what runs
	// there is known; reachable that its newest answer came in time.
	reported, reachable bool
	// vm is the name of the worker's VM, once the list of VMs has shown it.
	vm string
	// gone workers never answer again under this id.
	gone bool
	// drainSeen is when the registry first said that the worker drains.
	drainSeen time.Time
	// lost is when the worker was last reachable.
	lost time.Time

	// life is when the worker that reported last was born.
	life  int64
	lease msworker.Lease
	runs  map[runKey]*run
	used  msjob.Resources
	// processed is the newest end that was noted, acked the newest that is stored.
	processed, acked int64
	// stored is closed when acked has risen.
	stored chan struct{}
	// closedUntil keeps new tasks away for a time.
	closedUntil time.Time
	cancel      context.CancelFunc
	score       score
	// ratio is the mean run time of its attempts, as a multiple of the estimates.
	ratio float64
	pacer msplace.ThrottleController
	// reserved says that the worker's VM is about to be maintained or moved.
	reserved bool
	// taken is when the VM's maintenance was ordered; its tasks count as away from
	// then on, until the list shows that the VM is still up.
	taken time.Time
	// leaving says that the worker's VM was ordered to another pool.
	leaving bool
	// yielding keeps new tasks away, as the pool needs fewer VMs.
	yielding bool
}

// servesBesideFill says whether tasks that fill run beside tasks with a target.
func (w *worker) servesBesideFill() bool {
	serves, fills := false, false
	for _, r := range w.runs {
		if s := r.step(); s != nil {
			serves = serves || s.TailLatencyTarget > 0
			fills = fills || s.Backfill
		}
	}
	return serves && fills
}

func (w *worker) release() {
	close(w.stored)
	w.stored = make(chan struct{})
}

// free is the capacity that no task has.
func (w *worker) free() msjob.Resources {
	return w.Capacity.Minus(w.used)
}

// usable says whether new tasks may be placed on the worker.
func (w *worker) usable(now time.Time) bool {
	return w.listed && w.reported && w.reachable && !w.gone && !w.Draining && !w.reserved && !w.leaving && !w.yielding && !now.Before(w.closedUntil)
}

// workerFor returns a worker by id; one that isn't known yet is made.
func (e *Engine) workerFor(id string) *worker {
	w := e.workers[id]
	if w == nil {
		w = &worker{Worker: msworker.Worker{ID: id}, runs: map[runKey]*run{}, stored: make(chan struct{}), lost: e.Clock.Now()}
		e.workers[id] = w
	}
	return w
}

// syncWorkers takes over the registry. The caller holds mu.
func (e *Engine) syncWorkers(now time.Time) {
	all := e.Registry.All()
	for id, entry := range all {
		w := e.workerFor(id)
		if w.cancel == nil || (w.Address != entry.Address && !w.gone) {
			if w.cancel != nil {
				w.cancel()
			}
			e.follow(w, entry)
		}
		if entry.Draining && !w.Draining {
			w.drainSeen = now
			e.Logger.Info("worker drains", zap.String("worker", id), zap.Duration("leaves", entry.RemainingTime), zap.Int("runs", len(w.runs)))
		}
		w.Worker, w.listed = entry, true
	}
	for id, w := range e.workers {
		if _, ok := all[id]; ok {
			continue
		}
		w.listed = false
		if w.gone {
			delete(e.workers, id)
			continue
		}
		if len(w.runs) == 0 && !w.reachable {
			if w.cancel != nil {
				w.cancel()
			}
			delete(e.workers, id)
		}
	}
}

// follow asks a worker for reports until it is gone.
func (e *Engine) follow(w *worker, entry msworker.Worker) {
	w.Worker = entry
	ctx, cancel := context.WithCancel(e.ctx)
	w.cancel = cancel
	e.group.Add(1)
	go func() {
		defer e.group.Done()
		e.followWorker(ctx, w)
	}()
}

func (e *Engine) followWorker(ctx context.Context, w *worker) {
	for ctx.Err() == nil {
		e.mu.Lock()
		if w.gone {
			e.mu.Unlock()
			return
		}
		stored, unsaved := w.stored, w.processed > w.acked
		e.mu.Unlock()
		if unsaved {
			// A worker answers at once while it has ends that aren't acknowledged.
			select {
			case <-ctx.Done():
				return
			case <-stored:
			case <-e.Clock.After(ackWait):
			}
		}
		if !e.ask(ctx, w) {
			_ = msclock.Sleep(ctx, e.Clock, holdRetry)
		} else {
			_ = msclock.Sleep(ctx, e.Clock, gatherPause)
		}
	}
}

// ask renews the lease, takes in the report, and says whether it came.
func (e *Engine) ask(ctx context.Context, w *worker) bool {
	e.mu.Lock()
	now := e.Clock.Now()
	h := msworker.LeaseRenewal{Token: e.Term.Epoch, Acked: w.acked}
	// A worker that doesn't answer may still hear: its lease must end some time.
	if w.lease.Known() && w.reachable && e.mayRenew() {
		h.Until = w.lease.Grant(now, e.lease())
	}
	if w.reported && w.reachable {
		h.Wait = holdWait
		if w.servesBesideFill() {
			h.Wait = servingWait
		}
		if len(w.runs) == 0 {
			h.Wait = idleWait
		}
	}
	entry := w.Worker
	e.mu.Unlock()
	hctx, cancel := context.WithTimeout(ctx, h.Wait+holdSlack)
	rep, err := e.Orders.RenewLease(hctx, entry, h)
	cancel()
	if ctx.Err() != nil {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if err != nil {
		e.unreported(w, err)
		return false
	}
	e.report(w, now, rep)
	return true
}

// unreported notes that a worker did not report.
func (e *Engine) unreported(w *worker, err error) {
	switch msworker.ReasonOf(err) {
	case msworker.Fenced:
		e.depose(err)
	case msworker.OtherInstance:
		// Another worker has the address. What this one ran may run on elsewhere, if
		// it was cut off and its address given away; its lease decides.
		e.Logger.Info("another worker answers", zap.String("worker", w.ID))
	}
	if w.reachable {
		w.reachable = false
		w.lost = e.Clock.Now()
		e.Logger.Info("worker lost", zap.String("worker", w.ID), zap.Int("runs", len(w.runs)), zap.Error(err))
	}
}

// report compares what a worker lists with what is known. sent is when the report
// was asked for.
func (e *Engine) report(w *worker, sent time.Time, rep msworker.Report) {
	now := e.Clock.Now()
	if w.reported && rep.ProcessStart != w.life {
		e.reborn(w, rep.ProcessStart)
	}
	w.life = rep.ProcessStart
	w.lease.Observe(rep.Clock, now)
	if !w.reported {
		// An earlier leader may have granted a lease just before it was shut out.
		w.lease.AssumeGranted(e.lease())
	}
	if !w.reachable {
		w.reachable = true
		e.Logger.Info("worker found", zap.String("worker", w.ID), zap.Int("runs", len(rep.Running)), zap.Int("ends", len(rep.Ended)))
		e.kick()
	}
	w.reported = true
	for _, end := range rep.Ended {
		if end.Seq > w.processed {
			w.processed = end.Seq
			e.ended(w, end, now)
			e.kick()
		}
	}
	e.compare(w, sent, now, rep)
	e.paceWorker(w, now)
}

// compare settles every attempt on w by what a report lists as running.
func (e *Engine) compare(w *worker, sent, now time.Time, rep msworker.Report) {
	listed := make(map[runKey]bool, len(rep.Running))
	for _, row := range rep.Running {
		k := runKey{task: row.Task, attempt: row.Attempt}
		listed[k] = true
		r := e.runs[k]
		if r == nil || r.w != w {
			e.stray(w, row)
			continue
		}
		e.observe(r, row, now)
		r.seen = now
	}
	if len(rep.Ended) >= msworker.MaxEnds {
		// Ends that are not in this report may follow.
		return
	}
	for k, r := range w.runs {
		if listed[k] {
			continue
		}
		switch {
		case r.state == runAdopted:
			// It was never started, or the start is on its way. The same attempt is
			// ordered once more.
			r.state = runOrdered
			e.order(r)
		case r.state == runStarted && r.answered.Before(sent):
			if r.uncertain {
				e.stop(r)
			} else {
				e.lose(r, "not on its worker")
			}
		case r.state == runStopping && !r.answered.IsZero() && r.answered.Before(sent):
			e.lose(r, "stopped")
		}
	}
}

// observe takes over what a report says of a known attempt.
func (e *Engine) observe(r *run, row msworker.Run, now time.Time) {
	if r.state == runAdopted || r.state == runOrdered {
		r.state = runStarted
		if r.answered.IsZero() {
			r.answered = now
		}
	}
	if row.Percent > r.percent || r.moved.IsZero() {
		r.moved = now
	}
	if row.Percent >= fullPace {
		r.atWork = now
	}
	r.percent, r.usage = row.Percent, row.Usage
	if row.Checkpoint != "" {
		r.checkpoint = row.Checkpoint
	}
}

// stray stops an attempt that should not run: of a job that has ended, or one that
// another attempt has replaced.
func (e *Engine) stray(w *worker, row msworker.Run) {
	r := &run{runKey: runKey{task: row.Task, attempt: row.Attempt}, w: w, state: runStarted, pace: fullPace}
	if j := e.jobs[row.Task.Job]; j != nil && row.Task.Step >= 0 && row.Task.Step < len(j.def.Steps) {
		r = e.newRun(j, row.Task, row.Attempt, w)
		r.state = runStarted
	}
	if old := e.runs[r.runKey]; old != nil {
		e.dropRun(old)
	}
	e.Logger.Info("stray attempt", zap.String("task", row.Task.String()), zap.Int("attempt", row.Attempt), zap.String("worker", w.ID))
	e.addRun(r)
	e.stop(r)
}

// reborn notes that a worker has started again under its id: it runs nothing of
// before and counts its ends anew.
func (e *Engine) reborn(w *worker, born int64) {
	e.Logger.Info("worker restarted", zap.String("worker", w.ID), zap.Int64("born", born), zap.Int("runs", len(w.runs)))
	w.processed, w.acked = 0, 0
	w.lease = msworker.Lease{}
	w.score = score{}
	for _, r := range w.runs {
		switch {
		case r.state == runStarted && !r.uncertain:
			e.lose(r, "its worker restarted")
		case r.state == runStopping:
		case r.state == runStarted:
			e.stop(r)
		}
	}
}

// expire gives up the attempts on workers that are out of reach once their lease
// has surely ended.
func (e *Engine) expire(now time.Time) {
	for _, w := range e.workers {
		if w.reachable || len(w.runs) == 0 {
			continue
		}
		if w.lease.Known() && !w.lease.Expired(now) {
			continue
		}
		if !w.lease.Known() && now.Sub(e.begun) < e.unknownLease() {
			continue
		}
		for _, r := range w.runs {
			e.lose(r, "its lease ended out of reach")
		}
	}
}

// unknownLease is how long after the begin of a term a worker that was never
// reached in it may run what earlier leaders gave it.
func (e *Engine) unknownLease() time.Duration {
	l := e.lease() + e.lease()/20
	if e.Term.Released {
		return l
	}
	return holdover + l
}
