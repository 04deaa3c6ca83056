package msintake

import (
	"sync"
	"time"

	"marjoramspan/msjob"
)

// Recent counts the work accepted here that the published load doesn't have yet.
// The zero value is empty.
type Recent struct {
	mu   sync.Mutex
	jobs []recentJob
}

type recentJob struct {
	pool string
	work float64
	at   time.Time
}

// recentFor is how long a job counts; the scheduler publishes the load more often.
const recentFor = 500 * time.Millisecond

// Add counts a job.
func (r *Recent) Add(j *msjob.Job, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.jobs = append(r.jobs, recentJob{pool: j.Pool, work: j.Work(), at: now})
}

// Work returns the work accepted here for a pool that is still counted.
func (r *Recent) Work(pool string, now time.Time) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	kept := r.jobs[:0]
	sum := 0.0
	for _, j := range r.jobs {
		if now.Sub(j.at) > recentFor {
			continue
		}
		kept = append(kept, j)
		if j.pool == pool {
			sum += j.work
		}
	}
	r.jobs = kept
	return sum
}

// lateFactor times the objective is when an answer is of no use any more.
const lateFactor = 3

// admit says whether a job is worth to accept, and if not when to come back. It
// answers the load of turns, in which a queue asks for more than its pool holds for
// seconds: a job that can't even be of late use behind the work ahead is refused at
// once, and one beyond its team's share already if it can't be in time.
func admit(j *msjob.Job, l msjob.Load, recent float64) (retryAfter time.Duration, ok bool) {
	p, known := l.Pools[j.Pool]
	if !known || p.Cores <= 0 || j.Lasting() || j.Occurrences > 0 {
		return 0, true
	}
	wait := time.Duration((p.Ahead + recent) / (float64(p.Cores) / milliCores) * float64(time.Second))
	most := lateFactor*j.Objective() - j.Chain()
	if l.Over[j.Team] {
		most = j.Objective() - j.Chain()
	}
	if wait <= most {
		return 0, true
	}
	return max(time.Second, wait-most), false
}

// milliCores is the number of CPU units in a core.
const milliCores = 1000
