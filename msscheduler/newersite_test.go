package msscheduler

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"marjoramspan/msclock"
	"marjoramspan/msjob"
	"marjoramspan/msjournal"
	"marjoramspan/mssite"
	"marjoramspan/msstandin"
)

// A job that was accepted by a newer site was started in the pool that its record names, or,
// once starts waited for the site, never started if other jobs were queued beside it.
func TestJobOfANewerSiteStartsOnceTheSiteIsRead(t *testing.T) {
	t.Parallel()
	w := newTestCluster(t, 2)
	e := w.entry("a")
	w.submit(&msjob.Job{ID: "0000000000000001", Spec: "run=300ms", SiteVersion: 1, Steps: []msjob.Step{step(12)}})
	w.submit(&msjob.Job{ID: "0000000000000002", Queue: "new", Pool: "booth", Spec: "run=30ms", SiteVersion: 2, Steps: []msjob.Step{step(2)}})
	w.await(e, "0000000000000001", msjob.Completed)
	for _, r := range w.journal.Runs() {
		require.NotEqual(t, "0000000000000002", r.Task.Job, "started by a site that the entry has not read")
	}
	w.sites.Set(&mssite.Site{
		Version: 2,
		Queues:  []mssite.Queue{{Name: "new", Pool: "booth", Attempts: 3, Stretch: 1.5, Slack: time.Second}},
		Pools:   map[string]mssite.Pool{"booth": {Name: "booth", EnforcesCapacity: true}},
	})
	w.await(e, "0000000000000002", msjob.Completed)
}

// Jobs that were accepted by a site which the operators' records don't hold, or which the
// leader can't decode, waited for it without end.
func TestJobOfASiteThatIsNotFoundStarts(t *testing.T) {
	t.Parallel()
	w := newTestCluster(t, 2)
	var log msstandin.JobLog
	log.Put("op", "config", []byte("malformed"))
	w.configure = func(g *Engine) {
		g.Operators = &msjournal.Follower{
			Log: log.Log(), Clock: g.Clock, Logger: zap.NewNop(), Stream: "op", Reset: func() {}, Apply: func(msjournal.Record, int64) {},
		}
	}
	log.SetFault(msstandin.LogFault{Down: true})
	e := w.entry("a")
	w.submit(&msjob.Job{ID: "0000000000000001", Queue: "new", Pool: "booth", Spec: "run=30ms", SiteVersion: 2, Steps: []msjob.Step{step(2)}})
	w.submit(&msjob.Job{ID: "0000000000000002", Spec: "run=300ms", SiteVersion: 1, Steps: []msjob.Step{step(2)}})
	w.await(e, "0000000000000002", msjob.Completed)
	for _, r := range w.journal.Runs() {
		require.NotEqual(t, "0000000000000001", r.Task.Job, "the records may hold the site")
	}
	log.SetFault(msstandin.LogFault{})
	w.await(e, "0000000000000001", msjob.Completed)
}

// The leader stopped for good, without losing its term, when a site was applied while it
// placed tasks: each held a lock that the other one waited for.
func TestLeaderGoesOnWhileASiteIsApplied(t *testing.T) {
	t.Parallel()
	w := newTestCluster(t, 2)
	var log msstandin.JobLog
	var e *entry
	operators := &msjournal.Follower{
		Log: log.Log(), Clock: &msclock.Boot{}, Logger: zap.NewNop(), Stream: "op", Reset: func() {},
		Apply: func(msjournal.Record, int64) {
			time.Sleep(2 * maxPassInterval) // The next pass begins meanwhile.
			e.current().SiteChanged()
		},
	}
	w.configure = func(g *Engine) { g.Settings.EvacuationDeadline, g.Operators = evacuationDeadline, operators }
	e = w.entry("a")
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = operators.Run(ctx) }()
	w.submit(&msjob.Job{ID: "0000000000000001", Spec: "run=30ms", SiteVersion: 1, Steps: []msjob.Step{step(2)}})
	w.await(e, "0000000000000001", msjob.Completed)
	log.Put("op", "config", []byte("{}"))
	require.Eventually(t, func() bool { return operators.Next() > 0 }, 10*time.Second, time.Millisecond)
	w.submit(&msjob.Job{ID: "0000000000000002", Spec: "run=30ms", SiteVersion: 1, Steps: []msjob.Step{step(2)}})
	w.await(e, "0000000000000002", msjob.Completed)
}
