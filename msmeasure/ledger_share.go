package msmeasure

import (
	"fmt"
	"slices"
	"time"

	"marjoramspan/msteam"
	"marjoramspan/mstoken"
)

// ShareErrorLedger measures how near each team comes to its share where the real ledger
// moves the tokens of VM slots and upper limits, with its messages 2 ms on the way. The
// baseline is the same ledger that is not told what is due.
var ShareErrorLedger = Measure{Name: "share-error-ledger", Run: runShareErrorLedger}

func runShareErrorLedger(d Deployment, seed uint64) ([]Line, error) {
	reqs := newShareLoad(d, seed, shareSeconds).requests()
	ours, demand := newLedgerRun(d, reqs, true), newLedgerRun(d, reqs, false)
	ours.run()
	demand.run()
	a, b := figures(ours.windows()), figures(demand.windows())
	if a.windows == 0 {
		return nil, fmt.Errorf("no window of full load")
	}
	return []Line{{
		Name: "share-error-ledger", Deployment: d.Name, Ours: a.mean, Baseline: b.mean, Seed: seed, Target: shareTarget,
		Cause: "mean of all windows",
		Notes: []Note{
			{"baseline", "tokens-move-by-demand"},
			{"windows", fmt.Sprint(a.windows)},
			{"within-target", fmt.Sprint(a.within)},
			{"highest-window", fmt.Sprintf("%.3f", a.highest)},
			{"baseline-highest-window", fmt.Sprintf("%.3f", b.highest)},
			{"got/due", fmt.Sprintf("%.3f", gotOfDue(ours.windows()))},
			{"baseline-got/due", fmt.Sprintf("%.3f", gotOfDue(demand.windows()))},
			{"items/s/entry", fmt.Sprintf("%.1f", ours.itemRate())},
			{"baseline-items/s/entry", fmt.Sprintf("%.1f", demand.itemRate())},
		},
	}}, nil
}

// gotOfDue is the part of all that was due that was got.
func gotOfDue(ws []window) float64 {
	got, due := 0.0, 0.0
	for _, w := range ws {
		got += w.got
		due += w.due
	}
	return got / due
}

// ledgerRun is a shareRun whose entries count by ledgers.
type ledgerRun struct {
	*shareRun
	byDue   bool
	entries []*ledgerEntry
	net     [][]parcel // by millisecond of arrival
	vms     [][]string // resources, by pool
	caps    []string   // resources of upper limits, by team
	on      []string   // the VM of each request that runs
	// lost is, by pool, how many slots the lost entry held.
	lost  []int
	epoch uint64
	items int
}

// ledgerEntry is one entry's ledger and what it has told it.
type ledgerEntry struct {
	l      *mstoken.Ledger
	wants  []int // by team
	dues   [][]int
	turn   []int // by pool
	dueAt  []int
	pump   []bool
	kicked bool
	offset int
}

func newLedgerRun(d Deployment, reqs []request, byDue bool) *ledgerRun {
	reqs = slices.Clone(reqs)
	r := &ledgerRun{byDue: byDue}
	limits := make([]*msteam.UsageTotals, d.Entries)
	made := 0
	r.shareRun = newShareRun(d, reqs, func(p, e int) picker {
		made++
		if p == servingPools(d)[0] { // the first of a new entry
			limits[e] = &msteam.UsageTotals{}
		}
		svc := d.Services[p]
		s := &msteam.Scheduler{Capacity: svc.Instances * svc.Slots, UsageTotals: limits[e]}
		s.SetShares(sharesOf(d))
		return &shares{s: s, name: fmt.Sprintf("entry-%d-%d", e, made), reqs: reqs, d: d}
	})
	r.on = make([]string, len(reqs))
	r.lost = make([]int, len(d.Services))
	r.net = make([][]parcel, r.until+abandonMS+1)
	r.vms = make([][]string, len(d.Services))
	for _, p := range r.pools {
		for i := range d.Services[p].Instances {
			r.vms[p] = append(r.vms[p], fmt.Sprintf("slot/%s-%02d", d.Services[p].Name, i))
		}
	}
	for _, t := range d.Teams {
		r.caps = append(r.caps, "team/"+t.Name)
	}
	for e := range d.Entries {
		r.entries = append(r.entries, r.newEntry(e, 0))
	}
	r.turnAll(nil, 0)
	return r
}

// newEntry returns an entry with the totals and no view.
func (r *ledgerRun) newEntry(e, ms int) *ledgerEntry {
	n := len(r.d.Services)
	le := &ledgerEntry{
		l:      &mstoken.Ledger{Self: fmt.Sprintf("entry-%d-%d", e, ms), ReclaimAfter: mintMS * time.Millisecond},
		wants:  make([]int, len(r.d.Teams)),
		dues:   make([][]int, n),
		turn:   make([]int, n),
		dueAt:  make([]int, n),
		pump:   make([]bool, n),
		offset: e * 7919,
	}
	for _, p := range r.pools {
		le.dues[p] = make([]int, len(r.d.Teams))
		le.dueAt[p] = -dueMS
		for _, vm := range r.vms[p] {
			le.l.SetTotal(vm, r.d.Services[p].Slots, 1, at(ms))
		}
	}
	for t, resource := range r.caps {
		le.l.SetTotal(resource, r.d.Teams[t].Limit, 1, at(ms))
	}
	return le
}

// turnAll gives all present entries a view of them.
func (r *ledgerRun) turnAll(lost []mstoken.Lost, ms int) {
	r.epoch++
	v := mstoken.View{Epoch: r.epoch, Lost: lost}
	for e, le := range r.entries {
		if e != r.gone {
			v.Members = append(v.Members, le.l.Self)
		}
	}
	for e, le := range r.entries {
		if e != r.gone {
			le.l.SetView(v, at(ms))
			le.kicked = true
		}
	}
}

// itemRate is how many items an entry sent a second.
func (r *ledgerRun) itemRate() float64 {
	return float64(r.items) / float64(r.d.Entries) / (float64(r.until) / 1000)
}
