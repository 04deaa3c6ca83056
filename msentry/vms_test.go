package msentry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjoramspan/mslog"
)

// A VM that once reported that it is leaving gets work again, however many entries heard of it.
func TestEntriesDontRenewEachOthersLeavingReports(t *testing.T) {
	now := time.Unix(1000, 0)
	first, second := &vmTable{}, &vmTable{}
	for _, vms := range []*vmTable{first, second} {
		vms.set([]mslog.VM{{Name: "vm-1", Address: "x", State: mslog.VMLive}}, now)
	}
	require.True(t, first.setLeaving("vm-1", now))
	const heartbeat = time.Second
	for range 3 * leavingTTL / heartbeat {
		now = now.Add(heartbeat / 2)
		for _, name := range first.leavingVMs(now) {
			second.hearLeaving(name, now)
			_, ok := second.usable(name, now)
			require.False(t, ok)
		}
		now = now.Add(heartbeat / 2)
		for _, name := range second.leavingVMs(now) {
			first.hearLeaving(name, now)
		}
	}
	for _, vms := range []*vmTable{first, second} {
		_, ok := vms.usable("vm-1", now)
		require.True(t, ok, "the VM is left out three times as long as its report counts")
	}
}
