// Package msscheduler runs accepted jobs on workers for the time of one leader's
// term.
//
// An Engine takes over what the records say, raises the fencing token at every
// worker, and compares what the workers list with what the records say, worker by
// worker, before it places anything there. From then on it is a loop of one pass
// at a time: gather what is new, decide, store the changed progress in one append,
// and only then send the orders that rest on it. So a successor finds in the
// records every attempt that may run anywhere.
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
	"marjoramspan/msplace"
	"marjoramspan/mssite"
	"marjoramspan/msworker"
)

// Settings are the times that the platform's contract states.
type Settings struct {
	// LongestLease bounds the lease of what runs on a worker.
	LongestLease time.Duration
	// StatusKept is how long the state of an ended job can be asked for.
	StatusKept time.Duration
	// HolderPause is the least time between VM orders of two holders.
	HolderPause time.Duration
	// MaintenanceTime is how long a VM is away for it.
	MaintenanceTime time.Duration
}

const (
	// maxLease is the longest lease granted. Work on a worker that went silent is
	// started anew after it, and a change of the leader has to fit in.
	maxLease = 4 * time.Second
	// holdover is how long after the end of a valid term leases are still renewed.
	// While the whole log is away nobody else can lead, and work should go on; with
	// the lease it bridges the nine seconds that the log may be away.
	holdover = 5 * time.Second
	// tick is the longest pause between two passes.
	tick = 200 * time.Millisecond
)

// Engine schedules for one term. Its fields are set before Run.
type Engine struct {
	Term   msleader.Term
	Holder string
	Log    msjournal.Log
	// Stream has what every entry reads: jobs, cancels, statuses, the load, and the
	// waves and pools. ProgressStream has the progress of jobs.
	Stream, ProgressStream string
	Jobs                   *msjob.Table
	Journal                *msjournal.Follower
	Registry               *msworker.Registry
	Orders                 msworker.Orders
	VMs                    msworker.VMs
	// Advise answers which workers may run a step, for queues that need it.
	Advise msworker.Advisor
	Sites  *mssite.Store
	// Report tells operators how a wave stands.
	Report func(ctx context.Context, wave int64, completed bool) error
	// Clock counts suspension; Wall is the time of day.
	Clock    msclock.Clock
	Wall     msclock.Clock
	Logger   *zap.Logger
	Metrics  *Metrics
	Settings Settings

	begun   time.Time
	wake    chan struct{}
	deposed chan error
	// progress and public are the two streams; public is written by publish alone.
	progress, public appender
	publishing       chan struct{}

	// mu guards all below and everything that jobs, workers and runs hold. No call
	// of another package that takes a lock of its own is made while it is held,
	// but for reads of the term and the site.
	mu   sync.Mutex
	jobs map[string]*job
	// active has the jobs that haven't ended, dirty those whose progress has changed
	// since it was last stored.
	active, dirty map[string]*job
	workers       map[string]*worker
	runs          map[runKey]*run
	teams         map[string]msjob.Resources
	// waiting has what publish stores next.
	waiting announcement
	// orphaned has the jobs that are forgotten but for their progress.
	orphaned []string
	group    sync.WaitGroup
	ctx      context.Context
	loadAt   time.Time
	// forgotAt is when jobs to forget were last looked for.
	forgotAt time.Time
	load     msjob.Load
	waves    map[int64]*wave
	fleet    fleet
	pools    pools
	// advices is what the advisor has said, advising how many questions are on
	// their way.
	advices  map[stepKey]*advice
	advising int
	// allowance tells which jobs are within their team's share.
	allowance msplace.TeamLimiter
}

// job is a job that has not ended, or whose end is not forgotten yet.
type job struct {
	def      *msjob.Job
	p        *msjob.Progress
	canceled bool
	// published is the newest state that was given to publish.
	published msjob.State
	// runs has the job's attempts that may run.
	runs map[runKey]*run
	// broken has, by step and attempt of a gang, that its failure is counted.
	broken map[gangKey]bool
	// retryAt has when a task may be placed again.
	retryAt map[msjob.TaskID]time.Time
	// excess jobs are beyond their team's share.
	excess bool
	// copied has the tasks of which a copy was started.
	copied map[msjob.TaskID]bool
	// avoid has the workers on which a task has failed.
	avoid map[msjob.TaskID]map[string]bool
}

type gangKey struct {
	occurrence, step, attempt int
}

type runKey struct {
	task    msjob.TaskID
	attempt int
}

// Run schedules until ctx is done or another term has begun, which it returns as
// an error.
func (e *Engine) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer e.group.Wait()
	defer cancel()
	e.ctx = ctx
	e.begun = e.Clock.Now()
	e.wake = make(chan struct{}, 1)
	e.deposed = make(chan error, 1)
	e.publishing = make(chan struct{}, 1)
	e.progress, e.public = appender{stream: e.ProgressStream}, appender{stream: e.Stream}
	e.workers, e.runs = map[string]*worker{}, map[runKey]*run{}
	e.teams = map[string]msjob.Resources{}
	e.waves = map[int64]*wave{}
	e.advices = map[stepKey]*advice{}
	e.pools.leaving = map[string]time.Time{}
	if err := e.takeOver(ctx); err != nil {
		return err
	}
	for _, part := range []func(ctx context.Context){e.manageVMs, e.publish} {
		e.group.Add(1)
		go func() {
			defer e.group.Done()
			part(ctx)
		}()
	}
	return e.loop(ctx)
}

// takeOver shuts out earlier leaders from both streams, then reads them to their
// ends.
func (e *Engine) takeOver(ctx context.Context) error {
	var progress map[string]*msjob.Progress
	var both errgroup.Group
	both.Go(func() (err error) {
		if err = e.store(ctx, &e.progress, nil); err == nil {
			progress, err = e.readProgress(ctx)
		}
		return err
	})
	both.Go(func() error {
		if err := e.store(ctx, &e.public, nil); err != nil {
			return err
		}
		return e.sync(ctx, e.Journal)
	})
	if err := both.Wait(); err != nil {
		return err
	}
	// Jobs that were added before the journal was read to its end would lack what
	// earlier leaders have stored of them.
	e.mu.Lock()
	e.jobs, e.active, e.dirty = map[string]*job{}, map[string]*job{}, map[string]*job{}
	e.mu.Unlock()
	var entries []msjob.TableEntry
	e.Jobs.Each(func(entry msjob.TableEntry) { entries = append(entries, entry) })
	sort.Slice(entries, func(i, k int) bool { return entries[i].Job.Accepted.Before(entries[k].Job.Accepted) })
	for _, entry := range entries {
		entry.Progress = progress[entry.Job.ID]
		delete(progress, entry.Job.ID)
		e.AddJob(entry)
	}
	e.mu.Lock()
	for id := range progress {
		e.orphaned = append(e.orphaned, id)
	}
	e.mu.Unlock()
	n := len(entries)
	e.Logger.Info("journal taken over", zap.Int64("epoch", e.Term.Epoch), zap.Int("jobs", n), zap.Int64("version", e.Journal.Next()))
	return nil
}

// readProgress returns the progress that earlier leaders have stored, by job.
func (e *Engine) readProgress(ctx context.Context) (map[string]*msjob.Progress, error) {
	all := map[string]*msjob.Progress{}
	f := &msjournal.Follower{
		Log: e.Log, Clock: e.Clock, Logger: e.Logger, Stream: e.ProgressStream,
		Reset: func() { clear(all) },
		Apply: func(r msjournal.Record, offset int64) {
			id, p, err := msjob.ParseProgress(msjob.Record{Key: r.Key, Value: r.Value})
			switch {
			case err != nil:
				e.Logger.Warn("record left aside", zap.String("stream", e.ProgressStream), zap.Int64("offset", offset), zap.Error(err))
			case p == nil:
				delete(all, id)
			default:
				all[id] = p
			}
		},
	}
	return all, e.sync(ctx, f)
}

// sync reads a stream to its end, and tries until it can or ctx is done.
func (e *Engine) sync(ctx context.Context, f *msjournal.Follower) error {
	for f.Sync(ctx) != nil {
		if err := msclock.Sleep(ctx, e.Clock, storePause); err != nil {
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
		case err := <-e.deposed:
			return err
		case <-e.wake:
		case <-e.Clock.After(tick):
		}
	}
}

// kick makes the loop pass again soon.
func (e *Engine) kick() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// depose ends the term, as a worker has seen a higher fencing token.
func (e *Engine) depose(err error) {
	select {
	case e.deposed <- err:
	default:
	}
}

// batch is what one pass has decided.
type batch struct {
	// records go onto the stream of progress.
	records []msjournal.Record
	starts  []*run
	acked   map[*worker]int64
}

// pass decides once over all that is known. The caller holds mu.
func (e *Engine) pass(now time.Time) batch {
	begun := e.Clock.Now()
	e.syncWorkers(now)
	e.expire(now)
	b := batch{acked: map[*worker]int64{}}
	e.evacuate(now)
	e.watch(now)
	e.beginRounds()
	b.starts = e.place(now)
	e.collect(&b, now)
	e.Metrics.pass(e.Clock.Now().Sub(begun))
	return b
}

// collect adds the records of what has changed. The caller holds mu.
func (e *Engine) collect(b *batch, now time.Time) {
	for id, j := range e.dirty {
		delete(e.dirty, id)
		r, err := msjob.ProgressRecord(id, j.p)
		if err != nil {
			e.Logger.Error("progress not stored", zap.String("job", id), zap.Error(err))
			continue
		}
		b.records = append(b.records, msjournal.Record{Key: r.Key, Value: r.Value})
		if status := j.p.Status(); status.State != j.published {
			j.published = status.State
			all, err := msjob.StatusRecords(j.def, status)
			e.announce(err, all...)
		}
	}
	e.collectForgotten(b, now)
	for _, w := range e.workers {
		if w.processed > w.acked {
			b.acked[w] = w.processed
		}
	}
	e.announceWaves()
	e.announcePools()
	e.announceLoad(now)
}

// collectForgotten adds the records that drop jobs whose state need not be kept any
// longer. The caller holds mu.
func (e *Engine) collectForgotten(b *batch, now time.Time) {
	for _, id := range e.orphaned {
		r := msjob.DeleteProgressRecord(id)
		b.records = append(b.records, msjournal.Record{Key: r.Key})
	}
	e.orphaned = nil
	if now.Sub(e.forgotAt) < forgetEvery {
		return
	}
	e.forgotAt = now
	wall := e.Wall.Now()
	for id, j := range e.jobs {
		if !j.p.State.Final() || wall.Sub(time.UnixMilli(j.p.Ended)) < e.Settings.StatusKept+forgetMargin || len(j.runs) > 0 {
			continue
		}
		e.announce(nil, msjob.DeleteRecords(id)...)
		e.waiting.forgotten = append(e.waiting.forgotten, id)
		delete(e.jobs, id)
		e.forgetAdvice(id)
	}
}

// forgetMargin is how much longer than promised an ended job is kept, as entries
// read the records late and clocks differ.
const forgetMargin = 20 * time.Second

// forgetEvery is the time between two looks for jobs to forget.
const forgetEvery = 2 * time.Second

// lease is how long a lease is granted for.
func (e *Engine) lease() time.Duration {
	return min(maxLease, e.Settings.LongestLease)
}

// mayRenew says whether leases of running work may still be renewed: while the
// term is valid, and for some time after as nobody may be able to take over.
func (e *Engine) mayRenew() bool {
	return e.Term.ExpiredFor() < holdover
}

// touch notes that a job's progress has changed.
func (e *Engine) touch(j *job) {
	e.dirty[j.def.ID] = j
}

// AddJob takes in a job that was accepted. Before the journal is taken over it does
// nothing.
func (e *Engine) AddJob(entry msjob.TableEntry) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.addJob(entry)
}

// weight is a team's share, in jobs a second.
func (e *Engine) weight(team string) float64 {
	if site := e.Sites.Site(); site != nil {
		return site.Teams[team].Weight
	}
	return 0
}

func (e *Engine) addJob(entry msjob.TableEntry) {
	if e.jobs == nil || e.jobs[entry.Job.ID] != nil {
		return
	}
	j := &job{def: entry.Job, p: &msjob.Progress{}, canceled: entry.Canceled, published: entry.Status.State}
	e.jobs[j.def.ID] = j
	switch s := entry.Status; {
	case s.State.Final():
		// The status is stored beside the progress, not after it, and what callers
		// have been shown stands.
		j.p.State, j.p.Ended, j.p.Reason = s.State, s.Ended, s.Reason
		if entry.Progress != nil && !entry.Progress.State.Final() {
			e.touch(j)
		}
	case entry.Progress != nil && entry.Progress.Matches(entry.Job):
		j.p = entry.Progress.Clone()
	case entry.Progress != nil:
		e.Logger.Error("progress doesn't fit its job", zap.String("job", entry.Job.ID))
	}
	if j.p.Status().State != j.published {
		e.touch(j)
	}
	j.excess = !e.allowance.Allow(j.def.Team, e.weight(j.def.Team), j.def.Accepted)
	if j.p.State.Final() {
		return
	}
	if j.canceled {
		e.end(j, msjob.Canceled, "")
		return
	}
	e.active[j.def.ID] = j
	e.adopt(j)
	if !j.p.Started {
		e.pools.arrivals.Add(poolOf(j.def, e.Sites.Site()), j.def.Work(), e.Clock.Now())
	}
	e.kick()
}

// Cancel ends a job that a caller has cancelled.
func (e *Engine) Cancel(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	j := e.jobs[id] // None before the journal is taken over.
	if j == nil || j.canceled {
		return
	}
	j.canceled = true
	if !j.p.State.Final() {
		e.end(j, msjob.Canceled, "")
	}
	e.kick()
}
