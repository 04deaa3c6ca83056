package msscheduler

import (
	"time"

	"go.uber.org/zap"

	"marjoramspan/mshealth"
	"marjoramspan/msjob"
	"marjoramspan/msplace"
	"marjoramspan/msworker"
)

// defaultRemotePenalty is how many times longer a task takes away from the rack of its data
// where the platform doesn't say.
const defaultRemotePenalty = 1.5

// ratingInterval is the minimum time between two updates of all workers' states. The end of a
// task updates that of its worker at once.
const ratingInterval = 50 * time.Millisecond

// healthCheckInterval is the minimum time between two counts of workers by state.
const healthCheckInterval = time.Second

// healthOf returns what is known of the worker's VM.
func (e *Engine) healthOf(w *worker) *mshealth.Worker {
	key := w.vmName()
	if key == "" {
		key = w.ID
	}
	w.health = e.health.Worker(key, w.Pool, w.Rack, e.Clock.Now())
	return w.health
}

// rateWorkers updates the states of all workers and logs those that have changed. The
// caller holds mu.
func (e *Engine) rateWorkers(now time.Time) {
	if now.Sub(e.ratedAt) < ratingInterval {
		return
	}
	e.ratedAt = now
	full := now.Sub(e.healthCheckAt) >= healthCheckInterval
	if full {
		e.healthCheckAt = now
		e.health.RackSize, e.health.PoolSize = map[string]int{}, map[string]int{}
		for name, c := range e.contacts {
			c.workers = 0
			e.contacts[name] = c
		}
	}
	for _, w := range e.workers {
		if full && w.registered && !w.terminated {
			e.health.RackSize[w.Rack]++
			e.health.PoolSize[w.Pool]++
			if c, ok := e.contacts[w.DataCentre]; ok {
				c.workers++
				e.contacts[w.DataCentre] = c
			}
			e.healthOf(w)
		}
		if w.health != nil {
			w.healthState = e.health.State(w.health, now)
		}
	}
	for _, c := range e.health.Changes() {
		e.Logger.Info("worker rated", zap.String("vm", c.Key), zap.String("pool", c.Pool), zap.String("rack", c.Rack),
			zap.String("from", c.From.String()), zap.String("to", c.To.String()), zap.String("reason", c.Reason),
			zap.Duration("pause", c.Pause), zap.Float64("ratio", c.Ratio))
	}
	if full {
		e.health.Prune(now)
		e.Metrics.workersByHealth(e.health.Count())
	}
}

// rateRunning tells how long an attempt was running when its worker last listed it. Its end may
// have come since, and wait for a leader that lacks processor time or for the log.
func (e *Engine) rateRunning(r *run, now time.Time) {
	ran := r.reportedAt.Sub(r.answeredAt)
	if estimate := e.usualRuntime(r); estimate > 0 && ran > estimate {
		e.health.Running(e.healthOf(r.w), r.image, ran, estimate, now)
	}
}

// contact is the latest report of a data centre's workers.
type contact struct {
	at      time.Time
	workers int
}

const (
	// contactGap is the time without a report from a data centre after which its workers are
	// not blamed: this leader is cut off from them.
	contactGap = 500 * time.Millisecond
	// contactWorkers is how many workers a data centre must have for that. Each of them
	// reports at least every two seconds.
	contactWorkers = 20
)

// noteContact notes that a worker has reported.
func (e *Engine) noteContact(w *worker, now time.Time) {
	if e.contacts == nil {
		e.contacts = map[string]contact{}
	}
	c := e.contacts[w.DataCentre]
	c.at = now
	e.contacts[w.DataCentre] = c
}

// cutOffFrom reports whether the leader is cut off from the worker's data centre.
func (e *Engine) cutOffFrom(w *worker, now time.Time) bool {
	c := e.contacts[w.DataCentre]
	return c.workers >= contactWorkers && now.Sub(c.at) > contactGap
}

// noteUnanswered counts an order or request that the worker did not answer.
func (e *Engine) noteUnanswered(w *worker) {
	if now := e.Clock.Now(); !w.expectedToLeave() && !e.cutOffFrom(w, now) {
		e.health.Unanswered(e.healthOf(w), now)
	}
}

// usualRuntime is the estimate of an attempt's run time at its place, or 0 if its run time
// shows nothing of its worker, such as on a cold one.
func (e *Engine) usualRuntime(r *run) time.Duration {
	s := r.step()
	if s == nil || s.LongRunning || s.Backfill || s.Gang || r.adopted || r.answeredAt.IsZero() || r.resumed || !r.answeredAt.After(r.w.coldUntil) {
		return 0
	}
	if s.DataRack != "" && s.DataRack != r.w.Rack {
		return time.Duration(float64(s.Estimate) * e.remotePenalty())
	}
	return s.Estimate
}

// remotePenalty is how many times longer a task takes away from the rack of its data.
func (e *Engine) remotePenalty() float64 {
	if e.Settings.RemotePenalty >= 1 {
		return e.Settings.RemotePenalty
	}
	return defaultRemotePenalty
}

// imageOf names what a task runs, for comparing run times and failures. Steps without an
// image are told apart by queue.
func imageOf(j *job, s *msjob.Step) string {
	if s.Image != "" {
		return s.Image
	}
	return "queue " + j.def.Queue
}

// noteRuntime counts the run time of an attempt that has succeeded.
func (e *Engine) noteRuntime(r *run, end msworker.End, now time.Time) {
	if estimate := e.usualRuntime(r); end.Reason == msworker.EndDone && estimate > 0 {
		e.health.Ran(e.healthOf(r.w), r.image, now.Sub(r.answeredAt), estimate, now)
	}
}

// rateEnd counts a success or a failure of a task for its worker.
func (e *Engine) rateEnd(w *worker, j *job, end msworker.End, now time.Time) {
	image := imageOf(j, &j.def.Steps[end.Task.Step])
	switch end.Reason {
	case msworker.EndDone:
		e.health.Succeeded(e.healthOf(w), image, now)
	case msworker.EndFailed:
		elsewhere := false
		for o := range j.failedOn {
			elsewhere = elsewhere || o != w && o.healthState != mshealth.Out
		}
		if j.failedOn == nil {
			j.failedOn = map[*worker]bool{}
		}
		j.failedOn[w] = true
		e.health.Failed(e.healthOf(w), mshealth.Failure{Job: j.def.ID, Image: image, Elsewhere: elsewhere}, now)
	case msworker.EndStopped, msworker.EndLapsed, msworker.EndBroken, msworker.EndAlone:
		return
	}
	w.healthState = e.health.State(w.health, now)
}

// noteLoss counts a loss of contact, unless the worker is expected to leave or another one
// has its address.
func (e *Engine) noteLoss(w *worker, err error) {
	if w.expectedToLeave() || !w.reported || e.cutOffFrom(w, e.Clock.Now()) || msworker.ReasonOf(err) == msworker.OtherInstance {
		return
	}
	e.health.Lost(e.healthOf(w), w.startedTasks(), e.Clock.Now())
}

// noteRestart counts a restart that no loss of contact has announced.
func (e *Engine) noteRestart(w *worker) {
	if w.reachable && !w.expectedToLeave() {
		e.health.Lost(e.healthOf(w), w.startedTasks(), e.Clock.Now())
	}
}

// expectedToLeave reports whether the worker was ordered away or has announced that it
// leaves.
func (w *worker) expectedToLeave() bool {
	return w.Draining || w.moving || w.reserved || !w.maintenanceSince.IsZero() || w.terminated
}

// startedTasks reports whether tasks have just started on the worker, which may be the cause
// of a crash.
func (w *worker) startedTasks() bool {
	for _, r := range w.runs {
		if r.mayHaveStarted() && r.recent() {
			return true
		}
	}
	return false
}

// rate tells the placement how far the worker may be used.
func (e *Engine) rate(w *worker, v *msplace.Worker, now time.Time) {
	if w.health != nil {
		v.Proven = e.health.Proven(w.health, now)
	}
	v.Wanted = now.Before(e.wantedRacks[w.Rack])
	switch w.healthState {
	case mshealth.Slow:
		v.LastResort, v.Slowdown = true, w.health.Ratio(now)
	case mshealth.Suspect, mshealth.Probation:
		v.LastResort, v.Limited, v.Slowdown = true, true, mshealth.RiskSlowdown
	case mshealth.Sound, mshealth.Out:
	}
}

// liftLimits lets the workers of a pool run any number of tasks if more than half of them are
// limited to one at a time. Something else is the cause then, and their capacity is needed.
func (p *poolSnapshot) liftLimits() {
	n := 0
	for i := range p.placement {
		n += boolToInt(p.placement[i].Limited)
	}
	if 2*n <= len(p.placement) {
		return
	}
	for i := range p.placement {
		if v := &p.placement[i]; v.Limited {
			v.Limited, v.Slowdown = false, 0
		}
	}
}

// healthRecordDue reports whether the fleet record has to be stored as workers or
// interfering images have changed. The pools' sizes in it must be known first.
func (e *Engine) healthRecordDue() bool {
	if e.pools.baseSizes == nil {
		return false
	}
	now := e.Clock.Now()
	workers, pairs := e.health.RecordDue(now), e.interference.table.RecordDue(now)
	return workers || pairs
}

// restoreHealth takes over what the earlier leader has recorded of workers. The caller holds
// mu.
func (e *Engine) restoreHealth() {
	if f, ok := e.Jobs.Fleet(); ok {
		e.health.Restore(f.Workers, e.Clock.Now(), e.Wall.Now())
		e.restoreInterference(f)
	}
}

// throughput is the fraction of a sound worker's work that a worker does. The size of pools
// and the load count its capacity by it. The caller holds mu.
func (e *Engine) throughput(w *worker, now time.Time) float64 {
	if w.health == nil {
		return 1
	}
	return e.health.Throughput(w.health, now)
}
