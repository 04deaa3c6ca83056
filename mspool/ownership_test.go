package mspool

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// naiveFold is a reference implementation of Ownership. It keeps every accepted
// record and replays a VM's whole history for each query.
type naiveFold struct {
	accepted []Record
}

func (n *naiveFold) apply(r Record) bool {
	for _, a := range n.accepted {
		if a.ID == r.ID {
			return false
		}
	}
	pool, out, to, drained, last := n.replay(r.VM)
	if r.Base != last {
		return false
	}
	valid := map[Kind]bool{
		VMAssign:  pool == "",
		VMMoveOut: pool != "" && !out && r.From == pool && r.To != pool,
		VMDrained: out && !drained,
		VMMoveIn:  out && (drained || r.To == pool),
		VMRetire:  pool != "" && (!out || drained),
		VMLend:    pool != "" && !out && !n.lent(r.VM),
		VMRecall:  n.lent(r.VM),
	}
	_ = to
	if r.Kind == VMMoveOut && n.lent(r.VM) {
		return false
	}
	if !out && !n.lent(r.VM) && takesOutOfServiceKinds[r.Kind] && n.lastTaken(pool) > r.Seen {
		return false
	}
	if valid[r.Kind] {
		n.accepted = append(n.accepted, r)
	}
	return valid[r.Kind]
}

// lastTaken returns the offset of the last record that took a VM of pool out of
// service, 0 if there is none. It replays the history before each record.
func (n *naiveFold) lastTaken(pool string) uint64 {
	for i := len(n.accepted) - 1; i >= 0; i-- {
		a := n.accepted[i]
		before := naiveFold{accepted: n.accepted[:i]}
		previous, out, _, _, _ := before.replay(a.VM)
		if previous == pool && !out && !before.lent(a.VM) && takesOutOfServiceKinds[a.Kind] {
			return a.Offset
		}
	}
	return 0
}

var takesOutOfServiceKinds = map[Kind]bool{VMMoveOut: true, VMRetire: true, VMLend: true}

// lent reports whether the last accepted record of vm lent it.
func (n *naiveFold) lent(vm string) bool {
	last := Kind("")
	for _, a := range n.accepted {
		if a.VM == vm {
			last = a.Kind
		}
	}
	return last == VMLend
}

// replay returns the state of vm after all of its accepted records. last is the
// offset of the last one.
func (n *naiveFold) replay(vm string) (pool string, out bool, to string, drained bool, last uint64) {
	for _, a := range n.accepted {
		if a.VM != vm {
			continue
		}
		last = a.Offset
		switch a.Kind {
		case VMAssign, VMMoveIn:
			pool, out, to, drained = a.To, false, "", false
		case VMMoveOut:
			out, to = true, a.To
		case VMDrained:
			drained = true
		case VMRetire:
			pool, out, to, drained = "", false, "", false
		}
	}
	return pool, out, to, drained, last
}

var (
	testVMs   = []string{"v1", "v2", "v3"}
	testPools = []string{"a", "b", "spare"}
	testKinds = []Kind{VMAssign, VMMoveOut, VMDrained, VMMoveIn, VMRetire, VMLend, VMRecall}
)

// drawRecord draws a new record by a writer with a current or an outdated view, or
// a copy of a record that is already on the log.
func drawRecord(t *rapid.T, log []Record, views []Ownership) Record {
	if len(log) > 0 && rapid.IntRange(0, 3).Draw(t, "copy") == 0 {
		return rapid.SampledFrom(log).Draw(t, "copied")
	}
	view := views[len(views)-1]
	if rapid.IntRange(0, 3).Draw(t, "behind") == 0 {
		view = rapid.SampledFrom(views).Draw(t, "view")
	}
	vm := rapid.SampledFrom(testVMs).Draw(t, "vm")
	h := view.VMs[vm]
	r := Record{
		ID:   fmt.Sprintf("r%d", len(log)),
		Kind: rapid.SampledFrom(testKinds).Draw(t, "kind"),
		VM:   vm,
		Base: h.Changed,
		Seen: view.Through,
		From: h.Pool,
		To:   rapid.SampledFrom(testPools).Draw(t, "to"),
	}
	return r
}

// TestOwnershipAgainstNaive applies the same log to Ownership and to the reference
// implementation. The log has records of concurrent writers with outdated views, and
// records that were appended twice.
func TestOwnershipAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var o Ownership
		var n naiveFold
		var log []Record
		views := []Ownership{{}}
		for i := range rapid.IntRange(1, 60).Draw(t, "records") {
			r := drawRecord(t, log, views)
			r.Offset = uint64(i + 1)
			log = append(log, r)
			before := snapshot(t, o)
			err := o.Apply(r)
			require.Equal(t, n.apply(r), err == nil, "%+v: %v", r, err)
			requireSame(t, &n, &o)
			requireDrainedBeforeMove(t, before, &o, err)
			views = append(views, snapshot(t, o))
		}
		replayed := views[0]
		for _, r := range log {
			_ = replayed.Apply(r)
		}
		require.Equal(t, o, replayed, "a second reader must fold the same state")
	})
}

// snapshot copies o by encoding and decoding it as JSON, like snapshots on the log.
func snapshot(t require.TestingT, o Ownership) Ownership {
	b, err := json.Marshal(o)
	require.NoError(t, err)
	var c Ownership
	require.NoError(t, json.Unmarshal(b, &c))
	return c
}

// requireSame checks that o and n agree on the state of every VM.
func requireSame(t require.TestingT, n *naiveFold, o *Ownership) {
	for _, vm := range testVMs {
		pool, out, to, drained, last := n.replay(vm)
		h := o.VMs[vm]
		require.Equal(t, pool, h.Pool)
		require.Equal(t, to, h.To)
		require.Equal(t, last, h.Changed)
		require.Equal(t, out && !drained, h.Phase == MovingOut)
		require.Equal(t, drained, h.Phase == Drained)
		_, open := o.PoolOf(vm)
		require.Equal(t, pool != "" && !out && !n.lent(vm), open)
	}
}

// requireDrainedBeforeMove checks that a VM is in exactly one pool unless it is
// retired, and that it changes pools only after it was drained.
func requireDrainedBeforeMove(t require.TestingT, before Ownership, o *Ownership, err error) {
	if err != nil {
		var void *VoidError
		require.True(t, errors.As(err, &void))
		require.NotEmpty(t, void.Reason)
	}
	for vm, h := range o.VMs {
		previous := before.VMs[vm]
		require.Equal(t, h.Phase == Retired, h.Pool == "", "%s must be in no pool if and only if it is retired", vm)
		if previous.Pool != "" && h.Pool != "" && h.Pool != previous.Pool {
			require.Equal(t, Drained, previous.Phase, "%s changed pools without being drained", vm)
		}
	}
}

// TestOwnershipRaces checks the void reason of each record that arrives late, twice
// or after a concurrent change.
func TestOwnershipRaces(t *testing.T) {
	var o Ownership
	steps := []struct {
		r    Record
		want VoidReason
	}{
		{Record{ID: "1", Kind: VMAssign, VM: "v", To: "a"}, ""},
		{Record{ID: "2", Kind: VMMoveOut, VM: "v", Base: 1, From: "a", To: "b"}, ""},
		{Record{ID: "3", Kind: VMMoveOut, VM: "v", Base: 1, From: "a", To: "c"}, StaleBase},
		{Record{ID: "2", Kind: VMMoveOut, VM: "v", Base: 1, From: "a", To: "b"}, DuplicateID},
		{Record{ID: "4", Kind: VMMoveIn, VM: "v", Base: 2, To: "b"}, WrongState},
		{Record{ID: "5", Kind: VMDrained, VM: "v", Base: 2}, ""},
		{Record{ID: "6", Kind: VMMoveIn, VM: "v", Base: 6, To: "b"}, ""},
		{Record{ID: "7", Kind: VMMoveIn, VM: "v", Base: 6, To: "c"}, StaleBase},
		{Record{ID: "1", Kind: VMAssign, VM: "v", To: "a"}, StaleBase},
		{Record{ID: "8", Kind: VMMoveOut, VM: "v", Base: 7, Seen: 9, From: "b", To: "a"}, ""},
		{Record{ID: "9", Kind: VMMoveIn, VM: "v", Base: 10, To: "b"}, ""},
		{Record{ID: "9b", Kind: VMRetire, VM: "v", Base: 11, Seen: 9}, StaleBudget},
		{Record{ID: "", Kind: VMDrained, VM: "v", Base: 11}, Malformed},
		{Record{ID: "10", Kind: VMRetire, VM: "v", Base: 11, Seen: 13}, ""},
		{Record{ID: "1", Kind: VMAssign, VM: "v", To: "a"}, StaleBase},
	}
	for i, s := range steps {
		s.r.Offset = uint64(i + 1)
		err := o.Apply(s.r)
		var void *VoidError
		if s.want == "" {
			require.NoError(t, err, "step %d", i+1)
			continue
		}
		require.ErrorAs(t, err, &void, "step %d", i+1)
		require.Equal(t, s.want, void.Reason, "step %d", i+1)
		require.Contains(t, err.Error(), string(s.want))
	}
	var void *VoidError
	require.ErrorAs(t, o.Apply(Record{Offset: 3, ID: "x", Kind: VMDrained, VM: "v"}), &void)
	require.Equal(t, Folded, void.Reason)
	require.Equal(t, Retired, o.VMs["v"].Phase)
}
