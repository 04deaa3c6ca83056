package msteam

import "sync"

// UsageTotals tracks each team's usage over all pools, so that its fleet-wide limit
// also bounds its fair share of each pool. The zero value is ready to use.
// Schedulers that are guarded by different mutexes may share one UsageTotals.
type UsageTotals struct {
	mu sync.Mutex
	// used is guarded by mu.
	used map[string]float64
}

// Used returns how many slots team uses on all entries and in all pools.
func (l *UsageTotals) Used(team string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.used[team]
}

// update replaces the teams' usage of one pool and stores in each team its usage
// of all other pools.
func (l *UsageTotals) update(teams []*team) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.used == nil {
		l.used = make(map[string]float64)
	}
	for _, t := range teams {
		l.used[t.name] += t.fleetRate - t.published
		t.published = t.fleetRate
		t.otherPoolsRate = l.used[t.name] - t.fleetRate
	}
}

// withdraw subtracts the teams' usage of one pool.
func (l *UsageTotals) withdraw(teams []*team) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range teams {
		if t.published != 0 {
			l.used[t.name] -= t.published
			t.published = 0
		}
	}
}
