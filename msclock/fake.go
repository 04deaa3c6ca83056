package msclock

import (
	"sync"
	"time"
)

// Fake is a clock for tests whose time changes only through Advance. The zero
// value starts at the zero time. It is safe for concurrent use.
type Fake struct {
	mu      sync.Mutex
	now     time.Time
	waiters []waiter
}

type waiter struct {
	deadline time.Time
	ch       chan time.Time
}

// NewFake returns a Fake that starts at now.
func NewFake(now time.Time) *Fake {
	return &Fake{now: now}
}

// Now returns the start time plus all advances so far.
func (f *Fake) Now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// After returns a channel that receives the time once the clock has been advanced
// by at least d.
func (f *Fake) After(d time.Duration) <-chan time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	ch := make(chan time.Time, 1)
	if d <= 0 {
		ch <- f.now
		return ch
	}
	f.waiters = append(f.waiters, waiter{deadline: f.now.Add(d), ch: ch})
	return ch
}

// Advance moves the clock forward by d and notifies every waiter whose deadline
// has been reached.
func (f *Fake) Advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
	remaining := f.waiters[:0]
	for _, w := range f.waiters {
		if w.deadline.After(f.now) {
			remaining = append(remaining, w)
			continue
		}
		w.ch <- f.now
	}
	f.waiters = remaining
}
