package msstandin

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func at(ms int64) time.Time {
	return time.UnixMilli(ms)
}

func ran(id, key string, from, to int64) JournalEntry {
	e := JournalEntry{RequestID: id, Team: "t", Key: key, Start: at(from)}
	if to > 0 {
		end := at(to)
		e.End = &end
	}
	return e
}

// sound returns records and a journal without a breach.
func sound() Judge {
	return Judge{
		Limits: map[string]int{"t": 1},
		Asked:  4,
		Records: []CallerRecord{
			{ID: "a", Key: "ka", Team: "t", Outcome: OutcomeAnswered, Whole: true},
			{ID: "b", Team: "t", Outcome: OutcomeAnswered, Whole: true},
			{ID: "c", Key: "kc", Team: "t", Outcome: OutcomeRefused},
			{ID: "d", Key: "kd", Team: "t", Outcome: OutcomeUnknown},
		},
		Journals: []Journal{
			{Slots: 8, MostRunning: 1, Entries: []JournalEntry{ran("a", "ka", 10, 20), ran("b", "", 20, 30)}},
			{Slots: 8, MostRunning: 1, Entries: []JournalEntry{ran("d", "kd", 30, 40)}},
		},
	}
}

func TestJudgeFindsNothingWhereNothingIsWrong(t *testing.T) {
	v := sound().Verdict()
	require.Equal(t, "demo: asked=4 answered=2 refused=1 unknown=1 doubled=0 lost=0 false-not-run=0 over-limit=0", v.String())
	require.NoError(t, v.Err())
}

func TestJudgeFindsEachBreach(t *testing.T) {
	start := func(j *Judge, e JournalEntry) { j.Journals[1].Entries = append(j.Journals[1].Entries, e) }
	for name, c := range map[string]struct {
		harm func(j *Judge)
		want Verdict
	}{
		"key started twice":        {func(j *Judge) { start(j, ran("z", "ka", 50, 60)) }, Verdict{Doubled: 1}},
		"started twice, no key":    {func(j *Judge) { start(j, ran("d", "", 50, 60)) }, Verdict{Doubled: 1}},
		"not whole":                {func(j *Judge) { j.Records[0].Whole = false }, Verdict{Lost: 1}},
		"no upstream finished it":  {func(j *Judge) { j.Journals[0].Entries[1].End = nil; j.Limits["t"] = 2 }, Verdict{Lost: 1}},
		"no upstream started it":   {func(j *Judge) { j.Journals = j.Journals[1:] }, Verdict{Lost: 2}},
		"refused and started":      {func(j *Judge) { start(j, ran("c", "kc", 50, 60)) }, Verdict{FalseNotRun: 1}},
		"over the limit":           {func(j *Judge) { start(j, ran("e", "", 39, 60)) }, Verdict{OverLimit: 1}},
		"over the limit, no end":   {func(j *Judge) { j.Journals[1].Entries[0].End = nil; start(j, ran("e", "", 50, 60)) }, Verdict{OverLimit: 1}},
		"a record is missing":      {func(j *Judge) { j.Records = j.Records[:3] }, Verdict{Unaccounted: 1}},
		"a record stands twice":    {func(j *Judge) { j.Records = append(j.Records, j.Records[3]) }, Verdict{Unaccounted: 1}},
		"a record has no outcome":  {func(j *Judge) { j.Records[3].Outcome = "" }, Verdict{Unaccounted: 1}},
		"an upstream over slots":   {func(j *Judge) { j.Journals[0].MostRunning = 9 }, Verdict{OverSlots: 1}},
		"same key of another team": {func(j *Judge) { e := ran("z", "ka", 10, 20); e.Team = "u"; start(j, e) }, Verdict{}},
	} {
		t.Run(name, func(t *testing.T) {
			j := sound()
			c.harm(&j)
			got := j.Verdict()
			require.Equal(t, c.want == Verdict{}, got.Err() == nil)
			got.Asked, got.Answered, got.Refused, got.Unknown = 0, 0, 0, 0
			require.Equal(t, c.want, got)
		})
	}
}

// TestOverLimitIsTheNaiveCount compares the sweep with a count at every start.
func TestOverLimitIsTheNaiveCount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j := Judge{Limits: map[string]int{"t": rapid.IntRange(1, 3).Draw(t, "limit")}}
		for range rapid.IntRange(1, 3).Draw(t, "upstreams") {
			var l Journal
			for range rapid.IntRange(0, 6).Draw(t, "entries") {
				from := rapid.Int64Range(1, 20).Draw(t, "from")
				to := rapid.SampledFrom([]int64{0, from + 1, from + 3, from + 9}).Draw(t, "to")
				l.Entries = append(l.Entries, ran("r", "", from, to))
			}
			j.Journals = append(j.Journals, l)
		}
		want := 0
		for ms := range int64(40) {
			n := 0
			for _, l := range j.Journals {
				for _, e := range l.Entries {
					if !e.Start.After(at(ms)) && (e.End == nil || e.End.After(at(ms))) {
						n++
					}
				}
			}
			want = max(want, n-j.Limits["t"])
		}
		require.Equal(t, want, j.Verdict().OverLimit)
	})
}

// entry answers every third request as not run and every fourth as unknown, and
// passes the others to u.
func entry(u http.Handler) http.Handler {
	var mu sync.Mutex
	n := 0
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		n++
		turn := n % 4
		mu.Unlock()
		switch turn {
		case 2:
			w.Header().Set(HeaderOutcome, "not-run")
			w.Header().Set(HeaderReason, "line-full")
			w.WriteHeader(http.StatusTooManyRequests)
			return
		case 3:
			u.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		r.Header.Set(HeaderTeam, "t")
		w.Header().Set(HeaderOutcome, "answered")
		u.ServeHTTP(w, r)
	})
}

func TestCallersAndUpstreamAgree(t *testing.T) {
	u := &Upstream{Slots: 100}
	s := httptest.NewServer(entry(u))
	defer s.Close()
	gone := httptest.NewServer(nil)
	gone.Close()
	p := Plan{
		Seed: 1, Requests: 200, Concurrency: 8, PauseMS: 1,
		Entries: []string{s.Listener.Addr().String(), gone.Listener.Addr().String()},
		Teams:   []PlanTeam{{Name: "t", Secret: "s", Limit: 8, Queues: []string{"quote", "booth"}}},
		Queues:  []PlanQueue{{Name: "quote", Idempotent: true, BodyBytes: 100}, {Name: "booth"}},
	}
	var rs []CallerRecord
	c := &Callers{Plan: p, Record: func(r CallerRecord) error { rs = append(rs, r); return nil }}
	require.NoError(t, c.Run(context.Background()))
	j := Judge{Asked: 200, Limits: map[string]int{"t": 8}, Records: rs, Journals: []Journal{u.ReadJournal()}}
	v := j.Verdict()
	require.NoError(t, v.Err())
	require.Equal(t, 200, v.Answered+v.Refused+v.Unknown)
	require.Positive(t, v.Answered)
	require.Positive(t, v.Unknown)
	retried := 0
	for _, r := range rs {
		require.Equal(t, r.Queue == "booth", r.Key != "")
		if r.Outcome == OutcomeUnknown {
			require.NotEmpty(t, r.Reason)
		}
		if r.Tries > 1 {
			retried++
		}
	}
	require.Positive(t, retried)
}

// TestCallersSendAnUnknownRequestOnce lets a reused connection break after the
// request was read, which Go's transport takes for a reason to send again.
func TestCallersSendAnUnknownRequestOnce(t *testing.T) {
	var mu sync.Mutex
	seen := map[string]int{}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		mu.Lock()
		seen[r.Header.Get(HeaderRequestID)]++
		n := len(seen)
		mu.Unlock()
		if n%2 == 0 {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set(HeaderOutcome, "answered")
		_, _ = w.Write(body)
	}))
	defer s.Close()
	p := Plan{
		Requests: 20, Concurrency: 1, Entries: []string{s.Listener.Addr().String()},
		Teams:  []PlanTeam{{Name: "t", Limit: 1, Queues: []string{"booth"}}},
		Queues: []PlanQueue{{Name: "booth"}},
	}
	require.NoError(t, (&Callers{Plan: p}).Run(context.Background()))
	mu.Lock()
	defer mu.Unlock()
	require.Len(t, seen, 20)
	for id, n := range seen {
		require.Equal(t, 1, n, id)
	}
}

// TestResentRequestStaysUnknown lets the first try be lost and the second be
// refused: the refusal must not settle the first.
func TestResentRequestStaysUnknown(t *testing.T) {
	for outcome, want := range map[string]Outcome{"not-run": OutcomeUnknown, "duplicate": OutcomeUnknown, "answered": OutcomeAnswered} {
		keys := make(chan string, 10)
		first := true
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			keys <- r.Header.Get(HeaderKey)
			_, _ = io.Copy(io.Discard, r.Body)
			if first {
				first = false
				panic(http.ErrAbortHandler)
			}
			w.Header().Set(HeaderOutcome, outcome)
		}))
		p := Plan{
			Requests: 1, PauseMS: 1, Tries: 4, ResendUnknown: true, Entries: []string{s.Listener.Addr().String()},
			Teams:  []PlanTeam{{Name: "t", Limit: 1, Queues: []string{"booth"}}},
			Queues: []PlanQueue{{Name: "booth"}},
		}
		var got CallerRecord
		c := &Callers{Plan: p, Record: func(r CallerRecord) error { got = r; return nil }}
		require.NoError(t, c.Run(context.Background()))
		s.Close()
		require.Equal(t, want, got.Outcome, outcome)
		require.Len(t, keys, got.Tries)
		require.Equal(t, outcome == "not-run", got.Tries == 4)
		require.Equal(t, <-keys, <-keys, "the same key again")
	}
}

// TestAnswersThatAreNotThisOne lets the answer break off, and be another's.
func TestAnswersThatAreNotThisOne(t *testing.T) {
	for body, want := range map[string]CallerRecord{
		"t-0-0\n":        {Outcome: OutcomeAnswered, Whole: true},
		"t-0-1\n":        {Outcome: OutcomeAnswered, Whole: false},
		"t-0-0\n broken": {Outcome: OutcomeUnknown, Whole: false},
	} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			w.Header().Set(HeaderOutcome, "answered")
			text, broken := strings.CutSuffix(body, " broken")
			_, _ = io.WriteString(w, text)
			if broken {
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}
		}))
		p := Plan{
			Requests: 1, Entries: []string{s.Listener.Addr().String()},
			Teams:  []PlanTeam{{Name: "t", Limit: 1, Queues: []string{"booth"}}},
			Queues: []PlanQueue{{Name: "booth"}},
		}
		var got CallerRecord
		c := &Callers{Plan: p, Record: func(r CallerRecord) error { got = r; return nil }}
		require.NoError(t, c.Run(context.Background()))
		s.Close()
		require.Equal(t, want.Outcome, got.Outcome, body)
		require.Equal(t, want.Whole, got.Whole, body)
	}
}

func TestPlanNamesWhatItLacks(t *testing.T) {
	err := Plan{Teams: []PlanTeam{{Name: "t", Limit: 1, Queues: []string{"no"}}}}.Check()
	for _, s := range []string{"requests", "entries", "unknown queue no"} {
		require.ErrorContains(t, err, s)
	}
}
