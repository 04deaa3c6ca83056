package mstoken

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fleet is a set of ledgers in one view with a network that loses nothing.
type fleet struct {
	ids     []string
	ledgers []*Ledger
	now     time.Time
	items   int
}

func newFleet(ids ...string) *fleet {
	f := &fleet{ids: ids, now: start}
	for _, id := range ids {
		f.ledgers = append(f.ledgers, &Ledger{Self: id, Reclaim: time.Minute})
	}
	f.turn(View{Epoch: 1, Members: ids})
	return f
}

func (f *fleet) turn(v View) {
	for _, l := range f.ledgers {
		l.Turn(v, f.now)
	}
}

func (f *fleet) setTotal(resource string, total int, version uint64) {
	for _, l := range f.ledgers {
		l.SetTotal(resource, total, version, f.now)
	}
}

// round lets d pass and every ledger exchange once with the others.
func (f *fleet) round(d time.Duration) {
	f.now = f.now.Add(d)
	for _, l := range f.ledgers {
		for _, b := range l.Outgoing(f.now) {
			f.items += len(b.Items)
			to := f.by(b.To)
			if to == nil {
				l.Expire(b.To, b.Items, f.now)
				continue
			}
			l.HandleGifts(b.To, to.HandleExchange(l.Self, b.Items, f.now), f.now)
		}
	}
}

func (f *fleet) rounds(n int, d time.Duration) {
	for range n {
		f.round(d)
	}
}

func (f *fleet) by(id string) *Ledger {
	for _, l := range f.ledgers {
		if l.Self == id {
			return l
		}
	}
	return nil
}

// split returns the home of resource and the other ledgers.
func (f *fleet) split(resource string) (*Ledger, []*Ledger) {
	home := Home(f.ids, resource)
	var others []*Ledger
	for _, l := range f.ledgers {
		if l.Self != home {
			others = append(others, l)
		}
	}
	return f.by(home), others
}

func TestZeroLedgerStartsNothing(t *testing.T) {
	var l Ledger
	require.False(t, l.Take("x"))
	l.SetTotal("x", 3, 1, start)
	require.False(t, l.Take("x"))
	require.Empty(t, l.Outgoing(start))
}

func TestHomeAloneLendsItself(t *testing.T) {
	f := newFleet("a")
	f.setTotal("x", 2, 1)
	l := f.ledgers[0]
	require.True(t, l.Take("x"))
	require.True(t, l.Take("x"))
	require.False(t, l.Take("x"))
	l.Release("x", f.now)
	require.True(t, l.Take("x"))
}

func TestHolderGetsWhatItWantsAndReturnsItIdle(t *testing.T) {
	f := newFleet("a", "b", "c")
	f.setTotal("x", 4, 1)
	f.rounds(2, 20*time.Millisecond)
	home, others := f.split("x")
	require.Equal(t, 4, home.Counts("x").Free)
	others[0].Want("x", 3)
	f.round(20 * time.Millisecond)
	require.Equal(t, 3, others[0].Counts("x").Idle)
	require.Equal(t, 1, home.Counts("x").Free)
	f.rounds(200, 20*time.Millisecond)
	require.Equal(t, 0, others[0].Counts("x").Held)
	require.Equal(t, 4, home.Counts("x").Free)
	items := f.items
	f.rounds(1000, 20*time.Millisecond)
	require.Equal(t, items, f.items, "a settled resource costs nothing")
}

func TestEveryHolderWithDemandMakesProgress(t *testing.T) {
	for _, total := range []int{1, 3, 8} {
		f := newFleet("a", "b", "c", "d", "e", "f", "g", "h")
		f.setTotal("x", total, 1)
		started := make([]int, len(f.ledgers))
		for range 1000 {
			for i, l := range f.ledgers {
				if l.Counts("x").Running > 0 {
					l.Release("x", f.now)
				}
				for l.Take("x") {
					started[i]++
				}
				l.Want("x", 8)
			}
			f.round(20 * time.Millisecond)
		}
		for i, n := range started {
			require.Greater(t, n, 20, "holder %d of total %d: %v", i, total, started)
		}
		t.Log(total, started, f.items)
	}
}
