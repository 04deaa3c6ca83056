// Package msplace decides the order in which jobs get capacity, the worker of each
// task and the speed of backfill tasks. It does no I/O and starts no goroutines.
package msplace

import "marjoramspan/msjob"

// Worker is a candidate worker for a task.
type Worker struct {
	ID     string
	Rack   string
	Labels []string
	// Capacity is the worker's total capacity, Free the part that no task reserves.
	Capacity, Free msjob.Resources
	// Serving counts the worker's tasks that have a latency target, Backfilling its
	// backfill tasks.
	Serving, Backfilling int
	// LongRunning counts the worker's lasting tasks.
	LongRunning int
	// FailureRisk rates, from 0 to 1, how likely tasks on the worker are to fail or to be
	// slow.
	FailureRisk float64
	// Recent counts the attempts that started on the worker shortly before, Suspects those
	// of tasks under which a worker has crashed.
	Recent, Suspects int
	// Isolated keeps other tasks away, for tasks that have to start apart. IsolatedFor is
	// their group, or empty if none of them has started yet.
	Isolated    bool
	IsolatedFor string
	// FreshTrial is set while the tasks that start apart there are most likely to crash the
	// worker. No others start then.
	FreshTrial bool
	// Withheld keeps tasks away that don't use withheld workers, Barred all tasks.
	Withheld, Barred bool
	// Busy keeps all tasks but those of gangs away for the moment, as starts wait to be sent to the
	// worker or it runs as many attempts as it may. A gang has to start as a whole.
	Busy bool
}

// Requirements describes what a task requires of its worker, and where related tasks run.
type Requirements struct {
	Step *msjob.Step
	// Avoid holds the workers on which the task has failed.
	Avoid map[string]bool
	// OnWorker counts the step's tasks in this occurrence by worker, OnRack by rack.
	OnWorker, OnRack map[string]int
	// Suspect is set if a worker may have crashed because of the task.
	Suspect bool
	// Group, if set, has the task start on a worker where only tasks of the same group have
	// started lately.
	Group string
	// SparesOthers bounds the workers that are isolated at a time for tasks with a group to
	// half of those that could run the task, and at least one.
	SparesOthers bool
	// UseWithheld lets the task start on withheld workers, and on those that are isolated for
	// others, if there is no other.
	UseWithheld bool
	// Beside has the tasks by worker of each image that slows the task's image or is slowed
	// by it.
	Beside []map[string]int
}

const (
	// The terms of a worker's score; the highest sum wins. A task that runs away from
	// its data or on a second rack takes 1.5 times as long. For tasks that are neither
	// lasting nor backfill this outweighs everything but an earlier or likely failure.
	scoreDataRack     = 4.0
	scoreSameRack     = 4.0
	scoreFailedBefore = -16.0
	scoreUnreliable   = -8.0
	// scoreInterference keeps backfill tasks away from tasks with a latency target.
	scoreInterference = -6.0
	// scoreBeside keeps tasks away from workers that run an image that slows theirs or is
	// slowed by it. It outweighs packing, and no other term: those are about failures,
	// callers' data and what steps ask for. Long-running tasks have scoreLastingBeside, which
	// is less than one more of their step's tasks on the rack.
	scoreBeside        = -1.5
	scoreLastingBeside = -0.25
	// scoreFreeCapacity applies to an idle worker; others get a proportional part. It
	// spreads tasks that run for long. Other tasks get scoreUsedCapacity, which packs them
	// on few workers: in a queue with little load, the VMs of the other workers are idle
	// then and can move to the pool of a queue in a burst at once.
	scoreFreeCapacity = 1.0
	scoreUsedCapacity = 1.0
	// scoreTasksOnWorker spreads the tasks of a lasting step over workers, so that a
	// failure or the maintenance of one worker affects a single task.
	// scoreTasksOnRack spreads them over racks.
	scoreTasksOnWorker = -6.0
	scoreTasksOnRack   = -0.3
	// scoreLastingWorker packs lasting tasks of different steps on the same workers,
	// which leaves other workers idle so that they can move to another pool.
	scoreLastingWorker = 2.0
	// scoreSuspect keeps suspect tasks and tasks that start at about the same time on
	// different workers, so that a crash shows which of them is the cause.
	// scoreSuspectFreeCapacity prefers idle workers for suspect tasks: the others have more
	// to lose.
	scoreSuspect = -6.0
	// scoreIsolated keeps the tasks of a group on few workers.
	scoreIsolated            = 8.0
	scoreSuspectFreeCapacity = 4.0
	// scoreWithheld outweighs all others together.
	scoreWithheld = -64.0
)

// Choose returns the index of the worker with the highest score, or -1 if none can run
// the task.
func Choose(want Requirements, workers []Worker) int {
	maySpread := want.Group == "" || mayIsolate(want, workers)
	best, bestScore := -1, 0.0
	for i := range workers {
		w := &workers[i]
		if !CanRun(want, w) || !maySpread && !w.Isolated {
			continue
		}
		if s := scoreOf(want, w); best < 0 || s > bestScore {
			best, bestScore = i, s
		}
	}
	return best
}

// mayIsolate reports whether another worker may be kept for tasks that start apart.
func mayIsolate(want Requirements, workers []Worker) bool {
	if !want.SparesOthers {
		return true
	}
	want.OnWorker = nil
	isolated, all := 0, 0
	for i := range workers {
		if idle := workers[i].idle(); CanRun(want, &idle) {
			all++
			isolated += boolToInt(workers[i].Isolated)
		}
	}
	return isolated < max(1, all/2)
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// CanRun reports whether a worker can run the task.
func CanRun(want Requirements, w *Worker) bool {
	s := want.Step
	if w.Withheld && !want.UseWithheld || w.Barred || w.Busy && !s.Gang || !s.Reserved().Fits(w.Free) {
		return false
	}
	if want.Group != "" {
		if !isolatedFor(want, w) && (w.Recent > 0 || w.Suspects > 0) {
			return false
		}
	} else if w.Isolated && (!want.UseWithheld || w.FreshTrial) {
		return false
	}
	if s.MaxPerWorker > 0 && want.OnWorker[w.ID] >= s.MaxPerWorker {
		return false
	}
	return s.Label == "" || hasLabel(w.Labels, s.Label)
}

// isolatedFor reports whether the worker is isolated for the task's group.
func isolatedFor(want Requirements, w *Worker) bool {
	return want.Group != "" && w.Isolated && w.IsolatedFor == want.Group
}

func hasLabel(labels []string, want string) bool {
	for _, l := range labels {
		if l == want {
			return true
		}
	}
	return false
}

func scoreOf(want Requirements, w *Worker) float64 {
	s := want.Step
	score := scoreUnreliable * w.FailureRisk
	if s.LongRunning || s.Backfill {
		score += scoreFreeCapacity * freeShare(w)
	} else {
		score += scoreUsedCapacity * (1 - freeShare(w))
	}
	switch {
	case isolatedFor(want, w):
		score += scoreIsolated
	case w.Suspects > 0 || want.Suspect && w.Recent > 0:
		score += scoreSuspect
	}
	if w.Withheld || w.Isolated && want.Group == "" {
		score += scoreWithheld
	}
	if want.Suspect {
		score += scoreSuspectFreeCapacity * freeShare(w)
	}
	if s.DataRack != "" && s.DataRack == w.Rack {
		score += scoreDataRack
	}
	if s.SameRack && want.OnRack[w.Rack] > 0 {
		score += scoreSameRack
	}
	if want.Avoid[w.ID] {
		score += scoreFailedBefore
	}
	if s.Backfill && w.Serving > 0 || s.TailLatencyTarget > 0 && w.Backfilling > 0 {
		score += scoreInterference
	}
	if len(want.Beside) > 0 && Disturbed(want, w) {
		if s.LongRunning {
			score += scoreLastingBeside
		} else {
			score += scoreBeside
		}
	}
	if s.LongRunning {
		score += scoreTasksOnWorker*float64(want.OnWorker[w.ID]) + scoreTasksOnRack*float64(want.OnRack[w.Rack])
		if w.LongRunning > 0 {
			score += scoreLastingWorker
		}
	}
	return score
}

// Disturbed reports whether the worker runs an image that slows the task's or is slowed by it.
func Disturbed(want Requirements, w *Worker) bool {
	for _, byWorker := range want.Beside {
		if byWorker[w.ID] > 0 {
			return true
		}
	}
	return false
}

// ChooseIsolated returns the index of the worker that is the soonest to be free of recent
// attempts and could run the task, or -1 if there is none or no more workers may be
// isolated.
func ChooseIsolated(want Requirements, workers []Worker) int {
	if !mayIsolate(want, workers) {
		return -1
	}
	best := -1
	for i := range workers {
		w := &workers[i]
		if idle := w.idle(); w.Isolated || w.Withheld && !want.UseWithheld || w.Barred || !CanRun(want, &idle) {
			continue
		}
		if best < 0 || w.Recent < workers[best].Recent || w.Recent == workers[best].Recent && freeShare(w) > freeShare(&workers[best]) {
			best = i
		}
	}
	return best
}

// freeShare returns the free fraction of the worker's CPU or memory, whichever is
// lower.
func freeShare(w *Worker) float64 {
	cpu, memory := 1.0, 1.0
	if w.Capacity.CPU > 0 {
		cpu = float64(w.Free.CPU) / float64(w.Capacity.CPU)
	}
	if w.Capacity.Memory > 0 {
		memory = float64(w.Free.Memory) / float64(w.Capacity.Memory)
	}
	return min(cpu, memory)
}
