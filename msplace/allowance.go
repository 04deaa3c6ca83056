package msplace

import "time"

// Allowance tells which jobs of a team are within its share. It answers the load of
// one team that sends many times its usual: what it sends beyond its share gets the
// room that others leave, also its own jobs within it. The zero value is full.
type Allowance struct {
	teams map[string]*bucket
}

type bucket struct {
	tokens float64
	at     time.Time
}

// allowanceBurst is for how long a team may send at its weight at once.
const allowanceBurst = 1.0

// Take counts a job that a team handed in and says whether it is within its share
// of weight jobs a second. A weight of 0 is no bound.
func (a *Allowance) Take(team string, weight float64, at time.Time) bool {
	if team == "" || weight <= 0 {
		return true
	}
	if a.teams == nil {
		a.teams = map[string]*bucket{}
	}
	most := max(1, weight*allowanceBurst)
	b := a.teams[team]
	if b == nil {
		b = &bucket{tokens: most, at: at}
		a.teams[team] = b
	}
	if d := at.Sub(b.at); d > 0 {
		b.tokens = min(most, b.tokens+d.Seconds()*weight)
		b.at = at
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Over says whether the team's next job would be beyond its share.
func (a *Allowance) Over(team string, weight float64, at time.Time) bool {
	b := a.teams[team]
	return b != nil && weight > 0 && b.tokens+max(0, at.Sub(b.at).Seconds())*weight < 1
}
