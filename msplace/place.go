// Package msplace chooses the worker of a task. It is pure: tables in, a choice
// out.
package msplace

import "marjoramspan/msjob"

// Worker is a worker that may take tasks.
type Worker struct {
	ID     string
	Rack   string
	Labels []string
	// Capacity is all that it has, Free what no task has.
	Capacity, Free msjob.Resources
	// Serving and Backfilling count its tasks with a target for their response
	// times, and those that take what others leave.
	Serving, Backfilling int
	// Lasting counts its lasting tasks.
	Lasting int
	// Doubt is from 0 to 1: how likely tasks there are to fail or to be slow.
	Doubt float64
}

// Want is what a task needs of its worker.
type Want struct {
	Step *msjob.Step
	// Avoid has the workers on which the task has failed.
	Avoid map[string]bool
	// OnWorker counts the step's tasks of this occurrence by worker, OnRack by rack.
	OnWorker, OnRack map[string]int
}

const (
	// The parts of the score of a worker; a higher sum is better. A task away from
	// its data or on a second rack takes half as long again, which outweighs
	// everything but a failure.
	scoreData  = 4.0
	scoreRack  = 4.0
	scoreAvoid = -16.0
	scoreDoubt = -8.0
	// scoreMixed keeps tasks that fill away from those that serve.
	scoreMixed = -6.0
	// scoreSpread is for a worker that is all free.
	scoreSpread = 1.0
	// scoreAlone keeps tasks of one lasting step on different workers, so that one
	// failure or the maintenance of one takes a single task, and scoreRacks on
	// different racks.
	scoreAlone = -6.0
	scoreRacks = -0.3
	// scoreHost puts lasting tasks of several steps on the same workers, which leaves
	// others idle for another pool.
	scoreHost = 2.0
)

// Choose returns the index of the best worker, or -1 where none can take the task.
func Choose(want Want, workers []Worker) int {
	best, bestScore := -1, 0.0
	for i := range workers {
		w := &workers[i]
		if !Possible(want, w) {
			continue
		}
		if s := rate(want, w); best < 0 || s > bestScore {
			best, bestScore = i, s
		}
	}
	return best
}

// Possible says whether a worker may take the task.
func Possible(want Want, w *Worker) bool {
	s := want.Step
	if !s.Reserved().Fits(w.Free) {
		return false
	}
	if s.MaxPerWorker > 0 && want.OnWorker[w.ID] >= s.MaxPerWorker {
		return false
	}
	return s.Label == "" || hasLabel(w.Labels, s.Label)
}

func hasLabel(labels []string, want string) bool {
	for _, l := range labels {
		if l == want {
			return true
		}
	}
	return false
}

func rate(want Want, w *Worker) float64 {
	s := want.Step
	score := scoreSpread*freeShare(w) + scoreDoubt*w.Doubt
	if s.DataRack != "" && s.DataRack == w.Rack {
		score += scoreData
	}
	if s.SameRack && want.OnRack[w.Rack] > 0 {
		score += scoreRack
	}
	if want.Avoid[w.ID] {
		score += scoreAvoid
	}
	if s.Backfill && w.Serving > 0 || s.TailTarget > 0 && w.Backfilling > 0 {
		score += scoreMixed
	}
	if s.Lasting {
		score += scoreAlone*float64(want.OnWorker[w.ID]) + scoreRacks*float64(want.OnRack[w.Rack])
		if w.Lasting > 0 {
			score += scoreHost
		}
	}
	return score
}

// freeShare is the share of a worker's scarcer resource that is free.
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
