package msplace

import (
	"sort"
	"time"
)

// Turn holds the criteria by which Order sorts a job.
type Turn struct {
	ID string
	// Index is for the caller's use; Order ignores it.
	Index int
	// Lasting jobs serve users and go first.
	Lasting bool
	// Priority 0 goes before 1.
	Priority int
	// Excess jobs are beyond their team's share.
	Excess bool
	// Slack is how long the job can still wait and meet its deadline.
	Slack time.Duration
	// Left is the estimated length of the remaining critical path.
	Left time.Duration
	// Begun is set once a task of the job was started.
	Begun bool
}

// overrunTolerance is the fraction of its remaining work by which a started job may be
// behind and still count as in time: estimates are off by up to half.
const overrunTolerance = 0.5

// Late reports whether the job can no longer meet its deadline. Started jobs get a
// tolerance, because the work already done for them would be wasted.
func (t *Turn) Late() bool {
	if t.Begun {
		return t.Slack < -time.Duration(overrunTolerance*float64(t.Left))
	}
	return t.Slack < 0
}

// Order sorts jobs into the order in which they get capacity: lasting jobs first, then
// by priority. Within a priority, jobs that can no longer meet their deadline go last:
// when a queue demands more than its pool has, deadline order alone would make every
// job slightly late once one is. Within both groups started jobs go first: a step ends
// with its last task, so jobs that run side by side would all end late. Then come jobs
// within their team's share before those beyond it, and least slack first.
func Order(turns []Turn) {
	sort.Slice(turns, func(i, k int) bool { return precedes(&turns[i], &turns[k]) })
}

func precedes(a, b *Turn) bool {
	if a.Lasting != b.Lasting {
		return a.Lasting
	}
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	if lateA, lateB := a.Late(), b.Late(); lateA != lateB {
		return lateB
	}
	if a.Begun != b.Begun {
		return a.Begun
	}
	if a.Excess != b.Excess {
		return b.Excess
	}
	if a.Slack != b.Slack {
		return a.Slack < b.Slack
	}
	return a.ID < b.ID
}
