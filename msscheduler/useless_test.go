package msscheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjoramspan/msjob"
)

// A job without a latency objective waits for a worker that doesn't exist. It must not hold
// back a job that is late beyond use for ever, as that was accepted too.
func TestUselessJobStartsBesideOneThatFitsNowhere(t *testing.T) {
	t.Parallel()
	w := newTestCluster(t, 2)
	put := func(j *msjob.Job) {
		j.Queue, j.Pool, j.Attempts = "plan", "booth", 3
		r, err := msjob.JobRecord(j)
		require.NoError(t, err)
		w.log.Put("jobs", r.Key, r.Value)
	}
	large := step(1)
	large.Need.CPU = 1 << 40
	put(&msjob.Job{ID: "0000000000000001", Accepted: time.Now().UTC(), Steps: []msjob.Step{large}})
	put(&msjob.Job{
		ID: "0000000000000002", Spec: "run=50ms", Accepted: time.Now().Add(-time.Hour).UTC(), Stretch: 1.5, Slack: time.Second,
		Steps: []msjob.Step{step(1)},
	})
	e := w.entry("a")
	w.await(e, "0000000000000002", msjob.Completed)
}
