package mshealth

import (
	"sort"
	"time"

	"marjoramspan/msjob"
)

const (
	// maxRecorded bounds the workers in a record: the fleet record stays below a few
	// kilobytes.
	maxRecorded = 64
	// outRecordInterval is the minimum time between two records of workers that were taken
	// out or have returned, slowRecordInterval the same for slow workers, which a new leader
	// finds by itself within seconds. Each record may cost a call to the log.
	outRecordInterval  = 2 * time.Second
	slowRecordInterval = 10 * time.Second
)

// RecordDue reports whether a successor should learn of changes, and counts them as recorded.
func (t *Table) RecordDue(now time.Time) bool {
	age := now.Sub(t.recordedAt)
	if (t.outChanges == 0 || age < outRecordInterval) && (t.slowChanges == 0 || age < slowRecordInterval) {
		return false
	}
	t.outChanges, t.slowChanges, t.recordedAt = 0, 0, now
	return true
}

// Record returns what a successor has to know: the workers that are out of use, on probation
// or slow, those with the longest pauses first. wall is the time of day at now.
func (t *Table) Record(now, wall time.Time) map[string]msjob.WorkerHealth {
	var bad []*Worker
	for _, w := range t.workers {
		if w.onTrial || now.Before(w.outUntil) || w.level > 0 && now.Sub(w.levelAt) < levelDecay || w.state == Slow {
			bad = append(bad, w)
		}
	}
	if len(bad) == 0 {
		return nil
	}
	sort.Slice(bad, func(i, k int) bool {
		if !bad[i].outUntil.Equal(bad[k].outUntil) {
			return bad[i].outUntil.After(bad[k].outUntil)
		}
		return bad[i].key < bad[k].key
	})
	all := map[string]msjob.WorkerHealth{}
	for _, w := range bad[:min(len(bad), maxRecorded)] {
		h := msjob.WorkerHealth{Level: w.level, OnTrial: w.onTrial}
		if !w.outUntil.IsZero() {
			h.OutUntil = wall.Add(w.outUntil.Sub(now)).UnixMilli()
		}
		if w.state == Slow {
			h.Ratio = float64(int(10*w.Ratio(now))) / 10
		}
		all[w.key] = h
	}
	return all
}

// Restore takes over what an earlier leader has recorded. Entries that are too old to matter
// are left out.
func (t *Table) Restore(all map[string]msjob.WorkerHealth, now, wall time.Time) {
	for key, h := range all {
		out := time.UnixMilli(h.OutUntil)
		until := now.Add(out.Sub(wall))
		if h.OutUntil != 0 && (wall.Sub(out) > forgetAfter || out.Sub(wall) > maxPause) {
			continue
		}
		w := t.Worker(key, "", "", now)
		if h.OutUntil != 0 {
			w.outUntil, w.levelAt, w.level, w.onTrial = until, until, min(max(0, h.Level), maxLevel), h.OnTrial
			if w.onTrial {
				w.score = outScore - maxFailureWeight
			}
		}
		if h.Ratio >= minSlowRatio {
			w.leastRatio, w.leastRatioAt = h.Ratio, now
		}
	}
}
