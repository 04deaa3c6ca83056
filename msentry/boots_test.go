package msentry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjoramspan/mslog"
)

// bootTable returns a table with a VM of the given boot.
func bootTable(boot string, now time.Time) (*vmTable, mslog.VM) {
	vm := mslog.VM{Name: "vm-1", Address: "x", BootID: boot, State: mslog.VMLive}
	t := &vmTable{}
	t.set([]mslog.VM{vm}, now)
	return t, vm
}

// What a request to the earlier boot of a VM found arrived after the restart had been seen, and left
// the next boot without work for a minute.
func TestAnswersOfAnEarlierBootDontCountForTheNext(t *testing.T) {
	now := time.Unix(1000, 0)
	vms, earlier := bootTable("boot-1", now)
	next := earlier
	next.BootID = "boot-2"
	vms.set([]mslog.VM{next}, now.Add(time.Second))
	require.False(t, vms.setLeaving(earlier, now.Add(2*time.Second)))
	vms.recordFailure(earlier, now, now.Add(2*time.Second))
	_, ok := vms.usable("vm-1", now.Add(2*time.Second), false)
	require.True(t, ok)
	vms.recordFailure(next, now, now.Add(2*time.Second))
	_, ok = vms.usable("vm-1", now.Add(2*time.Second), false)
	require.False(t, ok)
	vms.recordAnswer(earlier)
	_, ok = vms.usable("vm-1", now.Add(2*time.Second), false)
	require.False(t, ok)
	vms.recordAnswer(next)
	require.True(t, vms.setLeaving(next, now.Add(2*time.Second)))
}
