package msscheduler

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjoramspan/mshealth"
	"marjoramspan/msjob"
)

// Workers that look healthy and have turned much slower made every job late that had a task
// there. Its tasks must start again elsewhere, after they have ended on the slow worker.
func TestTasksMoveOffWorkersThatTurnSlow(t *testing.T) {
	t.Parallel()
	const slowdown = 60
	w := newTestCluster(t, 4)
	e := w.entry("a")
	s := step(6)
	s.Estimate, s.Need.CPU = 300*time.Millisecond, 2000
	for i := range 4 {
		id := "000000000000000" + strconv.Itoa(i)
		w.submit(&msjob.Job{ID: id, Spec: "run=300ms", Steps: []msjob.Step{s}})
		w.await(e, id, msjob.Completed)
	}
	w.worker("w-1").SetSlowdown(slowdown)
	began := time.Now()
	s.Count = 4
	w.submit(&msjob.Job{ID: "00000000000000ff", Spec: "run=300ms", Steps: []msjob.Step{s}})
	w.await(e, "00000000000000ff", msjob.Completed)
	require.Less(t, time.Since(began), slowdown*s.Estimate/2)
	stopped := 0
	for _, r := range w.journal.Runs() {
		if r.Worker == "w-1" && r.How == "stopped" {
			stopped++
		}
	}
	require.Positive(t, stopped)
	w.requireNoDuplicates()
}

// A worker that fails all tasks at once is always free. It must be out of use after a few,
// also for the next leader.
func TestWorkerThatFailsAllTasksIsTakenOut(t *testing.T) {
	t.Parallel()
	w := newTestCluster(t, 4)
	e := w.entry("a")
	w.submit(&msjob.Job{ID: "0000000000000001", Spec: "run=30ms", Steps: []msjob.Step{step(8)}})
	w.await(e, "0000000000000001", msjob.Completed)
	g := e.current()
	g.mu.Lock()
	now := g.Clock.Now()
	bad := g.workers["w-1"]
	for i := range 2 {
		g.health.Failed(g.healthOf(bad), mshealth.Failure{Job: strconv.Itoa(i)}, now)
	}
	g.ratedAt = time.Time{}
	g.rateWorkers(now)
	require.False(t, bad.usable(now))
	require.Zero(t, g.throughput(bad, now))
	g.mu.Unlock()
	before := len(w.journal.Runs())
	w.submit(&msjob.Job{ID: "0000000000000002", Spec: "run=30ms", Steps: []msjob.Step{step(8)}})
	w.await(e, "0000000000000002", msjob.Completed)
	for _, r := range w.journal.Runs()[before:] {
		require.NotEqual(t, "w-1", r.Worker)
	}
}

// A leader that lacked processor time got reports late. The age of the attempts alone made all
// busy workers slow.
func TestLateReportsMakeNoWorkerSlow(t *testing.T) {
	t.Parallel()
	e := saturatedEngine(t, 2, 1, 1, 1)
	now := e.Clock.Now()
	var j *job
	for _, j = range e.active {
		break
	}
	w := e.workers["w-0000"]
	r := e.newRun(j, msjob.TaskID{Job: j.def.ID}, 1, w)
	r.state, r.answeredAt, r.reportedAt = runStarted, now, now.Add(400*time.Millisecond)
	e.addRun(r)
	now = now.Add(10 * time.Second)
	e.moveStragglers(now)
	e.rateWorkers(now)
	require.Equal(t, mshealth.Sound, w.healthState)
	r.reportedAt = now
	now = now.Add(stragglerInterval)
	e.moveStragglers(now)
	e.rateWorkers(now)
	require.Equal(t, mshealth.Slow, w.healthState, "it still runs ten seconds later")
	require.Less(t, e.throughput(w, now), 0.2)
}

// Long-running tasks stayed on workers that fail or are slow. They leave, but never more at a
// time than their step may miss.
func TestLongRunningTasksLeaveBadWorkers(t *testing.T) {
	t.Parallel()
	w := newTestCluster(t, 4)
	e := w.entry("a")
	w.submit(&msjob.Job{ID: "0000000000000001", Spec: "lasting", Steps: []msjob.Step{longRunning(4, 1)}})
	w.awaitRunning(4)
	g := e.current()
	g.mu.Lock()
	g.health.PoolSize = nil
	for _, id := range []string{"w-1", "w-2"} {
		g.health.Stalled(g.healthOf(g.workers[id]), g.Clock.Now())
	}
	g.mu.Unlock()
	require.Eventually(t, func() bool {
		on, left := 0, 0
		for _, r := range w.journal.Runs() {
			if r.End.IsZero() {
				on++
				left += boolToInt(r.Worker == "w-1" || r.Worker == "w-2")
			}
		}
		require.GreaterOrEqual(t, on, 3)
		return on == 4 && left == 0
	}, eventually, 2*time.Millisecond)
	w.requireNoDuplicates()
}
