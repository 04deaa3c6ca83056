// Package mstoken keeps a count within its total over several entries, without
// asking anyone per start.
//
// Each counted resource (the upper limit of a team, the slots of a VM) has a total
// and a home, the member first in rendezvous order. Tokens are held by entries, and
// work is started only with a token, which stays held until the work ends. A holder
// talks to the home by one message, the exchange: "I hold this many and want that
// many". The home remembers what each holder has outstanding and gives from what is
// free. The holder accepts a gift only in answer to its latest sequence number in its
// present generation. So the home never takes a holder to have less than it has:
// a lost message delays a token, and no message doubles one.
//
// A Ledger is one entry's part in this, as holder and as home. It is a pure state
// machine: the caller carries its messages.
//
//	l := &mstoken.Ledger{Self: id, Reclaim: lease + longestRun}
//	l.Turn(view, now)
//	l.SetTotal("team/a", 20, version, now)
//	if !l.Take("team/a") {
//		l.Want("team/a", queued)
//	}
//	for _, b := range l.Outgoing(now) {
//		// At b.To: gifts := HandleExchange(l.Self, b.Items, now).
//		// Here: HandleGifts(b.To, gifts, now), or Expire(b.To, b.Items, now).
//	}
//
// Waiting work should try Take again after HandleGifts and after HandleExchange.
package mstoken

import (
	"slices"
	"sync"
	"time"
)

// Ledger counts the tokens of one entry. The zero value holds nothing and may start
// nothing until Turn and SetTotal. It is safe for concurrent use: one mutex guards it all.
type Ledger struct {
	// Self is this incarnation's member id. An excluded entry rejoins with a new Ledger.
	Self string
	// Reclaim is the lease plus the longest run: after it a lost member runs nothing.
	// At zero, tokens of lost members are missing until the caller drops their Lost.
	Reclaim time.Duration
	// IdleAfter is how long a token may lie unused before it goes back; zero means DefaultIdleAfter.
	IdleAfter time.Duration

	mu        sync.Mutex
	view      View
	hashes    []uint64
	self      int  // self is the index of Self in view.Members, or -1.
	turned    bool // turned: there has been a view.
	member    bool // member: there has been a view with Self.
	excluded  bool
	lossOpen  bool
	reclaimAt time.Time
	accounts  map[string]*account
	active    []*account
}

// DefaultIdleAfter is the IdleAfter of a Ledger that sets none.
const DefaultIdleAfter = 500 * time.Millisecond

// account is the state of one resource.
type account struct {
	resource  string
	total     int
	gen       Generation
	forgotten bool
	home      int // home is an index into view.Members, or -1.
	held      int
	running   int
	want      int
	due       int
	hasDue    bool // hasDue: due has been set.
	ceiling   int  // ceiling is the most tokens that may exist.
	over      bool // over: the total was lowered, and more than it may be running.
	queued    bool // queued: the account is in Ledger.active.
	holder    holder
	pool      *pool // pool is nil at entries other than the home.
}

// Turn takes a new view. Views older than the present one are ignored; one of the
// same epoch changes Lost only. An entry that a view leaves out after it has been a
// member holds nothing it may start with, whatever views follow.
func (l *Ledger) Turn(v View, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.turned && v.Epoch < l.view.Epoch {
		return
	}
	same := l.turned && v.Epoch == l.view.Epoch
	l.turned = true
	l.view.Lost = slices.Clone(v.Lost)
	l.setLoss(now)
	if same {
		return
	}
	l.view.Epoch = v.Epoch
	l.view.Members = slices.Clone(v.Members)
	slices.Sort(l.view.Members)
	l.hashes = memberHashes(l.view.Members)
	l.self = slices.Index(l.view.Members, l.Self)
	l.excluded = l.excluded || l.member && l.self < 0
	l.member = l.member || l.self >= 0
	for _, a := range l.accounts {
		l.renew(a, now)
	}
}

// SetTotal sets the limit of resource by the record of that version. A version not
// above the present one is ignored, and versions have to grow over Forget as well. A
// lowered total drops idle tokens at once.
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
	a.collect()
	if lowered {
		a.held = a.running
		a.over = true
	}
	a.total = max(total, 0)
	a.ceiling = max(a.ceiling, a.total)
	a.gen.Version = version
	a.forgotten = false
	l.renew(a, now)
}

// Forget drops resource. Work that runs on it stays counted until it ends.
func (l *Ledger) Forget(resource string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[resource]
	if a == nil {
		return
	}
	a.collect()
	a.held = a.running
	a.total = 0
	a.over = true
	a.forgotten = true
	a.home = -1
	l.sweep(a)
}

// Take starts one unit of work on resource with an idle token. It reports false, and
// changes nothing, if there is none.
func (l *Ledger) Take(resource string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[resource]
	if a == nil || a.home < 0 || l.excluded {
		return false
	}
	if a.held == a.running && !a.draw(l.self) {
		return false
	}
	a.running++
	a.holder.peak = max(a.holder.peak, a.running)
	return true
}

// Release ends one unit of work that Take started.
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
		l.sweep(a)
	case a.pool != nil && a.pool.ready:
		a.held--
		a.pool.free++
		if a.pool.hungry {
			l.enqueue(a, now)
		}
	default:
		if a.over || a.holder.owes(now) {
			a.held--
		}
		l.enqueue(a, now)
	}
}

// Want tells the present unmet demand of this entry for resource: the number of
// tokens that it would use beyond those held. It stands until changed; gifts reduce it.
func (l *Ledger) Want(resource string, n int) {
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
	if a.pool != nil && a.pool.ready {
		a.refresh(l.self)
	}
	l.enqueue(a, a.holder.since)
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
		Total:   a.total,
		Held:    a.held,
		Running: a.running,
		Idle:    a.held - a.running,
		Want:    a.want,
		Due:     a.due,
		Home:    a.pool != nil,
	}
	if !a.hasDue {
		c.Due = -1
	}
	if a.pool != nil && a.pool.ready {
		c.Ready = true
		c.Free = max(a.pool.free, 0)
		c.Unknown = a.pool.unknown
	}
	return c
}

// renew starts the generation of the present view and total for a.
func (l *Ledger) renew(a *account, now time.Time) {
	a.collect()
	a.gen.Epoch = l.view.Epoch
	a.home = -1
	a.holder.renew(now)
	if l.self < 0 || l.excluded || !l.member {
		a.held = a.running
		l.sweep(a)
		return
	}
	if a.forgotten {
		l.sweep(a)
		return
	}
	a.home = homeIndex(l.view.Members, l.hashes, a.resource)
	if a.home == l.self {
		l.openPool(a, now)
	}
	l.enqueue(a, now)
}

// sweep removes a forgotten account when its last work has ended.
func (l *Ledger) sweep(a *account) {
	if a.forgotten && a.running == 0 {
		delete(l.accounts, a.resource)
	}
}

// enqueue has Outgoing look at a.
func (l *Ledger) enqueue(a *account, now time.Time) {
	if a.queued {
		return
	}
	a.queued = true
	a.holder.openWindow(now, a.running)
	l.active = append(l.active, a)
}

// setLoss works out until when lost members may run work.
func (l *Ledger) setLoss(now time.Time) {
	l.lossOpen = len(l.view.Lost) > 0
	l.reclaimAt = time.Time{}
	for _, lost := range l.view.Lost {
		if at := lost.Since.Add(l.Reclaim); at.After(l.reclaimAt) {
			l.reclaimAt = at
		}
	}
	if !l.lossOpen {
		l.mint(now)
	}
	l.closeLoss(now)
}

// closeLoss ends the time of missing tokens once no lost member can run work.
func (l *Ledger) closeLoss(now time.Time) {
	if !l.lossOpen || l.Reclaim <= 0 || now.Before(l.reclaimAt) {
		return
	}
	l.lossOpen = false
	l.mint(now)
}

// mint frees the tokens that lost members held.
func (l *Ledger) mint(now time.Time) {
	for _, a := range l.accounts {
		if a.pool == nil || !a.pool.ready || a.pool.unknown == 0 {
			continue
		}
		a.pool.unknown = 0
		a.refresh(l.self)
		l.enqueue(a, now)
	}
}
