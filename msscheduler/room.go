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
// workers have been seen to take eight times as long.
const slowWaitRuns = 3.0

// overdueShare is the fraction of its usual run time that an attempt beyond it is expected
// to take longer.
const overdueShare = 0.3

// considerWaiting sets what ChooseOrWait needs to weigh waiting for a better worker. The
// caller holds mu.
func (e *Engine) considerWaiting(want *msplace.Requirements, j *job, id msjob.TaskID, pool *poolSnapshot, now time.Time) {
	s := want.Step
	if s.Estimate <= 0 || s.LongRunning || s.Backfill || s.Gang || s.DataRack == "" && !pool.hasSlow {
		return
	}
	want.RunTime, want.RemotePenalty = e.health.Expected(imageOf(j, s), s.Estimate), e.remotePenalty()
	gain := slowWaitRuns
	if s.DataRack != "" && !pool.hasSlow {
		gain = want.RemotePenalty - 1
	}
	if j.roomWaits.over(id, time.Duration(gain*float64(want.RunTime)), now) {
		want.RunTime = 0
		return
	}
	if pool.rooms == nil {
		pool.rooms = e.measureRoom(pool, now)
	}
	want.PoolRoom, want.RackRoom = pool.rooms[""], nil
	if s.DataRack != "" {
		want.RackRoom = pool.rooms[s.DataRack]
	}
}

// measureRoom estimates when the sound workers of a pool have room.
func (e *Engine) measureRoom(pool *poolSnapshot, now time.Time) rooms {
	all := rooms{"": {}}
	for _, w := range pool.workers {
		if w.healthState != mshealth.Sound {
			continue
		}
		rack := all[w.Rack]
		if rack == nil {
			rack = &msplace.Room{}
			all[w.Rack] = rack
		}
		for _, room := range []*msplace.Room{rack, all[""]} {
			room.AddWorker(w.Capacity)
			for _, r := range w.runs {
				if s := r.step(); s != nil && !s.LongRunning && s.Estimate > 0 {
					room.AddEnd(e.expectedRemaining(r, now), r.need)
				}
			}
		}
	}
	return all
}

// expectedRemaining estimates how much longer an attempt runs.
func (e *Engine) expectedRemaining(r *run, now time.Time) time.Duration {
	s := r.step()
	estimate := s.Estimate
	if s.DataRack != "" && s.DataRack != r.w.Rack {
		estimate = time.Duration(float64(estimate) * e.remotePenalty())
	}
	usual := e.health.Expected(imageOf(r.job, s), estimate)
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
