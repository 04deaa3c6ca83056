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
		e.noteNoWorker(j, want, pool)
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

// noteNoWorker remembers why no worker of the pool could run a task if it were idle. Workers that
// aren't usable may be able to. pool is nil if it has no workers.
func (e *Engine) noteNoWorker(j *job, want msplace.Requirements, pool *poolSnapshot) {
	switch {
	case pool == nil:
		pool = &poolSnapshot{}
	case pool.unsettled:
		j.blocker = mswait.Unsettled
		return
	case pool.leaving:
		j.blocker = mswait.Leaving
		return
	}
	now, n := e.Clock.Now(), e.countWorkers(j.pool)
	fits := msplace.CountFits(want, pool.placement)
	n.Usable, n.WithLabel, n.WithSize, n.WithSpread = len(pool.placement), fits.Label, fits.Size, fits.Spread
	for i := range e.fleet.vms {
		vm := &e.fleet.vms[i]
		if vm.Pool != j.pool || !vm.Up {
			continue
		}
		v := msplace.Worker{ID: vm.Worker, Labels: vm.Labels, Capacity: vm.Capacity}
		if msplace.CountFits(want, []msplace.Worker{v}).Spread == 0 {
			continue
		}
		if w := e.workers[vm.Worker]; w == nil || w.terminated || !w.exists(now) {
			n.NoEntry++
		} else if w.Pool != j.pool || w.usable(now) {
			n.Differing++
		}
	}
	j.blocker, j.workers = n.Reason(), n
}

// firstRequirements describes a task of the job that could run, apart from what runs already.
func (j *job) firstRequirements() msplace.Requirements {
	for _, r := range j.tasks().ready {
		if r.waiting > 0 {
			return msplace.Requirements{Step: &j.def.Steps[r.step]}
		}
	}
	return msplace.Requirements{Step: &msjob.Step{}}
}

// countWorkers counts the VMs and workers of a pool by what the leader knows of them.
func (e *Engine) countWorkers(pool string) mswait.Workers {
	var n mswait.Workers
	for i := range e.fleet.vms {
		if vm := &e.fleet.vms[i]; vm.Pool == pool {
			n.VMsUp += boolToInt(vm.Up)
		}
	}
	for _, w := range e.workersByID() {
		if w.Pool == pool {
			n.Registered += boolToInt(w.registered)
			n.Answering += boolToInt(w.reachable)
			n.GivenUp += boolToInt(w.terminated)
		}
	}
	return n
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
	e.waits.Note(j.def.ID, j.pool, j.blocker, j.workers, now)
}

// noteAllWaits notes all jobs of which tasks could run, while nothing is placed.
func (e *Engine) noteAllWaits(r mswait.Reason, now time.Time) {
	for _, j := range e.active {
		if len(j.runs) > 0 && !j.def.LongRunning() {
			continue
		}
		for _, s := range j.tasks().ready {
			if s.waiting > 0 {
				e.waits.Note(j.def.ID, j.pool, r, mswait.Workers{}, now)
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
		fields := []zap.Field{
			zap.String("job", c.Job), zap.String("pool", c.Pool), zap.String("reason", string(c.Reason)),
			zap.Duration("reason-for", c.For), zap.Duration("waited", now.Sub(c.Since)),
		}
		if n := c.Workers; n != (mswait.Workers{}) {
			fields = append(fields, zap.Int("vms-up", n.VMsUp), zap.Int("registered", n.Registered), zap.Int("answering", n.Answering), zap.Int("given-up", n.GivenUp),
				zap.Int("usable", n.Usable), zap.Int("with-label", n.WithLabel), zap.Int("with-size", n.WithSize), zap.Int("with-spread", n.WithSpread),
				zap.Int("no-entry", n.NoEntry), zap.Int("differing", n.Differing))
		}
		e.Logger.Info(msg, fields...)
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
