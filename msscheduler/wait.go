package msscheduler

import (
	"time"

	"go.uber.org/zap"

	"marjoramspan/msjob"
	"marjoramspan/mspause"
	"marjoramspan/msplace"
	"marjoramspan/mswait"
)

// inUse returns the part of the pool that tasks reserve, by the resource of which they reserve
// most. GPUs count only for what wants some.
func (p *poolSnapshot) inUse(wanted msjob.Resources) float64 {
	used := p.used
	if wanted.GPUs == 0 {
		used.GPUs = 0
	}
	return msplace.DominantPart(used, p.capacity)
}

// noteBlocker remembers why a task of the job was given no worker.
func (e *Engine) noteBlocker(j *job, want msplace.Requirements, pool *poolSnapshot) {
	j.blocker = mswait.Full
	if pool.inUse(want.Step.Need) >= mspause.MaxInUse && !want.Step.LongRunning {
		return
	}
	switch msplace.FindBlocker(want, pool.placement) {
	case msplace.BlockedByWorkers:
		j.blocker = pool.noWorker()
	case msplace.BlockedByWithheld:
		j.blocker = mswait.Paused
		if pool.held != nil {
			j.blocker = mswait.HeldForWide
		}
	case msplace.BlockedByIsolation:
		j.blocker = mswait.KeptForTrials
		if want.Group != "" {
			j.blocker = mswait.OnTrial
		}
	case msplace.BlockedByNothing, msplace.BlockedByLoad:
	}
}

// noWorker returns the reason for a task that none of the pool's workers could run if it were
// idle. Workers that aren't usable may be able to.
func (p *poolSnapshot) noWorker() mswait.Reason {
	switch {
	case p.unsettled:
		return mswait.Unsettled
	case p.leaving:
		return mswait.Leaving
	}
	return mswait.NoWorker
}

// noteWait notes a job of which tasks could run and nothing does, if its pool has room. Each
// task of a long-running job should run, however full the pool is. pool is nil if it has no
// workers, or if that doesn't matter.
func (e *Engine) noteWait(j *job, pool *poolSnapshot, now time.Time) {
	if j.blocker == mswait.None || len(j.runs) > 0 && !j.def.LongRunning() {
		return
	}
	if pool != nil && pool.inUse(j.tasks().wanted) >= mspause.MaxInUse && !j.def.LongRunning() {
		return
	}
	e.waits.Note(j.def.ID, j.pool, j.blocker, now)
}

// noteAllWaits notes all jobs of which tasks could run, while nothing is placed.
func (e *Engine) noteAllWaits(r mswait.Reason, now time.Time) {
	for _, j := range e.active {
		if len(j.runs) > 0 && !j.def.LongRunning() {
			continue
		}
		for _, s := range j.tasks().ready {
			if s.waiting > 0 {
				e.waits.Note(j.def.ID, j.pool, r, now)
				break
			}
		}
	}
}

// reportWaits logs the reasons that have begun or ended in the pass and sets the metric.
func (e *Engine) reportWaits(now time.Time) {
	for _, c := range e.waits.EndRound(now) {
		msg := "job waits beside free workers"
		if c.Ended {
			msg = "job no longer waits beside free workers"
		}
		e.Logger.Info(msg, zap.String("job", c.Job), zap.String("pool", c.Pool), zap.String("reason", string(c.Reason)),
			zap.Duration("reason-for", c.For), zap.Duration("waited", now.Sub(c.Since)))
	}
	if now.Sub(e.waitsReportedAt) >= shareReportInterval {
		e.waitsReportedAt = now
		e.Metrics.setWaits(e.waits.Longest(now))
	}
}

const (
	// minPublishedWait is how long a job has to wait beside free workers to be in the load
	// record, maxPublishedWaits how many jobs are for each reason.
	minPublishedWait  = mspause.MaxWait
	maxPublishedWaits = 4
)

// publishedWaits returns the longest waits beside free workers, for the load record. Times are
// of the time of day, rounded so that a wait that goes on changes nothing.
func (e *Engine) publishedWaits(now time.Time) map[string]msjob.Wait {
	var all map[string]msjob.Wait
	for _, w := range e.waits.Over(minPublishedWait, maxPublishedWaits, now) {
		if all == nil {
			all = map[string]msjob.Wait{}
		}
		since := e.Wall.Now().Add(-now.Sub(w.Since)).Round(time.Second)
		all[w.Job] = msjob.Wait{Reason: string(w.Reason), Since: since.Unix()}
	}
	return all
}
