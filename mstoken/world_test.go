package mstoken

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"
)

const (
	testLease  = 4 * time.Second
	testMaxRun = 6 * time.Second
)

var testResources = []string{"x", "y"}

// logRecord is a record of the simulated log: a view, or the total of a resource. A total
// below zero forgets the resource.
type logRecord struct {
	members  []string
	excluded string
	resource string
	total    int
}

// run is one unit of work as the upstream sees it. It may outlive its entry.
type run struct {
	node     *node
	resource string
	end      time.Time
	released bool
}

// node is a simulated entry: its ledger, its position in the log and its lease.
type node struct {
	ledger     *Ledger
	id         string
	applied    int
	view       View
	leaseStart time.Time // when it last read to the end of the log
	paused     bool
	dead       bool
	totals     map[string]int
}

// message is an exchange or its answer in transit.
type message struct {
	from, to string
	items    []Item
	gifts    []Grant
	answer   bool
}

// cluster simulates a fleet with a shared log and an unreliable network. It keeps an exact
// count of the work that runs.
type cluster struct {
	now        time.Time
	log        []logRecord
	nodes      []*node
	inFlight   []message
	unanswered []message // exchanges that the sender has neither abandoned nor seen answered
	runs       []*run
	lastID     int
}

func newCluster(members int) *cluster {
	cl := &cluster{now: start}
	for range members {
		cl.addNode()
	}
	cl.log = append(cl.log, logRecord{members: cl.ids()})
	for _, r := range testResources {
		cl.log = append(cl.log, logRecord{resource: r, total: 3})
	}
	return cl
}

func (cl *cluster) addNode() *node {
	cl.lastID++
	n := &node{id: fmt.Sprintf("n%02d", cl.lastID), totals: map[string]int{}}
	n.ledger = &Ledger{Self: n.id, ReclaimAfter: testLease + testMaxRun}
	cl.nodes = append(cl.nodes, n)
	return n
}

func (cl *cluster) ids() []string {
	var ids []string
	for _, n := range cl.nodes {
		ids = append(ids, n.id)
	}
	return ids
}

// members returns the member ids of the last view in the log.
func (cl *cluster) members() []string {
	for i := len(cl.log) - 1; ; i-- {
		if cl.log[i].members != nil {
			return slices.Clone(cl.log[i].members)
		}
	}
}

func (cl *cluster) node(id string) *node {
	return cl.nodes[slices.Index(cl.ids(), id)]
}

// apply applies the next k log records at n.
func (cl *cluster) apply(n *node, k int) {
	for ; k > 0 && n.applied < len(cl.log); k-- {
		r := cl.log[n.applied]
		n.applied++
		if r.members == nil && r.total < 0 {
			n.totals[r.resource] = 0
			n.ledger.Forget(r.resource)
			continue
		}
		if r.members == nil {
			n.totals[r.resource] = r.total
			n.ledger.SetTotal(r.resource, r.total, uint64(n.applied), cl.now)
			continue
		}
		if r.excluded != "" {
			n.view.Lost = append(n.view.Lost, Lost{Member: r.excluded, Since: cl.now})
		}
		n.view.Epoch = uint64(n.applied)
		n.view.Members = r.members
		n.ledger.SetView(n.view, cl.now)
	}
	if n.applied == len(cl.log) {
		n.leaseStart = cl.now
	}
}

// applySnapshot brings a new node to the end of the log with only the newest view and the
// newest total of each resource.
func (cl *cluster) applySnapshot(n *node) {
	newest := map[string]int{}
	for i, r := range cl.log {
		newest[r.resource] = i
	}
	for i, r := range cl.log {
		n.applied = i
		if newest[r.resource] == i {
			cl.apply(n, 1)
		} else if r.excluded != "" {
			n.view.Lost = append(n.view.Lost, Lost{Member: r.excluded, Since: cl.now})
		}
	}
}

func (cl *cluster) hasLease(n *node) bool {
	return !n.dead && cl.now.Before(n.leaseStart.Add(testLease))
}

// take starts work at n and checks the number of running units against the limit.
func (cl *cluster) take(t *rapid.T, n *node, resource string, d time.Duration) bool {
	if !cl.hasLease(n) || !n.ledger.Acquire(resource) {
		return false
	}
	cl.runs = append(cl.runs, &run{node: n, resource: resource, end: cl.now.Add(d)})
	if running, limit := cl.running(resource), cl.limit(resource); running > limit {
		t.Fatalf("%s started %s: %d units run, the highest total in force is %d", n.id, resource, running, limit)
	}
	return true
}

// running counts the work that is actually running.
func (cl *cluster) running(resource string) int {
	count := 0
	for _, r := range cl.runs {
		if r.resource == resource && !r.released && cl.now.Before(r.end) {
			count++
		}
	}
	return count
}

// limit returns the highest total applied by any entry that may start work now.
func (cl *cluster) limit(resource string) int {
	limit := 0
	for _, n := range cl.nodes {
		if cl.hasLease(n) {
			limit = max(limit, n.totals[resource])
		}
	}
	return limit
}

// check compares the running work plus all work that could be started now with the limit.
func (cl *cluster) check(t *rapid.T) {
	for _, resource := range testResources {
		startable := 0
		for _, n := range cl.nodes {
			c := n.ledger.Counts(resource)
			if c.Idle < 0 || c.Running < 0 {
				t.Fatalf("%s: %+v", n.id, c)
			}
			if cl.hasLease(n) {
				startable += c.Idle + c.Free
			}
		}
		running, limit := cl.running(resource), cl.limit(resource)
		if startable > 0 && running+startable > limit {
			t.Fatalf("%s: %d units run and %d more may start, the highest total in force is %d", resource, running, startable, limit)
		}
	}
}

// send puts the outgoing messages of n on the network.
func (cl *cluster) send(n *node) {
	for _, b := range n.ledger.Outgoing(cl.now) {
		m := message{from: n.id, to: b.To, items: b.Items}
		cl.inFlight = append(cl.inFlight, m)
		cl.unanswered = append(cl.unanswered, m)
	}
}

// deliver delivers message i. With duplicate set, the message stays on the network and is
// delivered again later.
func (cl *cluster) deliver(i int, duplicate bool) {
	m := cl.inFlight[i]
	to := cl.node(m.to)
	if !duplicate {
		cl.inFlight = slices.Delete(cl.inFlight, i, i+1)
	}
	switch {
	case to.dead || to.paused:
	case m.answer:
		to.ledger.HandleGrants(m.from, m.gifts, cl.now)
	default:
		gifts := to.ledger.HandleExchange(m.from, m.items, cl.now)
		cl.inFlight = append(cl.inFlight, message{from: m.to, to: m.from, gifts: gifts, answer: true})
	}
}

// expire makes the sender abandon exchange i; its answer may still arrive.
func (cl *cluster) expire(i int) {
	m := cl.unanswered[i]
	cl.unanswered = slices.Delete(cl.unanswered, i, i+1)
	if n := cl.node(m.from); !n.dead {
		n.ledger.Expire(m.to, m.items, cl.now)
	}
}

// release ends run i and releases its token at the ledger that started it.
func (cl *cluster) release(i int) {
	r := cl.runs[i]
	r.released = true
	cl.runs = slices.Delete(cl.runs, i, i+1)
	if !r.node.dead {
		r.node.ledger.Release(r.resource, cl.now)
	}
}

// heal ends all faults, lets every entry exchange messages without loss for that many
// rounds, and returns the number of items sent.
func (cl *cluster) heal(rounds int) int {
	items := 0
	members := cl.members()
	for _, n := range cl.nodes {
		n.paused = false
		n.dead = n.dead || !slices.Contains(members, n.id)
	}
	for len(cl.unanswered) > 0 {
		cl.expire(0)
	}
	cl.inFlight = nil
	for range rounds {
		cl.now = cl.now.Add(100 * time.Millisecond)
		for i := len(cl.runs) - 1; i >= 0; i-- {
			if !cl.now.Before(cl.runs[i].end) {
				cl.release(i)
			}
		}
		for _, n := range cl.nodes {
			if !n.dead {
				cl.apply(n, len(cl.log))
				cl.send(n)
			}
		}
		for len(cl.inFlight) > 0 {
			items += len(cl.inFlight[0].items)
			cl.deliver(0, false)
		}
		cl.unanswered = nil
	}
	return items
}
