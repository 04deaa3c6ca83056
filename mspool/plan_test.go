package mspool

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// fleet folds the decisions of Plan and reports back, as the daemon does.
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

// step plans once and folds each decision, which has to be accepted.
func (f *fleet) step(cfg Settings) []Decision {
	f.now = f.now.Add(time.Minute)
	for i := range f.table.VMs {
		f.table.VMs[i].ReportedAt = f.now
	}
	out := Plan(f.table, cfg, f.now)
	seen := f.next - 1
	decided := make(map[string]bool)
	for _, d := range out {
		require.False(f.t, decided[d.VM], "two decisions on %s: %+v", d.VM, out)
		decided[d.VM] = true
		// Two VMs of one pool cannot be taken on one view; the daemon asks again.
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
	f.join()
	for _, d := range out {
		if d.Kind == VMMoveOut {
			f.requireSafe(d)
		}
	}
	return out
}

// join rebuilds the table from the ownership.
func (f *fleet) join() {
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

// requireSafe lets each rack fail in turn after a move out of a serving pool.
func (f *fleet) requireSafe(d Decision) {
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

func (f *fleet) settle(cfg Settings) {
	for range 60 {
		if len(f.step(cfg)) == 0 {
			return
		}
	}
	require.Fail(f.t, "moves never end", "%+v", f.step(cfg))
}

func testPoolsOf(n int) []Pool {
	var out []Pool
	for i := range n {
		out = append(out, Pool{Name: fmt.Sprintf("p%d", i), Size: 10, Available: 80})
	}
	return append(out, Pool{Name: "spare", Size: 10, Spare: true})
}

// TestPlanSettles fails and heals VMs and racks at random and checks that every
// decision is accepted and safe, that moves come to an end, and that each pool
// that the spare pool could help is within its budget.
func TestPlanSettles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, testPoolsOf(4), 50, 13)
		cfg := Settings{Lend: rapid.Bool().Draw(t, "lend"), Hold: rapid.IntRange(0, 4).Draw(t, "hold")}
		f.settle(cfg)
		for _, p := range f.table.Pools {
			if !p.Spare && rapid.Bool().Draw(t, "wave") {
				cfg.Loans = append(cfg.Loans, Loan{Pool: p.Name, VMs: rapid.IntRange(0, 1).Draw(t, "loan")})
			}
		}
		for range rapid.IntRange(1, 12).Draw(t, "events") {
			f.event(t)
			for range rapid.IntRange(0, 20).Draw(t, "minutes") {
				f.step(cfg)
			}
		}
		f.now = f.now.Add(48 * time.Hour)
		f.settle(cfg)
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

func (f *fleet) event(t *rapid.T) {
	kind := rapid.IntRange(0, 3).Draw(t, "event")
	i := rapid.IntRange(0, len(f.table.VMs)-1).Draw(t, "at")
	for k := range f.table.VMs {
		v := &f.table.VMs[k]
		hit := k == i || kind == 1 && v.Rack == f.table.VMs[i].Rack
		switch {
		case kind <= 1 && hit:
			v.State, v.Since = Failed, f.now
		case kind >= 2 && v.State == Failed && k%2 == i%2:
			v.State, v.Since = Serving, f.now
		}
	}
}

// TestPlanSpreads checks that pools of ten are spread over thirteen racks so
// that no rack holds more than one VM of a pool, and that nothing else moves.
func TestPlanSpreads(t *testing.T) {
	f := newFleet(t, testPoolsOf(4), 50, 13)
	f.settle(Settings{})
	for _, h := range Health(f.table) {
		require.Equal(t, 10, h.Serving, h.Pool)
		require.Equal(t, 1, h.WorstRack.Serving, h.Pool)
	}
	require.Zero(t, f.moves)
}

// TestPlanReplaces follows one failed VM: it is replaced only where a rack loss
// would break the budget, and its return moves nothing.
func TestPlanReplaces(t *testing.T) {
	f := newFleet(t, testPoolsOf(4), 50, 13)
	f.settle(Settings{})
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
	require.Empty(t, f.step(Settings{}), "nine survive a rack")
	fail(1)
	f.settle(Settings{})
	require.Equal(t, 1, f.moves, "eight do not")
	f.now = f.now.Add(DefaultPatchAfter)
	f.settle(Settings{})
	require.Equal(t, 2, f.moves, "a day later the other is replaced too")
	for i := range f.table.VMs {
		if v := &f.table.VMs[i]; v.State == Failed {
			v.State, v.Since = Serving, f.now
		}
	}
	f.settle(Settings{Hold: 8})
	require.Equal(t, 2, f.moves, "the spare pool has as many as it needs")
	f.settle(Settings{Hold: 9})
	require.Equal(t, 3, f.moves, "one goes back at once")
	f.now = f.now.Add(DefaultReturnAfter)
	f.settle(Settings{Hold: 9})
	require.Equal(t, 4, f.moves, "the other once it has stayed")
}

// TestPlanFinishesMoves leaves moves half done, as by an entry that was lost.
func TestPlanFinishesMoves(t *testing.T) {
	f := newFleet(t, testPoolsOf(1), 20, 13)
	f.settle(Settings{})
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
	require.True(t, open, "not lost with its target pool")
}

// TestLendAndRecall checks that a failure calls lent VMs back.
func TestLendAndRecall(t *testing.T) {
	f := newFleet(t, testPoolsOf(4), 50, 13)
	cfg := Settings{Lend: true}
	f.settle(cfg)
	held := Reserve(f.table, cfg, f.now)
	require.Less(t, held, 5)
	lent := func() (n int) {
		for _, h := range f.own.VMs {
			if h.Lent {
				n++
			}
		}
		return n
	}
	require.Equal(t, 10-held-1, lent())
	for i := range f.table.VMs {
		if v := &f.table.VMs[i]; v.Rack == "r0" || v.Rack == "r1" {
			v.State, v.Since = Failed, f.now
		}
	}
	before := lent()
	f.now = f.now.Add(DefaultReplaceAfter)
	f.settle(cfg)
	require.Less(t, lent(), before)
	for _, h := range Health(f.table) {
		require.GreaterOrEqual(t, h.WorstRack.Margin, 0, "%+v", h)
	}
}

// TestAssignSpreads gives a pool of three VMs the choice of six, three of which
// lie in one rack.
func TestAssignSpreads(t *testing.T) {
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
