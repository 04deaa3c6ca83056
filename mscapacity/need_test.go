package mscapacity

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"marjoramspan/msjob"
)

func cores(n int64) msjob.Resources {
	return msjob.Resources{CPU: n * core}
}

// vmsOfKind returns the VMs of the pools, all of 32 cores, with a label for those that are named.
func vmsOfKind(pools []Pool, label string, names ...string) []VM {
	all := poolVMs(pools)
	for i := range all {
		all[i].Capacity = cores(32)
		for _, n := range names {
			if all[i].Name == n {
				all[i].Labels = []string{"x", label}
			}
		}
	}
	return all
}

// afterBursts returns a tracker by which each pool but the last, by name, has VMs to give away.
func afterBursts() *BurstTracker {
	t := &BurstTracker{BurstEnded: map[string]time.Time{}, Peak: map[string]int64{}, InBurst: map[string]bool{}}
	for i, n := range []string{"quote", "colour", "booth", "batch"} {
		t.BurstEnded[n] = time.Unix(int64(i), 0)
	}
	return t
}

// A pool that had its burst gave away the VMs that alone have the label of a task.
func TestLastVMsOfAKindStay(t *testing.T) {
	pools := testPools()
	poolByName(pools, "batch").Needs = []Need{{Label: "gpu", Size: cores(1), Tasks: 2, PerVM: 1}}
	vms := vmsOfKind(pools, "gpu", "batch-00", "batch-01", "batch-02")
	o := afterBursts().Plan(pools, vms)
	left := map[string]bool{}
	for _, m := range o.Moves {
		left[m.VM] = true
	}
	require.Len(t, o.Moves, 3*5+2, "the surplus of the pools, as without the need")
	require.True(t, left["batch-00"], "one more than needed")
	require.False(t, left["batch-01"])
	require.False(t, left["batch-02"])
}

// The same for VMs that run tasks: they were drained.
func TestLastVMsOfAKindAreNotDrained(t *testing.T) {
	pools := testPools()
	poolByName(pools, "batch").Needs = []Need{{Label: "gpu", Size: cores(1), Tasks: 1}}
	vms := vmsOfKind(pools, "gpu", "batch-00")
	for i := range vms {
		vms[i].Idle = vms[i].Pool == "spare"
	}
	o := afterBursts().Plan(pools, vms)
	require.Contains(t, o.Drain, "batch-01")
	require.NotContains(t, o.Drain, "batch-00")
}

// A pool lent the VMs that alone could run its tasks.
func TestLastVMsOfAKindAreNotLent(t *testing.T) {
	pools := testPools()
	poolByName(pools, "batch").Needs = []Need{{Label: "gpu", Size: cores(1), Tasks: 1}}
	poolByName(pools, "quote").Demand = 1000 * core
	var tracker BurstTracker
	tracker.Observe(pools, time.Unix(0, 0))
	for _, m := range tracker.Plan(pools, vmsOfKind(pools, "gpu", "batch-00")).Moves {
		require.NotEqual(t, "batch-00", m.VM)
	}
}

// A task waited for a label that only VMs outside its pool have.
func TestWaitingTaskGetsAVMWithItsLabel(t *testing.T) {
	pools := testPools()
	poolByName(pools, "batch").Needs = []Need{{Label: "gpu", Size: cores(1), Tasks: 1}}
	for _, vm := range []string{"spare-07", "quote-08"} {
		var tracker BurstTracker
		tracker.Observe(pools, time.Unix(0, 0))
		o := tracker.Plan(pools, vmsOfKind(pools, "gpu", vm))
		require.NotEmpty(t, o.Moves)
		require.Equal(t, vm, o.Moves[0].VM)
		require.Equal(t, "batch", o.Moves[0].To)
		for _, m := range o.Moves[1:] {
			require.NotEqual(t, "batch", m.To, "one is enough")
		}
	}
}

// The same for a size.
func TestWaitingTaskGetsAVMOfItsSize(t *testing.T) {
	pools := testPools()
	poolByName(pools, "batch").Needs = []Need{{Size: cores(40), Tasks: 1}}
	vms := vmsOfKind(pools, "")
	for i := range vms {
		if vms[i].Name == "spare-05" {
			vms[i].Capacity = cores(64)
		}
	}
	var tracker BurstTracker
	tracker.Observe(pools, time.Unix(0, 0))
	o := tracker.Plan(pools, vms)
	require.Len(t, o.Moves, 1)
	require.Equal(t, "spare-05", o.Moves[0].VM)
}

// The only VM with the label runs tasks of a pool that can do without it.
func TestBusyVMThatIsNeededIsDrained(t *testing.T) {
	pools := testPools()
	poolByName(pools, "batch").Needs = []Need{{Label: "gpu", Size: cores(1), Tasks: 1}}
	vms := vmsOfKind(pools, "gpu", "quote-00")
	for i := range vms {
		vms[i].Idle = vms[i].Name != "quote-00"
	}
	var tracker BurstTracker
	tracker.Observe(pools, time.Unix(0, 0))
	o := tracker.Plan(pools, vms)
	require.Empty(t, o.Moves)
	require.Equal(t, []string{"quote-00"}, o.Drain)
}

// Five tasks with one on each VM waited in a pool of two VMs, which grew by one VM at a time.
func TestTasksThatMustSpreadGetVMsAtOnce(t *testing.T) {
	pools := []Pool{
		{Name: "booth", BaseSize: 2, Size: 2, VMMilliCores: 32 * core, LongRunning: 5 * core, LongRunningVMs: 2, Needs: []Need{{Size: cores(1), Tasks: 5, PerVM: 1}}},
		{Name: "spare", Spare: true, BaseSize: 8, Size: 8, VMMilliCores: 32 * core},
	}
	var tracker BurstTracker
	tracker.Observe(pools, time.Unix(0, 0))
	require.Len(t, tracker.Plan(pools, vmsOfKind(pools, "")).Moves, 3)
}

// A wave takes one of five VMs with tasks that must spread, and for a moment the task that was
// there waits. The plan moved away the VM that was kept for it.
func TestVMKeptForALostTaskStays(t *testing.T) {
	pools := testPools()
	p := poolByName(pools, "batch")
	p.Size, p.LongRunning, p.LongRunningVMs = 6, 5*core, 4
	p.Needs = []Need{{Size: cores(1), Tasks: 5, PerVM: 1, Reserve: 1}}
	vms := vmsOfKind(pools, "")
	for i := range vms {
		vms[i].Pinned = vms[i].Pool == "batch" && vms[i].Name != "batch-05"
	}
	for _, m := range afterBursts().Plan(pools, vms).Moves {
		require.NotEqual(t, "batch-05", m.VM)
	}
	p.Needs = nil
	require.Contains(t, afterBursts().Plan(pools, vms).Moves, Move{VM: "batch-05", To: "spare"})
}

// An empty pool kept its size of 0, whatever waited.
func TestEmptyPoolGetsAVM(t *testing.T) {
	pools := []Pool{
		{Name: "booth", Needs: []Need{{Size: cores(1), Tasks: 1}}},
		{Name: "spare", Spare: true, BaseSize: 8, Size: 8, VMMilliCores: 32 * core},
	}
	var tracker BurstTracker
	tracker.Observe(pools, time.Unix(0, 0))
	require.Len(t, tracker.Plan(pools, vmsOfKind(pools, "")).Moves, 1)
	pools[0].Needs = nil
	require.Empty(t, tracker.Plan(pools, vmsOfKind(pools, "")).Moves)
}

// VMs that stayed away counted as if they served, and their pool got no other.
func TestPoolWhoseVMsStayAwayGetsAVM(t *testing.T) {
	pools := testPools()
	poolByName(pools, "batch").Needs = []Need{{Size: cores(1), Tasks: 1}}
	vms := vmsOfKind(pools, "")
	for i := range vms {
		vms[i].Pinned = vms[i].Pool == "batch"
	}
	var tracker BurstTracker
	tracker.Observe(pools, time.Unix(0, 0))
	require.Empty(t, tracker.Plan(pools, vms), "VMs that will soon be back")
	for i := range vms {
		vms[i].Absent = vms[i].Pool == "batch"
	}
	require.Len(t, tracker.Plan(pools, vms).Moves, 1)
}

// A need that can't be met, or only by pools that need their VMs themselves, moves nothing.
func TestUnmetNeedsStarveNobody(t *testing.T) {
	pools := testPools()
	var tracker BurstTracker
	poolByName(pools, "batch").Needs = []Need{{Label: "none", Size: cores(1), Tasks: 3}, {Label: "gpu", Size: cores(1), Tasks: 9, PerVM: 1}, {Size: cores(999), Tasks: 1}}
	poolByName(pools, "booth").Needs = []Need{{Label: "gpu", Size: cores(1), Tasks: 1}}
	tracker.Observe(pools, time.Unix(0, 0))
	require.Empty(t, tracker.Plan(pools, vmsOfKind(pools, "gpu", "booth-03")), "booth needs it too")
	poolByName(pools, "booth").Needs = nil
	tracker.InBurst["booth"] = true
	require.Empty(t, tracker.Plan(pools, vmsOfKind(pools, "gpu", "booth-03")), "booth is in a burst")
	tracker.InBurst["booth"] = false
	poolByName(pools, "booth").LongRunningVMs = 8
	require.Empty(t, tracker.Plan(pools, vmsOfKind(pools, "gpu", "booth-03")), "booth is at its minimum")
}

// A thousand different tasks wait in a fleet of 3,000 VMs, two of which have the label.
func BenchmarkPlanWithNeeds(b *testing.B) {
	for _, c := range []struct {
		name, label string
		needs       int64
		scale       int64
	}{{name: "none"}, {name: "met", needs: 200, scale: 1}, {name: "some-too-large", needs: 200, scale: 8}, {name: "label", label: "gpu", needs: 200, scale: 1}} {
		pools := []Pool{{Name: "spare", Spare: true, BaseSize: 500, Size: 500, VMMilliCores: 32 * core}}
		for i := range 5 {
			p := Pool{Name: fmt.Sprintf("p%d", i), BaseSize: 500, Size: 500, VMMilliCores: 32 * core}
			for k := range c.needs {
				p.Needs = append(p.Needs, Need{Label: c.label, Size: msjob.Resources{CPU: c.scale * (100 + k*37%8000), Memory: c.scale * (100 + k*5309%8000)}, Tasks: 1})
			}
			pools = append(pools, p)
		}
		vms := vmsOfKind(pools, "gpu", "p0-07", "spare-17")
		for i := range vms {
			vms[i].Capacity.Memory = 32000
		}
		var tracker BurstTracker
		tracker.Observe(pools, time.Unix(0, 0))
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				tracker.Plan(pools, vms)
			}
		})
	}
}

// testFleet is pools and VMs of several kinds that keep their kind as they move.
type testFleet struct {
	pools []Pool
	vms   []VM
}

func drawFleet(t *rapid.T) *testFleet {
	f := &testFleet{pools: testPools()}
	f.vms = poolVMs(f.pools)
	kinds := rapid.SampledFrom([]string{"", "", "a", "b"})
	sizes := rapid.SampledFrom([]int64{16, 32, 32, 64})
	for i := range f.vms {
		f.vms[i].Labels = []string{kinds.Draw(t, "label")}
		f.vms[i].Capacity = cores(sizes.Draw(t, "size"))
		if f.vms[i].Pool != "spare" && rapid.IntRange(0, 9).Draw(t, "absent") == 0 {
			f.vms[i].Absent, f.vms[i].Pinned = true, true
		}
	}
	return f
}

// drawLoad draws the demand and the needs of the pools.
func (f *testFleet) drawLoad(t *rapid.T) {
	need := rapid.Custom(func(t *rapid.T) Need {
		return Need{
			Label: rapid.SampledFrom([]string{"", "a", "b", "none"}).Draw(t, "label"),
			Size:  cores(rapid.SampledFrom([]int64{1, 20, 40, 99}).Draw(t, "size")),
			Tasks: rapid.IntRange(1, 12).Draw(t, "tasks"),
			PerVM: rapid.IntRange(0, 2).Draw(t, "per-vm"), Reserve: rapid.IntRange(0, 2).Draw(t, "reserve"),
		}
	})
	for i := range f.pools {
		if p := &f.pools[i]; !p.Spare {
			p.Demand = rapid.Int64Range(0, 600*core).Draw(t, "demand")
			p.Needs = rapid.SliceOfN(need, 0, 4).Draw(t, "needs")
		}
	}
}

func (f *testFleet) apply(o Actions) {
	for _, m := range o.Moves {
		for i := range f.vms {
			if f.vms[i].Name == m.VM {
				poolByName(f.pools, f.vms[i].Pool).Size--
				poolByName(f.pools, m.To).Size++
				f.vms[i].Pool = m.To
			}
		}
	}
}

// rooms returns how many tasks the pools have room for, up to what each need asks.
func (f *testFleet) rooms() []int {
	var all []int
	for _, p := range f.pools {
		for _, n := range p.Needs {
			sum := 0
			for i := range f.vms {
				if f.vms[i].Pool == p.Name {
					sum += n.room(&f.vms[i])
				}
			}
			all = append(all, min(sum, n.Tasks))
		}
	}
	return all
}

// For any needs, a plan moves or drains no VM twice and leaves no pool with less room than it
// needs and had. Plans move no VMs once the load has been the same for 41 rounds.
func TestPlanWithNeedsConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFleet(t)
		var tracker BurstTracker
		now := time.Unix(0, 0)
		for range 2 {
			f.drawLoad(t)
			for round := range 60 {
				tracker.Observe(f.pools, now)
				for i := range f.vms {
					f.vms[i].Idle = round > 20 || rapid.Bool().Draw(t, "idle")
				}
				o := tracker.Plan(f.pools, f.vms)
				seen := map[string]bool{}
				for _, m := range o.Moves {
					require.False(t, seen[m.VM])
					seen[m.VM] = true
				}
				for _, vm := range o.Drain {
					require.False(t, seen[vm])
					seen[vm] = true
				}
				before := f.rooms()
				f.apply(o)
				for i, n := range f.rooms() {
					require.GreaterOrEqual(t, n, before[i], "need %d", i)
				}
				if round > 40 {
					require.Empty(t, o.Moves, "round %d", round)
				}
				now = now.Add(500 * time.Millisecond)
			}
		}
	})
}

// What meets a need meets those that it covers.
func TestCoveredNeedsAreMet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFleet(t)
		f.drawLoad(t)
		var all []Need
		for _, p := range f.pools {
			all = append(all, p.Needs...)
		}
		room := func(n *Need) int {
			sum := 0
			for i := range f.vms {
				if f.vms[i].Pool == "batch" {
					sum += n.room(&f.vms[i])
				}
			}
			return sum
		}
		for i := range all {
			for k := range all {
				if a, b := &all[i], &all[k]; a.covers(b) {
					require.LessOrEqual(t, compareNeeds(*a, *b), 0)
					if room(a) >= a.Tasks {
						require.GreaterOrEqual(t, room(b), b.Tasks)
					}
				}
			}
		}
	})
}
