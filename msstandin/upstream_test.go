package msstandin

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"marjoramspan/msclock"
)

func newUpstream(t testing.TB, u *Upstream) string {
	s := httptest.NewUnstartedServer(u)
	s.Config.ConnContext = u.ConnContext
	s.Config.ConnState = u.ConnState
	s.Start()
	t.Cleanup(s.Close)
	return s.URL
}

func send(t testing.TB, client *http.Client, url, id, body string) *http.Response {
	r, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	require.NoError(t, err)
	r.Header.Set(HeaderRequestID, id)
	r.Header.Set(HeaderTeam, "fitters")
	resp, err := client.Do(r)
	require.NoError(t, err)
	return resp
}

func TestUpstreamEchoesAndKeepsAJournal(t *testing.T) {
	u := &Upstream{Name: "cm-01"}
	url := newUpstream(t, u)
	resp := send(t, http.DefaultClient, url, "r1", "blue")
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, "blue", string(body))
	j := u.ReadJournal()
	require.Len(t, j.Entries, 1)
	require.Equal(t, "r1", j.Entries[0].RequestID)
	require.Equal(t, "fitters", j.Entries[0].Team)
	require.NotNil(t, j.Entries[0].End)
	require.Equal(t, 1, j.MostConnections)
}

func TestUpstreamRefusesAboveItsSlotsAndWhenLeaving(t *testing.T) {
	clock := msclock.NewFake(time.Unix(0, 0))
	u := &Upstream{Slots: 2, Clock: clock, Mode: UpstreamMode{Run: time.Second}}
	url := newUpstream(t, u)
	var wg sync.WaitGroup
	for range 2 {
		wg.Go(func() { send(t, http.DefaultClient, url, "r", "") })
	}
	require.Eventually(t, func() bool { return len(u.ReadJournal().Entries) == 2 }, time.Minute, time.Millisecond)
	resp := send(t, http.DefaultClient, url, "full", "")
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Equal(t, NotRunFull, resp.Header.Get(HeaderNotRun))
	u.SetMode(UpstreamMode{Leaving: true})
	resp = send(t, http.DefaultClient, url, "leaving", "")
	require.Equal(t, NotRunLeaving, resp.Header.Get(HeaderNotRun))
	done := make(chan struct{})
	go func() { wg.Wait(); close(done) }()
	for ended := false; !ended; {
		clock.Advance(time.Second)
		select {
		case <-done:
			ended = true
		default:
		}
	}
	j := u.ReadJournal()
	require.Len(t, j.Entries, 2, "what was refused did not start")
	require.Equal(t, 2, j.MostRunning)
	require.Equal(t, 2, j.Entries[1].Running)
	require.Equal(t, 2, j.Entries[1].TeamRunning)
}

func TestSilentConnectionHangsWhileNewOnesWork(t *testing.T) {
	u := &Upstream{}
	url := newUpstream(t, u)
	old := &http.Client{Transport: &http.Transport{}}
	resp := send(t, old, url, "before", "")
	_, _ = io.Copy(io.Discard, resp.Body)
	u.Silence()
	ctx, cancel := context.WithCancel(context.Background())
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
	require.NoError(t, err)
	errs := make(chan error, 1)
	go func() {
		_, err := old.Do(r)
		errs <- err
	}()
	fresh := &http.Client{Transport: &http.Transport{}}
	require.Equal(t, http.StatusOK, send(t, fresh, url, "after", "").StatusCode)
	cancel()
	require.ErrorIs(t, <-errs, context.Canceled)
	ids := []string{}
	for _, e := range u.ReadJournal().Entries {
		ids = append(ids, e.RequestID)
	}
	require.Equal(t, []string{"before", "after"}, ids)
}

func TestFreezeHoldsStartsAndEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &Upstream{Mode: UpstreamMode{Run: time.Second}}
		began := time.Now()
		ask := func() {
			u.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/quote", nil))
		}
		go ask()
		synctest.Wait()
		u.Freeze(2 * time.Second)
		go ask()
		synctest.Wait()
		require.Len(t, u.ReadJournal().Entries, 1)
		time.Sleep(4 * time.Second)
		synctest.Wait()
		es := u.ReadJournal().Entries
		require.Len(t, es, 2)
		require.Equal(t, 2*time.Second, es[0].End.Sub(began))
		require.Equal(t, 2*time.Second, es[1].Start.Sub(began))
	})
}

func TestModeChangesOnlyWhatItNames(t *testing.T) {
	u := &Upstream{Mode: UpstreamMode{Run: time.Second, ErrorRate: 0.5}}
	w := httptest.NewRecorder()
	u.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/standin/mode", strings.NewReader(`{"leaving":true,"spread-ms":5}`)))
	require.Equal(t, http.StatusNoContent, w.Code)
	want := UpstreamMode{Run: time.Second, ErrorRate: 0.5, Leaving: true, Spread: 5 * time.Millisecond}
	require.Equal(t, want, u.mode)
}
