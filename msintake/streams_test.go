package msintake

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"marjoramspan/msclock"
	"marjoramspan/msjob"
	"marjoramspan/msjournal"
	"marjoramspan/msstandin"
)

// withStreams adds additional streams to an intake whose leader reads them.
func withStreams(ctx context.Context, in *Intake, log msjournal.Log, producer string) {
	s := &Streams{Clock: in.Clock, Logger: in.Logger, Jobs: in.Jobs, Shared: in.Writer}
	for i := 1; i <= msjob.AdditionalStreams; i++ {
		stream := fmt.Sprint("jobs-", i)
		f := &msjournal.Follower{
			Log: log, Clock: in.Clock, Logger: in.Logger, Stream: stream, Reset: func() { in.Jobs.ResetStream(i) },
			Apply: func(r msjournal.Record, _ int64) { _ = in.Jobs.ApplyFrom(i, msjob.Record{Key: r.Key, Value: r.Value}) },
		}
		w := &msjournal.Writer{Log: log, Clock: in.Clock, Logger: in.Logger, Stream: stream, Producer: producer}
		go func() { _ = w.Run(ctx) }()
		s.Journals, s.Writers = append(s.Journals, f), append(s.Writers, w)
	}
	in.Streams = s
	_ = in.Jobs.Apply(msjob.Record{Key: msjob.KeyLoad, Value: []byte(`{"streams":4}`)})
}

// serialLog carries out the appends of each stream one at a time, in 4 ms.
func serialLog(log *msstandin.JobLog) msjournal.Log {
	l := log.Log()
	var mu sync.Mutex
	busy := map[string]chan struct{}{}
	plain := l.Append
	l.Append = func(ctx context.Context, a msjournal.AppendRequest) (int64, error) {
		mu.Lock()
		if busy[a.Stream] == nil {
			busy[a.Stream] = make(chan struct{}, 1)
		}
		b := busy[a.Stream]
		mu.Unlock()
		b <- struct{}{}
		time.Sleep(4 * time.Millisecond)
		<-b
		return plain(ctx, a)
	}
	return l
}

// 38 entries store 400 jobs a second for 8 s, which is more than a stream takes. After the
// first second, in which they notice it, nine of ten jobs are stored within 30 ms. In a
// single stream it takes 286 ms.
func TestContendedStreamIsRelieved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const entries, perSecond, seconds = 38, 400, 8
		ctx, cancel := context.WithCancel(t.Context())
		defer time.Sleep(time.Second)
		defer cancel()
		log := serialLog(&msstandin.JobLog{})
		var all []*Intake
		for i := range entries {
			in := &Intake{Clock: msclock.System{}, Logger: zap.NewNop(), Jobs: &msjob.Table{}}
			in.Writer = &msjournal.Writer{Log: log, Clock: in.Clock, Logger: in.Logger, Stream: "jobs", Producer: fmt.Sprint(i)}
			go func() { _ = in.Writer.Run(ctx) }()
			withStreams(ctx, in, log, fmt.Sprint(i))
			all = append(all, in)
		}
		var mu sync.Mutex
		var took []time.Duration
		var wg sync.WaitGroup
		for i := range perSecond * seconds {
			time.Sleep(time.Second / perSecond)
			wg.Go(func() {
				begun := time.Now()
				id := fmt.Sprint("job", i)
				if all[(i*7+i/entries)%entries].append(ctx, id, []msjournal.Record{{Key: "job/" + id, Value: []byte("{}")}}) != nil {
					t.Errorf("%s was not stored", id)
				}
				mu.Lock()
				defer mu.Unlock()
				if i >= perSecond {
					took = append(took, time.Since(begun))
				}
			})
		}
		wg.Wait()
		slices.Sort(took)
		t.Log("median", took[len(took)/2], "90%", took[len(took)*9/10], "longest", took[len(took)-1])
		require.Less(t, took[len(took)*9/10], 30*time.Millisecond)
	})
}

// Entries stay with ms-jobs on a log that is far away or slow in all streams, and come back
// once an append that is tried there is quick.
func TestContention(t *testing.T) {
	now := time.Unix(1000, 0)
	run := func(c *contention, d time.Duration, shared, own time.Duration) (onOwn int) {
		for end := now.Add(d); now.Before(end); now = now.Add(100 * time.Millisecond) {
			use := c.useOwn(now)
			took := shared
			if use {
				took, onOwn = own, onOwn+1
			}
			c.observe(use, now, took)
		}
		return onOwn
	}
	ms := time.Millisecond
	var far, slow, contended contention
	require.Zero(t, run(&far, time.Minute, 80*ms, 80*ms))
	run(&slow, time.Second, 10*ms, 10*ms)
	require.Less(t, run(&slow, 30*time.Second, 150*ms, 150*ms), 10, "tried once, of no use")
	require.Zero(t, run(&contended, 10*time.Second, 10*ms, 10*ms))
	require.GreaterOrEqual(t, run(&contended, 20*time.Second, 200*ms, 10*ms), 190)
	run(&contended, 20*time.Second, 10*ms, 10*ms)
	require.Zero(t, run(&contended, 30*time.Second, 10*ms, 10*ms))
	run(&contended, time.Second, 200*ms, 10*ms)
	require.True(t, contended.useOwn(now))
	contended.fail(true, now)
	require.False(t, contended.useOwn(now), "an append to the additional stream has failed")
}

// Another entry has accepted a job into an additional stream that this entry doesn't know
// to be in use. The job is found by its ID, also once it has ended and was deleted there,
// and is not refused. A stream that can't be read leaves it unknown, not nonexistent.
func TestJobOfAnAdditionalStreamIsLookedUp(t *testing.T) {
	var log msstandin.JobLog
	in := newIntake(t, &log, msclock.System{})
	withStreams(t.Context(), in, log.Log(), "p")
	g := Grant{Queue: in.Sites.Site().Queues[0], Team: "team"}
	_, err := in.Status(t.Context(), g, "a")
	require.Equal(t, NoJob, kindOf(t, err))
	for _, r := range msjob.StreamRecords() {
		log.Put("jobs", r.Key, r.Value)
	}
	stream := fmt.Sprint("jobs-", msjob.AdditionalStream("a"))
	j := &msjob.Job{ID: "a", Queue: "q", Team: "team", Steps: []msjob.Step{{Count: 1, Need: msjob.Resources{CPU: 1000}, Estimate: time.Second}}}
	r, err := msjob.JobRecord(j)
	require.NoError(t, err)
	log.Put(stream, r.Key, r.Value)
	log.Put("jobs", msjob.KeyLoad, []byte(`{"pools":{"p":{"cores":1000,"ahead":1000}},"streams":4}`))
	require.NoError(t, in.Journal.Sync(t.Context()))
	again := *j
	require.NoError(t, in.Submit(t.Context(), g, &again), "it was accepted before")
	again.ID = "b"
	require.Equal(t, Overloaded, kindOf(t, in.Submit(t.Context(), g, &again)))
	all, err := msjob.StatusRecords(j, msjob.Status{State: msjob.Completed})
	require.NoError(t, err)
	log.Put("jobs", all[0].Key, all[0].Value)
	for _, r := range msjob.DeleteCopyRecords("a") {
		log.Put(stream, r.Key, r.Value)
	}
	require.NoError(t, in.Streams.Journals[msjob.AdditionalStream("a")-1].Sync(t.Context()))
	_, known := in.Jobs.Job("a")
	require.False(t, known, "the deletion was read before the status")
	s, err := in.Status(t.Context(), g, "a")
	require.NoError(t, err)
	require.Equal(t, msjob.Completed, s)
	in.Streams.Journals[msjob.AdditionalStream("c")-1].Log = msjournal.Log{
		Read: func(context.Context, string, int64, time.Duration) (msjournal.Batch, error) {
			return msjournal.Batch{}, &msjournal.Error{Kind: msjournal.Rejected}
		},
		Newest: func(context.Context, string, string) (msjournal.Page, error) {
			return msjournal.Page{}, &msjournal.Error{Kind: msjournal.Rejected}
		},
	}
	_, err = in.Status(t.Context(), g, "c")
	require.Equal(t, NotReady, kindOf(t, err))
}

// A job is accepted only if the additional stream has stored it. The caller of an append
// that fails there gets the usual errors, and the next append goes to ms-jobs.
func TestAppendToAnAdditionalStreamFails(t *testing.T) {
	for want, kind := range map[Kind]msjournal.Kind{NotReady: msjournal.Rejected, OutcomeUnknown: msjournal.Fenced} {
		var log msstandin.JobLog
		in := newIntake(t, &log, msclock.System{})
		l := log.Log()
		l.Append = func(context.Context, msjournal.AppendRequest) (int64, error) {
			return 0, &msjournal.Error{Kind: kind}
		}
		withStreams(t.Context(), in, l, "p")
		in.Streams.announced = true
		in.Streams.contention = contention{hold: minHold, until: time.Now().Add(time.Hour)}
		g := Grant{Queue: in.Sites.Site().Queues[0], Team: "team"}
		submit := func(id string) error {
			return in.Submit(t.Context(), g, &msjob.Job{ID: id, Steps: []msjob.Step{{Count: 1}}})
		}
		require.Equal(t, want, kindOf(t, submit("a")))
		require.NoError(t, submit("b"))
		require.Equal(t, "job/b", log.Records("jobs")[0].Key)
	}
}

// A caller that goes away says nothing of the stream: the entry must not return to a
// contended stream for it.
func TestCallerLeavesDuringAnAppend(t *testing.T) {
	var log msstandin.JobLog
	in := newIntake(t, &log, msclock.System{})
	l := log.Log()
	ctx, cancel := context.WithCancel(t.Context())
	plain := l.Append
	l.Append = func(ctx context.Context, a msjournal.AppendRequest) (int64, error) {
		cancel()
		time.Sleep(20 * time.Millisecond)
		return plain(ctx, a)
	}
	withStreams(t.Context(), in, l, "p")
	in.Streams.announced = true
	in.Streams.contention = contention{hold: minHold, until: time.Now().Add(time.Hour)}
	g := Grant{Queue: in.Sites.Site().Queues[0], Team: "team"}
	require.Error(t, in.Submit(ctx, g, &msjob.Job{ID: "a", Steps: []msjob.Step{{Count: 1}}}))
	require.True(t, in.Streams.Using())
}

// The append that is tried in ms-jobs after a hold fails. The next one must not be tried
// there at once: its caller would get an error as well, while the additional streams work.
func TestFailedTrialExtendsTheHold(t *testing.T) {
	now := time.Unix(1000, 0)
	c := contention{hold: minHold, until: now}
	require.False(t, c.useOwn(now))
	c.fail(false, now)
	require.True(t, c.useOwn(now))
	now = now.Add(2 * minHold)
	require.False(t, c.useOwn(now), "it is tried again after twice the time")
	c.observe(false, now, 5*time.Millisecond)
	require.False(t, c.useOwn(now))
}
