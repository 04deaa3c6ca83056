package msclock

import (
	"context"
	"sync"
	"time"
)

// stallPoll is the time between two looks of a StallDetector.
const stallPoll = 50 * time.Millisecond

// StallDetector notices that the process stood still: it was suspended, or got no processor. What
// arrived meanwhile has waited unseen. Its exported fields must be set before Run. It is safe
// for concurrent use.
type StallDetector struct {
	Clock Clock
	// Min is the shortest stall that counts.
	Min time.Duration
	// OnStall, if set, is called after a stall.
	OnStall func(d time.Duration)

	mu           sync.Mutex
	lookedAt     time.Time
	began, ended time.Time
}

// Run looks at the clock until ctx is done.
func (s *StallDetector) Run(ctx context.Context) error {
	for {
		s.look()
		if Sleep(ctx, s.Clock, stallPoll) != nil {
			return nil
		}
	}
}

// look notes a stall if the last look was long ago.
func (s *StallDetector) look() {
	s.mu.Lock()
	now := s.Clock.Now()
	last := s.lookedAt
	s.lookedAt = now
	d := now.Sub(last) - stallPoll
	if last.IsZero() || d < s.Min {
		s.mu.Unlock()
		return
	}
	s.began, s.ended = last, now
	s.mu.Unlock()
	if s.OnStall != nil {
		s.OnStall(d)
	}
}

// Last returns when the process last stood still, or zero times. It looks at the clock first, so
// that a stall that has just ended is known.
func (s *StallDetector) Last() (began, ended time.Time) {
	s.look()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.began, s.ended
}
