package msplace

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"marjoramspan/msjob"
)

func newWorker(id, rack string, free int64) Worker {
	return Worker{ID: id, Rack: rack, Capacity: msjob.Resources{CPU: 32000, Memory: 64000}, Free: msjob.Resources{CPU: free, Memory: 64000}}
}

func newWant(s msjob.Step) Requirements {
	return Requirements{Step: &s, OnWorker: map[string]int{}, OnRack: map[string]int{}}
}

func TestChooseMeetsStepRequirements(t *testing.T) {
	s := msjob.Step{Count: 1, Need: msjob.Resources{CPU: 4000, Memory: 100}}
	workers := []Worker{newWorker("a", "r1", 3999), newWorker("b", "r1", 8000), newWorker("c", "r2", 32000)}
	require.Equal(t, 1, Choose(newWant(s), workers), "the fullest worker that fits")
	s.LongRunning = true
	require.Equal(t, 2, Choose(newWant(s), workers), "the emptiest worker for a lasting task")
	s.LongRunning, s.DataRack = false, "r2"
	require.Equal(t, 2, Choose(newWant(s), workers), "near its data")
	s.DataRack, s.Label = "", "gpu"
	require.Equal(t, -1, Choose(newWant(s), workers))
	workers[1].Labels = []string{"gpu"}
	require.Equal(t, 1, Choose(newWant(s), workers))
	s.Label, s.MaxPerWorker = "", 1
	w := newWant(s)
	w.OnWorker["b"] = 1
	require.Equal(t, 2, Choose(w, workers))
	w = newWant(msjob.Step{Count: 1, Need: s.Need})
	w.Avoid = map[string]bool{"b": true}
	require.Equal(t, 2, Choose(w, workers), "a worker on which the task has not failed")
	workers[2].FailureRisk = 1
	require.Equal(t, 2, Choose(w, workers), "an unreliable worker rather than one on which the task has failed")
}

// A queue between two bursts asks for a sixth of its pool while another queue is in its
// burst. Its tasks must leave the VMs idle that it doesn't need, as only idle VMs can move.
func TestLowLoadLeavesVMsIdle(t *testing.T) {
	const vms, tasks, taskCPU = 64, 76, 4500
	var workers []Worker
	for i := range vms {
		workers = append(workers, newWorker(fmt.Sprintf("w%02d", i), fmt.Sprint("r", i/8), 32000))
	}
	used := map[int]bool{}
	for range tasks {
		n := Choose(newWant(msjob.Step{Count: 8, Need: msjob.Resources{CPU: taskCPU, Memory: 100}}), workers)
		require.GreaterOrEqual(t, n, 0)
		workers[n].Free.CPU -= taskCPU
		used[n] = true
	}
	// Seven tasks fit on a VM.
	require.Len(t, used, 11)
}

func TestBackfillAvoidsServingWorkers(t *testing.T) {
	workers := []Worker{newWorker("a", "r1", 32000), newWorker("b", "r2", 1000)}
	workers[0].Serving = 1
	require.Equal(t, 1, Choose(newWant(msjob.Step{Count: 1, Need: msjob.Resources{CPU: 9000}, Backfill: true}), workers))
	workers[1].Backfilling, workers[1].Free.CPU = 1, 31000
	require.Equal(t, 0, Choose(newWant(msjob.Step{Count: 1, Need: msjob.Resources{CPU: 500}, LongRunning: true, TailLatencyTarget: time.Second}), workers))
}

func TestLastingStepsShareWorkersAndSpreadTheirTasks(t *testing.T) {
	workers := []Worker{newWorker("a", "r1", 20000), newWorker("b", "r2", 32000), newWorker("c", "r3", 32000)}
	workers[0].LongRunning = 2
	s := msjob.Step{Count: 2, Need: msjob.Resources{CPU: 1000}, LongRunning: true}
	w := newWant(s)
	require.Equal(t, 0, Choose(w, workers))
	w.OnWorker["a"], w.OnRack["r1"] = 1, 1
	require.NotEqual(t, 0, Choose(w, workers))
}

// Choose finds a worker whenever one fits, and the chosen worker always fits.
func TestChooseFindsAWorkerIffOneFits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var workers []Worker
		for i := range rapid.IntRange(0, 8).Draw(t, "n") {
			w := newWorker(fmt.Sprint("w", i), fmt.Sprint("r", i/3), rapid.Int64Range(0, 32000).Draw(t, "free"))
			w.FailureRisk = rapid.Float64Range(0, 1).Draw(t, "doubt")
			workers = append(workers, w)
		}
		s := msjob.Step{Count: 1, Need: msjob.Resources{CPU: rapid.Int64Range(1, 32000).Draw(t, "need")}, MaxPerWorker: rapid.IntRange(0, 2).Draw(t, "max")}
		w := newWant(s)
		for i := range workers {
			w.OnWorker[workers[i].ID] = rapid.IntRange(0, 2).Draw(t, "on")
		}
		fits := 0
		for i := range workers {
			if s.Need.CPU <= workers[i].Free.CPU && (s.MaxPerWorker == 0 || w.OnWorker[workers[i].ID] < s.MaxPerWorker) {
				fits++
			}
		}
		got := Choose(w, workers)
		require.Equal(t, fits > 0, got >= 0)
		if got >= 0 {
			require.LessOrEqual(t, s.Need.CPU, workers[got].Free.CPU)
		}
	})
}

// Overload: jobs with 1 s of work and 1.5 s of slack arrive at 14 per second, and the
// capacity is 10 per second. Sorted by deadline alone nearly all jobs end late.
func TestOrderServesATurnThatAsksForTooMuch(t *testing.T) {
	inTime := func(order func([]*Candidate)) int {
		type pendingJob struct {
			due  time.Duration
			left int
		}
		const tick = 100 * time.Millisecond
		jobs := map[string]*pendingJob{}
		n, served := 0, 0
		for now := time.Duration(0); now < 12*time.Second; now += tick {
			for now < 9*time.Second && float64(n) < now.Seconds()*14 {
				jobs[fmt.Sprintf("%04d", n)] = &pendingJob{due: now + 2500*time.Millisecond, left: 10}
				n++
			}
			var turns []*Candidate
			for id, j := range jobs {
				turns = append(turns, &Candidate{ID: id, Slack: j.due - now - time.Duration(j.left)*tick})
			}
			order(turns)
			for i := range min(10, len(turns)) {
				j := jobs[turns[i].ID]
				if j.left--; j.left == 0 {
					if now+tick <= j.due {
						served++
					}
					delete(jobs, turns[i].ID)
				}
			}
		}
		return served
	}
	bySlack := func(turns []*Candidate) {
		for i := range turns {
			for k := i; k > 0 && turns[k].Slack < turns[k-1].Slack; k-- {
				turns[k], turns[k-1] = turns[k-1], turns[k]
			}
		}
	}
	ours, naive := inTime(SortCandidates), inTime(bySlack)
	// At 10 jobs per second 90 jobs complete in the 9 seconds of arrivals.
	require.GreaterOrEqual(t, ours, 90, "of 126")
	require.Less(t, naive, 90, "deadline order alone no longer fails under this load")
}

// Overload by wide jobs: four to ten tasks of 0.4 to 1.2 s, with estimates that are off
// by up to half, on 40 slots. A job completes with its last task, so SortCandidates must finish
// started jobs before it starts others.
func TestOrderEndsWhatItHasBegun(t *testing.T) {
	inTime := func(seed uint64, markStarted bool) int {
		type wideJob struct {
			due, estimate, runTime time.Duration
			waiting                int
			ends                   []time.Duration
		}
		const tick = 50 * time.Millisecond
		r := rand.New(rand.NewPCG(seed, 0))
		jobs := map[string]*wideJob{}
		n, served := 0, 0
		for now := time.Duration(0); now < 14*time.Second; now += tick {
			for now < 9*time.Second && float64(n) < now.Seconds()*11 {
				runTime := time.Duration(400+r.IntN(800)) * time.Millisecond
				jobs[fmt.Sprintf("%04d", n)] = &wideJob{
					due:      now + runTime*8/5 + 600*time.Millisecond,
					estimate: time.Duration(float64(runTime) * (0.5 + r.Float64())), runTime: runTime, waiting: 4 + r.IntN(7),
				}
				n++
			}
			freeSlots := 40
			var turns []*Candidate
			for id, j := range jobs {
				running := 0
				for _, end := range j.ends {
					if end > now {
						running++
					}
				}
				freeSlots -= running
				switch {
				case j.waiting > 0:
					turns = append(turns, &Candidate{ID: id, Slack: j.due - now - j.estimate, RemainingPath: j.estimate, Started: markStarted && len(j.ends) > 0})
				case running == 0:
					if now <= j.due {
						served++
					}
					delete(jobs, id)
				}
			}
			SortCandidates(turns)
			for _, u := range turns {
				j := jobs[u.ID]
				for ; j.waiting > 0 && freeSlots > 0; freeSlots-- {
					j.ends = append(j.ends, now+j.runTime)
					j.waiting--
				}
			}
		}
		return served
	}
	ours, naive := 0, 0
	for seed := range uint64(20) {
		ours += inTime(seed, true)
		naive += inTime(seed, false)
	}
	t.Logf("jobs in time, of 1980: %d, by slack alone: %d", ours, naive)
	require.Greater(t, ours, naive)
}

func TestOrder(t *testing.T) {
	turns := []*Candidate{
		{ID: "late", Slack: -1},
		{ID: "begun", Slack: -1, RemainingPath: 4, Started: true},
		{ID: "begun and late", Slack: -3, RemainingPath: 4, Started: true},
		{ID: "excess", Slack: 5, OverShare: true},
		{ID: "b", Slack: 9},
		{ID: "a", Slack: 3},
		{ID: "second", Priority: 1, Slack: 1},
		{ID: "lasting", LongRunning: true, Priority: 2},
		{ID: "late excess", Slack: -9, OverShare: true},
		{ID: "useless", Slack: -9, Objective: 4},
	}
	SortCandidates(turns)
	var got []string
	for _, u := range turns {
		got = append(got, u.ID)
	}
	require.Equal(t, []string{"lasting", "begun", "a", "b", "excess", "late", "begun and late", "late excess", "second", "useless"}, got)
}

func TestAllowanceLimitsTeamToItsWeight(t *testing.T) {
	var a TeamLimiter
	at := time.Unix(10, 0)
	within := 0
	for i := range 100 {
		if a.Allow("hot", 4, at.Add(time.Duration(i)*50*time.Millisecond)) {
			within++
		}
	}
	require.InDelta(t, 24, within, 1, "a burst of 4, and 4 per second for 5 s")
	for a.Allow("hot", 4, at.Add(5*time.Second)) {
		within++
	}
	require.True(t, a.Exceeded("hot", 4, at.Add(5*time.Second)))
	require.False(t, a.Exceeded("calm", 4, at))
	require.True(t, a.Allow("", 1, at))
	require.True(t, a.Allow("free", 0, at))
}

func TestPacerSlowsImmediatelyAndRecoversGradually(t *testing.T) {
	var p ThrottleController
	now := time.Unix(10, 0)
	percent, changed := p.Decide(0.5, now)
	require.Equal(t, 100, percent)
	require.False(t, changed)
	now = now.Add(time.Second)
	percent, changed = p.Decide(1.4, now)
	require.True(t, changed)
	require.Equal(t, 50, percent)
	_, changed = p.Decide(1.4, now.Add(100*time.Millisecond))
	require.False(t, changed, "no second reduction before the first can take effect")
	for i := range 8 {
		percent, _ = p.Decide(1.4, now.Add(time.Duration(i+1)*time.Second))
	}
	require.Zero(t, percent)
	now = now.Add(9 * time.Second)
	for range 40 {
		percent, _ = p.Decide(0.2, now)
		now = now.Add(500 * time.Millisecond)
	}
	require.Equal(t, 100, percent)
}

// Bystanders of a crash must not start beside each other or beside the cause again, or
// another crash would not show which of them is the cause.
func TestSuspectTasksStartApart(t *testing.T) {
	t.Parallel()
	need := msjob.Resources{CPU: 1000, Memory: 100}
	room := msjob.Resources{CPU: 4000, Memory: 4000}
	want := Requirements{Step: &msjob.Step{Count: 1, Need: need}}
	busy, idle := room.Minus(need), room
	for name, c := range map[string]struct {
		suspect, alone bool
		workers        []Worker
		want           int
	}{
		"packed without a crash":          {false, false, []Worker{{Free: busy, Recent: 1}, {Free: idle}}, 0},
		"apart after a crash":             {true, false, []Worker{{Free: busy, Recent: 1}, {Free: idle}}, 1},
		"beside others if it must":        {true, false, []Worker{{Free: busy, Recent: 1}}, 0},
		"others away from a suspect":      {false, false, []Worker{{Free: busy, Suspects: 1}, {Free: idle}}, 1},
		"alone on none":                   {true, true, []Worker{{Free: busy, Recent: 1}, {Free: idle, Suspects: 1}}, -1},
		"alone on the worker kept for it": {true, true, []Worker{{Free: busy, Recent: 1}, {Free: idle, Isolated: true}}, 1},
		"with its own group":              {true, true, []Worker{{Free: idle}, {Free: busy, Recent: 1, Suspects: 1, Isolated: true, IsolatedFor: "j"}}, 1},
		"not with another group":          {true, true, []Worker{{Free: busy, Recent: 1, Suspects: 1, Isolated: true, IsolatedFor: "k"}}, -1},
		"nobody else there":               {true, false, []Worker{{Free: idle, Isolated: true}}, -1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			want := want
			want.Suspect = c.suspect
			if c.alone {
				want.Group, want.SparesOthers = "j", true
			}
			for i := range c.workers {
				c.workers[i].Capacity = room
			}
			require.Equal(t, c.want, Choose(want, c.workers))
		})
	}
}

func TestWorkersAreKeptFreeForSuspectTasks(t *testing.T) {
	t.Parallel()
	room := msjob.Resources{CPU: 4000, Memory: 4000}
	want := Requirements{Step: &msjob.Step{Count: 1, Need: msjob.Resources{CPU: 1000}}, Suspect: true, Group: "j", SparesOthers: true}
	workers := []Worker{
		{Capacity: room, Free: room, Recent: 3},
		{Capacity: room, Recent: 1},
		{Capacity: room, Free: room, Recent: 1},
		{Capacity: room, Free: room, Recent: 4},
	}
	require.Equal(t, 2, ChooseIsolated(want, workers))
	workers[2].Isolated = true
	require.Equal(t, 1, ChooseIsolated(want, workers))
	workers[1].Isolated = true
	require.Equal(t, -1, ChooseIsolated(want, workers), "as many as may be isolated")
	large := append([]Worker{{Capacity: msjob.Resources{CPU: 500}}}, workers...)
	require.Equal(t, -1, ChooseIsolated(want, large), "half of those that could run it")
	require.Equal(t, 0, ChooseIsolated(want, workers[:1]), "the only worker")
	require.Equal(t, -1, ChooseIsolated(Requirements{Step: &msjob.Step{Need: msjob.Resources{CPU: 8000}}, Group: "j", SparesOthers: true}, workers[:1]))
}

// A task beside an image that slows it loses its objective, but so does one that waits. It runs
// apart where a worker has room, also at the cost of packing, and away from neither the rack
// of its data nor a worker that works.
func TestInterferingImagesRunApart(t *testing.T) {
	workers := []Worker{newWorker("a", "r1", 8000), newWorker("b", "r2", 32000)}
	want := newWant(msjob.Step{Count: 1, Need: msjob.Resources{CPU: 4000, Memory: 100}})
	require.Equal(t, 0, Choose(want, workers), "packed")
	want.Beside = []map[string]int{{"a": 1}}
	require.Equal(t, 1, Choose(want, workers), "apart")
	for name, change := range map[string]func(s *msjob.Step, w *Worker){
		"full":    func(_ *msjob.Step, w *Worker) { w.Free.CPU = 0 },
		"data":    func(s *msjob.Step, _ *Worker) { s.DataRack = "r1" },
		"failing": func(_ *msjob.Step, w *Worker) { w.FailureRisk = 1 },
	} {
		s, other := *want.Step, workers[1]
		change(&s, &other)
		changed := want
		changed.Step = &s
		require.Equal(t, 0, Choose(changed, []Worker{workers[0], other}), name)
	}
	lasting := newWant(msjob.Step{Count: 2, LongRunning: true, Need: want.Step.Need})
	lasting.Beside = want.Beside
	lasting.OnRack = map[string]int{"r2": 1}
	require.Equal(t, 0, Choose(lasting, []Worker{newWorker("a", "r1", 32000), workers[1]}), "spread over racks")
}
