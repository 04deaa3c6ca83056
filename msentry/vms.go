package msentry

import (
	"context"
	"slices"
	"sync"
	"time"

	"marjoramspan/msclock"
	"marjoramspan/mslog"
	"marjoramspan/msstate"
	"marjoramspan/msupstream"
)

// vmTable holds the state of the VMs: the platform's list, which lags behind, and
// newer reports of this entry and its peers.
type vmTable struct {
	mu sync.Mutex
	// The fields below are guarded by mu. list is the platform's list as of readAt.
	vms    map[string]*vmState
	list   []mslog.VM
	readAt time.Time
	// evacuated has the evacuated data centres. The map is never changed.
	evacuated map[string]msstate.Evacuation
}

type vmState struct {
	vm     mslog.VM
	listed bool
	// missingSince is when the VM was first missing from the list.
	missingSince time.Time
	// leavingUntil is how long the VM's own report to this entry that it is leaving
	// counts, and heardLeavingUntil how long those to peers do.
	leavingUntil      time.Time
	heardLeavingUntil time.Time
	// failures counts the failed attempts to use the VM since its last answer, and failedAt
	// is the end of the latest one, or zero if a connection was opened since. triedUntil is
	// how long the VM gets no other request after one that tries it again.
	failures   int
	failedAt   time.Time
	triedUntil time.Time
}

const (
	// leavingTTL is how long a report that a VM is leaving takes precedence over a
	// list that still shows it live.
	leavingTTL = time.Minute
	// heardLeavingTTL is how long a peer's report that a VM is leaving counts. Peers
	// repeat it with every heartbeat.
	heardLeavingTTL = 5 * time.Second
	// vmPollInterval is the pause between two reads of the platform's list.
	vmPollInterval = time.Second
	// minVMBackoff is the pause after a first failed connection to a VM. It doubles
	// with each further failure, up to maxVMBackoff.
	minVMBackoff = 200 * time.Millisecond
	maxVMBackoff = 5 * time.Second
	// neededVMBackoff bounds the pause while requests wait and no other VM of the pool
	// has a free slot: callers would be refused beside a VM that is back.
	neededVMBackoff = time.Second
	// vmTrialTime is how long an attempt to connect takes at most.
	vmTrialTime = msupstream.DefaultDialTimeout
)

// vmBackoff returns the pause after a number of failed attempts to use a VM. The VM is
// needed while requests wait and no other VM of the pool has a free slot.
func vmBackoff(failures int, needed bool) time.Duration {
	if failures == 0 {
		return 0
	}
	longest := maxVMBackoff
	if needed {
		longest = neededVMBackoff
	}
	return min(minVMBackoff<<min(failures-1, 10), longest)
}

// reports returns the platform's list and when the read of it began.
func (t *vmTable) reports() ([]mslog.VM, time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.list, t.readAt
}

// set stores the platform's list, whose read began at readAt.
func (t *vmTable) set(vms []mslog.VM, readAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.list = vms
	t.readAt = readAt
	for _, s := range t.vms {
		s.listed = false
	}
	for _, vm := range vms {
		s := t.stateOf(vm.Name)
		if s.vm.Address != vm.Address || s.vm.BootID != vm.BootID {
			// What is known is of an earlier VM, or of an earlier boot.
			*s = vmState{}
		}
		s.vm = vm
		s.listed = true
		s.missingSince = time.Time{}
	}
	for _, s := range t.vms {
		if !s.listed && s.missingSince.IsZero() {
			s.missingSince = readAt
		}
	}
}

// missingSince returns since when the VM has been missing from the platform's list.
func (t *vmTable) missingSince(name string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stateOf(name)
	if s.missingSince.IsZero() {
		s.missingSince = t.readAt
	}
	return s.missingSince
}

func (t *vmTable) stateOf(name string) *vmState {
	if t.vms == nil {
		t.vms = make(map[string]*vmState)
	}
	s := t.vms[name]
	if s == nil {
		s = &vmState{}
		t.vms[name] = s
	}
	return s
}

// presentState returns the state of the VM, or nil if it has another address or boot by now: what
// is learned of a VM that has restarted doesn't hold for its next boot. The caller holds mu.
func (t *vmTable) presentState(vm mslog.VM) *vmState {
	s := t.vms[vm.Name]
	if s == nil || s.vm.Address != vm.Address || s.vm.BootID != vm.BootID {
		return nil
	}
	return s
}

// usable returns the VM and whether it may be given new work at now. For needed see
// vmBackoff.
func (t *vmTable) usable(name string, now time.Time, needed bool) (mslog.VM, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.vms[name]
	if s == nil || !s.listed || s.vm.State != mslog.VMLive {
		return mslog.VM{}, false
	}
	if now.Before(s.leavingUntil) || now.Before(s.heardLeavingUntil) {
		return mslog.VM{}, false
	}
	if _, ok := t.evacuated[s.vm.DataCentre]; ok {
		return mslog.VM{}, false
	}
	if now.Before(s.triedUntil) || now.Before(s.failedAt.Add(vmBackoff(s.failures, needed))) {
		return mslog.VM{}, false
	}
	return s.vm, true
}

// setEvacuated sets the evacuated data centres, whose VMs get no new work.
func (t *vmTable) setEvacuated(evacuated map[string]msstate.Evacuation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evacuated = evacuated
}

// inEvacuation reports whether the VM's data centre is evacuated.
func (t *vmTable) inEvacuation(vm mslog.VM) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, ok := t.evacuated[vm.DataCentre]
	return ok
}

// setLeaving records that the VM reported to this entry that it is leaving, and returns
// whether that is new.
func (t *vmTable) setLeaving(vm mslog.VM, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.presentState(vm)
	if s == nil || now.Before(s.leavingUntil) {
		return false
	}
	s.leavingUntil = now.Add(leavingTTL)
	return true
}

// hearLeaving records that a peer has such a report.
func (t *vmTable) hearLeaving(name string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stateOf(name).heardLeavingUntil = now.Add(heardLeavingTTL)
}

// leavingVMs returns the VMs with an unexpired report to this entry that they are
// leaving. What it heard from peers is not passed on, or entries would renew each
// other's reports forever.
func (t *vmTable) leavingVMs(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var names []string
	for name, s := range t.vms {
		if now.Before(s.leavingUntil) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// countLeftOut returns how many VMs that the platform lists as live get no or few requests,
// as attempts to use them failed or as they reported that they are leaving.
func (t *vmTable) countLeftOut(now time.Time) (unreachable, leaving int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.vms {
		switch {
		case !s.listed || s.vm.State != mslog.VMLive:
		case now.Before(s.leavingUntil) || now.Before(s.heardLeavingUntil):
			leaving++
		case s.failures > 0:
			unreachable++
		}
	}
	return unreachable, leaving
}

// recordGrant records that a request goes to the VM. If attempts to use it have failed,
// it gets no other until that request is connected, has failed, or must have.
func (t *vmTable) recordGrant(name string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.stateOf(name); s.failures > 0 {
		s.triedUntil = now.Add(vmTrialTime)
	}
}

// recordFailure records an attempt to use the VM that began at began and failed, and
// starts its backoff. Attempts that were under way during another failure say
// nothing more than that one.
func (t *vmTable) recordFailure(vm mslog.VM, began, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.presentState(vm)
	if s == nil || began.Before(s.failedAt) {
		return
	}
	s.failures++
	s.failedAt = now
	s.triedUntil = time.Time{}
}

// recordConnected ends the VM's pause, and returns whether there may have been one. The
// next one grows on until the VM answers a request: it may refuse them all.
func (t *vmTable) recordConnected(vm mslog.VM) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.presentState(vm)
	if s == nil {
		return false
	}
	s.failedAt = time.Time{}
	s.triedUntil = time.Time{}
	return s.failures > 0
}

// recordAnswer ends the VM's backoff.
func (t *vmTable) recordAnswer(vm mslog.VM) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.presentState(vm)
	if s == nil {
		return
	}
	s.failures = 0
	s.triedUntil = time.Time{}
}

// pollVMs reads the platform's list periodically until ctx is done.
func (e *Entry) pollVMs(ctx context.Context) error {
	for {
		readAt := e.now()
		vms, err := e.logClient.VMs(ctx)
		if err == nil {
			e.vms.set(vms, readAt)
			e.dispatchAll()
		}
		if err := msclock.Sleep(ctx, e.Clock, vmPollInterval); err != nil {
			return nil
		}
	}
}
