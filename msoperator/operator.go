// Package msoperator is what operators do to the fleet and ask of it.
//
// Commands change something: each is one record on the platform's log, and its
// result is what the fold says of that record once it has been read back. An
// operator is told "accepted" or why not, never "sent". Queries change nothing:
// they read the log, or ask the entries. The two lie in files of their own.
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

// Operator acts for one person. Log and By must be set.
type Operator struct {
	Log *mslog.Client
	// By names the person in the audit trail.
	By string
	// Clock is the time; the default is the machine's.
	Clock msclock.Clock
	// HTTP asks the entries; the default has a timeout of askTimeout.
	HTTP *http.Client
	// Jitter returns numbers in [0, 1) for the pauses between tries.
	Jitter func() float64
}

const (
	streamState   = "state"
	streamAccount = "account"
	// askTimeout bounds one question to an entry.
	askTimeout = 2 * time.Second
)

// Kind sorts errors by what the operator can do about them.
type Kind string

// The kinds of error.
const (
	// Rejected means that the change was read back and is void.
	Rejected Kind = "rejected"
	// Unavailable means that the log could not be reached: nothing has changed.
	Unavailable Kind = "unavailable"
	// Undecided means that the log took no answer back: the change may stand.
	Undecided Kind = "undecided"
	// Invalid means that the change was refused before it was sent.
	Invalid Kind = "invalid"
)

// Error is a command or query that did not succeed.
type Error struct {
	Op     string
	Kind   Kind
	Reason string
	Err    error
}

// Error returns what was tried and why it failed.
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

func (o *Operator) read(ctx context.Context, op string) (msstate.History, *msstate.State, error) {
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
