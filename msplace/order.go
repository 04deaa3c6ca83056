package msplace

import (
	"cmp"
	"slices"
	"time"

	"marjoramspan/msjob"
)

// Candidate holds the criteria by which Rank orders a job.
type Candidate struct {
	ID string
	// Index is for the caller's use; Rank ignores it.
	Index int
	// Pool is the pool that runs the job. Team is the job's team, or empty, and Weight the
	// team's weight; without a weight it counts as 1.
	Pool, Team string
	Weight     float64
	// Wanted is what the waiting tasks take once they all run.
	Wanted msjob.Resources
	// LongRunning jobs serve users and go first.
	LongRunning bool
	// Priority 0 goes before 1.
	Priority int
	// OverShare jobs are beyond their team's share.
	OverShare bool
	// Starved jobs are wide, and such jobs of their queue are in time too seldom. Rank places
	// them before others of their team.
	Starved bool
	// Slack is how long the job can still wait and meet its deadline.
	Slack time.Duration
	// Objective is the job's latency objective; without one the job is never useless.
	Objective time.Duration
	// RemainingPath is the estimated length of the remaining critical path.
	RemainingPath time.Duration
	// Started is set once a task of the job was started.
	Started bool
	// Share is the part of the pool that the team took when Rank placed the job, if it went
	// by shares.
	Share float64

	stage stage
	// work and next are used by Rank only.
	work *teamWork
	next *Candidate
}

// overrunTolerance is the fraction of its remaining work by which a started job may be
// behind and still count as in time: estimates are off by up to half.
const overrunTolerance = 0.5

// maxLatenessFactor is the multiple of its latency objective after which callers have no
// use for the result of a job.
const maxLatenessFactor = 3

// Late reports whether the job can no longer meet its deadline. Started jobs get a
// tolerance, because the work already done for them would be wasted.
func (t *Candidate) Late() bool {
	return t.Slack < -t.tolerance()
}

// Useless reports whether the job would end so late that callers have no use for the
// result.
func (t *Candidate) Useless() bool {
	return !t.LongRunning && t.Objective > 0 && t.Slack < -t.tolerance()-(maxLatenessFactor-1)*t.Objective
}

func (t *Candidate) tolerance() time.Duration {
	if t.Started {
		return time.Duration(overrunTolerance * float64(t.RemainingPath))
	}
	return 0
}

// stage is the group of jobs of a priority in which a job is placed.
type stage int

const (
	stageLongRunning stage = iota
	// stageStarted jobs have begun and can end in time.
	stageStarted
	// stageWaiting jobs have not begun and can end in time.
	stageWaiting
	// stageLate jobs can't end in time, begun or not.
	stageLate
	// stageUseless jobs can't end while callers have a use for their result.
	stageUseless
)

func (t *Candidate) findStage() stage {
	switch {
	case t.LongRunning:
		return stageLongRunning
	case t.Useless():
		return stageUseless
	case t.Late():
		return stageLate
	case t.Started:
		return stageStarted
	}
	return stageWaiting
}

// SortCandidates sorts jobs into the order in which they get capacity, apart from the
// shares of the teams. Long-running jobs go first and useless ones last. In between go
// the priorities. Within a priority, jobs that can no longer meet their deadline go last:
// when a queue demands more than its pool has, deadline order alone would make every
// job slightly late once one is. The least late of them goes first, as the others lose
// less by waiting. Of the jobs in time started ones go first: a step ends with its last
// task, so jobs that run side by side would all end late. Then come
// jobs within their team's share before those beyond it, and least slack first.
func SortCandidates(candidates []*Candidate) {
	for _, c := range candidates {
		c.stage = c.findStage()
	}
	slices.SortFunc(candidates, compareCandidates)
}

func compareCandidates(a, b *Candidate) int {
	if a.stage != b.stage && (a.isOutsidePriorities() || b.isOutsidePriorities()) {
		return cmp.Compare(a.stage, b.stage)
	}
	if a.Priority != b.Priority {
		return cmp.Compare(a.Priority, b.Priority)
	}
	if a.stage != b.stage {
		return cmp.Compare(a.stage, b.stage)
	}
	if a.OverShare != b.OverShare && a.stage != stageLate {
		return boolToInt(a.OverShare) - boolToInt(b.OverShare)
	}
	bySlack := cmp.Compare(a.Slack, b.Slack)
	if a.stage >= stageLate {
		bySlack = -bySlack
	}
	return cmp.Or(bySlack, cmp.Compare(a.ID, b.ID))
}

// isOutsidePriorities reports whether the job's place doesn't depend on its priority.
func (t *Candidate) isOutsidePriorities() bool {
	return t.stage == stageLongRunning || t.stage == stageUseless
}
