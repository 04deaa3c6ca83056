// Package msupstream sends a caller's request to one VM and says truthfully
// what became of it.
//
// Everything turns on one moment: the first byte that may have left for the
// VM. A failure before it is "not run", and the request may go elsewhere. A
// failure after it is "unknown", unless the VM itself says by protocol that it
// did not start the request. A Sender keeps a few connections to each VM,
// drops those that have been idle for longer than the network may be trusted
// to remember them, and never sends a request a second time by itself.
package msupstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// HeaderNotRun is the header by which a VM refuses a request that it did not
// start. Its value is the reason.
const HeaderNotRun = "X-Not-Run"

// ReasonLeaving is the HeaderNotRun value of a VM that is leaving.
const ReasonLeaving = "leaving"

// Error is a request that was not answered by its VM.
type Error struct {
	VM string
	// Sent says whether anything may have reached the VM. Where it is false the
	// request has not run.
	Sent bool
	// Untouched says that nothing was read from the request's body.
	Untouched bool
	// Reason is one word for what went wrong.
	Reason string
	Err    error
}

// Error returns the VM, the reason and the cause.
func (e *Error) Error() string {
	s := "upstream " + e.VM + ": " + e.Reason
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// Sender sends requests to VMs. The zero value works, with the defaults below.
type Sender struct {
	// Connections is the most connections kept to one VM.
	Connections int
	// DialTimeout bounds the wait for a new connection.
	DialTimeout time.Duration
	// IdleAfter is how long a connection may be idle and still be used.
	IdleAfter time.Duration

	mu sync.Mutex
	// transports holds one transport for each address. It is guarded by mu.
	transports map[string]*http.Transport
}

// The defaults of a Sender.
const (
	DefaultConnections = 7
	DefaultDialTimeout = time.Second
	DefaultIdleAfter   = 2 * time.Second
	// userTimeout is how long sent data may stay unacknowledged.
	userTimeout = 3 * time.Second
	// keepAlive is the pause between probes of a connection that is silent.
	keepAlive = time.Second
	// keepAliveCount is how many probes may go unanswered.
	keepAliveCount = 3
	// copyBuffer is the size of the piece in which a body is copied, in bytes.
	copyBuffer = 32 << 10
)

// Send sends r to the VM at address. The answer's body must be closed. An
// error is always an *Error. Before is called once a connection stands and
// nothing has been sent; where it returns an error nothing is.
func (s *Sender) Send(r *http.Request, vm, address string, before func() error) (*http.Response, error) {
	body := &guard{r: r.Body, before: before}
	var connected atomic.Bool
	ctx, cancel := context.WithCancelCause(r.Context())
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if err := body.open(); err != nil {
			// The transport may write the headers before it sees that ctx is done.
			_ = info.Conn.Close()
			cancel(err)
			return
		}
		connected.Store(true)
	}}
	out := r.Clone(httptrace.WithClientTrace(ctx, trace))
	out.URL.Scheme = "http"
	out.URL.Host = address
	out.RequestURI = ""
	// A body that can't be read twice keeps the transport from sending the
	// request again on another connection, which it does for a request that has
	// an idempotency key and no body.
	out.Body = body
	out.GetBody = nil
	res, err := s.transport(address).RoundTrip(out)
	if err != nil {
		cancel(nil)
		ue := s.failure(vm, connected.Load(), body.refused(), err)
		ue.Untouched = !body.touched()
		return nil, ue
	}
	if reason := res.Header.Get(HeaderNotRun); reason != "" && res.StatusCode == http.StatusServiceUnavailable {
		_, _ = io.CopyN(io.Discard, res.Body, copyBuffer)
		_ = res.Body.Close()
		cancel(nil)
		return nil, &Error{VM: vm, Reason: reason}
	}
	res.Body = &ender{ReadCloser: res.Body, end: func() { cancel(nil) }}
	return res, nil
}

func (s *Sender) failure(vm string, sent bool, refused, err error) *Error {
	if refused != nil {
		return &Error{VM: vm, Reason: "withheld", Err: refused}
	}
	reason := "connection"
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		reason = "connection-refused"
	case errors.Is(err, context.DeadlineExceeded), isTimeout(err):
		reason = "timeout"
	case errors.Is(err, context.Canceled):
		reason = "canceled"
	}
	return &Error{VM: vm, Sent: sent, Reason: reason, Err: err}
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

func (s *Sender) transport(address string) *http.Transport {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.transports[address]; t != nil {
		return t
	}
	if s.transports == nil {
		s.transports = make(map[string]*http.Transport)
	}
	t := s.newTransport()
	s.transports[address] = t
	return t
}

func (s *Sender) newTransport() *http.Transport {
	d := &net.Dialer{
		Timeout: orDuration(s.DialTimeout, DefaultDialTimeout),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAlive,
			Interval: keepAlive,
			Count:    keepAliveCount,
		},
		Control: setUserTimeout,
	}
	n := s.Connections
	if n == 0 {
		n = DefaultConnections
	}
	return &http.Transport{
		DialContext:         d.DialContext,
		MaxConnsPerHost:     n,
		MaxIdleConnsPerHost: n,
		IdleConnTimeout:     orDuration(s.IdleAfter, DefaultIdleAfter),
		DisableCompression:  true,
		WriteBufferSize:     copyBuffer,
		ReadBufferSize:      copyBuffer,
	}
}

func orDuration(d, otherwise time.Duration) time.Duration {
	if d == 0 {
		return otherwise
	}
	return d
}

// Drop closes the idle connections to an address, after one of its connections
// was found silent or its VM has left.
func (s *Sender) Drop(address string) {
	s.mu.Lock()
	t := s.transports[address]
	delete(s.transports, address)
	s.mu.Unlock()
	if t != nil {
		t.CloseIdleConnections()
	}
}

// guard is a request's body that is read at most once, and only after before
// has agreed.
type guard struct {
	r      io.ReadCloser
	before func() error

	mu sync.Mutex
	// opened and err are guarded by mu.
	opened bool
	read   bool
	err    error
}

func (g *guard) open() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.opened && g.before != nil {
		g.err = g.before()
	}
	g.opened = true
	return g.err
}

func (g *guard) refused() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.err
}

func (g *guard) touched() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.read
}

// Read reads the caller's body.
func (g *guard) Read(p []byte) (int, error) {
	if err := g.refused(); err != nil {
		return 0, err
	}
	g.mu.Lock()
	g.read = true
	g.mu.Unlock()
	if g.r == nil {
		return 0, io.EOF
	}
	return g.r.Read(p)
}

// Close closes the caller's body.
func (g *guard) Close() error {
	if g.r == nil {
		return nil
	}
	return g.r.Close()
}

// ender calls end when a body is closed.
type ender struct {
	io.ReadCloser
	end func()
}

// Close closes the body and calls end.
func (e *ender) Close() error {
	err := e.ReadCloser.Close()
	e.end()
	return err
}
