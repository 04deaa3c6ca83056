package msplace

import (
	"math"
	"time"

	"marjoramspan/msjob"
)

// Shares has the work of each team in each pool. Its method Rank divides a full pool by it.
//
// It answers a load in which one team sends many times its usual jobs to a pool that
// others use as well. In a single line by deadline all of them wait behind that team.
// The zero value is empty.
type Shares struct {
	teams map[teamKey]*teamWork
	// pools and order are used by Rank only.
	pools []poolLines
	order []*Candidate
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

	// The fields below are used by Rank only. ranked is set if the team is in the lines of
	// the pool with the index pool, first and last are its jobs beyond its part.
	ranked        bool
	pool          int
	weight, share float64
	first, last   *Candidate
}

// shareDecay is the time in which started work decays to 1/e. A team whose tasks have just
// ended has had its share; tasks take about a second, and what was used some seconds ago
// makes no caller wait now.
const shareDecay = 2 * time.Second

// Start counts a task of the given estimated run time that starts now.
func (s *Shares) Start(pool, team string, need msjob.Resources, estimate time.Duration, now time.Time) {
	w := s.work(pool, team, now)
	w.running = w.running.Plus(need)
	decay := w.decay(now)
	seconds := min(estimate, shareDecay).Seconds()
	for i, n := range [...]int64{need.CPU, need.Memory, need.GPUs} {
		w.recent[i] = w.recent[i]*decay + float64(n)*seconds
	}
	w.updated = now
}

// work returns the work of a team in a pool, and adds it if there is none.
func (s *Shares) work(pool, team string, now time.Time) *teamWork {
	k := teamKey{pool, team}
	w := s.teams[k]
	if w == nil {
		if s.teams == nil {
			s.teams = map[teamKey]*teamWork{}
		}
		w = &teamWork{updated: now}
		s.teams[k] = w
	}
	return w
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

// Share returns the part of a pool's capacity that a team takes, by the resource of which
// it takes most. It is the mean of what its tasks take now and what the tasks that it
// started within about shareDecay take on average. What runs alone favours a team whose
// tasks are short, as they have just ended whenever the next job is chosen.
func (s *Shares) Share(pool, team string, capacity msjob.Resources, now time.Time) float64 {
	if w := s.teams[teamKey{pool, team}]; w != nil {
		return w.partOf(capacity, now)
	}
	return 0
}

func (w *teamWork) partOf(capacity msjob.Resources, now time.Time) float64 {
	decay := w.decay(now) / shareDecay.Seconds()
	return max(
		part(float64(w.running.CPU)+w.recent[0]*decay, capacity.CPU),
		part(float64(w.running.Memory)+w.recent[1]*decay, capacity.Memory),
		part(float64(w.running.GPUs)+w.recent[2]*decay, capacity.GPUs),
	) / 2
}

// Each calls fn with the running tasks of each team in each pool, in no particular order.
func (s *Shares) Each(fn func(pool, team string, running msjob.Resources)) {
	for k, w := range s.teams {
		fn(k.pool, k.team, w.running)
	}
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

// DominantPart returns the largest fraction of the capacity's resources that r takes.
func DominantPart(r, capacity msjob.Resources) float64 {
	return max(part(float64(r.CPU), capacity.CPU), part(float64(r.Memory), capacity.Memory), part(float64(r.GPUs), capacity.GPUs))
}

// Rank sorts jobs into the order in which they get capacity. It is the order of
// SortCandidates, except that the jobs of a pool and a priority that have not started and
// can end in time go by teams. First come the jobs of teams below their fair part of the
// pool, which is their part of the weights of all teams with such jobs, by slack. Then next
// is each time a job of the team with the smallest share for its weight. Jobs ranked before
// count in the share. So teams without demand leave their part to the others, and as long
// as no team exceeds its part, all jobs go by slack, which makes the fewest late.
//
// Jobs that have started keep their place, as they would end late together otherwise; what
// they take counts in the share of their team. The order depends only on the arguments and
// on what was counted; the tables are kept between calls to save allocations.
func (s *Shares) Rank(candidates []*Candidate, capacity map[string]msjob.Resources, now time.Time) {
	SortCandidates(candidates)
	for from := 0; from < len(candidates); {
		to := from + 1
		for to < len(candidates) && candidates[to].stage == candidates[from].stage && candidates[to].Priority == candidates[from].Priority {
			to++
		}
		if candidates[from].stage == stageWaiting {
			s.rankByShare(candidates[from:to], capacity, now)
		}
		from = to
	}
}

// poolLines has the teams with jobs in a pool, for one call of rankByShare.
type poolLines struct {
	name  string
	teams []*teamWork
	// weight is the sum of the teams' weights.
	weight   float64
	capacity msjob.Resources
}

// rankByShare orders jobs of one priority by the shares of their teams.
func (s *Shares) rankByShare(candidates []*Candidate, capacity map[string]msjob.Resources, now time.Time) {
	pools := s.pools[:0]
	several := false
	for _, c := range candidates {
		w := s.work(c.Pool, c.Team, now)
		c.work = w
		if w.ranked {
			continue
		}
		p := -1
		for i := range pools {
			if pools[i].name == c.Pool {
				p = i
			}
		}
		if p < 0 {
			p = len(pools)
			if p < cap(pools) {
				pools = pools[:p+1]
			} else {
				pools = append(pools, poolLines{})
			}
			pools[p] = poolLines{name: c.Pool, teams: pools[p].teams[:0], capacity: capacity[c.Pool]}
		}
		w.ranked, w.pool, w.weight, w.share = true, p, c.weight(), w.partOf(pools[p].capacity, now)
		pools[p].teams = append(pools[p].teams, w)
		pools[p].weight += w.weight
		several = several || len(pools[p].teams) > 1
	}
	s.pools = pools
	serveStarved(candidates)
	if several {
		s.divide(candidates)
	}
	for i := range pools {
		for _, w := range pools[i].teams {
			w.ranked = false
		}
	}
}

// serveStarved moves starved jobs before the others of their team. The places of the teams
// among each other stay, so that this costs other teams nothing.
func serveStarved(candidates []*Candidate) {
	starved := false
	for _, c := range candidates {
		starved = starved || c.Starved
	}
	if !starved {
		return
	}
	for _, first := range []bool{true, false} {
		for _, c := range candidates {
			if c.Starved == first {
				c.work.append(c)
			}
		}
	}
	for i, c := range candidates {
		w := c.work
		candidates[i], w.first = w.first, w.first.next
	}
}

// append adds a job to the end of the team's line.
func (w *teamWork) append(c *Candidate) {
	c.next = nil
	if w.first == nil {
		w.first = c
	} else {
		w.last.next = c
	}
	w.last = c
}

// divide orders the jobs of the teams in s.pools.
func (s *Shares) divide(candidates []*Candidate) {
	ranked := s.order[:0]
	for _, c := range candidates {
		w, p := c.work, &s.pools[c.work.pool]
		if w.first == nil && w.share < w.weight/p.weight {
			ranked = append(ranked, w.take(c, p.capacity))
			continue
		}
		w.append(c)
	}
	for i := range s.pools {
		p := &s.pools[i]
		for {
			var next *teamWork
			for _, w := range p.teams {
				if w.first != nil && (next == nil || w.share*next.weight < next.share*w.weight) {
					next = w
				}
			}
			if next == nil {
				break
			}
			c := next.first
			next.first = c.next
			ranked = append(ranked, next.take(c, p.capacity))
		}
	}
	copy(candidates, ranked)
	s.order = ranked
}

// take counts a job that is ranked next in the share of its team.
func (w *teamWork) take(c *Candidate, capacity msjob.Resources) *Candidate {
	c.Share = w.share
	w.share += DominantPart(c.Wanted, capacity)
	return c
}

// weight is the weight of the job's team, or 1 if it has none.
func (t *Candidate) weight() float64 {
	if t.Weight > 0 {
		return t.Weight
	}
	return 1
}
