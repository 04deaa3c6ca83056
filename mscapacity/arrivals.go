package mscapacity

import "time"

// Arrivals measures how much work comes in for each pool. It answers the begin of a
// turn: what comes in tells within a second how many VMs will be needed, while jobs
// wait only once the pool is full, and a VM takes two seconds to arrive. The zero
// value has seen nothing.
type Arrivals struct {
	pools map[string][]arrival
}

type arrival struct {
	at   time.Time
	work float64
}

// arrivalWindow is the time over which work is counted; a turn of nine seconds asks
// for about thirty jobs in it.
const arrivalWindow = 700 * time.Millisecond

// Add counts work, in core-seconds, that came in for a pool.
func (a *Arrivals) Add(pool string, work float64, now time.Time) {
	if a.pools == nil {
		a.pools = map[string][]arrival{}
	}
	a.pools[pool] = append(a.pools[pool], arrival{at: now, work: work})
}

// Rate returns the work that comes in, in thousandths of a core: what the pool needs
// to keep up.
func (a *Arrivals) Rate(pool string, now time.Time) int64 {
	all := a.pools[pool]
	for len(all) > 0 && now.Sub(all[0].at) > arrivalWindow {
		all = all[1:]
	}
	if a.pools != nil {
		a.pools[pool] = all
	}
	sum := 0.0
	for _, r := range all {
		sum += r.work
	}
	return int64(sum / arrivalWindow.Seconds() * 1000)
}
