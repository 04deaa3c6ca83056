package msscheduler

import (
	"context"
	"maps"
	"sort"
	"time"

	"go.uber.org/zap"

	"marjoramspan/msplace"
	"marjoramspan/mssite"
	"marjoramspan/msworker"
)

// advice is the advisor's latest answer about one step. Engine.mu guards it.
type advice struct {
	// asked has the workers that requests have named so far, tickets those that may run
	// the step.
	asked   map[string]bool
	tickets map[string]string
	// until is when the tickets expire.
	until time.Time
	// pending is set while a request is in flight.
	pending bool
	// retryAt is the earliest time of the next request after a failure.
	retryAt time.Time
}

const (
	// maxAdviceWorkers bounds the workers named in one request: the advisor spends time
	// on each, and a step is estimated to need about this many.
	maxAdviceWorkers = 30
	// ticketMargin expires tickets early, to leave time for sending a start.
	ticketMargin = 300 * time.Millisecond
	// adviceTimeoutMargin is added to the advisor's stated response time.
	adviceTimeoutMargin = 3 * time.Second
	// adviceRetryDelay is the delay after a failed request.
	adviceRetryDelay = 400 * time.Millisecond
	// maxAdviceRequests bounds the requests in flight; the advisor answers one after
	// another.
	maxAdviceRequests = 2
)

// adviceFor returns the advice for a step if its tickets are valid now, or nil. It requests
// advice where there is none, or more if the workers with tickets have had no room for too long.
// The caller holds mu.
func (e *Engine) adviceFor(k stepKey, q *mssite.Queue, pool *poolSnapshot, more bool, now time.Time) *advice {
	a := e.adviceByStep[k]
	if a == nil {
		a = &advice{}
		e.adviceByStep[k] = a
	}
	var valid *advice
	if len(a.tickets) > 0 && now.Before(a.until) {
		if valid = a; !more {
			return valid
		}
	}
	if now.After(a.until) && !a.pending {
		a.tickets, a.asked = nil, nil
	}
	if a.pending || now.Before(a.retryAt) || e.adviceInFlight >= maxAdviceRequests {
		return valid
	}
	workers := nextAdviceWorkers(a, pool)
	if len(workers) == 0 {
		if valid == nil {
			a.asked = nil
		}
		a.retryAt = now.Add(adviceRetryDelay)
		return valid
	}
	a.pending = true
	e.adviceInFlight++
	e.group.Add(1)
	go func() {
		defer e.group.Done()
		e.requestAdvice(e.ctx, k, a, q.Advisor, workers)
	}()
	return valid
}

// nextAdviceWorkers returns the workers to name in the next request, those with most
// free CPU first.
func nextAdviceWorkers(a *advice, pool *poolSnapshot) []string {
	view := append([]msplace.Worker(nil), pool.placement...)
	sort.SliceStable(view, func(i, k int) bool { return view[i].Free.CPU > view[k].Free.CPU })
	var ids []string
	for i := range view {
		if len(ids) < maxAdviceWorkers && !a.asked[view[i].ID] {
			ids = append(ids, view[i].ID)
		}
	}
	return ids
}

func (e *Engine) requestAdvice(ctx context.Context, k stepKey, a *advice, cfg *mssite.AdvisorConfig, workers []string) {
	limit := cfg.DecisionTime + time.Duration(len(workers))*cfg.TimePerWorker + adviceTimeoutMargin
	actx, cancel := context.WithTimeout(ctx, limit)
	tickets, validity, err := e.Advise(actx, msworker.AdviceRequest{Job: k.job, Occurrence: k.occurrence, Step: k.step, Workers: workers})
	cancel()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.adviceInFlight--
	a.pending = false
	now := e.Clock.Now()
	if err != nil {
		a.retryAt = now.Add(adviceRetryDelay)
		if ctx.Err() == nil {
			e.Logger.Warn("advice request failed", zap.String("job", k.job), zap.Int("step", k.step), zap.Error(err))
		}
		return
	}
	if validity <= 0 {
		validity = cfg.Validity
	}
	if a.asked == nil {
		a.asked = map[string]bool{}
	}
	for _, id := range workers {
		a.asked[id] = true
	}
	// Tickets are issued as the answer is sent, so their validity counts from now.
	until := now.Add(validity - ticketMargin)
	if len(a.tickets) > 0 && now.Before(a.until) {
		// All expire with the first.
		all := maps.Clone(a.tickets)
		maps.Copy(all, tickets)
		tickets = all
		if a.until.Before(until) {
			until = a.until
		}
	}
	a.tickets, a.until = tickets, until
	e.Logger.Info("advice", zap.String("job", k.job), zap.Int("step", k.step), zap.Int("asked", len(workers)), zap.Int("good", len(tickets)), zap.Duration("valid", validity))
	e.wakeLoop()
}

// restrict returns a snapshot of only the workers that have a ticket.
func (a *advice) restrict(pool *poolSnapshot) *poolSnapshot {
	out := &poolSnapshot{sparesOthers: pool.sparesOthers, size: pool.size, capacity: pool.capacity, used: pool.used, protects: pool.protects, held: pool.held}
	for i, w := range pool.workers {
		if a.tickets[w.ID] != "" {
			out.workers = append(out.workers, w)
			out.placement = append(out.placement, pool.placement[i])
		}
	}
	return out
}

// dropEvacuatedAdvice drops the tickets of workers in evacuated data centres. A step that
// is left without tickets asks anew at once.
func (e *Engine) dropEvacuatedAdvice() {
	for _, a := range e.adviceByStep {
		n := len(a.tickets)
		for id := range a.tickets {
			if w := e.workers[id]; w != nil && w.evacuated {
				delete(a.tickets, id)
			}
		}
		if n > 0 && len(a.tickets) == 0 {
			a.until = time.Time{}
		}
	}
}

// deleteAdvice deletes the advice for all steps of a job.
func (e *Engine) deleteAdvice(job string) {
	for k := range e.adviceByStep {
		if k.job == job {
			delete(e.adviceByStep, k)
		}
	}
}
