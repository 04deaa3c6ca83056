package msentry

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// startEntry serves h, runs an entry in front of it and returns the URL of its queue.
func startEntry(t *testing.T, h http.HandlerFunc) string {
	t.Helper()
	up := httptest.NewServer(h)
	t.Cleanup(up.Close)
	return "http://" + runEntry(t, up.Listener.Addr().String()) + PathQueues + "q"
}

func send(t *testing.T, target, body string, header http.Header) (*http.Response, []byte, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, strings.NewReader(body))
	require.NoError(t, err)
	for k, v := range header {
		req.Header[k] = v
	}
	res, err := benchClient.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = res.Body.Close() }()
	got, err := io.ReadAll(res.Body)
	return res, got, err
}

func TestBrokenAnswerIsNotPassedOffAsWhole(t *testing.T) {
	target := startEntry(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/length":
			w.Header().Set("Content-Length", "100000")
			_, _ = w.Write(make([]byte, 50000))
			panic(http.ErrAbortHandler)
		case "/chunked":
			_, _ = w.Write(make([]byte, 50000))
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
	})
	for _, path := range []string{"/length", "/chunked"} {
		_, _, err := send(t, target+path, "x", nil)
		require.Error(t, err, "truncated upstream response was relayed as complete: %s", path)
	}
}

func TestLateAnswerIsNobodyElses(t *testing.T) {
	var late sync.WaitGroup
	late.Add(1)
	target := startEntry(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if string(body) == "first" {
			late.Wait()
		}
		_, _ = w.Write(body)
	})
	res, _, err := send(t, target+"/x", "first", http.Header{HeaderDeadline: {"200"}})
	require.NoError(t, err)
	require.Equal(t, http.StatusGatewayTimeout, res.StatusCode)
	require.Equal(t, OutcomeUnknown, res.Header.Get(HeaderOutcome))
	late.Done()
	for i := range 20 {
		want := fmt.Sprint("later-", i)
		_, got, err := send(t, target+"/x", want, nil)
		require.NoError(t, err)
		require.Equal(t, want, string(got))
	}
}

func TestAnswersAreNotCrossed(t *testing.T) {
	target := startEntry(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	})
	var wg sync.WaitGroup
	for n := range 16 {
		wg.Go(func() {
			for i := range 20 {
				want := fmt.Sprint(n, "-", i)
				_, got, err := send(t, target+"/x", want, nil)
				if err != nil || string(got) != want {
					t.Errorf("asked %s, got %q, %v", want, got, err)
				}
			}
		})
	}
	wg.Wait()
}

func TestLargeBodiesAreStreamedWhole(t *testing.T) {
	target := startEntry(t, func(w http.ResponseWriter, r *http.Request) {
		// Full duplex lets the request and the response body overlap.
		_ = http.NewResponseController(w).EnableFullDuplex()
		_, _ = io.Copy(w, r.Body)
	})
	sent := bytes.Repeat([]byte("0123456789abcdef"), 1<<19)
	_, got, err := send(t, target+"/x", string(sent), nil)
	require.NoError(t, err)
	require.Equal(t, sha256.Sum256(sent), sha256.Sum256(got))
}

func TestUpstreamHeadersAndStatusArePassedOn(t *testing.T) {
	target := startEntry(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Mine", r.Header.Get("X-Yours")+r.URL.Path+"?"+r.URL.RawQuery)
		if r.URL.Path == "/a/b" {
			w.WriteHeader(http.StatusTeapot)
		}
	})
	res, got, err := send(t, target+"/a/b?c=d", "x", http.Header{"X-Yours": {"hello:"}})
	require.NoError(t, err)
	require.Equal(t, http.StatusTeapot, res.StatusCode)
	require.Equal(t, "hello:/a/b?c=d", res.Header.Get("X-Mine"))
	require.Equal(t, OutcomeAnswered, res.Header.Get(HeaderOutcome))
	require.Empty(t, got)
	require.Empty(t, res.Header.Get("Content-Type"))
}

// A request that breaks each VM that gets it was sent to four of them.
func TestRequestThatBreaksItsVMsIsSentToTwo(t *testing.T) {
	var sent atomic.Int64
	target := startEntry(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/break" {
			sent.Add(1)
			panic(http.ErrAbortHandler)
		}
	})
	res, _, err := send(t, target+"/break", "x", nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, res.StatusCode)
	require.Equal(t, OutcomeUnknown, res.Header.Get(HeaderOutcome))
	require.Equal(t, int64(2), sent.Load())
}
