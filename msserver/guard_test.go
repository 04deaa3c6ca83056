package msserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

func TestTimedOut(t *testing.T) {
	l := Limits{HeaderTimeout: 3 * time.Second, BodyTimeout: 30 * time.Second, IdleTimeout: 15 * time.Second}
	for _, c := range []struct {
		phase  phase
		waited time.Duration
		reason string
	}{
		{phaseIdle, 15 * time.Second, ""},
		{phaseIdle, 16 * time.Second, ReasonIdleTimeout},
		{phaseHeader, 3 * time.Second, ""},
		{phaseHeader, 4 * time.Second, ReasonHeaderTimeout},
		{phaseBody, 30 * time.Second, ""},
		{phaseBody, 31 * time.Second, ReasonBodyTimeout},
		{phaseAnswer, time.Hour, ""},
	} {
		require.Equal(t, c.reason, l.timedOut(c.phase, c.waited), "%d %s", c.phase, c.waited)
		require.Empty(t, Limits{}.timedOut(c.phase, c.waited))
	}
}

func TestLongestUnfinishedIsNeverOneWithARequestUnderWay(t *testing.T) {
	now := time.Unix(1000, 0)
	at := func(p phase, waited time.Duration) *guardedConn {
		return &guardedConn{phase: p, since: now.Add(-waited)}
	}
	answer, body, idle := at(phaseAnswer, time.Hour), at(phaseBody, time.Minute), at(phaseIdle, time.Second)
	require.Same(t, body, longestUnfinished(map[*guardedConn]struct{}{answer: {}, body: {}, idle: {}}))
	require.Nil(t, longestUnfinished(map[*guardedConn]struct{}{answer: {}}))
}

// guarded starts a guarded server whose requests wait for release, if it isn't nil.
func guarded(t *testing.T, limits *atomic.Pointer[Limits], release chan struct{}) (g *Guard, addr string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	g = &Guard{Logger: zap.NewNop(), Listener: "test", Limits: func() Limits { return *limits.Load() }}
	srv := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if release != nil {
			<-release
		}
	})}
	g.Attach(srv)
	go func() { _ = srv.Serve(g.Listen(l)) }()
	t.Cleanup(func() { _ = srv.Close() })
	return g, l.Addr().String()
}

func (g *Guard) inPhase(p phase) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for c := range g.conns {
		if c.phase == p {
			n++
		}
	}
	return n
}

func dial(t *testing.T, addr, text string) net.Conn {
	conn, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, text)
	require.NoError(t, err)
	return conn
}

func requireStatus(t *testing.T, conn net.Conn, status int) {
	_ = conn.SetReadDeadline(time.Now().Add(testTimeout))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.Equal(t, status, resp.StatusCode)
}

const (
	wholeRequest = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"
	shortRequest = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nab"
)

func TestNewConnectionReplacesTheLongestUnfinished(t *testing.T) {
	var limits atomic.Pointer[Limits]
	limits.Store(&Limits{MaxConns: 2})
	release := make(chan struct{})
	g, addr := guarded(t, &limits, release)
	whole := dial(t, addr, wholeRequest)
	require.Eventually(t, func() bool { return g.inPhase(phaseAnswer) == 1 }, testTimeout, time.Millisecond)
	short := dial(t, addr, shortRequest)
	require.Eventually(t, func() bool { return g.inPhase(phaseBody) == 1 }, testTimeout, time.Millisecond)
	next := dial(t, addr, wholeRequest)
	require.Eventually(t, func() bool { return g.inPhase(phaseAnswer) == 2 }, testTimeout, time.Millisecond)
	refused := dial(t, addr, "")
	for _, closed := range []net.Conn{short, refused} {
		_ = closed.SetReadDeadline(time.Now().Add(testTimeout))
		_, err := io.ReadAll(closed)
		require.NotErrorIs(t, err, os.ErrDeadlineExceeded, "the connection is still open")
	}
	close(release)
	requireStatus(t, whole, http.StatusOK)
	requireStatus(t, next, http.StatusOK)
}

func TestHeaderLimitMayChange(t *testing.T) {
	var limits atomic.Pointer[Limits]
	limits.Store(&Limits{MaxHeaderBytes: 64 << 10})
	_, addr := guarded(t, &limits, nil)
	request := "GET / HTTP/1.1\r\nHost: a\r\nX-Pad: " + strings.Repeat("x", 20<<10) + "\r\n\r\n"
	conn := dial(t, addr, request+request)
	requireStatus(t, conn, http.StatusOK)
	limits.Store(&Limits{MaxHeaderBytes: 16 << 10})
	requireStatus(t, dial(t, addr, request), http.StatusRequestHeaderFieldsTooLarge)
}

// A connection was closed with unread bytes of a header, so that it was reset, and the client lost
// the answer.
func TestAnswerToALongHeaderIsNotLostByAReset(t *testing.T) {
	var limits atomic.Pointer[Limits]
	limits.Store(&Limits{MaxHeaderBytes: 16 << 10})
	_, addr := guarded(t, &limits, nil)
	for _, size := range []int{64 << 10, 1 << 20} {
		conn := dial(t, addr, "GET / HTTP/1.1\r\nHost: a\r\nX-Pad: "+strings.Repeat("x", size)+"\r\n\r\n")
		requireStatus(t, conn, http.StatusRequestHeaderFieldsTooLarge)
		_, err := conn.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF, "the connection must be closed")
	}
}

func TestSweepClosesWhatIsOverdue(t *testing.T) {
	var limits atomic.Pointer[Limits]
	limits.Store(&Limits{HeaderTimeout: time.Minute, BodyTimeout: time.Minute, IdleTimeout: time.Minute})
	g, addr := guarded(t, &limits, nil)
	dial(t, addr, "")
	dial(t, addr, "GET / HT")
	dial(t, addr, shortRequest)
	served := dial(t, addr, wholeRequest)
	requireStatus(t, served, http.StatusOK)
	require.Eventually(t, func() bool {
		return g.inPhase(phaseIdle) == 2 && g.inPhase(phaseHeader) == 1 && g.inPhase(phaseBody) == 1
	}, testTimeout, time.Millisecond)
	g.sweep(time.Now().Add(50 * time.Second))
	require.Equal(t, 2, g.inPhase(phaseIdle))
	g.sweep(time.Now().Add(70 * time.Second))
	require.Zero(t, g.inPhase(phaseIdle)+g.inPhase(phaseHeader)+g.inPhase(phaseBody))
}
