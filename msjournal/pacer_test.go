package msjournal_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjoramspan/msclock"
	"marjoramspan/msjournal"
	"marjoramspan/msstandin"
)

func TestPacerSlowsDownAndSpeedsUpAgain(t *testing.T) {
	var log msstandin.JobLog
	clock := msclock.NewFake(time.Unix(1000, 0))
	log.Clock = clock
	p := &msjournal.Pacer{Clock: clock, Jitter: func() float64 { return 1 }}
	l := p.Watch(log.Log())
	_, err := l.Read(t.Context(), "s", 0, 0)
	require.NoError(t, err)
	log.SetFault(msstandin.LogFault{Down: true})
	_, err = l.Read(t.Context(), "s", 0, 0)
	require.Error(t, err)
	require.Zero(t, p.Pause(time.Second), "an outage is no refusal for the number of reads")
	log.SetFault(msstandin.LogFault{ReadsPerSecond: 1})
	for range 10 {
		_, err = l.Newest(t.Context(), "s", "")
		require.True(t, msjournal.IsTooMany(err))
	}
	require.Equal(t, time.Second, p.Pause(time.Second))
	clock.Advance(10 * time.Second)
	require.InDelta(t, 0.5, p.Level(), 0.001)
	clock.Advance(time.Minute)
	require.Zero(t, p.Pause(time.Second))
	var none *msjournal.Pacer
	require.Zero(t, none.Pause(time.Second))
}
