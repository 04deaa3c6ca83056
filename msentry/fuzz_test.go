package msentry

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjoramspan/msrule"
	"marjoramspan/mssetting"
	"marjoramspan/msstate"
)

// newIdleEntry returns a fresh entry with rules and without VMs.
func newIdleEntry(t testing.TB) *Entry {
	t.Helper()
	e := &Entry{Settings: mssetting.Defaults()}
	e.Settings.Entry.Name = "e"
	e.prepare()
	origin := msrule.Origin{AskedBy: "test"}
	rules := msrule.Set{
		Pools: []msrule.Pool{{Name: "p", Size: 1, Slots: 8, Connections: 64, Origin: origin}},
		Teams: []msrule.Team{{Name: "t", Share: 1, Limit: 5, Origin: origin}},
		Queues: []msrule.Queue{
			{Name: "open", Pool: "p", Teams: []string{"t"}, Open: true, Idempotent: true, Deadline: time.Second, Origin: origin},
			{Name: "keyed", Pool: "p", Teams: []string{"t"}, Deadline: time.Second, Origin: origin},
		},
		Keys: []msrule.Key{{ID: "k", Team: "t", Digest: msrule.Digest("ms_secret"), Origin: origin}},
	}
	s := &msstate.State{Rules: rules, Members: []msstate.Member{{ID: e.id, Name: "e"}}, Epoch: 1}
	now := e.now()
	e.fold.start(s)
	e.view.SetState(s, now)
	e.view.RecordLogRead(now, 0)
	e.applyTables(e.fold.tables(), now)
	e.joined.Store(true)
	return e
}

// FuzzCaller sends arbitrary caller requests to an entry without VMs. Each request gets
// exactly one outcome, none is answered, and the account agrees.
func FuzzCaller(f *testing.F) {
	f.Add("POST", "/v1/queues/open/x", "", "", "", "body")
	f.Add("POST", "/v1/queues/keyed/x?y=z", "Bearer ms_secret", "key-1", "250", "")
	f.Add("GET", "/v1/queues/keyed", "Bearer", "", "-1", "")
	f.Add("PUT", "/v1/queues//../keyed/%2e", "Basic x", "k", "9999999999999999999", "b")
	f.Fuzz(func(t *testing.T, method, path, auth, key, deadline, body string) {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Millisecond)
		defer cancel()
		r, err := http.NewRequestWithContext(ctx, method, "http://entry"+path, strings.NewReader(body))
		if err != nil || !strings.HasPrefix(r.URL.Path, PathQueues) {
			t.Skip("not a request")
		}
		r.Header = http.Header{"Authorization": {auth}, HeaderIdempotencyKey: {key}, HeaderDeadline: {deadline}}
		e := newIdleEntry(t)
		w := httptest.NewRecorder()
		e.ServeHTTP(w, r)
		require.Contains(t, []string{OutcomeNotRun, OutcomeUnknown, OutcomeDuplicate}, w.Header().Get(HeaderOutcome))
		require.NotEmpty(t, w.Header().Get(HeaderReason))
		require.GreaterOrEqual(t, w.Code, http.StatusBadRequest)
		var reply failureBody
		require.NoError(t, json.Unmarshal(w.Body.Bytes(), &reply))
		require.Equal(t, w.Header().Get(HeaderOutcome), reply.Outcome)
		got := e.account.Totals()
		require.Zero(t, got.Open)
		require.Zero(t, got.Answered)
		require.Equal(t, 1, got.Refused+got.Unknown)
	})
}

func TestStaleEntryAdmitsNothing(t *testing.T) {
	e := newIdleEntry(t)
	e.view.Lease = -time.Second
	w := httptest.NewRecorder()
	e.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/queues/open/x", nil))
	require.Equal(t, "stale", w.Header().Get(HeaderReason))
	require.Equal(t, OutcomeNotRun, w.Header().Get(HeaderOutcome))
}
