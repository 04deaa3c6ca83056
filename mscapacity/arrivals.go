package mscapacity

import "time"

// Arrivals measures the rate of incoming work for each pool, to detect the start of a
// burst early: the rate shows within a second how many VMs the burst needs, whereas
// jobs start to wait only when the pool is full, and adding a VM takes two seconds.
// The zero value is empty and ready for use.
type Arrivals struct {
	pools map[string][]arrival
}

type arrival struct {
	at   time.Time
	work float64
}

// arrivalWindow is the period over which incoming work is averaged; in a burst of nine
// seconds, about thirty jobs arrive within it.
const arrivalWindow = 700 * time.Millisecond

// Add records that work, in core-seconds, arrived for a pool.
func (a *Arrivals) Add(pool string, work float64, now time.Time) {
	if a.pools == nil {
		a.pools = map[string][]arrival{}
	}
	a.pools[pool] = append(a.pools[pool], arrival{at: now, work: work})
}

// Rate returns the rate of incoming work in thousandths of a core, which is the
// capacity that the pool needs to keep up with it.
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
