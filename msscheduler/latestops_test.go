package msscheduler

import (
	"context"
	"maps"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjoramspan/msjob"
	"marjoramspan/mssite"
	"marjoramspan/msstandin"
	"marjoramspan/msworker"
)

// tickets counts the starts with each ticket.
type tickets struct {
	mu     sync.Mutex
	starts map[string]int
}

func (c *tickets) add(ticket string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.starts == nil {
		c.starts = map[string]int{}
	}
	c.starts[ticket]++
}

func (c *tickets) counts() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.starts)
}

// Stops and paces for attempts of the earlier life arrive, in any order, while a later attempt of the
// same task, gang or step with tickets runs on the next one.
func TestLateStopsAndPacesForAnEarlierLifeHarmNothing(t *testing.T) {
	t.Parallel()
	for name, change := range map[string]func(s *msjob.Step){
		"tasks": func(*msjob.Step) {},
		"gang":  func(s *msjob.Step) { s.Gang = true },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newTestCluster(t, 1)
			first := w.all()[0]
			e := w.entry("a")
			s := step(3)
			change(&s)
			w.submit(&msjob.Job{ID: "00000000000000aa", Team: "fitters", Spec: "run=1500ms", Steps: []msjob.Step{s}})
			w.awaitRunning(3)
			earlier := w.journal.Runs()
			token := tokenOf(e, first.Worker.ID)
			restart(first)
			w.awaitRunning(3)
			for _, r := range earlier {
				for _, order := range []func() error{
					func() error {
						_, err := first.Pace(t.Context(), msworker.Throttle{Task: r.Task, Attempt: r.Attempt, Percent: 0, Token: token})
						return err
					},
					func() error {
						_, err := first.Stop(t.Context(), msworker.Stop{Task: r.Task, Attempt: r.Attempt, Token: token})
						return err
					},
				} {
					require.Equal(t, msworker.Fenced, msworker.ReasonOf(order()))
				}
			}
			w.await(e, "00000000000000aa", msjob.Completed)
			require.Len(t, w.journal.Runs(), 6)
			w.requireNoDuplicates()
		})
	}
}

// The same before the next life has seen a token, so that it carries the orders out.
func TestStopsForAnEarlierLifeThatReachTheNextOneFirstHarmNothing(t *testing.T) {
	t.Parallel()
	w := newTestCluster(t, 1)
	first := w.all()[0]
	e := w.entry("a")
	gang := step(3)
	gang.Gang = true
	w.submit(&msjob.Job{ID: "00000000000000aa", Team: "fitters", Spec: "run=800ms", Steps: []msjob.Step{gang}})
	w.awaitRunning(3)
	earlier, token := w.journal.Runs(), tokenOf(e, first.Worker.ID)
	w.loseReports.Store(true)
	restart(first)
	for _, r := range earlier {
		_, paceErr := first.Pace(t.Context(), msworker.Throttle{Task: r.Task, Attempt: r.Attempt, Percent: 0, Token: token})
		_, stopErr := first.Stop(t.Context(), msworker.Stop{Task: r.Task, Attempt: r.Attempt, Token: token})
		for _, err := range []error{paceErr, stopErr} {
			// A report request with a higher token may come first.
			require.True(t, err == nil || msworker.ReasonOf(err) == msworker.Fenced, "%v", err)
		}
	}
	w.loseReports.Store(false)
	w.await(e, "00000000000000aa", msjob.Completed)
	require.Len(t, w.journal.Runs(), 6)
	w.requireNoDuplicates()
}

// A ticket is of one life of a worker. The next one refuses it, and the leader asks for another.
func TestTicketsAreAskedForAnewAfterARestart(t *testing.T) {
	t.Parallel()
	w := newTestCluster(t, 1)
	first := w.all()[0]
	w.sites.Set(&mssite.Site{
		Version: 2,
		Queues:  []mssite.Queue{{Name: "plan", Pool: "booth", Attempts: 3, Stretch: 1.5, Slack: time.Second, Advisor: &mssite.AdvisorConfig{Validity: time.Hour}}},
		Pools:   map[string]mssite.Pool{"booth": {Name: "booth", EnforcesCapacity: true}},
	})
	ticket := func() string { return first.Born().String() }
	var c tickets
	w.configure = func(g *Engine) {
		g.Advise = func(_ context.Context, r msworker.AdviceRequest) (map[string]string, time.Duration, error) {
			return map[string]string{first.Worker.ID: ticket()}, time.Hour, nil
		}
		start := g.Orders.Start
		g.Orders.Start = func(ctx context.Context, w msworker.Worker, s msworker.Start) (time.Duration, error) {
			if s.Ticket != ticket() {
				return 0, &msworker.Error{Worker: w.ID, Reason: msworker.NoTicket}
			}
			c.add(s.Ticket)
			return start(ctx, w, s)
		}
	}
	e := w.entry("a")
	gang := step(3)
	gang.Gang = true
	w.submit(&msjob.Job{ID: "00000000000000aa", Spec: "run=800ms", Steps: []msjob.Step{gang}})
	w.awaitRunning(3)
	earlier, token, old := w.journal.Runs(), tokenOf(e, first.Worker.ID), ticket()
	restart(first)
	w.awaitRunning(3)
	for _, r := range earlier {
		_, err := first.Stop(t.Context(), msworker.Stop{Task: r.Task, Attempt: r.Attempt, Token: token})
		require.Equal(t, msworker.Fenced, msworker.ReasonOf(err))
	}
	w.await(e, "00000000000000aa", msjob.Completed)
	require.Len(t, w.journal.Runs(), 6)
	require.Equal(t, map[string]int{old: 3, ticket(): 3}, c.counts())
	w.requireNoDuplicates()
}

// tokenOf returns the fencing token of the calls to a worker.
func tokenOf(e *entry, id string) int64 {
	g := e.current()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.workers[id].token
}

// restart begins the next life of a worker, whose start time differs from that of the one before.
func restart(j *msstandin.JobWorker) {
	time.Sleep(2 * time.Millisecond)
	j.Restart()
}
