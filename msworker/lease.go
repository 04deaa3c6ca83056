package msworker

import (
	"math"
	"time"
)

// clockDrift is the maximum fraction by which a worker's clock may run slow. The
// platform states 2%; the rest covers the drift of the local clock.
const clockDrift = 0.025

const (
	// MaxCallDelay is the maximum time after which the platform still carries out a call
	// that got no response. Its protocol speaks of seconds.
	MaxCallDelay = 15 * time.Second
	// maxWallError is the maximum difference between the times of day of two machines.
	maxWallError = 5 * time.Second
)

// Lease bounds until when one life of a worker may run its tasks, in terms of the worker's
// clock. In the zero value that clock is unknown.
//
// The end of a lease is a time on the clock of one life. A call without a response may still be
// carried out by a later life under the same ID, for which the end is a time on its own clock. Such
// stray calls are kept out by fencing tokens: a life rejects all calls with tokens below the
// highest one that it has seen. Until a life has answered a call with a token above those of
// all calls for earlier lives, it may hold any lease that these granted.
type Lease struct {
	observed bool
	// clock is a reading of the worker's clock, taken at or before observedAt.
	clock      time.Duration
	observedAt time.Time
	// latestEnd is the latest lease end that this life may hold, and source what granted it.
	latestEnd time.Duration
	source    LeaseSource
	// token is the highest token of the calls that carry numbers of this life.
	token int64
	// earlierEnd and earlierToken are the latest lease end and the highest token of the calls
	// for earlier lives. unfenced says that this life may still carry them out.
	earlierEnd   time.Duration
	earlierToken int64
	unfenced     bool
	// strayEnd is until when this life may hold a lease from a call for an earlier one.
	strayEnd time.Duration
}

// LeaseSource is the kind of call that a lease end comes from, as in logs.
type LeaseSource string

// The sources of a lease end.
const (
	// Granted leases were sent to this life by this scheduler.
	Granted LeaseSource = "granted"
	// OfEarlierLife leases were sent to an earlier life, and this one may have carried the
	// calls out.
	OfEarlierLife LeaseSource = "earlier-life"
	// OfEarlierScheduler leases are those that earlier schedulers may have sent.
	OfEarlierScheduler LeaseSource = "earlier-leader"
)

// anyEnd is the latest lease end of calls that aren't known.
const anyEnd = time.Duration(math.MaxInt64)

// Observe records a reading of the worker's clock from a response received at now.
func (l *Lease) Observe(clock time.Duration, now time.Time) {
	if l.observed && clock <= l.clock {
		// Responses on different connections may arrive out of order.
		return
	}
	l.observed, l.clock, l.observedAt = true, clock, now
}

// Answered records that this life has answered a call with the given token. The clock reading of
// that answer is to be observed first. maxLease is the longest lease that a worker holds.
func (l *Lease) Answered(token int64, maxLease time.Duration) {
	if !l.unfenced {
		return
	}
	l.unfenced = token <= l.earlierToken
	l.strayEnd = min(l.earlierEnd, l.clock+maxLease)
	if l.unfenced {
		l.strayEnd = min(l.earlierEnd, l.clock+MaxCallDelay+maxLease)
		return
	}
	l.extend(l.strayEnd, OfEarlierLife)
}

// Known reports whether the worker's clock is known.
func (l *Lease) Known() bool {
	return l.observed
}

// Fenced reports whether this life rejects all calls for earlier ones.
func (l *Lease) Fenced() bool {
	return !l.unfenced
}

// Sent records that a call with the given token carries numbers of this life, such as a lease
// end or the number of an end.
func (l *Lease) Sent(token int64) {
	l.token = max(l.token, token)
}

// MinToken returns the least token for the next call to the worker. While the worker doesn't
// answer, the next answer may be that of another life, which has to reject all calls so far.
func (l *Lease) MinToken(reachable bool) int64 {
	if !reachable {
		return max(l.token, l.earlierToken) + 1
	}
	if l.unfenced {
		return l.earlierToken + 1
	}
	return l.token
}

// Next returns the lease of the next life under the worker's ID.
func (l *Lease) Next() Lease {
	return Lease{earlierEnd: max(l.latestEnd, l.earlierEnd), earlierToken: max(l.token, l.earlierToken), unfenced: true}
}

// Grant returns the end of a lease of length d from now, on the worker's clock, and
// records it as sent.
func (l *Lease) Grant(now time.Time, d time.Duration) time.Duration {
	end := l.clock + now.Sub(l.observedAt) + d
	l.extend(end, Granted)
	return end
}

// Clock returns the least that the worker's clock shows at now, if it runs slow by clockDrift.
func (l *Lease) Clock(now time.Time) time.Duration {
	return l.clock + time.Duration(float64(now.Sub(l.observedAt))*(1-clockDrift))
}

// extend notes that this life may hold a lease until end.
func (l *Lease) extend(end time.Duration, source LeaseSource) {
	if end > l.latestEnd {
		l.latestEnd, l.source = end, source
	}
}

// Source returns the kind of call that Until comes from. That of a worker which has not answered
// this scheduler is known to earlier ones only.
func (l *Lease) Source() LeaseSource {
	switch {
	case l.unfenced && l.strayEnd > l.latestEnd:
		return OfEarlierLife
	case l.source == "":
		return OfEarlierScheduler
	}
	return l.source
}

// Until returns the latest lease end that this life may hold, on the worker's clock. One that
// isn't fenced may still carry out calls for earlier lives after its latest answer.
func (l *Lease) Until() time.Duration {
	if l.unfenced {
		return max(l.latestEnd, l.strayEnd)
	}
	return l.latestEnd
}

// Inherit accounts for the calls of earlier schedulers, which grant leases of the given length.
// A life that began a short time ago may have carried out calls for an earlier one, and hold
// the longest lease of all. age is the age of the life at the latest reading of its clock.
func (l *Lease) Inherit(granted, longest, age time.Duration) {
	d := InheritedLease(granted, longest, age)
	l.extend(l.clock+d, OfEarlierScheduler)
	if d > granted {
		l.earlierEnd = anyEnd
	}
}

// Expired reports whether every lease that this life may hold has certainly expired on the
// worker's clock, even if that clock runs slow by clockDrift.
func (l *Lease) Expired(now time.Time) bool {
	return l.Clock(now) > l.Until()
}

// InheritedLease returns the longest lease that a life of the given age may hold from calls of
// earlier schedulers: that which they grant, or the longest one of all as long as calls for
// an earlier life may have reached it.
func InheritedLease(granted, longest, age time.Duration) time.Duration {
	return max(granted, min(longest, longest+MaxCallDelay+maxWallError-age))
}
