package msplace

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjoramspan/msjob"
)

// replayedJob is a job of replayOverload.
type replayedJob struct {
	team                                  string
	weight                                float64
	covered, started, inTime, wide, known bool
	accepted, objective                   time.Duration
	estimate, path                        time.Duration
	work, stepCount                       float64
	need                                  msjob.Resources
	steps                                 [][]time.Duration
	waiting, running                      int
}

// served counts jobs and those in time.
type served struct{ inTime, all float64 }

func (s *served) add(inTime bool) {
	s.all++
	s.inTime += float64(boolToInt(inTime))
}

func (s *served) plus(o served) { s.inTime, s.all = s.inTime+o.inTime, s.all+o.all }

func (s served) part() float64 { return s.inTime / max(1, s.all) }

// overload is what replayOverload returns: jobs that the objective covers, of the team that
// sends too much, of the others, and the largest tenth of all.
type overload struct{ all, hot, others, wide served }

const replayedWorkers = 100

// replaySettings are what replayOverload varies. large is the part of the jobs whose tasks need
// three times as much, hold whether workers are held for wide jobs. naive corrects no
// estimate.
type replaySettings struct {
	seed        uint64
	hot, large  float64
	hold, naive bool
}

// replayOverload replays a pool of 100 workers of 64 cores, about 125 jobs a second, to
// which one team sends hot jobs a second for 8 s, six times its usual, and 19 others send 50.
// Jobs have 1 to 3 steps of 1 to 15 tasks. A job is in time by the real run times, while its
// slack comes from the estimate, corrected by the factors of jobs like these.
func replayOverload(o replaySettings, rank func(*Shares, []*Candidate, map[string]msjob.Resources, time.Time)) overload {
	r := rand.New(rand.NewPCG(o.seed, 1))
	var wide WideJobs
	spread := func(s float64) float64 { return math.Exp(r.NormFloat64() * s) }
	capacity := map[string]msjob.Resources{"p": {CPU: 64_000 * replayedWorkers}}
	workers := make([]Worker, replayedWorkers)
	free := make([]msjob.Resources, replayedWorkers)
	for i := range workers {
		free[i].CPU = 64_000
		workers[i] = Worker{ID: fmt.Sprint(i), Capacity: free[i], Free: free[i]}
	}
	objective, path := 1.5, 1.9
	if o.naive {
		objective, path = 1, 1
	}
	var shares Shares
	var limiter TeamLimiter
	var all []*replayedJob
	type end struct {
		j *replayedJob
		w int
	}
	ends := map[int][]end{}
	const tick = 20 * time.Millisecond
	next := 0.0
	for n := range 800 {
		now := time.Duration(n) * tick
		at := time.Unix(1000, 0).Add(now)
		for next <= now.Seconds() && now < 10*time.Second {
			rate := o.hot / 6
			if now > time.Second && now < 9*time.Second {
				rate = o.hot
			}
			next += r.ExpFloat64() / (rate + 50)
			j := &replayedJob{team: "hot", weight: 191, accepted: now}
			if k := r.IntN(19); r.Float64()*(rate+50) > rate {
				j.team, j.weight = fmt.Sprint(k), float64(10+k)
			}
			j.covered = limiter.Allow(j.team, j.weight, at)
			j.need.CPU = 2000 + r.Int64N(8400)
			if r.Float64() < o.large {
				j.need.CPU *= 3
			}
			j.estimate = time.Duration(0.6 * spread(0.4) * float64(time.Second))
			off := spread(0.25)
			steps := []int{1, 1, 1, 1, 1, 2, 2, 2, 3, 3}[r.IntN(10)]
			for range steps {
				tasks := make([]time.Duration, 1+r.IntN(15))
				longest := time.Duration(0)
				for i := range tasks {
					tasks[i] = time.Duration(float64(j.estimate) * off * spread(0.3))
					longest = max(longest, tasks[i])
				}
				j.steps = append(j.steps, tasks)
				j.path += longest
				j.work += float64(len(tasks)) * float64(j.need.CPU) * j.estimate.Seconds()
			}
			j.waiting, j.stepCount = len(j.steps[0]), float64(steps)
			j.objective = j.path*8/5 + 600*time.Millisecond
			j.wide = wide.Add("q", j.work)
			all = append(all, j)
		}
		for _, x := range ends[n] {
			workers[x.w].Free = workers[x.w].Free.Plus(x.j.need)
			free[x.w] = workers[x.w].Free
			shares.End("p", x.j.team, x.j.need)
			if x.j.running--; x.j.running+x.j.waiting > 0 {
				continue
			}
			if x.j.steps = x.j.steps[1:]; len(x.j.steps) > 0 {
				x.j.waiting = len(x.j.steps[0])
			} else {
				x.j.inTime = now <= x.j.accepted+x.j.objective
				if !x.j.known {
					wide.End("q", x.j.wide, x.j.inTime)
				}
			}
		}
		var candidates []*Candidate
		for i, j := range all {
			if j.waiting == 0 {
				continue
			}
			c := &Candidate{
				ID: fmt.Sprintf("%05d", i), Index: i, Pool: "p", Team: j.team, Weight: j.weight, OverShare: !j.covered, Started: j.started,
				Starved: o.hold && j.wide && wide.Starved("q"),
				Wanted:  j.need.Times(int64(j.waiting)), RemainingPath: time.Duration(path * float64(j.estimate) * float64(len(j.steps))),
			}
			c.Objective = time.Duration(1.6*objective*float64(j.estimate)*j.stepCount) + 600*time.Millisecond
			c.Slack = j.accepted + c.Objective - now - c.RemainingPath
			if c.Late() && !j.known {
				j.known = true
				wide.End("q", j.wide, false)
			}
			candidates = append(candidates, c)
		}
		rank(&shares, candidates, capacity, at)
		// Once a task has found no room in a pass, larger ones find none either.
		held, tooLarge := false, int64(math.MaxInt64)
		for _, c := range candidates {
			j := all[c.Index]
			want := Requirements{Step: &msjob.Step{Need: j.need}}
			for j.waiting > 0 {
				w := -1
				if j.need.CPU < tooLarge {
					w = Choose(want, workers)
				}
				if w < 0 {
					tooLarge = min(tooLarge, j.need.CPU)
					if o.hold && !held && j.wide && !c.Late() && wide.Starved("q") {
						held = Hold(want, workers) >= 0
					}
					break
				}
				workers[w].Free = workers[w].Free.Minus(j.need)
				shares.Start("p", j.team, j.need, j.estimate, at)
				j.waiting--
				j.running++
				j.started = true
				stop := n + 1 + int((j.steps[0][j.waiting]+tick)/tick)
				ends[stop] = append(ends[stop], end{j, w})
				free[w] = workers[w].Free
			}
		}
		for i := range workers {
			workers[i].Free, workers[i].Withheld = free[i], false
		}
	}
	var result overload
	for _, j := range all {
		if !j.covered {
			continue
		}
		result.all.add(j.inTime)
		if j.team == "hot" {
			result.hot.add(j.inTime)
		} else {
			result.others.add(j.inTime)
		}
		if larger := 0; j.work > 0 {
			for _, k := range all {
				larger += boolToInt(k.work > j.work)
			}
			if larger < len(all)/10 {
				result.wide.add(j.inTime)
			}
		}
	}
	return result
}

// A team that sends six times its usual load must not cost the others their objectives. In a
// single line by slack every team waits behind it.
func TestTeamsAreServedBesideOneThatSendsTooMuch(t *testing.T) {
	t.Parallel()
	line := func(_ *Shares, c []*Candidate, _ map[string]msjob.Resources, _ time.Time) { SortCandidates(c) }
	for _, hot := range []float64{150, 300} {
		ours, naive := replayOverload(replaySettings{seed: 1, hot: hot, hold: true}, (*Shares).Rank), replayOverload(replaySettings{seed: 1, hot: hot}, line)
		t.Logf("%.0f jobs a second: in time %.3f, others %.3f, hot %.3f, largest tenth %.3f; by slack %.3f, others %.3f, hot %.3f, largest tenth %.3f", hot,
			ours.all.part(), ours.others.part(), ours.hot.part(), ours.wide.part(), naive.all.part(), naive.others.part(), naive.hot.part(), naive.wide.part())
		require.Greater(t, ours.others.part(), 0.9, "jobs of teams below their part of the weights")
		require.Less(t, naive.others.part(), 0.9, "slack order no longer fails under this load")
		require.Greater(t, ours.wide.part(), ours.all.part()/2, "largest tenth of the jobs")
	}
}

// The order must not cost jobs when the pool has room for the load, whatever the weights.
func TestSharesCostNothingWithoutOverload(t *testing.T) {
	t.Parallel()
	require.Greater(t, replayOverload(replaySettings{seed: 1, hot: 50}, (*Shares).Rank).all.part(), 0.99)
}

// The share counts what runs and what has started lately, by the dominant resource.
func TestShareOfTeam(t *testing.T) {
	var s Shares
	at, capacity := time.Unix(10, 0), msjob.Resources{CPU: 1000, Memory: 100}
	require.Zero(t, s.Share("p", "a", capacity, at))
	s.Start("p", "a", msjob.Resources{CPU: 100, Memory: 50}, time.Second, at)
	require.InDelta(t, (0.5+0.25)/2, s.Share("p", "a", capacity, at), 1e-9)
	s.End("p", "a", msjob.Resources{CPU: 100, Memory: 50})
	require.InDelta(t, 0.125/math.E, s.Share("p", "a", capacity, at.Add(shareDecay)), 1e-9)
	require.Zero(t, s.Share("other", "a", capacity, at))
	s.Start("p", "b", msjob.Resources{CPU: 100}, time.Second, at)
	s.Undo("p", "b", msjob.Resources{CPU: 100}, time.Second)
	require.Zero(t, s.Share("p", "b", capacity, at), "a task that was not started leaves no share")
}

// Within a priority, teams below their part go by slack, then the team with the least work
// for its weight; the order in other pools and stages stays.
func TestRankByShare(t *testing.T) {
	var s Shares
	at, capacity := time.Unix(10, 0), map[string]msjob.Resources{"p": {CPU: 100}, "q": {CPU: 100}}
	s.Start("p", "busy", msjob.Resources{CPU: 80}, 2*time.Second, at)
	need := msjob.Resources{CPU: 20}
	candidates := []*Candidate{
		{ID: "busy-1", Pool: "p", Team: "busy", Weight: 1, Slack: 1, Wanted: need},
		{ID: "busy-2", Pool: "p", Team: "busy", Weight: 1, Slack: 2, Wanted: need},
		{ID: "calm-1", Pool: "p", Team: "calm", Weight: 1, Slack: 9, Wanted: need},
		{ID: "calm-2", Pool: "p", Team: "calm", Weight: 1, Slack: 8, Wanted: need},
		{ID: "calm-3", Pool: "p", Team: "calm", Weight: 1, Slack: 10, Wanted: need},
		{ID: "calm-4", Pool: "p", Team: "calm", Weight: 1, Slack: 11, Wanted: need},
		{ID: "late", Pool: "p", Team: "calm", Weight: 1, Slack: -1},
		{ID: "started", Pool: "p", Team: "busy", Weight: 1, Slack: 5, Started: true},
		{ID: "alone", Pool: "q", Team: "busy", Weight: 1, Slack: 7, Wanted: need},
	}
	s.Rank(candidates, capacity, at)
	var got []string
	for _, c := range candidates {
		got = append(got, c.ID)
	}
	require.Equal(t, []string{"started", "alone", "calm-2", "calm-1", "calm-3", "calm-4", "busy-1", "busy-2", "late"}, got)
}

// A starved wide job goes before the others of its team, at no cost of other teams.
func TestStarvedJobsGoFirstInTheirTeam(t *testing.T) {
	t.Parallel()
	var s Shares
	candidates := []*Candidate{
		{ID: "a-2", Pool: "p", Team: "a", Slack: 3},
		{ID: "b-1", Pool: "p", Team: "b", Slack: 2},
		{ID: "a-wide", Pool: "p", Team: "a", Slack: 4, Starved: true},
		{ID: "a-1", Pool: "p", Team: "a", Slack: 1},
	}
	s.Rank(candidates, nil, time.Unix(10, 0))
	var got []string
	for _, c := range candidates {
		got = append(got, c.ID)
	}
	require.Equal(t, []string{"a-wide", "b-1", "a-1", "a-2"}, got)
}

// BenchmarkRank orders 1,000 waiting jobs of 20 teams in 5 pools.
func BenchmarkRank(b *testing.B) {
	var s Shares
	at, capacity := time.Unix(10, 0), map[string]msjob.Resources{}
	r := rand.New(rand.NewPCG(1, 1))
	waiting := make([]Candidate, 1000)
	for i := range waiting {
		c := &waiting[i]
		c.ID, c.Pool, c.Team, c.Weight = fmt.Sprintf("%016x", i), fmt.Sprint("pool-", i%5), fmt.Sprint("team-", i%20), float64(1+i%20)
		c.Wanted, c.Slack = msjob.Resources{CPU: 48_000, Memory: 50_000}, time.Duration(r.Int64N(int64(time.Second)))
		capacity[c.Pool] = msjob.Resources{CPU: 4_000_000, Memory: 8_000_000}
		s.Start(c.Pool, c.Team, msjob.Resources{CPU: r.Int64N(1_000_000)}, time.Second, at)
	}
	candidates := make([]*Candidate, len(waiting))
	b.ReportAllocs()
	for b.Loop() {
		for i := range waiting {
			candidates[i] = &waiting[i]
		}
		s.Rank(candidates, capacity, at)
	}
}

// A large task must find room in a full pool, although small ones take the room of each task
// that ends: the largest tenth of the jobs must be in time half as often as all.
func TestWideJobsAreServed(t *testing.T) {
	t.Parallel()
	with, without := overload{}, overload{}
	for seed := range uint64(3) {
		o := replaySettings{seed: seed, hot: 250, large: 0.1, hold: true}
		a := replayOverload(o, (*Shares).Rank)
		o.hold = false
		b := replayOverload(o, (*Shares).Rank)
		with.all.plus(a.all)
		with.wide.plus(a.wide)
		without.all.plus(b.all)
		without.wide.plus(b.wide)
	}
	t.Logf("in time %.3f, largest tenth %.3f; without holding %.3f, %.3f", with.all.part(), with.wide.part(), without.all.part(), without.wide.part())
	require.GreaterOrEqual(t, with.wide.part(), with.all.part()/2)
	require.Less(t, without.wide.part(), without.all.part()/2, "the load no longer needs held workers")
}

// Only the largest tenth is wide, and it is starved only if it is in time seldom.
func TestWideJobs(t *testing.T) {
	t.Parallel()
	var w WideJobs
	wide := 0
	for i := range wideWindow {
		w.Add("q", float64(i%20))
	}
	for i := range 200 {
		isWide := w.Add("q", float64(i%20))
		wide += boolToInt(isWide)
		w.End("q", isWide, !isWide)
	}
	require.InDelta(t, 20, wide, 4)
	require.True(t, w.Starved("q"))
	for range 400 {
		w.End("q", true, true)
	}
	require.False(t, w.Starved("q"))
	require.False(t, w.Starved("other"))
}

// The worker that is held must be able to run the task, and small tasks must not.
func TestHold(t *testing.T) {
	t.Parallel()
	workers := make([]Worker, 20)
	for i := range workers {
		workers[i] = Worker{ID: fmt.Sprint(i), Capacity: msjob.Resources{CPU: 8000}, Free: msjob.Resources{CPU: int64(100 * i)}}
	}
	workers[19].Capacity.CPU = 3000
	require.Equal(t, 18, Hold(newWant(msjob.Step{Need: msjob.Resources{CPU: 4000}}), workers))
	require.False(t, CanRun(newWant(msjob.Step{Need: msjob.Resources{CPU: 100}}), &workers[18]))
	require.Equal(t, -1, Hold(newWant(msjob.Step{Need: msjob.Resources{CPU: 9000}}), workers))
}
