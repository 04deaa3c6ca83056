package mstoken

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// pickNode draws a node that is neither dead nor paused, or returns nil.
func (cl *cluster) pickNode(t *rapid.T) *node {
	var able []*node
	for _, n := range cl.nodes {
		if !n.dead && !n.paused {
			able = append(able, n)
		}
	}
	if len(able) == 0 {
		return nil
	}
	return rapid.SampledFrom(able).Draw(t, "node")
}

func drawIndex(t *rapid.T, n int) int {
	return rapid.IntRange(0, n-1).Draw(t, "index")
}

// rare makes faults infrequent, so that the fleet also settles between them.
func rare(t *rapid.T) bool {
	return rapid.IntRange(0, 3).Draw(t, "rare") == 0
}

// exclude appends a view without the member id.
func (cl *cluster) exclude(id string) {
	members := cl.members()
	i := slices.Index(members, id)
	cl.log = append(cl.log, logRecord{members: slices.Delete(members, i, i+1), excluded: id})
}

// actions returns the events and faults from which rapid draws. The action "" is the
// invariant check after each of them.
func (cl *cluster) actions() map[string]func(*rapid.T) {
	resource := rapid.SampledFrom(testResources)
	work := func(t *rapid.T) {
		n := cl.pickNode(t)
		if n == nil {
			return
		}
		r := resource.Draw(t, "resource")
		count := rapid.IntRange(1, 3).Draw(t, "count")
		for range count {
			if !cl.take(t, n, r, rapid.SampledFrom([]time.Duration{time.Second, testMaxRun}).Draw(t, "run")) {
				n.ledger.SetDemand(r, count)
				return
			}
		}
	}
	exchange := func(t *rapid.T) {
		if n := cl.pickNode(t); n != nil {
			cl.send(n)
		}
		for range rapid.IntRange(0, 4).Draw(t, "deliveries") {
			if len(cl.inFlight) > 0 {
				cl.deliver(drawIndex(t, len(cl.inFlight)), rapid.IntRange(0, 4).Draw(t, "duplicate") == 0)
			}
		}
	}
	return map[string]func(*rapid.T){
		"work":      work,
		"work-more": work,
		"due": func(t *rapid.T) {
			if n := cl.pickNode(t); n != nil {
				n.ledger.SetEntitlement(resource.Draw(t, "resource"), rapid.IntRange(-1, 6).Draw(t, "due"))
			}
		},
		"exchange": exchange,
		"exchange-more": func(t *rapid.T) {
			for range 6 {
				exchange(t)
			}
		},
		"round": func(t *rapid.T) {
			for _, n := range cl.nodes {
				if !n.dead && !n.paused {
					cl.apply(n, len(cl.log))
					cl.send(n)
				}
			}
			for len(cl.inFlight) > 0 {
				cl.deliver(drawIndex(t, len(cl.inFlight)), false)
			}
		},
		"release": func(t *rapid.T) {
			if len(cl.runs) == 0 {
				return
			}
			if i := drawIndex(t, len(cl.runs)); !cl.runs[i].node.paused {
				cl.release(i)
			}
		},
		"fold": func(t *rapid.T) {
			if n := cl.pickNode(t); n != nil {
				cl.apply(n, rapid.SampledFrom([]int{1, 2, len(cl.log)}).Draw(t, "records"))
			}
		},
		"pass": func(t *rapid.T) {
			steps := []time.Duration{10 * time.Millisecond, 200 * time.Millisecond, time.Second, 3 * time.Second}
			cl.now = cl.now.Add(rapid.SampledFrom(steps).Draw(t, "time"))
		},
		"lose": func(t *rapid.T) {
			if len(cl.inFlight) > 0 {
				i := drawIndex(t, len(cl.inFlight))
				cl.inFlight = slices.Delete(cl.inFlight, i, i+1)
			}
		},
		"expire": func(t *rapid.T) {
			if len(cl.unanswered) > 0 {
				cl.expire(drawIndex(t, len(cl.unanswered)))
			}
		},
		"pause": func(t *rapid.T) {
			n := rapid.SampledFrom(cl.nodes).Draw(t, "node")
			n.paused = !n.paused
		},
		"crash": func(t *rapid.T) {
			if n := cl.pickNode(t); n != nil && rare(t) {
				n.dead = true
			}
		},
		"exclude": func(t *rapid.T) {
			if members := cl.members(); len(members) > 1 && rare(t) {
				cl.exclude(rapid.SampledFrom(members).Draw(t, "member"))
			}
		},
		"leave": func(t *rapid.T) {
			members := cl.members()
			n := cl.pickNode(t)
			if n == nil || len(members) == 1 || !rare(t) {
				return
			}
			i := slices.Index(members, n.id)
			if i < 0 || slices.ContainsFunc(cl.runs, func(r *run) bool { return r.node == n }) {
				return
			}
			n.dead = true
			cl.log = append(cl.log, logRecord{members: slices.Delete(members, i, i+1)})
		},
		"join": func(t *rapid.T) {
			if members := cl.members(); len(members) < 5 && rare(t) {
				n := cl.addNode()
				cl.log = append(cl.log, logRecord{members: append(members, n.id)})
				if rapid.Bool().Draw(t, "snapshot") {
					cl.applySnapshot(n)
				}
			}
		},
		"total": func(t *rapid.T) {
			if !rare(t) {
				return
			}
			total := rapid.IntRange(-1, 6).Draw(t, "total")
			cl.log = append(cl.log, logRecord{resource: resource.Draw(t, "resource"), total: total})
		},
		"": cl.check,
	}
}

// TestLedgersAgainstExactCount runs ledgers with message loss, duplicates, reordering,
// late answers, pauses, crashes, exclusions, joins and changed totals, and compares them
// with a count of the work that is actually running. Then the faults stop, and all tokens
// must be usable.
func TestLedgersAgainstExactCount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cl := newCluster(rapid.IntRange(1, 4).Draw(t, "members"))
		t.Repeat(cl.actions())
		for slices.ContainsFunc(cl.members(), func(id string) bool { return cl.node(id).dead }) {
			i := slices.IndexFunc(cl.members(), func(id string) bool { return cl.node(id).dead })
			if len(cl.members()) == 1 {
				n := cl.addNode()
				cl.log = append(cl.log, logRecord{members: append(cl.members(), n.id)})
			}
			cl.exclude(cl.members()[i])
		}
		cl.heal(150)
		cl.requireAllUsable(t)
	})
}

// requireAllUsable checks that each member in turn can take every token.
func (cl *cluster) requireAllUsable(t *rapid.T) {
	members := cl.members()
	for _, resource := range testResources {
		usable, total := 0, 0
		for _, id := range members {
			c := cl.node(id).ledger.Counts(resource)
			usable += c.Held + c.Free
			total = c.Total
			require.Equal(t, c.Home, c.Ready, id)
		}
		require.Equal(t, total, usable, resource)
	}
	for _, resource := range testResources {
		for _, id := range members {
			n := cl.node(id)
			started := 0
			for range 20 {
				n.ledger.SetDemand(resource, n.totals[resource]-started)
				cl.heal(1)
				for cl.take(t, n, resource, testMaxRun) {
					started++
				}
			}
			require.Equal(t, n.totals[resource], started, "%s gets all tokens of %s", id, resource)
			n.ledger.SetDemand(resource, 0)
			for len(cl.runs) > 0 {
				cl.release(0)
			}
		}
	}
}
