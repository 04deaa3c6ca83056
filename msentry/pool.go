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

// pool hands the slots of one pool's VMs to the requests that wait on this
// entry. Lock order: pool.mu, then demand.mu or the locks of the ledger and
// the VM table, which are held for one call each.
type pool struct {
	name   string
	ledger *mstoken.Ledger
	vms    *vmTable
	demand *demand

	mu sync.Mutex
	// The rest is guarded by mu.
	sched   msteam.Scheduler
	names   []string
	slots   int
	turn    int
	waiting map[uint64]*ticket
	// open is scratch space of wantSlots.
	open []string
	// teams are those with a share, and dues what each was due here at dueAt.
	// hasDue is set while anything was.
	teams  []string
	dues   map[string]int
	dueAt  time.Time
	hasDue bool
	// heard says of each peer whether its last report named the pool.
	heard map[string]bool
}

// ticket is one request that waits for its start.
type ticket struct {
	id    uint64
	team  string
	ready chan grant
}

// grant is what a ticket gets: a VM on which it holds a slot token, and a token
// of its team's upper limit. Expired means that neither was had in time.
type grant struct {
	vm      mslog.VM
	expired bool
}

// demand counts what each team has waiting in all pools of this entry.
type demand struct {
	mu sync.Mutex
	// teams and dues are guarded by mu.
	teams map[string]int
	dues  map[string]int
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

// configure takes the pool's VMs, slots a VM and the teams' shares.
func (p *pool) configure(names []string, slots int, shares []msteam.Share, maxWaiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, old := range p.names {
		if !slices.Contains(names, old) {
			p.ledger.SetDemand(msstate.SlotResource(old), 0)
			p.ledger.SetEntitlement(msstate.SlotResource(old), 0)
		}
	}
	p.names = names
	p.slots = slots
	p.sched.Capacity = slots * len(names)
	p.sched.MaxWaiting = maxWaiting
	p.sched.SetShares(shares)
	p.teams = p.teams[:0]
	for _, s := range shares {
		p.teams = append(p.teams, s.Team)
	}
}

// enter puts a request in line. The error is a *msteam.Refusal.
func (p *pool) enter(w msteam.Waiter, now time.Time) (*ticket, error) {
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
	p.want(w.Team, 1)
	p.pump(now)
	return t, nil
}

// abandon takes a request out of line whose caller went away. What it was
// granted meanwhile goes back.
func (p *pool) abandon(t *ticket, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sched.Remove(t.id) {
		p.drop(t)
		p.pump(now)
		return
	}
	select {
	case g := <-t.ready:
		if !g.expired {
			p.release(t.team, g.vm.Name, 0, now)
		}
	default:
	}
}

func (p *pool) drop(t *ticket) {
	delete(p.waiting, t.id)
	p.want(t.team, -1)
}

// want tells the ledger how many of the team's requests lack a token.
func (p *pool) want(team string, more int) {
	p.ledger.SetDemand(msstate.TeamResource(team), p.demand.add(team, more))
}

// end gives back the slot and the team's token of a request that ran.
func (p *pool) end(team, vm string, ran time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.release(team, vm, ran, now)
}

func (p *pool) release(team, vm string, ran time.Duration, now time.Time) {
	p.ledger.Release(msstate.SlotResource(vm), now)
	p.ledger.Release(msstate.TeamResource(team), now)
	p.sched.Ended(team, ran, now)
	p.pump(now)
}

// poke starts what can be started at now, and ends the wait of what is too late.
func (p *pool) poke(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pump(now)
}

func (p *pool) pump(now time.Time) {
	for _, w := range p.sched.Expired(now) {
		if t := p.waiting[w.ID]; t != nil {
			p.drop(t)
			t.ready <- grant{expired: true}
		}
	}
	for len(p.waiting) > 0 {
		if !p.startOne(now) {
			break
		}
	}
	p.wantSlots(now)
}

// startOne starts the next request in line, if a slot and its team's token are
// at hand.
func (p *pool) startOne(now time.Time) bool {
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
	p.drop(t)
	p.sched.Started(w.Team, now)
	t.ready <- grant{vm: vm}
	return true
}

// takeSlot takes a slot token of a VM that may be given work, the VMs in turn.
func (p *pool) takeSlot(now time.Time) (mslog.VM, bool) {
	for i := range p.names {
		at := (p.turn + i) % len(p.names)
		vm, ok := p.vms.usable(p.names[at], now)
		if ok && p.ledger.Acquire(msstate.SlotResource(vm.Name)) {
			p.turn = at + 1
			return vm, true
		}
	}
	return mslog.VM{}, false
}

// wantSlots spreads the wanted slots evenly over the VMs that may be given work.
func (p *pool) wantSlots(now time.Time) {
	n := len(p.waiting)
	open := p.open[:0]
	for i := range p.names {
		name := p.names[(p.turn+i)%len(p.names)]
		if _, ok := p.vms.usable(name, now); ok {
			open = append(open, name)
			continue
		}
		p.ledger.SetDemand(msstate.SlotResource(name), 0)
		p.ledger.SetEntitlement(msstate.SlotResource(name), 0)
	}
	p.open = open
	p.tellDues(open, now)
	for i, name := range open {
		each := n / len(open)
		if i < n%len(open) {
			each++
		}
		p.ledger.SetDemand(msstate.SlotResource(name), min(each, p.slots))
	}
}

// used returns what each team uses of the pool on this entry.
func (p *pool) used() []msteam.Use {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sched.Used()
}

// hear takes a peer's use of the pool. A peer that has said nothing of the pool
// and still does not is passed over.
func (p *pool) hear(entry string, used []msteam.Use, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(used) == 0 && !p.heard[entry] {
		return
	}
	if p.heard == nil {
		p.heard = make(map[string]bool)
	}
	p.heard[entry] = len(used) > 0
	p.sched.SetRemote(entry, used, now)
}

// busy says whether any request waits.
func (p *pool) busy() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.waiting) > 0
}

// pools holds the pools of the entry by name.
type pools struct {
	mu sync.RWMutex
	// byName and ordered are guarded by mu. ordered is replaced, never changed.
	byName  map[string]*pool
	ordered []*pool
}

func (ps *pools) get(name string) *pool {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	return ps.byName[name]
}

// all returns the pools by name, in order.
func (ps *pools) all() []*pool {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	return ps.ordered
}

func (ps *pools) getOrMake(name string, make func() *pool) *pool {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	if p := ps.byName[name]; p != nil {
		return p
	}
	p := make()
	if ps.byName == nil {
		ps.byName = map[string]*pool{}
	}
	ps.byName[name] = p
	ps.ordered = append(slices.Clone(ps.ordered), p)
	slices.SortFunc(ps.ordered, func(a, b *pool) int { return strings.Compare(a.name, b.name) })
	return p
}
