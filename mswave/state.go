package mswave

import (
	"time"

	"marjoramspan/mspool"
)

// State is the result of applying a wave's records in log order. The same
// records always give the same State, and snapshots hold it as JSON. The zero
// value has no wave. It is not safe for concurrent use.
type State struct {
	// Through is the offset of the last record applied, accepted or void.
	Through uint64 `json:"through"`
	// Changed is the offset of the last accepted record. The next record must
	// give it as its base.
	Changed  uint64    `json:"changed"`
	LastID   string    `json:"last-id,omitempty"`
	Wave     string    `json:"wave,omitempty"`
	Status   Status    `json:"status,omitempty"`
	Settings Settings  `json:"settings"`
	Started  time.Time `json:"started,omitzero"`
	// StoppedAt and Reason describe the last stop. Held means that an operator
	// stopped the wave and that only an operator can resume it.
	StoppedAt time.Time `json:"stopped-at,omitzero"`
	Reason    string    `json:"reason,omitempty"`
	Held      bool      `json:"held,omitempty"`
	// VMs holds the progress of each VM that the wave has started on, by name.
	VMs map[string]Progress `json:"vms,omitempty"`
	// Maintained is when each VM last returned from maintenance, in this wave or
	// an earlier one.
	Maintained map[string]time.Time `json:"maintained,omitempty"`
}

// Status is the state of a wave as a whole.
type Status string

// Statuses of a wave.
const (
	Running Status = "running"
	Stopped Status = "stopped"
	Ended   Status = "ended"
)

// Progress is how far one VM is through the wave.
type Progress struct {
	Phase Phase `json:"phase"`
	// Since is when the VM entered Phase, by the clock of the record's writer.
	Since time.Time `json:"since"`
	// BootID is the boot id of the VM before its reboot.
	BootID string `json:"boot-id,omitempty"`
	// Forgiven means that the VM no longer counts towards stopping the wave.
	Forgiven bool `json:"forgiven,omitempty"`
}

// Phase is the step of maintenance that a VM is in.
type Phase string

// Phases of a VM in a wave.
const (
	// Draining VMs get no new work and finish the requests that they run.
	Draining Phase = "draining"
	// Rebooting VMs have been ordered to reboot and have not returned yet.
	Rebooting Phase = "rebooting"
	// Overdue VMs did not return within the boot timeout.
	Overdue Phase = "overdue"
	// Returned VMs have been maintained and are back in service.
	Returned Phase = "returned"
)

// OutOfService reports whether the wave keeps vm out of service, so that entries send it
// no work.
func (s *State) OutOfService(vm string) bool {
	switch s.VMs[vm].Phase {
	case Draining, Rebooting, Overdue:
		return true
	}
	return false
}

// MarkOutOfService returns a copy of t with the time of each VM's last maintenance. In it,
// VMs that the wave keeps out of service are draining, rebooting or, if overdue,
// failed. mspool.Plan and mspool.Health take a marked table.
func (s *State) MarkOutOfService(t mspool.Table) mspool.Table {
	marked := mspool.Table{VMs: make([]mspool.VM, len(t.VMs)), Pools: t.Pools}
	copy(marked.VMs, t.VMs)
	for i := range marked.VMs {
		s.markVM(&marked.VMs[i])
	}
	return marked
}

func (s *State) markVM(v *mspool.VM) {
	if at := s.Maintained[v.Name]; v.LastMaintained.Before(at) {
		v.LastMaintained = at
	}
	p, ok := s.VMs[v.Name]
	if !ok || p.Phase == Returned {
		return
	}
	if v.State == mspool.Failed || v.State == mspool.Leaving {
		return
	}
	v.Since = p.Since
	v.State = mspool.Rebooting
	if p.Phase == Draining {
		v.State = mspool.Draining
	}
	if p.Phase == Overdue {
		v.State = mspool.Failed
	}
}

// countInPhase returns how many VMs are in one of the phases.
func (s *State) countInPhase(phases ...Phase) int {
	n := 0
	for _, p := range s.VMs {
		for _, phase := range phases {
			if p.Phase == phase {
				n++
			}
		}
	}
	return n
}
