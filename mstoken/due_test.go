package mstoken

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// ofTotal returns a world at rest in which x has that total, its home and the others.
func ofTotal(members, total int) (*world, *node, []*node) {
	w, home, others := settled(members)
	w.log = append(w.log, record{resource: "x", total: total})
	w.heal(20)
	return w, home, others
}

// grab has n run all of x that it can have.
func (w *world) grab(n *node, want int) {
	n.l.Want("x", want)
	for range 10 {
		w.heal(1)
		for n.l.Take("x") {
		}
	}
}

// churnFor has each node end its work and start again, for that many rounds of 100 ms.
func (w *world) churnFor(rounds int, nodes ...*node) {
	for range rounds {
		for _, n := range nodes {
			churn(n, "x", 8, w.now)
		}
		w.heal(1)
	}
}

// A member short of its due gets tokens from one above its own, whichever of them is
// the home, and no more than its due.
func TestMemberShortOfItsDueGetsTokensFromOneAbove(t *testing.T) {
	w, home, others := ofTotal(4, 8)
	for _, pair := range [][2]*node{{others[0], others[1]}, {home, others[0]}, {others[1], home}} {
		above, short := pair[0], pair[1]
		above.l.Due("x", 8)
		short.l.Due("x", 0)
		w.churnFor(50, above, short)
		require.Equal(t, 8, churnHeld(above), "all that it is due")
		above.l.Due("x", 3)
		short.l.Due("x", 5)
		w.churnFor(50, above, short)
		require.Equal(t, 3, churnHeld(above))
		require.Equal(t, 5, churnHeld(short))
		for _, n := range pair {
			for range n.l.Counts("x").Running {
				n.l.Release("x", w.now)
			}
			n.l.Want("x", 0)
			n.l.Due("x", -1)
		}
		w.heal(50)
	}
}

func churnHeld(n *node) int {
	return n.l.Counts("x").Running
}

func TestNothingIsRecalledWhileNobodyIsShortOfItsDue(t *testing.T) {
	w, _, others := ofTotal(3, 8)
	a, b := others[0], others[1]
	a.l.Due("x", 1)
	b.l.Due("x", 2)
	w.grab(b, 2)
	w.grab(a, 6)
	require.Equal(t, 6, a.l.Counts("x").Running, "what nobody is due is lent to who wants it")
	for range 100 {
		b.l.Want("x", 5)
		w.churnFor(1, a)
	}
	require.Equal(t, 6, a.l.Counts("x").Running)
	require.Equal(t, 2, b.l.Counts("x").Running)
	require.Zero(t, a.l.accounts["x"].holder.debt)
	require.Zero(t, home(w).l.accounts["x"].pool.peers[index(w, a)].recalled)
}

func home(w *world) *node {
	return w.node(Home(w.members(), "x"))
}

func index(w *world, n *node) int {
	for i, id := range home(w).l.view.Members {
		if id == n.id {
			return i
		}
	}
	return -1
}

// A due that is not wanted is lent, and comes back when it is wanted.
func TestTokensThatNobodyWantsAsDueAreLent(t *testing.T) {
	w, _, others := ofTotal(3, 8)
	a, b := others[0], others[1]
	a.l.Due("x", 0)
	b.l.Due("x", 8)
	w.churnFor(30, a)
	require.Equal(t, 8, a.l.Counts("x").Running)
	w.churnFor(50, a, b)
	require.Equal(t, 0, a.l.Counts("x").Running)
	require.Equal(t, 8, b.l.Counts("x").Running)
}

// A member that says nothing of its due gets an even part beside those that do.
func TestUnsetDueCountsAsAnEvenPart(t *testing.T) {
	w, _, others := ofTotal(3, 8)
	a, b := others[0], others[1]
	a.l.Due("x", 8)
	w.churnFor(30, a)
	w.churnFor(80, a, b)
	require.InDelta(t, 4, b.l.Counts("x").Running, 1)
	b.l.Due("x", 0)
	w.churnFor(30, a, b)
	require.Zero(t, b.l.Counts("x").Running)
	b.l.Due("x", -1)
	w.churnFor(30, a, b)
	require.InDelta(t, 4, b.l.Counts("x").Running, 1, "unset again")
}

// Where the dues exceed the total, those that lack take turns.
func TestDuesAboveTheTotalTakeTurns(t *testing.T) {
	for _, total := range []int{1, 3} {
		w, _, _ := ofTotal(8, total)
		started := make([]int, len(w.nodes))
		for range 500 {
			for i, n := range w.nodes {
				n.l.Due("x", 1)
				started[i] += churn(n, "x", 8, w.now)
			}
			w.heal(1)
		}
		least := slices.Min(started)
		require.Greater(t, least, 20, "total %d: %v", total, started)
		require.Less(t, slices.Max(started), least*3/2, "turns are even at total %d: %v", total, started)
	}
}

// Dues that stay as they are cost nothing but the polls of unmet demand.
func TestSettledDuesCostOnlyPolls(t *testing.T) {
	w, _, others := ofTotal(3, 8)
	a, b := others[0], others[1]
	a.l.Due("x", 3)
	b.l.Due("x", 5)
	w.churnFor(100, a, b)
	items, seconds := 0, 20
	for range seconds * 10 {
		churn(a, "x", 8, w.now)
		churn(b, "x", 8, w.now)
		items += w.heal(1)
	}
	require.Equal(t, 3, a.l.Counts("x").Running)
	require.Equal(t, 5, b.l.Counts("x").Running)
	require.LessOrEqual(t, items, 2*seconds/int(pollAfter/time.Second)+2)
}

func TestSpreadSumsToTheDue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "resources")
		most := rapid.IntRange(0, 8).Draw(t, "most")
		due := rapid.IntRange(0, 100).Draw(t, "due")
		held := rapid.SliceOfN(rapid.IntRange(0, 8), n, n).Draw(t, "held")
		out := make([]int, n)
		Spread(out, held, due, most, rapid.IntRange(0, n-1).Draw(t, "first"))
		sum, least, high := 0, out[0], out[0]
		for _, part := range out {
			sum += part
			least, high = min(least, part), max(high, part)
		}
		require.Equal(t, min(due, most*n), sum)
		require.LessOrEqual(t, high, most)
		require.LessOrEqual(t, high-least, 1)
		for i := range out {
			for j := range out {
				require.False(t, out[i] > least && held[i] <= least && out[j] == least && held[j] > least, "the remainder goes where tokens are")
			}
		}
	})
}

// A changed due moves tokens long before unmet demand is told again.
func TestChangedDueIsToldSoon(t *testing.T) {
	w, _, others := ofTotal(3, 8)
	a, b := others[0], others[1]
	a.l.Due("x", 8)
	b.l.Due("x", 0)
	w.churnFor(30, a, b)
	require.Equal(t, 8, a.l.Counts("x").Running)
	a.l.Due("x", 3)
	b.l.Due("x", 5)
	w.churnFor(15, a, b)
	require.Equal(t, 3, a.l.Counts("x").Running)
	require.Equal(t, 5, b.l.Counts("x").Running)
}

// Idle tokens above a due that fell while nobody wanted any are called in once somebody
// does, before those that others are due.
func TestIdleTokensAboveAnUntoldDueAreCalledIn(t *testing.T) {
	w, _, others := ofTotal(4, 8)
	a, b, c := others[0], others[1], others[2]
	a.l.IdleAfter = time.Hour
	a.l.Due("x", 2)
	c.l.Due("x", 6)
	w.grab(a, 2)
	w.grab(c, 6)
	a.l.Release("x", w.now)
	a.l.Release("x", w.now)
	a.l.Due("x", 0)
	w.heal(20)
	require.Equal(t, 2, a.l.Counts("x").Idle)
	b.l.Due("x", 2)
	w.grab(b, 2)
	require.Equal(t, 2, b.l.Counts("x").Running)
	require.Equal(t, 6, c.l.Counts("x").Running)
}

// The targets are within the total and the demands, serve dues before loans, and cut
// what a peer holds beyond its due by no more than others lack of theirs.
func TestTargetsFillDuesAndCutNoMoreThanIsLacking(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "peers")
		p := &pool{peers: make([]peer, n), wants: make([]int, n), targets: make([]int, n), parts: make([]int, n), extra: make([]int, n)}
		total := rapid.IntRange(0, 20).Draw(t, "total")
		p.first = rapid.IntRange(0, n-1).Draw(t, "first")
		free, wanted, needed, lacking, cut := total, 0, 0, 0, 0
		for i := range p.peers {
			q := &p.peers[i]
			q.hasDue = true
			q.out = rapid.IntRange(0, free).Draw(t, "out")
			q.want = rapid.IntRange(0, 8).Draw(t, "want")
			q.due = rapid.IntRange(0, 8).Draw(t, "due")
			free -= q.out
			p.wants[i] = q.out + q.want
			wanted += p.wants[i]
			needed += min(q.due, p.wants[i])
			lacking += max(min(q.due, p.wants[i])-q.out, 0)
		}
		share(p.targets, p.wants, total, p.first)
		p.shareDues(total)
		sum := 0
		for i, q := range p.peers {
			sum += p.targets[i]
			cut += max(q.out-p.targets[i], 0)
			require.LessOrEqual(t, p.targets[i], p.wants[i])
			if needed <= total {
				require.GreaterOrEqual(t, p.targets[i], min(q.due, p.wants[i]))
			} else {
				require.LessOrEqual(t, p.targets[i], min(q.due, p.wants[i]))
			}
			for j, other := range p.peers {
				lack, more := max(min(q.due, p.wants[i])-p.targets[i], 0), min(other.due, p.wants[j])-p.targets[j]
				require.False(t, more > lack+1 && p.targets[i] > 0, "the largest lack is filled first")
			}
		}
		require.Equal(t, min(total, wanted), sum)
		require.LessOrEqual(t, cut, max(lacking-free, 0))
	})
}
