// Package msoperator implements the operator's commands and queries.
//
// A command appends one record to the platform's log, reads the log back and
// replays it. Its result is whether the replayed state accepted the record, and
// why not, rather than only that the record was sent. A query changes nothing: it
// reads the log or the status of the entries. Commands and queries are in
// separate files.
package msoperator

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"marjoramspan/msclock"
	"marjoramspan/mslog"
	"marjoramspan/msstate"
)

// Operator runs commands and queries on behalf of one person. Log and By must be set.
type Operator struct {
	Log *mslog.Client
	// By is the person's name in the audit log.
	By string
	// Clock defaults to the system clock.
	Clock msclock.Clock
	// HTTP requests the status of entries. The default client has a timeout of
	// statusTimeout.
	HTTP *http.Client
	// Jitter returns numbers in [0, 1) that randomize the backoff between retries.
	Jitter func() float64
}

const (
	streamState   = "state"
	streamAccount = "account"
	// statusTimeout limits one status request to an entry.
	statusTimeout = 2 * time.Second
)

// Kind classifies errors by what the operator can do about them.
type Kind string

// Error kinds.
const (
	// Rejected means that the change would break a rule, or was read back and not
	// accepted. It has no effect.
	Rejected Kind = "rejected"
	// Unavailable means that the log could not be reached or refused the record.
	// Nothing has changed.
	Unavailable Kind = "unavailable"
	// OutcomeUnknown means that the outcome is unknown: the change may have been or may
	// still be accepted.
	OutcomeUnknown Kind = "undecided"
	// Invalid means that the change was refused before it was sent to the log.
	Invalid Kind = "invalid"
)

// Error is the error of a failed command or query.
type Error struct {
	Op     string
	Kind   Kind
	Reason string
	Err    error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	s := fmt.Sprintf("%s: %s", e.Op, e.Kind)
	if e.Reason != "" {
		s += ": " + e.Reason
	}
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

func (o *Operator) clock() msclock.Clock {
	if o.Clock == nil {
		return msclock.System{}
	}
	return o.Clock
}

// readState reads the state stream and replays it.
func (o *Operator) readState(ctx context.Context, op string) (msstate.History, *msstate.State, error) {
	r, err := msstate.Read(ctx, o.Log, o.clock(), streamState)
	if err != nil {
		return msstate.History{}, nil, &Error{Op: op, Kind: Unavailable, Err: err}
	}
	s, err := r.State()
	if err != nil {
		return msstate.History{}, nil, &Error{Op: op, Kind: Unavailable, Err: err}
	}
	return r, s, nil
}
