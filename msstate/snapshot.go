package msstate

import (
	"encoding/json"

	"marjoramspan/mslog"
)

// NewSnapshot returns a change that holds the whole of s.
func NewSnapshot(s *State, by string) Change {
	return NewChange(KindSnapshot, by, s.Next, Snapshot{State: *s, Checksum: s.Checksum()})
}

// Restore returns the state that a snapshot record holds. The state's Next is at
// most the record's offset. The records from Next on are still to be applied.
func Restore(r mslog.Record) (*State, error) {
	var c Change
	if err := json.Unmarshal(r.Data, &c); err != nil {
		return nil, &Error{Op: "restore", Offset: r.Offset, Reason: err.Error()}
	}
	if c.Kind != KindSnapshot {
		return nil, &Error{Op: "restore", Offset: r.Offset, Reason: "the record is not a snapshot"}
	}
	var snap Snapshot
	if err := json.Unmarshal(c.Body, &snap); err != nil {
		return nil, &Error{Op: "restore", Offset: r.Offset, Reason: err.Error()}
	}
	if sum := snap.State.Checksum(); sum != snap.Checksum {
		return nil, &Error{Op: "restore", Offset: r.Offset, Reason: "the checksum is " + sum + ", the snapshot states " + snap.Checksum}
	}
	if snap.State.Next > r.Offset {
		return nil, &Error{Op: "restore", Offset: r.Offset, Reason: "the snapshot includes its own offset or later ones"}
	}
	return &snap.State, nil
}

// Replay returns the state after records, which start at the oldest retained offset.
// It starts from the newest valid snapshot that leaves no gap before the records,
// or from the zero state where they start at offset 0. A gap is an error, never
// an empty state.
func Replay(first uint64, records []mslog.Record) (*State, error) {
	s, err := startState(first, records)
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

// oldestState returns the earliest state from which the records can be applied
// without a gap: the zero state where they start at offset 0, otherwise that of
// the oldest valid snapshot.
func oldestState(first uint64, records []mslog.Record) (*State, error) {
	if first == 0 {
		return &State{}, nil
	}
	for _, r := range records {
		s, err := Restore(r)
		if err == nil && s.Next >= first {
			return s, nil
		}
	}
	return startState(first, records)
}

func startState(first uint64, records []mslog.Record) (*State, error) {
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
