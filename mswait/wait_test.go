package mswait

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestTrackerReportsReasonsThatLast(t *testing.T) {
	t.Parallel()
	var tr Tracker
	now := time.Unix(1000, 0)
	pass := func(d time.Duration, waits map[string]Reason) []Change {
		now = now.Add(d)
		for job, r := range waits {
			tr.Note(job, "booth", r, Workers{}, now)
		}
		return append([]Change(nil), tr.EndRound(now)...)
	}
	require.Empty(t, pass(0, map[string]Reason{"a": Paused}))
	require.Empty(t, pass(MinLogged/2, map[string]Reason{"a": Paused, "b": Full}))
	require.Empty(t, pass(MinLogged/4, map[string]Reason{"a": Paused}), "a short wait has ended")
	all := pass(MinLogged/4, map[string]Reason{"a": Paused})
	require.Len(t, all, 1)
	require.Equal(t, Paused, all[0].Reason)
	require.False(t, all[0].Ended)
	require.Empty(t, pass(time.Second, map[string]Reason{"a": Paused}), "logged once")
	require.Equal(t, map[Reason]time.Duration{Paused: time.Second + MinLogged}, tr.Longest(now))
	all = pass(time.Second, map[string]Reason{"a": TeamLimit})
	require.Len(t, all, 1)
	require.True(t, all[0].Ended)
	require.Equal(t, 2*time.Second+MinLogged, all[0].For)
	require.Equal(t, now.Add(-2*time.Second-MinLogged), tr.Over(time.Second, 9, now)[0].Since, "the wait goes on for another reason")
	require.Empty(t, pass(0, nil))
	require.Empty(t, tr.Over(0, 9, now))
}

func TestTrackerBoundsChanges(t *testing.T) {
	t.Parallel()
	var tr Tracker
	now := time.Unix(1000, 0)
	note := func() []Change {
		for i := range 10 * maxChanges {
			tr.Note(strconv.Itoa(i), "booth", Paused, Workers{}, now)
		}
		return append([]Change(nil), tr.EndRound(now)...)
	}
	note()
	now = now.Add(MinLogged)
	require.Len(t, note(), maxChanges)
	now = now.Add(changesInterval)
	require.Len(t, note(), maxChanges)
	require.Len(t, tr.Over(time.Second, 5, now), 5)
}

// One word stood for all of these.
func TestReasonsNameWhatNoWorkerHas(t *testing.T) {
	t.Parallel()
	require.Equal(t, NoWorker, Workers{VMsUp: 3, Registered: 3}.Reason())
	require.Equal(t, NoEntry, Workers{VMsUp: 3, NoEntry: 1}.Reason())
	require.Equal(t, SourcesDiffer, Workers{VMsUp: 3, Usable: 3, Differing: 1}.Reason())
	require.Equal(t, NoLabel, Workers{Usable: 3}.Reason())
	require.Equal(t, NoSize, Workers{Usable: 3, WithLabel: 2}.Reason())
	require.Equal(t, Spread, Workers{Usable: 3, WithLabel: 2, WithSize: 1}.Reason())
}
