package msplace

import "marjoramspan/msjob"

// Blocker is why no worker is chosen for a task.
type Blocker int

const (
	// BlockedByNothing is for tasks that a worker can run.
	BlockedByNothing Blocker = iota
	// BlockedByLoad says that the workers that could run the task have no room.
	BlockedByLoad
	// BlockedByWorkers says that no worker could run the task if it were idle.
	BlockedByWorkers
	// BlockedByWithheld says that workers with room are withheld.
	BlockedByWithheld
	// BlockedByIsolation says that workers with room are kept for tasks that start apart, or
	// that the task has to start apart and there is no worker for that yet.
	BlockedByIsolation
)

// FindBlocker returns why Choose finds no worker. Of several causes it is the one that alone
// keeps the task from a worker with room.
func FindBlocker(want Requirements, workers []Worker) Blocker {
	found, maySpread := BlockedByWorkers, want.Group == "" || mayIsolate(want, workers)
	for i := range workers {
		w := workers[i]
		if CanRun(want, &w) && (maySpread || w.Isolated) {
			return BlockedByNothing
		}
		idle := w.idle()
		free := idle
		free.Free = w.Free
		switch {
		case !CanRun(want, &idle):
		case !CanRun(want, &free), w.Busy:
			if found == BlockedByWorkers {
				found = BlockedByLoad
			}
		case w.Withheld, w.Barred:
			if found != BlockedByIsolation {
				found = BlockedByWithheld
			}
		default:
			found = BlockedByIsolation
		}
	}
	return found
}

// Fits counts workers that could run a task if they were idle.
type Fits struct {
	// Label has those with the task's label, Size those of them that are large enough for it,
	// Spread those of them that don't run too many tasks of its step.
	Label, Size, Spread int
}

// CountFits counts the workers that could run a task if they were idle.
func CountFits(want Requirements, workers []Worker) Fits {
	var n Fits
	for i := range workers {
		w := &workers[i]
		if want.Step.Label != "" && !hasLabel(w.Labels, want.Step.Label) {
			continue
		}
		n.Label++
		if !want.Step.Reserved().Fits(w.Capacity) {
			continue
		}
		n.Size++
		if m := want.Step.MaxPerWorker; m == 0 || want.OnWorker[w.ID] < m {
			n.Spread++
		}
	}
	return n
}

// Slots returns how many tasks of the step the workers could run if all were idle. onlyWithheld
// is set if there are any, all on workers that are withheld.
func Slots(want Requirements, workers []Worker) (n int, onlyWithheld bool) {
	want.OnWorker = nil
	onlyWithheld = true
	for i := range workers {
		idle := workers[i].idle()
		if !CanRun(want, &idle) {
			continue
		}
		n += slotsOn(want.Step, &idle)
		onlyWithheld = onlyWithheld && workers[i].Withheld
	}
	return n, n > 0 && onlyWithheld
}

// slotsOn returns how many tasks of a step an idle worker has room for.
func slotsOn(s *msjob.Step, w *Worker) int {
	n, need := int64(s.Count), s.Reserved()
	if s.MaxPerWorker > 0 {
		n = min(n, int64(s.MaxPerWorker))
	}
	for _, r := range [...][2]int64{{w.Free.CPU, need.CPU}, {w.Free.Memory, need.Memory}, {w.Free.GPUs, need.GPUs}} {
		if room, need := r[0], r[1]; need > 0 {
			n = min(n, room/need)
		}
	}
	return int(n)
}

// idle returns the worker as it would be with no tasks and nothing that keeps tasks away.
func (w *Worker) idle() Worker {
	return Worker{ID: w.ID, Rack: w.Rack, Labels: w.Labels, Capacity: w.Capacity, Free: w.Capacity}
}
