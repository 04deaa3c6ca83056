package msentry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjoramspan/mslog"
	"marjoramspan/msteam"
)

// A VM that once reported that it is leaving gets work again, however many entries heard of it.
func TestEntriesDontRenewEachOthersLeavingReports(t *testing.T) {
	now := time.Unix(1000, 0)
	first, second := &vmTable{}, &vmTable{}
	for _, vms := range []*vmTable{first, second} {
		vms.set([]mslog.VM{{Name: "vm-1", Address: "x", State: mslog.VMLive}}, now)
	}
	require.True(t, first.setLeaving(first.vms["vm-1"].vm, now))
	const heartbeat = time.Second
	for range 3 * leavingTTL / heartbeat {
		now = now.Add(heartbeat / 2)
		for _, name := range first.leavingVMs(now) {
			second.hearLeaving(name, now)
			_, ok := second.usable(name, now, false)
			require.False(t, ok)
		}
		now = now.Add(heartbeat / 2)
		for _, name := range second.leavingVMs(now) {
			first.hearLeaving(name, now)
		}
	}
	for _, vms := range []*vmTable{first, second} {
		_, ok := vms.usable("vm-1", now, false)
		require.True(t, ok, "the VM is left out three times as long as its report counts")
	}
}

// enterAll adds requests of team a and returns how many of them got a VM at once.
func (h *poolHarness) enterAll(t *testing.T, ids ...uint64) int {
	for _, id := range ids {
		ticket, err := h.p.enqueue(msteam.Waiter{ID: id, Team: "a", Arrived: h.now}, h.now)
		require.NoError(t, err)
		h.waiting = append(h.waiting, ticket)
	}
	h.collect()
	return len(h.running)
}

// failAll records that both VMs refused the given number of connections at the same time.
func (h *poolHarness) failAll(connections int) {
	began := h.now
	h.now = h.now.Add(time.Millisecond)
	for range connections {
		for _, name := range h.p.vmNames {
			h.p.vms.recordFailure(h.vm(name), began, h.now)
		}
	}
}

// A moment in which no VM of the pool could be reached, seen by many requests, leaves no VM out for longer than one failure does.
func TestRequestsThatFailTogetherCountAsOneFailure(t *testing.T) {
	h := newPoolHarness()
	h.failAll(8)
	require.Zero(t, h.enterAll(t, 1))
	h.now = h.now.Add(minVMBackoff)
	h.p.dispatch(h.now)
	require.Equal(t, 1, h.enterAll(t))
}

// All VMs were down for long and are back: requests wait a second for them, not five.
func TestRequestsDontWaitBesideVMsThatAreBack(t *testing.T) {
	h := newPoolHarness()
	for range 8 {
		h.failAll(1)
	}
	unreachable, leaving := h.p.vms.countLeftOut(h.now)
	require.Equal(t, []int{2, 0}, []int{unreachable, leaving})
	require.Zero(t, h.enterAll(t, 1, 2, 3))
	h.now = h.now.Add(neededVMBackoff)
	h.p.dispatch(h.now)
	require.Equal(t, 2, h.enterAll(t), "each VM gets one request until it is connected")
	require.True(t, h.p.vms.recordConnected(h.vm("vm-1")))
	h.p.dispatch(h.now)
	require.Equal(t, 3, h.enterAll(t))
	require.Equal(t, "vm-1", h.running[2].vm)
}

// A VM that still fails is left alone while another one has a free slot.
func TestVMInBackoffGetsNothingBesideAFreeOne(t *testing.T) {
	h := newPoolHarness()
	for range 8 {
		h.now = h.now.Add(time.Millisecond)
		h.p.vms.recordFailure(h.vm("vm-1"), h.now, h.now)
	}
	h.now = h.now.Add(neededVMBackoff)
	require.Equal(t, 2, h.enterAll(t, 1, 2))
	require.Equal(t, []runningRequest{{"a", "vm-2"}, {"a", "vm-2"}}, h.running)
}

// All VMs of a pool were leaving and have booted again: they get work as soon as they are listed so.
func TestVMThatHasBootedAgainIsNotLeaving(t *testing.T) {
	h := newPoolHarness()
	list := func(boot string) {
		h.p.vms.set([]mslog.VM{{Name: "vm-1", Address: "x", BootID: boot, State: mslog.VMLive}, {Name: "vm-2", Address: "y", BootID: boot, State: mslog.VMLive}}, h.now)
	}
	list("first")
	h.p.vms.setLeaving(h.vm("vm-1"), h.now)
	h.p.vms.hearLeaving("vm-2", h.now)
	list("first")
	require.Zero(t, h.enterAll(t, 1, 2, 3))
	list("second")
	h.p.dispatch(h.now)
	require.Equal(t, 3, h.enterAll(t))
}

// A VM that can be reached and refuses each request, as one that drains does, is left out for longer each time.
func TestVMThatRefusesRequestsIsLeftOutForLonger(t *testing.T) {
	h := newPoolHarness()
	for range 8 {
		h.p.vms.recordGrant("vm-1", h.now)
		h.p.vms.recordConnected(h.vm("vm-1"))
		h.p.vms.recordFailure(h.vm("vm-1"), h.now, h.now)
	}
	_, ok := h.p.vms.usable("vm-1", h.now.Add(maxVMBackoff/2), false)
	require.False(t, ok)
}
