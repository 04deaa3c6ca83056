package msteam

import (
	"container/heap"
	"time"
)

// waitQueue holds the waiters of all teams: per team in order of arrival, and
// over all teams by deadline. A free list recycles nodes, so that a queue in
// steady state doesn't allocate.
type waitQueue struct {
	byID       map[uint64]*node
	byDeadline deadlineHeap
	free       *node
}

type node struct {
	w          Waiter
	team       *team
	prev, next *node
	index      int // in deadlines, or -1
}

// fifo is a doubly linked list in order of arrival.
type fifo struct {
	head, tail *node
	n          int
}

func (q *waitQueue) add(t *team, w Waiter) {
	n := q.free
	if n == nil {
		n = &node{}
	} else {
		q.free = n.next
	}
	*n = node{w: w, team: t, index: -1}
	if q.byID == nil {
		q.byID = make(map[uint64]*node)
	}
	q.byID[w.ID] = n
	t.fifo(w.Urgent).push(n)
	if !w.Deadline.IsZero() {
		heap.Push(&q.byDeadline, n)
	}
}

func (q *waitQueue) has(id uint64) bool {
	return q.byID[id] != nil
}

func (q *waitQueue) remove(id uint64) bool {
	n := q.byID[id]
	if n == nil {
		return false
	}
	q.unlink(n)
	return true
}

// pop removes and returns the next waiter of t, urgent ones first.
func (q *waitQueue) pop(t *team) Waiter {
	if n := t.urgent.head; n != nil {
		return q.unlink(n)
	}
	return q.unlink(t.normal.head)
}

// popExpired removes and returns a waiter whose deadline is before now.
func (q *waitQueue) popExpired(now time.Time) (Waiter, bool) {
	if len(q.byDeadline) == 0 || !now.After(q.byDeadline[0].w.Deadline) {
		return Waiter{}, false
	}
	return q.unlink(q.byDeadline[0]), true
}

// unlink removes n from all indexes and puts it on the free list.
func (q *waitQueue) unlink(n *node) Waiter {
	w := n.w
	delete(q.byID, w.ID)
	n.team.fifo(w.Urgent).remove(n)
	if n.index >= 0 {
		heap.Remove(&q.byDeadline, n.index)
	}
	*n = node{next: q.free}
	q.free = n
	return w
}

func (q *fifo) push(n *node) {
	n.prev = q.tail
	if q.tail == nil {
		q.head = n
	} else {
		q.tail.next = n
	}
	q.tail = n
	q.n++
}

func (q *fifo) remove(n *node) {
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

// deadlineHeap is a min-heap of the nodes that have a deadline.
type deadlineHeap []*node

// Len implements heap.Interface.
func (d deadlineHeap) Len() int { return len(d) }

// Less orders nodes by deadline.
func (d deadlineHeap) Less(i, j int) bool { return d[i].w.Deadline.Before(d[j].w.Deadline) }

// Swap swaps two nodes and updates their indexes.
func (d deadlineHeap) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].index, d[j].index = i, j
}

// Push appends a *node.
func (d *deadlineHeap) Push(x any) {
	n := x.(*node)
	n.index = len(*d)
	*d = append(*d, n)
}

// Pop removes and returns the last *node.
func (d *deadlineHeap) Pop() any {
	old := *d
	n := old[len(old)-1]
	old[len(old)-1] = nil
	*d = old[:len(old)-1]
	n.index = -1
	return n
}
