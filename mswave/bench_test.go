package mswave

import (
	"fmt"
	"testing"
	"time"

	"marjoramspan/mspool"
)

// benchTable returns a fleet of n times the reference size: 860 workers, 135
// pools, 7 data centres in 2 regions. All but the spare pool are full.
func benchTable(n int) mspool.Table {
	const workers, pools, centres, perRack = 860, 135, 7, 4
	now := time.Unix(1_000_000, 0)
	var t mspool.Table
	size := workers / pools
	for i := range pools*n - 1 {
		t.Pools = append(t.Pools, mspool.Pool{Name: fmt.Sprintf("p%04d", i), Size: size, Available: 60})
	}
	t.Pools = append(t.Pools, mspool.Pool{Name: "spare", Size: workers*n - size*(pools*n-1), Spare: true})
	for i := range workers * n {
		v := mspool.VM{
			Name: fmt.Sprintf("vm%05d", i), Pool: "spare", State: mspool.Serving, Since: now,
			Rack: fmt.Sprintf("r%04d", i/perRack), DataCentre: fmt.Sprintf("dc%d", i/perRack%centres), ReportedAt: now,
		}
		if pool := i % len(t.Pools); i < size*(pools*n-1) {
			v.Pool = t.Pools[(i+pool/len(t.Pools))%(pools*n-1)].Name
		}
		if i%100 == 0 {
			v.State = mspool.Failed
		}
		t.VMs = append(t.VMs, v)
	}
	return t
}

func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{1, 2, 4} {
		t := benchTable(n)
		b.Run(fmt.Sprintf("size=%dx", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Plan(t, "w", Settings{}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkStep(b *testing.B) {
	for _, n := range []int{1, 2, 4} {
		t := benchTable(n)
		now := time.Unix(1_000_000, 0)
		s := State{Status: Running, Wave: "w"}
		view := View{Table: t, ReadAt: now}
		b.Run(fmt.Sprintf("size=%dx", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Step(&s, view, now)
			}
		})
	}
}
