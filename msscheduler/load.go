package msscheduler

import (
	"reflect"
	"time"

	"marjoramspan/msjob"
)

// loadInterval is the minimum time between two load records.
const loadInterval = 300 * time.Millisecond

// publishLoad publishes the load if it is due and has changed. The caller holds mu.
func (e *Engine) publishLoad(now time.Time) {
	if now.Sub(e.loadPublishedAt) < loadInterval {
		return
	}
	e.loadPublishedAt = now
	l := e.measureLoad(now)
	if reflect.DeepEqual(l, e.load) {
		return
	}
	e.load = l
	r, err := msjob.LoadRecord(&l)
	if limit := e.Log.Limits.RecordBytes; limit > 0 && len(r.Key)+len(r.Value) >= limit {
		// The learned run times grow with the number of queues. Entries need the rest more.
		l.Ratios, l.Waits = nil, nil
		r, err = msjob.LoadRecord(&l)
	}
	e.enqueue(err, r)
}

// measureLoad computes the load of every pool.
func (e *Engine) measureLoad(now time.Time) msjob.Load {
	l := msjob.Load{Pools: map[string]msjob.PoolLoad{}, Ratios: e.runtimes.Factors(), Streams: len(e.JobJournals)}
	for _, w := range e.workers {
		if w.acceptsTasks(now) {
			p := l.Pools[w.Pool]
			p.MilliCores += w.countedCPU(now)
			l.Pools[w.Pool] = p
		}
	}
	l.Waits = e.publishedWaits(now)
	site := e.Sites.Site()
	wall := e.Wall.Now()
	for _, j := range e.active {
		if t, _ := j.candidate(wall); t.Late() {
			continue
		}
		pool := j.poolIn(site)
		p := l.Pools[pool]
		p.Backlog += j.tasks().work + float64(j.window.Left())*j.def.Work()
		l.Pools[pool] = p
	}
	for name, p := range l.Pools {
		p.Backlog = float64(int64(p.Backlog/backlogGranularity)) * backlogGranularity
		l.Pools[name] = p
	}
	if site != nil {
		for name, t := range site.Teams {
			if e.teamLimiter.Exceeded(name, t.Weight, wall) {
				if l.OverShare == nil {
					l.OverShare = map[string]bool{}
				}
				l.OverShare[name] = true
			}
		}
	}
	return l
}

// backlogGranularity rounds down the backlog of a pool, in core-seconds, so that small
// changes produce no record.
const backlogGranularity = 10
