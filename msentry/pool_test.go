package msentry

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"marjoramspan/mslog"
	"marjoramspan/msstate"
	"marjoramspan/msteam"
	"marjoramspan/mstoken"
)

// TestPoolKeepsItsTokens runs random arrivals, ends, abandoned requests and leaving VMs
// on a pool of a single entry. No VM exceeds its slots, no team its limit, every request
// gets exactly one grant or expiry, and at the end every token is returned.
func TestPoolKeepsItsTokens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newPoolHarness()
		id := uint64(0)
		t.Repeat(map[string]func(*rapid.T){
			"enter": func(t *rapid.T) {
				id++
				w := msteam.Waiter{ID: id, Team: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team"), Arrived: h.now}
				w.Deadline = h.now.Add(time.Duration(rapid.IntRange(1, 5).Draw(t, "deadline")) * time.Second)
				if ticket, err := h.p.enqueue(w, h.now); err == nil {
					h.waiting = append(h.waiting, ticket)
				}
			},
			"end": func(t *rapid.T) {
				if len(h.running) > 0 {
					h.release(rapid.IntRange(0, len(h.running)-1).Draw(t, "which"))
				}
			},
			"abandon": func(t *rapid.T) {
				if len(h.waiting) > 0 {
					i := rapid.IntRange(0, len(h.waiting)-1).Draw(t, "which")
					h.p.abandon(h.waiting[i], h.now)
					h.waiting = append(h.waiting[:i], h.waiting[i+1:]...)
				}
			},
			"leave": func(t *rapid.T) {
				h.p.vms.setLeaving(h.vm(rapid.SampledFrom(h.p.vmNames).Draw(t, "vm")), h.now)
			},
			"fail": func(t *rapid.T) {
				h.p.vms.recordFailure(h.vm(rapid.SampledFrom(h.p.vmNames).Draw(t, "vm")), h.now, h.now)
			},
			"tick": func(t *rapid.T) {
				h.now = h.now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds")) * time.Second)
				h.p.dispatch(h.now)
			},
			"": func(t *rapid.T) {
				h.collect()
				h.checkLimits(t)
			},
		})
		h.finishAll()
		for _, name := range []string{"slot/vm-1", "slot/vm-2", "team/a", "team/b"} {
			require.Zero(t, h.p.ledger.Counts(name).Running, "tokens of %s are still in use", name)
		}
		require.Empty(t, h.p.waiting)
	})
}

type poolHarness struct {
	p       *pool
	now     time.Time
	waiting []*ticket
	running []runningRequest
}

type runningRequest struct {
	team, vm string
}

func newPoolHarness() *poolHarness {
	h := &poolHarness{now: time.Unix(1000, 0)}
	l := &mstoken.Ledger{Self: "e", ReclaimAfter: time.Second}
	l.SetView(mstoken.View{Epoch: 1, Members: []string{"e"}}, h.now)
	vms := &vmTable{}
	vms.set([]mslog.VM{{Name: "vm-1", Address: "x", State: mslog.VMLive}, {Name: "vm-2", Address: "y", State: mslog.VMLive}}, h.now)
	for _, vm := range []string{"vm-1", "vm-2"} {
		l.SetTotal(msstate.SlotResource(vm), 2, 1, h.now)
	}
	l.SetTotal(msstate.TeamResource("a"), 3, 1, h.now)
	l.SetTotal(msstate.TeamResource("b"), 1, 1, h.now)
	l.Outgoing(h.now)
	h.p = &pool{name: "p", ledger: l, vms: vms, demand: &demand{}}
	h.p.configure([]string{"vm-1", "vm-2"}, 2, []msteam.Share{{Team: "a", Weight: 1, Limit: 3}, {Team: "b", Weight: 2, Limit: 1}}, 100)
	return h
}

// vm returns the VM as last listed.
func (h *poolHarness) vm(name string) mslog.VM {
	return h.p.vms.vms[name].vm
}

// collect moves granted requests from waiting to running, and removes expired ones.
func (h *poolHarness) collect() {
	kept := h.waiting[:0]
	for _, t := range h.waiting {
		select {
		case g := <-t.ready:
			if !g.expired {
				h.running = append(h.running, runningRequest{team: t.team, vm: g.vm.Name})
			}
		default:
			kept = append(kept, t)
		}
	}
	h.waiting = kept
}

func (h *poolHarness) checkLimits(t *rapid.T) {
	count := make(map[string]int)
	for _, s := range h.running {
		count[s.team]++
		count[s.vm]++
	}
	for name, limit := range map[string]int{"a": 3, "b": 1, "vm-1": 2, "vm-2": 2} {
		require.LessOrEqual(t, count[name], limit, fmt.Sprint(name, " is over its limit"))
	}
	require.Len(t, h.waiting, len(h.p.waiting))
}

func (h *poolHarness) release(i int) {
	s := h.running[i]
	h.running = append(h.running[:i], h.running[i+1:]...)
	h.p.release(s.team, s.vm, time.Second, h.now)
}

// finishAll expires or ends all requests.
func (h *poolHarness) finishAll() {
	h.now = h.now.Add(time.Hour)
	h.p.dispatch(h.now)
	h.collect()
	for len(h.running) > 0 {
		h.release(0)
		h.collect()
	}
}

func TestVMRemovedFromPoolHasNoDemand(t *testing.T) {
	h := newPoolHarness()
	for id := range uint64(8) {
		_, err := h.p.enqueue(msteam.Waiter{ID: id + 1, Team: "a", Arrived: h.now}, h.now)
		require.NoError(t, err)
	}
	require.Positive(t, h.p.ledger.Counts("slot/vm-1").Want)
	h.p.configure([]string{"vm-2"}, 2, nil, 100)
	require.Zero(t, h.p.ledger.Counts("slot/vm-1").Want)
	require.Zero(t, h.p.ledger.Counts("slot/vm-1").Entitlement)
}

// The VMs of an evacuated data centre get no slot granted, and slots again once it is
// released.
func TestEvacuatedVMsGetNoSlots(t *testing.T) {
	h := newPoolHarness()
	h.p.vms.set([]mslog.VM{{Name: "vm-1", Address: "x", DataCentre: "north", State: mslog.VMLive}, {Name: "vm-2", Address: "y", DataCentre: "south", State: mslog.VMLive}}, h.now)
	h.p.vms.setEvacuated(map[string]msstate.Evacuation{"north": {}})
	for id := range uint64(3) {
		ticket, err := h.p.enqueue(msteam.Waiter{ID: id + 1, Team: "a", Arrived: h.now}, h.now)
		require.NoError(t, err)
		h.waiting = append(h.waiting, ticket)
	}
	h.collect()
	require.Equal(t, []runningRequest{{"a", "vm-2"}, {"a", "vm-2"}}, h.running)
	h.p.vms.setEvacuated(nil)
	h.p.dispatch(h.now)
	h.collect()
	require.Equal(t, runningRequest{"a", "vm-1"}, h.running[2])
}

func TestLeavingVMGetsNoNewWork(t *testing.T) {
	h := newPoolHarness()
	h.p.vms.setLeaving(h.vm("vm-1"), h.now)
	for id := range uint64(4) {
		ticket, err := h.p.enqueue(msteam.Waiter{ID: id + 1, Team: "a", Arrived: h.now}, h.now)
		require.NoError(t, err)
		h.waiting = append(h.waiting, ticket)
	}
	h.collect()
	require.Equal(t, []runningRequest{{"a", "vm-2"}, {"a", "vm-2"}}, h.running)
}
