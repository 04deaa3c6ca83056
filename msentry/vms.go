package msentry

import (
	"context"
	"slices"
	"sync"
	"time"

	"marjoramspan/msclock"
	"marjoramspan/mslog"
)

// vmTable is what the entry knows of the VMs: the platform's lagging list, and
// newer news of its own and of its peers.
type vmTable struct {
	mu sync.Mutex
	// The rest is guarded by mu. list is the platform's list as of read.
	vms    map[string]*vmState
	list   []mslog.VM
	readAt time.Time
}

type vmState struct {
	vm     mslog.VM
	listed bool
	// missingSince is when the list first lacked the VM.
	missingSince time.Time
	leavingSince time.Time
	downUntil    time.Time
	failures     int
}

const (
	// leavingTTL is how long the news that a VM is leaving goes before a list
	// that still shows it live.
	leavingTTL = time.Minute
	// vmPollInterval is the pause between two reads of the platform's list.
	vmPollInterval = time.Second
	// minVMBackoff is the first pause after a failed connection to a VM. It doubles
	// with each failure up to downMost.
	minVMBackoff = 200 * time.Millisecond
	maxVMBackoff = 5 * time.Second
)

// reports returns the platform's list and when the read of it began.
func (t *vmTable) reports() ([]mslog.VM, time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.list, t.readAt
}

// set takes the platform's list, whose read began at read.
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
		if s.vm.Address != vm.Address {
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

// missingSince returns since when the platform's list has lacked the VM.
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

// usable returns the VM where it may be given new work at now.
func (t *vmTable) usable(name string, now time.Time) (mslog.VM, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.vms[name]
	if s == nil || !s.listed || s.vm.State != mslog.VMLive {
		return mslog.VM{}, false
	}
	if !s.leavingSince.IsZero() && now.Sub(s.leavingSince) < leavingTTL {
		return mslog.VM{}, false
	}
	if now.Before(s.downUntil) {
		return mslog.VM{}, false
	}
	return s.vm, true
}

// leaving notes that the VM said that it is leaving, and reports whether that
// is news.
func (t *vmTable) setLeaving(name string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stateOf(name)
	changed := s.leavingSince.IsZero() || now.Sub(s.leavingSince) >= leavingTTL
	if changed {
		s.leavingSince = now
	}
	return changed
}

// leavingVMs returns the VMs that have lately said that they are leaving.
func (t *vmTable) leavingVMs(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var names []string
	for name, s := range t.vms {
		if !s.leavingSince.IsZero() && now.Sub(s.leavingSince) < leavingTTL {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// recordFailure notes that no connection to the VM could be opened.
func (t *vmTable) recordFailure(name string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stateOf(name)
	backoff := min(minVMBackoff<<min(s.failures, 10), maxVMBackoff)
	s.failures++
	s.downUntil = now.Add(backoff)
}

// recordSuccess notes that the VM answered.
func (t *vmTable) recordSuccess(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stateOf(name)
	s.failures = 0
	s.downUntil = time.Time{}
}

// pollVMs reads the platform's list until ctx is done.
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
