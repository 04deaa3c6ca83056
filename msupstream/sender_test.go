package msupstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func send(t *testing.T, s *Sender, method, address, body string, before func() error) (*http.Response, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	t.Cleanup(cancel)
	r, err := http.NewRequestWithContext(ctx, method, "http://ignored/path", strings.NewReader(body))
	require.NoError(t, err)
	r.Header.Set("Idempotency-Key", "k1")
	return s.Send(r, "vm-1", address, before)
}

func requireSendError(t *testing.T, err error) *Error {
	t.Helper()
	var ue *Error
	require.ErrorAs(t, err, &ue)
	return ue
}

// listenAndBreakSecond starts a server that answers the first request of each
// connection and closes the connection after reading the second. It counts the
// requests that it reads in starts and returns its address.
func listenAndBreakSecond(t *testing.T, starts *atomic.Int32) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveOneAndBreak(c, starts)
		}
	}()
	return l.Addr().String()
}

func serveOneAndBreak(c net.Conn, starts *atomic.Int32) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for n := range 2 {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		starts.Add(1)
		if n == 0 {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	}
}

func TestRequestThatMayHaveRunIsNotSentAgain(t *testing.T) {
	for _, body := range []string{"", "booth run"} {
		for _, method := range []string{http.MethodPost, http.MethodGet} {
			var starts atomic.Int32
			address := listenAndBreakSecond(t, &starts)
			s := &Sender{}
			res, err := send(t, s, method, address, body, nil)
			require.NoError(t, err)
			_, err = io.ReadAll(res.Body)
			require.NoError(t, err)
			require.NoError(t, res.Body.Close())

			_, err = send(t, s, method, address, body, nil)
			ue := requireSendError(t, err)
			require.True(t, ue.Sent, "a request that the server read must not be reported as not run")
			require.EqualValues(t, 2, starts.Load(), "method %s body %q: the second request ran twice", method, body)
		}
	}
}

func TestRefusedConnectionIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	require.NoError(t, l.Close())
	_, err = send(t, &Sender{}, http.MethodPost, address, "x", nil)
	ue := requireSendError(t, err)
	require.False(t, ue.Sent)
	require.True(t, ue.BodyUnread)
	require.Equal(t, "connection-refused", ue.Reason)
}

func TestRefusalByTheVMIsNotRun(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(HeaderNotRun, ReasonLeaving)
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer srv.Close()
	_, err := send(t, &Sender{}, http.MethodPost, srv.Listener.Addr().String(), "x", nil)
	ue := requireSendError(t, err)
	require.False(t, ue.Sent)
	require.Equal(t, ReasonLeaving, ue.Reason)
}

func TestWithheldRequestNeverArrives(t *testing.T) {
	var starts atomic.Int32
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { starts.Add(1) }))
	defer srv.Close()
	stale := errors.New("stale")
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		for _, body := range []string{"", "x"} {
			_, err := send(t, &Sender{}, method, srv.Listener.Addr().String(), body, func() error { return stale })
			ue := requireSendError(t, err)
			require.False(t, ue.Sent)
			require.ErrorIs(t, err, stale)
		}
	}
	srv.Close()
	require.Zero(t, starts.Load())
}

func TestTimeoutAfterSendIsUnknown(t *testing.T) {
	release := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer srv.Close()
	defer close(release)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://ignored/", strings.NewReader("x"))
	require.NoError(t, err)
	_, err = (&Sender{}).Send(r, "vm-1", srv.Listener.Addr().String(), nil)
	ue := requireSendError(t, err)
	require.True(t, ue.Sent)
	require.Equal(t, "timeout", ue.Reason)
}

// A request that had to wait for a connection says nothing against the VM, which works on the others.
func TestWaitForAConnectionIsNoFailureOfTheVM(t *testing.T) {
	release, started := make(chan struct{}), make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(started)
		<-release
	}))
	defer srv.Close()
	defer close(release)
	s := &Sender{MaxConnsPerVM: 1}
	go func() {
		r := httptest.NewRequest(http.MethodPost, "/", nil)
		if res, err := s.Send(r, "vm-1", srv.Listener.Addr().String(), nil); err == nil {
			_ = res.Body.Close()
		}
	}()
	<-started
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://ignored/", strings.NewReader("x"))
	require.NoError(t, err)
	_, err = s.Send(r, "vm-1", srv.Listener.Addr().String(), nil)
	ue := requireSendError(t, err)
	require.False(t, ue.Sent)
	require.Equal(t, ReasonConnectionsInUse, ue.Reason)
}
