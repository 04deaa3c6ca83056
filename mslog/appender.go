package mslog

import (
	"context"
	"errors"

	"marjoramspan/msclock"
)

// DefaultTries is how often an Appender asks the platform before it gives up.
const DefaultTries = 6

// Appender appends single records of which the writer must know the outcome.
//
// An append whose answer was given up for a timeout may take effect even after
// it was looked for. A record can therefore stand in the stream twice, and
// readers take the first of each id.
type Appender struct {
	Client *Client
	// Clock times the pauses between tries. The default is the client's.
	Clock msclock.Clock
	// Jitter returns numbers from [0, 1) that spread the pauses.
	Jitter func() float64
	// Tries bounds the appends, looks and read-backs together. The default is
	// DefaultTries.
	Tries int
}

// attempt is the state of one AppendOnce.
type attempt struct {
	stream string
	record Record
	// from is an offset before which the record can't stand.
	from uint64
	// look says that the record may be in the stream from offset from on.
	look bool
	// unknown says that some append of the record had no answer.
	unknown bool
	// appended says that the platform has acknowledged the record.
	appended bool
}

// AppendOnce appends r and returns it as read back, with its offset and time.
// from is an end of the stream that the writer knew before; after a lost
// answer the record is looked for from there before it is appended again. An
// error of Kind Unknown means that r may stand in the stream, or may yet.
func (a *Appender) AppendOnce(ctx context.Context, stream string, from uint64, r Record) (Record, error) {
	at := attempt{stream: stream, record: r, from: from}
	pause := backoff{clock: clockOr(a.Clock, a.Client), jitter: a.Jitter}
	last := errors.New("not tried")
	for range a.tries() {
		got, err := a.step(ctx, &at)
		if err == nil {
			return got, nil
		}
		last = err
		if KindOf(err) == Refused || KindOf(err) == Expired {
			break
		}
		if err := pause.wait(ctx); err != nil {
			last = err
			break
		}
	}
	return Record{}, at.fail(last)
}

// step looks for the record if it may be there, appends it if it is not, and
// reads it back.
func (a *Appender) step(ctx context.Context, at *attempt) (Record, error) {
	if at.look {
		r, found, err := a.lookup(ctx, at)
		if err != nil || found {
			return r, err
		}
	}
	first, err := a.Client.Append(ctx, at.stream, []Record{at.record})
	if err != nil {
		lost := KindOf(err) == Unknown
		at.unknown = at.unknown || lost
		at.look = lost
		return Record{}, err
	}
	at.appended = true
	at.look = true
	if !at.unknown {
		at.from = first
	}
	r, _, err := a.lookup(ctx, at)
	return r, err
}

// lookup searches the stream for the record. Where it is surely not there, the
// attempt is moved to the end that was reached.
func (a *Appender) lookup(ctx context.Context, at *attempt) (Record, bool, error) {
	s, err := a.Client.find(ctx, at.stream, at.from, map[string]bool{at.record.ID: true})
	if err != nil {
		return Record{}, false, err
	}
	r, found := s.records[at.record.ID]
	if found {
		return r, true, nil
	}
	if s.gap || at.appended {
		err := &Error{Op: "look up", Stream: at.stream, Kind: Expired, Err: ErrGap}
		return Record{}, false, err
	}
	at.from = s.end
	at.look = false
	return Record{}, false, nil
}

// fail turns the last error into one whose Kind covers all tries.
func (at *attempt) fail(err error) error {
	kind := Unavailable
	if KindOf(err) == Refused {
		kind = Refused
	}
	if at.unknown || at.appended {
		kind = Unknown
	}
	return &Error{Op: "append once", Stream: at.stream, Kind: kind, Err: err}
}

func (a *Appender) tries() int {
	if a.Tries <= 0 {
		return DefaultTries
	}
	return a.Tries
}
