package msplace

import (
	"sort"
	"time"
)

// Candidate holds the criteria by which SortCandidates sorts a job.
type Candidate struct {
	ID string
	// Index is for the caller's use; SortCandidates ignores it.
	Index int
	// LongRunning jobs serve users and go first.
	LongRunning bool
	// Priority 0 goes before 1.
	Priority int
	// OverShare jobs are beyond their team's share.
	OverShare bool
	// Slack is how long the job can still wait and meet its deadline.
	Slack time.Duration
	// RemainingPath is the estimated length of the remaining critical path.
	RemainingPath time.Duration
	// Started is set once a task of the job was started.
	Started bool
}

// overrunTolerance is the fraction of its remaining work by which a started job may be
// behind and still count as in time: estimates are off by up to half.
const overrunTolerance = 0.5

// Late reports whether the job can no longer meet its deadline. Started jobs get a
// tolerance, because the work already done for them would be wasted.
func (t *Candidate) Late() bool {
	if t.Started {
		return t.Slack < -time.Duration(overrunTolerance*float64(t.RemainingPath))
	}
	return t.Slack < 0
}

// SortCandidates sorts jobs into the order in which they get capacity: lasting jobs first, then
// by priority. Within a priority, jobs that can no longer meet their deadline go last:
// when a queue demands more than its pool has, deadline order alone would make every
// job slightly late once one is. Within both groups started jobs go first: a step ends
// with its last task, so jobs that run side by side would all end late. Then come jobs
// within their team's share before those beyond it, and least slack first.
func SortCandidates(turns []Candidate) {
	sort.Slice(turns, func(i, k int) bool { return precedes(&turns[i], &turns[k]) })
}

func precedes(a, b *Candidate) bool {
	if a.LongRunning != b.LongRunning {
		return a.LongRunning
	}
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	if lateA, lateB := a.Late(), b.Late(); lateA != lateB {
		return lateB
	}
	if a.Started != b.Started {
		return a.Started
	}
	if a.OverShare != b.OverShare {
		return b.OverShare
	}
	if a.Slack != b.Slack {
		return a.Slack < b.Slack
	}
	return a.ID < b.ID
}
