package msscheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjoramspan/msjob"
	"marjoramspan/mssite"
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
