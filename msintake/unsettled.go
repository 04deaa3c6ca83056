package msintake

import (
	"sync"
	"time"
)

// unsettledTime is how long after its end an append without a known outcome may still be
// carried out. The log takes seconds at most, and the entry itself repeats the append for
// four seconds.
const unsettledTime = 15 * time.Second

// unsettled has the jobs whose append by this entry may still be carried out. What an entry
// says of them must not rest on their absence from the table. The zero value has none.
type unsettled struct {
	mu   sync.Mutex
	jobs map[string]*unsettledJob
}

// unsettledJob counts the open appends of a job, and has until when those that ended without
// an outcome may be carried out.
type unsettledJob struct {
	open  int
	until time.Time
}

// begin adds an append that is about to be made.
func (u *unsettled) begin(id string, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for other, j := range u.jobs {
		if j.open == 0 && !now.Before(j.until) {
			delete(u.jobs, other)
		}
	}
	if u.jobs == nil {
		u.jobs = map[string]*unsettledJob{}
	}
	if u.jobs[id] == nil {
		u.jobs[id] = &unsettledJob{}
	}
	u.jobs[id].open++
}

// end removes an append, whose outcome is known or not.
func (u *unsettled) end(id string, known bool, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	j := u.jobs[id]
	j.open--
	if !known {
		j.until = now.Add(unsettledTime)
	}
	if j.open == 0 && !now.Before(j.until) {
		delete(u.jobs, id)
	}
}

// has reports whether an append of the job may still be carried out.
func (u *unsettled) has(id string, now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	j := u.jobs[id]
	return j != nil && (j.open > 0 || now.Before(j.until))
}
