// Package msclock provides the clocks that all other packages use.
//
// Leases, deadlines and retries depend on time, and tests that wait for the wall
// clock are slow and give different results on a busy machine. Code therefore
// takes a Clock instead of calling time.Now. System reads the machine's clock,
// Boot also counts time spent in suspension, and Fake advances only when a test
// calls Advance.
package msclock

import (
	"context"
	"time"
)

// Clock returns the current time and provides timers.
type Clock interface {
	// Now returns the current time, with a monotonic clock reading where available.
	Now() time.Time
	// After returns a channel that receives the time after d.
	After(d time.Duration) <-chan time.Time
}

// System is the machine's clock, as read by package time. The zero value is ready
// for use.
type System struct{}

// Now returns time.Now().
func (System) Now() time.Time {
	return time.Now()
}

// After returns a channel that receives the time after d.
func (System) After(d time.Duration) <-chan time.Time {
	return time.After(d)
}

// Sleep waits for d on clock c. It returns early with ctx.Err() if ctx is done.
func Sleep(ctx context.Context, c Clock, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-c.After(d):
		return nil
	}
}
