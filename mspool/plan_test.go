package mspool

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// fleet applies the decisions of Plan and updates the table from the result, as the
// daemon does.
type fleet struct {
	t     require.TestingT
	own   Ownership
	table Table
	now   time.Time
	next  uint64
	moves int
}

func newFleet(t require.TestingT, pools []Pool, vms, racks int) *fleet {
	f := &fleet{t: t, now: time.Unix(1_000_000, 0), next: 1, table: Table{Pools: pools}}
	for i := range vms {
		f.table.VMs = append(f.table.VMs, VM{
			Name:  fmt.Sprintf("v%02d", i),
			Rack:  fmt.Sprintf("r%d", i/4%racks),
			State: Serving, Since: f.now, DataCentre: fmt.Sprintf("dc%d", i/4%racks%3),
		})
	}
	return f
}

// step plans once and applies every decision. Each has to be accepted.
func (f *fleet) step(cfg Settings) []Decision {
	f.now = f.now.Add(time.Minute)
	for i := range f.table.VMs {
		f.table.VMs[i].ReportedAt = f.now
	}
	decisions := Plan(f.table, cfg, f.now)
	seen := f.next - 1
	decided := make(map[string]bool)
	for _, d := range decisions {
		require.False(f.t, decided[d.VM], "two decisions on %s: %+v", d.VM, decisions)
		decided[d.VM] = true
		// Two records based on the same state can't both take a VM of one pool. The
		// daemon plans again instead.
		if d.Kind == VMMoveOut || d.Kind == VMLend || d.Kind == VMRetire {
			seen = f.next - 1
		}
		r := d.Record(fmt.Sprintf("p%d", f.next), "test", seen)
		r.Offset = f.next
		f.next++
		require.NoError(f.t, f.own.Apply(r))
		if d.Kind == VMMoveOut {
			f.moves++
		}
	}
	f.updateTable()
	for _, d := range decisions {
		if d.Kind == VMMoveOut {
			f.requireBudgetWithoutAnyRack(d)
		}
	}
	return decisions
}

// updateTable updates the VMs of the table from the ownership.
func (f *fleet) updateTable() {
	for i := range f.table.VMs {
		v := &f.table.VMs[i]
		h := f.own.VMs[v.Name]
		if h.Phase == MovingOut && v.Moving == "" {
			v.MovingSince = f.now
		}
		v.Pool, v.Moving, v.Lent, v.Changed = h.Pool, h.To, h.Lent, h.Changed
		v.MoveDrained = h.Phase == Drained
	}
}

// requireBudgetWithoutAnyRack checks that after a move out of a serving pool, the
// pool stays within its budget whichever single rack fails.
func (f *fleet) requireBudgetWithoutAnyRack(d Decision) {
	for _, p := range f.table.Pools {
		if p.Name != d.From || p.Spare {
			continue
		}
		for r := range 13 {
			left := naiveServing(f.table, p.Name, fmt.Sprintf("r%d", r), "")
			require.GreaterOrEqual(f.t, left*100, p.Size*p.Available, "%s moved out of %s", d.VM, p.Name)
		}
	}
}

// stepUntilStable steps until Plan returns no more decisions.
func (f *fleet) stepUntilStable(cfg Settings) {
	for range 60 {
		if len(f.step(cfg)) == 0 {
			return
		}
	}
	require.Fail(f.t, "the plan does not converge", "%+v", f.step(cfg))
}

// newTestPools returns n pools of ten VMs with a budget of 80 percent, and a spare
// pool of ten.
func newTestPools(n int) []Pool {
	var out []Pool
	for i := range n {
		out = append(out, Pool{Name: fmt.Sprintf("p%d", i), Size: 10, Available: 80})
	}
	return append(out, Pool{Name: "spare", Size: 10, Spare: true})
}

// TestPlanConverges fails and recovers random VMs and racks. It checks that every
// decision is accepted and safe, that moves come to an end, and that all pools are
// within their budgets while the spare pool still has a ready VM.
func TestPlanConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, newTestPools(4), 50, 13)
		cfg := Settings{Lend: rapid.Bool().Draw(t, "lend"), MinSpare: rapid.IntRange(0, 4).Draw(t, "hold")}
		f.stepUntilStable(cfg)
		for _, p := range f.table.Pools {
			if !p.Spare && rapid.Bool().Draw(t, "wave") {
				cfg.Loans = append(cfg.Loans, Loan{Pool: p.Name, VMs: rapid.IntRange(0, 1).Draw(t, "loan")})
			}
		}
		for range rapid.IntRange(1, 12).Draw(t, "events") {
			f.injectEvent(t)
			for range rapid.IntRange(0, 20).Draw(t, "minutes") {
				f.step(cfg)
			}
		}
		f.now = f.now.Add(48 * time.Hour)
		f.stepUntilStable(cfg)
		ready := 0
		for _, v := range f.table.VMs {
			if v.Pool == "spare" && v.State == Serving && v.Moving == "" {
				ready++
			}
		}
		for _, h := range Health(f.table) {
			if ready > 0 {
				require.GreaterOrEqual(t, h.Margin, 0, "%+v with %d spare VMs", h, ready)
			}
		}
	})
}

// injectEvent fails one VM or all VMs of its rack, or recovers every other VM.
func (f *fleet) injectEvent(t *rapid.T) {
	kind := rapid.IntRange(0, 3).Draw(t, "event")
	i := rapid.IntRange(0, len(f.table.VMs)-1).Draw(t, "at")
	for k := range f.table.VMs {
		v := &f.table.VMs[k]
		affected := k == i || kind == 1 && v.Rack == f.table.VMs[i].Rack
		switch {
		case kind <= 1 && affected:
			v.State, v.Since = Failed, f.now
		case kind >= 2 && v.State == Failed && k%2 == i%2:
			v.State, v.Since = Serving, f.now
		}
	}
}

// TestPlanSpreadsPoolsOverRacks checks that pools of ten are spread over thirteen
// racks so that no rack has more than one VM of a pool, and that no VM moves
// afterwards.
func TestPlanSpreadsPoolsOverRacks(t *testing.T) {
	f := newFleet(t, newTestPools(4), 50, 13)
	f.stepUntilStable(Settings{})
	for _, h := range Health(f.table) {
		require.Equal(t, 10, h.Serving, h.Pool)
		require.Equal(t, 1, h.WorstRack.Serving, h.Pool)
	}
	require.Zero(t, f.moves)
}

// TestPlanReplacesFailedVMs checks that a failed VM is replaced early only if the
// loss of a rack would violate the budget, and that its recovery alone moves no VM.
func TestPlanReplacesFailedVMs(t *testing.T) {
	f := newFleet(t, newTestPools(4), 50, 13)
	f.stepUntilStable(Settings{})
	fail := func(n int) {
		for i := range f.table.VMs {
			if v := &f.table.VMs[i]; v.Pool == "p0" && v.State == Serving && n > 0 {
				v.State, v.Since = Failed, f.now
				n--
			}
		}
		f.now = f.now.Add(DefaultReplaceAfter)
	}
	fail(1)
	require.Empty(t, f.step(Settings{}), "nine VMs survive the loss of a rack")
	fail(1)
	f.stepUntilStable(Settings{})
	require.Equal(t, 1, f.moves, "eight VMs do not, so one is replaced")
	f.now = f.now.Add(DefaultReplaceAlwaysAfter)
	f.stepUntilStable(Settings{})
	require.Equal(t, 2, f.moves, "the other VM is replaced after PatchAfter")
	for i := range f.table.VMs {
		if v := &f.table.VMs[i]; v.State == Failed {
			v.State, v.Since = Serving, f.now
		}
	}
	f.stepUntilStable(Settings{MinSpare: 8})
	require.Equal(t, 2, f.moves, "the spare pool has enough ready VMs")
	f.stepUntilStable(Settings{MinSpare: 9})
	require.Equal(t, 3, f.moves, "one VM returns at once because the spare pool needs it")
	f.now = f.now.Add(DefaultReturnAfter)
	f.stepUntilStable(Settings{MinSpare: 9})
	require.Equal(t, 4, f.moves, "the other VM returns after ReturnAfter")
}

// TestPlanFinishesInterruptedMoves checks that a later plan finishes a move that
// another entry started before it was lost, even if the target pool is removed.
func TestPlanFinishesInterruptedMoves(t *testing.T) {
	f := newFleet(t, newTestPools(1), 20, 13)
	f.stepUntilStable(Settings{})
	cfg := Settings{Loans: []Loan{{Pool: "p0", VMs: 1}}}
	var v string
	for _, d := range f.step(cfg) {
		v = d.VM
	}
	require.Equal(t, MovingOut, f.own.VMs[v].Phase)
	f.step(cfg)
	require.Equal(t, Drained, f.own.VMs[v].Phase)
	f.table.Pools = f.table.Pools[1:]
	f.step(cfg)
	pool, open := f.own.PoolOf(v)
	require.Equal(t, "spare", pool)
	require.True(t, open, "the VM must stay in service when its target pool is removed")
}

// TestFailuresRecallLentVMs checks that lent VMs are recalled after the failure of
// two racks.
func TestFailuresRecallLentVMs(t *testing.T) {
	f := newFleet(t, newTestPools(4), 50, 13)
	cfg := Settings{Lend: true}
	f.stepUntilStable(cfg)
	reserve := Reserve(f.table, cfg, f.now)
	require.Less(t, reserve, 5)
	lent := func() (n int) {
		for _, h := range f.own.VMs {
			if h.Lent {
				n++
			}
		}
		return n
	}
	require.Equal(t, 10-reserve-1, lent())
	for i := range f.table.VMs {
		if v := &f.table.VMs[i]; v.Rack == "r0" || v.Rack == "r1" {
			v.State, v.Since = Failed, f.now
		}
	}
	before := lent()
	f.now = f.now.Add(DefaultReplaceAfter)
	f.stepUntilStable(cfg)
	require.Less(t, lent(), before)
	for _, h := range Health(f.table) {
		require.GreaterOrEqual(t, h.WorstRack.Margin, 0, "%+v", h)
	}
}

// TestAssignSpreadsOverRacks fills a pool of three from six VMs, three of which are
// in one rack, and checks that the pool gets VMs of three racks.
func TestAssignSpreadsOverRacks(t *testing.T) {
	tab := Table{Pools: []Pool{{Name: "a", Size: 3, Available: 100}}}
	for i, rack := range []string{"r0", "r0", "r0", "r1", "r1", "r2"} {
		tab.VMs = append(tab.VMs, VM{Name: fmt.Sprint(i), Rack: rack, State: Serving})
	}
	racks := map[string]bool{}
	for _, d := range Plan(tab, Settings{}, time.Unix(1, 0)) {
		require.Equal(t, VMAssign, d.Kind)
		for _, v := range tab.VMs {
			if v.Name == d.VM {
				racks[v.Rack] = true
			}
		}
	}
	require.Len(t, racks, 3)
}

// An evacuated data centre is no capacity: pools get spare VMs of the others, and none of
// its own. Maintenance goes on there.
func TestPlanReplacesEvacuatedVMs(t *testing.T) {
	table := Table{Pools: []Pool{{Name: "p", Size: 4, Available: 50}, {Name: "spare", Size: 4, Spare: true}}}
	for i := range 8 {
		v := VM{Name: string(rune('a' + i)), Pool: table.Pools[i/4].Name, DataCentre: []string{"north", "south"}[i%2], Rack: string(rune('k' + i)), State: Serving}
		v.Evacuated = v.DataCentre == "north"
		require.True(t, v.Maintainable())
		table.VMs = append(table.VMs, v)
	}
	var moved []string
	for _, d := range Plan(table, Settings{}, time.Unix(1000, 0)) {
		require.Equal(t, "p", d.To)
		moved = append(moved, d.VM)
	}
	require.Equal(t, []string{"f", "h"}, moved, "b and d serve, and the spare VMs f and h are in the other data centre")
}
