package msscheduler

import (
	"reflect"
	"time"

	"marjoramspan/msjob"
)

// loadEvery is the time between two records of the load.
const loadEvery = 300 * time.Millisecond

// announceLoad publishes the load if it is due and has changed. The caller holds mu.
func (e *Engine) announceLoad(now time.Time) {
	if now.Sub(e.loadAt) < loadEvery {
		return
	}
	e.loadAt = now
	l := e.measure(now)
	if reflect.DeepEqual(l, e.load) {
		return
	}
	e.load = l
	r, err := msjob.LoadRecord(&l)
	e.announce(err, r)
}

// measure is the load of every pool.
func (e *Engine) measure(now time.Time) msjob.Load {
	l := msjob.Load{Pools: map[string]msjob.PoolLoad{}}
	for _, w := range e.workers {
		if w.usable(now) {
			p := l.Pools[w.Pool]
			p.MilliCores += w.Capacity.CPU
			l.Pools[w.Pool] = p
		}
	}
	site := e.Sites.Site()
	wall := e.Wall.Now()
	for _, j := range e.active {
		if t, _ := j.turn(wall); t.Late() {
			continue
		}
		pool := poolOf(j.def, site)
		p := l.Pools[pool]
		p.Backlog += e.remaining(j)
		l.Pools[pool] = p
	}
	for name, p := range l.Pools {
		p.Backlog = float64(int64(p.Backlog/loadStep)) * loadStep
		l.Pools[name] = p
	}
	if site != nil {
		for name, t := range site.Teams {
			if e.allowance.Exceeded(name, t.Weight, wall) {
				if l.OverShare == nil {
					l.OverShare = map[string]bool{}
				}
				l.OverShare[name] = true
			}
		}
	}
	return l
}

// loadStep is the grain of the work ahead, in core-seconds, so that small changes
// make no record.
const loadStep = 10

// remaining is the estimated work of a job that isn't done, in core-seconds.
func (e *Engine) remaining(j *job) float64 {
	sum := 0.0
	for _, r := range j.p.Occurrences {
		for s := range r.Steps {
			step := &j.def.Steps[s]
			if step.LongRunning || step.Backfill {
				continue
			}
			n := 0
			for i := range r.Steps[s] {
				if r.Steps[s][i].Phase != msjob.Done {
					n++
				}
			}
			sum += float64(n) * float64(step.Need.CPU) / 1000 * step.Estimate.Seconds()
		}
	}
	return sum
}
