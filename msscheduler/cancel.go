package msscheduler

import (
	"time"

	"go.uber.org/zap"

	"marjoramspan/msjob"
)

// Cancel ends a job that a caller has canceled. It does nothing until the journal is taken
// over; AddJob looks again.
func (e *Engine) Cancel(id string) {
	e.mu.Lock()
	known := e.jobs[id] != nil
	e.mu.Unlock()
	if !known {
		return
	}
	entry, _ := e.Jobs.Job(id)
	e.mu.Lock()
	defer e.mu.Unlock()
	j := e.jobs[id]
	if j == nil || j.canceled {
		return
	}
	j.canceled = true
	if !j.p.State.Final() {
		e.cancelJob(j, entry.CanceledAt)
	}
	e.wakeLoop()
}

// cancelJob ends a job as canceled. stored is when its cancel was stored, or zero if that is
// not known. The caller holds mu.
func (e *Engine) cancelJob(j *job, stored time.Time) {
	fields := []zap.Field{zap.String("job", j.def.ID), zap.Int("stream", j.stream), zap.Int("attempts", len(j.runs))}
	if !stored.IsZero() {
		after := e.Wall.Now().Sub(stored)
		e.Metrics.cancel("known", after)
		fields = append(fields, zap.Duration("stored-ago", after))
	}
	e.Logger.Info("cancel known", fields...)
	j.canceledAt = e.Clock.Now()
	e.endJob(j, msjob.Canceled, "")
	e.noteCanceled(j)
}

// noteCanceled records that no attempt of a canceled job is left, once that is so.
func (e *Engine) noteCanceled(j *job) {
	if j.canceledAt.IsZero() || len(j.runs) > 0 {
		return
	}
	took := e.Clock.Now().Sub(j.canceledAt)
	j.canceledAt = time.Time{}
	e.Metrics.cancel("stopped", took)
	e.Logger.Info("canceled job has stopped", zap.String("job", j.def.ID), zap.Duration("took", took))
}

// slowStop is the time after which a stop that is not confirmed is logged: workers answer
// within milliseconds, and list the end in their next report.
const slowStop = time.Second

// logSlowStop logs once that an attempt may still run though its stop was ordered a while ago.
func (e *Engine) logSlowStop(r *run, now time.Time) {
	if r.state != runStopping || r.stopLogged || now.Sub(r.stopAt) < slowStop {
		return
	}
	r.stopLogged = true
	e.Logger.Warn("attempt not stopped yet", zap.String("task", r.task.String()), zap.Int("attempt", r.attempt),
		zap.String("worker", r.w.ID), zap.Duration("since", now.Sub(r.stopAt)), zap.Bool("answered", !r.answeredAt.IsZero()),
		zap.Bool("registered", r.w.registered), zap.Bool("reachable", r.w.reachable), zap.Bool("listed", r.reportedAt.After(r.stopAt)),
		zap.Bool("uncertain", r.uncertain), zap.Bool("canceled", r.job != nil && r.job.canceled))
}
