package msserver

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"marjoramspan/msclock"
)

const (
	// sweepInterval is the time between two searches for connections whose time is over.
	sweepInterval = 500 * time.Millisecond
	// closedLogInterval is the minimum time between two log lines about closed connections.
	closedLogInterval = 10 * time.Second
	// readAhead is how many bytes net/http may read of a body along with its header.
	readAhead = 4 << 10
	// smallRead is the most bytes of a body that a read returns if net/http's buffer is full of
	// chunks of a few bytes.
	smallRead = readAhead / 2
	// lingerTime and lingerBytes bound what is read after a header was refused.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 4 << 20

	headerTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// Limits bound the connections of a server. Fields that are 0 set no bound.
type Limits struct {
	// MaxConns is the maximum number of open connections.
	MaxConns int
	// MaxHeaderBytes is the maximum size of a request's header.
	MaxHeaderBytes int64
	// HeaderTimeout bounds the time from the first byte of a request to the end of its header,
	// BodyTimeout the time from there to the end of its body, and IdleTimeout the time without
	// a request. WriteTimeout bounds the time for which the client accepts no bytes.
	HeaderTimeout, BodyTimeout, IdleTimeout, WriteTimeout time.Duration
}

// Reasons for which a connection is closed, as they appear in logs and metrics.
const (
	ReasonHeaderSize    = "header-size"
	ReasonHeaderTimeout = "header-timeout"
	ReasonBodyTimeout   = "body-timeout"
	ReasonIdleTimeout   = "idle-timeout"
	// ReasonReplaced means that the connection made room for a new one, ReasonFull that a new
	// one was closed since all others had requests under way.
	ReasonReplaced = "replaced"
	ReasonFull     = "full"
)

// phase is what a connection waits for.
type phase int

const (
	// phaseIdle waits for the first byte of a request.
	phaseIdle phase = iota
	phaseHeader
	phaseBody
	// phaseAnswer means that the server has the whole request.
	phaseAnswer
)

// timedOut returns the reason to close a connection that has been in a phase for a time, or "".
func (l Limits) timedOut(p phase, waited time.Duration) string {
	over := func(limit time.Duration) bool { return limit > 0 && waited > limit }
	switch {
	case p == phaseIdle && over(l.IdleTimeout):
		return ReasonIdleTimeout
	case p == phaseHeader && over(l.HeaderTimeout):
		return ReasonHeaderTimeout
	case p == phaseBody && over(l.BodyTimeout):
		return ReasonBodyTimeout
	}
	return ""
}

// Guard bounds what the clients of an http.Server hold that don't finish their requests. When
// the maximum number of connections is open, a new one takes the place of the one whose client
// has sent nothing complete for the longest time. A request that has arrived completely is never
// cut. Its fields must be set before use.
type Guard struct {
	Logger *zap.Logger
	// Clock is the system's by default.
	Clock msclock.Clock
	// Listener names the server in logs and metrics.
	Listener string
	// Limits returns the limits in force. They may change at any time.
	Limits func() Limits
	// Metrics, if set, counts the connections.
	Metrics *GuardMetrics

	mu    sync.Mutex
	conns map[*guardedConn]struct{}
	// closed counts the connections that were closed since the last log line, by reason.
	closed   map[string]int
	loggedAt time.Time
}

// guardedConn is a connection of a Guard. Guard.mu guards its state.
type guardedConn struct {
	net.Conn
	guard *Guard

	phase       phase
	since       time.Time
	headerBytes int64
	// lingers is set if Close must let the client read an answer that it doesn't await.
	lingers atomic.Bool
}

func (g *Guard) clock() msclock.Clock {
	if g.Clock == nil {
		return msclock.System{}
	}
	return g.Clock
}

// Attach makes g follow the requests of srv. It must be called before srv serves, and after
// Connections.Track.
func (g *Guard) Attach(srv *http.Server) {
	next, handler := srv.ConnState, srv.Handler
	srv.ConnState = func(conn net.Conn, state http.ConnState) {
		if c, ok := conn.(*guardedConn); ok && state == http.StateIdle {
			g.enter(c, phaseIdle)
		}
		if next != nil {
			next(conn, state)
		}
	}
	srv.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}
	srv.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*guardedConn)
		switch {
		case !ok:
		case r.Body == nil || r.Body == http.NoBody:
			g.enter(c, phaseAnswer)
		default:
			g.enter(c, phaseBody)
			r = r.WithContext(r.Context()) // net/http inspects the body of its own request.
			r.Body = &guardedBody{ReadCloser: r.Body, conn: c}
		}
		handler.ServeHTTP(w, r)
	})
}

type connKey struct{}

// Listen returns l with its connections guarded.
func (g *Guard) Listen(l net.Listener) net.Listener {
	return &guardedListener{Listener: l, guard: g}
}

type guardedListener struct {
	net.Listener
	guard *Guard
}

// Accept implements net.Listener.
func (l *guardedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.guard.admit(conn); c != nil {
			return c, nil
		}
	}
}

// admit returns the guarded connection, or closes it and returns nil.
func (g *Guard) admit(conn net.Conn) net.Conn {
	limit, now := g.Limits().MaxConns, g.clock().Now()
	c := &guardedConn{Conn: conn, guard: g, since: now}
	g.mu.Lock()
	defer g.mu.Unlock()
	if limit > 0 && len(g.conns) >= limit {
		oldest := longestUnfinished(g.conns)
		if oldest == nil {
			g.count(ReasonFull)
			_ = conn.Close()
			return nil
		}
		g.drop(oldest, ReasonReplaced)
	}
	if g.conns == nil {
		g.conns = map[*guardedConn]struct{}{}
	}
	g.conns[c] = struct{}{}
	g.Metrics.setOpen(g.Listener, len(g.conns))
	return c
}

// longestUnfinished returns the connection that has waited for its client for the longest time,
// or nil.
func longestUnfinished(conns map[*guardedConn]struct{}) *guardedConn {
	var oldest *guardedConn
	for c := range conns {
		if c.phase != phaseAnswer && (oldest == nil || c.since.Before(oldest.since)) {
			oldest = c
		}
	}
	return oldest
}

// drop closes a connection. The caller holds mu.
func (g *Guard) drop(c *guardedConn, reason string) {
	delete(g.conns, c)
	g.count(reason)
	_ = c.Conn.Close()
}

// count records a closed connection. The caller holds mu.
func (g *Guard) count(reason string) {
	if g.closed == nil {
		g.closed = map[string]int{}
	}
	g.closed[reason]++
	g.Metrics.countClosed(g.Listener, reason)
}

func (g *Guard) enter(c *guardedConn, p phase) {
	now := g.clock().Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	c.phase, c.since, c.headerBytes = p, now, 0
}

// received notes that n bytes were read, and reports whether the header is within its limit.
func (g *Guard) received(c *guardedConn, n int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch c.phase {
	case phaseIdle:
		c.phase, c.since = phaseHeader, g.clock().Now()
	case phaseHeader:
	case phaseBody, phaseAnswer:
		return true
	}
	c.headerBytes += int64(n)
	limit := g.Limits().MaxHeaderBytes
	if limit <= 0 || c.headerBytes <= limit+readAhead {
		return true
	}
	g.count(ReasonHeaderSize)
	return false
}

// Run closes connections whose time is over until ctx is done.
func (g *Guard) Run(ctx context.Context) error {
	for msclock.Sleep(ctx, g.clock(), sweepInterval) == nil {
		g.sweep(g.clock().Now())
	}
	return nil
}

func (g *Guard) sweep(now time.Time) {
	limits := g.Limits()
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		if reason := limits.timedOut(c.phase, now.Sub(c.since)); reason != "" {
			g.drop(c, reason)
		}
	}
	g.Metrics.setOpen(g.Listener, len(g.conns))
	if len(g.closed) == 0 || now.Sub(g.loggedAt) < closedLogInterval {
		return
	}
	fields := []zap.Field{zap.String("listener", g.Listener), zap.Int("open", len(g.conns))}
	for reason, n := range g.closed {
		fields = append(fields, zap.Int(reason, n))
	}
	g.Logger.Info("connections closed", fields...)
	g.loggedAt = now
	clear(g.closed)
}

// Read implements net.Conn.
func (c *guardedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 || c.guard.received(c, n) {
		return n, err
	}
	if _, err := io.WriteString(c, headerTooLarge); err == nil {
		c.lingers.Store(true)
	}
	// net/http closes the connection after this error without a response of its own.
	return 0, &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed}
}

// Write implements net.Conn.
func (c *guardedConn) Write(p []byte) (int, error) {
	if d := c.guard.Limits().WriteTimeout; d > 0 {
		_ = c.SetWriteDeadline(msclock.System{}.Now().Add(d)) // Fails only on closed connections, as the write then does.
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *guardedConn) Close() error {
	if c.lingers.CompareAndSwap(true, false) {
		c.linger()
	}
	c.guard.mu.Lock()
	delete(c.guard.conns, c)
	c.guard.mu.Unlock()
	return c.Conn.Close()
}

// linger reads what the client still sends. A connection that is closed with unread bytes is reset,
// and a client that still sends its header then fails before it reads the answer.
func (c *guardedConn) linger() {
	_, _ = c.CloseWrite(), c.SetReadDeadline(msclock.System{}.Now().Add(lingerTime)) // Fail only on closed connections.
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
}

// CloseWrite lets net/http send the end of a response before it closes the connection.
func (c *guardedConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// guardedBody is the body of a request, whose end it tells the Guard.
type guardedBody struct {
	io.ReadCloser
	conn *guardedConn
	done bool
}

// Read implements io.Reader.
func (b *guardedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && !b.done {
		b.done = true
		b.conn.guard.enter(b.conn, phaseAnswer)
	}
	if err == nil && n <= smallRead {
		// Small chunks take far more time to decode than to receive. Many connections with some
		// to decode would each use a whole time slice of the Go scheduler.
		runtime.Gosched()
	}
	return n, err
}
