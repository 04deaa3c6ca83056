package msstandin

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"marjoramspan/mslog"
)

// Ownership is which pool each VM belonged to from a time on, by the log.
type Ownership struct {
	At time.Time
	// Pools holds the pool of each VM, Needed how many VMs of each pool must be
	// in service, and Paths the pool that a path of a request belongs to.
	Pools  map[string]string
	Needed map[string]int
	Paths  map[string]string
}

// FleetJudge holds the platform's history of the VMs and the upstreams' journals
// against the log.
type FleetJudge struct {
	Events   []VMEvent
	Journals []Journal
	// Owners is in the order of time.
	Owners []Ownership
	// Lag is how long after a change on the log an entry may still act on the
	// state before it.
	Lag time.Duration
	// From is when budgets begin to count, once the VMs have started.
	From time.Time
}

// FleetVerdict is what a FleetJudge has counted.
type FleetVerdict struct {
	Reboots int
	// BudgetBreaches counts the times at which a pool fell below its budget.
	BudgetBreaches int
	// TwoPools counts requests that a VM ran for a pool it did not belong to.
	TwoPools int
	// Cut counts requests that ran when a planned reboot came.
	Cut int
}

// String returns the line that a demo ends with.
func (v FleetVerdict) String() string {
	return fmt.Sprintf("fleet: reboots=%d budget-breaches=%d two-pools=%d cut-by-planned-stop=%d", v.Reboots, v.BudgetBreaches, v.TwoPools, v.Cut)
}

// Err returns an error that names the breaches, or nil.
func (v FleetVerdict) Err() error {
	if v.BudgetBreaches+v.TwoPools+v.Cut == 0 {
		return nil
	}
	return fmt.Errorf("%w: %s", ErrBreach, v)
}

// ErrNoReboot is the cause when no VM was maintained, so that nothing was shown.
var ErrNoReboot = errors.New("no VM was rebooted")

// Verdict counts the breaches.
func (j FleetJudge) Verdict() FleetVerdict {
	var v FleetVerdict
	for _, l := range j.Journals {
		v.Reboots += l.Reboots
		v.Cut += l.Cut
		for _, e := range l.Entries {
			if !j.belonged(l.Name, e) {
				v.TwoPools++
			}
		}
	}
	v.BudgetBreaches = j.budgets()
	return v
}

// belonged says whether the VM was in the pool that a request was for, when the
// request started or shortly before.
func (j FleetJudge) belonged(vm string, e JournalEntry) bool {
	for i, o := range j.Owners {
		if o.At.After(e.Start) {
			return false
		}
		ended := i+1 < len(j.Owners) && j.Owners[i+1].At.Add(j.Lag).Before(e.Start)
		pool := o.Pools[vm]
		if !ended && pool != "" && pool == o.Paths[e.Path] {
			return true
		}
	}
	return false
}

// budgets follows the VMs' states and counts each fall of a pool below its budget.
func (j FleetJudge) budgets() int {
	events := slices.Clone(j.Events)
	slices.SortStableFunc(events, func(a, b VMEvent) int { return a.At.Compare(b.At) })
	state := make(map[string]mslog.VMState)
	below := make(map[string]bool)
	breaches := 0
	for _, e := range events {
		state[e.VM] = e.State
		o, ok := j.ownership(e.At)
		if !ok || e.At.Before(j.From) {
			continue
		}
		for pool, needed := range o.Needed {
			short := o.serving(pool, state) < needed
			if short && !below[pool] {
				breaches++
			}
			below[pool] = short
		}
	}
	return breaches
}

func (j FleetJudge) ownership(at time.Time) (Ownership, bool) {
	var found Ownership
	ok := false
	for _, o := range j.Owners {
		if !o.At.After(at) {
			found, ok = o, true
		}
	}
	return found, ok
}

func (o Ownership) serving(pool string, state map[string]mslog.VMState) int {
	n := 0
	for vm, p := range o.Pools {
		if p == pool && state[vm] == mslog.VMLive {
			n++
		}
	}
	return n
}
