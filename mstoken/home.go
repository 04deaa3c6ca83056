package mstoken

import (
	"slices"
	"time"
)

const (
	callInterval     = 100 * time.Millisecond // delay before a call is repeated
	transferGrace    = time.Second            // extra time before a rotation while tokens are still moving
	rotationInterval = 500 * time.Millisecond // base time that a peer keeps its turn while others wait
)

// allocator is the home's side of an account: it grants free tokens to the holders and
// recalls those held above their targets.
type allocator struct {
	ready         bool // every member has sent an exchange in this generation
	free          int  // total - outstanding - unknown; nothing is granted below zero
	unknown       int  // tokens that lost members may hold
	initiallyHeld int  // sum of the tokens that members reported in their first exchange
	unmet         int  // sum of the deficits of all peers
	remoteDemand  bool // a peer other than this entry has unmet demand
	contended     bool // any peer has unmet demand
	first         int  // index of the peer that is served first
	minTarget     int  // smallest target of a peer with unmet demand
	rotateAt      time.Time
	rotating      bool      // first has advanced, and some peers have not received their tokens yet
	reservedSince time.Time // when free tokens were first reserved for this entry's own demand
	peers         []peer    // in the order of view.Members
	wants         []int     // wants, requests and grants are scratch space for maxMinFair
	requests      []int
	grants        []int
	targets       []int // tokens that each peer may hold while there is unmet demand
	unseen        int   // number of peers without an exchange in this generation
}

// peer is what the home knows of one holder.
type peer struct {
	seen           bool
	seq            uint64
	outstanding    int // upper bound of the tokens that the holder has
	want           int
	entitlement    int
	hasEntitlement bool
	sentContended  bool // the last answer reported unmet demand
	granted        int  // tokens granted in the answer to seq
	callAt         time.Time
	recallAt       time.Time
	recalled       int // tokens requested by the last recall
	// recallDeadline is the time until which the home expects the recalled tokens. A
	// holder that has not returned them by then has long-running work or is paused.
	recallDeadline time.Time
}

// openAllocator makes this entry the home of a in a new generation. Its own tokens are
// known at once.
func (l *Ledger) openAllocator(a *account, now time.Time) {
	n := len(l.view.Members)
	a.allocator = &allocator{
		peers:         make([]peer, n),
		wants:         make([]int, n),
		targets:       make([]int, n),
		requests:      make([]int, n),
		grants:        make([]int, n),
		initiallyHeld: a.held,
		unseen:        n - 1,
		rotateAt:      now.Add(rotationInterval),
	}
	a.allocator.peers[l.self].seen = true
	if a.allocator.unseen == 0 {
		l.makeReady(a)
	}
}

// closeAllocator discards the allocator of the current generation. A former home keeps the
// free tokens as its own.
func (a *account) closeAllocator() {
	if a.allocator != nil && a.allocator.ready {
		a.held += max(a.allocator.free, 0)
	}
	a.allocator = nil
}

// takeFree takes a free token at the home, unless other members have unmet demand and this
// entry has reached its target.
func (a *account) takeFree(self int) bool {
	al := a.allocator
	if al == nil || !al.ready || al.free <= 0 {
		return false
	}
	if al.remoteDemand && a.held >= al.targets[self] {
		return false
	}
	al.free--
	a.held++
	a.want = max(a.want-1, 0)
	return true
}

// makeReady lets the home grant tokens. Tokens that no member holds are free, or unknown
// while lost members may hold them.
func (l *Ledger) makeReady(a *account) {
	al := a.allocator
	al.ready = true
	if l.reclaimPending {
		al.unknown = max(a.ceiling-al.initiallyHeld, 0)
	}
	a.held = a.running
	a.recompute(l.self)
}

// recompute updates the free tokens, the target of each peer and the unmet demand.
func (a *account) recompute(self int) {
	al := a.allocator
	al.peers[self].outstanding = a.held
	al.peers[self].want = a.want
	al.peers[self].entitlement = a.entitlement
	al.peers[self].hasEntitlement = a.hasEntitlement
	sum := 0
	al.remoteDemand = false
	al.contended = false
	for i := range al.peers {
		q := &al.peers[i]
		sum += q.outstanding
		al.wants[i] = q.outstanding + q.want
		al.contended = al.contended || q.want > 0
		al.remoteDemand = al.remoteDemand || q.want > 0 && i != self
	}
	al.free = a.total - sum - al.unknown
	if al.unknown == 0 {
		a.ceiling = max(a.total, sum)
	}
	if al.free >= 0 {
		a.overcommitted = false
	}
	al.unmet = 0
	al.minTarget = a.total
	if !al.contended {
		return
	}
	maxMinFair(al.targets, al.wants, max(a.total-al.unknown, 0), al.first)
	al.shareByEntitlement(max(a.total-al.unknown, 0))
	for i := range al.peers {
		al.unmet += al.deficit(i)
		if al.peers[i].want > 0 {
			al.minTarget = min(al.minTarget, al.targets[i])
		}
	}
}

// deficit returns how many tokens a peer wants and lacks to its target.
func (al *allocator) deficit(i int) int {
	q := &al.peers[i]
	return max(min(q.want, al.targets[i]-q.outstanding), 0)
}

// excess returns how many tokens to recall from a peer: those it holds above its target,
// as far as other peers need them and they are not already being recalled elsewhere.
func (al *allocator) excess(i int, now time.Time) int {
	needed := al.unmet - max(al.free, 0)
	for j := range al.peers {
		q := &al.peers[j]
		if j != i && now.Before(q.recallDeadline) {
			needed -= q.recalled
		}
	}
	return max(min(al.peers[i].outstanding-al.targets[i], needed), 0)
}

// recall records that n tokens are being recalled.
func (q *peer) recall(n int, now time.Time) {
	q.recalled = n
	q.recallAt = now.Add(recallLifetime / 2)
	if n > 0 && q.recallDeadline.IsZero() {
		q.recallDeadline = q.recallAt
	}
}

// HandleExchange processes the items sent by the member from. For the resources of which
// this entry is the home, it returns one answer per item, in order; calls get no answer.
func (l *Ledger) HandleExchange(from string, items []Item, now time.Time) []Grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reclaimIfElapsed(now)
	index, member := slices.BinarySearch(l.view.Members, from)
	var grants []Grant
	for _, item := range items {
		if item.Call {
			l.handleCall(from, item, now)
			continue
		}
		a := l.accounts[item.Resource]
		g := Grant{Refused: true}
		if a != nil && a.allocator != nil && a.gen == item.Gen && member && index != l.self {
			g = l.answer(a, index, item, now)
		}
		g.Resource = item.Resource
		g.Gen = item.Gen
		g.Seq = item.Seq
		grants = append(grants, g)
	}
	return grants
}

// answer records the exchange of the peer with that index and grants it free tokens up to
// its target. A repeated item gets the same answer; an older one is refused.
func (l *Ledger) answer(a *account, index int, item Item, now time.Time) Grant {
	al := a.allocator
	q := &al.peers[index]
	if q.seen && item.Seq <= q.seq {
		return Grant{Granted: q.granted, Refused: item.Seq < q.seq, Contended: q.sentContended}
	}
	if !q.seen {
		q.seen = true
		al.unseen--
		al.initiallyHeld += item.Held
	}
	q.seq = item.Seq
	q.want = item.Want
	q.entitlement = max(item.Entitlement, 0)
	q.hasEntitlement = item.HasEntitlement
	q.granted = 0
	q.callAt = time.Time{}
	q.recalled = 0
	if item.Held < q.outstanding {
		q.recallDeadline = time.Time{}
	}
	q.outstanding = item.Held
	a.ceiling = max(a.ceiling, item.Ceiling)
	if !al.ready {
		if al.unseen > 0 {
			return Grant{}
		}
		l.makeReady(a)
		l.enqueue(a, now)
	}
	a.recompute(l.self)
	n := max(min(al.free, al.deficit(index)), 0)
	if n > 0 {
		q.granted = n
		q.outstanding += n
		q.want -= n
		a.recompute(l.self)
		al.restartRotation(now)
	}
	q.sentContended = al.contended
	g := Grant{Granted: n, Settled: al.free >= 0, Ceiling: a.ceiling, Contended: al.contended}
	if al.contended {
		g.Recall = al.excess(index, now)
		q.recall(g.Recall, now)
		l.enqueue(a, now)
	}
	return g
}

// stepHome sends calls to the holders for which free tokens are available, and to those
// that hold tokens above their targets.
func (l *Ledger) stepHome(a *account, now time.Time, batches *[]Batch) bool {
	al := a.allocator
	if !al.ready || !al.contended {
		return false
	}
	n := len(al.peers)
	if al.rotate(now) {
		a.recompute(l.self)
	}
	l.dropUnusedWant(a, now)
	free := max(al.free, 0)
	for k := range n {
		i := (al.first + k) % n
		q := &al.peers[i]
		if i == l.self {
			continue
		}
		if deficit := al.deficit(i); deficit > 0 && free > 0 {
			free -= deficit
			if !now.Before(q.callAt) {
				q.callAt = now.Add(callInterval)
				l.addItem(batches, i, a.callItem(q, 0))
			}
			continue
		}
		if excess := al.excess(i, now); excess > 0 && (excess > q.recalled || !now.Before(q.recallAt)) {
			q.recall(excess, now)
			l.addItem(batches, i, a.callItem(q, excess))
			continue
		}
		if al.hasStaleReport(i) && !now.Before(q.callAt) {
			q.callAt = now.Add(callInterval)
			l.addItem(batches, i, a.callItem(q, 0))
		}
	}
	return true
}

// rotate advances first to the next peer with demand. It does so once every peer has had
// its target for rotationPeriod, or transferGrace later if some peer does not fetch or
// return its tokens.
func (al *allocator) rotate(now time.Time) bool {
	at := al.rotateAt
	if al.unmet > 0 {
		at = at.Add(transferGrace)
	}
	if now.Before(at) {
		return false
	}
	al.rotateAt = now.Add(al.rotationPeriod())
	al.rotating = true
	for range al.peers {
		al.first = (al.first + 1) % len(al.peers)
		if al.wants[al.first] > 0 {
			break
		}
	}
	return true
}

// rotationPeriod returns how long the peers served first keep their extra token. It grows
// with the smallest target, because one token matters less when the other peers have more.
func (al *allocator) rotationPeriod() time.Duration {
	return rotationInterval * time.Duration(1+al.minTarget)
}

// restartRotation starts a full rotation period when the peers that come first after a
// rotation have received their tokens.
func (al *allocator) restartRotation(now time.Time) {
	if al.rotating && al.unmet == 0 {
		al.rotating = false
		al.rotateAt = now.Add(al.rotationPeriod())
	}
}

// dropUnusedWant clears this entry's own demand if it leaves the tokens that are free for
// it unused for the idle timeout.
func (l *Ledger) dropUnusedWant(a *account, now time.Time) {
	al := a.allocator
	switch {
	case al.free <= 0 || al.deficit(l.self) == 0:
		al.reservedSince = time.Time{}
	case al.reservedSince.IsZero():
		al.reservedSince = now
	case now.Sub(al.reservedSince) >= l.idleTimeout():
		al.reservedSince = time.Time{}
		a.want = 0
		a.recompute(l.self)
	}
}

// callItem returns the item that requests an exchange from a holder, with the number of
// tokens to return.
func (a *account) callItem(q *peer, recall int) Item {
	return Item{Resource: a.resource, Gen: a.gen, Seq: q.seq, Call: true, Recall: recall}
}
