package msstandin

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjoramspan/msclock"
	"marjoramspan/msjob"
	"marjoramspan/msworker"
)

// An end that was acknowledged makes a later start a duplicate, whenever it was acknowledged.
// One that was not, as its worker crashed, does not.
func TestDoubledCountsAcknowledgedEnds(t *testing.T) {
	t.Parallel()
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	first := jobRun{task: msjob.TaskID{Job: "00000000000000ff"}, attempt: 1}
	second := jobRun{task: first.task, attempt: 2}
	var j JobJournal
	j.start(first, "w-1", "", at(1))
	j.start(second, "w-2", "", at(2))
	require.Len(t, j.Doubled(), 1, "beside another")
	j = JobJournal{}
	j.start(first, "w-1", "", at(1))
	j.end(first, at(2), "done")
	j.start(second, "w-2", "", at(3))
	j.end(second, at(4), "done")
	j.ack(second, "w-2")
	require.Empty(t, j.Doubled(), "after an end that nobody knows of")
	j.ack(first, "w-1")
	require.Len(t, j.Doubled(), 1, "after an end that was acknowledged")
	j.lapse(first, "w-1")
	require.Len(t, j.Doubled(), 1, "a lapse after the acknowledgement changes nothing")
	j = JobJournal{}
	j.start(first, "w-1", "", at(1))
	j.end(first, at(2), "done")
	j.lapse(first, "w-1")
	j.start(second, "w-2", "", at(3))
	j.ack(first, "w-1")
	require.Empty(t, j.Doubled(), "after an end that was acknowledged once the lease had lapsed")
}

// An attempt whose end nobody knows of ran again on the next life of its worker. The acknowledgement of
// the second end counted for the first one too, and the second run as one after a known end.
func TestAcknowledgementOnTheNextLifeIsNotOfTheEarlierEnd(t *testing.T) {
	t.Parallel()
	clock := msclock.NewFake(time.Unix(1000, 0))
	var journal JobJournal
	w := &JobWorker{Worker: msworker.Worker{ID: "w-1"}, Clock: clock, Journal: &journal}
	for life := range 2 {
		_, err := w.Start(t.Context(), msworker.Start{Task: msjob.TaskID{Job: "00000000000000aa"}, Attempt: 1, Spec: "run=20ms", Until: time.Minute, Token: 1})
		require.NoError(t, err)
		clock.Advance(time.Second)
		_, err = w.Hold(t.Context(), msworker.LeaseRenewal{Token: 1, Acked: int64(life)})
		require.NoError(t, err)
		if life == 0 {
			w.Restart()
		}
	}
	runs := journal.Runs()
	require.False(t, runs[0].Acked)
	require.True(t, runs[1].Acked)
	require.Empty(t, journal.Doubled())
}
