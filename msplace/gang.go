package msplace

// Room returns how many tasks of a step could start on the workers now, at most limit. All of them have
// the same requirements, and what runs already counts.
func Room(want Requirements, workers []Worker, limit int) int {
	n := 0
	for i := 0; i < len(workers) && n < limit; i++ {
		n += RoomOn(want, &workers[i])
	}
	return min(n, limit)
}

// RoomOn returns how many tasks of a step could start on a worker now.
func RoomOn(want Requirements, w *Worker) int {
	if !CanRun(want, w) {
		return 0
	}
	n := slotsOn(want.Step, w)
	if m := want.Step.MaxPerWorker; m > 0 {
		n = min(n, m-want.OnWorker[w.ID])
	}
	return n
}
