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
	found, mayIsolate := BlockedByWorkers, want.Group == "" || mayIsolate(want, workers)
	for i := range workers {
		w := workers[i]
		if CanRun(want, &w) && (mayIsolate || w.Isolated) {
			return BlockedByNothing
		}
		free := w
		free.liftProtections()
		idle := free
		idle.Free = w.Capacity
		switch {
		case !CanRun(want, &idle):
		case !CanRun(want, &free):
			if found == BlockedByWorkers {
				found = BlockedByLoad
			}
		case w.Withheld, w.BarredAnyway:
			if found != BlockedByIsolation {
				found = BlockedByWithheld
			}
		default:
			found = BlockedByIsolation
		}
	}
	return found
}

// Slots returns how many tasks with these requirements idle workers could run. onlyWithheld is
// set if there are any, all on workers that are withheld.
func Slots(want Requirements, workers []Worker) (n int, onlyWithheld bool) {
	onlyWithheld = true
	for i := range workers {
		idle := workers[i]
		idle.Free = idle.Capacity
		idle.liftProtections()
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

// liftProtections clears all that keeps tasks away but the worker's load.
func (w *Worker) liftProtections() {
	w.Withheld, w.BarredAnyway, w.Isolated, w.FreshTrial = false, false, false, false
	w.IsolatedFor, w.Recent, w.Suspects = "", 0, 0
}
