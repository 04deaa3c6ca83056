package mstoken

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"
)

const (
	worldLease = 4 * time.Second
	worldRun   = 6 * time.Second
)

var worldResources = []string{"x", "y"}

// record is an entry of the world's log: a view, or the total of a resource. A total
// below zero forgets the resource.
type record struct {
	members  []string
	excluded string
	resource string
	total    int
}

// run is work as the upstream knows it, whatever becomes of the entry that started it.
type run struct {
	node     *node
	resource string
	end      time.Time
	released bool
}

// node is an entry: its ledger, how far it has folded the log, and its lease.
type node struct {
	l       *Ledger
	id      string
	folded  int
	view    View
	freshAt time.Time // freshAt is when it last read to the end of the log.
	paused  bool
	dead    bool
	totals  map[string]int
}

// message is an exchange or its answer on the way.
type message struct {
	from, to string
	items    []Item
	gifts    []Gift
	answer   bool
}

// world is a fleet with a log, a bad network and an exact count of what runs.
type world struct {
	now   time.Time
	log   []record
	nodes []*node
	net   []message
	asked []message // asked are the exchanges that the sender has not given up or seen answered.
	runs  []*run
	names int
}

func newWorld(members int) *world {
	w := &world{now: start}
	for range members {
		w.add()
	}
	w.log = append(w.log, record{members: w.ids()})
	for _, r := range worldResources {
		w.log = append(w.log, record{resource: r, total: 3})
	}
	return w
}

func (w *world) add() *node {
	w.names++
	n := &node{id: fmt.Sprintf("n%02d", w.names), totals: map[string]int{}}
	n.l = &Ledger{Self: n.id, Reclaim: worldLease + worldRun}
	w.nodes = append(w.nodes, n)
	return n
}

func (w *world) ids() []string {
	var ids []string
	for _, n := range w.nodes {
		ids = append(ids, n.id)
	}
	return ids
}

// members are those of the last view in the log.
func (w *world) members() []string {
	for i := len(w.log) - 1; ; i-- {
		if w.log[i].members != nil {
			return slices.Clone(w.log[i].members)
		}
	}
}

func (w *world) node(id string) *node {
	return w.nodes[slices.Index(w.ids(), id)]
}

// fold takes the next k records at n.
func (w *world) fold(n *node, k int) {
	for ; k > 0 && n.folded < len(w.log); k-- {
		r := w.log[n.folded]
		n.folded++
		if r.members == nil && r.total < 0 {
			n.totals[r.resource] = 0
			n.l.Forget(r.resource)
			continue
		}
		if r.members == nil {
			n.totals[r.resource] = r.total
			n.l.SetTotal(r.resource, r.total, uint64(n.folded), w.now)
			continue
		}
		if r.excluded != "" {
			n.view.Lost = append(n.view.Lost, Lost{Member: r.excluded, Since: w.now})
		}
		n.view.Epoch = uint64(n.folded)
		n.view.Members = r.members
		n.l.Turn(n.view, w.now)
	}
	if n.folded == len(w.log) {
		n.freshAt = w.now
	}
}

// foldSnapshot brings a new node to the end of the log by the newest records alone.
func (w *world) foldSnapshot(n *node) {
	newest := map[string]int{}
	for i, r := range w.log {
		newest[r.resource] = i
	}
	for i, r := range w.log {
		n.folded = i
		if newest[r.resource] == i {
			w.fold(n, 1)
		} else if r.excluded != "" {
			n.view.Lost = append(n.view.Lost, Lost{Member: r.excluded, Since: w.now})
		}
	}
}

func (w *world) isFresh(n *node) bool {
	return !n.dead && w.now.Before(n.freshAt.Add(worldLease))
}

// take starts work at n, checked against what really runs.
func (w *world) take(t *rapid.T, n *node, resource string, d time.Duration) bool {
	if !w.isFresh(n) || !n.l.Take(resource) {
		return false
	}
	w.runs = append(w.runs, &run{node: n, resource: resource, end: w.now.Add(d)})
	if running, limit := w.running(resource), w.limit(resource); running > limit {
		t.Fatalf("%s started %s: %d run, the highest total in force is %d", n.id, resource, running, limit)
	}
	return true
}

// running counts the work that really runs.
func (w *world) running(resource string) int {
	count := 0
	for _, r := range w.runs {
		if r.resource == resource && !r.released && w.now.Before(r.end) {
			count++
		}
	}
	return count
}

// limit is the highest total folded by any entry that may start work now.
func (w *world) limit(resource string) int {
	limit := 0
	for _, n := range w.nodes {
		if w.isFresh(n) {
			limit = max(limit, n.totals[resource])
		}
	}
	return limit
}

// check compares all that runs and all that could be started from here with the limit.
func (w *world) check(t *rapid.T) {
	for _, resource := range worldResources {
		startable := 0
		for _, n := range w.nodes {
			c := n.l.Counts(resource)
			if c.Idle < 0 || c.Running < 0 {
				t.Fatalf("%s: %+v", n.id, c)
			}
			if w.isFresh(n) {
				startable += c.Idle + c.Free
			}
		}
		running, limit := w.running(resource), w.limit(resource)
		if startable > 0 && running+startable > limit {
			t.Fatalf("%s: %d run and %d more may start, the highest total in force is %d", resource, running, startable, limit)
		}
	}
}

// send puts what is due at n on the network.
func (w *world) send(n *node) {
	for _, b := range n.l.Outgoing(w.now) {
		m := message{from: n.id, to: b.To, items: b.Items}
		w.net = append(w.net, m)
		w.asked = append(w.asked, m)
	}
}

// deliver hands over message i, and leaves it on the network for another time if twice.
func (w *world) deliver(i int, twice bool) {
	m := w.net[i]
	to := w.node(m.to)
	if !twice {
		w.net = slices.Delete(w.net, i, i+1)
	}
	switch {
	case to.dead || to.paused:
	case m.answer:
		to.l.HandleGifts(m.from, m.gifts, w.now)
	default:
		gifts := to.l.HandleExchange(m.from, m.items, w.now)
		w.net = append(w.net, message{from: m.to, to: m.from, gifts: gifts, answer: true})
	}
}

// expire has the sender give up exchange i; its answer may still come.
func (w *world) expire(i int) {
	m := w.asked[i]
	w.asked = slices.Delete(w.asked, i, i+1)
	if n := w.node(m.from); !n.dead {
		n.l.Expire(m.to, m.items, w.now)
	}
}

// release ends run i, and tells the ledger that started it.
func (w *world) release(i int) {
	r := w.runs[i]
	r.released = true
	w.runs = slices.Delete(w.runs, i, i+1)
	if !r.node.dead {
		r.node.l.Release(r.resource, w.now)
	}
}

// heal ends all faults, gives every entry that many rounds of exchange without loss,
// and returns the number of items sent.
func (w *world) heal(rounds int) int {
	items := 0
	members := w.members()
	for _, n := range w.nodes {
		n.paused = false
		n.dead = n.dead || !slices.Contains(members, n.id)
	}
	for len(w.asked) > 0 {
		w.expire(0)
	}
	w.net = nil
	for range rounds {
		w.now = w.now.Add(100 * time.Millisecond)
		for i := len(w.runs) - 1; i >= 0; i-- {
			if !w.now.Before(w.runs[i].end) {
				w.release(i)
			}
		}
		for _, n := range w.nodes {
			if !n.dead {
				w.fold(n, len(w.log))
				w.send(n)
			}
		}
		for len(w.net) > 0 {
			items += len(w.net[0].items)
			w.deliver(0, false)
		}
		w.asked = nil
	}
	return items
}
