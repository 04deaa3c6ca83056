package msaccount

import (
	"slices"
	"strings"
	"time"
)

// ActivePeriod is the time during which a member of the fleet ran and had to count requests.
type ActivePeriod struct {
	Member string
	From   time.Time
	// To is when the member ended, zero while it runs.
	To time.Time
}

// Gap is a time interval for which the counts of one member are missing.
type Gap struct {
	Member string    `json:"member"`
	From   time.Time `json:"from"`
	To     time.Time `json:"to"`
}

// Summary holds the request counts of the whole fleet.
type Summary struct {
	Received int     `json:"asked"`
	Answered int     `json:"answered"`
	Refused  int     `json:"refused"`
	Unknown  int     `json:"unknown"`
	Open     int     `json:"open"`
	Counts   []Count `json:"counts"`
	Gaps     []Gap   `json:"gaps"`
}

// Balanced reports whether the outcomes and the open requests add up to the requests
// received.
func (s *Summary) Balanced() bool {
	return s.Received == s.Answered+s.Refused+s.Unknown+s.Open
}

// gapTolerance is how late the next report of a running entry may be before the time
// since its last report counts as a gap. It includes the clock difference between the
// log and the entry.
const gapTolerance = 30 * time.Second

// Summarize adds up the reports, ignoring duplicates, and returns the gaps of the
// runs.
func Summarize(reports []Report, runs []ActivePeriod, now time.Time) Summary {
	byMember := make(map[string][]Report)
	for _, r := range reports {
		same := func(x Report) bool { return x.Seq == r.Seq }
		if !slices.ContainsFunc(byMember[r.Member], same) {
			byMember[r.Member] = append(byMember[r.Member], r)
		}
	}
	var s Summary
	sums := make(map[Row]int)
	for _, run := range withUnlistedMembers(runs, byMember) {
		rs := byMember[run.Member]
		slices.SortFunc(rs, func(a, b Report) int { return int(a.Seq) - int(b.Seq) })
		s.add(rs, sums)
		s.Gaps = append(s.Gaps, findGaps(run, rs, now)...)
	}
	for row, n := range sums {
		s.Counts = append(s.Counts, Count{Row: row, N: n})
	}
	slices.SortFunc(s.Counts, func(a, b Count) int { return compareRows(a.Row, b.Row) })
	slices.SortFunc(s.Gaps, func(a, b Gap) int { return strings.Compare(a.Member, b.Member) })
	return s
}

// withUnlistedMembers adds a run for each member that has reports but no run, from
// its first report to its last, so that every report is counted.
func withUnlistedMembers(runs []ActivePeriod, byMember map[string][]Report) []ActivePeriod {
	all := slices.Clone(runs)
	for member, rs := range byMember {
		if slices.ContainsFunc(runs, func(r ActivePeriod) bool { return r.Member == member }) {
			continue
		}
		run := ActivePeriod{Member: member, From: rs[0].From, To: rs[0].To}
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
		s.Received += r.Received
		for _, c := range r.Counts {
			sums[c.Row] += c.N
			s.addOutcome(c)
		}
	}
	if len(rs) > 0 {
		s.Open += rs[len(rs)-1].Open
	}
}

func (s *Summary) addOutcome(c Count) {
	switch c.Row.Outcome {
	case Answered:
		s.Answered += c.N
	case Refused:
		s.Refused += c.N
	case Unknown:
		s.Unknown += c.N
	}
}

// findGaps returns the parts of a run that its reports, sorted by Seq, don't cover.
func findGaps(run ActivePeriod, reports []Report, now time.Time) []Gap {
	var found []Gap
	coveredTo := run.From
	for i, r := range reports {
		missing := i > 0 && r.Seq != reports[i-1].Seq+1 || i == 0 && r.Seq != 0
		if missing {
			found = append(found, Gap{Member: run.Member, From: coveredTo, To: r.From})
		}
		coveredTo = r.To
		if r.Last {
			return found
		}
	}
	if !run.To.IsZero() {
		return append(found, Gap{Member: run.Member, From: coveredTo, To: laterOf(coveredTo, run.To)})
	}
	if now.Sub(coveredTo) > gapTolerance {
		found = append(found, Gap{Member: run.Member, From: coveredTo, To: now})
	}
	return found
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
