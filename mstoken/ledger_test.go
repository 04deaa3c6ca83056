package mstoken

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// settledCluster returns an idle cluster, the home of x and the other nodes.
func settledCluster(members int) (*cluster, *node, []*node) {
	cl := newCluster(members)
	cl.heal(20)
	var others []*node
	home := cl.node(Home(cl.members(), "x"))
	for _, n := range cl.nodes {
		if n != home {
			others = append(others, n)
		}
	}
	return cl, home, others
}

// want sets the demand of n for x to count and runs one round.
func (cl *cluster) want(n *node, count int) {
	n.ledger.SetDemand("x", count)
	cl.heal(1)
}

func (cl *cluster) applyAll() {
	for _, n := range cl.nodes {
		cl.apply(n, len(cl.log))
	}
}

func TestZeroLedgerStartsNothing(t *testing.T) {
	var l Ledger
	require.False(t, l.Acquire("x"))
	l.SetTotal("x", 3, 1, start)
	require.False(t, l.Acquire("x"))
	require.Empty(t, l.Outgoing(start))
}

func TestSoleMemberTakesItsOwnTokens(t *testing.T) {
	cl, home, _ := settledCluster(1)
	for range 3 {
		require.True(t, home.ledger.Acquire("x"))
	}
	require.False(t, home.ledger.Acquire("x"))
	home.ledger.Release("x", cl.now)
	require.True(t, home.ledger.Acquire("x"))
}

func TestHolderGetsTokensAndReturnsThemWhenIdle(t *testing.T) {
	cl, home, others := settledCluster(3)
	cl.want(others[0], 2)
	require.Equal(t, 2, others[0].ledger.Counts("x").Idle)
	require.Equal(t, 1, home.ledger.Counts("x").Free)
	cl.heal(20)
	require.Equal(t, 0, others[0].ledger.Counts("x").Held)
	require.Equal(t, 3, home.ledger.Counts("x").Free)
	require.Zero(t, cl.heal(1000), "an idle resource causes no messages")
}

func TestIdleTokensAreRecalledImmediately(t *testing.T) {
	cl, _, others := settledCluster(3)
	cl.want(others[0], 3)
	require.Equal(t, 3, others[0].ledger.Counts("x").Idle)
	cl.want(others[1], 1)
	cl.heal(5)
	require.Equal(t, 1, others[1].ledger.Counts("x").Idle)
}

func TestEveryHolderWithDemandMakesProgress(t *testing.T) {
	for _, total := range []int{1, 3, 8} {
		cl := newCluster(8)
		cl.log = append(cl.log, logRecord{resource: "x", total: total})
		cl.heal(20)
		started := make([]int, len(cl.nodes))
		for range 500 {
			for i, n := range cl.nodes {
				if n.ledger.Counts("x").Running > 0 {
					n.ledger.Release("x", cl.now)
				}
				for n.ledger.Acquire("x") {
					started[i]++
				}
				n.ledger.SetDemand("x", 8)
			}
			cl.heal(1)
		}
		least := slices.Min(started)
		require.Greater(t, least, 20, "total %d: %v", total, started)
		require.Less(t, slices.Max(started), least*3/2, "turns are even at total %d: %v", total, started)
	}
}

// A holder that does not return recalled tokens must not block the recall from holders
// that would return theirs.
func TestLongWorkDoesNotStarveOthers(t *testing.T) {
	for _, long := range []int{0, 1} {
		cl, _, others := settledCluster(4)
		cl.log = append(cl.log, logRecord{resource: "x", total: 4})
		cl.heal(10)
		for _, n := range others[:2] {
			cl.want(n, 2)
			for range 2 {
				require.True(t, n.ledger.Acquire("x"))
			}
		}
		short, waits := others[1-long], others[2]
		for range 50 {
			for range short.ledger.Counts("x").Running {
				short.ledger.Release("x", cl.now)
			}
			for short.ledger.Acquire("x") {
			}
			short.ledger.SetDemand("x", 1)
			cl.want(waits, 1-waits.ledger.Counts("x").Held)
		}
		require.Equal(t, 2, others[long].ledger.Counts("x").Running)
		require.Equal(t, 1, waits.ledger.Counts("x").Held, "long-running work at node %d", long)
	}
}

// A duplicate of an exchange gets the same answer and does not grant tokens a second time.
func TestDuplicateExchangeGrantsOnce(t *testing.T) {
	cl, home, others := settledCluster(3)
	a, b := others[0], others[1]
	a.ledger.SetDemand("x", 3)
	items := a.ledger.Outgoing(cl.now)[0].Items
	first := home.ledger.HandleExchange(a.id, items, cl.now)
	a.ledger.HandleGrants(home.id, first, cl.now)
	require.Equal(t, 3, first[0].Granted)
	b.ledger.SetDemand("x", 3)
	home.ledger.HandleExchange(b.id, b.ledger.Outgoing(cl.now)[0].Items, cl.now)
	again := home.ledger.HandleExchange(a.id, items, cl.now)
	require.Equal(t, 3, again[0].Granted, "a duplicate must not reduce what is outstanding")
	a.ledger.HandleGrants(home.id, again, cl.now)
	require.Equal(t, 3, a.ledger.Counts("x").Held)
}

func TestHomeRefusesOlderExchange(t *testing.T) {
	cl, home, others := settledCluster(3)
	a := others[0]
	a.ledger.SetDemand("x", 3)
	items := a.ledger.Outgoing(cl.now)[0].Items
	a.ledger.HandleGrants(home.id, home.ledger.HandleExchange(a.id, items, cl.now), cl.now)
	cl.take(nil, a, "x", testMaxRun)
	cl.heal(30)
	require.Equal(t, 1, a.ledger.Counts("x").Held)
	require.True(t, home.ledger.HandleExchange(a.id, items, cl.now)[0].Refused)
	require.Equal(t, 2, home.ledger.Counts("x").Free)
}

func TestLostTokensReturnOnlyAfterReclaim(t *testing.T) {
	cl, home, others := settledCluster(3)
	a, b := others[0], others[1]
	cl.want(a, 2)
	a.dead = true
	cl.exclude(a.id)
	cl.applyAll()
	since := cl.now
	b.ledger.SetDemand("x", 3)
	for cl.now.Sub(since) < testLease+testMaxRun-time.Second {
		cl.heal(1)
		b.ledger.SetDemand("x", 3-b.ledger.Counts("x").Held)
		require.LessOrEqual(t, b.ledger.Counts("x").Held+home.ledger.Counts("x").Free, 1)
	}
	require.Equal(t, 1, b.ledger.Counts("x").Held, "tokens that the lost member did not hold are lent")
	cl.heal(20)
	require.Equal(t, 3, b.ledger.Counts("x").Held)
}

func TestExcludedEntryStartsNothing(t *testing.T) {
	cl, _, others := settledCluster(3)
	a := others[0]
	cl.want(a, 2)
	require.True(t, a.ledger.Acquire("x"))
	cl.exclude(a.id)
	cl.applyAll()
	require.False(t, a.ledger.Acquire("x"))
	require.Equal(t, 1, a.ledger.Counts("x").Held, "running work stays counted")
	a.ledger.SetView(View{Epoch: 1000, Members: []string{a.id}}, cl.now)
	require.False(t, a.ledger.Acquire("x"), "a view with the old id changes nothing")
	a.ledger.Release("x", cl.now)
	require.Equal(t, 0, a.ledger.Counts("x").Held)
}

func TestOlderViewIsIgnored(t *testing.T) {
	cl, _, others := settledCluster(3)
	a := others[0]
	cl.want(a, 2)
	a.ledger.SetView(View{Epoch: 0, Members: []string{"other"}}, cl.now)
	require.True(t, a.ledger.Acquire("x"))
}

// A lost member may still run as much work as the total allowed before it was lowered.
// This holds also if the current home joined later and has never seen the old total.
func TestLoweredTotalCountsWorkOfLostMembers(t *testing.T) {
	for _, joined := range []bool{false, true} {
		cl, home, others := settledCluster(3)
		a, b := others[0], others[1]
		cl.want(a, 2)
		for range 2 {
			cl.take(nil, a, "x", testMaxRun)
		}
		cl.want(b, 1)
		cl.take(nil, b, "x", testMaxRun)
		cl.log = append(cl.log, logRecord{resource: "x", total: 2})
		cl.applyAll()
		if joined {
			home.dead = true
			home = cl.addNode()
			for Home([]string{b.id, home.id}, "x") != home.id {
				home.id += "x"
				home.ledger.Self = home.id
			}
			cl.log = append(cl.log, logRecord{members: []string{a.id, b.id, home.id}})
			cl.applySnapshot(home)
		}
		a.dead = true
		cl.exclude(a.id)
		cl.heal(10)
		for i, r := range cl.runs {
			if r.node == b {
				cl.release(i)
				break
			}
		}
		b.ledger.SetDemand("x", 1)
		cl.heal(10)
		require.False(t, home.ledger.Acquire("x"), "joined=%v: two units run at the lost member", joined)
		require.False(t, b.ledger.Acquire("x"), "joined=%v: two units run at the lost member", joined)
	}
}

// While the tokens of a lost member are unknown, the free tokens of a former home stay
// usable under the new home.
func TestFormerHomeHandsOverFreeTokens(t *testing.T) {
	cl, home, others := settledCluster(3)
	cl.want(others[0], 1)
	cl.exclude(others[0].id)
	n := cl.addNode()
	for Home([]string{home.id, others[1].id, n.id}, "x") != n.id {
		n.id += "x"
		n.ledger.Self = n.id
	}
	cl.log = append(cl.log, logRecord{members: append(cl.members(), n.id)})
	cl.heal(40)
	require.Equal(t, 2, n.ledger.Counts("x").Free)
	require.Equal(t, 1, n.ledger.Counts("x").Unknown)
}

// A holder reports its idle tokens in a new generation before it returns them. If it
// returned them first and the report was lost, the home would count them as unknown.
func TestIdleTokensReturnAfterTheFirstReport(t *testing.T) {
	cl, home, others := settledCluster(3)
	cl.want(others[0], 2)
	cl.exclude(others[1].id)
	cl.applyAll()
	for range 4 {
		cl.now = cl.now.Add(time.Second)
		cl.send(others[0])
		cl.expire(0)
	}
	cl.heal(5)
	require.True(t, home.ledger.Counts("x").Ready)
	require.Zero(t, home.ledger.Counts("x").Unknown)
}

// Forget restarts the sequence numbers of a resource, so an old grant may match the number
// of a new exchange. Its generation differs, and the grant must be ignored.
func TestGrantOfAnotherGenerationIsIgnored(t *testing.T) {
	cl, home, others := settledCluster(3)
	a := others[0]
	a.ledger.Forget("x")
	a.ledger.SetTotal("x", 3, 1000, cl.now)
	a.ledger.SetDemand("x", 3)
	item := a.ledger.Outgoing(cl.now)[0].Items[0]
	late := Grant{Resource: "x", Gen: Generation{Epoch: item.Gen.Epoch, Version: 2}, Seq: item.Seq, Granted: 3}
	a.ledger.HandleGrants(home.id, []Grant{late}, cl.now)
	require.Equal(t, 0, a.ledger.Counts("x").Held)
}

func TestConcurrentUse(t *testing.T) {
	cl, home, others := settledCluster(3)
	var g errgroup.Group
	for _, n := range []*node{home, others[0], others[1]} {
		for range 4 {
			g.Go(func() error {
				for range 200 {
					n.ledger.SetDemand("x", 2)
					for _, b := range n.ledger.Outgoing(cl.now) {
						n.ledger.HandleGrants(b.To, cl.node(b.To).ledger.HandleExchange(n.id, b.Items, cl.now), cl.now)
					}
					if n.ledger.Acquire("x") {
						n.ledger.Release("x", cl.now)
					}
				}
				return nil
			})
		}
	}
	require.NoError(t, g.Wait())
	cl.heal(50)
	require.Equal(t, 3, home.ledger.Counts("x").Free)
}
