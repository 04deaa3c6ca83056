package mstoken

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// pick draws a node that is able to act, or nil.
func (w *world) pick(t *rapid.T) *node {
	var able []*node
	for _, n := range w.nodes {
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

// rare keeps faults apart, so that a fleet also comes to rest between them.
func rare(t *rapid.T) bool {
	return rapid.IntRange(0, 3).Draw(t, "rare") == 0
}

// exclude appends a view without the member id.
func (w *world) exclude(id string) {
	members := w.members()
	i := slices.Index(members, id)
	w.log = append(w.log, record{members: slices.Delete(members, i, i+1), excluded: id})
}

// actions are all that may happen to a world, drawn by rapid.
func (w *world) actions() map[string]func(*rapid.T) {
	resource := rapid.SampledFrom(worldResources)
	work := func(t *rapid.T) {
		n := w.pick(t)
		if n == nil {
			return
		}
		r := resource.Draw(t, "resource")
		count := rapid.IntRange(1, 3).Draw(t, "count")
		for range count {
			if !w.take(t, n, r, rapid.SampledFrom([]time.Duration{time.Second, worldRun}).Draw(t, "run")) {
				n.l.Want(r, count)
				return
			}
		}
	}
	exchange := func(t *rapid.T) {
		if n := w.pick(t); n != nil {
			w.send(n)
		}
		for range rapid.IntRange(0, 4).Draw(t, "deliveries") {
			if len(w.net) > 0 {
				w.deliver(drawIndex(t, len(w.net)), rapid.IntRange(0, 4).Draw(t, "twice") == 0)
			}
		}
	}
	return map[string]func(*rapid.T){
		"work":      work,
		"work-more": work,
		"due": func(t *rapid.T) {
			if n := w.pick(t); n != nil {
				n.l.Due(resource.Draw(t, "resource"), rapid.IntRange(-1, 6).Draw(t, "due"))
			}
		},
		"exchange": exchange,
		"exchange-more": func(t *rapid.T) {
			for range 6 {
				exchange(t)
			}
		},
		"round": func(t *rapid.T) {
			for _, n := range w.nodes {
				if !n.dead && !n.paused {
					w.fold(n, len(w.log))
					w.send(n)
				}
			}
			for len(w.net) > 0 {
				w.deliver(drawIndex(t, len(w.net)), false)
			}
		},
		"release": func(t *rapid.T) {
			if len(w.runs) == 0 {
				return
			}
			if i := drawIndex(t, len(w.runs)); !w.runs[i].node.paused {
				w.release(i)
			}
		},
		"fold": func(t *rapid.T) {
			if n := w.pick(t); n != nil {
				w.fold(n, rapid.SampledFrom([]int{1, 2, len(w.log)}).Draw(t, "records"))
			}
		},
		"pass": func(t *rapid.T) {
			steps := []time.Duration{10 * time.Millisecond, 200 * time.Millisecond, time.Second, 3 * time.Second}
			w.now = w.now.Add(rapid.SampledFrom(steps).Draw(t, "time"))
		},
		"lose": func(t *rapid.T) {
			if len(w.net) > 0 {
				i := drawIndex(t, len(w.net))
				w.net = slices.Delete(w.net, i, i+1)
			}
		},
		"expire": func(t *rapid.T) {
			if len(w.asked) > 0 {
				w.expire(drawIndex(t, len(w.asked)))
			}
		},
		"pause": func(t *rapid.T) {
			n := rapid.SampledFrom(w.nodes).Draw(t, "node")
			n.paused = !n.paused
		},
		"crash": func(t *rapid.T) {
			if n := w.pick(t); n != nil && rare(t) {
				n.dead = true
			}
		},
		"exclude": func(t *rapid.T) {
			if members := w.members(); len(members) > 1 && rare(t) {
				w.exclude(rapid.SampledFrom(members).Draw(t, "member"))
			}
		},
		"leave": func(t *rapid.T) {
			members := w.members()
			n := w.pick(t)
			if n == nil || len(members) == 1 || !rare(t) {
				return
			}
			i := slices.Index(members, n.id)
			if i < 0 || slices.ContainsFunc(w.runs, func(r *run) bool { return r.node == n }) {
				return
			}
			n.dead = true
			w.log = append(w.log, record{members: slices.Delete(members, i, i+1)})
		},
		"join": func(t *rapid.T) {
			if members := w.members(); len(members) < 5 && rare(t) {
				n := w.add()
				w.log = append(w.log, record{members: append(members, n.id)})
				if rapid.Bool().Draw(t, "snapshot") {
					w.foldSnapshot(n)
				}
			}
		},
		"total": func(t *rapid.T) {
			if !rare(t) {
				return
			}
			total := rapid.IntRange(-1, 6).Draw(t, "total")
			w.log = append(w.log, record{resource: resource.Draw(t, "resource"), total: total})
		},
		"": w.check,
	}
}

// TestLedgersAgainstExactCount drives ledgers through loss, repeats, reordering, late
// answers, pauses, crashes, exclusions, joins and changed totals, and compares them
// with a count of what really runs. Then the faults stop, and all tokens have to be usable.
func TestLedgersAgainstExactCount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.IntRange(1, 4).Draw(t, "members"))
		t.Repeat(w.actions())
		for slices.ContainsFunc(w.members(), func(id string) bool { return w.node(id).dead }) {
			i := slices.IndexFunc(w.members(), func(id string) bool { return w.node(id).dead })
			if len(w.members()) == 1 {
				n := w.add()
				w.log = append(w.log, record{members: append(w.members(), n.id)})
			}
			w.exclude(w.members()[i])
		}
		w.heal(150)
		w.requireAllUsable(t)
	})
}

// requireAllUsable takes every token there is, each at some member that wants it.
func (w *world) requireAllUsable(t *rapid.T) {
	members := w.members()
	for _, resource := range worldResources {
		usable, total := 0, 0
		for _, id := range members {
			c := w.node(id).l.Counts(resource)
			usable += c.Held + c.Free
			total = c.Total
			require.Equal(t, c.Home, c.Ready, id)
		}
		require.Equal(t, total, usable, resource)
	}
	for _, resource := range worldResources {
		for _, id := range members {
			n := w.node(id)
			started := 0
			for range 20 {
				n.l.Want(resource, n.totals[resource]-started)
				w.heal(1)
				for w.take(t, n, resource, worldRun) {
					started++
				}
			}
			require.Equal(t, n.totals[resource], started, "%s gets all of %s", id, resource)
			n.l.Want(resource, 0)
			for len(w.runs) > 0 {
				w.release(0)
			}
		}
	}
}
