package mspause

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// pool replays ends of tasks on workers.
type pool struct {
	now     time.Time
	workers []Failures
	jobs    map[string]*Counts
}

func newPool(workers int) *pool {
	return &pool{now: time.Unix(1000, 0), workers: make([]Failures, workers), jobs: map[string]*Counts{}}
}

func (p *pool) end(worker int, job string, failed bool) {
	p.now = p.now.Add(20 * time.Millisecond)
	if p.jobs[job] == nil {
		p.jobs[job] = &Counts{}
	}
	p.jobs[job].Add(failed, p.now)
	if failed {
		p.workers[worker].Fail(job, p.now)
	} else {
		p.workers[worker].Succeed(p.now)
	}
}

// paused returns the workers that their failures speak against.
func (p *pool) paused() []int {
	var all []int
	for i := range p.workers {
		rest := Counts{}
		for k := range p.workers {
			if k != i {
				rest = rest.Plus(p.workers[k].Counts, p.now)
			}
		}
		if p.workers[i].SpeakAgainst(rest, func(id string) Counts { return *p.jobs[id] }, p.now) {
			all = append(all, i)
		}
	}
	return all
}

// A worker that fails all its tasks is found after three, as long as others don't.
func TestFailingWorkersAreFound(t *testing.T) {
	t.Parallel()
	p := newPool(20)
	for i := range 200 {
		p.end(2+i%18, "sound", false)
	}
	for n := range 3 {
		require.Empty(t, p.paused(), n)
		p.end(0, strconv.Itoa(n), true)
	}
	require.Equal(t, []int{0}, p.paused())
	for range 4 {
		p.end(1, "sound", true)
	}
	require.Equal(t, []int{0, 1}, p.paused(), "tasks of one job whose others succeed elsewhere")
	p.now = p.now.Add(failurePause)
	require.Empty(t, p.paused(), "tried again")
	p.end(1, "again", true)
	require.Equal(t, []int{1}, p.paused())
	p.end(1, "again", false)
	require.Empty(t, p.paused())
}

// Jobs that can never be done fail on worker after worker.
func TestFailingJobsPauseNoWorkerForLong(t *testing.T) {
	t.Parallel()
	p := newPool(4)
	random := rand.New(rand.NewPCG(1, 1))
	paused := 0
	for n := range 100 {
		for attempt := range 3 {
			p.end((n+attempt)%4, strconv.Itoa(n), true)
			if random.IntN(10) == 0 {
				p.end(random.IntN(4), "sound", false)
			}
			paused += len(p.paused())
		}
	}
	require.LessOrEqual(t, paused, 4*300/50, "worker-rounds of 1,200")
}

// Half of the jobs fail each task's first attempt.
func TestFirstAttemptsThatFailPauseNoWorkerForLong(t *testing.T) {
	t.Parallel()
	p := newPool(8)
	random := rand.New(rand.NewPCG(1, 1))
	paused := 0
	for n := range 2000 {
		if n%2 == 0 {
			p.end(random.IntN(8), strconv.Itoa(n), true)
		}
		p.end(random.IntN(8), strconv.Itoa(n), false)
		paused += len(p.paused())
	}
	require.LessOrEqual(t, paused, 8*2000/50, "worker-rounds of 16,000")
}

func TestPausesEndWithTheLongest(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	var p Pauses
	require.Equal(t, None, p.Reason(now))
	p.Add(Stalled, now, 5*time.Second)
	p.Add(NoRoom, now, 300*time.Millisecond)
	require.Equal(t, Stalled, p.Reason(now), "a short pause ended a longer one")
	require.Equal(t, now.Add(5*time.Second), p.Until())
	p.Add(Stalled, now, time.Second)
	require.Equal(t, Stalled, p.Reason(now.Add(4*time.Second)))
	require.Equal(t, None, p.Reason(now.Add(5*time.Second)))
}

// All workers of a pool were paused, each for a reason of its own.
func TestAtMostHalfOfAPoolIsPaused(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	for n := range 12 {
		workers := make([]Worker, n)
		for i := range workers {
			workers[i] = Worker{ID: strconv.Itoa(i), Reason: Reason(1 + i%3), Until: now.Add(time.Duration(i) * time.Second)}
		}
		Bound(workers)
		for i, w := range workers {
			require.Equal(t, i >= n-n/2, w.Reason != None, "worker %d of %d", i, n)
		}
	}
	full := []Worker{{ID: "a", Reason: NoRoom}, {ID: "b", Reason: NoRoom}}
	Bound(full)
	require.Equal(t, NoRoom, full[0].Reason, "a worker that rejects starts for want of room can't be used")
}

func TestProtectionsGiveWay(t *testing.T) {
	t.Parallel()
	require.True(t, GivesWay(MaxWait, 0.4))
	require.False(t, GivesWay(MaxWait-1, 0.4))
	require.False(t, GivesWay(time.Hour, MaxInUse), "a full pool")
}

// A long-running task that fails every 2 s wherever it runs counted against its workers for good.
func TestTaskThatFailsAgainAndAgainPausesNoWorker(t *testing.T) {
	t.Parallel()
	p := newPool(6)
	for n := range 60 {
		p.end(n%2, "bad", true)
		for k := range 20 {
			p.end(2+k%4, "sound", false)
		}
		p.now = p.now.Add(1600 * time.Millisecond)
		require.Empty(t, p.paused(), n)
	}
}
