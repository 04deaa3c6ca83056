package msstandin

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"marjoramspan/msclock"
	"marjoramspan/msworker"
)

// JobFleet is the platform's list of VMs in memory. A VM that is moved or
// maintained ends its worker's life and joins as another worker. Its fields are
// set before use.
type JobFleet struct {
	// Clock is the system's by default.
	Clock msclock.Clock
	// Away is how long a move or a maintenance takes; 0 is 100 ms.
	Away time.Duration
	// KeepIDs has the worker of a VM come back under its ID.
	KeepIDs bool
	// OnLeave and OnJoin are told of the lives of workers, without locks held.
	OnLeave func(worker string)
	OnJoin  func(vm msworker.VM)

	mu    sync.Mutex
	vms   []*fleetVM
	lives int
	// most is the highest number of VMs that were maintained at a time for one wave.
	most int
}

type fleetVM struct {
	msworker.VM
	token int64
	waves map[int64]bool
	// wave is the one that it is maintained for.
	wave int64
}

// Add puts a VM into the list and lets it join.
func (f *JobFleet) Add(vm msworker.VM) {
	f.mu.Lock()
	v := &fleetVM{VM: vm, waves: map[int64]bool{}}
	f.live(v)
	f.vms = append(f.vms, v)
	joined := v.VM
	f.mu.Unlock()
	f.OnJoin(joined)
}

// live begins a life of v. The caller holds mu.
func (f *JobFleet) live(v *fleetVM) {
	f.lives++
	v.Worker, v.Up = "w-"+strconv.Itoa(f.lives), true
	if f.KeepIDs {
		v.Worker = "w-" + v.Name
	}
	v.Maintained, v.Moving = false, false
}

// VMs returns the calls to the VM service.
func (f *JobFleet) VMs() msworker.VMs {
	return msworker.VMs{List: f.list, Move: f.move, Maintain: f.maintain}
}

// MostMaintained returns the highest number of VMs that were maintained at a time for
// one wave.
func (f *JobFleet) MostMaintained() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.most
}

// Completed reports whether the named VMs have all been maintained for a wave and are up.
func (f *JobFleet) Completed(wave int64, names []string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, v := range f.vms {
		if slices.Contains(names, v.Name) && (!v.waves[wave] || !v.Up) {
			return false
		}
	}
	return true
}

func (f *JobFleet) list(context.Context) ([]msworker.VM, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []msworker.VM
	for _, v := range f.vms {
		all = append(all, v.VM)
	}
	return all, nil
}

func (f *JobFleet) find(o msworker.VMOrder) (*fleetVM, error) {
	for _, v := range f.vms {
		if v.Name != o.VM {
			continue
		}
		if o.Token < v.token {
			return nil, &msworker.VMError{VM: o.VM, Reason: msworker.VMFenced}
		}
		v.token = o.Token
		return v, nil
	}
	return nil, &msworker.VMError{VM: o.VM, Reason: msworker.VMInvalid}
}

func (f *JobFleet) move(_ context.Context, o msworker.VMOrder, pool string) error {
	return f.order(o, func(v *fleetVM) bool {
		if v.Pool == pool {
			return false
		}
		v.Pool, v.Moving = pool, true
		return true
	})
}

func (f *JobFleet) maintain(_ context.Context, o msworker.VMOrder, wave int64) error {
	return f.order(o, func(v *fleetVM) bool {
		if v.waves[wave] {
			return false
		}
		v.waves[wave], v.Maintained, v.wave = true, true, wave
		n := 0
		for _, other := range f.vms {
			if other.Maintained && other.wave == wave {
				n++
			}
		}
		f.most = max(f.most, n)
		return true
	})
}

// order carries out an order once its VM is up; begin returns false where it is
// already done.
func (f *JobFleet) order(o msworker.VMOrder, begin func(v *fleetVM) bool) error {
	f.mu.Lock()
	v, err := f.find(o)
	if err != nil {
		f.mu.Unlock()
		return err
	}
	if !v.Up {
		f.mu.Unlock()
		return &msworker.VMError{VM: o.VM, Reason: msworker.VMBusy}
	}
	if !begin(v) {
		f.mu.Unlock()
		return nil
	}
	left := v.Worker
	v.Up = false
	f.mu.Unlock()
	f.OnLeave(left)
	go f.back(v)
	return nil
}

// Crash takes down the VM that runs a worker. It comes back as another worker.
func (f *JobFleet) Crash(worker string) {
	f.mu.Lock()
	var v *fleetVM
	for _, o := range f.vms {
		if o.Worker == worker && o.Up {
			v = o
		}
	}
	if v == nil {
		f.mu.Unlock()
		return
	}
	v.Up, v.Worker = false, ""
	f.mu.Unlock()
	f.OnLeave(worker)
	go f.back(v)
}

// defaultAway is how long a VM is away unless the fleet says.
const defaultAway = 100 * time.Millisecond

func (f *JobFleet) back(v *fleetVM) {
	clock := f.Clock
	if clock == nil {
		clock = msclock.System{}
	}
	d := f.Away
	if d == 0 {
		d = defaultAway
	}
	<-clock.After(d)
	f.mu.Lock()
	f.live(v)
	joined := v.VM
	f.mu.Unlock()
	f.OnJoin(joined)
}

// SetLabels changes the labels of a VM.
func (f *JobFleet) SetLabels(vm string, labels ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, v := range f.vms {
		if v.Name == vm {
			v.Labels = labels
		}
	}
}
