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

// Share returns the part of a pool's capacity that a team takes, by the resource of which
// it takes most. It is the mean of what its tasks take now and what the tasks that it
// started within about shareDecay take on average. What runs alone favours a team whose
// tasks are short, as they have just ended whenever the next job is chosen.
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
	) / 2
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
// can end in time go by teams. First come the jobs of teams below their fair part of the
// pool, which is their part of the weights of all teams with such jobs, by slack. Then next
// is each time a job of the team with the smallest share for its weight. Jobs ranked before
// count in the share. So teams without demand leave their part to the others, and as long
// as no team exceeds its part, all jobs go by slack, which makes the fewest late.
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

// line has the jobs of one team in one pool that exceed its fair part, in their order.
type line struct {
	jobs []Candidate
	// weight is the team's weight, share the part of the pool that it takes.
	weight, share float64
}

// poolLines has the lines of a pool.
type poolLines struct {
	lines []*line
	// weight is the sum of the teams' weights.
	weight   float64
	capacity msjob.Resources
}

// rankByShare orders jobs of one priority by the shares of their teams.
func rankByShare(candidates []Candidate, shares *Shares, capacity map[string]msjob.Resources, now time.Time) {
	byTeam, byPool := map[teamKey]*line{}, map[string]*poolLines{}
	var pools []*poolLines
	for i := range candidates {
		c := &candidates[i]
		k := teamKey{c.Pool, c.Team}
		if byTeam[k] != nil {
			continue
		}
		p := byPool[c.Pool]
		if p == nil {
			p = &poolLines{capacity: capacity[c.Pool]}
			byPool[c.Pool] = p
			pools = append(pools, p)
		}
		l := &line{weight: c.weight(), share: shares.Share(c.Pool, c.Team, p.capacity, now)}
		byTeam[k] = l
		p.lines = append(p.lines, l)
		p.weight += l.weight
	}
	if len(byTeam) == len(pools) {
		return
	}
	ranked := make([]Candidate, 0, len(candidates))
	for i := range candidates {
		c := &candidates[i]
		p, l := byPool[c.Pool], byTeam[teamKey{c.Pool, c.Team}]
		c.Share = l.share
		if len(l.jobs) > 0 || l.share >= l.weight/p.weight {
			l.jobs = append(l.jobs, *c)
			continue
		}
		ranked = append(ranked, *c)
		l.share += dominantPart(c.Wanted, p.capacity)
	}
	for _, p := range pools {
		ranked = p.appendByShare(ranked)
	}
	copy(candidates, ranked)
}

// appendByShare appends the jobs of the lines, each time one of the team with the smallest
// share for its weight.
func (p *poolLines) appendByShare(ranked []Candidate) []Candidate {
	for {
		var next *line
		for _, l := range p.lines {
			if len(l.jobs) > 0 && (next == nil || l.share/l.weight < next.share/next.weight) {
				next = l
			}
		}
		if next == nil {
			return ranked
		}
		c := next.jobs[0]
		c.Share = next.share
		ranked = append(ranked, c)
		next.share += dominantPart(c.Wanted, p.capacity)
		next.jobs = next.jobs[1:]
	}
}

// weight is the weight of the job's team, or 1 if it has none.
func (t *Candidate) weight() float64 {
	if t.Weight > 0 {
		return t.Weight
	}
	return 1
}
