package msscheduler

import (
	"context"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"marjoramspan/msjob"
	"marjoramspan/mspause"
	"marjoramspan/msworker"
)

// TestViewsFollowChanges guards against a change of a task or an attempt that leaves the
// kept summaries of its job or its worker as they were: tasks would then wait for ever, or
// be placed by a state that no longer holds.
func TestViewsFollowChanges(t *testing.T) {
	e := saturatedEngine(t, 20, 3, 4, 30)
	e.Term = validTerm(t)
	// Orders to stop attempts are not sent.
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	e.ctx = ctx
	random := rand.New(rand.NewPCG(7, 7))
	reasons := []msworker.EndReason{msworker.EndDone, msworker.EndDone, msworker.EndFailed, msworker.EndStopped}
	seq := map[string]int64{}
	for round := range 300 {
		e.mu.Lock()
		now := e.Clock.Now()
		for _, w := range e.workersByID() {
			w.pauses, w.failures = mspause.Pauses{}, mspause.Failures{}
			var ends []msworker.End
			var running []msworker.Run
			for k, r := range w.runs {
				switch {
				case random.IntN(4) == 0:
					seq[w.ID]++
					ends = append(ends, msworker.End{Seq: seq[w.ID], Task: k.task, Attempt: k.attempt, Reason: reasons[random.IntN(len(reasons))]})
				case random.IntN(20) == 0:
					e.markLost(r, notEnded, "test")
				default:
					running = append(running, msworker.Run{Task: k.task, Attempt: k.attempt, Percent: random.IntN(100)})
				}
			}
			e.handleReport(w, now, e.Term.Epoch, msworker.Report{Running: running, Ended: ends})
		}
		if round%50 == 49 {
			for id := range e.active {
				e.endJob(e.active[id], msjob.Canceled, "")
				break
			}
		}
		for _, r := range e.pass(now).starts {
			r.state = runOrdered
		}
		e.unpublished = publication{}
		requireFreshViews(t, e)
		active := len(e.active)
		e.mu.Unlock()
		if active == 0 {
			return
		}
	}
	require.Fail(t, "jobs are left that never end")
}

// requireFreshViews compares all kept summaries with new ones.
func requireFreshViews(t *testing.T, e *Engine) {
	t.Helper()
	for _, j := range e.active {
		kept := *j.tasks()
		kept.paths, kept.ready = append([]occurrencePath{}, kept.paths...), append([]readyStep{}, kept.ready...)
		j.tasksChanged()
		fresh := *j.tasks()
		fresh.paths, fresh.ready = append([]occurrencePath{}, fresh.paths...), append([]readyStep{}, fresh.ready...)
		require.Equal(t, fresh, kept)
	}
	require.Len(t, e.workersByID(), len(e.workers))
	for _, w := range e.workers {
		kept := w.attemptCounts()
		w.attemptsChanged()
		require.Equal(t, w.attemptCounts(), kept)
	}
	require.Len(t, e.activeJobs(), len(e.active))
}
