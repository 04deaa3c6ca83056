package main

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"marjoramspan/msclock"
	"marjoramspan/msintake"
	"marjoramspan/msjob"
	"marjoramspan/msjournal"
	"marjoramspan/msscheduler"
	"marjoramspan/mssite"
	"marjoramspan/msstandin"
	"marjoramspan/platform"
)

// exitListener ends its connections as the end of the process does.
type exitListener struct {
	net.Listener
	mu    sync.Mutex
	conns []net.Conn
}

func (l *exitListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, c)
	return c, err
}

func (l *exitListener) exit() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		if c != nil {
			_ = c.Close()
		}
	}
}

// A request that waits for the log when the process stops gets its answer, and not
// the end of its connection.
func TestStoppingAnswersWhatIsOpen(t *testing.T) {
	var log msstandin.JobLog
	log.SetFault(msstandin.LogFault{Silent: true})
	clock := &msclock.Boot{}
	n := &node{clock: clock, log: zap.NewNop()}
	n.set.Store(&platform.Settings{Bounds: platform.Bounds{Grace: stopTime + stopMargin + 100*time.Millisecond}})
	n.sites.Set(&mssite.Site{Version: 1, Queues: []mssite.Queue{{Name: "q", Host: "h.example", Prefix: "/q/", Pool: "p", Public: true}}})
	n.records = &msjournal.Follower{Log: log.Log(), Clock: clock, Logger: n.log, Stream: "jobs", Reset: n.jobs.Reset, Apply: func(msjournal.Record, int64) {}}
	n.writer = &msjournal.Writer{Log: log.Log(), Clock: clock, Logger: n.log, Stream: "jobs", Producer: "p"}
	n.intake = &msintake.Intake{Clock: clock, Logger: n.log, Sites: &n.sites, Jobs: &msjob.Table{}, Journal: n.records, Writer: n.writer, SiteCurrent: clock.Now}
	base, end := context.WithCancel(context.Background())
	outer, stop := context.WithCancel(base)
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := &exitListener{Listener: tcp}
	served, written := make(chan error, 1), make(chan error, 1)
	go func() {
		err := n.serveCallers(outer, base, l)
		l.exit()
		served <- err
	}()
	go func() { written <- n.writer.Run(base) }()
	t.Cleanup(func() { end(); <-written })
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+l.Addr().String()+"/q/5c0e7a21d94b36f8", strings.NewReader(`{"spec":"s","steps":[{"count":1,"cpu":500}]}`))
	require.NoError(t, err)
	r.Host = "h.example"
	r.Header.Set("Deadline-Ms", "20000")
	time.AfterFunc(200*time.Millisecond, stop)
	w, err := http.DefaultClient.Do(r)
	require.NoError(t, err, "the connection ended without an answer")
	require.NoError(t, w.Body.Close())
	require.Equal(t, http.StatusGatewayTimeout, w.StatusCode, "its record may be stored")
	require.NoError(t, <-served)
}

// Streams that were never used must cost no calls to the log, and one that is in use is
// read by every entry.
func TestJobStreamsAreFollowedOnceInUse(t *testing.T) {
	var log msstandin.JobLog
	clock := &msclock.Boot{}
	n := &node{clock: clock, begun: clock.Now(), log: zap.NewNop()}
	n.set.Store(&platform.Settings{Name: "edge-1"})
	n.build()
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for i, f := range n.streams {
		f.Log = log.Log()
		wg.Go(func() { _ = n.followStream(ctx, i+1) })
	}
	t.Cleanup(func() { cancel(); wg.Wait() })
	j := &msjob.Job{ID: "a", Steps: []msjob.Step{{Count: 1}}}
	r, err := msjob.JobRecord(j)
	require.NoError(t, err)
	log.Put("ms-jobs-3", r.Key, r.Value)
	time.Sleep(50 * time.Millisecond)
	require.Zero(t, log.Reads())
	for range 2 {
		for _, r := range msjob.StreamRecords() {
			require.NoError(t, n.jobs.Apply(r))
		}
		n.jobs.Reset()
	}
	require.Eventually(t, func() bool { _, ok := n.jobs.Job("a"); return ok }, 10*time.Second, 5*time.Millisecond)
}

// The follower of a job stream applies records, and asks for the scheduler, while the entry
// becomes the leader. Both waited for each other, and the entry read nothing any more.
func TestBecomingLeaderWhileRecordsAreApplied(t *testing.T) {
	var log msstandin.JobLog
	clock := &msclock.Boot{}
	n := &node{clock: clock, begun: clock.Now(), log: zap.NewNop()}
	n.set.Store(&platform.Settings{Name: "edge-1"})
	n.build()
	j := &msjob.Job{ID: "a", Steps: []msjob.Step{{Count: 1}}}
	r, err := msjob.JobRecord(j)
	require.NoError(t, err)
	f := n.streams[0]
	f.Log = log.Log()
	ctx, cancel := context.WithCancel(t.Context())
	ran := make(chan struct{})
	go func() {
		defer close(ran)
		_ = f.Run(ctx)
	}()
	defer cancel()
	require.NoError(t, f.Sync(ctx))
	time.Sleep(50 * time.Millisecond)
	applying, done := make(chan struct{}), make(chan struct{})
	plain := n.jobs.OnJob
	n.jobs.OnJob = func(e msjob.TableEntry) {
		close(applying)
		time.Sleep(50 * time.Millisecond)
		plain(e)
	}
	log.Put("ms-jobs-1", r.Key, r.Value)
	<-applying
	go func() {
		defer close(done)
		n.setScheduler(&msscheduler.Engine{})
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("the entry can't become the leader")
	}
	cancel()
	<-ran
}

// Guards against threads that an entry with little processor time can't use, and against
// none at all.
func TestThreads(t *testing.T) {
	for _, c := range []struct {
		limit        float64
		chosen, want int
	}{{0, 7, 7}, {0.192, 2, 1}, {0.8, 7, 1}, {1.5, 7, 2}, {8, 4, 4}} {
		require.Equal(t, c.want, threads(c.limit, c.chosen))
	}
}
