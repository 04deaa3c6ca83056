// Package msroster decides what the scheduler believes of a worker. Three sources describe one: its
// entry in the registry, its reports, and the list of VMs. Each can be late, lack the worker, or
// describe an earlier life of it under the same ID:
//
//   - An entry is from the worker itself and changes with its capacity, but it lapses while the
//     worker can't write, and it outlives a restart until the next life writes.
//   - A report is from the life that answers, and says only that it is there.
//   - The list of VMs knows the VM, with its kind, size and pool, and which worker it runs. It
//     lags behind by the time between two lists.
//
// The entry holds as long as it is of the life that reports. The list of VMs holds for a later
// life, and vouches for a worker without an entry. The package does no I/O.
package msroster

import (
	"time"

	"marjoramspan/msjob"
	"marjoramspan/msworker"
)

const (
	// MaxEntryDelay bounds how long a restarted worker waits for its entry if the list of VMs
	// doesn't name it. A worker that writes another start time to its entry than to its
	// reports is used after it.
	MaxEntryDelay = 5 * time.Second
	// MaxListAge bounds the age of a list of VMs that vouches for a worker: twice the time
	// between two lists while nothing changes.
	MaxListAge = 3 * time.Second
)

// Sources is what is known of a worker. Its methods are functions of it and the time.
type Sources struct {
	// Entry is the latest entry, EntrySeenAt when the first one with its start time was seen,
	// Registered whether the registry still has it, LapsedAt since when it doesn't.
	Entry       msworker.Worker
	EntrySeenAt time.Time
	Registered  bool
	LapsedAt    time.Time
	// Refused is set while the latest entry can't be used. It names no worker then.
	Refused bool
	// ProcessStart is the start time of the process that reported last, or 0, and LifeSeenAt
	// when that process was first seen. AnsweredAt is when the report was requested, or zero
	// while the worker doesn't answer.
	ProcessStart int64
	LifeSeenAt   time.Time
	AnsweredAt   time.Time
	// VM is the row of the worker in the latest list of VMs, which was requested at ListedAt.
	// ListedAt is zero if the list doesn't name the worker.
	VM       msworker.VM
	ListedAt time.Time
}

// Exists reports whether there is such a worker: by its entry, or, once that has lapsed, by a
// report and a list of VMs that are both later.
func (s *Sources) Exists(now time.Time) bool {
	if s.Registered || s.Refused {
		return s.Registered
	}
	return s.AnsweredAt.After(s.LapsedAt) && s.VM.Up && s.ListedAt.After(s.LapsedAt) && now.Sub(s.ListedAt) <= MaxListAge
}

// Current returns the worker as the source has it that describes its present life.
func (s *Sources) Current() msworker.Worker {
	w := s.Entry
	if s.entryIsOfLife() || !s.vmIsOfLife() {
		return w
	}
	w.Pool, w.Rack, w.Labels, w.Capacity = s.VM.Pool, s.VM.Rack, s.VM.Labels, s.VM.Capacity
	if s.VM.DataCentre != "" {
		w.DataCentre = s.VM.DataCentre
	}
	w.Draining, w.RemainingTime = false, 0
	return w
}

// Settled reports whether Current describes the present life of the worker.
func (s *Sources) Settled(now time.Time) bool {
	return s.entryIsOfLife() || s.vmIsOfLife() || now.Sub(s.LifeSeenAt) >= MaxEntryDelay
}

// HasReturned reports whether a worker that was given up at a time is there again. processStart is
// the latest start time that was known then, or 0.
func (s *Sources) HasReturned(givenUpAt time.Time, processStart int64) bool {
	return s.VM.Up && s.ListedAt.After(givenUpAt) || s.Registered && processStart != 0 && s.Entry.ProcessStart > processStart
}

// ListLags reports whether a list of VMs, requested at asked, that shows a VM away is of before the
// life of its worker that was first seen at lifeSeenAt. orderedAt is when the VM was ordered away,
// awaySince when the first list was requested that showed it away; either may be zero.
func ListLags(lifeSeenAt, orderedAt, awaySince, asked time.Time) bool {
	if !orderedAt.IsZero() {
		return lifeSeenAt.After(orderedAt)
	}
	return lifeSeenAt.After(awaySince) || asked.Sub(lifeSeenAt) < MaxListAge
}

// entryIsOfLife reports whether the entry isn't of an earlier life than the latest report. Workers
// need not say when they started. An earlier life has the later start time if the worker's wall
// clock was set back in between.
func (s *Sources) entryIsOfLife() bool {
	start := s.Entry.ProcessStart
	return start == 0 || start == s.ProcessStart || start > s.ProcessStart && !s.EntrySeenAt.Before(s.LifeSeenAt)
}

// vmIsOfLife reports whether the list of VMs was requested during the life that reported last,
// and says in which pool it is and what it has room for.
func (s *Sources) vmIsOfLife() bool {
	return s.VM.Up && s.VM.Pool != "" && s.VM.Capacity != (msjob.Resources{}) && s.ListedAt.After(s.LifeSeenAt)
}
