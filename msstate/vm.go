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

// The kinds of mspool and mswave begin with these; the body of such a change is
// a record of that package. Its offset is the version, its id and writer are
// those of the change.
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

func (s *State) moveVM(c Change, rec mslog.Record) void {
	var r mspool.Record
	if err := json.Unmarshal(c.Body, &r); err != nil {
		return void("body: " + err.Error())
	}
	if Kind(r.Kind) != c.Kind {
		return "the body is of another kind"
	}
	if r.To != "" && !s.hasPool(r.To) {
		return void("no pool " + r.To)
	}
	r.Offset = rec.Offset + 1
	r.ID = rec.ID
	r.By = c.By
	if err := s.Ownership.Apply(r); err != nil {
		return void(err.Error())
	}
	s.timeMove(r, rec.Time)
	s.resize(r.Offset)
	return accepted
}

// timeMove notes when a move began.
func (s *State) timeMove(r mspool.Record, at time.Time) {
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

func (s *State) changeWave(c Change, rec mslog.Record) void {
	var r mswave.Record
	if err := json.Unmarshal(c.Body, &r); err != nil {
		return void("body: " + err.Error())
	}
	if Kind(r.Kind) != c.Kind {
		return "the body is of another kind"
	}
	r.Offset = rec.Offset + 1
	r.ID = rec.ID
	r.By = c.By
	if err := s.Wave.Apply(r, &s.Ownership); err != nil {
		return void(err.Error())
	}
	return accepted
}

// assignVMs puts the VMs that the rules name for the first time into their
// pools, and retires those that the rules name no longer. A VM that moved since
// stays where it is: a rules file never moves one back.
func (s *State) assignVMs(version uint64) {
	named := make(map[string]bool, len(s.Rules.VMs))
	for _, vm := range s.Rules.VMs {
		named[vm.Name] = true
		h := s.Ownership.VMs[vm.Name]
		if h.Phase == "" || h.Phase == mspool.Retired {
			s.own(mspool.Record{Kind: mspool.VMAssign, VM: vm.Name, Base: h.Changed, To: vm.Pool}, version)
		}
	}
	for vm, h := range s.Ownership.VMs {
		if !named[vm] && h.Phase != mspool.Retired {
			s.own(mspool.Record{Kind: mspool.VMRetire, VM: vm, Base: h.Changed, Seen: version}, version)
		}
	}
}

// own folds a change of one VM that is part of a larger record.
func (s *State) own(r mspool.Record, version uint64) {
	r.Offset = version
	r.ID = "rules-" + strconv.FormatUint(version, 10)
	s.Ownership.Through = version - 1
	// A VM that is on its way out can't be retired; it is once it has arrived and
	// rules are published again.
	_ = s.Ownership.Apply(r)
}
