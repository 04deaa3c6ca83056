package mslog

import (
	"errors"
	"fmt"
	"net/http"
)

// Kind sorts errors by what the caller may conclude from them.
type Kind int

const (
	// Unavailable means that the request did not take effect.
	Unavailable Kind = iota
	// Unknown means that the append may have taken effect, or may yet.
	Unknown
	// Expired means that the records asked for are no longer kept.
	Expired
	// Refused means that the request is wrong, and would be again.
	Refused
)

// String returns the kind's name.
func (k Kind) String() string {
	switch k {
	case Unavailable:
		return "unavailable"
	case Unknown:
		return "unknown"
	case Expired:
		return "expired"
	case Refused:
		return "refused"
	}
	return fmt.Sprintf("kind-%d", int(k))
}

// ErrTimeout is the cause of a request that was given up at its timeout.
var ErrTimeout = errors.New("no answer within the timeout")

// ErrGap is the cause when records that would have told the outcome expired.
var ErrGap = errors.New("records expired before they were read")

// Error is what every operation of this package returns when it fails.
type Error struct {
	// Op is the operation: append, read or vms.
	Op     string
	Stream string
	Kind   Kind
	// First is the oldest offset that is left, where Kind is Expired.
	First uint64
	Err   error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("log: %s %s: %s: %v", e.Op, e.Stream, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

func (e Error) with(k Kind, err error) *Error {
	e.Kind = k
	e.Err = err
	return &e
}

// KindOf returns the kind of the Error in err's chain. An error of any other
// type is Unknown, from which a caller concludes the least. It is not for a nil
// error.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Unknown
}

const maxStatusBody = 200

// StatusError is an answer of the platform with an unexpected status.
type StatusError struct {
	Status int
	Body   string
}

// Error returns the status and the start of the answer's body.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.Status, e.Body)
}

// appendKind sorts the status of an append. The platform promises that 503 and
// the refusals took no effect; of any other status nothing is known.
func appendKind(status int) Kind {
	switch {
	case status == http.StatusServiceUnavailable:
		return Unavailable
	case status >= 400 && status < 500:
		return Refused
	}
	return Unknown
}

func readKind(status int) Kind {
	if status >= 400 && status < 500 {
		return Refused
	}
	return Unavailable
}
