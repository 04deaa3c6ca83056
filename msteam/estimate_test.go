package msteam

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestDeadlineRefusalFollowsEstimate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulator(8, Share{Team: "a", Weight: 3}, Share{Team: "b", Weight: 1})
		sim.run(3*time.Second, 50*time.Millisecond, "a", "b")
		for range 20 {
			team := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team")
			remaining := time.Duration(rapid.IntRange(-100, 4000).Draw(t, "remaining ms")) * time.Millisecond
			wait, ok := sim.s.EstimateWait(team, sim.now)
			require.True(t, ok)
			before := sim.s.Waiting(team)
			sim.id++
			err := sim.s.Add(Waiter{ID: sim.id, Team: team, Deadline: sim.now.Add(remaining)}, sim.now)
			late := remaining < 0 || wait*4/5 > remaining
			require.Equal(t, late, err != nil, "wait %s remaining %s", wait, remaining)
			if !late {
				continue
			}
			var r *Refusal
			require.True(t, errors.As(err, &r))
			require.Equal(t, ReasonDeadline, r.Reason)
			require.Equal(t, before, sim.s.Waiting(team), "a refused request must not be waiting")
		}
	})
}

func TestEstimateMatchesExpectedWait(t *testing.T) {
	sim := newSimulator(20, Share{Team: "a", Weight: 3}, Share{Team: "b", Weight: 1})
	sim.run(5*time.Second, 50*time.Millisecond, "a", "b")
	for _, team := range []string{"a", "b"} {
		wait, ok := sim.s.EstimateWait(team, sim.now)
		require.True(t, ok)
		begin, waitersAhead := sim.now, sim.s.Waiting(team)
		expectedPerStart := 4 * 50 * time.Millisecond / time.Duration(map[string]int{"a": 60, "b": 20}[team])
		require.InEpsilon(t, float64(expectedPerStart)*float64(waitersAhead), float64(wait), 0.3, "%s at %s", team, begin)
	}
}

func TestNoDeadlineRefusalWithoutEstimate(t *testing.T) {
	s := &Scheduler{}
	for i := range uint64(100) {
		require.NoError(t, s.Add(Waiter{ID: i, Team: "a", Deadline: epoch.Add(time.Millisecond)}, epoch))
	}
	_, ok := s.EstimateWait("a", epoch)
	require.False(t, ok)
	s.AdmitLate = true
	require.Error(t, s.Add(Waiter{ID: 1000, Team: "a", Deadline: epoch.Add(-time.Millisecond)}, epoch), "the deadline has passed, so the request must be refused")
}

func TestMaxWaitingIsDividedByWeight(t *testing.T) {
	s := &Scheduler{MaxWaiting: 100}
	s.SetShares([]Share{{Team: "a", Weight: 1}, {Team: "b", Weight: 3}})
	var r *Refusal
	for i := range uint64(1000) {
		if err := s.Add(Waiter{ID: i, Team: "a"}, epoch); err != nil {
			require.ErrorAs(t, err, &r)
		}
	}
	require.Equal(t, ReasonQueueFull, r.Reason)
	require.Equal(t, 25, s.Waiting("a"))
	for i := range uint64(75) {
		require.NoError(t, s.Add(Waiter{ID: 5000 + i, Team: "b"}, epoch))
	}
	require.ErrorAs(t, s.Add(Waiter{ID: 1, Team: "a"}, epoch), &r)
	require.Equal(t, ReasonDuplicate, r.Reason)
}

func benchmarkDecision(b *testing.B, teams, pools int) {
	ss := make([]*Scheduler, pools)
	names := make([]string, teams)
	var shares []Share
	for i := range names {
		names[i] = fmt.Sprint("team-", i)
		shares = append(shares, Share{Team: names[i], Weight: 1 + i%8})
	}
	var limits UsageTotals
	now, id := epoch, uint64(0)
	for p := range ss {
		ss[p] = &Scheduler{Capacity: 80, UsageTotals: &limits}
		ss[p].SetShares(shares)
		for range 10 * teams {
			id++
			_ = ss[p].Add(Waiter{ID: id, Team: names[id%uint64(teams)], Deadline: now.Add(time.Hour)}, now)
		}
	}
	hasLimitToken := func(string) bool { return true }
	b.ReportAllocs()
	for b.Loop() {
		id++
		s := ss[id%uint64(pools)]
		now = now.Add(50 * time.Microsecond)
		_ = s.Add(Waiter{ID: id, Team: names[id%uint64(teams)], Arrived: now, Deadline: now.Add(time.Hour)}, now)
		w, _ := s.Next(now, hasLimitToken)
		s.Started(w.Team, now)
		s.Ended(w.Team, 50*time.Millisecond, now)
	}
}

// BenchmarkDecision measures one request on its way through the scheduler: added,
// picked, started and ended.
func BenchmarkDecision(b *testing.B) {
	b.Run("today", func(b *testing.B) { benchmarkDecision(b, 6, 5) })
	b.Run("letter", func(b *testing.B) { benchmarkDecision(b, 51, 135) })
}
