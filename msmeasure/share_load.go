package msmeasure

import (
	"math"
	"math/rand/v2"
	"slices"
)

const (
	shareSeconds = 200  // length of a run
	shareMean    = 0.45 // mean demand of a queue, of its pool's slots
	urgentPart   = 0.05
	runSpread    = 1.0 // sigma of the logarithm of run times
	runCut       = 20  // longest run time, in medians
	entryBias    = 1.2 // exponent of how unevenly a team's callers are spread
	lateOnset    = 0.2 // part of the teams that join a turn late
	onsetSeconds = 4   // by this much
)

// request is one caller's request. Times are in milliseconds from the start.
type request struct {
	pool, team, entry int
	urgent            bool
	arrived           int
	run               int
	deadline          int // latest start
}

// turn is one queue's time at its peak.
type turn struct {
	pool     int
	from, to int
}

// shareLoad generates the requests of a run in order of arrival.
type shareLoad struct {
	d     Deployment
	until int // milliseconds
	rnd   *rand.Rand
	turns []turn
	// spread is, by team, the cumulative part of its callers by entry.
	spread [][]float64
}

func newShareLoad(d Deployment, seed uint64, seconds int) *shareLoad {
	l := &shareLoad{d: d, until: seconds * 1000, rnd: rand.New(rand.NewPCG(seed, 0x5ea1))}
	for range d.Teams {
		l.spread = append(l.spread, l.biased(d.Entries))
	}
	l.takeTurns()
	return l
}

// biased returns cumulative parts that fall off by a power law, in random order.
func (l *shareLoad) biased(n int) []float64 {
	out, sum := make([]float64, n), 0.0
	for i, rank := range l.rnd.Perm(n) {
		sum += math.Pow(float64(rank+1), -entryBias)
		out[i] = sum
	}
	for i := range out {
		out[i] /= sum
	}
	return out
}

func (l *shareLoad) takeTurns() {
	pools := servingPools(l.d)
	for at, i := 0, 0; at < l.until; i++ {
		length := int(l.d.Turns.For.Milliseconds())
		length = length*8/10 + l.rnd.IntN(length*8/10)
		l.turns = append(l.turns, turn{pool: pools[i%len(pools)], from: at, to: at + length})
		at += length
	}
}

// requests returns all requests of the run.
func (l *shareLoad) requests() []request {
	var out []request
	for _, t := range l.turns {
		for _, p := range servingPools(l.d) {
			out = l.span(out, p, t)
		}
	}
	slices.SortStableFunc(out, func(a, b request) int { return a.arrived - b.arrived })
	return out
}

// span appends the requests for pool p while t lasts. Teams ask in other
// proportions than their weights, and some join late.
func (l *shareLoad) span(out []request, p int, t turn) []request {
	s := l.d.Services[p]
	level := l.d.Turns.Trough
	if p == t.pool {
		level = l.d.Turns.Peak
	}
	median := float64(s.RunTime.Milliseconds())
	mean := median * math.Exp(runSpread*runSpread/2)
	perMS := level * shareMean * float64(s.Instances*s.Slots) / mean
	parts := l.appetites()
	for team, part := range parts {
		from := t.from
		if p == t.pool && l.rnd.Float64() < lateOnset {
			from += onsetSeconds * 1000
		}
		for at := float64(from) + l.gap(perMS*part); at < float64(t.to); at += l.gap(perMS * part) {
			out = append(out, l.request(p, team, int(at), median))
		}
	}
	return out
}

// appetites returns each team's part of a queue's demand for one turn.
func (l *shareLoad) appetites() []float64 {
	factors := []float64{0.1, 0.5, 1, 1, 2, 4}
	out, sum := make([]float64, len(l.d.Teams)), 0.0
	for i, t := range l.d.Teams {
		out[i] = t.Demand * factors[l.rnd.IntN(len(factors))]
		sum += out[i]
	}
	for i := range out {
		out[i] /= sum
	}
	return out
}

// gap draws the time to the next arrival at a rate.
func (l *shareLoad) gap(perMS float64) float64 {
	return l.rnd.ExpFloat64() / perMS
}

func (l *shareLoad) request(pool, team, at int, median float64) request {
	run := min(median*runCut, median*math.Exp(l.rnd.NormFloat64()*runSpread))
	r := request{pool: pool, team: team, arrived: at, run: max(1, int(run))}
	r.entry, _ = slices.BinarySearch(l.spread[team], l.rnd.Float64())
	r.entry = min(r.entry, l.d.Entries-1)
	r.urgent = l.rnd.Float64() < urgentPart
	r.deadline = at + 3000 + l.rnd.IntN(7000)
	if r.urgent {
		r.deadline = at + 10000
	}
	return r
}

// servingPools returns the indexes of the services that serve a queue.
func servingPools(d Deployment) []int {
	var out []int
	for i, s := range d.Services {
		if !s.Spare {
			out = append(out, i)
		}
	}
	return out
}
