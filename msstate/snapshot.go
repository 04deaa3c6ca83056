package msstate

import (
	"encoding/json"

	"marjoramspan/mslog"
)

// NewSnapshot returns the change that records s whole.
func NewSnapshot(s *State, by string) Change {
	return NewChange(KindSnapshot, by, s.Next, Snapshot{State: *s, Checksum: s.Checksum()})
}

// Restore returns the state that a snapshot record holds. The state's Next is
// at most the record's offset; the records between are still to be applied.
func Restore(r mslog.Record) (*State, error) {
	var c Change
	if err := json.Unmarshal(r.Data, &c); err != nil {
		return nil, &Error{Op: "restore", Offset: r.Offset, Reason: err.Error()}
	}
	if c.Kind != KindSnapshot {
		return nil, &Error{Op: "restore", Offset: r.Offset, Reason: "not a snapshot"}
	}
	var snap Snapshot
	if err := json.Unmarshal(c.Body, &snap); err != nil {
		return nil, &Error{Op: "restore", Offset: r.Offset, Reason: err.Error()}
	}
	if sum := snap.State.Checksum(); sum != snap.Checksum {
		return nil, &Error{Op: "restore", Offset: r.Offset, Reason: "checksum " + sum + ", recorded " + snap.Checksum}
	}
	if snap.State.Next > r.Offset {
		return nil, &Error{Op: "restore", Offset: r.Offset, Reason: "snapshot of records after itself"}
	}
	return &snap.State, nil
}

// Boot folds records, which start at the oldest one kept, from nothing or from
// the newest snapshot that joins up with them. A gap is an error, never an
// empty state.
func Boot(first uint64, records []mslog.Record) (*State, error) {
	s, err := start(first, records)
	if err != nil {
		return nil, err
	}
	for _, r := range records {
		if r.Offset < s.Next {
			continue
		}
		if _, err := s.Apply(r); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// oldest is the state before the oldest record that can be folded: nothing, or
// that of the oldest snapshot that joins up.
func oldest(first uint64, records []mslog.Record) (*State, error) {
	if first == 0 {
		return &State{}, nil
	}
	for _, r := range records {
		s, err := Restore(r)
		if err == nil && s.Next >= first {
			return s, nil
		}
	}
	return start(first, records)
}

func start(first uint64, records []mslog.Record) (*State, error) {
	for i := len(records) - 1; i >= 0; i-- {
		s, err := Restore(records[i])
		if err == nil && s.Next >= first {
			return s, nil
		}
	}
	if first == 0 {
		return &State{}, nil
	}
	return nil, &Error{Op: "boot", Offset: first, Reason: "older records have expired and no snapshot joins up with those that are left"}
}
