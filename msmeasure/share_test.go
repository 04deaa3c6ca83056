package msmeasure

import (
	"flag"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

func TestLinePrintsWhatIsMissed(t *testing.T) {
	l := Line{Name: "share-error", Deployment: "kilele", Ours: 0.06, Baseline: 0.6, Seed: 3, Target: 0.05, Cause: "lag"}
	require.Equal(t, `measure share-error deployment=kilele ours=0.06 baseline=0.6 ratio=0.1 seed=3
missed share-error deployment=kilele ours=0.06 target=0.05 seed=3 cause="lag"`, l.String())
	l.Ours = 0.05
	require.NotContains(t, l.String(), "missed")
}

func TestTokensAreNeitherMadeNorLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(0, 50).Draw(t, "total")
		const entries = 4
		tok := newTokens(total, entries)
		t.Repeat(map[string]func(*rapid.T){
			"exchange": func(t *rapid.T) {
				due := rapid.IntRange(0, 30).Draw(t, "due")
				tok.exchange(rapid.IntRange(0, entries-1).Draw(t, "entry"), due, due+rapid.IntRange(0, 30).Draw(t, "more"))
			},
			"use": func(t *rapid.T) {
				e := rapid.IntRange(0, entries-1).Draw(t, "entry")
				tok.used[e] = rapid.IntRange(0, tok.held[e]).Draw(t, "used")
			},
			"": func(t *rapid.T) {
				require.Equal(t, total, tok.free+sum(tok.held))
				require.GreaterOrEqual(t, tok.free, 0)
				for e := range entries {
					require.LessOrEqual(t, tok.used[e], tok.held[e])
					require.LessOrEqual(t, tok.allowed(e), tok.held[e])
				}
			},
		})
	})
}

// twoTeams is a run of one pool of 10 slots with teams of weight 3 and 1.
func twoTeams(reqs []request, outs []outcome) *shareRun {
	r := &shareRun{reqs: reqs, outs: outs, capacity: make([][]int, 1)}
	r.d.Teams = []Team{{Name: "a", Weight: 3, Limit: 100}, {Name: "b", Weight: 1, Limit: 100}}
	for range windowMS / stepMS {
		r.capacity[0] = append(r.capacity[0], 10)
	}
	return r
}

func TestIdealGivesNothingBeforeATeamAsks(t *testing.T) {
	var reqs []request
	for range 10 {
		reqs = append(reqs, request{team: 0, run: 60000, deadline: 60000})
	}
	for range 10 {
		reqs = append(reqs, request{team: 1, arrived: 5000, run: 60000, deadline: 60000})
	}
	outs := make([]outcome, len(reqs))
	for i := range outs {
		outs[i] = outcome{started: -1, ended: -1}
	}
	due, idle := newIdeal(twoTeams(reqs, outs), 0, 0, []float64{100, 100}).run()
	require.InDelta(t, 10*5000+7.5*5000, due[0], 1)
	require.InDelta(t, 2.5*5000, due[1], 1)
	require.Zero(t, idle)
	due, _ = newIdeal(twoTeams(reqs, outs), 0, 0, []float64{4, 100}).run()
	require.InDelta(t, 4*10000, due[0], 1, "held back by its limit")
	require.InDelta(t, 6*5000, due[1], 1, "and the rest goes to the other")
}

func TestShareErrorOfOneTeamThatGotAll(t *testing.T) {
	ws := []window{{team: 0, got: 100, due: 75}, {team: 1, got: 0, due: 25}}
	f := figures(ws)
	require.InDelta(t, (1.0/3+1)/2, f.mean, 1e-9)
	require.InDelta(t, 1, f.worst, 1e-9)
	require.Equal(t, 1, f.worstAt.team)
}

func TestSameSeedSameLines(t *testing.T) {
	d := Lamphun()
	run := func() []window { return runOurs(d, newShareLoad(d, 5, 40).requests(), nil, nil).windows() }
	first := run()
	require.NotEmpty(t, first)
	require.Equal(t, first, run())
}

func TestOursIsNearerThanFIFO(t *testing.T) {
	d := Lamphun()
	reqs := newShareLoad(d, 21, 60).requests()
	ours, naive := runOurs(d, reqs, nil, nil), runNaive(d, reqs)
	a, b := figures(ours.windows()), figures(naive.windows())
	require.Less(t, a.mean, shareTarget)
	require.Less(t, a.mean, b.mean/5)
	for t2, l := range ours.limits {
		require.LessOrEqual(t, l.inUse(), d.Teams[t2].Limit)
	}
}
