// Package mslog is the client of the platform's append-only log service and of
// its list of VMs.
//
// A stream is an ordered list of records. Writers append to its end and learn
// the offsets; readers read from an offset and learn, with every answer, where
// the stream ended when the platform answered. Retention is limited, so a
// reader that falls behind is told the oldest offset that is left.
//
// Client sends one request per call and reports, by the Kind of its Error,
// whether an append may have taken effect. Appender and Batcher build on it:
// after a lost answer they look for their records by id before they append
// again. Tail follows a stream and proves how fresh its reader is.
package mslog

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"marjoramspan/msclock"
)

const (
	// DefaultTimeout bounds a request, besides the wait of a long poll.
	DefaultTimeout = 2 * time.Second
	// MaxAnswerBytes bounds the answer that a Client accepts.
	MaxAnswerBytes = 64 << 20

	idleConns       = 16
	idleConnTimeout = 30 * time.Second
)

// Client sends requests to the platform. Only Address is needed. A Client is
// safe for concurrent use and must not be copied after its first call.
type Client struct {
	// Address is the platform's host and port.
	Address string
	// Prefix is put before the name of every stream.
	Prefix string
	// HTTP sends the requests. The default keeps idle connections and never
	// sends two requests over one connection at a time.
	HTTP *http.Client
	// Clock measures Timeout. The default is the system's.
	Clock msclock.Clock
	// Timeout bounds each request, in addition to a read's wait. The default
	// is DefaultTimeout.
	Timeout time.Duration

	once sync.Once
	http *http.Client

	mu sync.Mutex
	// list is the platform's list of VMs as it was when it had the tag. Both are
	// guarded by mu.
	list []VM
	tag  string
}

// Query says which records to read.
type Query struct {
	Stream string
	// From is the offset of the first record.
	From uint64
	// Max is the most records to return. Zero leaves it to the platform.
	Max int
	// Wait is how long the platform may hold the answer while From is the
	// stream's end.
	Wait time.Duration
}

// Append adds rs to the end of stream, all or none, and returns the offset of
// the first. Only the ID and Data of rs are sent.
func (c *Client) Append(ctx context.Context, stream string, rs []Record) (uint64, error) {
	fail := Error{Op: "append", Stream: stream}
	body, err := encodeAppend(rs)
	if err != nil {
		return 0, fail.with(Refused, err)
	}
	a, err := c.do(ctx, http.MethodPost, c.recordsURL(stream, nil), body, c.timeout())
	if err != nil && a.sent {
		return 0, fail.with(Unknown, err)
	}
	if err != nil {
		return 0, fail.with(Unavailable, err)
	}
	if a.status != http.StatusOK {
		return 0, fail.with(appendKind(a.status), a.err())
	}
	first, err := decodeAppended(a.body)
	if err != nil {
		return 0, fail.with(Unknown, err)
	}
	return first, nil
}

// Read returns the records from q.From on, and the bounds of the stream at the
// time of the answer.
func (c *Client) Read(ctx context.Context, q Query) (Page, error) {
	fail := Error{Op: "read", Stream: q.Stream}
	a, err := c.do(ctx, http.MethodGet, c.recordsURL(q.Stream, q.values()), nil, c.timeout()+q.Wait)
	if err != nil {
		return Page{}, fail.with(Unavailable, err)
	}
	if a.status == http.StatusGone {
		return c.expired(fail, a)
	}
	if a.status != http.StatusOK {
		return Page{}, fail.with(readKind(a.status), a.err())
	}
	p, err := DecodePage(a.body, q.From)
	if err != nil {
		return Page{}, fail.with(Unavailable, err)
	}
	return p, nil
}

// expired turns an answer that says "gone" into an error with the bounds that
// are left.
func (c *Client) expired(fail Error, a answer) (Page, error) {
	p, err := decodeBounds(a.body)
	if err != nil {
		return Page{}, fail.with(Unavailable, err)
	}
	fail.First = p.First
	return Page{First: p.First, End: p.End}, fail.with(Expired, a.err())
}

// answer is what came back for a request. sent tells, also beside an error,
// whether a connection was had and the request may have left.
type answer struct {
	sent   bool
	status int
	body   []byte
}

func (a answer) err() error {
	return &StatusError{Status: a.status, Body: string(a.body[:min(len(a.body), maxStatusBody)])}
}

// do sends one request and reads its whole answer within limit. A request that
// is given up closes its connection, so that no later one meets it.
func (c *Client) do(ctx context.Context, method, target string, body []byte, limit time.Duration) (answer, error) {
	ctx, cancel := withTimeout(ctx, c.clock(), limit)
	defer cancel()
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return answer{}, err
	}
	resp, err := c.client().Do(req)
	if err != nil {
		return answer{sent: sent.Load()}, c.gaveUp(ctx, err)
	}
	defer resp.Body.Close()
	a := answer{sent: true, status: resp.StatusCode}
	a.body, err = io.ReadAll(io.LimitReader(resp.Body, MaxAnswerBytes))
	if err != nil {
		return a, c.gaveUp(ctx, err)
	}
	return a, nil
}

// gaveUp returns the reason why a request with context ctx ended in err. After
// a timeout it closes the idle connections: what made one connection silent
// has often silenced the others, and each would cost a timeout of its own.
func (c *Client) gaveUp(ctx context.Context, err error) error {
	if ctx.Err() == nil {
		return err
	}
	cause := context.Cause(ctx)
	if errors.Is(cause, ErrTimeout) {
		c.client().CloseIdleConnections()
	}
	return cause
}

func (c *Client) recordsURL(stream string, v url.Values) string {
	u := "http://" + c.Address + "/v1/streams/" + url.PathEscape(c.Prefix+stream) + "/records"
	if len(v) == 0 {
		return u
	}
	return u + "?" + v.Encode()
}

func (c *Client) timeout() time.Duration {
	if c.Timeout <= 0 {
		return DefaultTimeout
	}
	return c.Timeout
}

func (c *Client) clock() msclock.Clock {
	if c.Clock == nil {
		return msclock.System{}
	}
	return c.Clock
}

func (c *Client) client() *http.Client {
	c.once.Do(func() {
		c.http = c.HTTP
		if c.http == nil {
			c.http = newHTTP(c.timeout())
		}
	})
	return c.http
}

// newHTTP returns an HTTP/1.1 client. Each request has a connection to itself
// while it runs, so a long poll holds up no append.
func newHTTP(dial time.Duration) *http.Client {
	d := &net.Dialer{Timeout: dial}
	return &http.Client{Transport: &http.Transport{
		DialContext:         d.DialContext,
		MaxIdleConns:        idleConns,
		MaxIdleConnsPerHost: idleConns,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}}
}

func (q Query) values() url.Values {
	v := url.Values{}
	v.Set("from", strconv.FormatUint(q.From, 10))
	if q.Max > 0 {
		v.Set("max", strconv.Itoa(q.Max))
	}
	if q.Wait > 0 {
		v.Set("wait-ms", strconv.FormatInt(q.Wait.Milliseconds(), 10))
	}
	return v
}
