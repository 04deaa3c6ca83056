package mspool

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var testStates = []State{Serving, Serving, Serving, Draining, Rebooting, Failed, Leaving, Idle}

// drawTable draws a fleet with 1 to 4 pools, a spare pool and up to 30 VMs in 6 racks.
func drawTable(t *rapid.T) Table {
	var tab Table
	for i := range rapid.IntRange(1, 4).Draw(t, "pools") {
		tab.Pools = append(tab.Pools, Pool{
			Name:      fmt.Sprintf("p%d", i),
			Size:      rapid.IntRange(1, 8).Draw(t, "size"),
			Available: rapid.IntRange(0, 100).Draw(t, "available"),
		})
	}
	tab.Pools = append(tab.Pools, Pool{Name: "spare", Size: 3, Spare: true})
	for i := range rapid.IntRange(0, 30).Draw(t, "vms") {
		v := VM{
			Name:       fmt.Sprintf("v%02d", i),
			DataCentre: fmt.Sprintf("dc%d", i%3),
			Rack:       fmt.Sprintf("r%d", i%6),
			Pool:       rapid.SampledFrom(tab.Pools).Draw(t, "pool").Name,
			State:      rapid.SampledFrom(testStates).Draw(t, "state"),
		}
		if rapid.IntRange(0, 9).Draw(t, "moving") == 0 {
			v.Moving = rapid.SampledFrom(tab.Pools).Draw(t, "target").Name
		}
		tab.VMs = append(tab.VMs, v)
	}
	return tab
}

// naiveServing counts the VMs of pool that would serve without the given rack and
// the given data centre.
func naiveServing(tab Table, pool, rack, centre string) int {
	n := 0
	for _, v := range tab.VMs {
		up := (v.State == Serving || v.State == Idle) && v.Moving == ""
		if up && v.Pool == pool && v.Rack != rack && v.DataCentre != centre {
			n++
		}
	}
	return n
}

// TestHealthAgainstNaive compares Health with a count that scans all VMs once for
// each failure domain.
func TestHealthAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tab := drawTable(t)
		for i, h := range Health(tab) {
			p := tab.Pools[i]
			needed := 0
			for needed*100 < p.Size*p.Available {
				needed++
			}
			require.Equal(t, needed, h.Needed)
			all := naiveServing(tab, p.Name, "", "")
			require.Equal(t, all, h.Serving)
			require.Equal(t, all-needed, h.Margin)
			rack, centre := all, all
			for d := range 6 {
				rack = min(rack, naiveServing(tab, p.Name, fmt.Sprintf("r%d", d), ""))
				centre = min(centre, naiveServing(tab, p.Name, "", fmt.Sprintf("dc%d", d%3)))
			}
			require.Equal(t, rack-needed, h.WorstRack.Margin)
			require.Equal(t, centre-needed, h.WorstDataCentre.Margin)
		}
	})
}
