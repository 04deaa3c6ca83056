// Package msupstream sends a caller's request to one VM and reports whether it may
// have run.
//
// What counts is the first byte that may have been sent to the VM. A request that
// fails before it has not run and may be sent to another VM. The outcome of one that
// fails after it is unknown, unless the VM itself reports with HeaderNotRun that it
// did not start the request. A Sender keeps a few connections to each VM, closes
// those that were idle for longer than the network reliably keeps their state, and
// never sends a request a second time by itself.
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

// HeaderNotRun is the response header with which a VM refuses a request that it did
// not start. Its value is the reason. It counts only with status 503.
const HeaderNotRun = "X-Not-Run"

// ReasonLeaving is the value of HeaderNotRun from a VM that is leaving and takes no
// new requests.
const ReasonLeaving = "leaving"

// ReasonConnectionsInUse is the Reason of an Error if all connections to the VM were in use
// by other requests for the time of the request. It says nothing about the VM.
const ReasonConnectionsInUse = "connections-in-use"

// Error reports that a VM did not answer a request or refused it.
type Error struct {
	VM string
	// Sent reports whether any byte may have reached the VM. If it is false, the
	// request has not run.
	Sent bool
	// BodyUnread reports that nothing was read from the request's body, so that it
	// can still be sent to another VM.
	BodyUnread bool
	// Reason is the kind of failure, such as "timeout" or "connection-refused".
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

// Sender sends requests to VMs. The zero value uses the defaults below.
type Sender struct {
	// MaxConnsPerVM is the maximum number of connections to one VM.
	MaxConnsPerVM int
	// DialTimeout limits the time to open a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept for reuse.
	IdleTimeout time.Duration

	mu sync.Mutex
	// transports holds one transport per address. It is guarded by mu.
	transports map[string]*http.Transport
}

// Defaults of the fields of Sender, and the fixed limits of its connections.
const (
	DefaultMaxConnsPerVM = 7
	DefaultDialTimeout   = time.Second
	DefaultIdleTimeout   = 2 * time.Second
	// userTimeout is how long sent data may stay unacknowledged before the
	// connection is closed.
	userTimeout = 3 * time.Second
	// keepAliveInterval is the idle time before the first TCP keep-alive probe and
	// the interval between probes.
	keepAliveInterval = time.Second
	// keepAliveCount is how many probes may go unanswered before the connection is
	// closed.
	keepAliveCount = 3
	// bufferSize is the size in bytes of the buffers that bodies are copied with.
	bufferSize = 32 << 10
)

// Send sends r to the VM at address. The caller must close the body of the response.
// An error is always an *Error. beforeSend is called at most once, when a connection
// is open and before anything is sent; if it returns an error, nothing is sent.
func (s *Sender) Send(r *http.Request, vm, address string, beforeSend func() error) (*http.Response, error) {
	body := &requestBody{r: r.Body, beforeSend: beforeSend}
	var connected atomic.Bool
	ctx, cancel := context.WithCancelCause(r.Context())
	// dialed is set once a connection is being opened for r. Without it, r waits for one
	// that other requests use.
	var dialed atomic.Bool
	trace := &httptrace.ClientTrace{ConnectStart: func(string, string) { dialed.Store(true) }, GotConn: func(info httptrace.GotConnInfo) {
		if err := body.checkSend(); err != nil {
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
	// The transport resends a request that has an idempotency key and no body on
	// another connection. A body without GetBody can't be read twice and prevents
	// that.
	out.Body = body
	out.GetBody = nil
	res, err := s.transport(address).RoundTrip(out)
	if err != nil {
		cancel(nil)
		ue := s.newError(vm, connected.Load(), body.sendErr(), err)
		if ue.Reason == "timeout" && !ue.Sent && !dialed.Load() {
			ue.Reason = ReasonConnectionsInUse
		}
		ue.BodyUnread = !body.wasRead()
		return nil, ue
	}
	if reason := res.Header.Get(HeaderNotRun); reason != "" && res.StatusCode == http.StatusServiceUnavailable {
		_, _ = io.CopyN(io.Discard, res.Body, bufferSize)
		_ = res.Body.Close()
		cancel(nil)
		return nil, &Error{VM: vm, Reason: reason}
	}
	res.Body = &notifyingBody{ReadCloser: res.Body, onClose: func() { cancel(nil) }}
	return res, nil
}

// newError returns the Error for a failed round trip. beforeSendErr is the error of
// beforeSend, if it returned one.
func (s *Sender) newError(vm string, sent bool, beforeSendErr, err error) *Error {
	if beforeSendErr != nil {
		return &Error{VM: vm, Reason: "withheld", Err: beforeSendErr}
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

// transport returns the transport for an address and creates it if there is none.
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
		Timeout: durationOr(s.DialTimeout, DefaultDialTimeout),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveInterval,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
		Control: setUserTimeout,
	}
	n := s.MaxConnsPerVM
	if n == 0 {
		n = DefaultMaxConnsPerVM
	}
	return &http.Transport{
		DialContext:         d.DialContext,
		MaxConnsPerHost:     n,
		MaxIdleConnsPerHost: n,
		IdleConnTimeout:     durationOr(s.IdleTimeout, DefaultIdleTimeout),
		DisableCompression:  true,
		WriteBufferSize:     bufferSize,
		ReadBufferSize:      bufferSize,
	}
}

func durationOr(d, fallback time.Duration) time.Duration {
	if d == 0 {
		return fallback
	}
	return d
}

// DropAddress closes the idle connections to an address and forgets its transport. It is
// for an address that failed to answer on one connection, or whose VM has left.
func (s *Sender) DropAddress(address string) {
	s.mu.Lock()
	t := s.transports[address]
	delete(s.transports, address)
	s.mu.Unlock()
	if t != nil {
		t.CloseIdleConnections()
	}
}

// requestBody wraps the body of a request. It can't be read twice, and it can't be
// read if beforeSend returned an error.
type requestBody struct {
	r          io.ReadCloser
	beforeSend func() error

	mu sync.Mutex
	// The fields below are guarded by mu.
	checked     bool
	readStarted bool
	err         error
}

// checkSend calls beforeSend unless it was called before, and returns its error.
func (b *requestBody) checkSend() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.checked && b.beforeSend != nil {
		b.err = b.beforeSend()
	}
	b.checked = true
	return b.err
}

// sendErr returns the error of beforeSend, or nil if it was not called or allowed the
// request.
func (b *requestBody) sendErr() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err
}

// wasRead reports whether reading of the body has begun.
func (b *requestBody) wasRead() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.readStarted
}

// Read reads the wrapped body unless beforeSend returned an error.
func (b *requestBody) Read(p []byte) (int, error) {
	if err := b.sendErr(); err != nil {
		return 0, err
	}
	b.mu.Lock()
	b.readStarted = true
	b.mu.Unlock()
	if b.r == nil {
		return 0, io.EOF
	}
	return b.r.Read(p)
}

// Close closes the wrapped body.
func (b *requestBody) Close() error {
	if b.r == nil {
		return nil
	}
	return b.r.Close()
}

// notifyingBody is a response body that calls onClose when it is closed.
type notifyingBody struct {
	io.ReadCloser
	onClose func()
}

// Close closes the body and calls onClose.
func (b *notifyingBody) Close() error {
	err := b.ReadCloser.Close()
	b.onClose()
	return err
}
