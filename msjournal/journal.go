// Package msjournal reads and writes streams of records in the platform's log.
//
// A Log holds the operations of the log as functions, which the platform's adapter
// implements. A Follower tails a keyed stream: it loads the newest record of each
// key, then reads all records that follow, and tracks how fresh its state is. A
// Writer appends records in batches, each exactly once even if a response is lost:
// it retries a batch under the same sequence number until its outcome is known.
package msjournal

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Record is a record of a keyed stream. An empty value deletes the key.
type Record struct {
	Key   string
	Value []byte
}

// recordHead is what the encoding of a record adds to its key and value: the length of the key.
// batchHead is what a batch adds for each record: its length.
const recordHead, batchHead = 1, 4

// Size returns the size of the record on the log, in bytes.
func (r Record) Size() int {
	return recordHead + len(r.Key) + len(r.Value)
}

// Limits bounds what one append may carry. Fields that are 0 set no bound.
type Limits struct {
	// RecordBytes is the maximum size of a record, RequestBytes that of all records of an
	// append with their lengths, in bytes.
	RecordBytes, RequestBytes int
}

// Check returns an *Error of kind Invalid if the log can't take the records in one append.
func (l Limits) Check(records []Record) error {
	total := 0
	for _, r := range records {
		total += batchHead + r.Size()
		if l.RecordBytes > 0 && r.Size() > l.RecordBytes {
			return &Error{Kind: Invalid, Op: "append", Err: fmt.Errorf("record %s has %d bytes, at most %d are allowed", r.Key, r.Size(), l.RecordBytes)}
		}
	}
	if l.RequestBytes > 0 && total > l.RequestBytes {
		return &Error{Kind: Invalid, Op: "append", Err: fmt.Errorf("%d records have %d bytes, at most %d are allowed", len(records), total, l.RequestBytes)}
	}
	return nil
}

// Fit returns how many of the records, from the first, fit into one append of at most
// maxRecords records and maxBytes bytes. It is at least 1 unless there are no records.
func (l Limits) Fit(records []Record, maxRecords, maxBytes int) int {
	if l.RequestBytes > 0 {
		maxBytes = min(maxBytes, l.RequestBytes)
	}
	n, total := 0, 0
	for n < len(records) && n < maxRecords {
		total += batchHead + records[n].Size()
		if n > 0 && total > maxBytes {
			break
		}
		n++
	}
	return n
}

// AppendRequest is a request to append records to a stream.
type AppendRequest struct {
	Stream  string
	Records []Record
	// ExpectedEnd, if set, makes the append conditional: it fails with Conflict unless the
	// stream ends at this offset.
	ExpectedEnd *int64
	// Producer, if set, makes the append idempotent: the batches of a producer have
	// increasing sequence numbers, and a higher epoch fences off lower ones.
	Producer string
	Epoch    int64
	Sequence int64
}

// Batch is the result of a read.
type Batch struct {
	Records []Record
	// From is the offset of the first record, Next the offset after the last.
	From, Next int64
	// End is the end offset of the stream at the time of the read.
	End int64
}

// Page is one page of the newest records of a stream.
type Page struct {
	Records []Record
	// Offsets holds the offset of each element of Records.
	Offsets []int64
	// Cursor is the key after which the next page starts, empty on the last page.
	Cursor string
	End    int64
}

// Log gives access to the platform's log. The errors of its functions are of type
// *Error.
type Log struct {
	// Limits are those of Append. Calls beyond them fail with Invalid.
	Limits Limits
	// Append returns the offset of the first record.
	Append func(ctx context.Context, a AppendRequest) (int64, error)
	// Read returns the records at offset from and later. It waits for the first one
	// for up to wait.
	Read func(ctx context.Context, stream string, from int64, wait time.Duration) (Batch, error)
	// Newest returns the newest record of each key, in pages. It returns the page that
	// follows the key after, or the first page if after is empty.
	Newest func(ctx context.Context, stream, after string) (Page, error)
}

// Kind classifies errors by what the caller can conclude from them.
type Kind int

// The kinds of errors.
const (
	// Unknown means that the call may or may not have been carried out.
	Unknown Kind = iota
	// Rejected means that the call had no effect.
	Rejected
	// Conflict means that the stream does not end at the offset given in AppendRequest.ExpectedEnd.
	Conflict
	// Fenced means that the log has seen a higher epoch of the producer.
	Fenced
	// OutOfSequence means that the sequence number does not follow the producer's last one.
	OutOfSequence
	// Expired means that the requested records are no longer retained.
	Expired
	// Invalid means that the log refuses the call for good, as a record is too large or can't
	// be encoded. The call had no effect, and repeating it is useless.
	Invalid
)

// String returns the kind's name.
func (k Kind) String() string {
	return [...]string{"unknown", "rejected", "conflict", "fenced", "sequence", "expired", "invalid"}[k]
}

// Error describes a failed call to the log.
type Error struct {
	Kind Kind
	Op   string
	// End is the end offset of the stream if Kind is Conflict.
	End int64
	// TooMany is set if Kind is Rejected as all callers together make more calls than the log
	// allows.
	TooMany bool
	Err     error
}

// Error returns the operation, the kind and the cause, if any.
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

// IsTooMany reports whether err is or wraps an *Error that has TooMany set.
func IsTooMany(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.TooMany
}

// KindOf returns the kind of the *Error that err is or wraps, or Unknown if there
// is none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Unknown
}
