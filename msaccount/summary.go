package msaccount

import (
	"slices"
	"strings"
	"time"
)

// Run is the time for which a member of the fleet was to count.
type Run struct {
	Member string
	From   time.Time
	// To is the member's end. It is zero while the member runs.
	To time.Time
}

// Gap is a time for which the counts of one member are missing.
type Gap struct {
	Member string    `json:"member"`
	From   time.Time `json:"from"`
	To     time.Time `json:"to"`
}

// Summary is the account of the fleet.
type Summary struct {
	Asked    int     `json:"asked"`
	Answered int     `json:"answered"`
	Refused  int     `json:"refused"`
	Unknown  int     `json:"unknown"`
	Open     int     `json:"open"`
	Counts   []Count `json:"counts"`
	Gaps     []Gap   `json:"gaps"`
}

// Agrees says whether the outcomes and the open requests add up to those asked.
func (s *Summary) Agrees() bool {
	return s.Asked == s.Answered+s.Refused+s.Unknown+s.Open
}

// tolerance is how far the clocks of the log and of an entry may be apart, and
// how late the last report of a running entry may be, before it counts as a gap.
const tolerance = 30 * time.Second

// Summarize adds up the reports, each once, and marks the gaps of the runs.
func Summarize(reports []Report, runs []Run, now time.Time) Summary {
	byMember := make(map[string][]Report)
	for _, r := range reports {
		same := func(x Report) bool { return x.Seq == r.Seq }
		if !slices.ContainsFunc(byMember[r.Member], same) {
			byMember[r.Member] = append(byMember[r.Member], r)
		}
	}
	var s Summary
	sums := make(map[Row]int)
	for _, run := range withUnknown(runs, byMember) {
		rs := byMember[run.Member]
		slices.SortFunc(rs, func(a, b Report) int { return int(a.Seq) - int(b.Seq) })
		s.add(rs, sums)
		s.Gaps = append(s.Gaps, gaps(run, rs, now)...)
	}
	for row, n := range sums {
		s.Counts = append(s.Counts, Count{Row: row, N: n})
	}
	slices.SortFunc(s.Counts, func(a, b Count) int { return compareRows(a.Row, b.Row) })
	slices.SortFunc(s.Gaps, func(a, b Gap) int { return strings.Compare(a.Member, b.Member) })
	return s
}

// withUnknown adds a run for each member that has reported and is in none of the
// runs, from its first report to its last: what was reported always counts.
func withUnknown(runs []Run, byMember map[string][]Report) []Run {
	all := slices.Clone(runs)
	for member, rs := range byMember {
		if slices.ContainsFunc(runs, func(r Run) bool { return r.Member == member }) {
			continue
		}
		run := Run{Member: member, From: rs[0].From, To: rs[0].To}
		for _, r := range rs {
			if r.From.Before(run.From) {
				run.From = r.From
			}
			run.To = laterOf(run.To, r.To)
		}
		all = append(all, run)
	}
	return all
}

func (s *Summary) add(rs []Report, sums map[Row]int) {
	for _, r := range rs {
		s.Asked += r.Asked
		for _, c := range r.Counts {
			sums[c.Row] += c.N
			s.tally(c)
		}
	}
	if len(rs) > 0 {
		s.Open += rs[len(rs)-1].Open
	}
}

func (s *Summary) tally(c Count) {
	switch c.Row.Outcome {
	case Answered:
		s.Answered += c.N
	case Refused:
		s.Refused += c.N
	case Unknown:
		s.Unknown += c.N
	}
}

// gaps returns the parts of a run that its reports, in order, leave out.
func gaps(run Run, rs []Report, now time.Time) []Gap {
	var gs []Gap
	at := run.From
	for i, r := range rs {
		missing := i > 0 && r.Seq != rs[i-1].Seq+1 || i == 0 && r.Seq != 0
		if missing {
			gs = append(gs, Gap{Member: run.Member, From: at, To: r.From})
		}
		at = r.To
		if r.Last {
			return gs
		}
	}
	if !run.To.IsZero() {
		return append(gs, Gap{Member: run.Member, From: at, To: laterOf(at, run.To)})
	}
	if now.Sub(at) > tolerance {
		gs = append(gs, Gap{Member: run.Member, From: at, To: now})
	}
	return gs
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
