package msscheduler

import (
	"context"
	"time"

	"go.uber.org/zap"

	"marjoramspan/msworker"
)

// paceWorker slows down the filling tasks on a worker whose serving tasks are near
// their target, and lets them speed up again. The caller holds mu.
func (e *Engine) paceWorker(w *worker, now time.Time) {
	worst, filling := 0.0, false
	for _, r := range w.runs {
		s := r.step()
		if s == nil || r.state != runStarted {
			continue
		}
		if s.TailLatencyTarget > 0 && r.usage > 0 {
			worst = max(worst, float64(time.Duration(r.usage)*time.Millisecond)/float64(s.TailLatencyTarget))
		}
		filling = filling || s.Backfill
	}
	if !filling {
		return
	}
	percent, changed := w.pacer.Decide(worst, now)
	if changed {
		e.Logger.Info("pace changed", zap.String("worker", w.ID), zap.Int("percent", percent), zap.Float64("tail-to-target", worst))
	}
	for _, r := range w.runs {
		if s := r.step(); s != nil && s.Backfill && r.state == runStarted && r.pace != percent && !r.pacing {
			r.pacing = true
			e.group.Add(1)
			go func() {
				defer e.group.Done()
				e.paceRun(e.ctx, r, percent)
			}()
		}
	}
}

// paceRun sends one pace; the next report sends it again where it failed.
func (e *Engine) paceRun(ctx context.Context, r *run, percent int) {
	octx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	sent := e.Clock.Now()
	_, err := e.Orders.Throttle(octx, r.w.Worker, msworker.Throttle{Task: r.task, Attempt: r.attempt, Percent: percent, Token: e.Term.Epoch})
	e.Metrics.order("pace", err, e.Clock.Now().Sub(sent))
	e.mu.Lock()
	defer e.mu.Unlock()
	r.pacing = false
	if err == nil {
		r.pace = percent
		return
	}
	if msworker.ReasonOf(err) == msworker.Fenced {
		e.depose(err)
	}
}
