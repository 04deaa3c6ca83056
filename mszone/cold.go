package mszone

import "time"

const (
	// DefaultOverage is the multiple of its fair share of starts that a cold worker may get
	// where the settings state no bound.
	DefaultOverage = 1.5
	// DefaultSlack is how many starts it may get in addition.
	DefaultSlack = 5.0
	// ColdCapacity is the fraction of its capacity with which a cold worker counts. Its
	// report says how long it stays slow, not how slow it is; a half errs by at most a
	// factor of two for workers between full speed and a quarter of it.
	ColdCapacity = 0.5
)

// ColdAllowance returns how many more starts a cold worker may get. own is the number of
// starts that it got within the last second, pool that of all the pool's workers, and
// workers the number of them.
func ColdAllowance(own, pool, workers int, overage, slack float64) int {
	fair := float64(pool) / float64(max(workers, 1))
	return max(0, int(overage*fair+slack)-own)
}

// Starts counts the starts of the last second. The zero value has counted none.
type Starts struct {
	at     time.Time
	counts [startBuckets]int
}

// A second is counted in startBuckets parts, so that a count covers 1 to 1.1 s.
const (
	startBuckets  = 11
	startInterval = 100 * time.Millisecond
)

// Add counts a start.
func (s *Starts) Add(now time.Time) {
	s.advance(now)
	s.counts[bucket(now)]++
}

// Count returns how many starts were counted within the last second.
func (s *Starts) Count(now time.Time) int {
	s.advance(now)
	n := 0
	for _, c := range s.counts {
		n += c
	}
	return n
}

func bucket(at time.Time) int64 {
	return at.UnixNano() / int64(startInterval) % startBuckets
}

// advance clears the parts that have passed since the last call.
func (s *Starts) advance(now time.Time) {
	passed := now.UnixNano()/int64(startInterval) - s.at.UnixNano()/int64(startInterval)
	if s.at.IsZero() || passed >= startBuckets || passed < 0 {
		s.counts = [startBuckets]int{}
	} else {
		for i := range passed {
			s.counts[bucket(now.Add(-time.Duration(i)*startInterval))] = 0
		}
	}
	s.at = now
}
