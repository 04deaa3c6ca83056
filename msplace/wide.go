package msplace

import "sort"

// WideJobs finds the largest tenth of each queue's jobs and watches how often they can be
// in time.
//
// It answers a load in which a full pool has jobs whose tasks need much more than those of
// others: whenever a task ends, a small task takes its room, and the large one behind it
// never finds any. The zero value is empty.
type WideJobs struct {
	queues map[string]*wideQueue
}

type wideQueue struct {
	// recent has the work of the latest jobs, n how many there were, limit the work from
	// which on a job is wide.
	recent [wideWindow]float64
	n      int
	limit  float64
	// all and wide count the jobs that have ended or can't be in time any more.
	all, wide outcome
}

type outcome struct{ inTime, total float64 }

func (o outcome) part() float64 { return o.inTime / max(1, o.total) }

const (
	// wideWindow is the number of jobs from which the largest tenth is found.
	wideWindow = 60
	// wideUpdate is the number of jobs after which it is found anew.
	wideUpdate = 10
	// maxOutcomes is the number of jobs from which on all counts are halved, so that old
	// ones are forgotten.
	maxOutcomes = 200
	// minWideOutcomes is the number of wide jobs from which on their part in time counts.
	minWideOutcomes = 4
	// minWidePart is the part in time of wide jobs, relative to all jobs, below which they go
	// before others and capacity is held for them. They must be in time half as often as all;
	// with a threshold of 0.5 a replayed overload had 0.485 times as many.
	minWidePart = 0.6
)

// Add counts a new job with the given work and reports whether it is wide.
func (w *WideJobs) Add(queue string, work float64) bool {
	q := w.queues[queue]
	if q == nil {
		if w.queues == nil {
			w.queues = map[string]*wideQueue{}
		}
		q = &wideQueue{}
		w.queues[queue] = q
	}
	q.recent[q.n%wideWindow] = work
	q.n++
	if q.n%wideUpdate == 0 {
		known := min(q.n, wideWindow)
		sorted := make([]float64, known)
		copy(sorted, q.recent[:known])
		sort.Float64s(sorted)
		q.limit = sorted[known*9/10]
	}
	return q.limit > 0 && work >= q.limit
}

// End counts a job that has ended in time, or that no longer can.
func (w *WideJobs) End(queue string, wide, inTime bool) {
	q := w.queues[queue]
	if q == nil {
		return
	}
	q.all.add(inTime)
	if wide {
		q.wide.add(inTime)
	}
	if q.all.total > maxOutcomes {
		q.all, q.wide = q.all.half(), q.wide.half()
	}
}

func (o *outcome) add(inTime bool) {
	o.total++
	if inTime {
		o.inTime++
	}
}

func (o outcome) half() outcome {
	return outcome{inTime: o.inTime / 2, total: o.total / 2}
}

// Starved reports whether the wide jobs of a queue are in time too seldom.
func (w *WideJobs) Starved(queue string) bool {
	q := w.queues[queue]
	return q != nil && q.wide.total >= minWideOutcomes && q.wide.part() < minWidePart*q.all.part()
}

// Hold keeps a worker free of further tasks of this pass, for a task that no worker has room
// for, and returns its index, or -1 if there is none. It takes the worker that has the most
// room of those that could run the task if they were idle.
//
// One worker at a time, with wide jobs before others of their team, is enough. In a replayed
// overload with a tenth of large tasks 0.51 times as many wide jobs as of all were in time
// then, 0.39 times without, and 0.562 of all in place of 0.580. Holding a quarter of the
// workers without the order had 0.52 times as many and 0.539 of all.
func Hold(want Requirements, workers []Worker) int {
	best := -1
	for i := range workers {
		w := &workers[i]
		if w.Isolated || w.Withheld || !want.Step.Reserved().Fits(w.Capacity) || want.Step.Label != "" && !hasLabel(w.Labels, want.Step.Label) {
			continue
		}
		if best < 0 || freeShare(w) > freeShare(&workers[best]) {
			best = i
		}
	}
	if best >= 0 {
		workers[best].Withheld = true
	}
	return best
}
