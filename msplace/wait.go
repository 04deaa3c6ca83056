package msplace

import (
	"sort"
	"time"

	"marjoramspan/msjob"
)

// Room estimates when the workers of a rack or a pool have room for a task. The load it is
// for: many jobs want the rack of their data at once, away from which they take three times
// as long.
type Room struct {
	ends     []roomEnd
	sorted   bool
	capacity msjob.Resources
	// freed is what all running attempts reserve, claimed what the tasks that were told to
	// wait will take.
	freed, claimed msjob.Resources
}

// roomEnd is when a running attempt is expected to end and what it reserves.
type roomEnd struct {
	in   time.Duration
	need msjob.Resources
}

// AddWorker adds the capacity of a worker.
func (r *Room) AddWorker(capacity msjob.Resources) {
	r.capacity = r.capacity.Plus(capacity)
}

// AddEnd adds an attempt that is expected to end.
func (r *Room) AddEnd(in time.Duration, need msjob.Resources) {
	r.ends = append(r.ends, roomEnd{in, need})
	r.freed = r.freed.Plus(need)
	r.sorted = false
}

// Wait returns how long a task has to wait for room behind those that wait already, or false
// if there is none to wait for. run is its run time.
func (r *Room) Wait(need msjob.Resources, run time.Duration) (time.Duration, bool) {
	want := r.claimed.Plus(need)
	if !need.Fits(r.capacity) || len(r.ends) == 0 {
		return 0, false
	}
	if !r.sorted {
		sort.Slice(r.ends, func(i, k int) bool { return r.ends[i].in < r.ends[k].in })
		r.sorted = true
	}
	var sum msjob.Resources
	for _, e := range r.ends {
		sum = sum.Plus(e.need)
		if want.Fits(sum) {
			return e.in, true
		}
	}
	// Those that wait run first, each time as many as have room.
	last := r.ends[len(r.ends)-1].in
	rounds := max(ratio(want.CPU-r.freed.CPU, r.capacity.CPU), ratio(want.Memory-r.freed.Memory, r.capacity.Memory))
	return last + time.Duration(rounds)*run, true
}

// ratio returns n divided by of, rounded up.
func ratio(n, of int64) int64 {
	if n <= 0 || of <= 0 {
		return 0
	}
	return (n + of - 1) / of
}

// Claim counts a task that waits for the room.
func (r *Room) Claim(need msjob.Resources) {
	r.claimed = r.claimed.Plus(need)
}

// waitMargin is how much sooner a task that waits must be expected to end: the ends of
// running tasks are estimates, and reports of them take some tens of milliseconds.
const waitMargin = 100 * time.Millisecond

// ChooseOrWait is Choose, except that it returns -1 and the room to wait for if BetterRoom
// returns one for the worker.
func ChooseOrWait(want Requirements, workers []Worker) (int, *Room) {
	n := Choose(want, workers)
	if n < 0 {
		return n, nil
	}
	if room := BetterRoom(want, &workers[n]); room != nil {
		return -1, room
	}
	return n, nil
}

// Hampers reports whether the task takes longer on the worker than near its data on one that
// is not slow.
func Hampers(s *msjob.Step, w *Worker) bool {
	return w.Slowdown > 1 || s.DataRack != "" && s.DataRack != w.Rack
}

// BetterRoom returns the room to wait for if a task ends sooner by that than on the worker
// now: room on the rack of its data, or on a worker that is not slow. It counts the task among
// those that wait there.
func BetterRoom(want Requirements, w *Worker) *Room {
	if want.RunTime <= 0 || want.Group != "" || want.Step.LongRunning || want.Step.Backfill || want.Step.Gang || !Hampers(want.Step, w) {
		return nil
	}
	factor := max(1, w.Slowdown)
	remote := 1.0
	if want.Step.DataRack != "" {
		remote = max(1, want.RemotePenalty)
		if want.Step.DataRack != w.Rack {
			factor *= remote
		}
	}
	end := time.Duration(factor * float64(want.RunTime))
	need := want.Step.Reserved()
	var room *Room
	for _, o := range []struct {
		room   *Room
		factor float64
	}{{want.RackRoom, 1}, {want.PoolRoom, remote}} {
		if o.room == nil {
			continue
		}
		run := time.Duration(o.factor * float64(want.RunTime))
		if wait, ok := o.room.Wait(need, run); ok && wait+run+waitMargin < end {
			end, room = wait+run, o.room
		}
	}
	if room != nil {
		room.Claim(need)
	}
	return room
}
