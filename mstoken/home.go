package mstoken

import (
	"slices"
	"time"
)

const (
	callAfter   = 100 * time.Millisecond // callAfter is the wait before a call is repeated.
	fetchAfter  = time.Second            // fetchAfter is the time for tokens to change hands before others are asked.
	rotateAfter = 500 * time.Millisecond // rotateAfter is how long a token stays that others wait for in turn.
)

// pool is the home's side of an account.
type pool struct {
	ready     bool // ready: every member has sent its exchange in this generation.
	free      int  // free is total - outstanding - unknown; below zero nothing is given.
	unknown   int  // unknown is the number of tokens that lost members may hold.
	base      int  // base is the sum of what the members held at their first exchange.
	unmet     int  // unmet is the sum of what peers lack to their targets.
	hungry    bool // hungry: a peer other than this entry has unmet demand.
	contended bool // contended: any peer has unmet demand.
	first     int  // first is the index of the peer that is served first.
	level     int  // level is the least that a peer with unmet demand is due.
	rotateAt  time.Time
	turning   bool      // turning: first has moved, and not all that are due tokens have them.
	keptSince time.Time // keptSince is since when free tokens are kept for this entry's own demand.
	peers     []peer    // peers are in the order of view.Members.
	wants     []int     // wants is scratch space for share.
	targets   []int     // targets are what the peers may hold while there is unmet demand.
	unheard   int       // unheard counts the peers without an exchange in this generation.
}

// peer is what the home knows of one holder.
type peer struct {
	seen     bool
	seq      uint64
	out      int // out is the most that the holder has.
	want     int
	given    int // given is the answer to seq.
	callAt   time.Time
	recallAt time.Time
	recalled int // recalled is how many tokens were last asked back.
	// coverUntil is how long recalled is counted on. A holder that does not return
	// them by then has long work, or is paused.
	coverUntil time.Time
}

// openPool makes this entry the home of a in a new generation. What it holds itself is
// known at once.
func (l *Ledger) openPool(a *account, now time.Time) {
	n := len(l.view.Members)
	a.pool = &pool{
		peers:    make([]peer, n),
		wants:    make([]int, n),
		targets:  make([]int, n),
		base:     a.held,
		unheard:  n - 1,
		rotateAt: now.Add(rotateAfter),
	}
	a.pool.peers[l.self].seen = true
	if a.pool.unheard == 0 {
		l.makeReady(a)
	}
}

// collect ends the present generation's pool: a former home holds what was free.
func (a *account) collect() {
	if a.pool != nil && a.pool.ready {
		a.held += max(a.pool.free, 0)
	}
	a.pool = nil
}

// draw takes a free token at the home, unless another holder is due it.
func (a *account) draw(self int) bool {
	p := a.pool
	if p == nil || !p.ready || p.free <= 0 {
		return false
	}
	if p.hungry && a.held >= p.targets[self] {
		return false
	}
	p.free--
	a.held++
	a.want = max(a.want-1, 0)
	return true
}

// makeReady lets the home give. What the members do not hold is free, or unknown while
// lost members may hold it.
func (l *Ledger) makeReady(a *account) {
	p := a.pool
	p.ready = true
	if l.lossOpen {
		p.unknown = max(a.ceiling-p.base, 0)
	}
	a.held = a.running
	a.refresh(l.self)
}

// refresh works out what is free and who is due what.
func (a *account) refresh(self int) {
	p := a.pool
	p.peers[self].out = a.held
	p.peers[self].want = a.want
	sum := 0
	p.hungry = false
	p.contended = false
	for i := range p.peers {
		q := &p.peers[i]
		sum += q.out
		p.wants[i] = q.out + q.want
		p.contended = p.contended || q.want > 0
		p.hungry = p.hungry || q.want > 0 && i != self
	}
	p.free = a.total - sum - p.unknown
	if p.unknown == 0 {
		a.ceiling = max(a.total, sum)
	}
	if p.free >= 0 {
		a.over = false
	}
	p.unmet = 0
	p.level = a.total
	if !p.contended {
		return
	}
	share(p.targets, p.wants, max(a.total-p.unknown, 0), p.first)
	for i := range p.peers {
		p.unmet += p.lack(i)
		if p.peers[i].want > 0 {
			p.level = min(p.level, p.targets[i])
		}
	}
}

// lack is how many tokens a peer wants and is due.
func (p *pool) lack(i int) int {
	q := &p.peers[i]
	return max(min(q.want, p.targets[i]-q.out), 0)
}

// excess is how many tokens to ask back from a peer: what it holds above its target,
// as far as others are due it and nobody else was asked.
func (p *pool) excess(i int, now time.Time) int {
	short := p.unmet - max(p.free, 0)
	for j := range p.peers {
		q := &p.peers[j]
		if j != i && now.Before(q.coverUntil) {
			short -= q.recalled
		}
	}
	return max(min(p.peers[i].out-p.targets[i], short), 0)
}

// recall notes that n tokens are asked back now.
func (q *peer) recall(n int, now time.Time) {
	q.recalled = n
	q.recallAt = now.Add(recallFor / 2)
	if n > 0 && q.coverUntil.IsZero() {
		q.coverUntil = q.recallAt
	}
}

// HandleExchange takes the items of the member from. As the home it answers each of
// them, in order; calls are not answered.
func (l *Ledger) HandleExchange(from string, items []Item, now time.Time) []Gift {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeLoss(now)
	index, member := slices.BinarySearch(l.view.Members, from)
	var gifts []Gift
	for _, item := range items {
		if item.Call {
			l.handleCall(from, item, now)
			continue
		}
		a := l.accounts[item.Resource]
		g := Gift{Refused: true}
		if a != nil && a.pool != nil && a.gen == item.Gen && member && index != l.self {
			g = l.answer(a, index, item, now)
		}
		g.Resource = item.Resource
		g.Gen = item.Gen
		g.Seq = item.Seq
		gifts = append(gifts, g)
	}
	return gifts
}

// answer books the exchange of the peer with that index and gives what it is due. A
// repeated item gets the same answer, an older one is refused.
func (l *Ledger) answer(a *account, index int, item Item, now time.Time) Gift {
	p := a.pool
	q := &p.peers[index]
	if q.seen && item.Seq <= q.seq {
		return Gift{N: q.given, Refused: item.Seq < q.seq}
	}
	if !q.seen {
		q.seen = true
		p.unheard--
		p.base += item.Held
	}
	q.seq = item.Seq
	q.want = item.Want
	q.given = 0
	q.callAt = time.Time{}
	q.recalled = 0
	if item.Held < q.out {
		q.coverUntil = time.Time{}
	}
	q.out = item.Held
	a.ceiling = max(a.ceiling, item.Ceiling)
	if !p.ready {
		if p.unheard > 0 {
			return Gift{}
		}
		l.makeReady(a)
		l.enqueue(a, now)
	}
	a.refresh(l.self)
	n := max(min(p.free, p.lack(index)), 0)
	if n > 0 {
		q.given = n
		q.out += n
		q.want -= n
		a.refresh(l.self)
		p.served(now)
	}
	g := Gift{N: n, Settled: p.free >= 0, Ceiling: a.ceiling}
	if p.contended {
		g.Recall = p.excess(index, now)
		q.recall(g.Recall, now)
		l.enqueue(a, now)
	}
	return g
}

// stepHome calls the holders that are due free tokens, and those that hold what
// others are due.
func (l *Ledger) stepHome(a *account, now time.Time, batches *[]Batch) bool {
	p := a.pool
	if !p.ready || !p.contended {
		return false
	}
	n := len(p.peers)
	if p.rotate(now) {
		a.refresh(l.self)
	}
	l.dropStaleWant(a, now)
	free := max(p.free, 0)
	for k := range n {
		i := (p.first + k) % n
		q := &p.peers[i]
		if i == l.self {
			continue
		}
		if lack := p.lack(i); lack > 0 && free > 0 {
			free -= lack
			if !now.Before(q.callAt) {
				q.callAt = now.Add(callAfter)
				l.post(batches, i, a.call(q, 0))
			}
			continue
		}
		if excess := p.excess(i, now); excess > 0 && (excess > q.recalled || !now.Before(q.recallAt)) {
			q.recall(excess, now)
			l.post(batches, i, a.call(q, excess))
		}
	}
	return true
}

// rotate moves first on, to the next peer with demand, once all that are due tokens
// have had them for a while, or if it takes long: somebody does not fetch or return them.
func (p *pool) rotate(now time.Time) bool {
	at := p.rotateAt
	if p.unmet > 0 {
		at = at.Add(fetchAfter)
	}
	if now.Before(at) {
		return false
	}
	p.rotateAt = now.Add(p.turn())
	p.turning = true
	for range p.peers {
		p.first = (p.first + 1) % len(p.peers)
		if p.wants[p.first] > 0 {
			break
		}
	}
	return true
}

// turn is how long the peers that are due one token more keep it. The more the others
// have, the less it matters.
func (p *pool) turn() time.Duration {
	return rotateAfter * time.Duration(1+p.level)
}

// served gives the peers that first has moved to their time.
func (p *pool) served(now time.Time) {
	if p.turning && p.unmet == 0 {
		p.turning = false
		p.rotateAt = now.Add(p.turn())
	}
}

// dropStaleWant forgets this entry's own demand if it takes none of the tokens that
// are free for it.
func (l *Ledger) dropStaleWant(a *account, now time.Time) {
	p := a.pool
	switch {
	case p.free <= 0 || p.lack(l.self) == 0:
		p.keptSince = time.Time{}
	case p.keptSince.IsZero():
		p.keptSince = now
	case now.Sub(p.keptSince) >= l.idleAfter():
		p.keptSince = time.Time{}
		a.want = 0
		a.refresh(l.self)
	}
}

// call is the item that asks a holder for an exchange.
func (a *account) call(q *peer, recall int) Item {
	return Item{Resource: a.resource, Gen: a.gen, Seq: q.seq, Call: true, Recall: recall}
}
