package msleader

import "time"

// answers derives the TTL of a term from how long the log takes to answer. It answers the
// loss of a leader, which lasts as long as the TTL, and a slow log, through which the
// renewals of a short TTL come too late. The zero value has seen no answers.
type answers struct {
	// slowest is the longest recent answer, and at when it was observed.
	slowest time.Duration
	at      time.Time
}

// observe records that a call took the given time, whether or not it was answered.
func (a *answers) observe(took time.Duration, now time.Time) {
	if took >= a.slowest || now.Sub(a.at) > answerMemory {
		a.slowest, a.at = took, now
	}
}

// ttl returns the TTL of a term that is renewed now.
func (a *answers) ttl(now time.Time) time.Duration {
	if a.at.IsZero() || now.Sub(a.at) > answerMemory {
		return minTermTTL
	}
	return min(maxTermTTL, minTermTTL+ttlAnswers*a.slowest)
}
