package msmeasure

import (
	"fmt"
	"slices"

	"marjoramspan/msteam"
)

// shareTarget is the highest share error that is wanted.
const shareTarget = 0.05

// ShareError measures how near each team comes to its share while all is full:
// on eight entries with callers unevenly spread, reports a second old, queues
// in turns, run times with a heavy tail, and an entry lost for a while.
var ShareError = Measure{Name: "share-error", Run: runShareError}

func runShareError(d Deployment, seed uint64) ([]Line, error) {
	reqs := newShareLoad(d, seed, shareSeconds).requests()
	ours := runOurs(d, reqs, nil, nil)
	naive := runNaive(d, reqs)
	lines, err := shareLines(d, seed, ours, naive)
	if err != nil {
		return nil, err
	}
	demand := runOurs(d, reqs, nil, func(r *shareRun) { r.byDemand = true })
	a, b := figures(ours.windows()), figures(demand.windows())
	return append(lines, Line{
		Name: "share-error-tokens", Deployment: d.Name, Ours: a.mean, Baseline: b.mean, Seed: seed,
		Notes: []Note{{"baseline", "tokens-move-by-demand"}},
	}), nil
}

// runOurs runs the policy of msteam; set changes a Scheduler and tune the run.
func runOurs(d Deployment, reqs []request, set func(*msteam.Scheduler), tune func(*shareRun)) *shareRun {
	reqs = slices.Clone(reqs)
	made := 0
	limits := make([]*msteam.UsageTotals, d.Entries)
	r := newShareRun(d, reqs, func(p, e int) picker {
		made++
		if p == servingPools(d)[0] { // the first of a new entry
			limits[e] = &msteam.UsageTotals{}
		}
		svc := d.Services[p]
		s := &msteam.Scheduler{Capacity: svc.Instances * svc.Slots, UsageTotals: limits[e]}
		if set != nil {
			set(s)
		}
		s.SetShares(sharesOf(d))
		return &shares{s: s, name: fmt.Sprintf("entry-%d-%d", e, made), reqs: reqs, d: d}
	})
	if tune != nil {
		tune(r)
	}
	r.run()
	return r
}

func runNaive(d Deployment, reqs []request) *shareRun {
	reqs = slices.Clone(reqs)
	var names []string
	for _, t := range d.Teams {
		names = append(names, t.Name)
	}
	r := newShareRun(d, reqs, func(int, int) picker { return &fifo{reqs: reqs, teams: names, asked: make([]int, len(names))} })
	r.run()
	return r
}

func sharesOf(d Deployment) []msteam.Share {
	var out []msteam.Share
	for _, t := range d.Teams {
		out = append(out, msteam.Share{Team: t.Name, Weight: t.Weight, Limit: t.Limit})
	}
	return out
}

// shareFigures sums up the windows of one run.
type shareFigures struct {
	mean, highest, worst float64
	windows, within      int // within is how many were at the target or under
	worstAt              window
}

func figures(ws []window) shareFigures {
	var f shareFigures
	for len(ws) > 0 {
		n := 1
		for n < len(ws) && ws[n].pool == ws[0].pool && ws[n].from == ws[0].from {
			n++
		}
		sum := 0.0
		for _, w := range ws[:n] {
			sum += w.off()
			if w.off() > f.worst {
				f.worst, f.worstAt = w.off(), w
			}
		}
		f.mean += sum / float64(n)
		f.highest = max(f.highest, sum/float64(n))
		f.windows++
		if sum/float64(n) <= shareTarget {
			f.within++
		}
		ws = ws[n:]
	}
	f.mean /= float64(max(1, f.windows))
	return f
}

func shareLines(d Deployment, seed uint64, ours, naive *shareRun) ([]Line, error) {
	a, b := figures(ours.windows()), figures(naive.windows())
	if a.windows == 0 {
		return nil, fmt.Errorf("no window of full load")
	}
	line := func(name string, x, y, target float64, cause string, notes ...Note) Line {
		return Line{Name: name, Deployment: d.Name, Ours: x, Baseline: y, Seed: seed, Target: target, Cause: cause, Notes: notes}
	}
	w := a.worstAt
	return []Line{
		line("share-error", a.mean, b.mean, shareTarget, "mean of all windows", Note{"windows", fmt.Sprint(a.windows)}, Note{"within-target", fmt.Sprint(a.within)}),
		line("share-error-any", a.highest, b.highest, shareTarget, "highest window"),
		line("share-error-worst", a.worst, b.worst, 0, "",
			Note{"team", d.Teams[w.team].Name}, Note{"queue", d.Services[w.pool].Name},
			Note{"from", fmt.Sprintf("%ds", w.from/1000)}, Note{"due", fmt.Sprintf("%.1f", w.due/windowMS)}),
	}, nil
}
