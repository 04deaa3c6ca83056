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
	// fullDemand is the part of the capacity that must be asked for.
	fullDemand = 0.99
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
		for from := 0; from+windowMS <= shareSeconds*1000; from += slideMS {
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

// window measures what each team got and was due of pool p.
func (r *shareRun) window(p, from int) []window {
	to := from + windowMS
	got, demand, elsewhere := r.tally(p, from, to)
	capacity := 0.0
	for _, c := range r.capacity[p][from/stepMS : to/stepMS] {
		capacity += float64(c * stepMS)
	}
	total := 0.0
	for t, team := range r.d.Teams {
		demand[t] = min(demand[t], max(got[t], float64(team.Limit*windowMS)-elsewhere[t]))
		total += demand[t]
	}
	if total < capacity*fullDemand {
		return nil
	}
	due := naiveDue(capacity, r.d.Teams, demand)
	var out []window
	for t := range r.d.Teams {
		if due[t] >= leastDue {
			out = append(out, window{pool: p, from: from, team: t, got: got[t], due: due[t]})
		}
	}
	return out
}

// tally sums by team what it used of pool p, what it would have used if every
// request had run at once, and what it used of other pools.
func (r *shareRun) tally(p, from, to int) (got, demand, elsewhere []float64) {
	n := len(r.d.Teams)
	got, demand, elsewhere = make([]float64, n), make([]float64, n), make([]float64, n)
	end, _ := slices.BinarySearchFunc(r.reqs, to, func(q request, ms int) int { return cmp.Compare(q.arrived, ms) })
	begin, _ := slices.BinarySearchFunc(r.reqs, from-60000, func(q request, ms int) int { return cmp.Compare(q.arrived, ms) })
	for i := begin; i < end; i++ {
		q, o := r.reqs[i], r.outs[i]
		if o.ended >= 0 && o.ended <= from || o.refused && q.arrived < from {
			continue
		}
		used := o.slotTime(q, from, to)
		if q.pool != p {
			elsewhere[q.team] += float64(used)
			continue
		}
		got[q.team] += float64(used)
		demand[q.team] += float64(o.wanted(q, from, to))
	}
	return got, demand, elsewhere
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

// wanted is how long it would have held one, had it started on arrival or at
// from.
func (o outcome) wanted(q request, from, to int) int {
	left := q.run
	if o.started >= 0 && o.started < from {
		left -= from - o.started
	}
	return max(0, min(left, to-max(q.arrived, from)))
}

// naiveDue is the weighted max-min division by its definition: in order of
// demand by weight, each takes the less of its demand and its part of the rest.
func naiveDue(capacity float64, teams []Team, demand []float64) []float64 {
	order := make([]int, len(teams))
	weights := 0
	for i, t := range teams {
		order[i] = i
		weights += t.Weight
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Compare(demand[a]/float64(teams[a].Weight), demand[b]/float64(teams[b].Weight))
	})
	due := make([]float64, len(teams))
	for _, i := range order {
		due[i] = min(demand[i], capacity*float64(teams[i].Weight)/float64(weights))
		capacity -= due[i]
		weights -= teams[i].Weight
	}
	return due
}
