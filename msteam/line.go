package msteam

import (
	"container/heap"
	"time"
)

// line holds the waiters of all teams: by team in order of arrival, and all
// together by deadline. Nodes are used again, so that a steady line makes no
// garbage.
type line struct {
	byID  map[uint64]*node
	late  deadlines
	spare *node
}

type node struct {
	w          Waiter
	team       *team
	prev, next *node
	index      int // in deadlines, or -1
}

// queue is a linked list in order of arrival.
type queue struct {
	head, tail *node
	n          int
}

func (l *line) add(t *team, w Waiter) {
	n := l.spare
	if n == nil {
		n = &node{}
	} else {
		l.spare = n.next
	}
	*n = node{w: w, team: t, index: -1}
	if l.byID == nil {
		l.byID = make(map[uint64]*node)
	}
	l.byID[w.ID] = n
	t.queue(w.Urgent).push(n)
	if !w.Deadline.IsZero() {
		heap.Push(&l.late, n)
	}
}

func (l *line) has(id uint64) bool {
	return l.byID[id] != nil
}

func (l *line) remove(id uint64) bool {
	n := l.byID[id]
	if n == nil {
		return false
	}
	l.take(n)
	return true
}

// pop takes the first waiter of t, urgent ones before the rest.
func (l *line) pop(t *team) Waiter {
	if n := t.urgent.head; n != nil {
		return l.take(n)
	}
	return l.take(t.normal.head)
}

// popExpired takes one waiter whose deadline is before now.
func (l *line) popExpired(now time.Time) (Waiter, bool) {
	if len(l.late) == 0 || !now.After(l.late[0].w.Deadline) {
		return Waiter{}, false
	}
	return l.take(l.late[0]), true
}

// take removes n from everywhere and keeps it for another waiter.
func (l *line) take(n *node) Waiter {
	w := n.w
	delete(l.byID, w.ID)
	n.team.queue(w.Urgent).remove(n)
	if n.index >= 0 {
		heap.Remove(&l.late, n.index)
	}
	*n = node{next: l.spare}
	l.spare = n
	return w
}

func (q *queue) push(n *node) {
	n.prev = q.tail
	if q.tail == nil {
		q.head = n
	} else {
		q.tail.next = n
	}
	q.tail = n
	q.n++
}

func (q *queue) remove(n *node) {
	if n.prev == nil {
		q.head = n.next
	} else {
		n.prev.next = n.next
	}
	if n.next == nil {
		q.tail = n.prev
	} else {
		n.next.prev = n.prev
	}
	q.n--
}

// deadlines is a heap of the nodes that have a deadline, earliest first.
type deadlines []*node

// Len returns the number of nodes.
func (d deadlines) Len() int { return len(d) }

// Less orders by deadline.
func (d deadlines) Less(i, j int) bool { return d[i].w.Deadline.Before(d[j].w.Deadline) }

// Swap keeps each node's index.
func (d deadlines) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].index, d[j].index = i, j
}

// Push appends a *node.
func (d *deadlines) Push(x any) {
	n := x.(*node)
	n.index = len(*d)
	*d = append(*d, n)
}

// Pop removes the last *node.
func (d *deadlines) Pop() any {
	old := *d
	n := old[len(old)-1]
	old[len(old)-1] = nil
	*d = old[:len(old)-1]
	n.index = -1
	return n
}
