package mshealth

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjoramspan/msjob"
	"marjoramspan/msplace"
)

// The replay: a pool of 100 workers, 15 of which are bad from second 2 to 8. Tasks of 0.85 s
// arrive one by one.
const (
	replayTick    = 10 * time.Millisecond
	replayWorkers = 100
	replayBad     = 15
	taskRuntime   = 850 * time.Millisecond
	// objective is that of deployment B's short jobs, and attempts the fewest.
	objective      = 1960 * time.Millisecond
	replayAttempts = 2
	slowdown       = 8
	// flapPeriod is how often a flapping worker goes down; it is up again after half of it.
	flapPeriod = 1400 * time.Millisecond
	// lossDelay is how long a task stays assigned to a worker that went down.
	lossDelay = 500 * time.Millisecond
	// reportEvery is how often a worker says how far its tasks are, reportDelay how long the
	// answer takes.
	reportEvery = 250 * time.Millisecond
	reportDelay = 60 * time.Millisecond
)

var names = func() (all [replayWorkers]string) {
	for i := range all {
		all[i] = "w" + strconv.Itoa(i)
	}
	return all
}()

type replayTask struct {
	arrived, begun, waitsFrom time.Duration
	worker                    int
	failures                  int
	runs, fails, hangs        bool
	takes                     time.Duration
	avoid                     map[string]bool
	done                      bool
}

// replayRules are the rules under test.
type replayRules interface {
	rate(i int, v *msplace.Worker, now time.Time) bool
	ended(i int, failed bool, took time.Duration, job string, now time.Time)
	lost(i int, explained bool, now time.Time)
	found(i int, now time.Time)
	// moves says that an attempt is stopped and started elsewhere.
	moves(i int, ran time.Duration, done float64, now time.Time) bool
}

// formerRules are those of the version before this package.
type formerRules struct {
	failures    [replayWorkers]int
	lastFailure [replayWorkers]time.Time
	blocked     [replayWorkers]time.Time
	ratio       [replayWorkers]float64
}

func (r *formerRules) rate(i int, v *msplace.Worker, now time.Time) bool {
	if r.failures[i] > 0 && now.Sub(r.lastFailure[i]) <= 12*time.Second {
		v.FailureRisk = min(1, float64(r.failures[i])/3)
	}
	v.FailureRisk = max(v.FailureRisk, min(1, max(0, (r.ratio[i]-1.7)/2.3)))
	return !now.Before(r.blocked[i])
}

func (r *formerRules) ended(i int, failed bool, took time.Duration, _ string, now time.Time) {
	if !failed {
		r.failures[i] = 0
		ratio := float64(took) / float64(taskRuntime)
		if r.ratio[i] == 0 {
			r.ratio[i] = ratio
		}
		r.ratio[i] += 0.3 * (ratio - r.ratio[i])
		return
	}
	r.failures[i]++
	r.lastFailure[i] = now
	if r.failures[i] >= 3 {
		r.blocked[i] = now.Add(6 * time.Second)
	}
}

func (r *formerRules) lost(int, bool, time.Time) {}
func (r *formerRules) found(int, time.Time)      {}

func (r *formerRules) moves(i int, ran time.Duration, done float64, now time.Time) bool {
	if done > 0 || ran < 1750*time.Millisecond {
		return false
	}
	r.blocked[i] = now.Add(5 * time.Second)
	return true
}

// tableRules are those of this package.
type tableRules struct {
	table Table
}

func (r *tableRules) worker(i int, now time.Time) *Worker {
	if r.table.RackSize == nil {
		r.table.RackSize = map[string]int{}
		for k := range replayWorkers {
			r.table.RackSize[names[k/20]]++
		}
	}
	return r.table.Worker(names[i], "p", names[i/20], now)
}

func (r *tableRules) rate(i int, v *msplace.Worker, now time.Time) bool {
	s := r.table.State(r.worker(i, now), now)
	v.LastResort = s != Sound
	if s == Slow {
		v.Slowdown = r.worker(i, now).Ratio(now)
	}
	if v.Limited = s == Suspect || s == Probation; v.Limited {
		v.Slowdown = RiskSlowdown
	}
	v.Proven = r.table.Proven(r.worker(i, now), now)
	return s != Out
}

func (r *tableRules) ended(i int, failed bool, took time.Duration, job string, now time.Time) {
	if failed {
		r.table.Failed(r.worker(i, now), Failure{Job: job, Image: "i"}, now)
		return
	}
	r.table.Ran(r.worker(i, now), "i", took, taskRuntime, now)
	r.table.Succeeded(r.worker(i, now), "i", now)
}

func (r *tableRules) lost(i int, explained bool, now time.Time) {
	r.table.Lost(r.worker(i, now), explained, now)
}
func (r *tableRules) found(i int, now time.Time) { r.table.Found(r.worker(i, now), now) }

func (r *tableRules) moves(i int, ran time.Duration, done float64, now time.Time) bool {
	w := r.worker(i, now)
	r.table.Running(w, "i", ran, taskRuntime, now)
	if ran -= reportDelay; ran < 0 || ran%reportEvery != 0 {
		return false
	}
	r.table.Progressed(w, "i", ran, taskRuntime, done, now)
	a := Attempt{Ran: ran, Expected: r.table.Expected("i", taskRuntime), Done: done}
	if !r.table.Progresses("i") || !a.WorthMoving() {
		return false
	}
	if a.StandsStill() {
		r.table.Stalled(w, now)
	}
	return true
}

// outcome is what a replay has counted: failed attempts, tasks without an attempt left, tasks
// later than the objective, and the most failures on one worker within the trouble.
type outcome struct {
	arrived, failures, failed, late, worst int
}

func replay(rules replayRules, kind string, perSecond int, need int64, seed uint64) outcome {
	rng := rand.New(rand.NewPCG(seed, 1))
	start := time.Unix(1000, 0)
	bad := map[int]bool{}
	for _, i := range rng.Perm(replayWorkers)[:replayBad] {
		bad[i] = true
	}
	var tasks []*replayTask
	var o outcome
	perWorker, onSound, wasDown := map[int]int{}, map[int]bool{}, map[int]bool{}
	used, count := make([]int64, replayWorkers), make([]int, replayWorkers)
	release := func(t *replayTask) { t.runs = false; used[t.worker] -= need; count[t.worker]-- }
	step := msjob.Step{Count: 1, Need: msjob.Resources{CPU: need}}
	for at := time.Duration(0); at < 14*time.Second; at += replayTick {
		now := start.Add(at)
		trouble := at >= 2*time.Second && at < 8*time.Second
		isDown := func(i int) bool {
			return kind == "flap" && bad[i] && trouble && (at+time.Duration(i)*40*time.Millisecond)%flapPeriod < flapPeriod/2
		}
		if int(at/replayTick)*perSecond/100 != int(at/replayTick+1)*perSecond/100 && at < 10*time.Second {
			tasks = append(tasks, &replayTask{arrived: at, avoid: map[string]bool{}})
			o.arrived++
		}
		for i := range replayWorkers {
			switch {
			case isDown(i) && !wasDown[i]:
				explained := false
				for _, t := range tasks {
					explained = explained || t.runs && t.worker == i && at-t.begun < msjob.MinTrialTime
				}
				rules.lost(i, explained, now)
			case !isDown(i) && wasDown[i]:
				rules.found(i, now)
			}
			wasDown[i] = isDown(i)
		}
		for n, t := range tasks {
			if t.done || !t.runs {
				continue
			}
			ran, i, done := at-t.begun, t.worker, 0.0
			if !t.hangs {
				done = max(0.001, float64(ran-reportDelay)/float64(t.takes))
			}
			switch {
			case isDown(i):
				release(t)
				t.waitsFrom = at + lossDelay
			case !t.hangs && ran >= t.takes:
				release(t)
				rules.ended(i, t.fails, ran, "j"+strconv.Itoa(n), now)
				if !t.fails {
					t.done = true
					if at-t.arrived > objective {
						o.late++
					}
					continue
				}
				t.avoid[names[i]] = true
				t.failures++
				o.failures++
				perWorker[i]++
				o.worst = max(o.worst, perWorker[i])
				if t.failures >= replayAttempts {
					t.done = true
					o.failed++
				}
			case rules.moves(i, ran, done, now):
				release(t)
				t.avoid[names[i]] = true
			}
		}
		var views []msplace.Worker
		var index []int
		for i := range replayWorkers {
			capacity := msjob.Resources{CPU: 64000}
			v := msplace.Worker{ID: names[i], Capacity: capacity, Free: capacity.Minus(msjob.Resources{CPU: used[i]}), Tasks: count[i]}
			if !isDown(i) && rules.rate(i, &v, now) {
				views, index = append(views, v), append(index, i)
			}
		}
		room := &msplace.Room{}
		for k, i := range index {
			onSound[i] = !views[k].LastResort
			if onSound[i] {
				room.AddWorker(views[k].Capacity)
			}
		}
		for _, t := range tasks {
			if t.runs && onSound[t.worker] {
				room.AddEnd(max(taskRuntime-(at-t.begun), taskRuntime/3), step.Need)
			}
		}
		for _, t := range tasks {
			if t.done || t.runs || at < t.waitsFrom {
				continue
			}
			want := msplace.Requirements{Step: &step, Avoid: t.avoid, Failures: t.failures, RunTime: taskRuntime, PoolRoom: room}
			c, _ := msplace.ChooseOrWait(want, views)
			if c < 0 {
				continue
			}
			i := index[c]
			views[c].Free.CPU -= need
			views[c].Tasks++
			used[i] += need
			count[i]++
			t.runs, t.begun, t.worker, t.fails, t.hangs = true, at, i, false, false
			t.takes = time.Duration(float64(taskRuntime) * (0.9 + 0.2*rng.Float64()))
			if !bad[i] || !trouble {
				continue
			}
			switch kind {
			case "fail":
				t.fails, t.takes = true, 30*time.Millisecond
			case "fail 40%":
				t.fails = rng.Float64() < 0.4
			case "hang":
				t.hangs = true
			case "slow":
				t.takes *= slowdown
			}
		}
	}
	for _, t := range tasks {
		if !t.done {
			o.late++
		}
	}
	return o
}

// A worker that fails at once is always free. Without a bound it takes all tasks of a busy
// pool and fails them.
func TestBadWorkersAreOutOfUseAfterFewFailures(t *testing.T) {
	for _, load := range []struct {
		name      string
		perSecond int
		need      int64
	}{{"one task to a worker", 30, 40000}, {"busy", 90, 40000}, {"full", 110, 40000}} {
		for _, kind := range []string{"fail", "fail 40%", "hang", "slow", "flap"} {
			var former, table outcome
			const seeds = 2
			for seed := range uint64(seeds) {
				add(&former, replay(&formerRules{}, kind, load.perSecond, load.need, seed))
				add(&table, replay(&tableRules{}, kind, load.perSecond, load.need, seed))
			}
			t.Logf("%-20s %-8s former %+v table %+v", load.name, kind, former, table)
			require.LessOrEqual(t, table.failed, former.failed, "%s %s", load.name, kind)
			require.LessOrEqual(t, table.late, former.late, "%s %s", load.name, kind)
			if kind == "fail" {
				require.LessOrEqual(t, table.worst, 3, load.name)
			}
		}
	}
}

func add(sum *outcome, o outcome) {
	sum.arrived += o.arrived
	sum.failures += o.failures
	sum.failed += o.failed
	sum.late += o.late
	sum.worst = max(sum.worst, o.worst)
}
