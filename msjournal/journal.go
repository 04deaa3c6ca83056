// Package msjournal reads and writes streams of records on the platform's log.
//
// A Log is what the platform offers, as functions that the platform's adapter
// fills in. Follower keeps up with a keyed stream: it reads the newest record of
// each key, then all that follow, and knows how old its view is. Writer appends
// in batches, each exactly once, also where an answer is lost: a batch is sent
// again under its sequence number until its outcome is known.
package msjournal

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Record is a record of a keyed stream. Without a value it drops the key.
type Record struct {
	Key   string
	Value []byte
}

// Append is a call that appends records to a stream.
type Append struct {
	Stream  string
	Records []Record
	// At, if set, is the offset at which the stream must end.
	At *int64
	// Producer, if set, makes the append idempotent: batches of a producer have
	// rising sequence numbers, and a higher epoch shuts out lower ones.
	Producer string
	Epoch    int64
	Sequence int64
}

// Batch is what a read returns.
type Batch struct {
	Records []Record
	// From is the offset of the first record, Next the one after the last.
	From, Next int64
	// End is where the stream ended.
	End int64
}

// Page is a part of the newest records of a stream.
type Page struct {
	Records []Record
	// Offsets are the offsets of Records.
	Offsets []int64
	// More is the key to go on after; empty on the last page.
	More string
	End  int64
}

// Log is the platform's log. Its functions return an *Error.
type Log struct {
	// Append returns the offset of the first record.
	Append func(ctx context.Context, a Append) (int64, error)
	// Read waits up to wait for a record at from or later.
	Read func(ctx context.Context, stream string, from int64, wait time.Duration) (Batch, error)
	// Newest returns the newest record of each key in pages.
	Newest func(ctx context.Context, stream, after string) (Page, error)
}

// Kind says what an error means for the caller.
type Kind int

// The kinds of errors.
const (
	// Unknown errors leave open whether the call was carried out.
	Unknown Kind = iota
	// Rejected calls had no effect.
	Rejected
	// Conflict means that the stream doesn't end where the append wanted.
	Conflict
	// Fenced means that a higher epoch of the producer was seen.
	Fenced
	// Sequence means that the sequence number doesn't follow the last one.
	Sequence
	// Expired means that the records asked for are gone.
	Expired
)

// String returns the kind's name.
func (k Kind) String() string {
	return [...]string{"unknown", "rejected", "conflict", "fenced", "sequence", "expired"}[k]
}

// Error is a call of the log that did not do what it should.
type Error struct {
	Kind Kind
	Op   string
	// End is where the stream ends, with a Conflict.
	End int64
	Err error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("log %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("log %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// KindOf returns the kind of err; what is no *Error is Unknown.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Unknown
}
