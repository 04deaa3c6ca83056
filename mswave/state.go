package mswave

import (
	"time"

	"marjoramspan/mspool"
)

// State is the fold of a wave's records. The zero value has no wave. It is
// deterministic and travels as JSON in snapshots. It is not safe for concurrent
// use.
type State struct {
	// Through is the offset of the last record folded.
	Through uint64 `json:"through"`
	// Changed is the offset of the last accepted record, which the next one has
	// to name as its base.
	Changed  uint64    `json:"changed"`
	LastID   string    `json:"last-id,omitempty"`
	Wave     string    `json:"wave,omitempty"`
	Status   Status    `json:"status,omitempty"`
	Settings Settings  `json:"settings"`
	Started  time.Time `json:"started,omitzero"`
	// StoppedAt and Reason tell of the last stop; Held means that an operator
	// stopped the wave and has to resume it.
	StoppedAt time.Time `json:"stopped-at,omitzero"`
	Reason    string    `json:"reason,omitempty"`
	Held      bool      `json:"held,omitempty"`
	// VMs holds the VMs that the wave has touched, by name.
	VMs map[string]Progress `json:"vms,omitempty"`
	// Maintained is when each VM last came back from maintenance, in this wave or
	// an earlier one.
	Maintained map[string]time.Time `json:"maintained,omitempty"`
}

// Status is what a wave does.
type Status string

// Statuses of a wave.
const (
	Running Status = "running"
	Stopped Status = "stopped"
	Ended   Status = "ended"
)

// Progress is how far the wave is with one VM.
type Progress struct {
	Phase Phase `json:"phase"`
	// Since is when the VM came into Phase, by the clock of the record's writer.
	Since time.Time `json:"since"`
	// BootID is the one that the VM had before its reboot.
	BootID string `json:"boot-id,omitempty"`
	// Forgiven VMs no longer count towards stopping the wave.
	Forgiven bool `json:"forgiven,omitempty"`
}

// Phase is a VM's part of the way through maintenance.
type Phase string

// Phases of a VM in a wave.
const (
	// Draining VMs get no new work and finish what they run.
	Draining Phase = "draining"
	// Rebooting VMs have been ordered to reboot and have not been seen since.
	Rebooting Phase = "rebooting"
	// Overdue VMs have not come back in time.
	Overdue Phase = "overdue"
	// Returned VMs have been maintained.
	Returned Phase = "returned"
)

// Out reports whether the wave keeps vm out of service. Entries send it no work.
func (s *State) Out(vm string) bool {
	switch s.VMs[vm].Phase {
	case Draining, Rebooting, Overdue:
		return true
	}
	return false
}

// Mark returns t with the VMs that the wave keeps out of service shown so.
// mspool.Plan and mspool.Health take a marked table.
func (s *State) Mark(t mspool.Table) mspool.Table {
	out := mspool.Table{VMs: make([]mspool.VM, len(t.VMs)), Pools: t.Pools}
	copy(out.VMs, t.VMs)
	for i := range out.VMs {
		s.mark(&out.VMs[i])
	}
	return out
}

func (s *State) mark(v *mspool.VM) {
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

// count returns how many VMs are in any of the phases.
func (s *State) count(phases ...Phase) int {
	n := 0
	for _, p := range s.VMs {
		for _, want := range phases {
			if p.Phase == want {
				n++
			}
		}
	}
	return n
}
