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

// ownershipOf returns an ownership that assigns n VMs to pool a, at offsets 1 to n.
func ownershipOf(t require.TestingT, n int) mspool.Ownership {
	var own mspool.Ownership
	for i := range n {
		name := fmt.Sprintf("v%d", i)
		require.NoError(t, own.Apply(mspool.Record{Offset: uint64(i + 1), ID: name, Kind: mspool.VMAssign, VM: name, To: "a"}))
	}
	return own
}

// TestApplyRejectsConflictingRecords applies records as racing drivers, lost
// answers and operators leave them on the log: duplicates, records with a stale
// base, and drains or moves that were decided before another VM of the pool was
// taken out of service. All of them must be void.
func TestApplyRejectsConflictingRecords(t *testing.T) {
	ownership := ownershipOf(t, 3)
	var s State
	offset := uint64(3)
	apply := func(want mspool.VoidReason, r Record) {
		offset++
		r.Offset, r.Wave = offset, "w"
		err := s.Apply(r, &ownership)
		if want == "" {
			require.NoError(t, err)
			return
		}
		var void *VoidError
		require.ErrorAs(t, err, &void)
		require.Equal(t, want, void.Reason, err)
	}
	v0, v1 := Target{VM: "v0", Pool: "a", BootID: "1"}, Target{VM: "v1", Pool: "a", BootID: "1"}
	apply("", Record{ID: "start", Kind: Start})
	apply(mspool.DuplicateID, Record{ID: "start", Kind: Start})
	apply(mspool.WrongState, Record{ID: "start2", Kind: Start, Base: 4})
	apply("", Record{ID: "a", Kind: Drain, Base: 4, Seen: 6, VMs: []Target{v0}})
	apply(mspool.StaleBase, Record{ID: "b", Kind: Drain, Base: 4, Seen: 6, VMs: []Target{v1}})
	apply(mspool.WrongState, Record{ID: "c", Kind: Return, Base: 7, VMs: []Target{v0}})
	apply(mspool.WrongState, Record{ID: "d", Kind: Reboot, Base: 7, VMs: []Target{{VM: "v0", Pool: "a"}}})
	apply("", Record{ID: "e", Kind: Reboot, Base: 7, VMs: []Target{v0}})
	apply(mspool.WrongState, Record{ID: "f", Kind: Return, Base: 11, VMs: []Target{v0}})
	apply(mspool.WrongState, Record{ID: "g", Kind: Cancel, Base: 11, VMs: []Target{v0}})
	apply(mspool.WrongState, Record{ID: "h", Kind: End, Base: 11})
	apply(mspool.WrongState, Record{ID: "i", Kind: Discard, Base: 11, VMs: []Target{v0}})

	offset++
	out := mspool.Record{Offset: offset, ID: "m", Kind: mspool.VMMoveOut, VM: "v2", Base: 3, Seen: 6, From: "a", To: "b"}
	var void *mspool.VoidError
	require.ErrorAs(t, ownership.Apply(out), &void)
	require.Equal(t, mspool.StaleBudget, void.Reason, "the move was decided before the drain")
	offset++
	out.Offset, out.Seen = offset, offset-1
	require.NoError(t, ownership.Apply(out))
	apply(mspool.StaleBudget, Record{ID: "j", Kind: Drain, Base: 11, Seen: 15, VMs: []Target{v1}})
	apply(mspool.WrongState, Record{ID: "k", Kind: Drain, Base: 11, Seen: 18, VMs: []Target{{VM: "v2", Pool: "a"}}})
	apply("", Record{ID: "l", Kind: Return, Base: 11, VMs: []Target{{VM: "v0", BootID: "2"}}})
	require.Contains(t, s.Maintained, "v0")
}

// TestApplyIsDeterministic applies random records to two states, one of which is
// encoded and decoded as JSON after each record. It expects equal states, and
// checks which VMs are out of service against the last accepted record of each.
func TestApplyIsDeterministic(t *testing.T) {
	kinds := []Kind{Start, Drain, Cancel, Reboot, Return, BootTimedOut, Stop, Resume, End, Discard}
	rapid.Check(t, func(t *rapid.T) {
		ownership, decodedOwnership := ownershipOf(t, 2), ownershipOf(t, 2)
		var s, decoded State
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
			err := s.Apply(r, &ownership)
			require.False(t, stale && err == nil, "stale base accepted: %+v", r)
			require.Equal(t, err == nil, decoded.Apply(r, &decodedOwnership) == nil)
			if err == nil {
				for _, target := range r.VMs {
					last[target.VM] = r.Kind
				}
			}
			b, _ := json.Marshal(decoded)
			decoded = State{}
			require.NoError(t, json.Unmarshal(b, &decoded))
			whole, _ := json.Marshal(s)
			require.JSONEq(t, string(whole), string(b))
			for vm, k := range last {
				out := k == Drain || k == Reboot || k == BootTimedOut
				require.Equal(t, out, s.OutOfService(vm), "%s after %s", vm, k)
			}
		}
	})
}

// TestWaveEndsAfterVMIsRetired retires a VM that the wave has taken out of service.
// The wave must forget it and end.
func TestWaveEndsAfterVMIsRetired(t *testing.T) {
	sim := newSimulation(t, 7, fourPools(), 13)
	sim.advance()
	sim.start(Settings{})
	for sim.state.countInPhase(Rebooting) == 0 {
		sim.advance()
		sim.runDriver(false)
	}
	var retired string
	for vm := range sim.state.VMs {
		retired = vm
	}
	for i := range sim.vms {
		if sim.vms[i].Name == retired {
			sim.vms = append(sim.vms[:i], sim.vms[i+1:]...)
			break
		}
	}
	offset := uint64(len(sim.log) + 1)
	sim.log = append(sim.log, Record{})
	h := sim.ownership.VMs[retired]
	require.NoError(t, sim.ownership.Apply(mspool.Record{Offset: offset, ID: "gone", Kind: mspool.VMRetire, VM: retired, Base: h.Changed, Seen: offset}))
	for range 2000 {
		sim.advance()
		sim.runDriver(false)
	}
	require.Equal(t, Ended, sim.state.Status)
	require.NotContains(t, sim.state.VMs, retired)
}

// TestForecastAndLoans checks that a forecast lists each VM once, in batches that
// meet the budgets even if a rack fails, and asks for a loan only for a pool that
// could not meet its budget otherwise.
func TestForecastAndLoans(t *testing.T) {
	sim := newSimulation(t, 8, append(fourPools(), mspool.Pool{Name: "tight", Size: 4, Available: 100}), 13)
	sim.advance()
	table := sim.view().Table
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

	sim.start(Settings{})
	codes := func(vm string) (out []ReasonCode) {
		for _, r := range Why(&sim.state, sim.view(), sim.now, vm) {
			out = append(out, r.Code)
		}
		return out
	}
	require.Equal(t, []ReasonCode{Budget}, codes(f.Blocked[0]))
	require.Equal(t, []ReasonCode{NextInTurn}, codes("v00"))
	require.Equal(t, []ReasonCode{UnknownVM}, codes("nobody"))
	sim.runDriver(false)
	require.Equal(t, []ReasonCode{PaceLimit}, codes("v00"))
}
