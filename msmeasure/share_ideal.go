package msmeasure

import "slices"

// idealMS is the step of the ideal division.
const idealMS = 10

// ideal divides one pool by weighted max-min at every moment of a window, as
// if slots could be cut as finely as one likes. It starts from the requests
// that were there in the measured run, with what was left of each, and takes
// every arrival, refused ones too. What it gives a team is the team's due.
//
// A team that joins in the middle is due nothing before, which a single
// division over the whole window would get wrong.
type ideal struct {
	r        *shareRun
	pool     int
	from     int
	limits   []float64
	arrivals []int
	present  [][]idealRequest // by team, in order of arrival
	ended    []int            // of those present, by team
}

type idealRequest struct {
	left     float64 // milliseconds in a slot
	deadline int
	begun    bool
}

func newIdeal(r *shareRun, pool, from int, limits []float64) *ideal {
	teams := len(r.d.Teams)
	m := &ideal{r: r, pool: pool, from: from, limits: limits, present: make([][]idealRequest, teams), ended: make([]int, teams)}
	for _, i := range r.between(from, from+windowMS) {
		if r.reqs[i].pool == pool {
			m.arrivals = append(m.arrivals, i)
		}
	}
	slices.SortStableFunc(m.arrivals, func(a, b int) int { return m.rank(a) - m.rank(b) })
	return m
}

// rank puts those that already run before the rest.
func (m *ideal) rank(i int) int {
	if o := m.r.outs[i]; o.started >= 0 && o.started < m.from {
		return 0
	}
	return 1
}

// run returns each team's due in slot milliseconds, and the part of the
// capacity that nobody asked for.
func (m *ideal) run() (due []float64, idle float64) {
	n := len(m.r.d.Teams)
	due = make([]float64, n)
	asked, rate, order := make([]float64, n), make([]float64, n), make([]int, n)
	var capacity, unused float64
	for ms := m.from; ms < m.from+windowMS; ms += idealMS {
		m.join(ms)
		for t := range asked {
			if ms%stepMS == 0 {
				m.drop(t, ms)
			}
			asked[t] = max(0, min(float64(len(m.present[t])-m.ended[t]), m.limits[t]))
		}
		slots := float64(m.r.capacity[m.pool][ms/stepMS])
		naiveDue(slots, m.r.d.Teams, asked, rate, order)
		capacity += slots
		unused += slots
		for t := range rate {
			due[t] += m.serve(t, rate[t])
			unused -= rate[t]
		}
	}
	return due, unused / capacity
}

// join adds the requests that have arrived by ms.
func (m *ideal) join(ms int) {
	for len(m.arrivals) > 0 && m.r.reqs[m.arrivals[0]].arrived <= ms {
		i := m.arrivals[0]
		m.arrivals = m.arrivals[1:]
		q, o := m.r.reqs[i], m.r.outs[i]
		in := idealRequest{left: float64(q.run), deadline: q.deadline}
		if o.started >= 0 && o.started < m.from {
			in.left -= float64(m.from - o.started)
			in.begun = true
		}
		if in.left > 0 {
			m.present[q.team] = append(m.present[q.team], in)
		}
	}
}

// drop forgets those of team t that have ended or can't start any more.
func (m *ideal) drop(t, ms int) {
	m.ended[t] = 0
	m.present[t] = slices.DeleteFunc(m.present[t], func(q idealRequest) bool {
		return q.left <= 0 || !q.begun && ms > q.deadline
	})
}

// serve runs the first requests of team t for one step on rate slots, and
// returns the slot time they took.
func (m *ideal) serve(t int, rate float64) float64 {
	budget := rate * idealMS
	for i := range m.present[t] {
		q := &m.present[t][i]
		if budget <= 0 {
			break
		}
		if q.left <= 0 {
			continue
		}
		ran := min(q.left, idealMS, budget)
		budget -= ran
		q.left -= ran
		q.begun = true
		if q.left <= 0 {
			m.ended[t]++
		}
	}
	return rate*idealMS - budget
}
