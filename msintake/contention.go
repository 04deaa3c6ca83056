package msintake

import (
	"slices"
	"time"
)

const (
	// contentionSamples is how many of the latest appends decide whether a stream is
	// contended, and minContentionSamples how many have to be known.
	contentionSamples    = 8
	minContentionSamples = 4
	// sampleMemory is how long an answer time counts. Four jobs arrive at an entry within
	// it even if there are but two a second.
	sampleMemory = 2 * time.Second
	// contendedAnswer is the median answer time above which a stream is contended. Without
	// contention an append takes 4 ms at the log and up to 16 ms in all; above 30 ms it
	// has waited for several others.
	contendedAnswer = 30 * time.Millisecond
	// fastestFactor times the fastest answer is how much a median has to exceed as well: an
	// entry far from the log has long answers without contention.
	fastestFactor = 3
	// calmAnswer is the answer time up to which an append that was tried after a hold shows
	// that the contention has ended.
	calmAnswer = 20 * time.Millisecond
	// minHold and maxHold bound the time for which an entry stays with the additional
	// streams. Bursts last about 4 s. The hold doubles if the stream of all jobs is
	// contended again soon after, as it is while all entries come back to it.
	minHold = 4 * time.Second
	maxHold = time.Minute
	// uselessShare is the share of the answer time before that appends to the additional
	// streams have to stay below. Otherwise the whole log is slow.
	uselessShare = 0.7
)

// answer is the time that an append has taken.
type answer struct {
	at   time.Time
	took time.Duration
}

// answers has the latest answer times of a stream.
type answers []answer

func (a *answers) add(now time.Time, took time.Duration) {
	if len(*a) == contentionSamples {
		*a = slices.Delete(*a, 0, 1)
	}
	*a = append(*a, answer{at: now, took: took})
}

// median returns the median of the latest answer times, or 0 if too few are known.
func (a *answers) median(now time.Time) time.Duration {
	var known []time.Duration
	for _, s := range *a {
		if now.Sub(s.at) <= sampleMemory {
			known = append(known, s.took)
		}
	}
	if len(known) < minContentionSamples {
		return 0
	}
	slices.Sort(known)
	return known[(len(known)-1)/2]
}

// contention decides whether an entry appends to the additional streams, from the times that
// its latest appends have taken. It is for hundreds of appends per second of all entries
// together to one stream. The zero value uses the stream of all jobs.
type contention struct {
	shared, own answers
	// fastest is the fastest answer lately.
	fastest time.Duration
	// until is the end of the hold, zero while the shared stream is in use. trying is set
	// while an append is tried there after the hold.
	until  time.Time
	trying bool
	// hold is the length of the latest hold, leftAt when it ended, and before the answer
	// time that began it.
	hold   time.Duration
	leftAt time.Time
	before time.Duration
	// uselessUntil is how long the additional streams are not tried.
	uselessUntil time.Time
}

// useOwn reports whether the next append goes to an additional stream.
func (c *contention) useOwn(now time.Time) bool {
	switch {
	case c.until.IsZero():
		return false
	case now.Before(c.until) || c.trying:
		return true
	}
	c.trying = true
	return false
}

// observe records how long an append has taken, and reports whether the entry has switched
// to the other streams.
func (c *contention) observe(own bool, now time.Time, took time.Duration) (switched bool) {
	// The fastest answer is forgotten over about a hundred others.
	c.fastest += c.fastest / 100
	if c.fastest == 0 || took < c.fastest {
		c.fastest = took
	}
	if own {
		return c.observeOwn(now, took)
	}
	if c.trying {
		c.trying = false
		if took > max(calmAnswer, fastestFactor*c.fastest) {
			c.extend(now)
			return false
		}
		return c.leave(now)
	}
	if !c.until.IsZero() {
		// It was sent before the switch.
		return false
	}
	c.shared.add(now, took)
	m := c.shared.median(now)
	if m <= max(contendedAnswer, fastestFactor*c.fastest) || now.Before(c.uselessUntil) {
		return false
	}
	c.before, c.shared, c.own = m, nil, nil
	if !c.leftAt.IsZero() && now.Sub(c.leftAt) < 2*c.hold {
		c.extend(now)
	} else {
		c.hold, c.until = minHold, now.Add(minHold)
	}
	return true
}

func (c *contention) observeOwn(now time.Time, took time.Duration) (switched bool) {
	c.own.add(now, took)
	m := c.own.median(now)
	if c.until.IsZero() || m <= contendedAnswer || float64(m) < uselessShare*float64(c.before) {
		return false
	}
	c.uselessUntil = now.Add(maxHold)
	return c.leave(now)
}

// fail records a failed append. One to an additional stream ends their use, and one that was
// tried in the shared stream extends it.
func (c *contention) fail(own bool, now time.Time) (switched bool) {
	if !own {
		if c.trying {
			c.trying = false
			c.extend(now)
		}
		return false
	}
	if c.until.IsZero() {
		return false
	}
	c.uselessUntil = now.Add(minHold)
	return c.leave(now)
}

func (c *contention) extend(now time.Time) {
	c.hold = min(2*c.hold, maxHold)
	c.until = now.Add(c.hold)
}

func (c *contention) leave(now time.Time) bool {
	c.until, c.trying, c.shared, c.leftAt = time.Time{}, false, nil, now
	return true
}
