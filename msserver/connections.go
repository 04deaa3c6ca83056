// Package msserver stops HTTP servers without cutting requests.
package msserver

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// arrivalTimeout is how long a stop waits for the requests of connections that were accepted
// before. A caller sends its request at once, and http.Server.Shutdown waits for those that have
// been passed to the handler.
const arrivalTimeout = time.Second

// Connections stops an http.Server once no request is under way. http.Server.Shutdown alone
// doesn't do that: a request that has arrived but hasn't been passed to the handler when
// Shutdown begins is read, and its connection is closed without an answer. The zero value is
// ready for use.
type Connections struct {
	mu sync.Mutex
	// busy has the connections on which a request is under way or may be: those that are new
	// have none yet.
	busy map[net.Conn]struct{}
	// quiet, if set, is closed once busy is empty.
	quiet chan struct{}
}

// Track makes c follow the connections of srv. It must be called before srv serves.
func (c *Connections) Track(srv *http.Server) {
	srv.ConnState = c.setState
}

func (c *Connections) setState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew, http.StateActive:
		if c.busy == nil {
			c.busy = map[net.Conn]struct{}{}
		}
		c.busy[conn] = struct{}{}
	case http.StateIdle, http.StateHijacked, http.StateClosed:
		delete(c.busy, conn)
	}
	if len(c.busy) == 0 && c.quiet != nil {
		close(c.quiet)
		c.quiet = nil
	}
}

// Stop closes l, on which the server accepts connections, waits until served has the result of
// the server and until no request is under way, and calls shutdown. It waits for a second at
// most, or until ctx is done. It returns the errors of the server and of shutdown.
func (c *Connections) Stop(ctx context.Context, l net.Listener, served <-chan error, shutdown func(ctx context.Context) error) error {
	arrival, cancel := context.WithTimeout(ctx, arrivalTimeout)
	defer cancel()
	_ = l.Close() // The server reports an error of the listener.
	var failed error
	select {
	case err := <-served:
		if !errors.Is(err, net.ErrClosed) {
			failed = err
		}
		c.awaitQuiet(arrival)
	case <-arrival.Done():
	}
	return errors.Join(failed, shutdown(ctx))
}

// awaitQuiet returns once no request is under way, or ctx is done.
func (c *Connections) awaitQuiet(ctx context.Context) {
	quiet := make(chan struct{})
	c.mu.Lock()
	if len(c.busy) == 0 {
		close(quiet)
	} else {
		c.quiet = quiet
	}
	c.mu.Unlock()
	select {
	case <-quiet:
	case <-ctx.Done():
	}
}
