package msaccount

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestSummaryMatchesCountedEvents counts random requests on entries that flush, send
// reports twice and fail, and compares the summary with a direct count of the events.
func TestSummaryMatchesCountedEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var reports []Report
		var runs []ActivePeriod
		now := start
		asked, outcomes, lostCounts := 0, make(map[Outcome]int), false
		for n := range rapid.IntRange(1, 3).Draw(t, "entries") {
			l := &Recorder{Member: fmt.Sprint("e", n), Start: now}
			run := ActivePeriod{Member: l.Member, From: now}
			var pending int
			unflushed := make(map[Outcome]int)
			unflushedAsked := 0
			for range rapid.IntRange(0, 30).Draw(t, "events") {
				now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "gap")) * time.Second)
				switch o := rapid.SampledFrom([]Outcome{"ask", Answered, Refused, Unknown, "flush"}).Draw(t, "event"); {
				case o == "ask":
					l.RequestReceived()
					unflushedAsked++
					pending++
				case o == "flush":
					rs := l.CutReport(now, false)
					for range rapid.IntRange(1, 2).Draw(t, "copies") {
						reports = append(reports, rs...)
					}
					l.ConfirmThrough(rs[len(rs)-1].Seq)
					asked += unflushedAsked
					for o, k := range unflushed {
						outcomes[o] += k
					}
					unflushedAsked = 0
					clear(unflushed)
				case pending > 0:
					l.RecordOutcome(Row{Team: "t", Outcome: o}, now)
					unflushed[o]++
					pending--
				}
			}
			if rapid.Bool().Draw(t, "graceful") {
				reports = append(reports, l.CutReport(now, true)...)
				asked += unflushedAsked
				for o, k := range unflushed {
					outcomes[o] += k
				}
			} else {
				lostCounts = true
			}
			run.To = now
			runs = append(runs, run)
			now = now.Add(time.Second)
		}
		s := Summarize(reports, runs, now)
		require.Equal(t, asked, s.Received)
		require.Equal(t, outcomes[Answered], s.Answered)
		require.Equal(t, outcomes[Refused], s.Refused)
		require.Equal(t, outcomes[Unknown], s.Unknown)
		require.True(t, s.Balanced())
		require.Equal(t, lostCounts, len(s.Gaps) > 0, "there must be a gap if and only if an entry was lost")
	})
}

func TestMissingReportIsAGap(t *testing.T) {
	l := &Recorder{Member: "e", Start: start}
	l.CutReport(start.Add(10*time.Second), false)
	l.CutReport(start.Add(20*time.Second), false)
	rs := l.CutReport(start.Add(30*time.Second), true)
	require.Len(t, rs, 3)
	run := ActivePeriod{Member: "e", From: start, To: start.Add(30 * time.Second)}
	s := Summarize([]Report{rs[0], rs[2]}, []ActivePeriod{run}, start.Add(time.Minute))
	require.Equal(t, []Gap{{Member: "e", From: start.Add(10 * time.Second), To: start.Add(20 * time.Second)}}, s.Gaps)
	require.Empty(t, Summarize(rs, []ActivePeriod{run}, start.Add(time.Minute)).Gaps)
}

func TestReportsOfUnlistedMemberAreCounted(t *testing.T) {
	l := &Recorder{Member: "e", Start: start}
	l.RequestReceived()
	l.RecordOutcome(Row{Team: "t", Outcome: Answered}, start)
	rs := l.CutReport(start.Add(10*time.Second), false)
	s := Summarize(rs, nil, start.Add(time.Minute))
	require.Equal(t, 1, s.Answered)
	require.Equal(t, 1, s.Received)
}

func TestOverdueReportOfRunningEntryIsAGap(t *testing.T) {
	l := &Recorder{Member: "e", Start: start}
	rs := l.CutReport(start.Add(10*time.Second), false)
	run := ActivePeriod{Member: "e", From: start}
	require.Empty(t, Summarize(rs, []ActivePeriod{run}, start.Add(40*time.Second)).Gaps)
	require.Len(t, Summarize(rs, []ActivePeriod{run}, start.Add(41*time.Second)).Gaps, 1)
}

func TestRefusalsAreCountedPerMinute(t *testing.T) {
	l := &Recorder{Member: "e", Start: start}
	for _, at := range []time.Duration{0, 59 * time.Second, time.Minute} {
		l.RequestReceived()
		l.RecordOutcome(Row{Team: "t", Outcome: Refused, Reason: "deadline"}, start.Add(at))
	}
	rs := l.CutReport(start.Add(2*time.Minute), true)
	require.Equal(t, []Count{
		{Row: Row{Minute: start, Team: "t", Outcome: Refused, Reason: "deadline"}, N: 2},
		{Row: Row{Minute: start.Add(time.Minute), Team: "t", Outcome: Refused, Reason: "deadline"}, N: 1},
	}, rs[0].Counts)
}
