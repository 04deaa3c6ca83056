package msworker

import "time"

// clockDrift is the maximum fraction by which a worker's clock may run slow. The
// platform states 2%; the rest covers the drift of the local clock.
const clockDrift = 0.025

// Lease tracks the leases sent to one incarnation of a worker, in terms of the worker's
// clock. In the zero value that clock is unknown.
type Lease struct {
	observed bool
	// clock is a reading of the worker's clock, taken at or before observedAt.
	clock      time.Duration
	observedAt time.Time
	// latestEnd is the latest lease end ever sent, on the worker's clock.
	latestEnd time.Duration
}

// Observe records a reading of the worker's clock from a response received at now.
func (l *Lease) Observe(clock time.Duration, now time.Time) {
	if l.observed && clock <= l.clock {
		// Responses on different connections may arrive out of order.
		return
	}
	l.observed, l.clock, l.observedAt = true, clock, now
}

// Known reports whether the worker's clock is known.
func (l *Lease) Known() bool {
	return l.observed
}

// Grant returns the end of a lease of length d from now, on the worker's clock, and
// records it as sent.
func (l *Lease) Grant(now time.Time, d time.Duration) time.Duration {
	end := l.clock + now.Sub(l.observedAt) + d
	l.latestEnd = max(l.latestEnd, end)
	return end
}

// Clock returns the least that the worker's clock shows at now, if it runs slow by clockDrift.
func (l *Lease) Clock(now time.Time) time.Duration {
	return l.clock + time.Duration(float64(now.Sub(l.observedAt))*(1-clockDrift))
}

// Until returns the latest lease end ever sent, on the worker's clock.
func (l *Lease) Until() time.Duration {
	return l.latestEnd
}

// AssumeGranted accounts for a lease of length d, from the last reading of the worker's clock,
// that another scheduler may have sent.
func (l *Lease) AssumeGranted(d time.Duration) {
	l.latestEnd = max(l.latestEnd, l.clock+d)
}

// Expired reports whether every lease sent has certainly expired on the worker's clock,
// even if that clock runs slow by clockDrift.
func (l *Lease) Expired(now time.Time) bool {
	return l.Clock(now) > l.latestEnd
}
