package msstate

import (
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"marjoramspan/mslog"
	"marjoramspan/mspool"
	"marjoramspan/msrule"
	"marjoramspan/mswave"
)

// Prefixes of the kinds of mspool and mswave. The body of such a change is a
// record of that package. Its offset is set to the version, its id to that of the
// log record, and its writer to that of the change.
const (
	prefixVM   = "vm-"
	prefixWave = "wave-"
)

// VMChange returns the change that carries a record of mspool.
func VMChange(r mspool.Record) Change {
	return NewChange(Kind(r.Kind), r.By, r.Base, r)
}

// WaveChange returns the change that carries a record of mswave.
func WaveChange(r mswave.Record) Change {
	return NewChange(Kind(r.Kind), r.By, r.Base, r)
}

func (s *State) applyVMRecord(c Change, rec mslog.Record) voidReason {
	var r mspool.Record
	if err := json.Unmarshal(c.Body, &r); err != nil {
		return voidReason("invalid body: " + err.Error())
	}
	if Kind(r.Kind) != c.Kind {
		return "the kind in the body differs from the kind of the change"
	}
	if r.To != "" && !s.hasPool(r.To) {
		return voidReason("unknown pool " + r.To)
	}
	r.Offset = rec.Offset + 1
	r.ID = rec.ID
	r.By = c.By
	if err := s.Ownership.Apply(r); err != nil {
		return voidReason(err.Error())
	}
	s.updateMoveTime(r, rec.Time)
	s.updateTotals(r.Offset)
	return accepted
}

// updateMoveTime records the time at which a move begins, and deletes it when the
// move ends.
func (s *State) updateMoveTime(r mspool.Record, at time.Time) {
	switch r.Kind {
	case mspool.VMMoveOut:
		if s.MoveTimes == nil {
			s.MoveTimes = make(map[string]time.Time)
		}
		s.MoveTimes[r.VM] = at
	case mspool.VMMoveIn, mspool.VMRetire:
		delete(s.MoveTimes, r.VM)
	}
}

func (s *State) hasPool(name string) bool {
	return slices.ContainsFunc(s.Rules.Pools, func(p msrule.Pool) bool { return p.Name == name })
}

func (s *State) applyWaveRecord(c Change, rec mslog.Record) voidReason {
	var r mswave.Record
	if err := json.Unmarshal(c.Body, &r); err != nil {
		return voidReason("invalid body: " + err.Error())
	}
	if Kind(r.Kind) != c.Kind {
		return "the kind in the body differs from the kind of the change"
	}
	r.Offset = rec.Offset + 1
	r.ID = rec.ID
	r.By = c.By
	if err := s.Wave.Apply(r, &s.Ownership); err != nil {
		return voidReason(err.Error())
	}
	return accepted
}

// assignVMs assigns VMs that are new in the rules to their pools, and retires VMs
// that the rules no longer list. A VM that was moved since stays in its pool, as
// publishing rules never moves a VM.
func (s *State) assignVMs(version uint64) {
	listed := make(map[string]bool, len(s.Rules.VMs))
	for _, vm := range s.Rules.VMs {
		listed[vm.Name] = true
		holding := s.Ownership.VMs[vm.Name]
		if holding.Phase == "" || holding.Phase == mspool.Retired {
			s.applyOwnership(mspool.Record{Kind: mspool.VMAssign, VM: vm.Name, Base: holding.Changed, To: vm.Pool}, version)
		}
	}
	for vm, holding := range s.Ownership.VMs {
		if !listed[vm] && holding.Phase != mspool.Retired {
			s.applyOwnership(mspool.Record{Kind: mspool.VMRetire, VM: vm, Base: holding.Changed, Seen: version}, version)
		}
	}
}

// applyOwnership applies to one VM its part of the rules published as version.
func (s *State) applyOwnership(r mspool.Record, version uint64) {
	r.Offset = version
	r.ID = "rules-" + strconv.FormatUint(version, 10)
	s.Ownership.Through = version - 1
	// The error is ignored: a VM that is being moved can't be retired. It is
	// retired when rules are published after the move.
	_ = s.Ownership.Apply(r)
}
