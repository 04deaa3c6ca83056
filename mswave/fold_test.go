package mswave

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"marjoramspan/mspool"
)

// fleetOf returns the ownership of n VMs of pool a, at offsets 1 to n.
func fleetOf(t require.TestingT, n int) mspool.Ownership {
	var own mspool.Ownership
	for i := range n {
		name := fmt.Sprintf("v%d", i)
		require.NoError(t, own.Apply(mspool.Record{Offset: uint64(i + 1), ID: name, Kind: mspool.VMAssign, VM: name, To: "a"}))
	}
	return own
}

// TestFoldRaces folds what racing drivers, lost answers and operators leave on
// the log.
func TestFoldRaces(t *testing.T) {
	own := fleetOf(t, 3)
	var s State
	offset := uint64(3)
	fold := func(want mspool.VoidReason, r Record) {
		offset++
		r.Offset, r.Wave = offset, "w"
		err := s.Apply(r, &own)
		if want == "" {
			require.NoError(t, err)
			return
		}
		var void *VoidError
		require.ErrorAs(t, err, &void)
		require.Equal(t, want, void.Reason, err)
	}
	v0, v1 := Target{VM: "v0", Pool: "a", BootID: "1"}, Target{VM: "v1", Pool: "a", BootID: "1"}
	fold("", Record{ID: "start", Kind: Start})
	fold(mspool.DuplicateID, Record{ID: "start", Kind: Start})
	fold(mspool.WrongState, Record{ID: "start2", Kind: Start, Base: 4})
	fold("", Record{ID: "a", Kind: Drain, Base: 4, Seen: 6, VMs: []Target{v0}})
	fold(mspool.StaleBase, Record{ID: "b", Kind: Drain, Base: 4, Seen: 6, VMs: []Target{v1}})
	fold(mspool.WrongState, Record{ID: "c", Kind: Return, Base: 7, VMs: []Target{v0}})
	fold(mspool.WrongState, Record{ID: "d", Kind: Reboot, Base: 7, VMs: []Target{{VM: "v0", Pool: "a"}}})
	fold("", Record{ID: "e", Kind: Reboot, Base: 7, VMs: []Target{v0}})
	fold(mspool.WrongState, Record{ID: "f", Kind: Return, Base: 11, VMs: []Target{v0}})
	fold(mspool.WrongState, Record{ID: "g", Kind: Cancel, Base: 11, VMs: []Target{v0}})
	fold(mspool.WrongState, Record{ID: "h", Kind: End, Base: 11})
	fold(mspool.WrongState, Record{ID: "i", Kind: Discard, Base: 11, VMs: []Target{v0}})

	offset++
	out := mspool.Record{Offset: offset, ID: "m", Kind: mspool.VMMoveOut, VM: "v2", Base: 3, Seen: 6, From: "a", To: "b"}
	var void *mspool.VoidError
	require.ErrorAs(t, own.Apply(out), &void)
	require.Equal(t, mspool.StaleBudget, void.Reason, "the move had not seen the drain")
	offset++
	out.Offset, out.Seen = offset, offset-1
	require.NoError(t, own.Apply(out))
	fold(mspool.StaleBudget, Record{ID: "j", Kind: Drain, Base: 11, Seen: 15, VMs: []Target{v1}})
	fold(mspool.WrongState, Record{ID: "k", Kind: Drain, Base: 11, Seen: 18, VMs: []Target{{VM: "v2", Pool: "a"}}})
	fold("", Record{ID: "l", Kind: Return, Base: 11, VMs: []Target{{VM: "v0", BootID: "2"}}})
	require.Contains(t, s.Maintained, "v0")
}

// TestFoldIsDeterministic folds random records twice, once through a snapshot at
// each record, and checks the phases against a naive reading of what was
// accepted.
func TestFoldIsDeterministic(t *testing.T) {
	kinds := []Kind{Start, Drain, Cancel, Reboot, Return, Late, Stop, Resume, End, Discard}
	rapid.Check(t, func(t *rapid.T) {
		own, own2 := fleetOf(t, 2), fleetOf(t, 2)
		var s, snap State
		last := map[string]Kind{}
		for i := range rapid.IntRange(1, 80).Draw(t, "records") {
			r := Record{
				Offset: uint64(i + 3), ID: fmt.Sprint(i), Wave: "w", Base: s.Changed, Seen: uint64(i + 2),
				Kind: rapid.SampledFrom(kinds).Draw(t, "kind"), At: time.Unix(int64(i), 0).UTC(),
			}
			if rapid.IntRange(0, 5).Draw(t, "stale") == 0 {
				r.Base = uint64(rapid.IntRange(0, i+2).Draw(t, "base"))
			}
			switch r.Kind {
			case Start, Stop, Resume, End:
			default:
				r.VMs = []Target{{
					VM: rapid.SampledFrom([]string{"v0", "v1"}).Draw(t, "vm"), Pool: "a",
					BootID: rapid.SampledFrom([]string{"1", "2"}).Draw(t, "boot"),
				}}
			}
			stale := r.Base != s.Changed
			err := s.Apply(r, &own)
			require.False(t, stale && err == nil, "stale base accepted: %+v", r)
			require.Equal(t, err == nil, snap.Apply(r, &own2) == nil)
			if err == nil {
				for _, target := range r.VMs {
					last[target.VM] = r.Kind
				}
			}
			b, _ := json.Marshal(snap)
			snap = State{}
			require.NoError(t, json.Unmarshal(b, &snap))
			whole, _ := json.Marshal(s)
			require.JSONEq(t, string(whole), string(b))
			for vm, k := range last {
				out := k == Drain || k == Reboot || k == Late
				require.Equal(t, out, s.Out(vm), "%s after %s", vm, k)
			}
		}
	})
}

// TestRetiredVMs checks that a wave goes on when a VM that it took is retired.
func TestRetiredVMs(t *testing.T) {
	w := newWorld(t, 7, fourPools(), 13)
	w.pass()
	w.start(Settings{})
	for w.state.count(Rebooting) == 0 {
		w.pass()
		w.drive(false)
	}
	var gone string
	for vm := range w.state.VMs {
		gone = vm
	}
	for i := range w.vms {
		if w.vms[i].Name == gone {
			w.vms = append(w.vms[:i], w.vms[i+1:]...)
			break
		}
	}
	offset := uint64(len(w.log) + 1)
	w.log = append(w.log, Record{})
	h := w.own.VMs[gone]
	require.NoError(t, w.own.Apply(mspool.Record{Offset: offset, ID: "gone", Kind: mspool.VMRetire, VM: gone, Base: h.Changed, Seen: offset}))
	for range 2000 {
		w.pass()
		w.drive(false)
	}
	require.Equal(t, Ended, w.state.Status)
	require.NotContains(t, w.state.VMs, gone)
}

// TestForecastAndLoans checks that a forecast takes each VM once, in batches
// that no rack loss can turn into a broken budget, and asks for a loan only
// where a pool cannot do without.
func TestForecastAndLoans(t *testing.T) {
	w := newWorld(t, 8, append(fourPools(), mspool.Pool{Name: "tight", Size: 4, Available: 100}), 13)
	w.pass()
	table := w.view().Table
	f, err := Plan(table, "w", Settings{})
	require.NoError(t, err)
	require.Equal(t, []mspool.Loan{{Pool: "tight", VMs: 2}}, f.Loans)
	require.Len(t, f.Blocked, 4)
	seen := map[string]bool{}
	for _, b := range f.Batches {
		guard := mspool.NewGuard(table, 0)
		for _, v := range table.VMs {
			for _, name := range b.VMs {
				if v.Name == name {
					require.False(t, seen[name])
					seen[name] = true
					require.True(t, guard.Take(v), "%s in %v", name, b.VMs)
				}
			}
		}
	}
	require.Len(t, seen, len(table.VMs)-4)
	_, err = Plan(table, "", Settings{})
	var bad *PlanError
	require.ErrorAs(t, err, &bad)

	w.start(Settings{})
	codes := func(vm string) (out []ReasonCode) {
		for _, r := range Why(&w.state, w.view(), w.now, vm) {
			out = append(out, r.Code)
		}
		return out
	}
	require.Equal(t, []ReasonCode{Budget}, codes(f.Blocked[0]))
	require.Equal(t, []ReasonCode{NextInTurn}, codes("v00"))
	require.Equal(t, []ReasonCode{UnknownVM}, codes("nobody"))
	w.drive(false)
	require.Equal(t, []ReasonCode{PaceLimit}, codes("v00"))
}
