package msmeasure

import (
	"cmp"
	"math"
	"slices"
)

const (
	windowMS = 10000
	slideMS  = 1000
	// leastDue is the slot time in milliseconds under which a team isn't judged.
	leastDue = 1000
	// fullDemand is the part of the capacity that the ideal division must use.
	fullDemand = 0.99
	// longestStay is longer than any request waits and runs.
	longestStay = 60000
)

// window is one team's part of 10 s of full load, in slot milliseconds.
type window struct {
	pool, from, team int
	got, due         float64
}

// off is how far the team was from its due, as a part of it.
func (w window) off() float64 {
	return math.Abs(w.got/w.due - 1)
}

// windows returns every team's part of every window of full load.
func (r *shareRun) windows() []window {
	var out []window
	for _, p := range r.pools {
		for from := 0; from+windowMS <= r.until; from += slideMS {
			if r.isFull(p, from) {
				out = append(out, r.window(p, from)...)
			}
		}
	}
	return out
}

func (r *shareRun) isFull(p, from int) bool {
	for _, f := range r.full[p][from/stepMS : (from+windowMS)/stepMS] {
		if !f {
			return false
		}
	}
	return true
}

// window measures what each team got and was due of pool p. It returns nothing
// where even the ideal division leaves slots unused.
func (r *shareRun) window(p, from int) []window {
	got, limits := r.tally(p, from, from+windowMS)
	ideal := newIdeal(r, p, from, limits)
	due, idle := ideal.run()
	if idle > 1-fullDemand {
		return nil
	}
	var out []window
	for t := range r.d.Teams {
		if due[t] >= leastDue {
			out = append(out, window{pool: p, from: from, team: t, got: got[t], due: due[t]})
		}
	}
	return out
}

// tally sums by team what it used of pool p, and how many slots its upper limit
// leaves beside what it used of other pools.
func (r *shareRun) tally(p, from, to int) (got, limits []float64) {
	got, limits = make([]float64, len(r.d.Teams)), make([]float64, len(r.d.Teams))
	for t, team := range r.d.Teams {
		limits[t] = float64(team.Limit)
	}
	for _, i := range r.between(from, to) {
		q := r.reqs[i]
		used := float64(r.outs[i].slotTime(q, from, to))
		if q.pool == p {
			got[q.team] += used
		} else {
			limits[q.team] -= used / float64(to-from)
		}
	}
	return got, limits
}

// between returns the requests that may have been there between from and to,
// in order of arrival.
func (r *shareRun) between(from, to int) []int {
	var out []int
	i, _ := slices.BinarySearchFunc(r.reqs, from-longestStay, func(q request, ms int) int { return cmp.Compare(q.arrived, ms) })
	for ; i < len(r.reqs) && r.reqs[i].arrived < to; i++ {
		o := r.outs[i]
		if o.ended >= 0 && o.ended <= from || o.refused && r.reqs[i].arrived < from {
			continue
		}
		out = append(out, i)
	}
	return out
}

// slotTime is how long the request held a slot between from and to.
func (o outcome) slotTime(q request, from, to int) int {
	if o.started < 0 {
		return 0
	}
	end := o.started + q.run
	if o.ended >= 0 {
		end = min(end, o.ended)
	}
	return max(0, min(end, to)-max(o.started, from))
}

// naiveDue is the weighted max-min division by its definition: in order of
// demand by weight, each takes the less of its demand and its part of the rest.
func naiveDue(capacity float64, teams []Team, demand, due []float64, order []int) {
	weights := 0
	for i, t := range teams {
		order[i] = i
		weights += t.Weight
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Compare(demand[a]/float64(teams[a].Weight), demand[b]/float64(teams[b].Weight))
	})
	for _, i := range order {
		due[i] = min(demand[i], capacity*float64(teams[i].Weight)/float64(weights))
		capacity -= due[i]
		weights -= teams[i].Weight
	}
}
