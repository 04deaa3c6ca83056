package msworker

import "time"

// absentWait is how long after its start was first sent a task is kept for a worker that the platform
// lists without a life. A task whose turn has come may have nothing running for 7 s while nothing
// else fails, and a busy leader takes up to two of these to find a worker and start it there.
const absentWait = 5 * time.Second

// NextLife is what the platform's list says of the life of a worker that may carry out a call which an
// earlier life has not answered.
type NextLife int

// The kinds of NextLife.
const (
	// NextPossible lives are listed, or may be: the worker is cut off, or the list is too old.
	NextPossible NextLife = iota
	// NextAbsent workers are not listed as up. They may come back under the same ID.
	NextAbsent
	// NextReplaced workers never come back, as their VM runs another one.
	NextReplaced
)

// String returns the name of the kind, as in logs.
func (n NextLife) String() string {
	return [...]string{"possible", "absent", "replaced"}[n]
}

// SentStarts bounds when the starts of one attempt were sent that got no answer, by this scheduler or
// an earlier one. The zero value has none.
type SentStarts struct {
	// First is the earliest time at which the first of them was sent, and Last the latest
	// time at which the last one was.
	First, Last time.Time
}

// Sent records that a start was sent.
func (s *SentStarts) Sent(now time.Time) {
	if s.First.IsZero() {
		s.First = now
	}
	if now.After(s.Last) {
		s.Last = now
	}
}

// MayArrive reports whether another life of the worker may still carry out one of the starts. A life
// that has answered a higher fencing token carries out none, which its next answer shows. Until
// there is such an answer the age of the starts decides.
func (s *SentStarts) MayArrive(now time.Time, next NextLife) bool {
	switch {
	case s.Last.IsZero() || next == NextReplaced:
		return false
	case next == NextAbsent && now.Sub(s.First) >= absentWait:
		return false
	}
	return now.Sub(s.Last) < MaxCallDelay
}
