package mslog

import (
	"errors"
	"fmt"
	"net/http"
)

// Kind classifies errors by what the caller may conclude about the request.
type Kind int

const (
	// Unavailable means that the request did not take effect.
	Unavailable Kind = iota
	// Unknown means that the append may have taken effect or may still do so.
	Unknown
	// Expired means that the requested records are no longer retained.
	Expired
	// Refused means that the request is invalid and would fail again if
	// repeated.
	Refused
)

// String returns the name of the kind.
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

// ErrTimeout is the cause of a request that exceeded its timeout.
var ErrTimeout = errors.New("no response within the timeout")

// ErrGap is the cause when the outcome of an append is unknown because records
// expired before they were read.
var ErrGap = errors.New("records expired before they were read")

// Error is the error type of all Client, Appender and Batcher operations.
type Error struct {
	// Op is the operation, such as append, read or vms.
	Op     string
	Stream string
	Kind   Kind
	// First is the oldest retained offset if Kind is Expired.
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

// KindOf returns the Kind of the first Error in err's chain. For any other
// error it returns Unknown, the kind from which a caller can conclude the
// least. err must not be nil.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Unknown
}

const maxStatusBodyBytes = 200

// StatusError reports a response with an unexpected HTTP status.
type StatusError struct {
	Status int
	Body   string
}

// Error returns the status and the start of the response body.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.Status, e.Body)
}

// appendKind classifies the HTTP status of an append. The platform guarantees
// that an append that failed with 503 or a 4xx status had no effect; for any
// other status the outcome is unknown.
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
