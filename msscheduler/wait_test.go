package msscheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"marjoramspan/msjob"
	"marjoramspan/mswait"
)

// Nothing said why a job that could run had no worker.
func TestWaitsBesideFreeWorkersAreKnown(t *testing.T) {
	t.Parallel()
	labelled, large, apart := step(1), step(1), longRunning(3, 1)
	labelled.Label, large.Need.CPU, apart.MaxPerWorker = "gpu", 1<<40, 1
	core, logs := observer.New(zapcore.InfoLevel)
	w := newTestCluster(t, 2)
	w.configure = func(g *Engine) { g.Logger = zap.New(core) }
	e := w.entry("a")
	w.submit(&msjob.Job{ID: "0000000000000001", Spec: "run=50ms", Steps: []msjob.Step{labelled}})
	w.submit(&msjob.Job{ID: "0000000000000002", Spec: "run=50ms", Steps: []msjob.Step{large}})
	w.submit(&msjob.Job{ID: "0000000000000003", Spec: "run=50ms", Steps: []msjob.Step{apart}})
	want := map[string]mswait.Reason{"0000000000000001": mswait.NoLabel, "0000000000000002": mswait.NoSize, "0000000000000003": mswait.Spread}
	require.Eventually(t, func() bool {
		waits := e.jobs.Load().Waits
		for id, r := range want {
			if waits[id].Reason != string(r) {
				return false
			}
		}
		return len(waits) == len(want)
	}, eventually, 5*time.Millisecond, "waits are not published")
	w.cancel("0000000000000001")
	w.await(e, "0000000000000001", msjob.Canceled)
	reasons := func(msg string) map[string]mswait.Reason {
		all := map[string]mswait.Reason{}
		for _, l := range logs.FilterMessage(msg).All() {
			fields := l.ContextMap()
			all[fields["job"].(string)] = mswait.Reason(fields["reason"].(string))
		}
		return all
	}
	require.Equal(t, want, reasons("job waits beside free workers"))
	require.Eventually(t, func() bool {
		return reasons("job no longer waits beside free workers")["0000000000000001"] == mswait.NoLabel
	}, eventually, 5*time.Millisecond)
}
