// Package mstoken enforces a concurrency limit across several entries without a request to
// a central counter for every start.
//
// Each counted resource (the upper limit of a team, the slots of a VM) has a total and a
// home, the member with the highest rendezvous hash. Entries hold tokens. Starting work
// takes a token, which stays held until the work ends. A holder and the home use one
// message, the exchange, in which the holder reports how many tokens it holds and how many
// more it wants. The home records what each holder has outstanding and grants from what is
// free. The holder accepts a grant only if it answers its latest sequence number in its
// current generation. So the home never assumes that a holder has fewer tokens than it
// does: a lost message delays a token, and no message duplicates one.
//
// A Ledger implements the protocol for one entry, as holder and as home. It is a pure
// state machine and does no I/O: the caller carries its messages.
//
//	l := &mstoken.Ledger{Self: id, ReclaimAfter: lease + longestRun}
//	l.SetView(view, now)
//	l.SetTotal("team/a", 20, version, now)
//	if !l.Acquire("team/a") {
//		l.SetDemand("team/a", queued)
//	}
//	for _, b := range l.Outgoing(now) {
//		// At b.To: gifts := HandleExchange(l.Self, b.Items, now).
//		// Here: HandleGrants(b.To, gifts, now), or Expire(b.To, b.Items, now).
//	}
//
// Waiting work should retry Acquire after HandleGrants and after HandleExchange.
package mstoken

import (
	"slices"
	"sync"
	"time"
)

// Ledger holds the token state of one entry. The zero value holds nothing and can start no
// work until SetView and SetTotal have been called. It is safe for concurrent use: one mutex
// guards all state.
type Ledger struct {
	// Self is the member id of this incarnation. An excluded entry rejoins with a new Ledger.
	Self string
	// ReclaimAfter is the lease plus the longest run: after that time a lost member runs no
	// work and its tokens are reclaimed. If it is zero, they stay unavailable until the
	// caller removes the member from View.Lost.
	ReclaimAfter time.Duration
	// IdleTimeout is how long a token may stay unused before it is returned to the home;
	// zero means DefaultIdleTimeout.
	IdleTimeout time.Duration

	mu             sync.Mutex
	view           View
	hashes         []uint64
	self           int       // index of Self in view.Members, or -1
	hasView        bool      // a view has been applied
	joined         bool      // a view that contains Self has been applied
	excluded       bool      // a later view has left out Self
	reclaimPending bool      // lost members may still run work
	reclaimAt      time.Time // end of reclaimPending, if ReclaimAfter is set
	accounts       map[string]*account
	active         []*account // accounts that Outgoing visits
}

// DefaultIdleTimeout is used when Ledger.IdleTimeout is not set.
const DefaultIdleTimeout = 500 * time.Millisecond

// account is the state of one resource at this entry.
type account struct {
	resource       string
	total          int
	gen            Generation
	forgotten      bool
	home           int // index into view.Members, or -1
	held           int
	running        int
	want           int
	entitlement    int
	hasEntitlement bool // entitlement has been set
	ceiling        int  // upper bound of the tokens that may exist
	overcommitted  bool // the total was lowered, and more work than it allows may be running
	queued         bool // the account is in Ledger.active
	holder         holder
	allocator      *allocator // nil except at the home
}

// SetView applies a membership view. A view with an older epoch is ignored; one with the
// current epoch updates only Lost. Once a view has excluded an entry that was a member,
// its ledger starts no more work, whatever views follow.
func (l *Ledger) SetView(v View, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hasView && v.Epoch < l.view.Epoch {
		return
	}
	same := l.hasView && v.Epoch == l.view.Epoch
	l.hasView = true
	l.view.Lost = slices.Clone(v.Lost)
	l.updateReclaim(now)
	if same {
		return
	}
	l.view.Epoch = v.Epoch
	l.view.Members = slices.Clone(v.Members)
	slices.Sort(l.view.Members)
	l.hashes = memberHashes(l.view.Members)
	l.self = slices.Index(l.view.Members, l.Self)
	l.excluded = l.excluded || l.joined && l.self < 0
	l.joined = l.joined || l.self >= 0
	for _, a := range l.accounts {
		l.startGeneration(a, now)
	}
}

// SetTotal sets the limit of resource from the record with that version. A version not
// above the current one is ignored, and versions have to keep increasing across Forget.
// Lowering the total drops idle tokens at once.
func (l *Ledger) SetTotal(resource string, total int, version uint64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.accounts == nil {
		l.accounts = make(map[string]*account)
	}
	a := l.accounts[resource]
	if a == nil {
		a = &account{resource: resource, home: -1}
		l.accounts[resource] = a
	} else if version <= a.gen.Version {
		return
	}
	lowered := total < a.total
	a.closeAllocator()
	if lowered {
		a.held = a.running
		a.overcommitted = true
	}
	a.total = max(total, 0)
	a.ceiling = max(a.ceiling, a.total)
	a.gen.Version = version
	a.forgotten = false
	l.startGeneration(a, now)
}

// Forget removes resource. Running work stays counted until it ends.
func (l *Ledger) Forget(resource string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[resource]
	if a == nil {
		return
	}
	a.closeAllocator()
	a.held = a.running
	a.total = 0
	a.overcommitted = true
	a.forgotten = true
	a.home = -1
	l.removeIfUnused(a)
}

// Acquire starts one unit of work on resource with an idle token. If there is none, it
// changes nothing and returns false.
func (l *Ledger) Acquire(resource string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[resource]
	if a == nil || a.home < 0 || l.excluded {
		return false
	}
	if a.held == a.running && !a.takeFree(l.self) {
		return false
	}
	a.running++
	a.holder.peak = max(a.holder.peak, a.running)
	return true
}

// Release ends one unit of work that was started by Acquire.
func (l *Ledger) Release(resource string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[resource]
	if a == nil || a.running == 0 {
		return
	}
	a.running--
	switch {
	case a.home < 0:
		a.held = a.running
		l.removeIfUnused(a)
	case a.allocator != nil && a.allocator.ready:
		a.held--
		a.allocator.free++
		if a.allocator.remoteDemand {
			l.enqueue(a, now)
		}
	default:
		if a.overcommitted || a.holder.consumePendingReturn(now) {
			a.held--
		}
		l.enqueue(a, now)
	}
}

// SetDemand sets the unmet demand of this entry for resource: the number of tokens it would use
// beyond those it holds. The value stays until it is changed; granted tokens reduce it.
func (l *Ledger) SetDemand(resource string, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[resource]
	n = max(n, 0)
	if a == nil || a.want == n {
		return
	}
	a.want = n
	if a.home < 0 {
		return
	}
	if a.allocator != nil && a.allocator.ready {
		a.recompute(l.self)
	}
	l.enqueue(a, a.holder.windowStart)
}

// Counts returns the state of resource at this entry.
func (l *Ledger) Counts(resource string) Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[resource]
	if a == nil {
		return Counts{}
	}
	c := Counts{
		Total:       a.total,
		Held:        a.held,
		Running:     a.running,
		Idle:        a.held - a.running,
		Want:        a.want,
		Entitlement: a.entitlement,
		Home:        a.allocator != nil,
	}
	if !a.hasEntitlement {
		c.Entitlement = -1
	}
	if a.allocator != nil && a.allocator.ready {
		c.Ready = true
		c.Free = max(a.allocator.free, 0)
		c.Unknown = a.allocator.unknown
	}
	return c
}

// startGeneration resets a for the current view and total.
func (l *Ledger) startGeneration(a *account, now time.Time) {
	a.closeAllocator()
	a.gen.Epoch = l.view.Epoch
	a.home = -1
	a.holder.startGeneration(now)
	if l.self < 0 || l.excluded || !l.joined {
		a.held = a.running
		l.removeIfUnused(a)
		return
	}
	if a.forgotten {
		l.removeIfUnused(a)
		return
	}
	a.home = homeIndex(l.view.Members, l.hashes, a.resource)
	if a.home == l.self {
		l.openAllocator(a, now)
	}
	l.enqueue(a, now)
}

// removeIfUnused deletes a forgotten account when its last work has ended.
func (l *Ledger) removeIfUnused(a *account) {
	if a.forgotten && a.running == 0 {
		delete(l.accounts, a.resource)
	}
}

// enqueue adds a to the accounts that Outgoing visits.
func (l *Ledger) enqueue(a *account, now time.Time) {
	if a.queued {
		return
	}
	a.queued = true
	a.holder.openWindow(now, a.running)
	l.active = append(l.active, a)
}

// updateReclaim computes the time until which lost members may still run work.
func (l *Ledger) updateReclaim(now time.Time) {
	l.reclaimPending = len(l.view.Lost) > 0
	l.reclaimAt = time.Time{}
	for _, lost := range l.view.Lost {
		if at := lost.Since.Add(l.ReclaimAfter); at.After(l.reclaimAt) {
			l.reclaimAt = at
		}
	}
	if !l.reclaimPending {
		l.reclaimUnknown(now)
	}
	l.reclaimIfElapsed(now)
}

// reclaimIfElapsed reclaims the tokens of lost members once none of them can run work.
func (l *Ledger) reclaimIfElapsed(now time.Time) {
	if !l.reclaimPending || l.ReclaimAfter <= 0 || now.Before(l.reclaimAt) {
		return
	}
	l.reclaimPending = false
	l.reclaimUnknown(now)
}

// reclaimUnknown frees the tokens that lost members may have held.
func (l *Ledger) reclaimUnknown(now time.Time) {
	for _, a := range l.accounts {
		if a.allocator == nil || !a.allocator.ready || a.allocator.unknown == 0 {
			continue
		}
		a.allocator.unknown = 0
		a.recompute(l.self)
		l.enqueue(a, now)
	}
}
