package msaccount

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var zero = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestAccountAddsUp counts random requests on entries that flush, repeat their
// reports and are lost, and compares with a plain count of the same events.
func TestAccountAddsUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var reports []Report
		var runs []Run
		now := zero
		asked, told, lostCounts := 0, make(map[Outcome]int), false
		for n := range rapid.IntRange(1, 3).Draw(t, "entries") {
			l := &Ledger{Member: fmt.Sprint("e", n), Start: now}
			run := Run{Member: l.Member, From: now}
			var pending int
			unflushed := make(map[Outcome]int)
			unflushedAsked := 0
			for range rapid.IntRange(0, 30).Draw(t, "events") {
				now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "gap")) * time.Second)
				switch o := rapid.SampledFrom([]Outcome{"ask", Answered, Refused, Unknown, "flush"}).Draw(t, "event"); {
				case o == "ask":
					l.Ask()
					unflushedAsked++
					pending++
				case o == "flush":
					rs := l.Close(now, false)
					for range rapid.IntRange(1, 2).Draw(t, "copies") {
						reports = append(reports, rs...)
					}
					l.Confirm(rs[len(rs)-1].Seq)
					asked += unflushedAsked
					for o, k := range unflushed {
						told[o] += k
					}
					unflushedAsked = 0
					clear(unflushed)
				case pending > 0:
					l.Tell(Row{Team: "t", Outcome: o}, now)
					unflushed[o]++
					pending--
				}
			}
			if rapid.Bool().Draw(t, "graceful") {
				reports = append(reports, l.Close(now, true)...)
				asked += unflushedAsked
				for o, k := range unflushed {
					told[o] += k
				}
			} else {
				lostCounts = true
			}
			run.To = now
			runs = append(runs, run)
			now = now.Add(time.Second)
		}
		s := Summarize(reports, runs, now)
		require.Equal(t, asked, s.Asked)
		require.Equal(t, told[Answered], s.Answered)
		require.Equal(t, told[Refused], s.Refused)
		require.Equal(t, told[Unknown], s.Unknown)
		require.True(t, s.Agrees())
		require.Equal(t, lostCounts, len(s.Gaps) > 0, "a lost entry leaves a gap, and only that does")
	})
}

func TestMissingReportIsAGap(t *testing.T) {
	l := &Ledger{Member: "e", Start: zero}
	l.Close(zero.Add(10*time.Second), false)
	l.Close(zero.Add(20*time.Second), false)
	rs := l.Close(zero.Add(30*time.Second), true)
	require.Len(t, rs, 3)
	run := Run{Member: "e", From: zero, To: zero.Add(30 * time.Second)}
	s := Summarize([]Report{rs[0], rs[2]}, []Run{run}, zero.Add(time.Minute))
	require.Equal(t, []Gap{{Member: "e", From: zero.Add(10 * time.Second), To: zero.Add(20 * time.Second)}}, s.Gaps)
	require.Empty(t, Summarize(rs, []Run{run}, zero.Add(time.Minute)).Gaps)
}

func TestReportsOfAMemberWithoutARunCount(t *testing.T) {
	l := &Ledger{Member: "e", Start: zero}
	l.Ask()
	l.Tell(Row{Team: "t", Outcome: Answered}, zero)
	rs := l.Close(zero.Add(10*time.Second), false)
	s := Summarize(rs, nil, zero.Add(time.Minute))
	require.Equal(t, 1, s.Answered)
	require.Equal(t, 1, s.Asked)
}

func TestRunningEntryThatFellSilentIsAGap(t *testing.T) {
	l := &Ledger{Member: "e", Start: zero}
	rs := l.Close(zero.Add(10*time.Second), false)
	run := Run{Member: "e", From: zero}
	require.Empty(t, Summarize(rs, []Run{run}, zero.Add(40*time.Second)).Gaps)
	require.Len(t, Summarize(rs, []Run{run}, zero.Add(41*time.Second)).Gaps, 1)
}

func TestEachRefusalIsInOneMinute(t *testing.T) {
	l := &Ledger{Member: "e", Start: zero}
	for _, at := range []time.Duration{0, 59 * time.Second, time.Minute} {
		l.Ask()
		l.Tell(Row{Team: "t", Outcome: Refused, Reason: "deadline"}, zero.Add(at))
	}
	rs := l.Close(zero.Add(2*time.Minute), true)
	require.Equal(t, []Count{
		{Row: Row{Minute: zero, Team: "t", Outcome: Refused, Reason: "deadline"}, N: 2},
		{Row: Row{Minute: zero.Add(time.Minute), Team: "t", Outcome: Refused, Reason: "deadline"}, N: 1},
	}, rs[0].Counts)
}
