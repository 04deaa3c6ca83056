package msscheduler

import (
	"time"

	"marjoramspan/mshealth"
	"marjoramspan/msjob"
	"marjoramspan/msplace"
)

// rooms has the estimates of when workers have room, by rack, and for all workers under "".
// They are made in a pass when the first task needs them.
type rooms map[string]*msplace.Room

// wantedSpan is how long a rack is kept for tasks whose data it holds, after one has found
// no room there: about the time of two tasks.
const wantedSpan = 1500 * time.Millisecond

// slowWaitRuns is how many run times a step waits at most for a worker that is not slow. Slow
// workers are at least twice as slow, and the objective of short jobs allows for about one run
// time more.
const slowWaitRuns = 1.5

// overdueShare is the fraction of its usual run time that an attempt beyond it is expected
// to take longer.
const overdueShare = 0.3

// betterRoom returns the room that a task should wait for instead of starting on the n-th worker
// of the pool, or nil. The caller holds mu.
func (e *Engine) betterRoom(want msplace.Requirements, j *job, id msjob.TaskID, pool *poolSnapshot, n int, now time.Time) *msplace.Room {
	s := want.Step
	if n < 0 || s.Estimate <= 0 || !msplace.Hampers(s, &pool.placement[n]) {
		return nil
	}
	want.RunTime = e.health.Expected(imageOf(j, s), s.Estimate)
	gain := want.RemotePenalty - 1
	if pool.placement[n].Slowdown > 1 {
		gain = slowWaitRuns
	}
	if j.roomWaits.over(id, time.Duration(gain*float64(want.RunTime)), now) {
		return nil
	}
	if s.DataRack != "" {
		want.RackRoom = e.roomOn(pool, s.DataRack, now)
	}
	if pool.placement[n].Slowdown > 1 {
		want.PoolRoom = e.roomOn(pool, "", now)
	}
	return msplace.BetterRoom(want, &pool.placement[n])
}

// roomOn estimates when the sound workers of a pool on a rack, or all of them if that is empty,
// have room.
func (e *Engine) roomOn(pool *poolSnapshot, rack string, now time.Time) *msplace.Room {
	if room := pool.rooms[rack]; room != nil {
		return room
	}
	room := &msplace.Room{}
	for _, w := range pool.workers {
		if w.healthState != mshealth.Sound || rack != "" && w.Rack != rack {
			continue
		}
		room.AddWorker(w.Capacity)
		for _, r := range w.runs {
			if s := r.step(); s != nil && !s.LongRunning && s.Estimate > 0 {
				room.AddEnd(e.expectedRemaining(r, now), r.need)
			}
		}
	}
	if pool.rooms == nil {
		pool.rooms = rooms{}
	}
	pool.rooms[rack] = room
	return room
}

// expectedRemaining estimates how much longer an attempt runs.
func (e *Engine) expectedRemaining(r *run, now time.Time) time.Duration {
	s := r.step()
	estimate := s.Estimate
	if s.DataRack != "" && s.DataRack != r.w.Rack {
		estimate = time.Duration(float64(estimate) * e.remotePenalty())
	}
	usual := e.health.Expected(r.image, estimate)
	if r.answeredAt.IsZero() {
		return usual
	}
	return max(usual-now.Sub(r.answeredAt), time.Duration(overdueShare*float64(usual)))
}

// noteWanted keeps the rack of a step's data for it if the step has found no room there.
func (e *Engine) noteWanted(s *msjob.Step, pool *poolSnapshot, n int, now time.Time) {
	if s.DataRack == "" || n >= 0 && pool.workers[n].Rack == s.DataRack {
		return
	}
	if e.wantedRacks == nil {
		e.wantedRacks = map[string]time.Time{}
	}
	if !now.Before(e.wantedRacks[s.DataRack]) {
		for i := range pool.placement {
			if v := &pool.placement[i]; v.Rack == s.DataRack {
				v.Wanted = true
			}
		}
	}
	e.wantedRacks[s.DataRack] = now.Add(wantedSpan)
}
