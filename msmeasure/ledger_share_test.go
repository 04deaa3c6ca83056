package msmeasure

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// shortLedgerRun is 40 s of Lamphun's load, run.
func shortLedgerRun(byDue bool) *ledgerRun {
	d := Lamphun()
	r := newLedgerRun(d, newShareLoad(d, 5, 40).requests(), byDue)
	r.run()
	return r
}

func TestLedgerRunIsTheSameForASeed(t *testing.T) {
	first, again := shortLedgerRun(true), shortLedgerRun(true)
	require.NotEmpty(t, first.windows())
	require.Equal(t, first.windows(), again.windows())
	require.Equal(t, first.items, again.items)
}

func TestDuesAreNearerThanDemand(t *testing.T) {
	ours, demand := shortLedgerRun(true), shortLedgerRun(false)
	a, b := figures(ours.windows()), figures(demand.windows())
	require.Less(t, a.mean, shareTarget)
	require.Less(t, a.mean, b.mean/2)
	require.Greater(t, gotOfDue(ours.windows()), gotOfDue(demand.windows()))
}

// No VM and no team ever has more running than its total.
func TestLedgerRunKeepsTheTotals(t *testing.T) {
	r := shortLedgerRun(true)
	total := make(map[string]int)
	for _, p := range r.pools {
		for _, vm := range r.vms[p] {
			total[vm] = r.d.Services[p].Slots
		}
	}
	for i, resource := range r.caps {
		total[resource] = r.d.Teams[i].Limit
	}
	begins, ends := make([][]string, r.until+1), make([][]string, r.until+1)
	for i, o := range r.outs {
		if o.started < 0 {
			continue
		}
		used := []string{r.on[i], r.caps[r.reqs[i].team]}
		begins[o.started] = append(begins[o.started], used...)
		if o.ended >= 0 {
			ends[o.ended] = append(ends[o.ended], used...)
		}
	}
	running := make(map[string]int)
	for ms := range begins {
		for _, resource := range ends[ms] {
			running[resource]--
		}
		for _, resource := range begins[ms] {
			running[resource]++
			require.LessOrEqual(t, running[resource], total[resource], "%s at %d ms", resource, ms)
		}
	}
}
