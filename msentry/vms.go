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
	vms  map[string]*vmState
	list []mslog.VM
	read time.Time
}

type vmState struct {
	vm     mslog.VM
	listed bool
	// missed is when the list first lacked the VM.
	missed  time.Time
	leaving time.Time
	down    time.Time
	fails   int
}

const (
	// leavingFor is how long the news that a VM is leaving goes before a list
	// that still shows it live.
	leavingFor = time.Minute
	// vmPoll is the pause between two reads of the platform's list.
	vmPoll = time.Second
	// downStep is the first pause after a failed connection to a VM. It doubles
	// with each failure up to downMost.
	downStep = 200 * time.Millisecond
	downMost = 5 * time.Second
)

// reports returns the platform's list and when the read of it began.
func (t *vmTable) reports() ([]mslog.VM, time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.list, t.read
}

// set takes the platform's list, whose read began at read.
func (t *vmTable) set(vms []mslog.VM, read time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.list = vms
	t.read = read
	for _, s := range t.vms {
		s.listed = false
	}
	for _, vm := range vms {
		s := t.state(vm.Name)
		if s.vm.Address != vm.Address {
			*s = vmState{}
		}
		s.vm = vm
		s.listed = true
		s.missed = time.Time{}
	}
	for _, s := range t.vms {
		if !s.listed && s.missed.IsZero() {
			s.missed = read
		}
	}
}

// missedSince returns since when the platform's list has lacked the VM.
func (t *vmTable) missedSince(name string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(name)
	if s.missed.IsZero() {
		s.missed = t.read
	}
	return s.missed
}

func (t *vmTable) state(name string) *vmState {
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
	if !s.leaving.IsZero() && now.Sub(s.leaving) < leavingFor {
		return mslog.VM{}, false
	}
	if now.Before(s.down) {
		return mslog.VM{}, false
	}
	return s.vm, true
}

// leaving notes that the VM said that it is leaving, and reports whether that
// is news.
func (t *vmTable) setLeaving(name string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(name)
	news := s.leaving.IsZero() || now.Sub(s.leaving) >= leavingFor
	if news {
		s.leaving = now
	}
	return news
}

// leavingNow returns the VMs that have lately said that they are leaving.
func (t *vmTable) leavingNow(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var names []string
	for name, s := range t.vms {
		if !s.leaving.IsZero() && now.Sub(s.leaving) < leavingFor {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// failed notes that no connection to the VM could be opened.
func (t *vmTable) failed(name string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(name)
	pause := min(downStep<<min(s.fails, 10), downMost)
	s.fails++
	s.down = now.Add(pause)
}

// worked notes that the VM answered.
func (t *vmTable) worked(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(name)
	s.fails = 0
	s.down = time.Time{}
}

// followVMs reads the platform's list until ctx is done.
func (e *Entry) followVMs(ctx context.Context) error {
	for {
		read := e.now()
		vms, err := e.log.VMs(ctx)
		if err == nil {
			e.vms.set(vms, read)
			e.pumpAll()
		}
		if err := msclock.Sleep(ctx, e.Clock, vmPoll); err != nil {
			return nil
		}
	}
}
