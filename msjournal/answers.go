package msjournal

import (
	"slices"
	"time"
)

const (
	// answerWindow is how many of the latest answers the usual answer time is derived from.
	answerWindow = 64
	// answerQuantile is the share of answers that arrive within the usual answer time.
	answerQuantile = 0.95
	// repeatFactor times the usual answer time is how long an answer may take before it
	// counts as missing.
	repeatFactor = 2
	// minRepeatDelay and maxRepeatDelay bound the time after which a call is repeated. The
	// minimum covers a pause of the process; above the maximum the call's own timeout
	// comes first.
	minRepeatDelay = 20 * time.Millisecond
	maxRepeatDelay = 400 * time.Millisecond
	// initialRepeatDelay is used until minAnswers are known.
	initialRepeatDelay = 150 * time.Millisecond
	minAnswers         = 8
	// bytesPerDelay is how many bytes of a call extend its repeat delay by a millisecond,
	// as large calls take longer and cost more to repeat.
	bytesPerDelay = 4 << 10
	// missingMemory is how long after a missing answer others are expected to be missing.
	missingMemory = 3 * time.Second
)

// answerTimes decides when an answer of the log counts as missing, from the times that
// the latest answers have taken. It answers a log that loses answers, whose calls are
// then repeated soon, without repeating the calls of a log that is merely slow: a slow
// answer lengthens the delay, a lost one does not. The zero value has seen no answers.
type answerTimes struct {
	latest [answerWindow]time.Duration
	n      int
	// missedAt is when an answer was last found to be missing.
	missedAt time.Time
}

// observe records how long an answer took.
func (a *answerTimes) observe(took time.Duration) {
	a.latest[a.n%answerWindow] = took
	a.n++
}

// miss records that the answer to a call never came, although that to its repeat did.
func (a *answerTimes) miss(now time.Time) {
	a.missedAt = now
}

// missing reports whether answers have been missing lately.
func (a *answerTimes) missing(now time.Time) bool {
	return !a.missedAt.IsZero() && now.Sub(a.missedAt) < missingMemory
}

// repeatDelay returns after how long a call of the given size is repeated.
func (a *answerTimes) repeatDelay(bytes int) time.Duration {
	d := initialRepeatDelay
	if a.n >= minAnswers {
		var sorted [answerWindow]time.Duration
		known := sorted[:min(a.n, answerWindow)]
		copy(known, a.latest[:])
		slices.Sort(known)
		d = repeatFactor * known[int(answerQuantile*float64(len(known)-1))]
	}
	d = max(minRepeatDelay, d) + time.Duration(bytes/bytesPerDelay)*time.Millisecond
	return min(d, maxRepeatDelay)
}
