package msstate

import (
	"context"
	"errors"
	"time"

	"marjoramspan/msclock"
	"marjoramspan/mslog"
)

// History holds the state stream as read from its oldest record to its end.
type History struct {
	// First is the oldest offset that the log retains.
	First   uint64
	Records []mslog.Record
	// Start is when the read that reached the end began.
	Start time.Time
}

// pageRecords is the maximum number of records per read.
const pageRecords = 1000

// Read reads a whole stream.
func Read(ctx context.Context, c *mslog.Client, clock msclock.Clock, stream string) (History, error) {
	page, err := readFirst(ctx, c, stream)
	if err != nil {
		return History{}, err
	}
	reading := History{First: page.First, Records: page.Records}
	for {
		reading.Start = clock.Now()
		next := reading.First + uint64(len(reading.Records))
		page, err = c.Read(ctx, mslog.Query{Stream: stream, From: next, Max: pageRecords})
		if err != nil {
			return History{}, err
		}
		reading.Records = append(reading.Records, page.Records...)
		if reading.First+uint64(len(reading.Records)) >= page.End {
			return reading, nil
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

// State returns the state after all records.
func (r History) State() (*State, error) {
	return Replay(r.First, r.Records)
}

// initialMembers returns an audit entry for each member of the state that the audit
// starts from.
func (r History) initialMembers(s *State) []AuditRecord {
	var entries []AuditRecord
	for _, m := range s.Members {
		out := Outcome{Version: m.Since, Accepted: true, Change: NewChange(KindMemberJoin, "snapshot", 0, MemberJoin{Member: m})}
		entries = append(entries, AuditRecord{Time: r.Records[0].Time, Outcome: out})
	}
	return entries
}

// AuditRecord is one line of the audit trail: a record and its outcome.
type AuditRecord struct {
	Time    time.Time `json:"time"`
	ID      string    `json:"id"`
	Outcome Outcome   `json:"outcome"`
}

// Audit applies the records from the oldest one for which the state before is
// known. It returns the outcome of each and the state at the end. The members of
// the state that it starts from come first, as joins at the time of the oldest
// record.
func (r History) Audit() ([]AuditRecord, *State, error) {
	s, err := oldestState(r.First, r.Records)
	if err != nil {
		return nil, nil, err
	}
	entries := r.initialMembers(s)
	for _, rec := range r.Records {
		if rec.Offset < s.Next {
			continue
		}
		out, err := s.Apply(rec)
		if err != nil {
			return nil, nil, err
		}
		entries = append(entries, AuditRecord{Time: rec.Time, ID: rec.ID, Outcome: out})
	}
	return entries, s, nil
}
