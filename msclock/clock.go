// Package msclock is the source of time for every other package.
//
// Leases, deadlines and retries are all questions about time, and a test that
// waits for the wall clock to answer them is slow and gives a different verdict
// on a busy machine. Code therefore takes a Clock and never calls package time
// for the present. System reads the machine's clock; Fake moves only when a
// test moves it.
package msclock

import (
	"context"
	"time"
)

// Clock tells the present and wakes a waiter after a duration.
type Clock interface {
	// Now returns the present, with a monotonic reading where the machine has one.
	Now() time.Time
	// After returns a channel that receives the time once d has passed.
	After(d time.Duration) <-chan time.Time
}

// System is the machine's own clock. Its zero value is ready for use.
type System struct{}

// Now returns the machine's time.
func (System) Now() time.Time {
	return time.Now()
}

// After returns a channel that receives the time once d has passed.
func (System) After(d time.Duration) <-chan time.Time {
	return time.After(d)
}

// Sleep waits until d has passed on c or ctx is done, and returns ctx's error
// in the second case.
func Sleep(ctx context.Context, c Clock, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-c.After(d):
		return nil
	}
}
