package msintake

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjoramspan/msclock"
	"marjoramspan/msjob"
	"marjoramspan/msstandin"
)

// A job is said not to be accepted only if no earlier request with it may have been.
func TestRefusalOfAnIncompleteRequestIsTrue(t *testing.T) {
	clock := msclock.NewFake(time.Unix(1000, 0))
	in := newIntake(t, &msstandin.JobLog{}, clock)
	require.NoError(t, in.Journal.Sync(t.Context()))
	arrived := clock.Now()
	require.Equal(t, Overloaded, kindOf(t, in.Refuse("a", "full", arrived)))
	require.Equal(t, OutcomeUnknown, kindOf(t, in.Refuse("a", "full", arrived.Add(time.Millisecond))), "the table is older than the request")
	in.unsettled.begin("a", clock.Now())
	require.Equal(t, OutcomeUnknown, kindOf(t, in.Refuse("a", "full", arrived)))
	r, err := msjob.JobRecord(&msjob.Job{ID: "a", Steps: []msjob.Step{{Count: 1}}})
	require.NoError(t, err)
	require.NoError(t, in.Jobs.Apply(r))
	require.NoError(t, in.Refuse("a", "full", arrived))
}
