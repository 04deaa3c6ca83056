package msscheduler

import (
	"context"
	"time"

	"go.uber.org/zap"

	"marjoramspan/msworker"
)

// throttleWorker slows down the backfill tasks on a worker whose serving tasks are near
// their latency target, and speeds them up again afterwards. The caller holds mu.
func (e *Engine) throttleWorker(w *worker, now time.Time) {
	worst, backfilling := 0.0, false
	for _, r := range w.runs {
		s := r.step()
		if s == nil || r.state != runStarted {
			continue
		}
		if s.TailLatencyTarget > 0 && r.usage > 0 {
			worst = max(worst, float64(time.Duration(r.usage)*time.Millisecond)/float64(s.TailLatencyTarget))
		}
		backfilling = backfilling || s.Backfill
	}
	if !backfilling {
		return
	}
	percent, changed := w.throttle.Decide(worst, now)
	if changed {
		e.Logger.Info("pace changed", zap.String("worker", w.ID), zap.Int("percent", percent), zap.Float64("tail-to-target", worst))
	}
	for _, r := range w.runs {
		if s := r.step(); s != nil && s.Backfill && r.state == runStarted && r.throttlePercent != percent && !r.throttlePending {
			r.throttlePending = true
			e.group.Add(1)
			go func() {
				defer e.group.Done()
				e.throttleRun(e.ctx, r, percent)
			}()
		}
	}
}

// throttleRun sends one throttle request; after a failure the next report sends it
// again.
func (e *Engine) throttleRun(ctx context.Context, r *run, percent int) {
	octx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	e.mu.Lock()
	entry, token := r.w.Worker, e.tokenFor(r.w)
	e.mu.Unlock()
	sent := e.Clock.Now()
	_, err := e.Orders.Throttle(octx, entry, msworker.Throttle{Task: r.task, Attempt: r.attempt, Percent: percent, Token: token})
	e.Metrics.order("pace", err, e.Clock.Now().Sub(sent))
	e.mu.Lock()
	defer e.mu.Unlock()
	r.throttlePending = false
	if err == nil {
		r.throttlePercent = percent
		return
	}
	switch msworker.ReasonOf(err) {
	case msworker.Unknown:
		r.throttlePercent = unknownPercent
	case msworker.Fenced:
		e.callFenced(r.w, token, err)
	}
}
