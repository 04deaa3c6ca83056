package msentry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjoramspan/msstate"
	"marjoramspan/msteam"
)

// slotEntitlements returns the sum of the entitlements to slots of the pool's VMs.
func (h *poolHarness) slotEntitlements() int {
	sum := 0
	for _, vm := range h.p.vmNames {
		sum += h.p.ledger.Counts(msstate.SlotResource(vm)).Entitlement
	}
	return sum
}

func (h *poolHarness) enqueue(t *testing.T, team string, id uint64) {
	ticket, err := h.p.enqueue(msteam.Waiter{ID: id, Team: team, Arrived: h.now}, h.now)
	require.NoError(t, err)
	h.waiting = append(h.waiting, ticket)
}

func TestSlotEntitlementsAreSpreadOverUsableVMs(t *testing.T) {
	h := newPoolHarness()
	for id := range uint64(3) {
		h.enqueue(t, "a", id+1)
	}
	h.now = h.now.Add(time.Second)
	h.p.updateEntitlements(h.now)
	require.Equal(t, 3, h.p.sched.TargetSlots(h.now))
	require.Equal(t, 3, h.slotEntitlements())
	h.p.vms.setLeaving(h.vm("vm-1"), h.now)
	h.now = h.now.Add(time.Second)
	h.p.updateEntitlements(h.now)
	require.Zero(t, h.p.ledger.Counts(msstate.SlotResource("vm-1")).Entitlement)
	require.Equal(t, 2, h.slotEntitlements(), "bounded by the slots of the remaining VM")
}

func TestTeamEntitlementIsTheSumOverPools(t *testing.T) {
	h := newPoolHarness()
	other := &pool{name: "q", ledger: h.p.ledger, vms: h.p.vms, demand: h.p.demand}
	other.configure(h.p.vmNames, 2, []msteam.Share{{Team: "a", Weight: 1, Limit: 3}}, 100)
	h.enqueue(t, "a", 1)
	_, err := other.enqueue(msteam.Waiter{ID: 1, Team: "a", Arrived: h.now}, h.now)
	require.NoError(t, err)
	teamEntitlement := func() int { return h.p.ledger.Counts(msstate.TeamResource("a")).Entitlement }
	h.now = h.now.Add(time.Second)
	h.p.updateEntitlements(h.now)
	other.updateEntitlements(h.now)
	require.Equal(t, 2, teamEntitlement())
	h.collect()
	h.release(0)
	h.now = h.now.Add(time.Second)
	h.p.updateEntitlements(h.now)
	other.updateEntitlements(h.now)
	require.Equal(t, 1, teamEntitlement(), "a request that ended adds no entitlement in its pool")
}
