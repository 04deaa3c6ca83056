package msscheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjoramspan/msworker"
)

// The ends of the earlier life were stored after the restart was seen, and their numbers acknowledged
// ends of the next one that nobody had seen: tasks that were done ran again.
func TestStoredEndsOfAnEarlierLifeAcknowledgeNothing(t *testing.T) {
	t.Parallel()
	e := saturatedEngine(t, 1, 1, 1, 0)
	e.syncWorkers(e.Clock.Now())
	w := e.workers["w-0000"]
	w.reported, w.reachable = false, false
	e.handleReport(w, e.Clock.Now(), e.Term.Epoch, msworker.Report{ProcessStart: 5, Clock: time.Second, Ended: []msworker.End{{Seq: 57}}})
	b := newBatch()
	e.collect(&b, e.Clock.Now())
	b.records = nil
	e.handleReport(w, e.Clock.Now(), e.Term.Epoch, msworker.Report{ProcessStart: 6, Clock: time.Second, Ended: []msworker.End{{Seq: 1}}})
	require.NoError(t, e.commit(t.Context(), b))
	require.Zero(t, w.acked)
	b = newBatch()
	e.collect(&b, e.Clock.Now())
	b.records = nil
	require.NoError(t, e.commit(t.Context(), b))
	require.EqualValues(t, 1, w.acked)
}
