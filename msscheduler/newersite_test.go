package msscheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

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
