// Package mslog is a client for the platform's append-only log service and its
// VM inventory.
//
// A stream is an ordered list of records. An append returns the offset of its
// first record. A read starts at an offset and also returns the end of the
// stream at the time of the response. Retention is limited: a read of expired
// records fails and returns the oldest retained offset.
//
// Client sends one request per call. The Kind of its Error tells whether an
// append may have taken effect. Appender and Batcher build on Client: after a
// lost response they search the stream for their records by id before they
// append again. Tail follows a stream and reports up to which time its reader
// is known to be current.
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
	// DefaultTimeout limits the duration of a request, excluding the wait of a
	// long poll.
	DefaultTimeout = 2 * time.Second
	// MaxResponseBytes limits the size of a response body. A longer body is
	// truncated.
	MaxResponseBytes = 64 << 20

	maxIdleConns    = 16
	idleConnTimeout = 30 * time.Second
)

// Client sends requests to the platform. Only Address is required. A Client is
// safe for concurrent use and must not be copied after its first call.
type Client struct {
	// Address is the platform's host and port.
	Address string
	// Prefix is prepended to every stream name.
	Prefix string
	// HTTP sends the requests. The default client keeps idle connections and
	// uses HTTP/1.1, so concurrent requests never share a connection.
	HTTP *http.Client
	// Clock measures Timeout. The default is the system clock.
	Clock msclock.Clock
	// Timeout limits each request, in addition to a read's wait. The default
	// is DefaultTimeout.
	Timeout time.Duration

	once sync.Once
	http *http.Client

	mu sync.Mutex
	// cachedVMs is the VM list that the platform returned with cachedTag. mu
	// guards both.
	cachedVMs []VM
	cachedTag string
}

// Query selects the records to read.
type Query struct {
	Stream string
	// From is the offset of the first record.
	From uint64
	// Max is the maximum number of records to return. Zero selects the
	// platform's default.
	Max int
	// Wait is how long the platform may delay its response while there are no
	// records at From.
	Wait time.Duration
}

// Append atomically appends rs to stream and returns the offset of the first
// record. Only the ID and Data fields of rs are sent.
func (c *Client) Append(ctx context.Context, stream string, rs []Record) (uint64, error) {
	opErr := Error{Op: "append", Stream: stream}
	body, err := encodeAppendRequest(rs)
	if err != nil {
		return 0, opErr.with(Refused, err)
	}
	resp, err := c.do(ctx, http.MethodPost, c.recordsURL(stream, nil), body, c.timeout())
	if err != nil && resp.maybeSent {
		return 0, opErr.with(Unknown, err)
	}
	if err != nil {
		return 0, opErr.with(Unavailable, err)
	}
	if resp.status != http.StatusOK {
		return 0, opErr.with(appendKind(resp.status), resp.statusError())
	}
	first, err := decodeAppendResponse(resp.body)
	if err != nil {
		return 0, opErr.with(Unknown, err)
	}
	return first, nil
}

// Read returns the records from q.From on and the stream's bounds at the time
// of the response.
func (c *Client) Read(ctx context.Context, q Query) (Page, error) {
	opErr := Error{Op: "read", Stream: q.Stream}
	resp, err := c.do(ctx, http.MethodGet, c.recordsURL(q.Stream, q.values()), nil, c.timeout()+q.Wait)
	if err != nil {
		return Page{}, opErr.with(Unavailable, err)
	}
	if resp.status == http.StatusGone {
		return c.expiredError(opErr, resp)
	}
	if resp.status != http.StatusOK {
		return Page{}, opErr.with(readKind(resp.status), resp.statusError())
	}
	p, err := DecodePage(resp.body, q.From)
	if err != nil {
		return Page{}, opErr.with(Unavailable, err)
	}
	return p, nil
}

// expiredError returns an Error for a response with status 410 (Gone), and a
// Page with the stream's current bounds.
func (c *Client) expiredError(opErr Error, resp response) (Page, error) {
	p, err := decodeBounds(resp.body)
	if err != nil {
		return Page{}, opErr.with(Unavailable, err)
	}
	opErr.First = p.First
	return Page{First: p.First, End: p.End}, opErr.with(Expired, resp.statusError())
}

// response is the result of a request. maybeSent reports whether a connection
// was obtained, in which case the request may have reached the platform; it is
// also valid when the request failed.
type response struct {
	maybeSent bool
	status    int
	body      []byte
}

func (r response) statusError() error {
	return &StatusError{Status: r.status, Body: string(r.body[:min(len(r.body), maxStatusBodyBytes)])}
}

// do sends one request and reads the response body within timeout. An aborted
// request closes its connection, so later requests can't read its late
// response.
func (c *Client) do(ctx context.Context, method, target string, body []byte, timeout time.Duration) (response, error) {
	ctx, cancel := withTimeout(ctx, c.clock(), timeout)
	defer cancel()
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return response{}, err
	}
	resp, err := c.client().Do(req)
	if err != nil {
		return response{maybeSent: sent.Load()}, c.requestError(ctx, err)
	}
	defer resp.Body.Close()
	result := response{maybeSent: true, status: resp.StatusCode}
	result.body, err = io.ReadAll(io.LimitReader(resp.Body, MaxResponseBytes))
	if err != nil {
		return result, c.requestError(ctx, err)
	}
	return result, nil
}

// requestError returns the reason why a request with context ctx failed with
// err. After a timeout it also closes the idle connections: a fault that makes
// one connection unresponsive often affects the others, and each of them would
// cost another timeout.
func (c *Client) requestError(ctx context.Context, err error) error {
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
			c.http = newHTTPClient(c.timeout())
		}
	})
	return c.http
}

// newHTTPClient returns an HTTP/1.1 client. Each request has exclusive use of
// a connection, so a long poll does not delay appends.
func newHTTPClient(dialTimeout time.Duration) *http.Client {
	d := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext:         d.DialContext,
		MaxIdleConns:        maxIdleConns,
		MaxIdleConnsPerHost: maxIdleConns,
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
