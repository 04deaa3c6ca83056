package msentry

import (
	"slices"
	"strings"
	"sync"
	"time"

	"marjoramspan/mslog"
	"marjoramspan/msstate"
	"marjoramspan/msteam"
	"marjoramspan/mstoken"
)

// pool grants the slots of one pool's VMs to the requests that wait on this entry.
// Lock order: pool.mu, then demand.mu or the locks of the ledger and the VM table,
// which are held for one call each.
type pool struct {
	name   string
	ledger *mstoken.Ledger
	vms    *vmTable
	demand *demand

	mu sync.Mutex
	// The fields below are guarded by mu.
	sched   msteam.Scheduler
	vmNames []string
	slots   int
	nextVM  int
	waiting map[uint64]*ticket
	// usableNames is scratch space of updateSlotDemand.
	usableNames []string
	// teams are the teams with a share. entitlements holds each team's entitlement here
	// as of entitledAt; hasEntitlement is set while any entitlement is above 0.
	teams          []string
	entitlements   map[string]int
	entitledAt     time.Time
	hasEntitlement bool
	// reported holds for each peer whether its latest report named the pool.
	reported map[string]bool
}

// ticket is one request that waits for a grant.
type ticket struct {
	id    uint64
	team  string
	ready chan grant
}

// grant is the result of a ticket: a VM with one slot token, and a token of the
// team's upper limit. Expired means that the deadline passed before both were free.
type grant struct {
	vm      mslog.VM
	expired bool
}

// demand counts each team's waiting requests in all pools of this entry.
type demand struct {
	mu sync.Mutex
	// teams and entitlements are guarded by mu.
	teams        map[string]int
	entitlements map[string]int
}

func (d *demand) add(team string, n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.teams == nil {
		d.teams = make(map[string]int)
	}
	d.teams[team] += n
	return d.teams[team]
}

// configure sets the pool's VMs, the slots per VM and the teams' shares.
func (p *pool) configure(vmNames []string, slots int, shares []msteam.Share, maxWaiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, old := range p.vmNames {
		if !slices.Contains(vmNames, old) {
			p.ledger.SetDemand(msstate.SlotResource(old), 0)
			p.ledger.SetEntitlement(msstate.SlotResource(old), 0)
		}
	}
	p.vmNames = vmNames
	p.slots = slots
	p.sched.Capacity = slots * len(vmNames)
	p.sched.MaxWaiting = maxWaiting
	p.sched.SetShares(shares)
	p.teams = p.teams[:0]
	for _, s := range shares {
		p.teams = append(p.teams, s.Team)
	}
}

// enqueue adds a waiting request. The error is a *msteam.Refusal.
func (p *pool) enqueue(w msteam.Waiter, now time.Time) (*ticket, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.sched.Add(w, now); err != nil {
		return nil, err
	}
	t := &ticket{id: w.ID, team: w.Team, ready: make(chan grant, 1)}
	if p.waiting == nil {
		p.waiting = make(map[uint64]*ticket)
	}
	p.waiting[w.ID] = t
	p.addDemand(w.Team, 1)
	p.dispatchLocked(now)
	return t, nil
}

// abandon removes the request of a caller that went away, and releases what it has
// been granted in the meantime.
func (p *pool) abandon(t *ticket, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sched.Remove(t.id) {
		p.forget(t)
		p.dispatchLocked(now)
		return
	}
	select {
	case g := <-t.ready:
		if !g.expired {
			p.releaseLocked(t.team, g.vm.Name, 0, now)
		}
	default:
	}
}

func (p *pool) forget(t *ticket) {
	delete(p.waiting, t.id)
	p.addDemand(t.team, -1)
}

// addDemand adds more to the number of the team's requests that lack a token.
func (p *pool) addDemand(team string, more int) {
	p.ledger.SetDemand(msstate.TeamResource(team), p.demand.add(team, more))
}

// release returns the slot and the team's token of a request that has run.
func (p *pool) release(team, vm string, ran time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.releaseLocked(team, vm, ran, now)
}

func (p *pool) releaseLocked(team, vm string, ran time.Duration, now time.Time) {
	p.ledger.Release(msstate.SlotResource(vm), now)
	p.ledger.Release(msstate.TeamResource(team), now)
	p.sched.Ended(team, ran, now)
	p.dispatchLocked(now)
}

// dispatch starts the requests that can start at now, and expires those past their deadline.
func (p *pool) dispatch(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dispatchLocked(now)
}

func (p *pool) dispatchLocked(now time.Time) {
	for _, w := range p.sched.Expired(now) {
		if t := p.waiting[w.ID]; t != nil {
			p.forget(t)
			t.ready <- grant{expired: true}
		}
	}
	for len(p.waiting) > 0 {
		if !p.startNext(now) {
			break
		}
	}
	p.updateSlotDemand(now)
}

// startNext starts the next waiting request, if a slot and a token of its team are
// available.
func (p *pool) startNext(now time.Time) bool {
	vm, ok := p.takeSlot(now)
	if !ok {
		return false
	}
	var taken []string
	w, ok := p.sched.Next(now, func(team string) bool {
		if !p.ledger.Acquire(msstate.TeamResource(team)) {
			return false
		}
		taken = append(taken, team)
		return true
	})
	for _, team := range taken {
		if !ok || team != w.Team {
			p.ledger.Release(msstate.TeamResource(team), now)
		}
	}
	if !ok {
		p.ledger.Release(msstate.SlotResource(vm.Name), now)
		return false
	}
	t := p.waiting[w.ID]
	p.forget(t)
	p.sched.Started(w.Team, now)
	p.vms.recordGrant(vm.Name, now)
	t.ready <- grant{vm: vm}
	return true
}

// takeSlot acquires a slot token of a usable VM. If no other has one, a VM in backoff is
// usable earlier.
func (p *pool) takeSlot(now time.Time) (mslog.VM, bool) {
	if vm, ok := p.takeSlotOf(now, false); ok {
		return vm, true
	}
	return p.takeSlotOf(now, true)
}

// takeSlotOf goes round-robin over the VMs.
func (p *pool) takeSlotOf(now time.Time, needed bool) (mslog.VM, bool) {
	for i := range p.vmNames {
		at := (p.nextVM + i) % len(p.vmNames)
		vm, ok := p.vms.usable(p.vmNames[at], now, needed)
		if ok && p.ledger.Acquire(msstate.SlotResource(vm.Name)) {
			p.nextVM = at + 1
			return vm, true
		}
	}
	return mslog.VM{}, false
}

// updateSlotDemand spreads the demand for slots evenly over the usable VMs.
func (p *pool) updateSlotDemand(now time.Time) {
	n := len(p.waiting)
	usableNames := p.usableNames[:0]
	for i := range p.vmNames {
		name := p.vmNames[(p.nextVM+i)%len(p.vmNames)]
		if _, ok := p.vms.usable(name, now, n > 0); ok {
			usableNames = append(usableNames, name)
			continue
		}
		p.ledger.SetDemand(msstate.SlotResource(name), 0)
		p.ledger.SetEntitlement(msstate.SlotResource(name), 0)
	}
	p.usableNames = usableNames
	p.setEntitlements(usableNames, now)
	for i, name := range usableNames {
		each := n / len(usableNames)
		if i < n%len(usableNames) {
			each++
		}
		p.ledger.SetDemand(msstate.SlotResource(name), min(each, p.slots))
	}
}

// used returns each team's use of the pool on this entry.
func (p *pool) used() []msteam.Usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sched.Usage()
}

// setRemoteUse records a peer's use of the pool. An empty report is ignored if the
// peer's previous one was empty or there was none.
func (p *pool) setRemoteUse(entry string, used []msteam.Usage, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(used) == 0 && !p.reported[entry] {
		return
	}
	if p.reported == nil {
		p.reported = make(map[string]bool)
	}
	p.reported[entry] = len(used) > 0
	p.sched.SetPeerUsage(entry, used, now)
}

// hasWaiting reports whether any request waits.
func (p *pool) hasWaiting() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.waiting) > 0
}

// pools holds the entry's pools.
type pools struct {
	mu sync.RWMutex
	// byName and ordered are guarded by mu. ordered is copied on write.
	byName  map[string]*pool
	ordered []*pool
}

func (ps *pools) get(name string) *pool {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	return ps.byName[name]
}

// all returns the pools sorted by name.
func (ps *pools) all() []*pool {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	return ps.ordered
}

func (ps *pools) getOrCreate(name string, create func() *pool) *pool {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	if p := ps.byName[name]; p != nil {
		return p
	}
	p := create()
	if ps.byName == nil {
		ps.byName = map[string]*pool{}
	}
	ps.byName[name] = p
	ps.ordered = append(slices.Clone(ps.ordered), p)
	slices.SortFunc(ps.ordered, func(a, b *pool) int { return strings.Compare(a.name, b.name) })
	return p
}
