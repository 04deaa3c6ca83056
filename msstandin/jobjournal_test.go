package msstandin

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjoramspan/msjob"
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
