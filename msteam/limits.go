package msteam

import "sync"

// Limits sums what each team uses over all pools, so that its upper limit
// across the fleet bounds what it is due in each. The zero value works, and it
// is safe for use by schedulers under different mutexes.
type Limits struct {
	mu sync.Mutex
	// used is guarded by mu.
	used map[string]float64
}

// Used returns how many slots team uses on all entries and in all pools.
func (l *Limits) Used(team string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.used[team]
}

// exchange takes in what the teams use of one pool, and tells each what it
// uses of the others.
func (l *Limits) exchange(teams []*team) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.used == nil {
		l.used = make(map[string]float64)
	}
	for _, t := range teams {
		l.used[t.name] += t.fleetRate - t.counted
		t.counted = t.fleetRate
		t.elsewhere = l.used[t.name] - t.fleetRate
	}
}

// withdraw takes out what the teams use of one pool.
func (l *Limits) withdraw(teams []*team) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range teams {
		if t.counted != 0 {
			l.used[t.name] -= t.counted
			t.counted = 0
		}
	}
}
