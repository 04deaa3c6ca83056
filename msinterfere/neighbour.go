package msinterfere

import "time"

const (
	// maxEnded is how many ended attempts of a worker are kept: a worker of 64 cores ends
	// about 30 short tasks while a long one runs.
	maxEnded = 32
	// maxNeighbours bounds the images that are compared at one end.
	maxNeighbours = 32
)

// Neighbour is an image that ran beside an attempt for a part of its time, from 0 to 1.
type Neighbour struct {
	Image   string
	Overlap float64
}

type span struct {
	image    string
	from, to time.Time
}

// History has the attempts that ended lately on a worker. The zero value is empty.
type History struct {
	spans []span
	next  int
}

// Ended adds an attempt that has ended.
func (h *History) Ended(image string, from, to time.Time) {
	if image == "" || from.IsZero() || !to.After(from) {
		return
	}
	if len(h.spans) < maxEnded {
		h.spans = append(h.spans, span{image, from, to})
		return
	}
	h.spans[h.next] = span{image, from, to}
	h.next = (h.next + 1) % maxEnded
}

// Overlaps sums up what ran beside an attempt. It is reused from attempt to attempt.
type Overlaps struct {
	from, to time.Time
	list     []Neighbour
}

// Begin starts with an attempt that ran in the given time, and with what has ended on its
// worker.
func (o *Overlaps) Begin(from, to time.Time, h *History) {
	o.from, o.to, o.list = from, to, o.list[:0]
	for i := range h.spans {
		o.Add(h.spans[i].image, h.spans[i].from, h.spans[i].to)
	}
}

// Add adds another attempt of the worker.
func (o *Overlaps) Add(image string, from, to time.Time) {
	if from.IsZero() || image == "" {
		return
	}
	if from.Before(o.from) {
		from = o.from
	}
	if to.After(o.to) {
		to = o.to
	}
	part := to.Sub(from).Seconds() / o.to.Sub(o.from).Seconds()
	if !(part > 0) {
		return
	}
	for i := range o.list {
		if o.list[i].Image == image {
			o.list[i].Overlap = min(1, o.list[i].Overlap+part)
			return
		}
	}
	if len(o.list) < maxNeighbours {
		o.list = append(o.list, Neighbour{image, part})
	}
}

// List returns the neighbours. It is valid until the next Begin.
func (o *Overlaps) List() []Neighbour {
	return o.list
}
