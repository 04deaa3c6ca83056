package msplace

import (
	"math"
	"time"

	"marjoramspan/msjob"
)

// Shares has the work of each team in each pool. Rank divides a full pool by it.
//
// It answers a load in which one team sends many times its usual jobs to a pool that
// others use as well. In a single line by deadline all of them wait behind that team.
// The zero value is empty.
type Shares struct {
	teams map[teamKey]*teamWork
}

type teamKey struct {
	pool, team string
}

// teamWork is the work of a team in a pool.
type teamWork struct {
	running msjob.Resources
	// recent is the work of recent starts in millicore-seconds, MB-seconds and
	// GPU-seconds, decayed to the time updated.
	recent  [3]float64
	updated time.Time
}

// shareDecay is the time in which started work decays to 1/e. A team whose tasks have just
// ended has had its share; tasks take about a second, and what was used some seconds ago
// makes no caller wait now.
const shareDecay = 2 * time.Second

// Start counts a task of the given estimated run time that starts now.
func (s *Shares) Start(pool, team string, need msjob.Resources, estimate time.Duration, now time.Time) {
	k := teamKey{pool, team}
	w := s.teams[k]
	if w == nil {
		if s.teams == nil {
			s.teams = map[teamKey]*teamWork{}
		}
		w = &teamWork{updated: now}
		s.teams[k] = w
	}
	w.running = w.running.Plus(need)
	decay := w.decay(now)
	seconds := min(estimate, shareDecay).Seconds()
	for i, n := range [...]int64{need.CPU, need.Memory, need.GPUs} {
		w.recent[i] = w.recent[i]*decay + float64(n)*seconds
	}
	w.updated = now
}

// End counts off a task that was counted by Start and has ended.
func (s *Shares) End(pool, team string, need msjob.Resources) {
	if w := s.teams[teamKey{pool, team}]; w != nil {
		w.running = w.running.Minus(need)
	}
}

// Undo takes back a Start just made, of a task that was not started after all.
func (s *Shares) Undo(pool, team string, need msjob.Resources, estimate time.Duration) {
	w := s.teams[teamKey{pool, team}]
	if w == nil {
		return
	}
	w.running = w.running.Minus(need)
	seconds := min(estimate, shareDecay).Seconds()
	for i, n := range [...]int64{need.CPU, need.Memory, need.GPUs} {
		w.recent[i] = max(0, w.recent[i]-float64(n)*seconds)
	}
}

// Running returns what the running tasks of a team take in a pool.
func (s *Shares) Running(pool, team string) msjob.Resources {
	if w := s.teams[teamKey{pool, team}]; w != nil {
		return w.running
	}
	return msjob.Resources{}
}

// Share returns the part of a pool's capacity that a team's running and recently started
// work takes, by the resource of which it takes most.
func (s *Shares) Share(pool, team string, capacity msjob.Resources, now time.Time) float64 {
	w := s.teams[teamKey{pool, team}]
	if w == nil {
		return 0
	}
	decay := w.decay(now) / shareDecay.Seconds()
	return max(
		part(float64(w.running.CPU)+w.recent[0]*decay, capacity.CPU),
		part(float64(w.running.Memory)+w.recent[1]*decay, capacity.Memory),
		part(float64(w.running.GPUs)+w.recent[2]*decay, capacity.GPUs),
	)
}

func (w *teamWork) decay(now time.Time) float64 {
	return math.Exp(-max(0, now.Sub(w.updated)).Seconds() / shareDecay.Seconds())
}

// part returns amount as a fraction of capacity, or 0 if there is no such resource.
func part(amount float64, capacity int64) float64 {
	if capacity <= 0 {
		return 0
	}
	return max(0, amount) / float64(capacity)
}

// dominantPart returns the largest fraction of the capacity's resources that r takes.
func dominantPart(r, capacity msjob.Resources) float64 {
	return max(part(float64(r.CPU), capacity.CPU), part(float64(r.Memory), capacity.Memory), part(float64(r.GPUs), capacity.GPUs))
}

// Rank sorts jobs into the order in which they get capacity. It is the order of
// SortCandidates, except that the jobs of a pool and a priority that have not started and
// can end in time go by teams: next is a job of the team with the smallest share for its
// weight, counting the jobs ranked before. So the teams without demand leave their share
// to the others.
//
// Jobs that have started keep their place, as they would end late together otherwise; what
// they take counts in the share of their team.
func Rank(candidates []Candidate, shares *Shares, capacity map[string]msjob.Resources, now time.Time) {
	SortCandidates(candidates)
	for from := 0; from < len(candidates); {
		to := from + 1
		for to < len(candidates) && candidates[to].stage == candidates[from].stage && candidates[to].Priority == candidates[from].Priority {
			to++
		}
		if candidates[from].stage == stageWaiting {
			rankByShare(candidates[from:to], shares, capacity, now)
		}
		from = to
	}
}

// line has the jobs of one team in one pool in their order.
type line struct {
	pool string
	jobs []int
	// used is the team's share of the pool for its weight.
	used float64
}

// rankByShare orders jobs of one priority by the shares of their teams.
func rankByShare(candidates []Candidate, shares *Shares, capacity map[string]msjob.Resources, now time.Time) {
	lines, ids := []*line{}, map[teamKey]*line{}
	pools, byPool := []string{}, map[string][]*line{}
	for i := range candidates {
		c := &candidates[i]
		k := teamKey{c.Pool, c.Team}
		l := ids[k]
		if l == nil {
			l = &line{pool: c.Pool, used: shares.Share(c.Pool, c.Team, capacity[c.Pool], now) / c.weight()}
			ids[k] = l
			lines = append(lines, l)
			if byPool[c.Pool] == nil {
				pools = append(pools, c.Pool)
			}
			byPool[c.Pool] = append(byPool[c.Pool], l)
		}
		l.jobs = append(l.jobs, i)
	}
	if len(lines) == len(pools) {
		return
	}
	ranked := make([]Candidate, 0, len(candidates))
	for _, pool := range pools {
		for waiting := byPool[pool]; len(waiting) > 0; {
			n := 0
			for i, l := range waiting {
				if l.used < waiting[n].used || l.used == waiting[n].used && l.jobs[0] < waiting[n].jobs[0] {
					n = i
				}
			}
			l := waiting[n]
			c := candidates[l.jobs[0]]
			ranked = append(ranked, c)
			l.used += dominantPart(c.Wanted, capacity[pool]) / c.weight()
			if l.jobs = l.jobs[1:]; len(l.jobs) == 0 {
				waiting[n] = waiting[len(waiting)-1]
				waiting = waiting[:len(waiting)-1]
			}
		}
	}
	copy(candidates, ranked)
}

// weight is the weight of the job's team, or 1 if it has none.
func (t *Candidate) weight() float64 {
	if t.Weight > 0 {
		return t.Weight
	}
	return 1
}
