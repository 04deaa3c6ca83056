package msscheduler

import (
	"context"
	"sort"
	"time"

	"go.uber.org/zap"

	"marjoramspan/msplace"
	"marjoramspan/mssite"
	"marjoramspan/msworker"
)

// advice is what the advisor has said about a step. mu guards it.
type advice struct {
	// asked has the workers that were asked about, tickets those that may run the
	// step.
	asked   map[string]bool
	tickets map[string]string
	// until is when the tickets end.
	until time.Time
	// pending says that a question is on its way.
	pending bool
	// retry is when to ask again after a failure.
	retry time.Time
}

const (
	// advisedWorkers is how many workers one question names: the advisor takes time
	// for each, and about this many are counted as needed.
	advisedWorkers = 30
	// adviceMargin ends tickets early, for the way of a start.
	adviceMargin = 300 * time.Millisecond
	// adviceTimeout is how much longer than stated a question may take.
	adviceTimeout = 3 * time.Second
	// adviceRetry is the pause after a question that failed.
	adviceRetry = 400 * time.Millisecond
	// adviceCalls is how many questions are on their way at a time; the advisor
	// answers one after another.
	adviceCalls = 2
)

// advised returns the advice about a step if it is good for a start now, and asks
// for it otherwise. The caller holds mu.
func (e *Engine) advised(k stepKey, q *mssite.Queue, rm *room, now time.Time) *advice {
	a := e.advices[k]
	if a == nil {
		a = &advice{}
		e.advices[k] = a
	}
	if len(a.tickets) > 0 && now.Before(a.until) {
		return a
	}
	if now.After(a.until) && !a.pending {
		a.tickets, a.asked = nil, nil
	}
	if a.pending || now.Before(a.retry) || e.advising >= adviceCalls {
		return nil
	}
	workers := unasked(a, rm)
	if len(workers) == 0 {
		a.asked = nil
		a.retry = now.Add(adviceRetry)
		return nil
	}
	a.pending = true
	e.advising++
	e.group.Add(1)
	go func() {
		defer e.group.Done()
		e.askAdvice(e.ctx, k, a, q.Advisor, workers)
	}()
	return nil
}

// unasked returns the workers to ask about next, those with most room first.
func unasked(a *advice, rm *room) []string {
	view := append([]msplace.Worker(nil), rm.view...)
	sort.SliceStable(view, func(i, k int) bool { return view[i].Free.CPU > view[k].Free.CPU })
	var ids []string
	for i := range view {
		if len(ids) < advisedWorkers && !a.asked[view[i].ID] {
			ids = append(ids, view[i].ID)
		}
	}
	return ids
}

func (e *Engine) askAdvice(ctx context.Context, k stepKey, a *advice, cfg *mssite.AdvisorConfig, workers []string) {
	limit := cfg.DecisionTime + time.Duration(len(workers))*cfg.TimePerWorker + adviceTimeout
	actx, cancel := context.WithTimeout(ctx, limit)
	tickets, validity, err := e.Advise(actx, msworker.AdviceRequest{Job: k.job, Occurrence: k.occurrence, Step: k.step, Workers: workers})
	cancel()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advising--
	a.pending = false
	now := e.Clock.Now()
	if err != nil {
		a.retry = now.Add(adviceRetry)
		if ctx.Err() == nil {
			e.Logger.Warn("no advice", zap.String("job", k.job), zap.Int("step", k.step), zap.Error(err))
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
	a.tickets = tickets
	// A ticket is made while the advisor answers, which is when the answer is sent.
	a.until = now.Add(validity - adviceMargin)
	e.Logger.Info("advice", zap.String("job", k.job), zap.Int("step", k.step), zap.Int("asked", len(workers)), zap.Int("good", len(tickets)), zap.Duration("valid", validity))
	e.kick()
}

// restrict leaves only the workers with a ticket.
func (a *advice) restrict(rm *room) *room {
	out := &room{}
	for i, w := range rm.workers {
		if a.tickets[w.ID] != "" {
			out.workers = append(out.workers, w)
			out.view = append(out.view, rm.view[i])
		}
	}
	return out
}

// forgetAdvice drops what was said about a job's steps.
func (e *Engine) forgetAdvice(job string) {
	for k := range e.advices {
		if k.job == job {
			delete(e.advices, k)
		}
	}
}
