package mslog_test

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjoramspan/msclock"
	"marjoramspan/mslog"
	"marjoramspan/msstandin"
)

// testTimeout is a timeout that is not reached unless a test hangs.
const testTimeout = time.Minute

func newTestClient(t testing.TB, p *msstandin.Platform) *mslog.Client {
	s := httptest.NewServer(p)
	t.Cleanup(s.Close)
	return &mslog.Client{Address: s.Listener.Addr().String(), Prefix: "t-", Timeout: testTimeout}
}

func records(ids ...string) []mslog.Record {
	var rs []mslog.Record
	for _, id := range ids {
		rs = append(rs, mslog.Record{ID: id, Data: json.RawMessage(`{"of":"` + id + `"}`)})
	}
	return rs
}

func idsOf(rs []mslog.Record) []string {
	ids := []string{}
	for _, r := range rs {
		ids = append(ids, r.ID)
	}
	return ids
}

// requireKind requires an error of kind k. The check for a non-nil error is
// needed because KindOf(nil) is Unknown.
func requireKind(t testing.TB, k mslog.Kind, err error) {
	t.Helper()
	require.Error(t, err)
	require.Equal(t, k, mslog.KindOf(err))
}

func TestAppendThenRead(t *testing.T) {
	c := newTestClient(t, &msstandin.Platform{})
	ctx := context.Background()
	p, err := c.Read(ctx, mslog.Query{Stream: "s"})
	require.NoError(t, err)
	require.Equal(t, uint64(0), p.End)
	first, err := c.Append(ctx, "s", records("a", "b"))
	require.NoError(t, err)
	require.Equal(t, uint64(0), first)
	first, err = c.Append(ctx, "s", records("c"))
	require.NoError(t, err)
	require.Equal(t, uint64(2), first)
	p, err = c.Read(ctx, mslog.Query{Stream: "s", From: 1, Max: 1})
	require.NoError(t, err)
	require.Equal(t, uint64(3), p.End)
	require.Equal(t, []string{"b"}, idsOf(p.Records))
	require.JSONEq(t, `{"of":"b"}`, string(p.Records[0].Data))
	p, err = c.Read(ctx, mslog.Query{Stream: "s", From: 3})
	require.NoError(t, err)
	require.Empty(t, p.Records)
}

func TestAppendRejectsRecordsWithoutID(t *testing.T) {
	c := newTestClient(t, &msstandin.Platform{})
	_, err := c.Append(context.Background(), "s", records(""))
	requireKind(t, mslog.Refused, err)
	_, err = c.Append(context.Background(), "s", nil)
	requireKind(t, mslog.Refused, err)
}

func TestAppendWithLostResponseIsUnknown(t *testing.T) {
	p := &msstandin.Platform{}
	c := newTestClient(t, p)
	p.SetFault(msstandin.Fault{Mode: msstandin.FaultLoseAnswers})
	_, err := c.Append(context.Background(), "s", records("a"))
	requireKind(t, mslog.Unknown, err)
	require.Equal(t, []string{"a"}, idsOf(p.Records("t-s")), "the transport must not resend an append")
}

func TestAppendDuringOutageHasNoEffect(t *testing.T) {
	for _, mode := range []msstandin.FaultMode{msstandin.FaultDown, msstandin.FaultAppendDown} {
		p := &msstandin.Platform{}
		c := newTestClient(t, p)
		p.SetFault(msstandin.Fault{Mode: mode})
		_, err := c.Append(context.Background(), "s", records("a"))
		requireKind(t, mslog.Unavailable, err)
		require.Empty(t, p.Records("t-s"))
	}
}

func TestConnectionRefusedIsUnavailable(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	c := &mslog.Client{Address: l.Addr().String(), Timeout: testTimeout}
	require.NoError(t, l.Close())
	_, err = c.Append(context.Background(), "s", records("a"))
	requireKind(t, mslog.Unavailable, err)
}

func TestReadBeforeFirstIsExpired(t *testing.T) {
	p := &msstandin.Platform{RetainRecords: 2}
	c := newTestClient(t, p)
	_, err := c.Append(context.Background(), "s", records("a", "b", "c"))
	require.NoError(t, err)
	page, err := c.Read(context.Background(), mslog.Query{Stream: "s"})
	var e *mslog.Error
	require.ErrorAs(t, err, &e)
	require.Equal(t, mslog.Expired, e.Kind)
	require.Equal(t, uint64(1), e.First)
	require.Equal(t, uint64(3), page.End)
	_, err = c.Read(context.Background(), mslog.Query{Stream: "s", From: 4})
	requireKind(t, mslog.Refused, err)
}

func TestLongPollReturnsOnConcurrentAppend(t *testing.T) {
	c := newTestClient(t, &msstandin.Platform{})
	got := make(chan mslog.Page, 1)
	go func() {
		p, _ := c.Read(context.Background(), mslog.Query{Stream: "s", Wait: testTimeout})
		got <- p
	}()
	_, err := c.Append(context.Background(), "s", records("a"))
	require.NoError(t, err)
	require.Equal(t, []string{"a"}, idsOf((<-got).Records))
}

func TestLongPollReturnsEmptyAfterWait(t *testing.T) {
	clock := msclock.NewFake(time.Unix(0, 0))
	p := &msstandin.Platform{Clock: clock}
	entered := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(entered)
		p.ServeHTTP(w, r)
	}))
	defer s.Close()
	c := &mslog.Client{Address: s.Listener.Addr().String(), Timeout: testTimeout}
	errs := make(chan error, 1)
	go func() {
		_, err := c.Read(context.Background(), mslog.Query{Stream: "s", Wait: time.Second})
		errs <- err
	}()
	<-entered
	for {
		clock.Advance(time.Second)
		select {
		case err := <-errs:
			require.NoError(t, err)
			return
		default:
		}
	}
}

// TestTimeoutDropsUnresponsiveConnection checks that a request that follows a
// timeout does not reuse the connection on which the platform stopped
// responding.
func TestTimeoutDropsUnresponsiveConnection(t *testing.T) {
	p := &msstandin.Platform{}
	var unresponsive atomic.Bool
	unresponsive.Store(true)
	entered := make(chan string, 2)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Decided before the test is told, as it may send the next request at once.
		first := unresponsive.Swap(false)
		entered <- r.RemoteAddr
		if first {
			// The server detects a closed connection only after it has read
			// the request body.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		p.ServeHTTP(w, r)
	}))
	defer s.Close()
	clock := msclock.NewFake(time.Unix(0, 0))
	c := &mslog.Client{Address: s.Listener.Addr().String(), Clock: clock, Timeout: time.Second}
	errs := make(chan error, 1)
	go func() {
		_, err := c.Append(context.Background(), "s", records("a"))
		errs <- err
	}()
	unresponsiveAddr := <-entered
	clock.Advance(time.Second)
	err := <-errs
	require.ErrorIs(t, err, mslog.ErrTimeout)
	requireKind(t, mslog.Unknown, err)
	_, err = c.Append(context.Background(), "s", records("a"))
	require.NoError(t, err)
	require.NotEqual(t, unresponsiveAddr, <-entered)
}

// TestTimeoutClosesIdleConnections opens two connections that both become
// unresponsive. After the first timeout, the next request must use a new
// connection instead of waiting for a second timeout.
func TestTimeoutClosesIdleConnections(t *testing.T) {
	p := &msstandin.Platform{}
	var mu sync.Mutex
	unresponsiveAddrs := map[string]bool{}
	seen := map[string]bool{}
	unresponsive := false
	entered := make(chan struct{}, 10)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		seen[r.RemoteAddr] = true
		hang := unresponsive && unresponsiveAddrs[r.RemoteAddr]
		mu.Unlock()
		entered <- struct{}{}
		if hang {
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		p.ServeHTTP(w, r)
	}))
	defer s.Close()
	clock := msclock.NewFake(time.Unix(0, 0))
	c := &mslog.Client{Address: s.Listener.Addr().String(), Clock: clock, Timeout: time.Second}
	ctx := context.Background()
	errs := make(chan error, 1)
	go func() {
		_, err := c.Read(ctx, mslog.Query{Stream: "s", Wait: testTimeout})
		errs <- err
	}()
	<-entered
	_, err := c.Append(ctx, "s", records("a"))
	require.NoError(t, err)
	<-entered
	require.NoError(t, <-errs)
	mu.Lock()
	require.Len(t, seen, 2)
	maps.Copy(unresponsiveAddrs, seen)
	unresponsive = true
	mu.Unlock()
	go func() {
		_, err := c.Append(ctx, "s", records("b"))
		errs <- err
	}()
	<-entered
	clock.Advance(time.Second)
	require.ErrorIs(t, <-errs, mslog.ErrTimeout)
	_, err = c.Append(ctx, "s", records("b"))
	require.NoError(t, err)
}

func TestVMListIsEventuallyConsistent(t *testing.T) {
	clock := msclock.NewFake(time.Unix(0, 0))
	p := &msstandin.Platform{Clock: clock, ListLag: time.Second}
	c := newTestClient(t, p)
	vm := mslog.VM{Name: "cm-01", Address: "127.0.0.1:1", DataCentre: "a", Rack: "r1", Region: "th", State: mslog.VMLive}
	p.PutVM(vm)
	list, err := c.VMs(context.Background())
	require.NoError(t, err)
	require.Empty(t, list)
	clock.Advance(time.Second)
	list, err = c.VMs(context.Background())
	require.NoError(t, err)
	require.Equal(t, []mslog.VM{vm}, list)
	p.RemoveVM("cm-01")
	clock.Advance(time.Second)
	list, err = c.VMs(context.Background())
	require.NoError(t, err)
	require.Empty(t, list)
}

func TestDecodePageRejectsInconsistentPages(t *testing.T) {
	for _, body := range []string{
		`{}`, `null`, `{"first":0}`, `{"first":3,"end":4}`, `{"first":0,"end":2}`, `{"first":0,"end":0}`,
		`{"first":0,"end":2,"records":[{"offset":2,"id":"a"}]}`,
		`{"first":0,"end":3,"records":[{"offset":1,"id":""}]}`,
		`{"first":0,"end":2,"records":[{"offset":1,"id":"a"},{"offset":2,"id":"b"}]}`,
	} {
		_, err := mslog.DecodePage([]byte(body), 1)
		require.Error(t, err, body)
	}
	for _, body := range []string{`{}`, `null`, `{"first":0}`, `{"end":0}`, `{"first":1,"end":1}`} {
		_, err := mslog.DecodePage([]byte(body), 0)
		require.Error(t, err, "the bounds must be present: %s", body)
	}
}

func FuzzDecodePage(f *testing.F) {
	f.Add([]byte(`{"first":0,"end":2,"records":[{"offset":1,"time":"2026-01-01T00:00:00Z","id":"a","data":{}}]}`), uint64(1))
	f.Add([]byte(`{"first":0,"end":18446744073709551615,"records":[]}`), uint64(18446744073709551615))
	f.Fuzz(func(t *testing.T, body []byte, from uint64) {
		p, err := mslog.DecodePage(body, from)
		if err != nil {
			return
		}
		require.LessOrEqual(t, p.First, from)
		require.LessOrEqual(t, p.NextOffset(from), p.End)
		require.GreaterOrEqual(t, p.NextOffset(from), from)
		require.Equal(t, len(p.Records) == 0, from == p.End)
		for i, r := range p.Records {
			require.Equal(t, from+uint64(i), r.Offset)
		}
	})
}
