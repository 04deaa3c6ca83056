// Package msworker defines the scheduler's view of workers and VMs, and the calls that
// control them.
//
// Registry is the platform's list of workers, which lags behind their actual state.
// Orders and VMs hold the calls to a worker and to the VM service; the platform's
// adapter provides the functions. Lease tracks until when a worker may run its tasks,
// in terms of the worker's own clock.
package msworker

import (
	"context"
	"errors"
	"sync"
	"time"

	"marjoramspan/msjob"
)

// Worker is a row of the registry.
type Worker struct {
	// ID identifies one incarnation of a VM in a pool. A restart may keep the ID.
	ID         string
	Address    string
	Pool       string
	DataCentre string
	Rack       string
	Labels     []string
	Capacity   msjob.Resources
	Draining   bool
	// RemainingTime is the minimum time that a draining worker still stays.
	RemainingTime time.Duration
	// ProcessStart is when the worker's process started, in Unix milliseconds on the worker's
	// clock. It distinguishes restarts that keep the ID.
	ProcessStart int64
	// VM is the name of the VM that the worker is an incarnation of, or empty if its entry
	// does not name it.
	VM string
	// WarmupLeft is how much longer a worker that has just come up runs tasks slowly.
	WarmupLeft time.Duration
}

// Start is the order to start an attempt of a task.
type Start struct {
	Task    msjob.TaskID
	Attempt int
	Spec    string
	// Until is when the lease of the worker ends, on the worker's clock. The lease
	// covers all attempts on the worker.
	Until time.Duration
	// Token is the scheduler's fencing token.
	Token      int64
	Checkpoint string
	// Ticket is the advisor's permission, for queues that require one.
	Ticket string
}

// Stop is the order to stop an attempt, or to prevent it from starting.
type Stop struct {
	Task    msjob.TaskID
	Attempt int
	Token   int64
}

// Throttle is the order to run an attempt at a fraction of its full speed.
type Throttle struct {
	Task    msjob.TaskID
	Attempt int
	// Percent is the speed, from 0 to 100.
	Percent int
	Token   int64
}

// LeaseRenewal renews a worker's lease and polls for running and ended attempts.
type LeaseRenewal struct {
	// Until, if not 0, is the new end of the lease on the worker's clock.
	Until time.Duration
	Token int64
	// Acked acknowledges the ends up to this number, which the worker then drops. It is not
	// sent to a process that has not reported before, whose ends have numbers of their own.
	Acked int64
	// Wait is how long the worker may wait for an attempt to end before it responds.
	Wait time.Duration
}

// Report is a worker's response to a LeaseRenewal.
type Report struct {
	ProcessStart int64
	Clock        time.Duration
	Running      []Run
	// Ended holds at most MaxEnds unacknowledged ends, oldest first.
	Ended []End
}

// MaxEnds is the maximum number of ends in one report.
const MaxEnds = 500

// Run is a running attempt.
type Run struct {
	Task       msjob.TaskID
	Attempt    int
	Checkpoint string
	// Percent is the progress of the task, or 100 for a lasting task that is serving.
	Percent int
	// Usage is the CPU usage in millicores. For a lasting task with a latency target it
	// is the tail latency in milliseconds instead.
	Usage int64
}

// EndReason is the way in which an attempt ended.
type EndReason string

// The ways in which attempts end.
const (
	EndDone    EndReason = "done"
	EndFailed  EndReason = "failed"
	EndStopped EndReason = "stopped"
	EndLapsed  EndReason = "lapsed"
	EndBroken  EndReason = "broken"
	EndAlone   EndReason = "alone"
)

// End is an attempt that has ended. N numbers the ends of one incarnation of a worker.
type End struct {
	Seq        int64
	Task       msjob.TaskID
	Attempt    int
	Reason     EndReason
	Checkpoint string
}

// Orders holds the calls to a worker. Each returns the worker's clock, and an *Error if
// the order was not executed or may not have been.
//
// Start and RenewLease are for the life of the worker that Worker.ProcessStart names, as lease
// ends are on its clock and it numbers its ends. To another life, Start isn't sent, and RenewLease
// asks for the report only.
type Orders struct {
	Start      func(ctx context.Context, w Worker, s Start) (time.Duration, error)
	Stop       func(ctx context.Context, w Worker, s Stop) (time.Duration, error)
	Throttle   func(ctx context.Context, w Worker, p Throttle) (time.Duration, error)
	RenewLease func(ctx context.Context, w Worker, h LeaseRenewal) (Report, error)
}

// AdviceRequest asks an Advisor which of the given workers may run a step.
type AdviceRequest struct {
	Job              string
	Occurrence, Step int
	Workers          []string
}

// Advisor returns the tickets of the workers that may run the step, by worker id, and
// how long the tickets are valid.
type Advisor func(ctx context.Context, q AdviceRequest) (map[string]string, time.Duration, error)

// Reason is why an order failed.
type Reason int

// The reasons of an Error.
const (
	// Unknown orders may or may not have been executed, or may execute later.
	Unknown Reason = iota
	// NotSent orders never left this process.
	NotSent
	// Fenced orders had a lower fencing token than one the worker has already seen.
	Fenced
	// Stale orders are for an attempt no newer than one that ended on the worker.
	Stale
	// Late orders arrived after the end of the lease that they carried.
	Late
	// NoCapacity, NoTicket and Unhealthy orders were rejected and had no effect: the worker
	// lacks capacity, wants a valid ticket, or takes no orders at present.
	NoCapacity
	NoTicket
	Unhealthy
	// OtherInstance means that a different worker responds at the address, such as a later
	// incarnation of the same VM.
	OtherInstance
	// Invalid orders can't be parsed by the worker.
	Invalid
)

// String returns the reason's name, as in logs.
func (r Reason) String() string {
	return [...]string{"unknown", "not-sent", "fenced", "stale", "late", "no-room", "no-ticket", "unhealthy", "other-life", "invalid"}[r]
}

// Error reports an order that was not executed, or may not have been.
type Error struct {
	Worker string
	Reason Reason
	// ProcessStart is the start time of the life that answered, if it isn't the one that the
	// order was for.
	ProcessStart int64
	Err          error
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

// ReasonOf returns the reason of err, or Unknown if err wraps no *Error.
func ReasonOf(err error) Reason {
	var e *Error
	if errors.As(err, &e) {
		return e.Reason
	}
	return Unknown
}

// FoundOtherLife reports whether an order wasn't sent because another life of the worker answers.
func FoundOtherLife(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.ProcessStart != 0
}

// Registry is the list of workers. The zero value is empty and ready to use. It is safe
// for concurrent use.
type Registry struct {
	// OnChange, if set, is called after each Set and Drop, without locks held.
	OnChange func()

	mu      sync.Mutex
	workers map[string]Worker
	// refused has the IDs whose latest entry can't be used.
	refused map[string]bool
	version int64
}

// Version returns a number that rises with each change of the list, so that readers can
// tell whether All would return anything new.
func (r *Registry) Version() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}

// Set adds or replaces a worker.
func (r *Registry) Set(w Worker) {
	r.mu.Lock()
	if r.workers == nil {
		r.workers = map[string]Worker{}
	}
	r.workers[w.ID] = w
	delete(r.refused, w.ID)
	r.version++
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
	delete(r.refused, id)
	r.version++
	fn := r.OnChange
	r.mu.Unlock()
	if fn != nil {
		fn()
	}
}

// Refuse removes a worker whose latest entry can't be used.
func (r *Registry) Refuse(id string) {
	r.mu.Lock()
	delete(r.workers, id)
	if r.refused == nil {
		r.refused = map[string]bool{}
	}
	r.refused[id] = true
	r.version++
	fn := r.OnChange
	r.mu.Unlock()
	if fn != nil {
		fn()
	}
}

// Refused reports whether the latest entry of a worker can't be used.
func (r *Registry) Refused(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.refused[id]
}

// Reset removes all workers. It doesn't call OnChange.
func (r *Registry) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.workers, r.refused = nil, nil
	r.version++
}

// Worker returns the worker with the given id.
func (r *Registry) Worker(id string) (Worker, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w, ok := r.workers[id]
	return w, ok
}

// All returns a copy of the list, by worker id.
func (r *Registry) All() map[string]Worker {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make(map[string]Worker, len(r.workers))
	for id, w := range r.workers {
		all[id] = w
	}
	return all
}
