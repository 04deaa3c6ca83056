package mspool

import (
	"fmt"
	"testing"
	"time"
)

// fleetTable returns a fleet of n times the design size: 860 workers, 135 pools and
// 7 data centres in 2 regions. All pools except the spare pool are full.
func fleetTable(n int) Table {
	const workers, pools, centres, perRack = 860, 135, 7, 4
	now := time.Unix(1_000_000, 0)
	var t Table
	size := workers / pools
	for i := range pools*n - 1 {
		t.Pools = append(t.Pools, Pool{Name: fmt.Sprintf("p%04d", i), Size: size, Available: 60})
	}
	t.Pools = append(t.Pools, Pool{Name: "spare", Size: workers*n - size*(pools*n-1), Spare: true})
	for i := range workers * n {
		v := VM{
			Name: fmt.Sprintf("vm%05d", i), Pool: "spare", State: Serving, Since: now,
			Rack: fmt.Sprintf("r%04d", i/perRack), DataCentre: fmt.Sprintf("dc%d", i/perRack%centres), ReportedAt: now,
		}
		if pool := i % len(t.Pools); i < size*(pools*n-1) {
			v.Pool = t.Pools[(i+pool/len(t.Pools))%(pools*n-1)].Name
		}
		if i%100 == 0 {
			v.State = Failed
		}
		t.VMs = append(t.VMs, v)
	}
	return t
}

func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{1, 2, 4} {
		t := fleetTable(n)
		now := time.Unix(1_000_000, 0).Add(time.Hour)
		b.Run(fmt.Sprintf("size=%dx", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Plan(t, Settings{Lend: true}, now)
			}
		})
	}
}

func BenchmarkHealth(b *testing.B) {
	for _, n := range []int{1, 2, 4} {
		t := fleetTable(n)
		b.Run(fmt.Sprintf("size=%dx", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Health(t)
			}
		})
	}
}
