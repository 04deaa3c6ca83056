package msscheduler

import (
	"context"
	"fmt"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjoramspan/msjob"
	"marjoramspan/msjournal"
	"marjoramspan/msworker"
)

// The ends of the earlier life were stored after the restart was seen, and their numbers acknowledged
// ends of the next one that nobody had seen: tasks that were done ran again.
func TestStoredEndsOfAnEarlierLifeAcknowledgeNothing(t *testing.T) {
	t.Parallel()
	e := saturatedEngine(t, 1, 1, 1, 0)
	e.syncWorkers(e.Clock.Now())
	w := e.workers["w-0000"]
	w.reported, w.reachable = false, false
	e.handleReport(w, e.Clock.Now(), e.Term.Epoch, msworker.Report{ProcessStart: 5, Clock: time.Second, Ended: []msworker.End{{Seq: 57}}})
	b := newBatch()
	e.collect(&b, e.Clock.Now())
	b.records = nil
	e.handleReport(w, e.Clock.Now(), e.Term.Epoch, msworker.Report{ProcessStart: 6, Clock: time.Second, Ended: []msworker.End{{Seq: 1}}})
	require.NoError(t, e.commit(t.Context(), b))
	require.Zero(t, w.acked)
	b = newBatch()
	e.collect(&b, e.Clock.Now())
	b.records = nil
	require.NoError(t, e.commit(t.Context(), b))
	require.EqualValues(t, 1, w.acked)
}

// The same, with tasks that end on the next life one after another.
func TestTasksRunOnceWhenAWorkerRestartsWhileItsEndsAreStored(t *testing.T) {
	t.Parallel()
	w := newTestCluster(t, 1)
	first := w.all()[0]
	var held atomic.Bool
	waiting, release := make(chan struct{}, 1), make(chan struct{})
	w.configure = func(g *Engine) {
		store := g.Log.Append
		g.Log.Append = func(ctx context.Context, a msjournal.AppendRequest) (int64, error) {
			if a.Stream == "progress" && held.CompareAndSwap(true, false) {
				waiting <- struct{}{}
				<-release
			}
			return store(context.WithoutCancel(ctx), a)
		}
	}
	e := w.entry("a")
	w.submit(&msjob.Job{ID: "00000000000000aa", Team: "fitters", Spec: "run=10ms", Steps: []msjob.Step{step(4)}})
	w.await(e, "00000000000000aa", msjob.Completed)
	w.submit(&msjob.Job{ID: "00000000000000ab", Team: "fitters", Spec: "run=200ms", Steps: []msjob.Step{step(1)}})
	w.awaitRunning(1)
	time.Sleep(50 * time.Millisecond) // The start has been stored and answered.
	held.Store(true)
	<-waiting
	first.Restart()
	require.Eventually(t, func() bool {
		g := e.current()
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.workers[first.Worker.ID].processed == 0
	}, eventually, time.Millisecond)
	close(release)
	w.await(e, "00000000000000ab", msjob.Completed)
	for i := range 4 {
		w.submit(&msjob.Job{ID: "00000000000000b" + strconv.Itoa(i), Team: "fitters", Spec: fmt.Sprintf("run=%dms", 100+4*i), Steps: []msjob.Step{step(1)}})
	}
	for i := range 4 {
		w.await(e, "00000000000000b"+strconv.Itoa(i), msjob.Completed)
	}
	w.requireNoDuplicates()
}

// backfillRun adds an attempt of a backfill task that runs on w.
func backfillRun(e *Engine, w *worker) *run {
	r := planned(e, w)
	r.state = runStarted
	r.job.def.Steps[0].Backfill = true
	return r
}

// A pace was carried out and its answer lost. The leader took the attempt to work at its speed before,
// and when the worker had room again, it left it paced down for good.
func TestPaceWithoutAnAnswerIsSentAgain(t *testing.T) {
	t.Parallel()
	e := saturatedEngine(t, 1, 1, 1, 0)
	e.ctx = t.Context()
	e.syncWorkers(e.Clock.Now())
	w := e.workers["w-0000"]
	r := backfillRun(e, w)
	e.Orders.Throttle = func(context.Context, msworker.Worker, msworker.Throttle) (time.Duration, error) {
		return 0, &msworker.Error{Worker: w.ID, Reason: msworker.Unknown}
	}
	e.throttleRun(t.Context(), r, 0)
	sent := make(chan int, 1)
	e.Orders.Throttle = func(_ context.Context, _ msworker.Worker, p msworker.Throttle) (time.Duration, error) {
		sent <- p.Percent
		return time.Second, nil
	}
	e.throttleWorker(w, e.Clock.Now())
	e.group.Wait()
	require.Len(t, sent, 1)
	require.Equal(t, fullPercent, <-sent)
	e.throttleWorker(w, e.Clock.Now())
	e.group.Wait()
	require.Empty(t, sent)
}

// The leader before had paced a task down. The next one took it to work at full speed, and never sent
// another pace.
func TestNextLeaderSetsThePaceOfAdoptedAttempts(t *testing.T) {
	t.Parallel()
	e := saturatedEngine(t, 1, 1, 1, 0)
	e.ctx = t.Context()
	e.syncWorkers(e.Clock.Now())
	w := e.workers["w-0000"]
	j := e.jobs["0000000000000000"]
	j.def.Steps[0].Backfill = true
	j.p.Occurrence(j.def, 0).Steps[0][0] = msjob.Task{Phase: msjob.Assigned, Attempt: 1, Worker: w.ID}
	e.adoptRuns(j)
	var paces []int
	e.Orders.Throttle = func(_ context.Context, _ msworker.Worker, p msworker.Throttle) (time.Duration, error) {
		paces = append(paces, p.Percent)
		return time.Second, nil
	}
	for range 2 {
		e.handleReport(w, e.Clock.Now(), e.Term.Epoch, msworker.Report{Clock: time.Second, Running: []msworker.Run{{Task: msjob.TaskID{Job: j.def.ID}, Attempt: 1}}})
		e.group.Wait()
	}
	require.Equal(t, []int{fullPercent}, paces)
}

// An attempt that the next life runs too was taken to work at the speed that the earlier life had been
// told, and disturbed what serves beside it.
func TestPaceOfAnEarlierLifeDoesNotCountForTheNext(t *testing.T) {
	t.Parallel()
	e := saturatedEngine(t, 1, 1, 1, 0)
	e.ctx = t.Context()
	e.syncWorkers(e.Clock.Now())
	w := e.workers["w-0000"]
	r := backfillRun(e, w)
	r.uncertain = true
	_, slowed := w.throttle.Decide(2, e.Clock.Now())
	require.True(t, slowed)
	var paces []int
	e.Orders.Throttle = func(_ context.Context, _ msworker.Worker, p msworker.Throttle) (time.Duration, error) {
		paces = append(paces, p.Percent)
		return time.Second, nil
	}
	listed := []msworker.Run{{Task: r.task, Attempt: r.attempt}}
	for life := range int64(2) {
		e.handleReport(w, e.Clock.Now(), e.Term.Epoch, msworker.Report{ProcessStart: life, Clock: time.Second, Running: listed})
		e.group.Wait()
	}
	require.Same(t, r, e.runs[r.runKey])
	require.Equal(t, []int{50, 50}, paces)
}

// A start with a ticket for the earlier life was refused after new advice had come, which was thrown
// away, and asked for again.
func TestTicketOfAnEarlierLifeLeavesNewAdviceInPlace(t *testing.T) {
	t.Parallel()
	e := saturatedEngine(t, 1, 1, 1, 0)
	e.syncWorkers(e.Clock.Now())
	w := e.workers["w-0000"]
	r := planned(e, w)
	r.state, r.ticket = runOrdered, "earlier"
	k := stepKey{job: r.task.Job}
	e.adviceByStep[k] = &advice{tickets: map[string]string{w.ID: "present"}}
	refused := &msworker.Error{Worker: w.ID, Reason: msworker.NoTicket}
	require.True(t, e.handleStartAnswer(r, w.presentLife(), w.token, refused))
	require.NotNil(t, e.adviceByStep[k])
	r = planned(e, w)
	r.state, r.ticket = runOrdered, "present"
	require.True(t, e.handleStartAnswer(r, w.presentLife(), w.token, refused))
	require.Nil(t, e.adviceByStep[k])
}
