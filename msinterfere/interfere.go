// Package msinterfere learns which images slow which others down on the same worker.
//
// The load it is for: workers that run tasks of many images side by side, some of which
// compete for what no task reserves, such as memory bandwidth or caches.
//
// Each attempt that ends is compared with attempts of its image without the neighbour:
// its rank among them gives the evidence for the pair. Ranks need no assumption about the
// distribution of run times. The evidence is a sum that is never below zero and grows by
// ln(power * u^(power-1)) with each sample, where u is the fraction of the other attempts
// that took at least as long. While u is uniform, the exponential of a term has a mean of
// at most 1, so the sum exceeds h with a probability of at most exp(-h) at any time.
//
// It does no I/O and starts no goroutines; the clock is passed in. Its types are not safe
// for concurrent use.
package msinterfere

import (
	"math"
	"sort"
	"time"
)

const (
	// power is the exponent of the evidence. With 0.4 a slowdown of 1.5 where run times
	// spread by 0.3 adds 0.56 a sample, and a neighbour without effect takes 0.34.
	power = 0.4
	// foundEvidence is the evidence from which a pair is found, exp(-11) = 1 in 60,000.
	// The margin to the promised 1 in 1,000 covers the time until a wrong pair is below
	// forgetEvidence again, and references that are few and shared by several samples.
	foundEvidence = 11.0
	// forgetEvidence is the evidence below which a found pair is forgotten, maxEvidence
	// bounds it: 11 / 0.34, about 32 samples without effect, forget a pair.
	forgetEvidence = 5.0
	maxEvidence    = 16.0
	// minSlowdown is the estimated slowdown from which a pair matters: a placement elsewhere
	// may cost as much by itself.
	minSlowdown = 1.1
	// halfLife is the time in which evidence loses half of its weight. A found pair that is
	// kept apart has no samples and is forgotten after 1.7 of them.
	halfLife = 5 * time.Minute
	// references is how many attempts of an image are kept, minReferences how many without
	// the neighbour a sample must be compared with. referenceAge is their maximum age: run
	// times change with the load.
	references    = 128
	minReferences = 24
	referenceAge  = 10 * time.Minute
	// minOverlap is the part of an attempt's time from which a neighbour counts as beside
	// it, ignoredOverlap that up to which the attempt is a reference without it.
	minOverlap     = 0.5
	ignoredOverlap = 0.1
	// maxPairs is how many pairs are kept, those with the most evidence. Up to twice as many
	// are held between two sweeps. maxImages is the same for images: those without a
	// sample for the longest time are dropped. They take 2 KB each.
	maxPairs  = 512
	maxImages = 1024
	// recentJobs is how many jobs a pair remembers: a queue with 28 jobs a second, whose tasks
	// end within half a second of each other, has 14 at a time.
	recentJobs = 16
	// maxFound bounds the pairs that count for placement, and thereby the fleet record.
	maxFound = 64
)

// Pair says that attempts of the image Slowed take longer beside those of the image By.
type Pair struct {
	Slowed, By string
}

// Change is a pair that was found or, unless Found is set, forgotten.
type Change struct {
	Pair

	Found    bool
	Slowdown float64
	Samples  int
}

// Sample is the measured run time or latency of an attempt.
type Sample struct {
	Image string
	// Job names the job. Its tasks resemble each other, so that only one of them counts
	// for a pair; without a name each does.
	Job string
	// Ratio is the measured value as a multiple of its estimate or target.
	Ratio float64
}

// reference is an earlier attempt: the logarithm of its ratio, when it ended in seconds
// since the table's first sample, and one bit for each neighbour.
type reference struct {
	log        float32
	at         int32
	neighbours uint64
}

type image struct {
	references []reference
	next       int
	updated    time.Time
}

type pair struct {
	evidence float64
	at       time.Time
	// excess is the sum of the samples' logarithms above the references' mean, weighted by
	// the overlap, weight that of the overlaps.
	excess, weight float64
	samples        int
	found          bool
	// jobs has the hashes of the latest jobs that have counted.
	jobs    [recentJobs]uint64
	nextJob int
}

// counts reports whether no task of the job has counted lately, and notes that one has.
func (p *pair) counts(job string) bool {
	if job == "" {
		return true
	}
	h := hash(job)
	for _, known := range p.jobs {
		if known == h {
			return false
		}
	}
	p.jobs[p.nextJob] = h
	p.nextJob = (p.nextJob + 1) % recentJobs
	return true
}

func (p *pair) slowdown() float64 {
	if p.weight == 0 {
		return 1
	}
	return math.Exp(p.excess / p.weight)
}

// age reduces the evidence for the time since it was last changed.
func (p *pair) age(now time.Time) {
	if passed := now.Sub(p.at); passed > 0 {
		part := math.Exp2(-passed.Seconds() / halfLife.Seconds())
		p.evidence *= part
		p.excess *= part
		p.weight *= part
		p.at = now
	}
}

// Table has what is known of images and pairs. The zero value is empty and ready to use.
type Table struct {
	since    time.Time
	images   map[string]*image
	pairs    map[Pair]*pair
	found    map[Pair]*pair
	partners map[string][]string
	changes  []Change
	// unrecorded counts the changes since the latest record.
	unrecorded int
	recordedAt time.Time
}

// Add counts a sample and the images that ran beside it.
func (t *Table) Add(s Sample, beside []Neighbour, now time.Time) {
	if s.Image == "" || !(s.Ratio > 0) || math.IsInf(s.Ratio, 0) {
		return
	}
	if t.images == nil {
		t.since, t.images, t.pairs, t.found = now, map[string]*image{}, map[Pair]*pair{}, map[Pair]*pair{}
	}
	im := t.images[s.Image]
	if im == nil {
		if len(t.images) >= 2*maxImages {
			t.sweepImages()
		}
		im = &image{}
		t.images[s.Image] = im
	}
	im.updated = now
	explained, mask := false, uint64(0)
	for _, n := range beside {
		if n.Image != s.Image && n.Overlap > ignoredOverlap {
			mask |= bitOf(n.Image)
			explained = explained || t.found[Pair{s.Image, n.Image}] != nil
		}
	}
	value := math.Log(s.Ratio)
	for _, n := range beside {
		// A known pair explains the sample; it shows nothing of other neighbours.
		known := Pair{s.Image, n.Image}
		if n.Image != s.Image && n.Overlap >= minOverlap && (!explained || t.found[known] != nil) {
			t.addTo(known, im, s.Job, value, min(1, n.Overlap), now)
		}
	}
	if !explained {
		im.add(reference{log: float32(value), at: t.seconds(now), neighbours: mask})
	}
}

func (t *Table) seconds(now time.Time) int32 {
	return int32(min(now.Sub(t.since)/time.Second, math.MaxInt32))
}

func (im *image) add(r reference) {
	if len(im.references) < references {
		im.references = append(im.references, r)
		return
	}
	im.references[im.next] = r
	im.next = (im.next + 1) % references
}

// rank returns the fraction of the references without the neighbour that are at least the
// value, counted with the sample itself, and their mean; false if there are too few.
func (im *image) rank(value float64, without uint64, since int32) (fraction, mean float64, ok bool) {
	n, above, sum := 0, 0, 0.0
	for i := range im.references {
		r := &im.references[i]
		if r.neighbours&without != 0 || r.at < since {
			continue
		}
		n++
		sum += float64(r.log)
		if r.log >= float32(value) {
			above++
		}
	}
	if n < minReferences {
		return 0, 0, false
	}
	return float64(above+1) / float64(n+1), sum / float64(n), true
}

func (t *Table) addTo(key Pair, im *image, job string, value, overlap float64, now time.Time) {
	u, mean, ok := im.rank(value, bitOf(key.By), t.seconds(now)-int32(referenceAge/time.Second))
	if !ok {
		return
	}
	p := t.pairs[key]
	if p == nil {
		if len(t.pairs) >= 2*maxPairs {
			t.sweepPairs(now)
		}
		p = &pair{at: now}
		t.pairs[key] = p
	}
	if !p.counts(job) {
		return
	}
	p.age(now)
	p.samples++
	p.excess += overlap * (value - mean)
	p.weight += overlap
	p.evidence = min(maxEvidence, max(0, p.evidence+overlap*(math.Log(power)+(power-1)*math.Log(u))))
	if p.evidence == 0 {
		// Without evidence the pair is as unknown as any other.
		p.excess, p.weight, p.samples = 0, 0, 0
	}
	t.judge(key, p)
}

// judge finds or forgets a pair.
func (t *Table) judge(key Pair, p *pair) {
	switch {
	case !p.found && p.evidence >= foundEvidence && p.slowdown() >= minSlowdown && len(t.found) < maxFound:
		t.found[key] = p
	case p.found && p.evidence < forgetEvidence:
		delete(t.found, key)
	default:
		return
	}
	p.found = !p.found
	t.changes = append(t.changes, Change{Pair: key, Found: p.found, Slowdown: p.slowdown(), Samples: p.samples})
	t.unrecorded++
	t.indexPartners()
}

func (t *Table) indexPartners() {
	t.partners = map[string][]string{}
	for key := range t.found {
		t.partners[key.Slowed] = append(t.partners[key.Slowed], key.By)
		if t.found[Pair{key.By, key.Slowed}] == nil {
			t.partners[key.By] = append(t.partners[key.By], key.Slowed)
		}
	}
}

// Expire forgets found pairs without recent samples.
func (t *Table) Expire(now time.Time) {
	for key, p := range t.found {
		p.age(now)
		t.judge(key, p)
	}
}

// Changes returns the pairs found and forgotten since the last call.
func (t *Table) Changes() []Change {
	c := t.changes
	t.changes = nil
	return c
}

// Found returns the number of found pairs.
func (t *Table) Found() int {
	return len(t.found)
}

// Partners returns the images that disturb the image or are disturbed by it, as found.
func (t *Table) Partners(image string) []string {
	return t.partners[image]
}

// Images calls f for each image of a found pair.
func (t *Table) Images(f func(image string)) {
	for name := range t.partners {
		f(name)
	}
}

// sweepPairs keeps the found pairs and those with the most evidence.
func (t *Table) sweepPairs(now time.Time) {
	keys := make([]Pair, 0, len(t.pairs))
	for key, p := range t.pairs {
		p.age(now)
		if !p.found {
			keys = append(keys, key)
		}
	}
	sort.Slice(keys, func(i, k int) bool { return t.pairs[keys[i]].evidence < t.pairs[keys[k]].evidence })
	for _, key := range keys[:len(t.pairs)-maxPairs] {
		delete(t.pairs, key)
	}
}

func (t *Table) sweepImages() {
	names := make([]string, 0, len(t.images))
	for name := range t.images {
		names = append(names, name)
	}
	sort.Slice(names, func(i, k int) bool { return t.images[names[i]].updated.Before(t.images[names[k]].updated) })
	for _, name := range names[:len(names)-maxImages] {
		delete(t.images, name)
	}
}

// bitOf returns the bit of an image among neighbours. Two images with the same bit make the
// references without them fewer, not wrong.
func bitOf(name string) uint64 {
	return 1 << (hash(name) >> 58)
}

// hash is FNV-1a.
func hash(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return h
}
