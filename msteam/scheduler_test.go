package msteam

import (
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_000_000, 0)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

// naiveQueue is a reference implementation of the wait queue: a slice in order of
// arrival.
type naiveQueue []Waiter

func (q naiveQueue) count(match func(Waiter) bool) int {
	n := 0
	for _, w := range q {
		if match(w) {
			n++
		}
	}
	return n
}

func (q *naiveQueue) remove(id uint64) bool {
	for i, w := range *q {
		if w.ID == id {
			*q = append((*q)[:i:i], (*q)[i+1:]...)
			return true
		}
	}
	return false
}

// first returns the waiter of team to start next: urgent first, then by arrival.
func (q naiveQueue) first(team string) uint64 {
	var id uint64
	for _, w := range q {
		if w.Team == team && w.Urgent {
			return w.ID
		}
		if w.Team == team && id == 0 {
			id = w.ID
		}
	}
	return id
}

func (q *naiveQueue) expire(now time.Time) []uint64 {
	var ids []uint64
	for _, w := range append(naiveQueue{}, *q...) {
		if !w.Deadline.IsZero() && now.After(w.Deadline) {
			q.remove(w.ID)
			ids = append(ids, w.ID)
		}
	}
	return ids
}

func TestWaitQueueAgainstNaive(t *testing.T) {
	teams := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		s := &Scheduler{AdmitLate: true}
		var naive naiveQueue
		var running []string
		now, id := epoch, uint64(0)
		var expired []uint64 // expired, not yet returned
		expire := func() { expired = append(expired, naive.expire(now)...) }
		collect := func() {
			var got []uint64
			for _, w := range s.Expired(now) {
				got = append(got, w.ID)
			}
			expire()
			require.ElementsMatch(t, expired, got, "expired")
			expired = nil
		}
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				id++
				w := Waiter{ID: id, Team: rapid.SampledFrom(teams).Draw(t, "team"), Urgent: rapid.Bool().Draw(t, "urgent"), Arrived: now}
				if rapid.Bool().Draw(t, "has deadline") {
					w.Deadline = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
				}
				require.NoError(t, s.Add(w, now))
				naive = append(naive, w)
			},
			"remove": func(t *rapid.T) {
				removedID := rapid.Uint64Range(1, id+1).Draw(t, "id")
				present := slices.Contains(expired, removedID) || naive.remove(removedID)
				expired = slices.DeleteFunc(expired, func(id uint64) bool { return id == removedID })
				require.Equal(t, present, s.Remove(removedID))
			},
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			},
			"expired": func(*rapid.T) { collect() },
			"next": func(t *rapid.T) {
				blocked := rapid.SampledFrom(append(teams, "")).Draw(t, "blocked team")
				hasLimitToken := func(team string) bool { return team != blocked }
				expire()
				startable := naive.count(func(w Waiter) bool { return hasLimitToken(w.Team) })
				w, ok := s.Next(now, hasLimitToken)
				require.Equal(t, startable > 0, ok, "work-conserving")
				if !ok {
					return
				}
				require.True(t, hasLimitToken(w.Team), "started without a limit token")
				require.Equal(t, naive.first(w.Team), w.ID, "order in the team")
				naive.remove(w.ID)
				s.Started(w.Team, now)
				running = append(running, w.Team)
			},
			"end": func(t *rapid.T) {
				if len(running) == 0 {
					return
				}
				s.Ended(running[0], time.Millisecond, now)
				running = running[1:]
			},
			"": func(t *rapid.T) {
				if len(naive) == 0 {
					collect()
				}
				for _, team := range teams {
					require.Equal(t, naive.count(func(w Waiter) bool { return w.Team == team }), s.Waiting(team))
				}
			},
		})
	})
}
