package msscheduler

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjoramspan/msjob"
	"marjoramspan/mssite"
	"marjoramspan/msworker"
)

// A job whose advisor had named a worker that was full by then waited for it until the ticket
// expired, although others had not been asked for.
func TestTicketsOfFullWorkersDontKeepAJobFromOthers(t *testing.T) {
	t.Parallel()
	w := newTestCluster(t, maxAdviceWorkers+10)
	w.sites.Set(&mssite.Site{
		Version: 2,
		Queues:  []mssite.Queue{{Name: "plan", Pool: "booth", Attempts: 3, Stretch: 1.5, Slack: time.Second, Advisor: &mssite.AdvisorConfig{Validity: 20 * time.Second}}},
		Pools:   map[string]mssite.Pool{"booth": {Name: "booth", EnforcesCapacity: true}},
	})
	filled := make(chan struct{})
	w.configure = func(g *Engine) {
		g.Advise = func(_ context.Context, r msworker.AdviceRequest) (map[string]string, time.Duration, error) {
			if r.Job == "0000000000000002" {
				<-filled
			}
			return map[string]string{r.Workers[0]: "t"}, 20 * time.Second, nil
		}
	}
	e := w.entry("a")
	large := step(1)
	large.Need.CPU = 4000
	w.submit(&msjob.Job{ID: "0000000000000002", Spec: "run=50ms", Steps: []msjob.Step{large}})
	require.Eventually(t, func() bool {
		g := e.current()
		if g == nil {
			return false
		}
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.adviceInFlight == 1
	}, eventually, time.Millisecond)
	w.submit(&msjob.Job{ID: "0000000000000001", Spec: "run=15s", Steps: []msjob.Step{large}})
	w.awaitRunning(1)
	close(filled)
	w.awaitWithin(e, "0000000000000002", msjob.Completed)
}
