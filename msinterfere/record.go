package msinterfere

import (
	"math"
	"sort"
	"time"

	"marjoramspan/msjob"
)

// recordInterval is the minimum time between two records of changed pairs. Each may cost a
// call to the log.
const recordInterval = 10 * time.Second

// RecordDue reports whether a successor should learn of changes, and counts them as recorded.
func (t *Table) RecordDue(now time.Time) bool {
	if t.unrecorded == 0 || now.Sub(t.recordedAt) < recordInterval {
		return false
	}
	t.unrecorded, t.recordedAt = 0, now
	return true
}

// Record returns the found pairs. wall is the time of day at now.
func (t *Table) Record(now, wall time.Time) []msjob.Interference {
	var all []msjob.Interference
	for key, p := range t.found {
		all = append(all, msjob.Interference{
			Slowed: key.Slowed, By: key.By, Slowdown: round(p.slowdown()), Evidence: round(p.evidence),
			Samples: p.samples, Updated: wall.Add(p.at.Sub(now)).UnixMilli(),
		})
	}
	sort.Slice(all, func(i, k int) bool {
		return all[i].Slowed < all[k].Slowed || all[i].Slowed == all[k].Slowed && all[i].By < all[k].By
	})
	return all
}

func round(v float64) float64 {
	return math.Round(v*100) / 100
}

// Restore takes over the pairs that an earlier leader has recorded, aged by the time since.
// Malformed ones are left out.
func (t *Table) Restore(all []msjob.Interference, now, wall time.Time) {
	for _, r := range all {
		key := Pair{r.Slowed, r.By}
		if key.Slowed == "" || key.By == "" || key.Slowed == key.By || len(t.found) >= maxFound || t.pairs[key] != nil ||
			!(r.Evidence >= forgetEvidence) || !(r.Slowdown >= minSlowdown) || math.IsInf(r.Slowdown, 0) {
			continue
		}
		if t.images == nil {
			t.since, t.images, t.pairs, t.found = now, map[string]*image{}, map[Pair]*pair{}, map[Pair]*pair{}
		}
		age := max(0, wall.Sub(time.UnixMilli(r.Updated)))
		p := &pair{evidence: min(r.Evidence, maxEvidence), at: now.Add(-age), samples: max(0, r.Samples), found: true}
		p.weight = float64(p.samples)
		p.excess = p.weight * math.Log(r.Slowdown)
		t.pairs[key], t.found[key] = p, p
	}
	t.indexPartners()
	t.Expire(now)
}
