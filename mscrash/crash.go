// Package mscrash tells the ends of workers that their tasks may have caused from those of a
// failure that several workers have in common, such as that of a data centre's power. It decides
// over a table of ends, without I/O.
package mscrash

import (
	"iter"
	"slices"
	"time"
)

// End is the end of one life of a worker, without an order or a notice.
type End struct {
	Worker string
	// LostAt is when calls to the worker began to fail, ListedAt when a list of VMs first showed
	// the end, both on the same clock. NextBornAt is when the worker's next life began, by its own
	// clock, which bounds the end also where it is noticed late. Each is zero if it isn't known.
	LostAt, ListedAt, NextBornAt time.Time
	// Jobs are the jobs with a task that may have ended the worker. Recent says that these tasks may
	// have just started, Older that one of them may have run for longer.
	Jobs          []string
	Recent, Older bool
}

const (
	// Span is the time within which lists of VMs show the ends of workers that fail together.
	Span = time.Second
	// callSpan is the time within which calls to them begin to fail, and within which they are
	// back.
	callSpan = 200 * time.Millisecond
)

// SharedFailure reports whether a worker has ended together with one, of any rack, that no task
// explains. It then speaks against none of its tasks.
//
// It answers a load in which many workers restart or fail at a time, again and again. Of the tasks
// that ran on them each may lose two workers in a row, as one does that crashes its workers. Tasks
// that do, of one job or of many, also end several workers at a time, but each of these has just
// started one. Ends that only such tasks could have caused are therefore no sign of a failure.
func SharedFailure(end End, others iter.Seq[End]) bool {
	for o := range others {
		if o.Worker != end.Worker && end.isTogetherWith(o) && !end.isLike(o) {
			return true
		}
	}
	return false
}

// isLike reports whether a task may have caused the other end as well, as shortly after its start or
// as a task of the same job.
func (e End) isLike(o End) bool {
	return o.Recent || e.Older && len(o.Jobs) > 0 || e.sharesJob(o)
}

func (e End) isTogetherWith(o End) bool {
	if isNear(e.LostAt, o.LostAt, callSpan) || isNear(e.NextBornAt, o.NextBornAt, callSpan) || isNear(e.ListedAt, o.ListedAt, Span) {
		return true
	}
	if !e.LostAt.IsZero() && !o.LostAt.IsZero() {
		return false
	}
	return isNear(e.LostAt, o.ListedAt, Span) || isNear(e.ListedAt, o.LostAt, Span)
}

func isNear(a, b time.Time, span time.Duration) bool {
	return !a.IsZero() && !b.IsZero() && a.Sub(b).Abs() < span
}

func (e End) sharesJob(o End) bool {
	return slices.ContainsFunc(e.Jobs, func(id string) bool { return slices.Contains(o.Jobs, id) })
}
