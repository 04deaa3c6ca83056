package mswave

import (
	"time"

	"marjoramspan/mspool"
)

// Apply applies r, and records in ownership which pools had a VM taken out of
// service by it. It returns a *VoidError for a record that has no effect; then at
// most Through changes.
func (s *State) Apply(r Record, ownership *mspool.Ownership) error {
	if r.Offset <= s.Through {
		return &VoidError{Reason: mspool.Folded, Record: r}
	}
	s.Through = r.Offset
	if reason := s.checkRecord(r); reason != "" {
		return &VoidError{Reason: reason, Record: r}
	}
	for _, target := range r.VMs {
		if reason := s.checkTarget(r, target, ownership); reason != "" {
			return &VoidError{Reason: reason, Record: r, VM: target.VM}
		}
	}
	s.Changed = r.Offset
	s.LastID = r.ID
	s.applyStatus(r)
	for _, target := range r.VMs {
		s.applyTarget(r, target, ownership)
	}
	return nil
}

func (s *State) checkRecord(r Record) mspool.VoidReason {
	switch {
	case r.ID == "" || r.Wave == "":
		return mspool.Malformed
	case r.ID == s.LastID:
		return mspool.DuplicateID
	case r.Base != s.Changed:
		return mspool.StaleBase
	case r.Kind != Start && r.Wave != s.Wave:
		return mspool.WrongState
	case !s.allows(r.Kind):
		return mspool.WrongState
	}
	return ""
}

func (s *State) allows(k Kind) bool {
	switch k {
	case Start:
		return s.Status == "" || s.Status == Ended
	case Drain, Reboot, Stop:
		return s.Status == Running
	case Resume:
		return s.Status == Stopped
	case End:
		return (s.Status == Running || s.Status == Stopped) && s.countInPhase(Draining, Rebooting) == 0
	case Cancel, Return, BootTimedOut, Discard:
		return s.Status != ""
	}
	return false
}

func (s *State) checkTarget(r Record, target Target, ownership *mspool.Ownership) mspool.VoidReason {
	if !s.allowsTarget(r.Kind, target) {
		return mspool.WrongState
	}
	pool, notMoving := ownership.StablePool(target.VM)
	if r.Kind == Discard && pool != "" {
		return mspool.WrongState
	}
	if r.Kind != Drain {
		return ""
	}
	if !notMoving || pool != target.Pool {
		return mspool.WrongState
	}
	if !ownership.CanTake(pool, r.Seen) {
		return mspool.StaleBudget
	}
	return ""
}

func (s *State) allowsTarget(k Kind, target Target) bool {
	p := s.VMs[target.VM]
	switch k {
	case Drain:
		return p.Phase == ""
	case Cancel:
		return p.Phase == Draining
	case Reboot:
		return p.Phase == Draining && target.BootID != ""
	case Return:
		return (p.Phase == Rebooting || p.Phase == Overdue) && target.BootID != "" && target.BootID != p.BootID
	case BootTimedOut:
		return p.Phase == Rebooting
	case Discard:
		_, maintained := s.Maintained[target.VM]
		return p.Phase != "" || maintained
	}
	return false
}

func (s *State) applyStatus(r Record) {
	switch r.Kind {
	case Start:
		s.start(r)
	case Stop:
		s.Status = Stopped
		s.StoppedAt = r.At
		s.Reason = r.Reason
		s.Held = r.Hold
	case Resume:
		s.Status = Running
		s.Held = false
		if !r.Auto {
			s.forgiveFailures()
		}
	case End:
		s.Status = Ended
	}
}

// forgiveFailures excludes the VMs that are overdue or have returned from the
// count of failures that stops the wave.
func (s *State) forgiveFailures() {
	for vm, p := range s.VMs {
		if p.Phase == Overdue || p.Phase == Returned {
			p.Forgiven = true
			s.VMs[vm] = p
		}
	}
}

// start begins a wave. VMs that an earlier wave took out of service and that
// have not returned stay out of service.
func (s *State) start(r Record) {
	for vm, p := range s.VMs {
		if p.Phase == Returned {
			delete(s.VMs, vm)
			continue
		}
		p.Forgiven = true
		s.VMs[vm] = p
	}
	s.Wave = r.Wave
	s.Status = Running
	s.Settings = r.Settings
	s.Started = r.At
	s.Reason = ""
	s.Held = false
}

func (s *State) applyTarget(r Record, target Target, ownership *mspool.Ownership) {
	p := s.VMs[target.VM]
	p.Since = r.At
	switch r.Kind {
	case Drain:
		p.Phase = Draining
		ownership.RecordTaken(target.Pool, r.Offset)
	case Reboot:
		p.Phase = Rebooting
		p.BootID = target.BootID
	case Return:
		p = Progress{Phase: Returned, Since: r.At}
		s.setMaintained(target.VM, r.At)
	case BootTimedOut:
		p.Phase = Overdue
	case Discard:
		delete(s.Maintained, target.VM)
		delete(s.VMs, target.VM)
		return
	case Cancel:
		delete(s.VMs, target.VM)
		return
	}
	if s.VMs == nil {
		s.VMs = make(map[string]Progress)
	}
	s.VMs[target.VM] = p
}

func (s *State) setMaintained(vm string, at time.Time) {
	if s.Maintained == nil {
		s.Maintained = make(map[string]time.Time)
	}
	s.Maintained[vm] = at
}
