package msclock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Boot is a clock that counts the time for which the machine was suspended and
// that no step of the time of day moves. Leases are counted on it: a process
// that wakes up after a suspension must see that its lease has ended. Its zero
// value is ready for use.
type Boot struct {
	once  sync.Once
	wall  time.Time
	since time.Duration
}

// Now returns the time of day of the first call plus the time passed since.
func (b *Boot) Now() time.Time {
	b.once.Do(func() {
		b.wall = time.Now().Round(0)
		b.since = bootTime()
	})
	return b.wall.Add(bootTime() - b.since)
}

// After returns a channel that receives the time once d has passed without
// suspension.
func (b *Boot) After(d time.Duration) <-chan time.Time {
	return time.After(d)
}

func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The kernel has had this clock since 2.6.39; without it the monotonic one
		// is the closest.
		_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &ts)
	}
	return time.Duration(ts.Nano())
}
