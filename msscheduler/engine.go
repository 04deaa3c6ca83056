// Package msscheduler runs accepted jobs on workers during one term of a leader.
//
// An Engine restores its state from the journal, raises the fencing token at every
// worker, and reconciles each worker's running attempts with the stored ones before it
// places anything there. From then on it runs one pass at a time: collect what is new,
// decide, store the changed progress in one append, and only then send the orders that
// depend on it. So a successor finds in the journal every attempt that may run anywhere.
package msscheduler

import (
	"context"
	"sort"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"marjoramspan/msclock"
	"marjoramspan/msjob"
	"marjoramspan/msjournal"
	"marjoramspan/msleader"
	"marjoramspan/mspause"
	"marjoramspan/msplace"
	"marjoramspan/msruntime"
	"marjoramspan/mssite"
	"marjoramspan/mswait"
	"marjoramspan/msworker"
)

// Settings has the durations that the platform's contract states.
type Settings struct {
	// MaxLease bounds the lease of tasks on a worker.
	MaxLease time.Duration
	// StatusRetention is how long the status of an ended job can be queried.
	StatusRetention time.Duration
	// MinHolderInterval is the minimum time between VM orders of two holders.
	MinHolderInterval time.Duration
	// MaintenanceDuration is how long the maintenance of a VM takes.
	MaintenanceDuration time.Duration
	// EvacuationDeadline is the time within which no task may start any more in a data
	// centre that operators evacuate. 0 means that there is no such bound.
	EvacuationDeadline time.Duration
	// WarmupOverage and WarmupSlack bound the starts on a cold worker; 0 means the
	// defaults of mszone.
	WarmupOverage, WarmupSlack float64
	// MaxAttempts bounds the attempts that may run at a time, as each takes memory of the leader;
	// 0 means the default.
	MaxAttempts int
}

const (
	// maxLease bounds the leases that are granted. The tasks of a worker that went
	// silent start again after it, and a change of leader has to fit in.
	maxLease = 4 * time.Second
	// renewalGrace is how long after the end of a valid term leases are still renewed.
	// While the whole log is unavailable nobody else can lead, and tasks should keep
	// running; together with the lease it covers the nine seconds that the log may be
	// unavailable.
	renewalGrace = 5 * time.Second
	// maxPassInterval is the longest time between two passes.
	maxPassInterval = 200 * time.Millisecond
	// maxPassDelay is how long events may wait for others that are handled in the same
	// pass. Callers wait for one pass for each step of a job, and the shortest objectives
	// are above half a second.
	maxPassDelay = 5 * time.Millisecond
	// passIntervalFactor is how many times as long as a pass the time between the begins
	// of two passes is, up to maxPassDelay, so that passes take a fifth of a core. A delay
	// below minPassDelay costs more for its timer than it saves.
	passIntervalFactor = 5
	minPassDelay       = time.Millisecond
)

// Engine schedules for one term. Its exported fields are set before Run.
type Engine struct {
	Term   msleader.Term
	Holder string
	Log    msjournal.Log
	// PublicStream has what every entry reads: jobs, cancels, statuses, the load, and the
	// waves and pools. ProgressStream has the progress of jobs, VMOrderStream the VMs that
	// were ordered recently.
	PublicStream, ProgressStream, VMOrderStream string
	Jobs                                        *msjob.Table
	Journal                                     *msjournal.Follower
	// JobJournals follow the additional streams of jobs and cancels, numbered from 1.
	JobJournals []*msjournal.Follower
	Registry    *msworker.Registry
	Orders      msworker.Orders
	VMs         msworker.VMs
	// Advise returns the workers that may run a step, for queues that need it.
	Advise msworker.Advisor
	Sites  *mssite.Store
	// Operators, if set, follows the operators' records that Sites holds. They are read
	// to their end before anything is placed.
	Operators *msjournal.Follower
	// Report returns the record that tells operators that a wave has started or is completed,
	// for ReportStream.
	Report       func(wave int64, completed bool) (msjournal.Record, error)
	ReportStream string
	// Clock includes the time that the machine is suspended; Wall is the time of day.
	Clock    msclock.Clock
	Wall     msclock.Clock
	Logger   *zap.Logger
	Metrics  *Metrics
	Settings Settings

	startedAt time.Time
	wake      chan struct{}
	wakeOnce  sync.Once
	termEnded chan error
	// progress, public, vmOrderLog and reports are the streams. After takeOver only publish
	// writes to public, and only manageVMs to vmOrderLog and reports.
	progress, public, vmOrderLog, reports appender

	publishWake chan struct{}
	// jobStreams are the additional streams of JobJournals. After takeOver only
	// deleteCopies writes to them.
	jobStreams []appender

	// mu guards all fields below and all state of jobs, workers and runs. While it is
	// held, no call is made to a package that takes a lock of its own, except to read
	// the term, the site and how current it is.
	mu   sync.Mutex
	jobs map[string]*job
	// active has the jobs that haven't ended, dirty those whose progress has changed
	// since it was last stored, recurring the active ones with several occurrences.
	active, dirty, recurring map[string]*job
	workers                  map[string]*worker
	// dropped has the leases of workers that were dropped lately, by ID.
	dropped map[string]droppedLease
	// ended has the ends of workers that were noted lately, by ID.
	ended map[string]endedLife
	// registryVersion is the version of the registry that workers has, and
	// registryPending is set while workers has any that the registry lacks or may lack.
	registryVersion int64
	registryPending bool
	// passState has what passes reuse.
	passState
	runs  map[runKey]*run
	teams map[string]msjob.Resources
	// queueAttempts counts the attempts in runs by queue.
	queueAttempts map[string]int
	// unpublished has what publish stores next.
	unpublished publication
	// copyDeletions has what deleteCopies deletes next.
	copyDeletions copyDeletions
	// orphanedProgress has the keys of the progress of deleted jobs that is still stored.
	orphanedProgress []string
	group            sync.WaitGroup
	ctx              context.Context
	loadPublishedAt  time.Time
	// lastExpiry is when expired jobs were last looked for.
	lastExpiry   time.Time
	load         msjob.Load
	waves        map[int64]*wave
	fleet        fleet
	pools        pools
	vmOrders     vmOrders
	zones        zones
	interference interference
	// othersWait has the pools in which tasks that need not be isolated waited after the
	// latest pass.
	othersWait map[string]bool
	// adviceByStep has the advisor's answers, adviceInFlight the number of pending
	// requests.
	adviceByStep   map[stepKey]*advice
	adviceInFlight int
	// shares has the work of the teams by pool. It counts the same attempts as runs, apart
	// from those of long-running and backfill steps.
	shares msplace.Shares
	// wideJobs has which jobs are the largest of their queue, and how often they are in time.
	wideJobs msplace.WideJobs
	// runtimes has the learned run times of queues and images.
	runtimes msruntime.Table
	// sharesReportedAt is when the metrics of the shares were last set.
	sharesReportedAt time.Time
	// fullPools has when the order in each pool was last logged.
	fullPools map[string]time.Time
	// waits tracks the jobs that wait beside free workers.
	waits           mswait.Tracker
	waitsReportedAt time.Time
	// anyPaused is set if workers are paused. pauseLines counts the lines on pauses that were
	// logged since pauseLinesSince.
	anyPaused       bool
	pauseLines      int
	pauseLinesSince time.Time
	// readingSite is set while readSite reads.
	readingSite bool
	// teamLimiter decides which jobs are within their team's share.
	teamLimiter msplace.TeamLimiter
}

// job is a job that has not ended, or whose status is still kept.
type job struct {
	def *msjob.Job
	p   *msjob.Progress
	// stored has the parts of p that are stored.
	stored msjob.StoredParts
	// stream is the stream that def is from.
	stream   int
	canceled bool
	// canceledAt is when this leader ended the job as canceled, while attempts of it are left.
	canceledAt time.Time
	// queueImage names the job's tasks without an image, queueName what is learned of its queue.
	queueImage, queueName string
	// publishedState is the latest state that was enqueued for publish.
	publishedState msjob.State
	// runs has the job's attempts that may run, and steps sums them up.
	runs  map[runKey]*run
	steps map[stepIndex]*stepRuns
	// window has the occurrences that are due.
	window msplace.Window
	// duplicatesSoughtAt is when tasks that may get a duplicate were last looked for.
	duplicatesSoughtAt time.Time
	// failedGangs has the gang attempts whose failure is counted.
	failedGangs map[gangKey]bool
	// retryAt has when a task may be placed again.
	retryAt map[msjob.TaskID]time.Time
	// failuresInRow counts the failures of long-running tasks since they last served.
	failuresInRow map[msjob.TaskID]int
	// overShare jobs exceed their team's share.
	overShare bool
	// criticalPath is the estimated length of the critical path.
	criticalPath time.Duration
	// runtimes has the learned run times, longestRuns the longest run of each step's tasks.
	runtimes    *msruntime.Table
	longestRuns []time.Duration
	// order is what the latest pass ordered the job by.
	order msplace.Candidate
	// wide jobs are among the largest tenth of their queue. outcomeKnown is set once the job
	// is counted as in time or late in Engine.wideJobs.
	wide, outcomeKnown bool
	// ends has how the job's tasks ended lately, on all workers.
	ends mspause.Counts
	// idleSince is since when the job could run and has had nothing running, givesWay whether
	// the latest pass let it start in spite of protections.
	idleSince time.Time
	givesWay  bool
	// blocker is why the latest pass placed no task of the job, or not all.
	blocker mswait.Reason
	// workers has the pool's workers if none of them could run a task of the job.
	workers mswait.Workers
	// useless is set if the latest pass expected the job to end after callers have a use
	// for its result.
	useless bool
	// duplicated has the tasks of which a duplicate was started.
	duplicated map[msjob.TaskID]bool
	// avoid has the workers on which a task has failed or stalled.
	avoid map[msjob.TaskID]map[string]bool
	// taskView sums up the tasks while tasksKnown is set. Whatever changes the phase, the
	// crashes or the occurrences of tasks calls tasksChanged or markDirty.
	taskView   taskView
	tasksKnown bool
	// queue and pool are those of the job in queueSite.
	queue     *mssite.Queue
	pool      string
	queueSite *mssite.Site
	// inOrder is set once the job is in Engine.order, inQueue while the latest pass has it in
	// its queue.
	inOrder, inQueue bool
}

type gangKey struct {
	occurrence, step, attempt int
}

type runKey struct {
	task    msjob.TaskID
	attempt int
}

// Run schedules until ctx is done or another term has begun, which it returns as an
// error.
func (e *Engine) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer e.Metrics.resetShares()
	defer e.Metrics.setWaits(nil)
	defer e.Metrics.setPaused(nil)
	defer e.Metrics.interfering(0)
	defer e.group.Wait()
	defer cancel()
	defer e.Metrics.evacuation(0, 0)
	e.ctx = ctx
	e.startedAt = e.Clock.Now()
	e.termEnded = make(chan error, 1)
	e.publishWake = make(chan struct{}, 1)
	e.progress, e.public, e.vmOrderLog = appender{stream: e.ProgressStream}, appender{stream: e.PublicStream}, appender{stream: e.VMOrderStream}
	e.reports = appender{stream: e.ReportStream}
	e.jobStreams = nil
	for _, f := range e.JobJournals {
		e.jobStreams = append(e.jobStreams, appender{stream: f.Stream})
	}
	e.mu.Lock()
	e.workers, e.runs = map[string]*worker{}, map[runKey]*run{}
	e.teams = map[string]msjob.Resources{}
	e.waves = map[int64]*wave{}
	e.adviceByStep = map[stepKey]*advice{}
	e.othersWait = map[string]bool{}
	e.pools.movedAt = map[string]time.Time{}
	e.mu.Unlock()
	if err := e.takeOver(ctx); err != nil {
		return err
	}
	for _, part := range []func(ctx context.Context){e.manageVMs, e.publish, e.deleteCopies, e.expireWithdrawals} {
		e.group.Add(1)
		go func() {
			defer e.group.Done()
			part(ctx)
		}()
	}
	return e.loop(ctx)
}

// takeOver fences earlier leaders off the streams, then reads the streams to their ends.
func (e *Engine) takeOver(ctx context.Context) error {
	var progress msjob.ProgressReader
	streams, sctx := errgroup.WithContext(ctx)
	progressFenced := make(chan struct{})
	streams.Go(func() (err error) {
		if err = e.store(ctx, &e.progress, nil); err == nil {
			close(progressFenced)
			err = e.readProgress(ctx, &progress)
		}
		return err
	})
	streams.Go(func() error {
		if err := e.store(ctx, &e.public, nil); err != nil {
			return err
		}
		// An earlier leader may store the progress of further jobs until then.
		select {
		case <-progressFenced:
		case <-sctx.Done():
			return sctx.Err()
		}
		if err := e.sync(ctx, e.Journal); err != nil {
			return err
		}
		return e.takeOverJobStreams(ctx)
	})
	streams.Go(func() error { return e.takeOverVMOrders(ctx) })
	streams.Go(func() error { return e.syncOperators(ctx) })
	if err := streams.Wait(); err != nil {
		return err
	}
	// Jobs that were added before the journal was read to its end would lack the
	// progress that earlier leaders have stored.
	load := e.Jobs.Load()
	e.mu.Lock()
	e.runtimes.Restore(load.Ratios, e.Clock.Now())
	if f, ok := e.Jobs.Fleet(); ok {
		e.restoreInterference(f)
	}
	e.jobs, e.active, e.dirty, e.recurring = map[string]*job{}, map[string]*job{}, map[string]*job{}, map[string]*job{}
	e.mu.Unlock()
	var entries []msjob.TableEntry
	e.Jobs.Each(func(entry msjob.TableEntry) { entries = append(entries, entry) })
	sort.Slice(entries, func(i, k int) bool { return entries[i].Job.Accepted.Before(entries[k].Job.Accepted) })
	for _, entry := range entries {
		entry.Progress, entry.Stored = progress.Take(entry.Job)
		e.AddJob(entry)
	}
	e.mu.Lock()
	for _, entry := range entries {
		e.deleteLeftCopies(entry)
	}
	e.orphanedProgress = append(e.orphanedProgress, progress.Left()...)
	e.mu.Unlock()
	n := len(entries)
	e.Logger.Info("journal taken over", zap.Int64("epoch", e.Term.Epoch), zap.Int("jobs", n), zap.Int64("version", e.Journal.Next()))
	return nil
}

// readProgress reads the progress that earlier leaders have stored.
func (e *Engine) readProgress(ctx context.Context, all *msjob.ProgressReader) error {
	return e.sync(ctx, &msjournal.Follower{
		Log: e.Log, Clock: e.Clock, Logger: e.Logger, Stream: e.ProgressStream,
		Reset: all.Reset,
		Apply: func(r msjournal.Record, offset int64) {
			if err := all.Apply(msjob.Record{Key: r.Key, Value: r.Value}); err != nil {
				e.Logger.Warn("record left aside", zap.String("stream", e.ProgressStream), zap.Int64("offset", offset), zap.Error(err))
			}
		},
	})
}

// sync reads a stream to its end, and retries until it succeeds or ctx is done.
func (e *Engine) sync(ctx context.Context, f *msjournal.Follower) error {
	for f.Sync(ctx) != nil {
		if err := msclock.Sleep(ctx, e.Clock, logRetryDelay); err != nil {
			return err
		}
	}
	return nil
}

func (e *Engine) loop(ctx context.Context) error {
	for {
		e.mu.Lock()
		now := e.Clock.Now()
		b := e.pass(now)
		took := e.Clock.Now().Sub(now)
		e.mu.Unlock()
		if err := e.commit(ctx, b); err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case err := <-e.termEnded:
			return err
		case <-e.wakes():
		case <-e.Clock.After(maxPassInterval):
		}
		if d := passDelay(took, e.Clock.Now().Sub(now)); d > 0 {
			_ = msclock.Sleep(ctx, e.Clock, d)
		}
		select {
		case <-e.wakes():
		default:
		}
	}
}

// passDelay returns how long the next pass waits for further events. took is how long the
// previous pass took, since the time from its begin. It is for bursts in which attempts end
// every half a millisecond: a pass for each end would take most of a core.
func passDelay(took, since time.Duration) time.Duration {
	if d := min(passIntervalFactor*took, maxPassDelay) - since; d >= minPassDelay {
		return d
	}
	return 0
}

// wakeLoop makes the loop start its next pass without delay. It needs no lock.
func (e *Engine) wakeLoop() {
	select {
	case e.wakes() <- struct{}{}:
	default:
	}
}

// wakes returns the channel by which wakeLoop wakes the loop.
func (e *Engine) wakes() chan struct{} {
	e.wakeOnce.Do(func() { e.wake = make(chan struct{}, 1) })
	return e.wake
}

// endTerm makes Run return err, as a stream, a worker or the VM service has seen a
// higher fencing token.
func (e *Engine) endTerm(err error) {
	select {
	case e.termEnded <- err:
	default:
	}
}

// batch is what one pass has decided.
type batch struct {
	// records go onto the stream of progress.
	records []msjournal.Record
	starts  []*run
	// acked has the latest end of each worker whose effect is in records.
	acked map[*worker]handledEnd
}

// handledEnd is the number of an end on one life of a worker. Each life numbers its ends anew.
type handledEnd struct {
	processStart, seq int64
}

func newBatch() batch {
	return batch{acked: map[*worker]handledEnd{}}
}

// pass makes all decisions that the known state calls for. The caller holds mu.
func (e *Engine) pass(now time.Time) batch {
	begun := e.Clock.Now()
	e.syncWorkers(now)
	e.syncZones(now)
	e.expireLeases(now)
	b := newBatch()
	e.evacuate(now)
	e.checkInterference(now)
	e.evacuateZones(now)
	if now.Sub(e.stallsCheckedAt) >= stallCheckInterval {
		e.stallsCheckedAt = now
		e.stopStalled(now)
	}
	e.beginOccurrences()
	b.starts = e.place(now)
	e.collect(&b, now)
	e.Metrics.pass(e.Clock.Now().Sub(begun))
	return b
}

// collect adds the records of what has changed. The caller holds mu.
func (e *Engine) collect(b *batch, now time.Time) {
	for id, j := range e.dirty {
		delete(e.dirty, id)
		changed, err := j.stored.Records(id, j.p, e.Log.Limits.RecordBytes)
		if err != nil {
			e.Logger.Error("failed to encode progress", zap.String("job", id), zap.Error(err))
			continue
		}
		for _, r := range changed {
			b.records = append(b.records, msjournal.Record{Key: r.Key, Value: r.Value})
		}
		if status := j.p.Status(); status.State != j.publishedState {
			j.publishedState = status.State
			all, err := msjob.StatusRecords(j.def, status)
			e.enqueue(err, all...)
			if status.State.Final() {
				e.unpublished.ended = append(e.unpublished.ended, id)
			}
		}
	}
	e.collectExpired(b, now)
	for _, w := range e.workersByID() {
		if w.processed > w.acked {
			b.acked[w] = handledEnd{processStart: w.processStart, seq: w.processed}
		}
	}
	e.publishWaves()
	e.publishPools()
	e.publishLoad(now)
}

// collectExpired adds the records that delete jobs whose status need not be kept any
// longer. The caller holds mu.
func (e *Engine) collectExpired(b *batch, now time.Time) {
	for _, key := range e.orphanedProgress {
		b.records = append(b.records, msjournal.Record{Key: key})
	}
	e.orphanedProgress = nil
	if now.Sub(e.lastExpiry) < expiryInterval {
		return
	}
	e.lastExpiry = now
	wall := e.Wall.Now()
	for id, j := range e.jobs {
		if !j.p.State.Final() || wall.Sub(time.UnixMilli(j.p.Ended)) < e.Settings.StatusRetention+retentionMargin || len(j.runs) > 0 {
			continue
		}
		e.unpublished.expired = append(e.unpublished.expired, id)
		e.enqueue(nil)
		delete(e.jobs, id)
		e.deleteAdvice(id)
	}
}

// retentionMargin is how much longer than promised the status of an ended job is kept,
// as entries read the records late and clocks differ.
const retentionMargin = 20 * time.Second

// expiryInterval is the minimum time between two searches for expired jobs.
const expiryInterval = 2 * time.Second

// leaseDuration is how long a lease is granted for.
func (e *Engine) leaseDuration() time.Duration {
	return min(maxLease, e.Settings.MaxLease)
}

// mayRenew reports whether leases of running tasks may still be renewed: while the term
// is valid, and for some time after it, as nobody may be able to take over.
func (e *Engine) mayRenew() bool {
	return e.Term.ExpiredFor() < renewalGrace
}

// markDirty marks the progress of a job to be stored.
func (e *Engine) markDirty(j *job) {
	e.dirty[j.def.ID] = j
	j.tasksChanged()
}

// AddJob adds an accepted job. It does nothing until the journal is taken over.
func (e *Engine) AddJob(entry msjob.TableEntry) {
	e.mu.Lock()
	added := e.addJob(entry)
	e.mu.Unlock()
	if !added {
		return
	}
	// A cancel that was read after entry was copied has found no job to end: another stream
	// had it, or the journal was being taken over.
	if newest, ok := e.Jobs.Job(entry.Job.ID); ok && newest.Canceled && !entry.Canceled {
		e.Logger.Info("cancel read before its job", zap.String("job", entry.Job.ID), zap.Int("stream", entry.Stream()))
		e.Cancel(entry.Job.ID)
	}
}

// teamWeight is a team's share, in jobs a second.
func (e *Engine) teamWeight(team string) float64 {
	if site := e.Sites.Site(); site != nil {
		return site.Teams[team].Weight
	}
	return 0
}

// addJob adds a job and reports whether the scheduler had not known it. The caller holds mu.
func (e *Engine) addJob(entry msjob.TableEntry) bool {
	if e.jobs == nil || e.jobs[entry.Job.ID] != nil {
		return false
	}
	j := &job{
		def: entry.Job, p: &msjob.Progress{}, canceled: entry.Canceled, publishedState: entry.Status.State,
		stored: entry.Stored, stream: entry.Stream(),
		criticalPath: entry.Job.CriticalPath(), runtimes: &e.runtimes,
	}
	e.jobs[j.def.ID] = j
	switch s := entry.Status; {
	case s.State.Final():
		// The status is stored concurrently with the progress, not after it, and a state
		// that callers have seen must not change.
		j.p.State, j.p.Ended, j.p.Reason = s.State, s.Ended, s.Reason
		if entry.Progress != nil && !entry.Progress.State.Final() {
			e.markDirty(j)
		}
	case entry.Progress != nil && entry.Progress.Matches(entry.Job):
		j.p = entry.Progress.Clone()
	case entry.Progress != nil:
		e.Logger.Error("stored progress does not match its job", zap.String("job", entry.Job.ID))
	}
	if j.p.Status().State != j.publishedState {
		e.markDirty(j)
	}
	j.overShare = !e.teamLimiter.Allow(j.def.Team, e.teamWeight(j.def.Team), j.def.Accepted)
	if j.p.State.Final() {
		return true
	}
	if j.canceled {
		e.cancelJob(j, entry.CanceledAt)
		return true
	}
	e.active[j.def.ID] = j
	e.Sites.Announce(j.def.SiteVersion)
	if e.Sites.Awaits(j.def.SiteVersion) {
		e.Metrics.newerSite()
		e.Logger.Info("job waits for a newer site", zap.String("job", j.def.ID), zap.String("queue", j.def.Queue), zap.Int64("job-version", j.def.SiteVersion), zap.Bool("no-site", e.Sites.Site() == nil))
		e.readSite()
	}
	if j.def.Occurrences == 0 {
		j.p.Occurrence(j.def, 0)
	} else {
		e.recurring[j.def.ID] = j
	}
	j.wide = !j.def.LongRunning() && e.wideJobs.Add(j.queueKey(), j.def.Work())
	e.adoptRuns(j)
	if !j.p.Started {
		e.pools.arrivals.Add(poolOf(j.def, e.Sites.Site()), j.def.Work(), e.Clock.Now())
	}
	e.wakeLoop()
	return true
}

// readSite reads the operators' records to their end, as the job streams have shown that they
// are behind. The caller holds mu.
func (e *Engine) readSite() {
	if e.Operators == nil || e.readingSite {
		return
	}
	e.readingSite = true
	// Not part of the group: a read isn't canceled, and the term must end at once.
	go func() {
		// It fails at the end of the term only.
		_ = e.Sites.ReadAnnounced(e.ctx, func(ctx context.Context) error { return e.sync(ctx, e.Operators) })
		e.mu.Lock()
		e.readingSite = false
		e.mu.Unlock()
		e.wakeLoop()
	}()
}

// SiteChanged makes the next pass begin at once, as jobs may wait for the site. It takes no
// lock: its caller may hold that of Operators, which a pass waits for.
func (e *Engine) SiteChanged() {
	e.wakeLoop()
}
