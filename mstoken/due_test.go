package mstoken

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// settledClusterWithTotal returns an idle cluster in which x has that total, the home of x
// and the other nodes.
func settledClusterWithTotal(members, total int) (*cluster, *node, []*node) {
	cl, home, others := settledCluster(members)
	cl.log = append(cl.log, logRecord{resource: "x", total: total})
	cl.heal(20)
	return cl, home, others
}

// acquire makes n request want tokens of x and start work with all that it gets.
func (cl *cluster) acquire(n *node, want int) {
	n.ledger.SetDemand("x", want)
	for range 10 {
		cl.heal(1)
		for n.ledger.Acquire("x") {
		}
	}
}

// churnFor makes each node end its work and start new work, for that many 100 ms rounds.
func (cl *cluster) churnFor(rounds int, nodes ...*node) {
	for range rounds {
		for _, n := range nodes {
			churn(n, "x", 8, cl.now)
		}
		cl.heal(1)
	}
}

// A member below its entitlement gets tokens from one above its own, up to its entitlement
// and no further. This holds whether or not one of the two is the home.
func TestTokensMoveToMemberBelowItsEntitlement(t *testing.T) {
	cl, home, others := settledClusterWithTotal(4, 8)
	for _, pair := range [][2]*node{{others[0], others[1]}, {home, others[0]}, {others[1], home}} {
		above, short := pair[0], pair[1]
		above.ledger.SetEntitlement("x", 8)
		short.ledger.SetEntitlement("x", 0)
		cl.churnFor(50, above, short)
		require.Equal(t, 8, runningOfX(above), "its whole entitlement")
		above.ledger.SetEntitlement("x", 3)
		short.ledger.SetEntitlement("x", 5)
		cl.churnFor(50, above, short)
		require.Equal(t, 3, runningOfX(above))
		require.Equal(t, 5, runningOfX(short))
		for _, n := range pair {
			for range n.ledger.Counts("x").Running {
				n.ledger.Release("x", cl.now)
			}
			n.ledger.SetDemand("x", 0)
			n.ledger.SetEntitlement("x", -1)
		}
		cl.heal(50)
	}
}

func runningOfX(n *node) int {
	return n.ledger.Counts("x").Running
}

func TestNoRecallWhileEntitlementsAreMet(t *testing.T) {
	cl, _, others := settledClusterWithTotal(3, 8)
	a, b := others[0], others[1]
	a.ledger.SetEntitlement("x", 1)
	b.ledger.SetEntitlement("x", 2)
	cl.acquire(b, 2)
	cl.acquire(a, 6)
	require.Equal(t, 6, a.ledger.Counts("x").Running, "tokens beyond the entitlements are lent to a member with demand")
	for range 100 {
		b.ledger.SetDemand("x", 5)
		cl.churnFor(1, a)
	}
	require.Equal(t, 6, a.ledger.Counts("x").Running)
	require.Equal(t, 2, b.ledger.Counts("x").Running)
	require.Zero(t, a.ledger.accounts["x"].holder.pendingReturn)
	require.Zero(t, homeOfX(cl).ledger.accounts["x"].allocator.peers[peerIndex(cl, a)].recalled)
}

func homeOfX(cl *cluster) *node {
	return cl.node(Home(cl.members(), "x"))
}

func peerIndex(cl *cluster, n *node) int {
	for i, id := range homeOfX(cl).ledger.view.Members {
		if id == n.id {
			return i
		}
	}
	return -1
}

// Tokens within an unused entitlement are lent, and are returned once their member wants
// them.
func TestUnusedEntitlementIsLent(t *testing.T) {
	cl, _, others := settledClusterWithTotal(3, 8)
	a, b := others[0], others[1]
	a.ledger.SetEntitlement("x", 0)
	b.ledger.SetEntitlement("x", 8)
	cl.churnFor(30, a)
	require.Equal(t, 8, a.ledger.Counts("x").Running)
	cl.churnFor(50, a, b)
	require.Equal(t, 0, a.ledger.Counts("x").Running)
	require.Equal(t, 8, b.ledger.Counts("x").Running)
}

// A member without an entitlement gets an equal share next to members that have one.
func TestUnsetEntitlementCountsAsEqualShare(t *testing.T) {
	cl, _, others := settledClusterWithTotal(3, 8)
	a, b := others[0], others[1]
	a.ledger.SetEntitlement("x", 8)
	cl.churnFor(30, a)
	cl.churnFor(80, a, b)
	require.InDelta(t, 4, b.ledger.Counts("x").Running, 1)
	b.ledger.SetEntitlement("x", 0)
	cl.churnFor(30, a, b)
	require.Zero(t, b.ledger.Counts("x").Running)
	b.ledger.SetEntitlement("x", -1)
	cl.churnFor(30, a, b)
	require.InDelta(t, 4, b.ledger.Counts("x").Running, 1, "unset again")
}

// If the entitlements exceed the total, the members take turns.
func TestEntitlementsAboveTheTotalTakeTurns(t *testing.T) {
	for _, total := range []int{1, 3} {
		cl, _, _ := settledClusterWithTotal(8, total)
		started := make([]int, len(cl.nodes))
		for range 500 {
			for i, n := range cl.nodes {
				n.ledger.SetEntitlement("x", 1)
				started[i] += churn(n, "x", 8, cl.now)
			}
			cl.heal(1)
		}
		least := slices.Min(started)
		require.Greater(t, least, 20, "total %d: %v", total, started)
		require.Less(t, slices.Max(started), least*3/2, "turns are even at total %d: %v", total, started)
	}
}

// With unchanged entitlements, the only messages are the periodic reports of unmet demand.
func TestUnchangedEntitlementsCauseOnlyPeriodicReports(t *testing.T) {
	cl, _, others := settledClusterWithTotal(3, 8)
	a, b := others[0], others[1]
	a.ledger.SetEntitlement("x", 3)
	b.ledger.SetEntitlement("x", 5)
	cl.churnFor(100, a, b)
	items, seconds := 0, 20
	for range seconds * 10 {
		churn(a, "x", 8, cl.now)
		churn(b, "x", 8, cl.now)
		items += cl.heal(1)
	}
	require.Equal(t, 3, a.ledger.Counts("x").Running)
	require.Equal(t, 5, b.ledger.Counts("x").Running)
	require.LessOrEqual(t, items, 2*seconds/int(reportInterval/time.Second)+2)
}

func TestSpreadSumsToTheTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "resources")
		limit := rapid.IntRange(0, 8).Draw(t, "limit")
		total := rapid.IntRange(0, 100).Draw(t, "due")
		held := rapid.SliceOfN(rapid.IntRange(0, 8), n, n).Draw(t, "held")
		out := make([]int, n)
		Spread(out, held, total, limit, rapid.IntRange(0, n-1).Draw(t, "first"))
		sum, least, high := 0, out[0], out[0]
		for _, part := range out {
			sum += part
			least, high = min(least, part), max(high, part)
		}
		require.Equal(t, min(total, limit*n), sum)
		require.LessOrEqual(t, high, limit)
		require.LessOrEqual(t, high-least, 1)
		for i := range out {
			for j := range out {
				require.False(t, out[i] > least && held[i] <= least && out[j] == least && held[j] > least, "the remainder goes first to resources that hold more")
			}
		}
	})
}

// A changed entitlement moves tokens long before the next periodic report of unmet demand.
func TestChangedEntitlementIsReportedSoon(t *testing.T) {
	cl, _, others := settledClusterWithTotal(3, 8)
	a, b := others[0], others[1]
	a.ledger.SetEntitlement("x", 8)
	b.ledger.SetEntitlement("x", 0)
	cl.churnFor(30, a, b)
	require.Equal(t, 8, a.ledger.Counts("x").Running)
	a.ledger.SetEntitlement("x", 3)
	b.ledger.SetEntitlement("x", 5)
	cl.churnFor(15, a, b)
	require.Equal(t, 3, a.ledger.Counts("x").Running)
	require.Equal(t, 5, b.ledger.Counts("x").Running)
}

// A holder does not report that its entitlement fell below its idle tokens while there is
// no unmet demand. Once another member has demand, those tokens are called in before any
// that members are entitled to.
func TestUnreportedIdleTokensAreCalledIn(t *testing.T) {
	cl, _, others := settledClusterWithTotal(4, 8)
	a, b, c := others[0], others[1], others[2]
	a.ledger.IdleTimeout = time.Hour
	a.ledger.SetEntitlement("x", 2)
	c.ledger.SetEntitlement("x", 6)
	cl.acquire(a, 2)
	cl.acquire(c, 6)
	a.ledger.Release("x", cl.now)
	a.ledger.Release("x", cl.now)
	a.ledger.SetEntitlement("x", 0)
	cl.heal(20)
	require.Equal(t, 2, a.ledger.Counts("x").Idle)
	b.ledger.SetEntitlement("x", 2)
	cl.acquire(b, 2)
	require.Equal(t, 2, b.ledger.Counts("x").Running)
	require.Equal(t, 6, c.ledger.Counts("x").Running)
}

// The targets stay within the total and the demands, fill entitlements before loans, and
// cut what peers hold by no more than other peers lack to their entitlements.
func TestTargetsFillEntitlementsFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "peers")
		al := &allocator{peers: make([]peer, n), wants: make([]int, n), targets: make([]int, n), requests: make([]int, n), grants: make([]int, n)}
		total := rapid.IntRange(0, 20).Draw(t, "total")
		al.first = rapid.IntRange(0, n-1).Draw(t, "first")
		free, wanted, needed, lacking, cut := total, 0, 0, 0, 0
		for i := range al.peers {
			q := &al.peers[i]
			q.hasEntitlement = true
			q.outstanding = rapid.IntRange(0, free).Draw(t, "outstanding")
			q.want = rapid.IntRange(0, 8).Draw(t, "want")
			q.entitlement = rapid.IntRange(0, 8).Draw(t, "due")
			free -= q.outstanding
			al.wants[i] = q.outstanding + q.want
			wanted += al.wants[i]
			needed += min(q.entitlement, al.wants[i])
			lacking += max(min(q.entitlement, al.wants[i])-q.outstanding, 0)
		}
		maxMinFair(al.targets, al.wants, total, al.first)
		al.shareByEntitlement(total)
		sum := 0
		for i, q := range al.peers {
			sum += al.targets[i]
			cut += max(q.outstanding-al.targets[i], 0)
			require.LessOrEqual(t, al.targets[i], al.wants[i])
			if needed <= total {
				require.GreaterOrEqual(t, al.targets[i], min(q.entitlement, al.wants[i]))
			} else {
				require.LessOrEqual(t, al.targets[i], min(q.entitlement, al.wants[i]))
			}
			for j, other := range al.peers {
				lack, otherLack := max(min(q.entitlement, al.wants[i])-al.targets[i], 0), min(other.entitlement, al.wants[j])-al.targets[j]
				require.False(t, otherLack > lack+1 && al.targets[i] > 0, "the largest deficit is filled first")
			}
		}
		require.Equal(t, min(total, wanted), sum)
		require.LessOrEqual(t, cut, max(lacking-free, 0))
	})
}
