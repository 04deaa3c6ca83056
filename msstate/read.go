package msstate

import (
	"context"
	"errors"
	"time"

	"marjoramspan/msclock"
	"marjoramspan/mslog"
)

// Reading is the state stream as it was read from its oldest record to its end.
type Reading struct {
	// First is the oldest offset that is kept.
	First   uint64
	Records []mslog.Record
	// Start is when the read began that found the end.
	Start time.Time
}

// pageRecords is how many records are read at a time.
const pageRecords = 1000

// Read reads a stream whole.
func Read(ctx context.Context, c *mslog.Client, clock msclock.Clock, stream string) (Reading, error) {
	page, err := readFirst(ctx, c, stream)
	if err != nil {
		return Reading{}, err
	}
	all := Reading{First: page.First, Records: page.Records}
	for {
		all.Start = clock.Now()
		next := all.First + uint64(len(all.Records))
		page, err = c.Read(ctx, mslog.Query{Stream: stream, From: next, Max: pageRecords})
		if err != nil {
			return Reading{}, err
		}
		all.Records = append(all.Records, page.Records...)
		if all.First+uint64(len(all.Records)) >= page.End {
			return all, nil
		}
	}
}

func readFirst(ctx context.Context, c *mslog.Client, stream string) (mslog.Page, error) {
	page, err := c.Read(ctx, mslog.Query{Stream: stream, Max: pageRecords})
	var expired *mslog.Error
	if errors.As(err, &expired) && expired.Kind == mslog.Expired {
		return c.Read(ctx, mslog.Query{Stream: stream, From: expired.First, Max: pageRecords})
	}
	return page, err
}

// State folds the reading.
func (r Reading) State() (*State, error) {
	return Boot(r.First, r.Records)
}

// present returns an entry for each member of the state that an audit starts at.
func (r Reading) present(s *State) []Entry {
	var entries []Entry
	for _, m := range s.Members {
		out := Outcome{Version: m.Since, Accepted: true, Change: NewChange(KindMemberJoin, "snapshot", 0, MemberJoin{Member: m})}
		entries = append(entries, Entry{Time: r.Records[0].Time, Outcome: out})
	}
	return entries
}

// Entry is one line of the audit trail: a record and what became of it.
type Entry struct {
	Time    time.Time `json:"time"`
	ID      string    `json:"id"`
	Outcome Outcome   `json:"outcome"`
}

// Audit folds the reading from its oldest record that can be folded and returns
// what became of each, and the state at the end. Members of the state before
// come first, as entries that join again at the time of the oldest record.
func (r Reading) Audit() ([]Entry, *State, error) {
	s, err := oldest(r.First, r.Records)
	if err != nil {
		return nil, nil, err
	}
	entries := r.present(s)
	for _, rec := range r.Records {
		if rec.Offset < s.Next {
			continue
		}
		out, err := s.Apply(rec)
		if err != nil {
			return nil, nil, err
		}
		entries = append(entries, Entry{Time: rec.Time, ID: rec.ID, Outcome: out})
	}
	return entries, s, nil
}
