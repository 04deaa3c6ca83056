package msserver

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const testTimeout = 5 * time.Second

// serve starts a server that answers with "Connection: close", as servers do that are about to
// stop, and returns its address and the function that stops it.
func serve(t *testing.T) (addr string, stop func(ctx context.Context) error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var c Connections
	srv := &http.Server{ReadHeaderTimeout: testTimeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
	})}
	c.Track(srv)
	served := make(chan error, 1)
	go func() { served <- srv.Serve(l) }()
	t.Cleanup(func() { _ = srv.Close() })
	return l.Addr().String(), func(ctx context.Context) error { return c.Stop(ctx, l, served, srv.Shutdown) }
}

// A stopping server read a request whose connection it had accepted just before, and closed the
// connection without an answer.
func TestRequestThatArrivesDuringAStopIsAnswered(t *testing.T) {
	addr, stop := serve(t)
	conn, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer conn.Close()
	_, err = conn.Write([]byte("GET / HTTP/1.1\r\n"))
	require.NoError(t, err)
	time.Sleep(50 * time.Millisecond) // The server accepts the connection.
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	stopped := make(chan error, 1)
	go func() { stopped <- stop(ctx) }()
	time.Sleep(50 * time.Millisecond)
	_, err = conn.Write([]byte("Host: a\r\n\r\n"))
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err, "the connection was closed without an answer")
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.NoError(t, resp.Body.Close())
	require.NoError(t, <-stopped)
}

// A connection without a request must not hold a stop up for longer than its context.
func TestStopEndsWithItsContext(t *testing.T) {
	addr, stop := serve(t)
	conn, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer conn.Close()
	time.Sleep(50 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	begun := time.Now()
	require.ErrorIs(t, stop(ctx), context.DeadlineExceeded)
	require.Less(t, time.Since(begun), testTimeout)
	_, err = net.Dial("tcp", addr)
	require.Error(t, err, "a stopped server accepts no connection")
}
