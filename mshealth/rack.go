package mshealth

import "time"

// rack has the latest trouble of a rack's workers.
type rack struct {
	troubleAt map[string]time.Time
}

const (
	// rackSpan is the time within which the workers of a rack that fails get into trouble.
	rackSpan = 1500 * time.Millisecond
	// minRackTrouble is how many workers in trouble at least make it the rack's.
	minRackTrouble = 3
)

// rackFails notes trouble of a worker and reports whether at least half of the rack's workers
// are in trouble at the same time, or half of those of the racks with trouble. They are not to
// blame then: the rack fails, or this leader's link.
func (t *Table) rackFails(w *Worker, now time.Time) bool {
	if w.rack == "" {
		return false
	}
	r := t.racks[w.rack]
	if r == nil {
		if t.racks == nil {
			t.racks = map[string]*rack{}
		}
		r = &rack{troubleAt: map[string]time.Time{}}
		t.racks[w.rack] = r
	}
	r.troubleAt[w.key] = now
	n := r.inTrouble(now)
	if size := t.RackSize[w.rack]; n >= minRackTrouble && size > 0 && 2*n >= size {
		t.excuseAll(r, now)
		return true
	}
	all, size := 0, 0
	for name, o := range t.racks {
		all += o.inTrouble(now)
		size += t.RackSize[name]
	}
	if all < 2 || 2*all < size || size == 0 {
		return false
	}
	for _, o := range t.racks {
		t.excuseAll(o, now)
	}
	return true
}

// inTrouble counts the workers that have got into trouble just now.
func (r *rack) inTrouble(now time.Time) int {
	n := 0
	for key, at := range r.troubleAt {
		if now.Sub(at) < rackSpan {
			n++
		} else if now.Sub(at) > forgetAfter {
			delete(r.troubleAt, key)
		}
	}
	return n
}

func (t *Table) excuseAll(r *rack, now time.Time) {
	for key, at := range r.troubleAt {
		if o := t.workers[key]; o != nil && now.Sub(at) < rackSpan {
			t.excuse(o, now)
		}
	}
}

// excuse marks a worker as in trouble with its rack: its pauses don't grow.
func (t *Table) excuse(w *Worker, now time.Time) {
	w.unsteady = false
	if w.rackFault {
		return
	}
	w.rackFault = true
	if now.Before(w.outUntil) {
		w.level = max(0, w.level-1)
	} else if !w.onTrial {
		w.score = 0
		t.update(w, now, "its whole rack fails")
	}
}
