package mstoken

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// ledgerIn returns a ledger of a member in a view, with five tokens of resource x.
func ledgerIn(self string, v View) *Ledger {
	l := &Ledger{Self: self, ReclaimAfter: testLease + testMaxRun}
	l.SetView(v, start)
	l.SetTotal("x", 5, 1, start)
	return l
}

// An entry restarts under its address. Exchanges and grants that are still under way between its
// earlier process and another member reach the next one, before and after it has joined.
func TestMessagesForAnEarlierIncarnationHaveNoEffect(t *testing.T) {
	before := View{Epoch: 1, Members: []string{"a-1", "b"}}
	joined := View{Epoch: 2, Members: []string{"a-2", "b"}, Lost: []Lost{{Member: "a-1", Since: start}}}
	for _, home := range before.Members {
		holder := before.Members[0]
		if holder == home {
			holder = before.Members[1]
		}
		items := []Item{{Resource: "x", Gen: Generation{Epoch: 1, Version: 1}, Seq: 1, Held: 3, Want: 2}}
		for _, v := range []View{before, joined} {
			next := ledgerIn("a-2", v)
			require.True(t, next.HandleExchange(holder, items, start)[0].Refused)
			next.HandleGrants(home, []Grant{{Resource: "x", Gen: items[0].Gen, Seq: 1, Granted: 5}}, start)
			require.Zero(t, next.Counts("x").Held)
			require.False(t, next.Acquire("x"))
		}
	}
	other := ledgerIn("b", joined)
	late := []Item{{Resource: "x", Gen: Generation{Epoch: 2, Version: 1}, Seq: 9, Held: 0, Want: 5}}
	require.True(t, other.HandleExchange("a-1", late, start)[0].Refused, "not a member")
}
