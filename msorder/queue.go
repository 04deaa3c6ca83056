// Package msorder holds the orders that wait to be sent to a worker.
//
// A worker takes orders over a few connections, so that a few senders carry all there are. What
// waits for them is a value in a queue, without a goroutine or a timer of its own: a job of
// thousands of tasks costs as much as it has tasks, not as many calls.
package msorder

import (
	"time"

	"marjoramspan/msjob"
)

const (
	// MaxSenders is the maximum number of orders that are sent to a worker at a time.
	MaxSenders = 6
	// MaxStarts is the number of starts that may wait for the senders of a worker. Workers answer
	// within milliseconds, so that these are sent within a tenth of a second.
	MaxStarts = 8 * MaxSenders
	// fewStarts is the number of waiting starts from which on a worker may be given more.
	fewStarts = MaxStarts / 2
)

// Kind is the kind of an order.
type Kind int

// The kinds of orders. Stops are sent first, as they free capacity.
const (
	Stop Kind = iota
	Start
)

// Order is an order for an attempt of a task.
type Order struct {
	Kind    Kind
	Task    msjob.TaskID
	Attempt int
}

// Queue has the orders that wait to be sent to one worker, and counts the senders. The zero value is
// empty. It takes no lock.
type Queue struct {
	stops, starts fifo
	// delayed has orders that are sent again, by their time, which is the same time ahead for all.
	delayed []delayedOrder
	// busy counts the senders with an order, and waiting is set while another one waits for the
	// first of delayed.
	busy    int
	waiting bool
	// full is set from when MaxStarts starts wait until few do.
	full bool
}

type delayedOrder struct {
	Order
	at time.Time
}

// Push adds an order.
func (q *Queue) Push(o Order) {
	if o.Kind == Stop {
		q.stops.push(o)
		return
	}
	q.starts.push(o)
	q.full = q.full || q.starts.len() >= MaxStarts
}

// Full reports whether no further starts should be added.
func (q *Queue) Full() bool {
	return q.full
}

// Len returns the number of orders that wait.
func (q *Queue) Len() int {
	return q.stops.len() + q.starts.len() + len(q.delayed)
}

// AddSender reports whether another sender should begin, and counts it as busy.
func (q *Queue) AddSender() bool {
	if q.busy >= MaxSenders || q.stops.len()+q.starts.len() == 0 && (q.waiting || len(q.delayed) == 0) {
		return false
	}
	q.busy++
	return true
}

// Next removes and returns the order that a busy sender sends next. If there is none, wait is how long
// the sender has to wait for one, or 0 if it ends.
func (q *Queue) Next(now time.Time) (o Order, wait time.Duration, ok bool) {
	n := 0
	for ; n < len(q.delayed) && !q.delayed[n].at.After(now); n++ {
		q.Push(q.delayed[n].Order)
	}
	q.delayed = q.delayed[n:]
	switch {
	case q.stops.len() > 0:
		return q.stops.pop(), 0, true
	case q.starts.len() > 0:
		return q.starts.pop(), 0, true
	}
	q.busy--
	if len(q.delayed) == 0 || q.waiting {
		return o, 0, false
	}
	q.waiting = true
	return o, q.delayed[0].at.Sub(now), false
}

// Resume makes a sender that has waited busy again, and reports false if it ends, as there are
// enough others.
func (q *Queue) Resume() bool {
	q.waiting = false
	if q.busy >= MaxSenders {
		return false
	}
	q.busy++
	return true
}

// Delay adds an order that is sent again at a time, which must not be earlier than that of the order
// delayed before.
func (q *Queue) Delay(o Order, at time.Time) {
	q.delayed = append(q.delayed, delayedOrder{Order: o, at: at})
}

// HasRoom reports, once after Full, that few starts wait.
func (q *Queue) HasRoom() bool {
	if !q.full || q.starts.len() > fewStarts {
		return false
	}
	q.full = false
	return true
}

// fifo is a queue of orders that reuses its memory.
type fifo struct {
	orders []Order
	first  int
}

func (f *fifo) len() int { return len(f.orders) - f.first }

func (f *fifo) push(o Order) {
	if f.first > 0 && len(f.orders) == cap(f.orders) {
		n := copy(f.orders, f.orders[f.first:])
		clear(f.orders[n:])
		f.orders, f.first = f.orders[:n], 0
	}
	f.orders = append(f.orders, o)
}

func (f *fifo) pop() Order {
	o := f.orders[f.first]
	f.orders[f.first] = Order{}
	f.first++
	if f.first == len(f.orders) {
		f.orders, f.first = f.orders[:0], 0
	}
	return o
}
