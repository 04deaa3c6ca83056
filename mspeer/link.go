// Package mspeer implements the gRPC protocol between entries.
//
// A Link is a client of one peer. An established connection can stop carrying
// traffic permanently while new connections work, so a Link closes its connection
// after consecutive heartbeat timeouts and dials again. It also reports refused
// connections: the peer's VM is up, but its process has ended.
//
// The protobuf code is generated from peer.proto; convert.go converts between its
// messages and the types of the packages that use them.
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

// Link is a client of one peer entry. It connects on the first call. Address must be
// set. It is safe for concurrent use.
type Link struct {
	// Address is the peer's host and port.
	Address string
	// Dial opens a connection. If it is nil, a TCP dialer is used.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// OnRefused, if not nil, is called when the peer refuses a connection (ECONNREFUSED).
	OnRefused func()

	mu sync.Mutex
	// conn and consecutiveTimeouts are guarded by mu.
	conn                *grpc.ClientConn
	consecutiveTimeouts int
}

const (
	// maxConsecutiveTimeouts is the number of consecutive heartbeat timeouts after
	// which a connection is closed.
	maxConsecutiveTimeouts = 2
	// dialTimeout limits the time to establish a connection.
	dialTimeout = time.Second
	// maxMessageBytes is the maximum size of a received message.
	maxMessageBytes = 64 << 20
)

// Error is returned when a call to a peer fails.
type Error struct {
	Address string
	// MaybeReceived reports whether the peer may have received the call.
	MaybeReceived bool
	Err           error
}

// Error returns the peer's address and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("peer %s: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// CallHeartbeat is Call for requests that a running peer answers immediately. After consecutive
// timeouts the connection is considered unresponsive and is closed.
func (l *Link) CallHeartbeat(ctx context.Context, do func(ctx context.Context, c PeerClient) error) error {
	return l.call(ctx, do, true)
}

// Call runs do with a client of the peer. Any error it returns is an *Error.
func (l *Link) Call(ctx context.Context, do func(ctx context.Context, c PeerClient) error) error {
	return l.call(ctx, do, false)
}

func (l *Link) call(ctx context.Context, do func(ctx context.Context, c PeerClient) error, heartbeat bool) error {
	conn, err := l.clientConn()
	if err != nil {
		return &Error{Address: l.Address, Err: err}
	}
	err = do(ctx, NewPeerClient(conn))
	if heartbeat {
		l.closeUnresponsive(conn, err)
	}
	if err != nil {
		return &Error{Address: l.Address, MaybeReceived: status.Code(err) != codes.Unavailable, Err: err}
	}
	return nil
}

// clientConn returns the current connection, or creates one.
func (l *Link) clientConn() (*grpc.ClientConn, error) {
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
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
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

// closeUnresponsive records the result of a heartbeat and closes conn after
// maxConsecutiveTimeouts consecutive timeouts.
func (l *Link) closeUnresponsive(conn *grpc.ClientConn, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != conn {
		return
	}
	if status.Code(err) != codes.DeadlineExceeded {
		l.consecutiveTimeouts = 0
		return
	}
	l.consecutiveTimeouts++
	if l.consecutiveTimeouts >= maxConsecutiveTimeouts {
		l.consecutiveTimeouts = 0
		l.conn = nil
		_ = conn.Close()
	}
}

// Close closes the connection. The next call opens a new one.
func (l *Link) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		_ = l.conn.Close()
		l.conn = nil
	}
}
