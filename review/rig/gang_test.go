//go:build review

package rig

import (
	"time"
)

// gangs lets gangs work while all their subtasks are present, until the rig ends.
func (r *rig) gangs() {
	for range time.Tick(2 * time.Millisecond) {
		now := time.Now()
		r.mu.Lock()
		members := map[string][]*taskRun{}
		for _, t := range r.runs {
			if t.gang > 0 {
				members[t.gangOf()] = append(members[t.gangOf()], t)
			}
		}
		how := map[*taskRun]string{}
		for _, all := range members {
			ended, present, done := false, 0, 0
			for _, t := range all {
				ended = ended || !t.end.IsZero()
				present++
			}
			for _, t := range all {
				switch {
				case !t.end.IsZero():
				case ended && !t.together.IsZero():
					how[t] = "broken"
				case !ended && present == t.gang && t.together.IsZero():
					t.together = now
				case t.together.IsZero() && now.Sub(t.begun) > gangTimeout:
					how[t] = "alone"
				case !t.together.IsZero() && t.worked(now) >= t.takes:
					done++
				}
			}
			for _, t := range all {
				if done == t.gang {
					how[t] = "done"
				}
			}
		}
		r.mu.Unlock()
		for t, end := range how {
			r.mu.Lock()
			m := r.minions[t.minion]
			r.mu.Unlock()
			m.mu.Lock()
			if m.running[t.task] == t {
				m.end(t, end, now)
			}
			m.mu.Unlock()
		}
	}
}

const gangTimeout = 3 * time.Second
