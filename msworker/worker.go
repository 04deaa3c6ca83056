// Package msworker is what a scheduler knows of workers and how it orders them.
//
// Registry is the platform's lagging list of workers. Orders are the calls to one
// worker, as functions that the platform's adapter fills in. Lease keeps account
// of until when a worker may run what it was given, on the worker's own clock.
package msworker

import (
	"context"
	"errors"
	"sync"
	"time"

	"marjoramspan/msjob"
)

// Worker is an entry of the registry.
type Worker struct {
	// ID names one life of a VM in a pool; a restart may keep it.
	ID         string
	Address    string
	Pool       string
	DataCentre string
	Rack       string
	Labels     []string
	Capacity   msjob.Resources
	Draining   bool
	// Leaves is how much longer a draining worker stays at least.
	Leaves time.Duration
	// Born is when the worker's process started, in Unix milliseconds of the
	// worker; it tells restarts under one id apart.
	Born int64
}

// Start orders an attempt of a task.
type Start struct {
	Task    msjob.TaskID
	Attempt int
	Spec    string
	// Until is when the lease of all that runs on the worker ends, on its clock.
	Until time.Duration
	// Token is the fencing token.
	Token      int64
	Checkpoint string
	// Ticket is the advisor's permission, for queues that need one.
	Ticket string
}

// Stop ends an attempt, or keeps it from beginning.
type Stop struct {
	Task    msjob.TaskID
	Attempt int
	Token   int64
}

// Pace lets an attempt work at a share of its speed.
type Pace struct {
	Task    msjob.TaskID
	Attempt int
	// Percent is from 0 to 100.
	Percent int
	Token   int64
}

// Hold renews the lease and asks what runs and what has ended.
type Hold struct {
	// Until, if not 0, is when the lease ends on the worker's clock.
	Until time.Duration
	Token int64
	// Acked ends are forgotten by the worker.
	Acked int64
	// Wait is how long the worker may wait for an end before it answers.
	Wait time.Duration
}

// Report is a worker's answer to a Hold.
type Report struct {
	Born    int64
	Clock   time.Duration
	Running []Run
	// Ended has at most MaxEnds attempts, oldest first.
	Ended []End
}

// MaxEnds is the most ends of one report.
const MaxEnds = 500

// Run is an attempt that runs.
type Run struct {
	Task       msjob.TaskID
	Attempt    int
	Checkpoint string
	// Percent is how far a task is, or 100 for a lasting one at work.
	Percent int
	// Usage is the CPU in use, in thousandths of a core; for a lasting task with a
	// target it is the tail of its response times in milliseconds.
	Usage int64
}

// How says how an attempt ended.
type How string

// The ways in which attempts end.
const (
	EndDone    How = "done"
	EndFailed  How = "failed"
	EndStopped How = "stopped"
	EndLapsed  How = "lapsed"
	EndBroken  How = "broken"
	EndAlone   How = "alone"
)

// End is an attempt that has ended. N counts the ends of one life of a worker.
type End struct {
	N          int64
	Task       msjob.TaskID
	Attempt    int
	How        How
	Checkpoint string
}

// Orders are the calls to a worker. Each returns the worker's clock and an
// *Error where the order was not carried out or may not have been.
type Orders struct {
	Start func(ctx context.Context, w Worker, s Start) (time.Duration, error)
	Stop  func(ctx context.Context, w Worker, s Stop) (time.Duration, error)
	Pace  func(ctx context.Context, w Worker, p Pace) (time.Duration, error)
	Hold  func(ctx context.Context, w Worker, h Hold) (Report, error)
}

// Question asks which of some workers may run a step.
type Question struct {
	Job              string
	Occurrence, Step int
	Workers          []string
}

// Advisor answers a Question with the tickets of the workers that may run the step,
// by worker, and how long they are valid.
type Advisor func(ctx context.Context, q Question) (map[string]string, time.Duration, error)

// Reason says why an order failed.
type Reason int

// The reasons of an Error.
const (
	// Unknown orders may have been carried out, or may still be.
	Unknown Reason = iota
	// NotSent orders never left this process.
	NotSent
	// Fenced orders had a lower fencing token than the worker has seen.
	Fenced
	// Stale orders are for an attempt not newer than one that ended there.
	Stale
	// Late orders came after the lease that they named.
	Late
	// NoRoom, NoTicket and Unhealthy orders were rejected and had no effect.
	NoRoom
	NoTicket
	Unhealthy
	// OtherLife means that another worker answers at the address.
	OtherLife
	// Invalid orders are ones that the worker can't read.
	Invalid
)

// String returns the reason's name.
func (r Reason) String() string {
	return [...]string{"unknown", "not-sent", "fenced", "stale", "late", "no-room", "no-ticket", "unhealthy", "other-life", "invalid"}[r]
}

// Error is an order that was not carried out, or may not have been.
type Error struct {
	Worker string
	Reason Reason
	Err    error
}

// Error returns the worker, the reason and the cause.
func (e *Error) Error() string {
	s := "worker " + e.Worker + ": " + e.Reason.String()
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// ReasonOf returns the reason of err; what is no *Error is Unknown.
func ReasonOf(err error) Reason {
	var e *Error
	if errors.As(err, &e) {
		return e.Reason
	}
	return Unknown
}

// Registry is the list of workers. The zero value is empty.
type Registry struct {
	// OnChange, if set, is called after a change, without locks held.
	OnChange func()

	mu      sync.Mutex
	workers map[string]Worker
}

// Set adds or replaces a worker.
func (r *Registry) Set(w Worker) {
	r.mu.Lock()
	if r.workers == nil {
		r.workers = map[string]Worker{}
	}
	r.workers[w.ID] = w
	fn := r.OnChange
	r.mu.Unlock()
	if fn != nil {
		fn()
	}
}

// Drop removes a worker.
func (r *Registry) Drop(id string) {
	r.mu.Lock()
	delete(r.workers, id)
	fn := r.OnChange
	r.mu.Unlock()
	if fn != nil {
		fn()
	}
}

// Reset removes all workers.
func (r *Registry) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.workers = nil
}

// All returns the workers by id.
func (r *Registry) All() map[string]Worker {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make(map[string]Worker, len(r.workers))
	for id, w := range r.workers {
		all[id] = w
	}
	return all
}
