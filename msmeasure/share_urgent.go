package msmeasure

import (
	"fmt"
	"slices"

	"marjoramspan/msteam"
)

// UrgentStart measures how long urgent requests wait while the pools are full,
// with early refusal and without, and with slots kept for urgent requests.
var UrgentStart = Measure{Name: "urgent-start", Run: runUrgentStart}

// urgentTarget is the longest wait that is wanted, in seconds.
const urgentTarget = 10

// waits sums up the waits and refusals of one run.
type waits struct {
	urgent []int // milliseconds
	// started, early and late count all requests: started, refused on arrival,
	// and given up at their deadline.
	started, early, late int
	// lostUrgent is how many urgent ones weren't started.
	lostUrgent int
	// lateWait is the time that requests waited in vain, in seconds.
	lateWait float64
}

func (r *shareRun) waits() waits {
	var w waits
	for i, o := range r.outs {
		q := r.reqs[i]
		switch {
		case o.started >= 0:
			w.started++
			if q.urgent {
				w.urgent = append(w.urgent, o.started-q.arrived)
			}
		case o.refused:
			w.early++
		case o.expired:
			w.late++
			w.lateWait += float64(o.ended-q.arrived) / 1000
		}
		if q.urgent && (o.refused || o.expired) {
			w.lostUrgent++
		}
	}
	slices.Sort(w.urgent)
	return w
}

// longest returns the wait in seconds that the given part of the urgent
// requests stayed within.
func (w waits) longest(part float64) float64 {
	if len(w.urgent) == 0 {
		return 0
	}
	i := min(len(w.urgent)-1, int(part*float64(len(w.urgent))))
	return float64(w.urgent[i]) / 1000
}

func runUrgentStart(d Deployment, seed uint64) ([]Line, error) {
	reqs := newShareLoad(d, seed, shareSeconds).requests()
	naive := runNaive(d, reqs).waits()
	late := func(s *msteam.Scheduler) { s.AdmitLate = true }
	variants := []struct {
		name    string
		set     func(*msteam.Scheduler)
		reserve float64
	}{
		{"early", nil, 0},
		{"late", late, 0},
		{"early-reserve-10", nil, 0.1},
		{"early-reserve-30", nil, 0.3},
	}
	var lines []Line
	for _, v := range variants {
		w := runOurs(d, reqs, v.set, func(r *shareRun) { r.reserve = v.reserve }).waits()
		lines = append(lines, urgentLine(d, seed, v.name, w, naive))
	}
	return lines, nil
}

func urgentLine(d Deployment, seed uint64, name string, w, naive waits) Line {
	return Line{
		Name: "urgent-start", Deployment: d.Name, Ours: w.longest(1), Baseline: naive.longest(1), Seed: seed, Target: urgentTarget,
		Cause: "longest wait of an urgent request that was started",
		Notes: []Note{
			{"policy", name},
			{"p99", fmt.Sprintf("%.3gs", w.longest(0.99))},
			{"urgent-not-started", fmt.Sprint(w.lostUrgent)},
			{"started", fmt.Sprint(w.started)},
			{"refused-early", fmt.Sprint(w.early)},
			{"gave-up", fmt.Sprint(w.late)},
			{"waited-in-vain", fmt.Sprintf("%.0fs", w.lateWait)},
		},
	}
}
