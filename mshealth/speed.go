package mshealth

import (
	"sort"
	"time"
)

const (
	// minSlowRatio is how many times slower than its pool's median a slow worker is.
	minSlowRatio = 2.0
	// sampleAge is how old a run time may be to count. It is also how long a slow worker
	// that gets no tasks stays slow.
	sampleAge = 10 * time.Second
	// samples is how many run times of a worker are kept.
	samples = 5
	// groupSamples is how many ratios of a pool or an image are kept.
	groupSamples = 64
	// minGroupSamples is how many an image must have for its median to be used.
	minGroupSamples = 4
)

// window has the latest ratios, in a ring.
type window struct {
	values []float64
	next   int
	median float64
	// spread is the ratio of the 80th percentile to the median. A seventh of the workers
	// may be slow.
	spread float64
}

func (w *window) add(v float64) {
	if len(w.values) < groupSamples {
		w.values = append(w.values, v)
	} else {
		w.values[w.next] = v
	}
	w.next = (w.next + 1) % groupSamples
	// The median of a few dozen ratios moves little with each.
	if len(w.values) < 8 || w.next%8 == 0 {
		sorted := append([]float64(nil), w.values...)
		sort.Float64s(sorted)
		w.median = sorted[len(sorted)/2]
		w.spread = max(1, sorted[len(sorted)*4/5]/w.median)
	}
}

// speed has the latest run times of a worker's tasks, as multiples of what is usual for
// their image.
type speed struct {
	ratios  [samples]float64
	at      [samples]time.Time
	nextRun int
	// leastRatio is a ratio that a task that still runs will reach, leastRatioAt when it was
	// seen.
	leastRatio   float64
	leastRatioAt time.Time
}

// Ran counts the run time of a task that has succeeded. estimate is the caller's estimate,
// with the penalty of a run away from the data.
func (t *Table) Ran(w *Worker, image string, took, estimate time.Duration, now time.Time) {
	if took <= 0 || estimate <= 0 {
		return
	}
	ratio := float64(took) / float64(estimate)
	groups := t.groupsOf(w, image, now)
	usual := t.usualRatio(image)
	groups[len(groups)-1].ratios.add(ratio)
	if len(groups) > 1 {
		groups[0].ratios.add(ratio / usual)
	}
	w.ratios[w.nextRun], w.at[w.nextRun] = ratio/usual, now
	w.nextRun = (w.nextRun + 1) % samples
	w.leastRatio = 0
	t.update(w, now, "task run times")
}

// Running tells that a task has been running for the given time without an end. A task that
// takes much longer than usual shows that its worker is slow before it ends.
func (t *Table) Running(w *Worker, image string, ran, estimate time.Duration, now time.Time) {
	if estimate > 0 {
		t.atLeast(w, image, float64(ran)/float64(estimate), now)
	}
}

// Progressed tells how far a task was when it had been running for the given time.
func (t *Table) Progressed(w *Worker, image string, ran, estimate time.Duration, done float64, now time.Time) {
	if g := t.images[image]; g != nil && done > 0 && done < 1 {
		g.progresses = true
	}
	if estimate <= 0 || !t.Progresses(image) || ran < JudgeAfter(t.Expected(image, estimate)) {
		return
	}
	t.atLeast(w, image, float64(ran)/float64(estimate)/max(done, leastDone), now)
}

// Progresses reports whether tasks of the image report how far they are, and how long they
// usually take is known.
func (t *Table) Progresses(image string) bool {
	g := t.images[image]
	return g != nil && g.progresses && len(g.ratios.values) >= minGroupSamples
}

// MayAsk reports whether asking a worker for the progress of a task of the image can show
// anything, and counts that it is asked where that is not known yet.
func (t *Table) MayAsk(image string) bool {
	g := t.images[image]
	if g == nil || len(g.ratios.values) < minGroupSamples {
		return false
	}
	if g.progresses {
		return true
	}
	g.asked++
	return g.asked <= maxAsked
}

// maxAsked is how often workers are asked for the progress of an image's tasks before it is
// taken to report none.
const maxAsked = 8

// atLeast notes that a task takes at least the given multiple of its estimate.
func (t *Table) atLeast(w *Worker, image string, ratio float64, now time.Time) {
	usual, spread := t.usualRatio(image), 1.0
	if g := t.images[image]; g != nil && len(g.ratios.values) >= minGroupSamples {
		spread = g.ratios.spread
	}
	ratio /= usual
	if ratio < max(boundRatio, boundSpread*spread) || ratio < w.leastRatio && now.Sub(w.leastRatioAt) < sampleAge {
		return
	}
	w.leastRatio, w.leastRatioAt = ratio, now
	t.update(w, now, "a task takes long")
}

const (
	// boundRatio is how many times longer than usual a task must take before it counts
	// against its worker: the slowest tenth of tasks takes 1.4 to 2.1 times as long.
	boundRatio = 2.2
	// boundSpread is the same as a multiple of what the slower fifth of the image's tasks
	// takes.
	boundSpread = 1.5
)

// Expected is how long a task of the image with the given estimate usually takes.
func (t *Table) Expected(image string, estimate time.Duration) time.Duration {
	return time.Duration(float64(estimate) * t.usualRatio(image))
}

// usualRatio is the median ratio of run time to estimate for an image, or 1 if it is not
// known.
func (t *Table) usualRatio(image string) float64 {
	g := t.images[image]
	if g == nil || len(g.ratios.values) < minGroupSamples || g.ratios.median <= 0 {
		return 1
	}
	return g.ratios.median
}

// poolRatio is the median ratio of the pool, at least 1.
func (t *Table) poolRatio(pool string) float64 {
	if g := t.pools[pool]; g != nil && len(g.ratios.values) >= minGroupSamples {
		return max(1, g.ratios.median)
	}
	return 1
}

// slowFrom is the ratio from which a worker of the pool is slow. Where the tasks differ much
// from their estimates it is higher.
func (t *Table) slowFrom(pool string) float64 {
	spread := 1.0
	if g := t.pools[pool]; g != nil && len(g.ratios.values) >= minGroupSamples {
		spread = g.ratios.spread
	}
	return max(minSlowRatio, boundSpread*spread) * t.poolRatio(pool)
}

// Ratio is how many times longer than usual the worker's tasks take, or 1 if nothing recent
// is known.
func (w *Worker) Ratio(now time.Time) float64 {
	var recent []float64
	for i, at := range w.at {
		if !at.IsZero() && now.Sub(at) < sampleAge {
			recent = append(recent, w.ratios[i])
		}
	}
	ratio := 1.0
	if len(recent) > 0 {
		sort.Float64s(recent)
		ratio = recent[(len(recent)-1)/2]
		if len(recent) == 1 {
			// One task that took long may have had more to do.
			ratio = (1 + ratio) / 2
		}
	}
	if w.leastRatio > ratio && now.Sub(w.leastRatioAt) < sampleAge {
		ratio = w.leastRatio
	}
	return ratio
}

// Samples is the number of run times that the ratio is based on.
func (w *Worker) Samples(now time.Time) int {
	n := 0
	for _, at := range w.at {
		if !at.IsZero() && now.Sub(at) < sampleAge {
			n++
		}
	}
	return n
}
