package msscheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjoramspan/msjob"
	"marjoramspan/mspause"
	"marjoramspan/mssite"
	"marjoramspan/msworker"
)

// lockedEngine returns an engine with a valid term and idle workers, of which the test holds mu.
func lockedEngine(t *testing.T, workers, teams int) (*Engine, time.Time) {
	e := saturatedEngine(t, workers, 1, teams, -workers)
	e.Term = validTerm(t)
	e.mu.Lock()
	t.Cleanup(e.mu.Unlock)
	return e, e.Clock.Now()
}

// placeFor makes a pass each 100 ms.
func placeFor(e *Engine, from time.Time, d time.Duration) {
	for at := time.Duration(0); at < d; at += 100 * time.Millisecond {
		e.place(from.Add(at))
	}
}

// addJob adds a job of queue-0.
func addJob(e *Engine, id string, steps ...msjob.Step) *job {
	e.addJob(msjob.TableEntry{Job: &msjob.Job{ID: id, Queue: "queue-0", Pool: "pool-0", Spec: "run=1s", Steps: steps, Attempts: 3, Stretch: 1.6, Slack: time.Hour, Accepted: time.Now()}})
	return e.jobs[id]
}

// stepOf returns a step of n tasks.
func stepOf(cpu int64, n int) msjob.Step {
	return msjob.Step{Count: n, Need: msjob.Resources{CPU: cpu, Memory: 10}, Estimate: time.Second}
}

// A job that had waited for a second took the place of one that had begun, with nothing paused.
func TestStartedJobsGoBeforeThoseThatHaveWaitedLong(t *testing.T) {
	t.Parallel()
	e, now := lockedEngine(t, 8, 0)
	for i, w := range e.workersByID() {
		if i < 2 {
			w.Labels = []string{"gpu"}
		}
	}
	s := stepOf(16000, 8)
	s.Label = "gpu"
	a := addJob(e, "0000000000000001", s)
	e.place(now)
	require.Len(t, a.runs, 4)
	s.Count = 1
	b := addJob(e, "0000000000000002", s)
	b.def.Priority = 1
	placeFor(e, now, 2*time.Second)
	for _, r := range a.runs {
		e.handleEnd(r.w, msworker.End{Seq: 1, Task: r.task, Attempt: r.attempt, Reason: msworker.EndDone}, now)
		break
	}
	e.place(now.Add(2100 * time.Millisecond))
	require.Len(t, a.runs, 4, "the job that has begun, of priority 0, lost its turn to %d task of one of priority 1", len(b.runs))
}

// In each pass a gang without room for all its members left its mark on the workers, and a task on trial found none.
func TestGangWithoutRoomKeepsNoWorkerFromTrials(t *testing.T) {
	t.Parallel()
	e, now := lockedEngine(t, 2, 0)
	a := addJob(e, "0000000000000001", stepOf(8000, 1))
	e.place(now)
	for _, r := range a.runs { // runs on, long confirmed
		r.confirmedAt, r.reportedAt = now.Add(-time.Minute), now
		r.w.attemptsChanged()
	}
	g := stepOf(8000, 8)
	g.Gang = true
	addJob(e, "0000000000000002", g)
	placeFor(e, now, 1500*time.Millisecond)
	now = now.Add(1500 * time.Millisecond)
	s := addJob(e, "0000000000000003", stepOf(8000, 1))
	s.def.Slack = 2 * time.Hour
	s.p.Occurrences[0].Steps[0][0].Crashes = 1
	s.tasksChanged()
	placeFor(e, now, 6*time.Second)
	require.NotEmpty(t, s.runs, "blocker %s", s.blocker)
}

// A search for a task without a label hid that all workers with a label were paused.
func TestTasksStartOnPausedWorkersBesideOthersThatWait(t *testing.T) {
	t.Parallel()
	for _, first := range []bool{false, true} {
		t.Run(fmt.Sprint("unlabelled-waits=", first), func(t *testing.T) {
			e, now := lockedEngine(t, 6, 0)
			for i, w := range e.workersByID() {
				if i < 2 {
					w.Labels = []string{"gpu"}
					w.pauses.Add(mspause.Unhealthy, now, time.Hour)
				}
			}
			addJob(e, "0000000000000001", stepOf(32000, 4))
			if first {
				addJob(e, "0000000000000002", stepOf(1000, 1))
			}
			e.place(now)
			e.place(now.Add(10 * time.Millisecond))
			g := stepOf(4000, 1)
			g.Label = "gpu"
			j := addJob(e, "0000000000000003", g)
			placeFor(e, now, 5*time.Second)
			require.NotEmpty(t, j.runs, "blocker %s", j.blocker)
		})
	}
}

// A job that had waited too long put all its tasks on workers that reject them.
func TestOneTaskStartsOnPausedWorkers(t *testing.T) {
	t.Parallel()
	e, now := lockedEngine(t, 6, 0)
	for i, w := range e.workersByID() {
		if i < 3 {
			w.pauses.Add(mspause.Unhealthy, now, time.Hour)
		} else if i < 5 {
			w.used = w.Capacity
		} else {
			w.used = msjob.Resources{CPU: 20000}
		}
	}
	// 84 of 192 in use
	j := addJob(e, "0000000000000002", stepOf(16000, 6))
	for k := range 30 {
		if e.place(now.Add(time.Duration(k) * 100 * time.Millisecond)); len(j.runs) > 0 {
			break
		}
	}
	n := 0
	for _, r := range j.runs {
		n += boolToInt(r.w.paused())
	}
	require.LessOrEqual(t, n, 1, "of %d", len(j.runs))
}

// A backlog that had waited for the limit of its team overrode all protections.
func TestTimeAtTheTeamLimitIsNoWaitBesideFreeWorkers(t *testing.T) {
	t.Parallel()
	e, now := lockedEngine(t, 4, 1)
	s := *e.Sites.Site()
	s.Version = 2
	s.Teams = map[string]mssite.Team{"team-0": {Name: "team-0", Weight: 1000, Limit: msjob.Resources{CPU: 8000}}}
	e.Sites.Set(&s)
	j := addJob(e, "0000000000000002", stepOf(8000, 1))
	j.def.Team = "team-0"
	e.teams["team-0"] = msjob.Resources{CPU: 8000}
	placeFor(e, now, 3*time.Second)
	require.False(t, j.givesWay)
}

// With most of the workers in use draining, a job waited beside idle ones that were paused.
func TestDrainingWorkersAreRoomOfThePool(t *testing.T) {
	t.Parallel()
	e, now := lockedEngine(t, 10, 0)
	for i, w := range e.workersByID() {
		switch {
		case i < 2:
			w.pauses.Add(mspause.Unhealthy, now, time.Hour)
		case i < 6:
			w.used = w.Capacity
		default:
			w.Draining = true // 4 of 10
		}
	}
	j := addJob(e, "0000000000000002", stepOf(1000, 1))
	placeFor(e, now, 6*time.Second)
	require.NotEmpty(t, j.runs, "4 of 10 in use, blocker %s", j.blocker)
}

// The only GPU was taken, and a job without need of it waited for the trials of others.
func TestTakenGPUsAreNoLoadForOthers(t *testing.T) {
	t.Parallel()
	for _, gpu := range []bool{false, true} {
		t.Run(fmt.Sprint("gpu=", gpu), func(t *testing.T) {
			e, now := lockedEngine(t, 4, 0)
			e.workersByID()[0].Capacity.GPUs = 1
			tr := stepOf(1000, 4)
			tr.MaxPerWorker = 1
			a := addJob(e, "0000000000000001", tr)
			if gpu {
				g := stepOf(1000, 1)
				g.Need.GPUs = 1
				addJob(e, "0000000000000002", g)
			}
			e.place(now)
			for _, r := range a.runs {
				r.suspect, r.isolated, r.group, r.trialTime = true, true, r.task.Job, time.Hour
				r.confirmedAt, r.reportedAt = now, now
				r.w.attemptsChanged()
			}
			j := addJob(e, "0000000000000003", stepOf(1000, 1))
			placeFor(e, now, 6*time.Second)
			require.NotEmpty(t, j.runs, "blocker %s", j.blocker)
		})
	}
}

// A long-running task that served between two failures was delayed.
func TestLongRunningTaskThatServedIsNotDelayed(t *testing.T) {
	t.Parallel()
	e, now := lockedEngine(t, 2, 0)
	s := stepOf(1000, 1)
	s.LongRunning = true
	j := addJob(e, "0000000000000001", s)
	id := msjob.TaskID{Job: j.def.ID}
	for i, how := range []string{"failed", "served, worker lost", "failed"} {
		now = now.Add(time.Hour)
		e.place(now)
		require.Len(t, j.runs, 1, i)
		for _, r := range j.runs {
			if how == "failed" {
				e.handleEnd(r.w, msworker.End{Seq: int64(i), Task: r.task, Attempt: r.attempt, Reason: msworker.EndFailed}, now)
			} else {
				e.updateRun(r, msworker.Run{Task: r.task, Attempt: r.attempt, Percent: fullPercent}, now)
				e.markLost(r, endedByCrash, "test")
			}
		}
	}
	require.False(t, j.retryAt[id].After(now), "delayed by %s", j.retryAt[id].Sub(now))
}
