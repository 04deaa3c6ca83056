package mswave

import (
	"time"

	"marjoramspan/mspool"
)

// Apply folds r, and notes in own which pools lost a VM by it. It returns a
// *VoidError for a record that has no effect; the state is then unchanged but
// for the offset.
func (s *State) Apply(r Record, own *mspool.Ownership) error {
	if r.Offset <= s.Through {
		return &VoidError{Reason: mspool.Folded, Record: r}
	}
	s.Through = r.Offset
	if reason := s.refuse(r); reason != "" {
		return &VoidError{Reason: reason, Record: r}
	}
	for _, target := range r.VMs {
		if reason := s.refuseVM(r, target, own); reason != "" {
			return &VoidError{Reason: reason, Record: r, VM: target.VM}
		}
	}
	s.Changed = r.Offset
	s.LastID = r.ID
	s.change(r)
	for _, target := range r.VMs {
		s.changeVM(r, target, own)
	}
	return nil
}

func (s *State) refuse(r Record) mspool.VoidReason {
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
		return (s.Status == Running || s.Status == Stopped) && s.count(Draining, Rebooting) == 0
	case Cancel, Return, Late, Discard:
		return s.Status != ""
	}
	return false
}

func (s *State) refuseVM(r Record, target Target, own *mspool.Ownership) mspool.VoidReason {
	if !s.allowsVM(r.Kind, target) {
		return mspool.WrongState
	}
	pool, stays := own.Stays(target.VM)
	if r.Kind == Discard && pool != "" {
		return mspool.WrongState
	}
	if r.Kind != Drain {
		return ""
	}
	if !stays || pool != target.Pool {
		return mspool.WrongState
	}
	if !own.CanTake(pool, r.Seen) {
		return mspool.StaleBudget
	}
	return ""
}

func (s *State) allowsVM(k Kind, target Target) bool {
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
	case Late:
		return p.Phase == Rebooting
	case Discard:
		_, maintained := s.Maintained[target.VM]
		return p.Phase != "" || maintained
	}
	return false
}

func (s *State) change(r Record) {
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
			s.forgive()
		}
	case End:
		s.Status = Ended
	}
}

// forgive stops counting VMs that are overdue, or that fail after their return,
// against the wave.
func (s *State) forgive() {
	for vm, p := range s.VMs {
		if p.Phase == Overdue || p.Phase == Returned {
			p.Forgiven = true
			s.VMs[vm] = p
		}
	}
}

// start begins a wave. VMs that an earlier wave rebooted and nobody has seen
// since stay out of service.
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

func (s *State) changeVM(r Record, target Target, own *mspool.Ownership) {
	p := s.VMs[target.VM]
	p.Since = r.At
	switch r.Kind {
	case Drain:
		p.Phase = Draining
		own.Take(target.Pool, r.Offset)
	case Reboot:
		p.Phase = Rebooting
		p.BootID = target.BootID
	case Return:
		p = Progress{Phase: Returned, Since: r.At}
		s.maintained(target.VM, r.At)
	case Late:
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

func (s *State) maintained(vm string, at time.Time) {
	if s.Maintained == nil {
		s.Maintained = make(map[string]time.Time)
	}
	s.Maintained[vm] = at
}
