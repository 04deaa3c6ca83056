package msplace

import (
	"sort"
	"time"
)

// Turn is what a job's place in the queue rests on.
type Turn struct {
	ID string
	// Index is the caller's own.
	Index int
	// Lasting jobs serve users now and go first.
	Lasting bool
	// Priority 0 goes before 1.
	Priority int
	// Excess jobs are beyond their team's share.
	Excess bool
	// Slack is the time that the job may still wait and be in time.
	Slack time.Duration
	// Left is the estimated chain of work that isn't done.
	Left time.Duration
	// Begun jobs have had a task started.
	Begun bool
}

// lateShare is the share of the work left by which a begun job may be behind and
// still be in time: estimates are off by up to half.
const lateShare = 0.5

// Late says whether the job can't be in time any more. What was done for a begun job
// would be lost, so it gets the benefit of the doubt.
func (t *Turn) Late() bool {
	if t.Begun {
		return t.Slack < -time.Duration(lateShare*float64(t.Left))
	}
	return t.Slack < 0
}

// Order sorts jobs into the order in which they get room. It answers the load of a
// queue that asks for more than its pool holds: by due time alone each job would
// be just too late once one is, so jobs that can't be in time any more go behind
// all that can. Of both kinds begun jobs go first, as a step ends with its last task
// and jobs that are begun side by side all end late; then those within their team's
// share, then the one with the least slack.
func Order(turns []Turn) {
	sort.Slice(turns, func(i, k int) bool { return before(&turns[i], &turns[k]) })
}

func before(a, b *Turn) bool {
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
