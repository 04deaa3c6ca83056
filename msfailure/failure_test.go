package msfailure

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjoramspan/mslog"
	"marjoramspan/msoperator"
	"marjoramspan/msrule"
	"marjoramspan/msstandin"
)

func TestKilledEntryIsReplaced(t *testing.T) {
	s := newSite(t, 3)
	s.load(1500, 250, func() {
		pause(time.Second)
		s.entries[0].kill()
		pause(time.Second)
		s.start(s.entries[0])
		s.awaitReady(s.entries[0])
		s.entries[1].kill()
		s.entries[2].kill()
		s.start(s.entries[1])
		s.start(s.entries[2])
	})
	s.judge()
}

func TestFrozenEntryStartsNothingOnOldRules(t *testing.T) {
	s := newSite(t, 3)
	frozen := s.entries[0]
	s.load(2000, 250, func() {
		pause(time.Second)
		frozen.signal(syscall.SIGSTOP)
		pause(time.Second)
		_, err := s.operator.WithdrawKey(t.Context(), "key-b")
		require.NoError(t, err)
		pause(5 * time.Second)
		frozen.signal(syscall.SIGCONT)
		status, outcome := s.ask(frozen, "quote", s.secrets["b"], "after")
		require.NotEqual(t, http.StatusOK, status, "a withdrawn key works on an entry that was frozen: %s", outcome)
	})
	s.awaitReady(frozen)
	status, _ := s.ask(frozen, "quote", s.secrets["b"], "later")
	require.Equal(t, http.StatusUnauthorized, status)
	s.judge()
}

func TestLogOutageWhileAnEntryIsKilled(t *testing.T) {
	s := newSite(t, 3)
	s.load(2500, 250, func() {
		pause(3 * time.Second)
		s.platform.SetFault(msstandin.Fault{Mode: msstandin.FaultDown})
		pause(2 * time.Second)
		s.entries[0].kill()
		pause(2 * time.Second)
		s.start(s.entries[0])
		pause(time.Second)
		s.platform.SetFault(msstandin.Fault{})
		s.awaitReady(s.entries[0])
	})
	s.judge()
}

func TestLostAnswersOfTheLog(t *testing.T) {
	s := newSite(t, 3)
	s.load(1500, 250, func() {
		s.platform.SetFault(msstandin.Fault{Mode: msstandin.FaultLoseAnswers, Rate: 0.5, Seed: 1})
		pause(time.Second)
		k, err := s.operator.GiveKey(t.Context(), "key-extra", "a", "test")
		require.NoError(t, err)
		pause(time.Second)
		_, err = s.operator.WithdrawKey(t.Context(), k.ID)
		require.NoError(t, err)
		pause(2 * time.Second)
		s.platform.SetFault(msstandin.Fault{})
	})
	entries, err := s.operator.Audit(t.Context())
	require.NoError(t, err)
	gives := 0
	for _, e := range entries {
		if e.Outcome.Accepted && strings.Contains(string(e.Outcome.Change.Body), "key-extra") {
			gives++
		}
	}
	require.Equal(t, 2, gives, "given once and withdrawn once")
	s.judge()
}

func TestSilentConnections(t *testing.T) {
	s := newSite(t, 3)
	s.load(1500, 250, func() {
		for range 4 {
			pause(time.Second)
			for _, u := range s.upstreams {
				u.Silence()
			}
		}
	})
	v := s.judge()
	require.Greater(t, v.Answered, v.Asked/2, "new connections work and must be used")
}

func TestLeavingUpstreamWhileAnotherIsFrozen(t *testing.T) {
	s := newSite(t, 3)
	s.load(1500, 250, func() {
		pause(time.Second)
		s.upstreams[0].SetMode(msstandin.UpstreamMode{Run: 10 * time.Millisecond, Leaving: true})
		s.upstreams[3].Freeze(2 * time.Second)
		pause(5 * time.Second)
	})
	before := s.upstreams[0].ReadJournal().RefusedLeaving
	s.load(300, 250, func() {})
	require.LessOrEqual(t, s.upstreams[0].ReadJournal().RefusedLeaving, before+len(s.entries), "a leaving upstream is still tried")
	s.judge()
}

func TestRollingStopCutsNothing(t *testing.T) {
	s := newSite(t, 3)
	s.load(3000, 250, func() {
		for _, e := range s.entries {
			e.signal(syscall.SIGTERM)
			e.end()
			s.start(e)
			s.awaitReady(e)
		}
	})
	v := s.judge()
	require.Zero(t, v.Unknown, "a planned stop cut a request")
	state, err := s.operator.State(t.Context())
	require.NoError(t, err)
	require.Empty(t, state.Lost, "an entry that stopped gracefully counts as lost")
}

func TestLoweredLimitHolds(t *testing.T) {
	s := newSite(t, 3)
	for _, u := range s.upstreams {
		u.SetMode(msstandin.UpstreamMode{Run: 100 * time.Millisecond, Seed: 1})
	}
	s.load(800, 200, func() {
		pause(time.Second)
		s.publish(strings.Replace(siteRules, "limit=9", "limit=3", 1))
		s.inForce()
	})
	s.judge()
	// All that ran at the old limit has ended.
	s.records = nil
	fresh := make([]msstandin.Journal, 0, len(s.upstreams))
	seen := make([]int, len(s.upstreams))
	for i, u := range s.upstreams {
		seen[i] = len(u.ReadJournal().Entries)
	}
	s.limits["a"] = 3
	s.load(400, 200, func() {})
	for i, u := range s.upstreams {
		j := u.ReadJournal()
		j.Entries = j.Entries[seen[i]:]
		fresh = append(fresh, j)
	}
	v := msstandin.Judge{Limits: s.limits, Records: s.records, Journals: fresh}.Verdict()
	t.Log(v)
	require.NoError(t, v.Err())
}

func TestLateJoinerBootsFromSnapshot(t *testing.T) {
	s := newSite(t, 2)
	before, err := s.operator.State(t.Context())
	require.NoError(t, err)
	client := &mslog.Client{Address: s.address}
	strange := make([]mslog.Record, 1000)
	for i := range strange {
		strange[i] = mslog.Record{ID: fmt.Sprint("strange-", i), Data: []byte(`{"kind":"strange"}`)}
	}
	_, err = client.Append(t.Context(), "state", strange)
	require.NoError(t, err)
	var at uint64
	require.Eventually(t, func() bool {
		state, err := s.operator.State(t.Context())
		if err != nil || state.SnapshotAt < before.Next+1000 {
			return false
		}
		at = state.SnapshotAt - 1
		return true
	}, patience, 100*time.Millisecond, "no snapshot was written")
	s.platform.Retain("state", at)
	late := s.newEntry("entry-late")
	s.entries = append(s.entries, late)
	s.start(late)
	s.awaitReady(late)
	status, _ := s.ask(late, "run", s.secrets["a"], "on-late")
	require.Equal(t, http.StatusOK, status)
	after, err := s.operator.State(t.Context())
	require.NoError(t, err)
	require.Equal(t, before.Rules, after.Rules)

	s.platform.Retain("state", after.Next)
	_, err = s.operator.State(t.Context())
	require.ErrorContains(t, err, "no snapshot joins up", "a gap must be an error, never an empty state")
}

func TestRacingOperators(t *testing.T) {
	s := newSite(t, 2)
	s.platform.SetFault(msstandin.Fault{Mode: msstandin.FaultLoseAnswers, Rate: 0.3, Seed: 2})
	state, err := s.operator.State(t.Context())
	require.NoError(t, err)
	const racers = 8
	errs := make([]error, racers)
	var wg sync.WaitGroup
	for i := range racers {
		wg.Go(func() {
			text := strings.Replace(siteRules, "limit=9", fmt.Sprint("limit=", 20+i), 1)
			rules, err := msrule.Parse("race", strings.NewReader(text))
			if err != nil {
				errs[i] = err
				return
			}
			rules.Keys = state.Rules.Keys
			o := &msoperator.Operator{Log: &mslog.Client{Address: s.address}, By: fmt.Sprint("op-", i), Jitter: func() float64 { return 0 }}
			_, errs[i] = o.Publish(context.Background(), rules, state.RulesVersion)
		})
	}
	wg.Wait()
	s.platform.SetFault(msstandin.Fault{})
	won := -1
	for i, err := range errs {
		if err == nil {
			require.Equal(t, -1, won, "two operators were told accepted for one version")
			won = i
			continue
		}
		var oe *msoperator.Error
		require.True(t, errors.As(err, &oe), err)
		require.Equal(t, msoperator.Rejected, oe.Kind, err)
		require.Contains(t, err.Error(), "was first")
	}
	require.GreaterOrEqual(t, won, 0, "nobody won")
	after, err := s.operator.State(t.Context())
	require.NoError(t, err)
	require.Equal(t, 20+won, after.Rules.Teams[0].Limit)
}
