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

// admit says whether a job is worth to accept: whether it can still be in time
// behind the backlog of its pool. It answers a load of turns, in which a queue
// asks for more than its pool holds for seconds; letting all in makes all late.
func admit(j *msjob.Job, l msjob.Load, r *Recent, now time.Time) (retryAfter time.Duration, ok bool) {
	return 0, true
}
