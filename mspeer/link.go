// Package mspeer carries what entries say to one another, by gRPC.
//
// A Link is one entry's way to another. An open connection can go silent for
// good while new ones work, so a Link that gets no answer to a few heartbeats in
// a row closes its connection and dials anew. It also notices when the other VM
// answers that no process listens there: that process has ended.
//
// The generated code beside it comes from peer.proto; convert.go turns its
// messages into the types of the packages that decide.
package mspeer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
)

// Link is the connection to one other entry. Address must be set. It is safe
// for concurrent use.
type Link struct {
	// Address is the other entry's host and port.
	Address string
	// Dial opens a connection; the default is a plain TCP dial.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// OnRefused is called when the other VM says that nothing listens there.
	OnRefused func()

	mu sync.Mutex
	// conn and silent are guarded by mu.
	conn   *grpc.ClientConn
	silent int
}

const (
	// maxSilent is how many calls in a row may time out on one connection.
	maxSilent = 2
	// dialTimeout bounds the wait for a new connection.
	dialTimeout = time.Second
	// maxMessage bounds a message, in bytes.
	maxMessage = 64 << 20
)

// Error is a call of another entry that brought no answer.
type Error struct {
	Address string
	// Sent says whether the other entry may have taken the call.
	Sent bool
	Err  error
}

// Error returns the address and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("peer %s: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// Beat is Call for a question that is answered at once by an entry that lives.
// Where several in a row time out, the connection is taken to be silent.
func (l *Link) Beat(ctx context.Context, do func(ctx context.Context, c PeerClient) error) error {
	return l.call(ctx, do, true)
}

// Call runs do with a client of the other entry. An error is an *Error.
func (l *Link) Call(ctx context.Context, do func(ctx context.Context, c PeerClient) error) error {
	return l.call(ctx, do, false)
}

func (l *Link) call(ctx context.Context, do func(ctx context.Context, c PeerClient) error, beat bool) error {
	conn, err := l.connection()
	if err != nil {
		return &Error{Address: l.Address, Err: err}
	}
	err = do(ctx, NewPeerClient(conn))
	if beat {
		l.judge(conn, err)
	}
	if err != nil {
		return &Error{Address: l.Address, Sent: status.Code(err) != codes.Unavailable, Err: err}
	}
	return nil
}

func (l *Link) connection() (*grpc.ClientConn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		return l.conn, nil
	}
	conn, err := grpc.NewClient("passthrough:///"+l.Address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(l.dial),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second},
			MinConnectTimeout: dialTimeout,
		}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage)),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
	)
	if err != nil {
		return nil, err
	}
	l.conn = conn
	return conn, nil
}

func (l *Link) dial(ctx context.Context, address string) (net.Conn, error) {
	dial := l.Dial
	if dial == nil {
		dial = func(ctx context.Context, address string) (net.Conn, error) {
			return (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", address)
		}
	}
	conn, err := dial(ctx, address)
	if errors.Is(err, syscall.ECONNREFUSED) && l.OnRefused != nil {
		l.OnRefused()
	}
	return conn, err
}

// judge leaves a connection on which several calls in a row timed out.
func (l *Link) judge(conn *grpc.ClientConn, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != conn {
		return
	}
	if status.Code(err) != codes.DeadlineExceeded {
		l.silent = 0
		return
	}
	l.silent++
	if l.silent >= maxSilent {
		l.silent = 0
		l.conn = nil
		_ = conn.Close()
	}
}

// Close closes the connection. A later Call opens a new one.
func (l *Link) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		_ = l.conn.Close()
		l.conn = nil
	}
}
