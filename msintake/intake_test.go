package msintake

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"marjoramspan/msclock"
	"marjoramspan/msjob"
	"marjoramspan/msjournal"
	"marjoramspan/mssite"
	"marjoramspan/msstandin"
)

func kindOf(t *testing.T, err error) Kind {
	t.Helper()
	var e *Error
	require.ErrorAs(t, err, &e)
	return e.Kind
}

// producers numbers the writers of intakes.
var producers atomic.Int64

func newIntake(t *testing.T, log *msstandin.JobLog, clock msclock.Clock) *Intake {
	in := &Intake{Clock: clock, Logger: zap.NewNop(), Sites: &mssite.Store{}, Jobs: &msjob.Table{}}
	in.Journal = &msjournal.Follower{
		Log: log.Log(), Clock: clock, Logger: in.Logger, Stream: "jobs", Reset: in.Jobs.Reset,
		Apply: func(r msjournal.Record, _ int64) { _ = in.Jobs.Apply(msjob.Record{Key: r.Key, Value: r.Value}) },
	}
	in.Writer = &msjournal.Writer{Log: log.Log(), Clock: clock, Logger: in.Logger, Stream: "jobs", Producer: fmt.Sprint("p", producers.Add(1))}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	w := in.Writer
	go func() { _ = w.Run(ctx) }()
	in.Sites.Set(&mssite.Site{Version: 1, Keys: map[string]string{"k": "team"}, Queues: []mssite.Queue{
		{Name: "q", Host: "h", Prefix: "/q/", Pool: "p"}, {Name: "open", Host: "h", Prefix: "/open/", Pool: "p", Public: true},
	}})
	return in
}

// An entry whose configuration is older than the lease can't know whether a key was
// withdrawn, so it rejects all keys. Open queues need no key and still work.
func TestKeysNeedAFreshSite(t *testing.T) {
	clock := msclock.NewFake(time.Unix(1000, 0))
	in := newIntake(t, &msstandin.JobLog{}, clock)
	current := clock.Now()
	in.SiteCurrent = func() time.Time { return current }
	in.SiteLease = 3500 * time.Millisecond
	_, err := in.Authorize(t.Context(), "h", "/q/1", "k")
	require.NoError(t, err)
	clock.Advance(3500 * time.Millisecond)
	_, err = in.Authorize(t.Context(), "h", "/q/1", "k")
	require.NoError(t, err)
	clock.Advance(time.Millisecond)
	_, err = in.Authorize(t.Context(), "h", "/q/1", "k")
	require.Equal(t, NotReady, kindOf(t, err))
	_, err = in.Authorize(t.Context(), "h", "/open/1", "")
	require.NoError(t, err)
	current = clock.Now()
	_, err = in.Authorize(t.Context(), "h", "/q/1", "k")
	require.NoError(t, err)
	_, err = in.Authorize(t.Context(), "h", "/q/1", "other")
	require.Equal(t, BadKey, kindOf(t, err))
}

// followQueues has the sites of in follow a log: the record at offset n is version 2+n, with one
// queue that is named by the record's key.
func followQueues(in *Intake, log *msstandin.JobLog) {
	in.Operators = &msjournal.Follower{
		Log: log.Log(), Clock: in.Clock, Logger: in.Logger, Stream: "op", Reset: func() {},
		Apply: func(r msjournal.Record, offset int64) {
			in.Sites.Set(&mssite.Site{Version: 2 + offset, Queues: []mssite.Queue{{Name: r.Key, Host: "h", Prefix: "/" + r.Key + "/", Public: true}}})
		},
	}
	in.SiteCurrent = in.Operators.CurrentAsOf
}

// An entry that had not read a new queue yet refused its requests with "no queue", for as long
// as it couldn't read the operators' records, and after it had started jobs of the queue.
func TestRequestsAreRefusedByACurrentSiteOnly(t *testing.T) {
	var log msstandin.JobLog
	clock := msclock.NewFake(time.Unix(1000, 0))
	in := newIntake(t, &log, clock)
	followQueues(in, &log)
	authorize := func(path string) error {
		_, err := in.Authorize(t.Context(), "h", path, "")
		return err
	}
	require.NoError(t, in.Operators.Sync(t.Context()))
	require.Equal(t, NoQueue, kindOf(t, authorize("/new/1")))
	reads := log.Reads()
	clock.Advance(in.maxRefusalAge())
	require.Equal(t, NoQueue, kindOf(t, authorize("/new/1")))
	require.Equal(t, reads, log.Reads(), "the site is current")
	log.Put("op", "new", []byte("{}"))
	clock.Advance(time.Millisecond)
	require.NoError(t, authorize("/new/1"))
	require.Equal(t, NoQueue, kindOf(t, authorize("/other/1")))
	log.Put("op", "newer", []byte("{}"))
	in.Sites.Announce(3)
	clock.Advance(time.Millisecond)
	require.NoError(t, authorize("/newer/1"), "a job has shown that there is a newer site")
	in.Sites.Announce(9)
	require.Equal(t, NoQueue, kindOf(t, authorize("/other/1")))
	reads = log.Reads()
	clock.Advance(time.Millisecond)
	require.Equal(t, NoQueue, kindOf(t, authorize("/other/1")))
	require.Equal(t, reads, log.Reads(), "the log does not hold the announced site")
	clock.Advance(in.maxRefusalAge() + time.Millisecond)
	log.SetFault(msstandin.LogFault{Down: true})
	require.Equal(t, NotReady, kindOf(t, authorize("/other/1")), "there may be a newer site")
	require.NoError(t, authorize("/newer/1"))
}

// An entry seemed to go back: it held a request until a slow read brought a newer site, and
// refused one that arrived meanwhile by the older site.
func TestNoRequestIsHeldUntilASlowReadEnds(t *testing.T) {
	const rollbackSlack = 250 * time.Millisecond
	var log msstandin.JobLog
	clock := msclock.NewFake(time.Unix(1000, 0))
	in := newIntake(t, &log, clock)
	followQueues(in, &log)
	require.NoError(t, in.Operators.Sync(t.Context()))
	clock.Advance(in.maxRefusalAge() + time.Millisecond)
	log.Put("op", "new", []byte("{}"))
	log.SetFault(msstandin.LogFault{Delay: 2 * rollbackSlack})
	begun := time.Now()
	_, err := in.Authorize(t.Context(), "h", "/new/1", "")
	require.Equal(t, NotReady, kindOf(t, err))
	require.Less(t, time.Since(begun), rollbackSlack)
	require.Eventually(t, func() bool {
		_, err := in.Authorize(t.Context(), "h", "/new/1", "")
		return err == nil
	}, 5*time.Second, 10*time.Millisecond, "the read goes on")
}

// A job that another entry has accepted may be missing from this entry's table. Status
// must look it up in the log, and must not report it as nonexistent if the log can't be
// read.
func TestUnknownJobIsLookedUp(t *testing.T) {
	var log msstandin.JobLog
	in := newIntake(t, &log, msclock.System{})
	g := Grant{Queue: in.Sites.Site().Queues[0], Team: "team"}
	_, err := in.Status(t.Context(), g, "a")
	require.Equal(t, NoJob, kindOf(t, err))
	r, err := msjob.JobRecord(&msjob.Job{ID: "a", Queue: "q", Team: "team", Steps: []msjob.Step{{Count: 1}}})
	require.NoError(t, err)
	log.Put("jobs", r.Key, r.Value)
	s, err := in.Status(t.Context(), g, "a")
	require.NoError(t, err)
	require.Equal(t, msjob.Queued, s)
	_, err = in.Status(t.Context(), Grant{Queue: g.Queue, Team: "other"}, "a")
	require.Equal(t, NoJob, kindOf(t, err), "another team's job")
	log.SetFault(msstandin.LogFault{Down: true})
	_, err = in.Status(t.Context(), g, "b")
	require.Equal(t, NotReady, kindOf(t, err), "not known to be unknown")
}

// The work ahead of a pool of 10 cores grows during a burst. A job that takes one second
// and has a latency objective of 3 s is accepted if it ends before its result is useless,
// or within its objective if its team exceeds its share.
func TestAdmitRejectsJobsThatWouldBeTooLate(t *testing.T) {
	j := &msjob.Job{Pool: "p", Team: "team", Stretch: 2, Slack: time.Second, Steps: []msjob.Step{{Count: 1, Need: msjob.Resources{CPU: 1000}, Estimate: time.Second}}}
	load := func(ahead float64, over bool) msjob.Load {
		return msjob.Load{Pools: map[string]msjob.PoolLoad{"p": {MilliCores: 10_000, Backlog: ahead}}, OverShare: map[string]bool{"team": over}}
	}
	for _, c := range []struct {
		ahead  float64
		recent float64
		over   bool
		ok     bool
		retry  time.Duration
	}{
		{0, 0, false, true, 0},
		{79, 0, false, true, 0},
		{81, 0, false, false, time.Second},
		{70, 30, false, false, 2 * time.Second},
		{19, 0, true, true, 0},
		{50, 0, true, false, 3 * time.Second},
	} {
		retry, ok := admit(j, load(c.ahead, c.over), c.recent)
		require.Equal(t, c.ok, ok, "%+v", c)
		require.Equal(t, c.retry, retry, "%+v", c)
	}
	_, ok := admit(j, msjob.Load{}, 0)
	require.True(t, ok, "nothing is known of the pool")
}

// Accepted work counts for its own pool only, and no longer after recentWindow.
func TestRecentWorkExpires(t *testing.T) {
	var r RecentWork
	now := time.Unix(10, 0)
	j := &msjob.Job{Pool: "p", Steps: []msjob.Step{{Count: 4, Need: msjob.Resources{CPU: 2000}, Estimate: time.Second}}}
	r.Add(j, now)
	require.InDelta(t, 8, r.Work("p", now), 1e-9)
	require.Zero(t, r.Work("other", now))
	require.Zero(t, r.Work("p", now.Add(time.Second)))
}

// A job too large for a record of the log was refused with "not ready", so that its caller tried
// again for ever, and failed the jobs that were stored in the same batch.
func TestJobTooLargeForTheLogIsRefusedForGood(t *testing.T) {
	log := msstandin.JobLog{Limits: msjournal.Limits{RecordBytes: 1000}}
	in := newIntake(t, &log, msclock.System{})
	g := Grant{Queue: mssite.Queue{Name: "q", Pool: "p"}, Team: "team"}
	j := &msjob.Job{ID: "a", Spec: strings.Repeat("x", 1000), Steps: []msjob.Step{{Count: 1}}}
	err := in.Submit(t.Context(), g, j)
	require.Equal(t, TooLarge, kindOf(t, err))
	require.ErrorContains(t, err, "at most 1000 are allowed")
	require.Zero(t, log.Calls())
}

// The same, where the log refuses the record for a reason that the entry doesn't know.
func TestJobThatTheLogRefusesIsRefusedForGood(t *testing.T) {
	log := msstandin.JobLog{Refuse: func(_ string, r msjournal.Record) bool { return r.Key == "job/a" }}
	in := newIntake(t, &log, msclock.System{})
	g := Grant{Queue: mssite.Queue{Name: "q", Pool: "p"}, Team: "team"}
	err := in.Submit(t.Context(), g, &msjob.Job{ID: "a", Steps: []msjob.Step{{Count: 1}}})
	require.Equal(t, TooLarge, kindOf(t, err))
	require.NoError(t, in.Submit(t.Context(), g, &msjob.Job{ID: "b", Steps: []msjob.Step{{Count: 1}}}))
}

// On x86-64 a wait beyond what a time.Duration holds became negative, so that a pool with almost
// no capacity admitted everything.
func TestPoolWithoutCapacityAdmitsNothing(t *testing.T) {
	l := msjob.Load{Pools: map[string]msjob.PoolLoad{"p": {MilliCores: 1, Backlog: 1e9}}}
	retryAfter, ok := admit(&msjob.Job{Pool: "p", Stretch: 2, Steps: []msjob.Step{{Count: 1, Estimate: time.Second}}}, l, 0)
	require.False(t, ok)
	require.Positive(t, retryAfter)
}
