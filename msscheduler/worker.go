package msscheduler

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"marjoramspan/msclock"
	"marjoramspan/msinterfere"
	"marjoramspan/msjob"
	"marjoramspan/msorder"
	"marjoramspan/mspause"
	"marjoramspan/msplace"
	"marjoramspan/msroster"
	"marjoramspan/msworker"
	"marjoramspan/mszone"
)

const (
	// reportWait is how long a worker with running tasks waits for one to end before it
	// answers a report request. Its lease is renewed at least that often.
	reportWait = time.Second
	// servingReportWait is the same for a worker with serving and backfill tasks, or with a
	// suspect task that has just started.
	servingReportWait = 300 * time.Millisecond
	// idleReportWait is the same for a worker without tasks.
	idleReportWait = 2 * time.Second
	// unfencedReportWait is the same for a worker that may still carry out calls for an earlier
	// life. Nothing starts there before it answers a higher token, which comes with the next
	// renewal of the term.
	unfencedReportWait = 100 * time.Millisecond
	// reportTimeoutMargin is added to the wait to bound a report request.
	reportTimeoutMargin = 700 * time.Millisecond
	// reportRetryDelay is the delay after a failed report request.
	reportRetryDelay = 120 * time.Millisecond
	// ackTimeout bounds the wait for ends to be stored before the next request.
	ackTimeout = 500 * time.Millisecond
	// reportPause is the delay between a report and the next request, so that one report
	// covers several ends.
	reportPause = 15 * time.Millisecond
	// reportRowPause is the delay for each attempt, if that is longer: a report lists all attempts
	// of its worker, and takes processor time for each.
	reportRowPause = 50 * time.Microsecond
)

// worker is one instance of a worker. An instance that only the records of an earlier
// term name has no entry in the registry.
type worker struct {
	// Worker is what the sources say of the worker: see msroster.
	msworker.Worker
	// entry is the worker's latest entry, entrySeenAt when the first one with its start time was
	// seen. registered says that the registry still has it, lapsedAt since when it doesn't.
	entry       msworker.Worker
	entrySeenAt time.Time
	// refused says that its latest entry can't be used.
	registered, refused bool
	lapsedAt            time.Time
	// listed is the worker's row in the latest VM list, which was requested at listedAt, or
	// zero if that list doesn't name the worker.
	listed   msworker.VM
	listedAt time.Time
	// reported says that the worker has answered in this term, so that its running
	// attempts are known; reachable that its latest answer came in time.
	reported, reachable bool
	// vm is the name of the worker's VM, once a VM list has shown it.
	vm string
	// terminated says that this life of the worker has ended, since terminatedAt. The next one
	// under the same ID is another worker.
	terminated   bool
	terminatedAt time.Time
	// drainingSince is when the registry first showed the worker as draining.
	drainingSince time.Time
	// unreachableSince is when the worker became unreachable or, before its first
	// report, was first seen.
	unreachableSince time.Time

	// processStart is the start time of the worker process that reported last.
	processStart int64
	// processSeenAt is when that process was first seen.
	processSeenAt time.Time
	lease         msworker.Lease
	// token is the fencing token of the latest call to the worker. That of the latest call with
	// numbers of the present life may be lower; lease knows it.
	token int64
	runs  map[runKey]*run
	used  msjob.Resources
	// orders has the orders that wait to be sent.
	orders msorder.Queue
	// planned counts the attempts that the latest pass has given the worker.
	planned int
	// unknownRuns counts the attempts of jobs that are no longer known, and so what they
	// reserve isn't either.
	unknownRuns int
	// processed is the sequence number of the latest end handled, acked that of the
	// latest end stored.
	processed, acked int64
	// stored is closed and replaced when acked has risen.
	stored chan struct{}
	// isolatedUntil is until when the worker is kept free for a task that has to start
	// alone.
	isolatedUntil time.Time
	// firstReportAt is when the worker first answered in this term.
	firstReportAt time.Time
	// crashed says that a VM list has shown the worker's VM down or with another worker.
	crashed bool
	// reportRequestedAt is when the latest report was requested.
	reportRequestedAt time.Time
	// request is the open report request, or nil. replacedFor is the start time of the life for
	// which a request was last replaced by another one.
	request     *reportRequest
	replacedFor int64
	// pauses are the times for which the worker gets no new tasks, failures and stalls what
	// speaks for another. pausedFor is why the latest pass has paused it.
	pauses    mspause.Pauses
	failures  mspause.Failures
	stalls    mspause.Stalls
	pausedFor mspause.Reason
	// pauseLogged is the reason that was last logged, at pauseLoggedAt.
	pauseLogged   mspause.Reason
	pauseLoggedAt time.Time
	cancel        context.CancelFunc
	// runtimeRatio is the moving average of its attempts' run times, as a multiple of
	// their estimates.
	runtimeRatio float64
	throttle     msplace.ThrottleController
	// reserved says that the worker's VM is about to be maintained.
	reserved bool
	// maintenanceSince is when the maintenance of the VM was ordered. Its tasks count as
	// unavailable from then on, until the VM list shows that the VM is still up.
	maintenanceSince time.Time
	// moving says that the worker's VM was ordered to another pool.
	moving bool
	// scalingDown withholds the worker from new tasks, as the pool needs fewer VMs.
	scalingDown bool
	// attempts sums up runs while attemptsKnown is set. Whatever changes runs or what
	// attemptCounts derives from them calls attemptsChanged.
	attempts      attemptCounts
	attemptsKnown bool
	// evacuated says that operators evacuate the worker's data centre. vmDataCentre is the
	// data centre of its VM, once a VM list has shown it.
	evacuated    bool
	vmDataCentre string
	// coldUntil is until when the worker runs tasks slowly. starts counts its recent starts.
	coldUntil time.Time
	starts    mszone.Starts
	// history has the attempts that ended lately.
	history msinterfere.History
}

// mixesServingAndBackfill reports whether backfill tasks run beside tasks with a latency
// target.
func (w *worker) mixesServingAndBackfill() bool {
	serves, backfills := false, false
	for _, r := range w.runs {
		if s := r.step(); s != nil {
			serves = serves || s.TailLatencyTarget > 0
			backfills = backfills || s.Backfill
		}
	}
	return serves && backfills
}

// runsSuspect reports whether a task that may have crashed a worker has just started.
func (w *worker) runsSuspect() bool {
	for _, r := range w.runs {
		if r.suspect && r.recent() {
			return true
		}
	}
	return false
}

func (w *worker) signalStored() {
	close(w.stored)
	w.stored = make(chan struct{})
}

// maxWorkerAttempts bounds the attempts on a worker, as each of its reports lists all of them.
const maxWorkerAttempts = 2048

// busy reports whether the worker gets no further tasks in this pass: what is assigned to it now would
// wait to be sent, while another worker could begin it.
func (w *worker) busy() bool {
	return w.orders.Full() || w.orders.Len()+w.planned >= msorder.MaxStarts || len(w.runs) >= maxWorkerAttempts
}

// free is the capacity that no task has reserved.
func (w *worker) free() msjob.Resources {
	return w.Capacity.Minus(w.used)
}

// usable reports whether new tasks may be placed on the worker once it isn't paused.
func (w *worker) usable(now time.Time) bool {
	return w.stays(now) && !w.unsettled(now)
}

// sources returns what is known of the worker.
func (w *worker) sources() msroster.Sources {
	s := msroster.Sources{
		Entry: w.entry, EntrySeenAt: w.entrySeenAt, Registered: w.registered, Refused: w.refused, LapsedAt: w.lapsedAt,
		ProcessStart: w.processStart, LifeSeenAt: w.processSeenAt, VM: w.listed, ListedAt: w.listedAt,
	}
	if w.reachable {
		s.AnsweredAt = w.reportRequestedAt
	}
	return s
}

// exists reports whether there is such a worker.
func (w *worker) exists(now time.Time) bool {
	if w.registered {
		return true
	}
	s := w.sources()
	return s.Exists(now)
}

// setEntry applies an entry of the worker that was seen at now.
func (w *worker) setEntry(entry msworker.Worker, now time.Time) {
	if w.entrySeenAt.IsZero() || entry.ProcessStart != w.entry.ProcessStart {
		w.entrySeenAt = now
	}
	w.entry = entry
	w.sourcesChanged()
}

// presentLife returns the worker with the start time of the life that reported last, which its
// lease and the numbers of its ends are of. It is 0 before the first report.
func (w *worker) presentLife() msworker.Worker {
	life := w.Worker
	life.ProcessStart = w.processStart
	return life
}

// listedUp reports whether a recent list of VMs shows the worker's VM up.
func (w *worker) listedUp(now time.Time) bool {
	return w.listed.Up && now.Sub(w.listedAt) <= msroster.MaxListAge
}

// sourcesChanged applies what the sources say of the worker.
func (w *worker) sourcesChanged() {
	s := w.sources()
	w.Worker = s.Current()
}

// stays reports whether the worker is up and nothing is about to end it.
func (w *worker) stays(now time.Time) bool {
	return w.exists(now) && w.reported && w.reachable && !w.terminated && !w.Draining && !w.reserved && !w.moving && !w.evacuated
}

// unsettled reports whether the worker stays, but what it has room for isn't known, or it may still
// carry out calls for an earlier life.
func (w *worker) unsettled(now time.Time) bool {
	return w.stays(now) && (w.unknownRuns > 0 || !w.lease.Fenced() || w.outdated(now))
}

// outdated reports whether what is known describes an earlier life of a worker that has restarted
// under its ID. The capacity and labels of the present one may differ.
func (w *worker) outdated(now time.Time) bool {
	if w.entry.ProcessStart == w.processStart {
		// Nearly always, and each pass asks it of each worker.
		return false
	}
	s := w.sources()
	return !s.Settled(now)
}

// workerFor returns the worker with the given ID and adds it if it is unknown.
func (e *Engine) workerFor(id string) *worker {
	w := e.workers[id]
	if w == nil {
		w = &worker{Worker: msworker.Worker{ID: id}, entry: msworker.Worker{ID: id}, runs: map[runKey]*run{}, stored: make(chan struct{}), unreachableSince: e.Clock.Now()}
		// This term may have called it before, with any token so far.
		w.token = e.Term.LatestToken()
		if lease, ok := e.dropped[id]; ok {
			w.lease = lease.Lease
			delete(e.dropped, id)
		}
		e.workers[id] = w
		e.registryPending = true
	}
	return w
}

// syncWorkers applies the registry to the known workers, if it has changed or workers
// are left that it does not have. The caller holds mu.
func (e *Engine) syncWorkers(now time.Time) {
	version := e.Registry.Version()
	if version == e.registryVersion && !e.registryPending {
		return
	}
	e.registryVersion, e.registryPending = version, false
	e.sortedWorkers = nil
	all := e.Registry.All()
	for id, entry := range all {
		w := e.workerFor(id)
		if w.terminated {
			w.entry = entry
			w = e.returned(w)
		}
		w.noteWarmup(entry, now)
		// The next life may drain before the registry has shown it otherwise.
		drains := entry.Draining && (!w.entry.Draining || w.entry.ProcessStart != entry.ProcessStart)
		if w.cancel == nil || (w.Address != entry.Address && !w.terminated) {
			if w.cancel != nil {
				w.cancel()
			}
			e.startPolling(w, entry, now)
		}
		if drains {
			w.drainingSince = now
			e.Logger.Info("worker drains", zap.String("worker", id), zap.Duration("leaves", entry.RemainingTime), zap.Int("runs", len(w.runs)))
		}
		w.registered, w.refused = true, false
		w.setEntry(entry, now)
	}
	e.registryPending = false
	for id, w := range e.workers {
		if _, ok := all[id]; ok {
			continue
		}
		if w.registered {
			w.registered, w.lapsedAt = false, now
		}
		w.refused = e.Registry.Refused(id)
		if w.terminated {
			e.dropWorker(w, now)
			continue
		}
		if len(w.runs) == 0 && !w.reachable && !w.listedUp(now) {
			if w.cancel != nil {
				w.cancel()
			}
			e.dropWorker(w, now)
			continue
		}
		e.registryPending = true
	}
}

// returned returns the next life of a worker that was given up, if there is one, or the same worker.
func (e *Engine) returned(w *worker) *worker {
	s := w.sources()
	if !s.HasReturned(w.terminatedAt, max(w.processStart, w.ProcessStart)) {
		return w
	}
	e.Logger.Info("worker has returned", zap.String("worker", w.ID), zap.String("pool", w.Pool), zap.Duration("given-up-for", e.Clock.Now().Sub(w.terminatedAt)))
	e.dropWorker(w, e.Clock.Now())
	return e.workerFor(w.ID)
}

// droppedLease is the lease of the next life under the ID of a worker that was dropped at a time.
type droppedLease struct {
	msworker.Lease
	at time.Time
}

// dropWorker removes a worker, and keeps the lease of the next life under its ID for as long as calls
// for this one may be carried out.
func (e *Engine) dropWorker(w *worker, now time.Time) {
	delete(e.workers, w.ID)
	e.sortedWorkers = nil
	if e.dropped == nil {
		e.dropped = map[string]droppedLease{}
	}
	maps.DeleteFunc(e.dropped, func(_ string, l droppedLease) bool { return now.Sub(l.at) > msworker.MaxCallDelay })
	e.dropped[w.ID] = droppedLease{Lease: w.lease.Next(), at: now}
}

// startPolling requests reports from a worker until it is terminated.
func (e *Engine) startPolling(w *worker, entry msworker.Worker, now time.Time) {
	w.setEntry(entry, now)
	ctx, cancel := context.WithCancel(e.ctx)
	w.cancel = cancel
	e.group.Add(1)
	go func() {
		defer e.group.Done()
		e.pollWorker(ctx, w)
	}()
}

func (e *Engine) pollWorker(ctx context.Context, w *worker) {
	for ctx.Err() == nil {
		e.mu.Lock()
		if w.terminated {
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
			case <-e.Clock.After(ackTimeout):
			}
		}
		pause := reportRetryDelay
		if e.requestReport(ctx, w) {
			e.mu.Lock()
			pause = max(reportPause, time.Duration(len(w.runs))*reportRowPause)
			e.mu.Unlock()
		}
		_ = msclock.Sleep(ctx, e.Clock, pause)
	}
}

// requestReport renews the lease, handles the report, and says whether one came.
func (e *Engine) requestReport(ctx context.Context, w *worker) bool {
	e.mu.Lock()
	now := e.Clock.Now()
	renewal := e.renewalFor(w, now)
	life := w.presentLife()
	reportCtx, cancel := context.WithTimeout(ctx, renewal.Wait+reportTimeoutMargin)
	request := &reportRequest{cancel: cancel}
	w.request = request
	e.mu.Unlock()
	report, err := e.Orders.RenewLease(reportCtx, life, renewal)
	cancel()
	if ctx.Err() != nil {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if w.terminated {
		return false
	}
	w.request = nil
	if err != nil && request.replaced {
		return true
	}
	if err != nil {
		e.reportFailed(w, renewal.Token, err)
		return false
	}
	e.handleReport(w, now, renewal.Token, report)
	return true
}

// renewalFor returns the next report request to a worker. One that doesn't answer may still receive
// calls, so it is only asked for its report, and its lease ends. The caller holds mu.
func (e *Engine) renewalFor(w *worker, now time.Time) msworker.LeaseRenewal {
	renewal := msworker.LeaseRenewal{Token: e.tokenFor(w)}
	if !w.reachable {
		return renewal
	}
	renewal.Acked = w.acked
	w.lease.Sent(renewal.Token)
	if w.lease.Known() && e.mayRenew() {
		renewal.Until = w.lease.Grant(now, e.leaseDuration())
	}
	switch {
	case !w.reported:
	case !w.lease.Fenced():
		renewal.Wait = unfencedReportWait
	case len(w.runs) == 0:
		renewal.Wait = idleReportWait
	case w.mixesServingAndBackfill() || w.runsSuspect() || now.Before(w.isolatedUntil):
		renewal.Wait = servingReportWait
	default:
		renewal.Wait = reportWait
	}
	return renewal
}

// tokenFor returns the fencing token of the next call to a worker. The caller holds mu.
func (e *Engine) tokenFor(w *worker) int64 {
	w.token = max(w.token, e.Term.Epoch)
	if least := w.lease.MinToken(w.reachable); w.token < least {
		if latest := e.Term.LatestToken(); latest >= least {
			w.token = latest
		}
	}
	return w.token
}

// callFenced handles the rejection of a call with the given token. One of this term's own later calls
// may have overtaken it, or else another leader has called the worker, and the term ends.
func (e *Engine) callFenced(w *worker, token int64, err error) {
	if token >= w.token {
		e.endTerm(err)
	}
}

// reportRequest is an open report request. replaced says that it was ended so that another one
// follows at once.
type reportRequest struct {
	cancel   context.CancelFunc
	replaced bool
}

// foundOtherLife handles an order that found another life than the given one. The next report shows
// what it runs, so the open request, which the given life won't answer, isn't waited for.
func (e *Engine) foundOtherLife(w *worker, life msworker.Worker) {
	if w.request == nil || w.processStart != life.ProcessStart || w.replacedFor == life.ProcessStart {
		return
	}
	w.replacedFor, w.request.replaced = life.ProcessStart, true
	w.request.cancel()
}

// reportFailed handles a report request with the given token that failed.
func (e *Engine) reportFailed(w *worker, token int64, err error) {
	switch msworker.ReasonOf(err) {
	case msworker.Fenced:
		e.callFenced(w, token, err)
	case msworker.OtherInstance:
		// Another worker has the address. If this one was cut off and its address
		// reassigned, its attempts may still run, so they are kept until its lease ends.
		e.Logger.Info("worker address belongs to another worker", zap.String("worker", w.ID))
	}
	if w.reachable {
		w.reachable = false
		w.unreachableSince = e.Clock.Now()
		e.Logger.Info("worker lost", append(w.leaseFields(e.Clock.Now()), zap.Int64("token", token), zap.Int("runs", len(w.runs)), zap.Error(err))...)
	}
}

// handleReport compares a worker's report with the known state. sent is when the report
// was requested, and token the fencing token of the request.
func (e *Engine) handleReport(w *worker, sent time.Time, token int64, rep msworker.Report) {
	now := e.Clock.Now()
	hasRestarted := w.reported && rep.ProcessStart != w.processStart
	if hasRestarted {
		e.handleRestart(w, rep)
	}
	if rep.ProcessStart != w.processStart {
		w.processStart, w.processSeenAt = rep.ProcessStart, now
		w.sourcesChanged()
	}
	w.lease.Observe(rep.Clock, now)
	if !w.lease.Fenced() {
		w.lease.Answered(token, e.Settings.MaxLease)
		e.Logger.Info("next life of a worker answered", append(w.leaseFields(now), zap.Int64("token", token))...)
	}
	if hasRestarted {
		e.Metrics.nextLife(w.lease.Fenced())
	}
	if !w.reported {
		// An earlier leader may have granted a lease just before it was fenced.
		w.lease.Inherit(e.inheritedLease(), e.Settings.MaxLease, e.ageOf(rep.ProcessStart))
	}
	if !w.reachable {
		w.reachable, w.crashed = true, false
		e.Logger.Info("worker found", append(w.leaseFields(now), zap.Int64("token", token), zap.Int("runs", len(rep.Running)), zap.Int("ends", len(rep.Ended)))...)
		e.wakeLoop()
	}
	if !w.reported {
		w.firstReportAt = now
	}
	w.reported, w.reportRequestedAt = true, sent
	w.attemptsChanged()
	for _, end := range rep.Ended {
		if end.Seq > w.processed {
			w.processed = end.Seq
			e.handleEnd(w, end, now)
			e.wakeLoop()
		}
	}
	e.reconcile(w, sent, now, rep)
	w.attemptsChanged()
	e.throttleWorker(w, now)
}

// reconcile compares the attempts known on w with those that a report lists as running.
func (e *Engine) reconcile(w *worker, sent, now time.Time, rep msworker.Report) {
	listed := make(map[runKey]bool, len(rep.Running))
	for _, row := range rep.Running {
		k := runKey{task: row.Task, attempt: row.Attempt}
		listed[k] = true
		r := e.runs[k]
		if r == nil || r.w != w {
			e.stopStray(w, row)
			continue
		}
		e.updateRun(r, row, now)
		r.reportedAt = now
		e.repeatStop(r, sent)
		e.exonerate(r)
	}
	if len(rep.Ended) >= msworker.MaxEnds {
		// The list of ends is full, so the ends of unlisted attempts may still follow.
		return
	}
	for k, r := range w.runs {
		if listed[k] {
			continue
		}
		switch {
		case r.state == runAdopted:
			// The attempt was never started, or its start is in flight. The same attempt
			// is ordered again.
			r.state = runOrdered
			e.beginStart(r)
		case r.state == runStarted && r.answeredAt.Before(sent):
			if r.uncertain {
				e.stop(r)
			} else {
				e.markLost(r, notEnded, "not running on its worker")
			}
		case r.state == runStopping && !r.answeredAt.IsZero() && r.answeredAt.Before(sent):
			e.markLost(r, notEnded, "stopped")
		}
	}
}

// updateRun applies what a report says of a known attempt.
func (e *Engine) updateRun(r *run, row msworker.Run, now time.Time) {
	r.life = r.w.processStart
	if r.state == runAdopted || r.state == runOrdered {
		r.state = runStarted
		if r.answeredAt.IsZero() {
			r.answeredAt = now
		}
	}
	if r.confirmedAt.IsZero() {
		r.confirmedAt = now
	}
	if row.Percent > r.percent || r.progressedAt.IsZero() {
		r.progressedAt = now
	}
	if row.Percent >= fullPercent {
		r.servingAt = now
		if r.job != nil {
			delete(r.job.failuresInRow, r.task)
		}
	}
	r.percent, r.usage = row.Percent, row.Usage
	e.noteLatency(r, now)
	if e.canStore(r, row.Checkpoint) {
		r.checkpoint = row.Checkpoint
	}
}

// stopStray stops an attempt that should not run, because its job has ended or another
// attempt has replaced it.
func (e *Engine) stopStray(w *worker, row msworker.Run) {
	r := &run{runKey: runKey{task: row.Task, attempt: row.Attempt}, w: w, state: runStarted, throttlePercent: fullPercent}
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

// handleRestart handles the restart of a worker under the same ID: its earlier attempts
// no longer run, and the sequence numbers of its ends start again. The next life may have carried
// out starts without an answer before its first report: those that the report lists are of that
// life.
func (e *Engine) handleRestart(w *worker, rep msworker.Report) {
	e.Logger.Info("worker restarted", zap.String("worker", w.ID), zap.Int64("born", rep.ProcessStart), zap.Int64("earlier-born", w.processStart), zap.Int("runs", len(w.runs)),
		zap.Duration("worker-clock", rep.Clock), zap.Duration("earlier-lease-end", w.lease.Until()), zap.Int64("earlier-token", w.token))
	end := restarted
	if !w.drainingSince.IsZero() {
		end, w.drainingSince = endedAsPlanned, time.Time{}
	}
	runs := slices.DeleteFunc(w.allRuns(), func(r *run) bool { return r.endNoted || listsRun(rep, r.runKey) })
	e.noteEndBefore(w, end, "restarted", runs, time.UnixMilli(rep.ProcessStart))
	w.processed, w.acked = 0, 0
	w.lease = w.lease.Next()
	w.failures, w.stalls = mspause.Failures{}, mspause.Stalls{}
	// An order to the VM has ended the life before, or its answer sets these again.
	w.reserved, w.moving, w.maintenanceSince = false, false, time.Time{}
	for _, r := range w.runs {
		if r.throttlePercent != fullPercent {
			r.throttlePercent = unknownPercent
		}
	}
	for _, r := range runs {
		switch {
		case r.state == runStarted && !r.uncertain:
			e.markLost(r, end, "its worker restarted")
		case r.state == runStopping:
		case r.state == runStarted, r.state == runOrdered && r.unanswered > 0:
			// The start may still be carried out, so the task must not start elsewhere yet.
			e.stop(r)
		}
	}
}

// listsRun reports whether a report lists an attempt as running or ended.
func listsRun(rep msworker.Report, k runKey) bool {
	return slices.ContainsFunc(rep.Running, func(r msworker.Run) bool { return r.Task == k.task && r.Attempt == k.attempt }) ||
		slices.ContainsFunc(rep.Ended, func(r msworker.End) bool { return r.Task == k.task && r.Attempt == k.attempt })
}

// expireLeases gives up the attempts on unreachable workers whose lease has certainly
// ended.
func (e *Engine) expireLeases(now time.Time) {
	for _, w := range e.workersByID() {
		if w.reachable || len(w.runs) == 0 {
			continue
		}
		e.dropLateStarts(w, now)
		if w.lease.Known() && !w.lease.Expired(now) {
			continue
		}
		if !w.lease.Known() && now.Sub(e.startedAt) < e.maxUnknownLease() {
			continue
		}
		end := e.endOf(w, now)
		runs := w.allRuns()
		if slices.ContainsFunc(runs, func(r *run) bool { return !r.endNoted }) {
			e.Logger.Info("lease of unreachable worker expired", append(w.leaseFields(now), zap.Int("runs", len(runs)), zap.Bool("reported", w.reported))...)
			e.Metrics.leaseExpired(w.lease.Source())
		}
		e.giveUp(w, runs, end, "lease expired", "lease expired while the worker was unreachable")
	}
}

// mayStartLate reports whether another life of the worker may still carry out a start of the attempt
// that got no answer.
func (e *Engine) mayStartLate(r *run, now time.Time) bool {
	return r.unanswered > 0 && r.starts.MayArrive(now, e.nextLifeOf(r.w, now))
}

// nextLifeOf returns what the VM list says of the next life of a worker that doesn't answer.
func (e *Engine) nextLifeOf(w *worker, now time.Time) msworker.NextLife {
	if now.Sub(e.fleet.readAt) > msroster.MaxListAge {
		return msworker.NextPossible
	}
	if !w.listedAt.IsZero() {
		if w.listed.Up {
			return msworker.NextPossible
		}
		return msworker.NextAbsent
	}
	if vm := e.fleet.find(w.vmName()); vm != nil && vm.Worker != "" && vm.Worker != w.ID {
		return msworker.NextReplaced
	}
	return msworker.NextAbsent
}

// giveUp gives up attempts of a worker that has ended or whose lease has expired. One that its next
// life may still start is stopped there first.
func (e *Engine) giveUp(w *worker, runs []*run, end workerEnd, workerReason, reason string) {
	given := len(runs)
	runs = slices.DeleteFunc(runs, func(r *run) bool { return r.endNoted })
	if len(runs) == 0 && given > 0 {
		return
	}
	e.noteEnd(w, end, workerReason, runs)
	now := e.Clock.Now()
	for _, r := range runs {
		if !e.mayStartLate(r, now) {
			e.markLost(r, end, reason)
			continue
		}
		e.Logger.Info("attempt kept for the next life of its worker", zap.String("task", r.task.String()), zap.Int("attempt", r.attempt), zap.String("worker", w.ID),
			zap.Bool("adopted", r.adopted), zap.Duration("first-sent", now.Sub(r.starts.First)), zap.Duration("last-sent", now.Sub(r.starts.Last)), zap.Stringer("next-life", e.nextLifeOf(w, now)))
		r.endNoted = true
		e.stop(r)
		if s := r.step(); s != nil && s.Gang {
			e.stopGang(r, reason)
		}
	}
}

// dropLateStarts gives up the attempts of a worker that were kept for its next life for long enough.
func (e *Engine) dropLateStarts(w *worker, now time.Time) {
	for _, r := range w.allRuns() {
		if r.endNoted && !e.mayStartLate(r, now) {
			e.markLost(r, e.endOf(w, now), "no later life of its worker has answered")
		}
	}
}

// leaseFields returns the life of the worker that is known and the lease that it may hold, as
// logged.
func (w *worker) leaseFields(now time.Time) []zap.Field {
	return []zap.Field{
		zap.String("worker", w.ID), zap.Int64("born", w.processStart), zap.Bool("fenced", w.lease.Fenced()), zap.Duration("worker-clock", w.lease.Clock(now)),
		zap.Duration("lease-end", w.lease.Until()), zap.String("lease-source", string(w.lease.Source())),
	}
}

// maxUnknownLease is how long after the start of a term a worker that has not been
// reached in it may run attempts that earlier leaders started. Its entry may be of an earlier
// life, so that the present one may hold the longest lease.
func (e *Engine) maxUnknownLease() time.Duration {
	d := max(e.inheritedLease(), e.Settings.MaxLease+e.Settings.MaxLease/20)
	if e.Term.Released {
		return d
	}
	return renewalGrace + d
}

// inheritedLease bounds how long a lease that an earlier leader granted lasts. Its reading of the
// worker's clock may have been old, and the clock runs slow.
func (e *Engine) inheritedLease() time.Duration {
	return e.leaseDuration() + e.leaseDuration()/20
}

// ageOf returns the age of a life of a worker by its start time, or 0 if that isn't known.
func (e *Engine) ageOf(processStart int64) time.Duration {
	if processStart == 0 {
		return 0
	}
	return e.Wall.Now().Sub(time.UnixMilli(processStart))
}
