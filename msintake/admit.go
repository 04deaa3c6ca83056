package msintake

import (
	"sync"
	"time"

	"marjoramspan/msjob"
)

// RecentWork sums the work of the jobs accepted by this entry that the published load
// doesn't include yet. The zero value is empty and ready for use. It is safe for
// concurrent use.
type RecentWork struct {
	mu   sync.Mutex
	jobs []recentJob
}

type recentJob struct {
	pool string
	work float64
	at   time.Time
}

// recentWindow is how long a job counts. The scheduler publishes the load at shorter
// intervals.
const recentWindow = 500 * time.Millisecond

// Add counts the work of an accepted job.
func (r *RecentWork) Add(j *msjob.Job, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.jobs = append(r.jobs, recentJob{pool: j.Pool, work: j.Work(), at: now})
}

// Work returns the work, in core-seconds, accepted for a pool within recentWindow.
func (r *RecentWork) Work(pool string, now time.Time) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	kept := r.jobs[:0]
	sum := 0.0
	for _, j := range r.jobs {
		if now.Sub(j.at) > recentWindow {
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

// maxLatenessFactor is the multiple of its latency objective after which the result of
// a job is useless.
const maxLatenessFactor = 3

// admit decides whether to accept a job, and if not, after what time to retry. It is
// designed for bursts, in which a queue demands more than its pool can run for some
// seconds. A job is rejected at once if it would end so late behind the work ahead of
// it that its result is useless. A job of a team that exceeds its share is rejected
// already if it would miss its latency objective.
func admit(j *msjob.Job, l msjob.Load, recent float64) (retryAfter time.Duration, ok bool) {
	p, known := l.Pools[j.Pool]
	if !known || p.MilliCores <= 0 || j.LongRunning() || j.Occurrences > 0 {
		return 0, true
	}
	seconds := (p.Backlog + recent) / (float64(p.MilliCores) / milliCoresPerCore)
	wait := time.Duration(min(seconds, maxBacklogSeconds) * float64(time.Second))
	maxWait := maxLatenessFactor*j.LatencyObjective() - j.CriticalPath()
	if l.OverShare[j.Team] {
		maxWait = j.LatencyObjective() - j.CriticalPath()
	}
	if wait <= maxWait {
		return 0, true
	}
	return max(time.Second, wait-maxWait), false
}

// maxBacklogSeconds bounds the wait that is calculated with. Backlogs beyond it are refused all
// the same, and a longer time might not fit into a time.Duration.
const maxBacklogSeconds = 30 * 24 * 3600

// milliCoresPerCore converts CPU capacities, in thousandths of a core, to cores.
const milliCoresPerCore = 1000
