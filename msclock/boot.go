package msclock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Boot is a clock based on CLOCK_BOOTTIME: it includes the time for which the
// machine was suspended and is not affected by steps of the wall clock. Leases
// are measured on it, because a process that resumes after a suspension must
// see that its lease has expired. The zero value is ready for use.
type Boot struct {
	once      sync.Once
	startWall time.Time
	startBoot time.Duration
}

// Now returns the wall-clock time of the first call plus the time elapsed since
// then, including suspension.
func (b *Boot) Now() time.Time {
	b.once.Do(func() {
		b.startWall = time.Now().Round(0)
		b.startBoot = bootTime()
	})
	return b.startWall.Add(bootTime() - b.startBoot)
}

// After returns a channel that receives the time after d. Unlike Now, the timer
// does not count the time for which the machine is suspended.
func (b *Boot) After(d time.Duration) <-chan time.Time {
	return time.After(d)
}

func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// CLOCK_BOOTTIME exists since Linux 2.6.39. CLOCK_MONOTONIC is the closest
		// substitute.
		_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &ts)
	}
	return time.Duration(ts.Nano())
}
