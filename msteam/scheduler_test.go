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

// naiveLine is the waiting line written as plainly as can be: a slice in order
// of arrival.
type naiveLine []Waiter

func (l naiveLine) count(keep func(Waiter) bool) int {
	n := 0
	for _, w := range l {
		if keep(w) {
			n++
		}
	}
	return n
}

func (l *naiveLine) remove(id uint64) bool {
	for i, w := range *l {
		if w.ID == id {
			*l = append((*l)[:i:i], (*l)[i+1:]...)
			return true
		}
	}
	return false
}

// first returns the waiter of team that is due: urgent first, then by arrival.
func (l naiveLine) first(team string) uint64 {
	var id uint64
	for _, w := range l {
		if w.Team == team && w.Urgent {
			return w.ID
		}
		if w.Team == team && id == 0 {
			id = w.ID
		}
	}
	return id
}

func (l *naiveLine) expire(now time.Time) []uint64 {
	var ids []uint64
	for _, w := range append(naiveLine{}, *l...) {
		if !w.Deadline.IsZero() && now.After(w.Deadline) {
			l.remove(w.ID)
			ids = append(ids, w.ID)
		}
	}
	return ids
}

func TestLineAgainstNaive(t *testing.T) {
	teams := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		s := &Scheduler{Late: true}
		var naive naiveLine
		var running []string
		now, id := epoch, uint64(0)
		var gone []uint64 // expired, not yet returned
		expire := func() { gone = append(gone, naive.expire(now)...) }
		collect := func() {
			var got []uint64
			for _, w := range s.Expired(now) {
				got = append(got, w.ID)
			}
			expire()
			require.ElementsMatch(t, gone, got, "expired")
			gone = nil
		}
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				id++
				w := Waiter{ID: id, Team: rapid.SampledFrom(teams).Draw(t, "team"), Urgent: rapid.Bool().Draw(t, "urgent"), Arrived: now}
				if rapid.Bool().Draw(t, "bounded") {
					w.Deadline = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
				}
				require.NoError(t, s.Add(w, now))
				naive = append(naive, w)
			},
			"remove": func(t *rapid.T) {
				leaver := rapid.Uint64Range(1, id+1).Draw(t, "id")
				there := slices.Contains(gone, leaver) || naive.remove(leaver)
				gone = slices.DeleteFunc(gone, func(id uint64) bool { return id == leaver })
				require.Equal(t, there, s.Remove(leaver))
			},
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			},
			"expired": func(*rapid.T) { collect() },
			"next": func(t *rapid.T) {
				barred := rapid.SampledFrom(append(teams, "")).Draw(t, "barred")
				may := func(team string) bool { return team != barred }
				expire()
				able := naive.count(func(w Waiter) bool { return may(w.Team) })
				w, ok := s.Next(now, may)
				require.Equal(t, able > 0, ok, "work-conserving")
				if !ok {
					return
				}
				require.True(t, may(w.Team), "started without a limit token")
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
