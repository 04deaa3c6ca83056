package msscheduler

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjoramspan/msjob"
	"marjoramspan/mspause"
	"marjoramspan/msworker"
)

// maxIdleWait is the longest time for which a job may have nothing running although there is
// room for it twice over.
const maxIdleWait = 3 * time.Second

// awaitWithin waits until a job is in the wanted state, which must be in less time than a job
// may wait beside free capacity.
func (w *testCluster) awaitWithin(e *entry, id string, want msjob.State) {
	w.t.Helper()
	require.Eventually(w.t, func() bool {
		got, ok := e.jobs.Job(id)
		return ok && got.State() == want
	}, maxIdleWait, 5*time.Millisecond, "job %s is not %s", id, want)
}

// Three tasks failed once each, and their only worker got no task for 6 s.
func TestRetriesDontWaitForTheOnlyWorker(t *testing.T) {
	t.Parallel()
	w := newTestCluster(t, 1)
	e := w.entry("a")
	for i := range 3 {
		w.submit(&msjob.Job{ID: fmt.Sprintf("%016x", i), Spec: "run=50ms fail=1", Steps: []msjob.Step{step(1)}})
	}
	for i := range 3 {
		w.awaitWithin(e, fmt.Sprintf("%016x", i), msjob.Completed)
	}
}

// Jobs that always fail paused all workers of their pool, and no other job could start.
func TestFailingJobsDontStopTheirPool(t *testing.T) {
	t.Parallel()
	w := newTestCluster(t, 2)
	e := w.entry("a")
	for i := range 4 {
		w.submit(&msjob.Job{ID: fmt.Sprintf("ff%014x", i), Spec: "run=20ms fail=9", Steps: []msjob.Step{step(2)}})
	}
	for i := range 4 {
		w.await(e, fmt.Sprintf("ff%014x", i), msjob.Failed)
	}
	w.submit(&msjob.Job{ID: "0000000000000001", Spec: "run=50ms", Steps: []msjob.Step{step(1)}})
	w.awaitWithin(e, "0000000000000001", msjob.Completed)
}

// Tasks that show no progress paused all workers of their pool, and no other job could start.
func TestTasksWithoutProgressDontStopTheirPool(t *testing.T) {
	t.Parallel()
	w := newTestCluster(t, 2)
	e := w.entry("a")
	w.submit(&msjob.Job{ID: "ff00000000000000", Spec: "run=30s stuck", Steps: []msjob.Step{step(4)}})
	require.Eventually(t, func() bool {
		stopped := 0
		for _, r := range w.journal.Runs() {
			stopped += boolToInt(!r.End.IsZero())
		}
		return stopped >= 8
	}, eventually, 5*time.Millisecond, "not all tasks were stopped on both workers")
	w.submit(&msjob.Job{ID: "0000000000000001", Spec: "run=50ms", Steps: []msjob.Step{step(1)}})
	w.awaitWithin(e, "0000000000000001", msjob.Completed)
}

// A job that was late beyond use got no worker for as long as a job that could be in time found
// none, although it would not have taken anything from it.
func TestUselessJobStartsBesideOneThatCantStart(t *testing.T) {
	t.Parallel()
	labelled, wide := step(1), step(20)
	labelled.Label, wide.Gang = "gpu", true
	for name, waiting := range map[string]msjob.Step{"label that no worker has": labelled, "gang wider than the pool": wide} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newTestCluster(t, 2)
			w.submitWithObjective("0000000000000001", time.Now(), time.Hour, waiting)
			w.submitWithObjective("0000000000000002", time.Now().Add(-time.Hour), time.Second, step(1))
			e := w.entry("a")
			w.awaitWithin(e, "0000000000000002", msjob.Completed)
		})
	}
}

// A gang that could run in the idle pool held back all room from a job that was late beyond use,
// while a single task ran there.
func TestUselessJobStartsBesideAGangThatWaitsForRoom(t *testing.T) {
	t.Parallel()
	w := newTestCluster(t, 2)
	e := w.entry("a")
	w.submit(&msjob.Job{ID: "0000000000000001", Spec: "run=20s", Steps: []msjob.Step{step(1)}})
	w.awaitRunning(1)
	gang := step(8)
	gang.Gang = true
	w.submitWithObjective("0000000000000002", time.Now(), time.Hour, gang)
	w.submitWithObjective("0000000000000003", time.Now().Add(-time.Hour), time.Second, step(1))
	w.awaitWithin(e, "0000000000000003", msjob.Completed)
}

// The workers with a label were paused, and the tasks that need it waited beside them.
func TestTasksStartOnPausedWorkersIfThereAreNoOthers(t *testing.T) {
	t.Parallel()
	w := newTestCluster(t, 6)
	e := w.entry("a")
	w.submit(&msjob.Job{ID: "0000000000000001", Spec: "run=20ms", Steps: []msjob.Step{step(1)}})
	w.await(e, "0000000000000001", msjob.Completed)
	ids := w.label("gpu", 2)
	g := e.current()
	g.mu.Lock()
	for _, id := range ids {
		g.workers[id].pauses.Add(mspause.Unhealthy, g.Clock.Now(), time.Hour)
	}
	g.mu.Unlock()
	labelled := step(2)
	labelled.Label = "gpu"
	w.submit(&msjob.Job{ID: "0000000000000002", Spec: "run=20ms", Steps: []msjob.Step{labelled}})
	w.awaitWithin(e, "0000000000000002", msjob.Completed)
}

// All workers were kept for tasks on trial, and no other job could start until these had run for
// long enough.
func TestJobsDontWaitForTheTrialsOfOthers(t *testing.T) {
	t.Parallel()
	w := newTestCluster(t, 2)
	e := w.entry("a")
	apart := step(2)
	apart.MaxPerWorker = 1
	w.submit(&msjob.Job{ID: "0000000000000001", Spec: "run=20s", Steps: []msjob.Step{apart}})
	w.awaitRunning(2)
	g := e.current()
	g.mu.Lock()
	for _, r := range g.runs {
		r.suspect, r.isolated, r.group, r.trialTime = true, true, r.task.Job, msjob.MaxTrialTime
		r.w.attemptsChanged()
	}
	g.mu.Unlock()
	w.submit(&msjob.Job{ID: "0000000000000002", Spec: "run=20ms", Steps: []msjob.Step{step(1)}})
	w.awaitWithin(e, "0000000000000002", msjob.Completed)
}

// submitWithObjective stores a job with a latency objective of at least slack.
func (w *testCluster) submitWithObjective(id string, accepted time.Time, slack time.Duration, s msjob.Step) {
	w.t.Helper()
	j := &msjob.Job{
		ID: id, Queue: "plan", Pool: "booth", Spec: "run=50ms", Attempts: 3, Accepted: accepted.UTC(),
		Stretch: 1.5, Slack: slack, Steps: []msjob.Step{s},
	}
	r, err := msjob.JobRecord(j)
	require.NoError(w.t, err)
	w.log.Put("jobs", r.Key, r.Value)
}

// Workers that reject all starts as unhealthy got one in each pass, as not all of them are paused.
func TestStartsThatAreRejectedAreBounded(t *testing.T) {
	t.Parallel()
	for _, workers := range []int{1, 2, 4} {
		t.Run(fmt.Sprint(workers), func(t *testing.T) {
			t.Parallel()
			w := newTestCluster(t, workers)
			var starts atomic.Int64
			w.configure = func(g *Engine) {
				g.Orders.Start = func(_ context.Context, entry msworker.Worker, _ msworker.Start) (time.Duration, error) {
					starts.Add(1)
					return 0, &msworker.Error{Worker: entry.ID, Reason: msworker.Unhealthy}
				}
			}
			w.entry("a")
			w.submit(&msjob.Job{ID: "0000000000000001", Spec: "run=50ms", Steps: []msjob.Step{step(1)}})
			require.Eventually(t, func() bool { return starts.Load() > 0 }, eventually, time.Millisecond)
			time.Sleep(3 * time.Second)
			require.Less(t, starts.Load(), int64(11*workers), "a start each 0.3 s on each worker")
		})
	}
}

// A worker that fails its tasks was used again as soon as one that ran there before had succeeded.
func TestPauseOutlastsTasksThatStartedBefore(t *testing.T) {
	t.Parallel()
	e := saturatedEngine(t, 4, 1, 1, 0)
	now := e.Clock.Now()
	for _, w := range e.workersByID() {
		for range 10 {
			w.failures.Succeed(now)
		}
	}
	bad := e.workersByID()[3]
	for i := range 3 {
		bad.failures.Fail(fmt.Sprint(i), now)
	}
	e.pauseWorkers(now)
	require.True(t, bad.paused())
	bad.failures.Succeed(now.Add(100 * time.Millisecond))
	e.pauseWorkers(now.Add(100 * time.Millisecond))
	require.True(t, bad.paused())
	e.pauseWorkers(now.Add(10 * time.Second))
	require.False(t, bad.paused())
}

// One trial after another took the workers with a label, and another job that needs it had none.
func TestTrialsInSeriesDontKeepALabelFromOthers(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		labelled int
		useless  bool
	}{{1, false}, {2, false}, {1, true}} {
		t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
			t.Parallel()
			w := newTestCluster(t, 6)
			e := w.entry("a")
			w.label("gpu", c.labelled)
			const trials = 50
			later, gpu := step(1), step(1)
			later.Label, gpu.Label = "later", "gpu"
			for i := range trials {
				w.submitWithObjective(fmt.Sprintf("aa%014x", i), time.Now(), time.Hour, later)
			}
			require.Eventually(t, func() bool { return e.current() != nil }, eventually, time.Millisecond)
			g := e.current()
			require.Eventually(t, func() bool {
				g.mu.Lock()
				defer g.mu.Unlock()
				if len(g.jobs) < trials {
					return false
				}
				for i := range trials {
					j := g.jobs[fmt.Sprintf("aa%014x", i)]
					j.p.Occurrences[0].Steps[0][0].Crashes = 1
					j.def.Spec, j.def.Steps[0].Label = "run=250ms", "gpu"
					j.tasksChanged()
				}
				return true
			}, eventually, time.Millisecond)
			if c.useless {
				w.submitWithObjective("0000000000000002", time.Now().Add(-time.Hour), time.Second, gpu)
			} else {
				w.submitWithObjective("0000000000000002", time.Now(), time.Hour, gpu)
			}
			w.awaitWithin(e, "0000000000000002", msjob.Completed)
		})
	}
}

// The only workers with a label were kept free, as their pool needed fewer VMs.
func TestTasksStartOnWorkersThatThePoolNoLongerNeeds(t *testing.T) {
	t.Parallel()
	w := newTestCluster(t, 6)
	e := w.entry("a")
	w.submit(&msjob.Job{ID: "0000000000000001", Spec: "run=20ms", Steps: []msjob.Step{step(1)}})
	w.await(e, "0000000000000001", msjob.Completed)
	ids := w.label("gpu", 2)
	g := e.current()
	g.mu.Lock()
	for _, id := range ids {
		g.workers[id].scalingDown = true
	}
	g.mu.Unlock()
	labelled := step(2)
	labelled.Label = "gpu"
	w.submit(&msjob.Job{ID: "0000000000000002", Spec: "run=20ms", Steps: []msjob.Step{labelled}})
	w.awaitWithin(e, "0000000000000002", msjob.Completed)
}

// A backlog that had waited in a full pool started in spite of all protections as soon as there
// was room.
func TestTimeInAFullPoolIsNoWaitBesideFreeWorkers(t *testing.T) {
	t.Parallel()
	j := &job{def: &msjob.Job{Steps: []msjob.Step{step(1)}}, p: &msjob.Progress{}}
	now := time.Unix(1000, 0)
	full := &poolSnapshot{capacity: msjob.Resources{CPU: 8}, used: msjob.Resources{CPU: 8}}
	room := &poolSnapshot{capacity: msjob.Resources{CPU: 8}, used: msjob.Resources{CPU: 3}}
	j.noteIdle(full, now)
	require.True(t, j.idleSince.IsZero())
	j.noteIdle(room, now.Add(time.Minute))
	require.False(t, j.givesWay)
	j.noteIdle(room, now.Add(time.Minute+mspause.MaxWait))
	require.True(t, j.givesWay)
}

// label gives n workers a label and returns their IDs.
func (w *testCluster) label(label string, n int) []string {
	var ids []string
	for id, entry := range w.reg.All() {
		if len(ids) < n {
			entry.Labels = []string{label}
			w.reg.Set(entry)
			ids = append(ids, id)
		}
	}
	return ids
}
