package msworker

import "time"

// clockDrift is how much slower than true a worker's clock may run; the platform
// states 2%, and the rest covers the drift of our own.
const clockDrift = 0.025

// Lease is the account of one life of a worker. The zero value knows no clock.
type Lease struct {
	known bool
	// clock is the worker's clock as it was at or before seen.
	clock time.Duration
	seen  time.Time
	// until is the latest end of the lease that was ever sent.
	until time.Duration
}

// Observe notes the worker's clock from an answer that came at now.
func (l *Lease) Observe(clock time.Duration, now time.Time) {
	if l.known && clock <= l.clock {
		// Answers on different connections may overtake each other.
		return
	}
	l.known, l.clock, l.seen = true, clock, now
}

// Known says whether the worker's clock is known.
func (l *Lease) Known() bool {
	return l.known
}

// Grant returns the end of a lease of length d from now, on the worker's clock,
// and counts it as sent.
func (l *Lease) Grant(now time.Time, d time.Duration) time.Duration {
	end := l.clock + now.Sub(l.seen) + d
	l.until = max(l.until, end)
	return end
}

// Until returns the latest end of the lease that was ever sent.
func (l *Lease) Until() time.Duration {
	return l.until
}

// Assume counts a lease of length d, from the worker's clock last seen, that
// another may have sent.
func (l *Lease) Assume(d time.Duration) {
	l.until = max(l.until, l.clock+d)
}

// Lapsed says whether every lease sent has surely ended on the worker's clock.
func (l *Lease) Lapsed(now time.Time) bool {
	passed := time.Duration(float64(now.Sub(l.seen)) * (1 - clockDrift))
	return l.clock+passed > l.until
}
