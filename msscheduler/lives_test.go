package msscheduler

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjoramspan/msjob"
	"marjoramspan/msroster"
	"marjoramspan/msworker"
)

// A worker that had restarted under its ID took the end of a lease on the clock of its earlier
// life, and so held the longest lease there is. Its leader counted a shorter one, and once the worker
// was cut off, its task ran on two workers.
func TestTaskRunsOnceWhenARestartedWorkerIsCutOff(t *testing.T) {
	t.Parallel()
	w := newTestCluster(t, 1)
	first := w.all()[0]
	first.FirstClock = time.Hour
	e := w.entry("a")
	w.submit(&msjob.Job{ID: "00000000000000aa", Team: "fitters", Spec: "run=10ms", Steps: []msjob.Step{step(1)}})
	w.await(e, "00000000000000aa", msjob.Completed)
	first.RestartAt(0)
	w.submit(&msjob.Job{ID: "00000000000000bb", Team: "fitters", Spec: "run=20s", Steps: []msjob.Step{step(1)}})
	w.awaitRunning(1)
	first.SetDown(true)
	w.vms.Add(msworker.VM{Name: "vm-second", Pool: "booth", Rack: "r9", Up: true, Capacity: msjob.Resources{CPU: 4000, Memory: 8000}})
	require.Eventually(t, func() bool {
		runs := w.journal.Runs()
		return len(runs) == 3 && runs[2].Worker != first.Worker.ID
	}, eventually, 5*time.Millisecond, "the task doesn't run elsewhere")
	first.SetDown(false)
	require.Eventually(t, func() bool { return !w.journal.Runs()[1].End.IsZero() }, eventually, 5*time.Millisecond)
	w.requireNoDuplicates()
}

// The answer to a start of the earlier life came after the restart was seen and set the clock of the
// next one. The ends of its leases were then too late by any time.
func TestAnswerOfAnEarlierLifeDoesNotSetTheClock(t *testing.T) {
	t.Parallel()
	e := saturatedEngine(t, 1, 1, 1, 0)
	e.Term, e.ctx = validTerm(t), t.Context()
	e.Orders.Stop = func(context.Context, msworker.Worker, msworker.Stop) (time.Duration, error) { return time.Hour, nil }
	e.syncWorkers(e.Clock.Now())
	w := e.workers["w-0000"]
	w.reported, w.reachable = false, false
	e.handleReport(w, e.Clock.Now(), e.Term.Epoch, msworker.Report{ProcessStart: 5, Clock: time.Hour})
	r := planned(e, w)
	r.state = runOrdered
	e.Orders.Start = func(context.Context, msworker.Worker, msworker.Start) (time.Duration, error) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.handleReport(w, e.Clock.Now(), e.Term.Epoch, msworker.Report{ProcessStart: 6, Clock: time.Second})
		return time.Hour, nil
	}
	e.startRun(t.Context(), r)
	require.EqualValues(t, 6, w.processStart)
	require.Less(t, w.lease.Clock(e.Clock.Now()), time.Minute)
}

// The next life answered a start before the restart was seen, and its clock, far ahead, was taken for
// that of the life before: the tasks there counted as lost while they ran.
func TestAnswerOfTheNextLifeDoesNotSetTheClock(t *testing.T) {
	t.Parallel()
	e := saturatedEngine(t, 1, 1, 1, 0)
	e.Term, e.ctx = validTerm(t), t.Context()
	e.syncWorkers(e.Clock.Now())
	w := e.workers["w-0000"]
	w.reported, w.reachable = false, false
	e.handleReport(w, e.Clock.Now(), e.Term.Epoch, msworker.Report{ProcessStart: 5, Clock: time.Second})
	r := planned(e, w)
	r.state = runOrdered
	e.Orders.Start = func(context.Context, msworker.Worker, msworker.Start) (time.Duration, error) { return time.Hour, nil }
	e.startRun(t.Context(), r)
	require.Less(t, w.lease.Clock(e.Clock.Now()), time.Minute)
}

// A lease that the leader before had granted by an old reading of a slow clock ended after the next
// leader had counted it as expired.
func TestNextLeaderCountsTheLeasesOfSlowClocks(t *testing.T) {
	t.Parallel()
	e := saturatedEngine(t, 1, 1, 1, 0)
	e.Settings.MaxLease = testMaxLease
	e.syncWorkers(e.Clock.Now())
	w := e.workers["w-0000"]
	w.reported, w.reachable = false, false
	slow := func(d time.Duration) time.Duration { return d * 98 / 100 }
	age := idleReportWait + reportTimeoutMargin
	var earlier msworker.Lease
	earlier.Observe(0, time.Time{})
	end := earlier.Grant(time.Time{}.Add(age), e.leaseDuration())
	e.handleReport(w, e.Clock.Now(), e.Term.Epoch, msworker.Report{ProcessStart: 5, Clock: slow(age)})
	seen := e.Clock.Now()
	for d := time.Duration(0); slow(age+d) <= end; d += time.Millisecond {
		require.False(t, w.lease.Expired(seen.Add(d)), "%s before its end", end-slow(age+d))
	}
}

// A list of VMs that lagged showed the VM of a worker as before its restart. The worker was cut off, and
// its tasks started elsewhere within its lease.
func TestLaggingListDoesNotGiveUpAWorkerThatIsCutOff(t *testing.T) {
	t.Parallel()
	e := saturatedEngine(t, 1, 1, 1, 0)
	e.Settings.MaxLease = testMaxLease
	now := e.Clock.Now()
	entry, _ := e.Registry.Worker("w-0000")
	e.syncWorkers(now)
	w := e.workers["w-0000"]
	w.vm = "vm-0"
	w.reported, w.reachable = false, false
	e.handleReport(w, now, e.tokenFor(w), msworker.Report{ProcessStart: 5, Clock: time.Hour})
	down := msworker.VM{Name: "vm-0", Pool: entry.Pool, Worker: w.ID}
	e.applyVMs([]msworker.VM{down}, now.Add(-time.Second)) // The life before has crashed.
	e.handleReport(w, now, e.tokenFor(w), msworker.Report{ProcessStart: 6, Clock: time.Second})
	w.lease.Grant(now, e.leaseDuration())
	r := planned(e, w)
	r.state, r.orderedAt, r.answeredAt, r.confirmedAt = runStarted, now, now, now
	w.reachable, w.unreachableSince = false, now // Cut off.
	asked := now.Add(time.Second)
	require.True(t, e.fleet.lagsBehind(&down, w.lifeSeenAt(), asked))
	require.False(t, w.lease.Expired(asked))
	e.applyVMs([]msworker.VM{down}, asked)
	require.Contains(t, e.runs, r.runKey)
	e.applyVMs([]msworker.VM{down}, now.Add(msroster.MaxListAge+time.Second))
	require.NotContains(t, e.runs, r.runKey, "no list lags for so long")
}
