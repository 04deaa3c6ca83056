package mslog

import (
	"context"
	"errors"

	"marjoramspan/msclock"
)

// DefaultMaxAttempts is the default limit on the number of attempts of one
// AppendOnce.
const DefaultMaxAttempts = 6

// Appender appends single records and reports whether each append took effect.
//
// A request that timed out may still take effect after the stream was searched
// for its record. A record can therefore appear in the stream twice; readers
// use the first record of each id.
type Appender struct {
	Client *Client
	// Clock times the backoff between attempts. The default is the client's.
	Clock msclock.Clock
	// Jitter returns numbers from [0, 1) that randomize the backoff.
	Jitter func() float64
	// MaxAttempts limits the attempts of one AppendOnce. An attempt may search for
	// the record, append it and read it back. The default is DefaultMaxAttempts.
	MaxAttempts int
}

// appendOp is the state of one AppendOnce.
type appendOp struct {
	stream string
	record Record
	// from is a lower bound for the record's offset.
	from uint64
	// mayExist reports whether the record may be in the stream at or after
	// offset from.
	mayExist bool
	// outcomeUnknown reports whether some append of the record got no
	// response.
	outcomeUnknown bool
	// acknowledged reports whether the platform has acknowledged the record.
	acknowledged bool
}

// AppendOnce appends r and returns it as read back, with its offset and time.
// from is an end of the stream that the writer observed earlier; after a lost
// response the stream is searched from there before the record is appended
// again. An error of Kind Unknown means that r may already be in the stream or
// may still be added.
func (a *Appender) AppendOnce(ctx context.Context, stream string, from uint64, r Record) (Record, error) {
	op := appendOp{stream: stream, record: r, from: from}
	pause := backoff{clock: clockOrDefault(a.Clock, a.Client), jitter: a.Jitter}
	lastErr := errors.New("no attempt was made")
	for range a.maxAttempts() {
		got, err := a.step(ctx, &op)
		if err == nil {
			return got, nil
		}
		lastErr = err
		if KindOf(err) == Refused || KindOf(err) == Expired {
			break
		}
		if err := pause.wait(ctx); err != nil {
			lastErr = err
			break
		}
	}
	return Record{}, op.wrapError(lastErr)
}

// step searches for the record if it may exist, appends it if it does not, and
// reads it back.
func (a *Appender) step(ctx context.Context, op *appendOp) (Record, error) {
	if op.mayExist {
		r, found, err := a.lookup(ctx, op)
		if err != nil || found {
			return r, err
		}
	}
	first, err := a.Client.Append(ctx, op.stream, []Record{op.record})
	if err != nil {
		lost := KindOf(err) == Unknown
		op.outcomeUnknown = op.outcomeUnknown || lost
		op.mayExist = lost
		return Record{}, err
	}
	op.acknowledged = true
	op.mayExist = true
	if !op.outcomeUnknown {
		op.from = first
	}
	r, _, err := a.lookup(ctx, op)
	return r, err
}

// lookup searches the stream for the record. If the record is certain to be
// absent, it advances op.from to the end of the searched range.
func (a *Appender) lookup(ctx context.Context, op *appendOp) (Record, bool, error) {
	s, err := a.Client.findRecords(ctx, op.stream, op.from, map[string]bool{op.record.ID: true})
	if err != nil {
		return Record{}, false, err
	}
	r, found := s.records[op.record.ID]
	if found {
		return r, true, nil
	}
	if s.gap || op.acknowledged {
		err := &Error{Op: "look up", Stream: op.stream, Kind: Expired, Err: ErrGap}
		return Record{}, false, err
	}
	op.from = s.end
	op.mayExist = false
	return Record{}, false, nil
}

// wrapError wraps the last error in an Error whose Kind accounts for all
// attempts.
func (op *appendOp) wrapError(err error) error {
	kind := Unavailable
	if KindOf(err) == Refused {
		kind = Refused
	}
	if op.outcomeUnknown || op.acknowledged {
		kind = Unknown
	}
	return &Error{Op: "append once", Stream: op.stream, Kind: kind, Err: err}
}

func (a *Appender) maxAttempts() int {
	if a.MaxAttempts <= 0 {
		return DefaultMaxAttempts
	}
	return a.MaxAttempts
}
