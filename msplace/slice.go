package msplace

import "time"

// Slice bounds the time that a pass spends on the tasks of one pool, so that the pools take turns and
// what waits for the pass doesn't wait for all of them. The zero value has no bound.
type Slice struct {
	Limit time.Duration

	spent   time.Duration
	begunAt time.Time
}

// Begin and End enclose the time that counts.
func (s *Slice) Begin(now time.Time) {
	s.begunAt = now
}

// End adds the time since Begin.
func (s *Slice) End(now time.Time) {
	s.spent += now.Sub(s.begunAt)
	s.begunAt = now
}

// Ended returns the time of the latest End.
func (s *Slice) Ended() time.Time {
	return s.begunAt
}

// IsOver reports whether the time is spent, at now after Begin.
func (s *Slice) IsOver(now time.Time) bool {
	return s.Limit > 0 && s.spent+now.Sub(s.begunAt) >= s.Limit
}
