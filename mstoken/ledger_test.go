package mstoken

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// settled returns a world at rest, the home of x and the other nodes.
func settled(members int) (*world, *node, []*node) {
	w := newWorld(members)
	w.heal(20)
	var others []*node
	home := w.node(Home(w.members(), "x"))
	for _, n := range w.nodes {
		if n != home {
			others = append(others, n)
		}
	}
	return w, home, others
}

// want has n ask for count tokens of x, and one round pass.
func (w *world) want(n *node, count int) {
	n.l.Want("x", count)
	w.heal(1)
}

func (w *world) foldAll() {
	for _, n := range w.nodes {
		w.fold(n, len(w.log))
	}
}

func TestZeroLedgerStartsNothing(t *testing.T) {
	var l Ledger
	require.False(t, l.Take("x"))
	l.SetTotal("x", 3, 1, start)
	require.False(t, l.Take("x"))
	require.Empty(t, l.Outgoing(start))
}

func TestHomeAloneLendsItself(t *testing.T) {
	w, home, _ := settled(1)
	for range 3 {
		require.True(t, home.l.Take("x"))
	}
	require.False(t, home.l.Take("x"))
	home.l.Release("x", w.now)
	require.True(t, home.l.Take("x"))
}

func TestHolderGetsWhatItWantsAndReturnsItIdle(t *testing.T) {
	w, home, others := settled(3)
	w.want(others[0], 2)
	require.Equal(t, 2, others[0].l.Counts("x").Idle)
	require.Equal(t, 1, home.l.Counts("x").Free)
	w.heal(20)
	require.Equal(t, 0, others[0].l.Counts("x").Held)
	require.Equal(t, 3, home.l.Counts("x").Free)
	require.Zero(t, w.heal(1000), "a settled resource costs nothing")
}

func TestIdleTokensAreRecalledAtOnce(t *testing.T) {
	w, _, others := settled(3)
	w.want(others[0], 3)
	require.Equal(t, 3, others[0].l.Counts("x").Idle)
	w.want(others[1], 1)
	w.heal(5)
	require.Equal(t, 1, others[1].l.Counts("x").Idle)
}

func TestEveryHolderWithDemandMakesProgress(t *testing.T) {
	for _, total := range []int{1, 3, 8} {
		w := newWorld(8)
		w.log = append(w.log, record{resource: "x", total: total})
		w.heal(20)
		started := make([]int, len(w.nodes))
		for range 500 {
			for i, n := range w.nodes {
				if n.l.Counts("x").Running > 0 {
					n.l.Release("x", w.now)
				}
				for n.l.Take("x") {
					started[i]++
				}
				n.l.Want("x", 8)
			}
			w.heal(1)
		}
		least := slices.Min(started)
		require.Greater(t, least, 20, "total %d: %v", total, started)
		require.Less(t, slices.Max(started), least*3/2, "turns are even at total %d: %v", total, started)
	}
}

// A holder that does not return what it is asked for must not stand in the way of those
// that would.
func TestLongWorkDoesNotStarveOthers(t *testing.T) {
	for _, long := range []int{0, 1} {
		w, _, others := settled(4)
		w.log = append(w.log, record{resource: "x", total: 4})
		w.heal(10)
		for _, n := range others[:2] {
			w.want(n, 2)
			for range 2 {
				require.True(t, n.l.Take("x"))
			}
		}
		short, waits := others[1-long], others[2]
		for range 50 {
			for range short.l.Counts("x").Running {
				short.l.Release("x", w.now)
			}
			for short.l.Take("x") {
			}
			short.l.Want("x", 1)
			w.want(waits, 1-waits.l.Counts("x").Held)
		}
		require.Equal(t, 2, others[long].l.Counts("x").Running)
		require.Equal(t, 1, waits.l.Counts("x").Held, "long work at %d", long)
	}
}

// An answer to an exchange that was repeated on the way books the same gift again.
func TestRepeatedExchangeGivesOnce(t *testing.T) {
	w, home, others := settled(3)
	a, b := others[0], others[1]
	a.l.Want("x", 3)
	items := a.l.Outgoing(w.now)[0].Items
	first := home.l.HandleExchange(a.id, items, w.now)
	a.l.HandleGifts(home.id, first, w.now)
	require.Equal(t, 3, first[0].N)
	b.l.Want("x", 3)
	home.l.HandleExchange(b.id, b.l.Outgoing(w.now)[0].Items, w.now)
	again := home.l.HandleExchange(a.id, items, w.now)
	require.Equal(t, 3, again[0].N, "what is outstanding can't shrink by a repeat")
	a.l.HandleGifts(home.id, again, w.now)
	require.Equal(t, 3, a.l.Counts("x").Held)
}

func TestOlderExchangeIsVoidAtTheHome(t *testing.T) {
	w, home, others := settled(3)
	a := others[0]
	a.l.Want("x", 3)
	items := a.l.Outgoing(w.now)[0].Items
	a.l.HandleGifts(home.id, home.l.HandleExchange(a.id, items, w.now), w.now)
	w.take(nil, a, "x", worldRun)
	w.heal(30)
	require.Equal(t, 1, a.l.Counts("x").Held)
	require.True(t, home.l.HandleExchange(a.id, items, w.now)[0].Refused)
	require.Equal(t, 2, home.l.Counts("x").Free)
}

func TestLostTokensReturnAfterReclaimOnly(t *testing.T) {
	w, home, others := settled(3)
	a, b := others[0], others[1]
	w.want(a, 2)
	a.dead = true
	w.exclude(a.id)
	w.foldAll()
	since := w.now
	b.l.Want("x", 3)
	for w.now.Sub(since) < worldLease+worldRun-time.Second {
		w.heal(1)
		b.l.Want("x", 3-b.l.Counts("x").Held)
		require.LessOrEqual(t, b.l.Counts("x").Held+home.l.Counts("x").Free, 1)
	}
	require.Equal(t, 1, b.l.Counts("x").Held, "what the lost member did not hold is lent")
	w.heal(20)
	require.Equal(t, 3, b.l.Counts("x").Held)
}

func TestExcludedEntryStartsNothing(t *testing.T) {
	w, _, others := settled(3)
	a := others[0]
	w.want(a, 2)
	require.True(t, a.l.Take("x"))
	w.exclude(a.id)
	w.foldAll()
	require.False(t, a.l.Take("x"))
	require.Equal(t, 1, a.l.Counts("x").Held, "running work stays counted")
	a.l.Turn(View{Epoch: 1000, Members: []string{a.id}}, w.now)
	require.False(t, a.l.Take("x"), "a view with the old id changes nothing")
	a.l.Release("x", w.now)
	require.Equal(t, 0, a.l.Counts("x").Held)
}

func TestOlderViewIsIgnored(t *testing.T) {
	w, _, others := settled(3)
	a := others[0]
	w.want(a, 2)
	a.l.Turn(View{Epoch: 0, Members: []string{"other"}}, w.now)
	require.True(t, a.l.Take("x"))
}

// A lost member may still run as much as the total allowed before it was lowered, also
// where the present home has never known of that total.
func TestLoweredTotalCountsWhatTheLostMayRun(t *testing.T) {
	for _, joined := range []bool{false, true} {
		w, home, others := settled(3)
		a, b := others[0], others[1]
		w.want(a, 2)
		for range 2 {
			w.take(nil, a, "x", worldRun)
		}
		w.want(b, 1)
		w.take(nil, b, "x", worldRun)
		w.log = append(w.log, record{resource: "x", total: 2})
		w.foldAll()
		if joined {
			home.dead = true
			home = w.add()
			for Home([]string{b.id, home.id}, "x") != home.id {
				home.id += "x"
				home.l.Self = home.id
			}
			w.log = append(w.log, record{members: []string{a.id, b.id, home.id}})
			w.foldSnapshot(home)
		}
		a.dead = true
		w.exclude(a.id)
		w.heal(10)
		for i, r := range w.runs {
			if r.node == b {
				w.release(i)
				break
			}
		}
		b.l.Want("x", 1)
		w.heal(10)
		require.False(t, home.l.Take("x"), "joined=%v: two run at the lost member", joined)
		require.False(t, b.l.Take("x"), "joined=%v: two run at the lost member", joined)
	}
}

// With a loss pending, the free tokens of a former home stay usable under the new one.
func TestFormerHomeHandsOverWhatWasFree(t *testing.T) {
	w, home, others := settled(3)
	w.want(others[0], 1)
	w.exclude(others[0].id)
	n := w.add()
	for Home([]string{home.id, others[1].id, n.id}, "x") != n.id {
		n.id += "x"
		n.l.Self = n.id
	}
	w.log = append(w.log, record{members: append(w.members(), n.id)})
	w.heal(40)
	require.Equal(t, 2, n.l.Counts("x").Free)
	require.Equal(t, 1, n.l.Counts("x").Unknown)
}

// What is idle is reported before it returns: a lost report would leave it unknown.
func TestIdleTokensReturnAfterTheFirstReport(t *testing.T) {
	w, home, others := settled(3)
	w.want(others[0], 2)
	w.exclude(others[1].id)
	w.foldAll()
	for range 4 {
		w.now = w.now.Add(time.Second)
		w.send(others[0])
		w.expire(0)
	}
	w.heal(5)
	require.True(t, home.l.Counts("x").Ready)
	require.Zero(t, home.l.Counts("x").Unknown)
}

// The numbers of a resource begin again after Forget; its generations don't.
func TestGiftOfAnotherGenerationIsVoid(t *testing.T) {
	w, home, others := settled(3)
	a := others[0]
	a.l.Forget("x")
	a.l.SetTotal("x", 3, 1000, w.now)
	a.l.Want("x", 3)
	item := a.l.Outgoing(w.now)[0].Items[0]
	late := Gift{Resource: "x", Gen: Generation{Epoch: item.Gen.Epoch, Version: 2}, Seq: item.Seq, N: 3}
	a.l.HandleGifts(home.id, []Gift{late}, w.now)
	require.Equal(t, 0, a.l.Counts("x").Held)
}

func TestConcurrentUse(t *testing.T) {
	w, home, others := settled(3)
	var g errgroup.Group
	for _, n := range []*node{home, others[0], others[1]} {
		for range 4 {
			g.Go(func() error {
				for range 200 {
					n.l.Want("x", 2)
					for _, b := range n.l.Outgoing(w.now) {
						n.l.HandleGifts(b.To, w.node(b.To).l.HandleExchange(n.id, b.Items, w.now), w.now)
					}
					if n.l.Take("x") {
						n.l.Release("x", w.now)
					}
				}
				return nil
			})
		}
	}
	require.NoError(t, g.Wait())
	w.heal(50)
	require.Equal(t, 3, home.l.Counts("x").Free)
}
