package msruntime

import (
	"math"
	"time"
)

const (
	// Ratios below minRatio and above maxRatio count as these. Steps of an eighth of an
	// octave, 9 %, are finer than the spread of any queue.
	minRatio       = 0.25
	maxRatio       = 16.0
	stepsPerOctave = 8
	buckets        = 6*stepsPerOctave + 1
	// maxWeight bounds the weight of the newest sample, before all are scaled down.
	maxWeight = 1 << 20
)

// samples has ratios in a histogram with logarithmic buckets. A newer sample weighs more,
// so that older ones are forgotten without being touched.
type samples struct {
	weights [buckets]float64
	total   float64
	// since is when a sample weighs 1.
	since time.Time
	// median and p80 count as minSamples samples less those that there are.
	median, p80 float64
	ratio       Ratio
}

func (s *samples) add(ratio float64, now time.Time) {
	w := math.Exp2(now.Sub(s.since).Seconds() / halfLife.Seconds())
	if w > maxWeight {
		for i := range s.weights {
			s.weights[i] /= w
		}
		s.total /= w
		s.since, w = now, 1
	}
	s.weights[bucketOf(ratio)] += w
	s.total += w
	n := s.total / w
	s.ratio = Ratio{Median: s.mixed(0.5, s.median, n), P80: s.mixed(0.8, s.p80, n), Samples: int(math.Round(n)), Updated: now}
}

// mixed returns a quantile of n samples, mixed with the default if they are few.
func (s *samples) mixed(q, without, n float64) float64 {
	part := min(1, n/minSamples)
	return part*s.quantile(q) + (1-part)*without
}

func bucketOf(ratio float64) int {
	ratio = min(max(ratio, minRatio), maxRatio)
	return min(buckets-1, int(math.Log2(ratio/minRatio)*stepsPerOctave+0.5))
}

// quantile interpolates within the bucket that has the quantile.
func (s *samples) quantile(q float64) float64 {
	rest := q * s.total
	for i, w := range s.weights {
		if rest > w || w == 0 {
			rest -= w
			continue
		}
		return minRatio * math.Exp2((float64(i)-0.5+rest/w)/stepsPerOctave)
	}
	return maxRatio
}
