package msscheduler

import (
	"time"

	"go.uber.org/zap"

	"marjoramspan/msjob"
	"marjoramspan/msplace"
	"marjoramspan/mssite"
)

// countShare counts a new attempt in its team's share of the pool. Long-running tasks
// don't count: they never compete with jobs that end, and would push their team's other
// jobs back for as long as they run. Backfill tasks only use what is idle.
func (e *Engine) countShare(r *run) {
	s := r.step()
	if s == nil || s.LongRunning || s.Backfill {
		return
	}
	r.pool = r.job.poolIn(e.Sites.Site())
	e.shares.Start(r.pool, r.team, r.need, s.Estimate, e.Clock.Now())
}

// uncountShare counts off an attempt that has ended or was never started.
func (e *Engine) uncountShare(r *run) {
	switch s := r.step(); {
	case r.pool == "" || s == nil:
	case r.state == runPlanned:
		e.shares.Undo(r.pool, r.team, r.need, s.Estimate)
	default:
		e.shares.End(r.pool, r.team, r.need)
	}
}

// poolCapacities returns the capacity of the usable workers of each pool.
func (e *Engine) poolCapacities(now time.Time) map[string]msjob.Resources {
	all := map[string]msjob.Resources{}
	for _, w := range e.workers {
		if w.acceptsTasks(now) {
			all[w.Pool] = all[w.Pool].Plus(w.Capacity)
		}
	}
	return all
}

// teamWeight returns the weight of a team's share, or the default if it has none.
func teamWeight(team string, site *mssite.Site, defaultWeight float64) float64 {
	if site != nil {
		if t, ok := site.Teams[team]; ok && t.Weight > 0 {
			return t.Weight
		}
	}
	return defaultWeight
}

// meanWeight returns the mean weight of the teams. Jobs without a team, and of teams
// without a weight, compete for capacity as those of an average team.
func meanWeight(site *mssite.Site) float64 {
	if site == nil {
		return 1
	}
	sum, n := 0.0, 0
	for _, t := range site.Teams {
		if t.Weight > 0 {
			sum += t.Weight
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return sum / float64(n)
}

// fullPoolLogInterval is the minimum time between two log lines on the order in a pool. A
// pool stays full for seconds, and a leader makes tens of passes a second.
const fullPoolLogInterval = time.Second

// logFullPool logs which job went first in a pool in which tasks found no worker, and why.
func (e *Engine) logFullPool(pool string, held *worker, ranked []*msplace.Candidate, now time.Time) {
	if last, ok := e.fullPools[pool]; ok && now.Sub(last) < fullPoolLogInterval {
		return
	}
	if e.fullPools == nil {
		e.fullPools = map[string]time.Time{}
	}
	e.fullPools[pool] = now
	var first *msplace.Candidate
	inTime, late, useless := 0, 0, 0
	for _, c := range ranked {
		switch {
		case c.Pool != pool || c.LongRunning:
		case c.Useless():
			useless++
		case c.Late():
			late++
		default:
			inTime++
			if first == nil && !c.Started {
				first = c
			}
		}
	}
	fields := []zap.Field{zap.String("pool", pool), zap.Int("in-time", inTime), zap.Int("late", late), zap.Int("useless", useless)}
	if held != nil {
		fields = append(fields, zap.String("held", held.ID))
	}
	if first != nil {
		fields = append(fields, zap.String("next", first.ID), zap.String("team", first.Team), zap.Float64("weight", first.Weight),
			zap.Float64("share", first.Share), zap.Duration("slack", first.Slack))
	}
	e.Logger.Info("pool full", fields...)
}

// shareReportInterval is the minimum time between two updates of the teams' metrics.
const shareReportInterval = time.Second

// reportShares sets the metrics of the teams if they are due.
func (e *Engine) reportShares(now time.Time) {
	if e.Metrics == nil || now.Sub(e.sharesReportedAt) < shareReportInterval {
		return
	}
	e.sharesReportedAt = now
	capacity := e.poolCapacities(now)
	cores, shares := map[string]float64{}, map[string]float64{}
	e.shares.Each(func(pool, team string, running msjob.Resources) {
		cores[team] += float64(running.CPU) / milliCoresPerCore
		shares[team] = max(shares[team], e.shares.Share(pool, team, capacity[pool], now))
	})
	for team := range cores {
		e.Metrics.setShare(team, cores[team], shares[team])
	}
}

// milliCoresPerCore is the number of CPU units in a core.
const milliCoresPerCore = 1000

// recordOutcome counts a job as in time or late, once.
func (e *Engine) recordOutcome(j *job, inTime bool) {
	if !j.outcomeKnown && !j.def.LongRunning() {
		j.outcomeKnown = true
		e.wideJobs.End(j.queueKey(), j.wide, inTime)
	}
}

// holdForWide keeps a worker free for tasks that found none, if they are of a wide job that
// can be in time and such jobs of its queue are in time too seldom. It is the first such job
// in the order of the pass, and the next pass decides anew: the time is bounded by the
// job's slack.
func (e *Engine) holdForWide(j *job, want msplace.Requirements, pool *poolSnapshot) {
	if pool.held != nil || !j.order.Starved || j.order.Late() || want.Group != "" {
		return
	}
	if n := msplace.Hold(want, pool.placement); n >= 0 {
		pool.held, pool.protects = pool.workers[n], true
	}
}
