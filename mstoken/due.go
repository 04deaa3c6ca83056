package mstoken

import "time"

// excessAfter is how soon the home is told that more or less is held above what is due.
const excessAfter = 500 * time.Millisecond

// Due tells how many tokens of resource this entry is due in all, those it holds
// included. Homes fill what members lack of their due before they lend the rest to
// whoever wants it. It stands until changed; below zero it is unset, and the home then
// takes an even part to be due.
func (l *Ledger) Due(resource string, due int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[resource]
	due = max(due, -1)
	if a == nil || a.hasDue == (due >= 0) && a.due == max(due, 0) {
		return
	}
	a.due = max(due, 0)
	a.hasDue = due >= 0
	if a.home < 0 {
		return
	}
	if a.pool != nil && a.pool.ready {
		a.refresh(l.self)
	}
	l.enqueue(a, a.holder.since)
}

// lacks is how many of the tokens that this entry wants it would lack at that due.
func (a *account) lacks(due int) int {
	return max(min(due-a.held, a.want), 0)
}

// dueNews says whether the home may decide otherwise by the present due than by the
// one it was told, and how long that may wait. Idle tokens above the due matter only
// while others want some, as they go back by themselves soon.
func (a *account) dueNews() (time.Duration, bool) {
	h := &a.holder
	switch {
	case a.hasDue != h.toldHasDue:
		return changeAfter, a.held > 0 || a.want > 0
	case !a.hasDue || a.due == h.toldDue:
		return 0, false
	case a.lacks(a.due) != a.lacks(h.toldDue):
		return changeAfter, true
	}
	matters := h.tight || a.running > min(a.due, h.toldDue)
	return excessAfter, matters && max(a.held-a.due, 0) != max(a.held-h.toldDue, 0)
}

// shareDues replaces the even targets where a peer has said what it is due: first what
// each lacks of its due, then what each holds beyond, then the rest by demand.
func (p *pool) shareDues(total int) {
	if !p.knowsDues() {
		return
	}
	for i := range p.peers {
		q := &p.peers[i]
		p.parts[i] = p.targets[i]
		if q.hasDue {
			p.parts[i] = min(q.due, p.wants[i])
		}
	}
	total = p.fillDues(total)
	for i := range p.peers {
		p.parts[i] = max(p.peers[i].out-p.targets[i], 0)
	}
	total = p.addShare(total)
	for i := range p.peers {
		p.parts[i] = p.wants[i] - p.targets[i]
	}
	p.addShare(total)
}

// fillDues sets the targets to the parts, and where those exceed total takes the excess
// from the dues evenly, so that the largest lack is as small as can be. It returns the rest.
func (p *pool) fillDues(total int) int {
	for i, n := range p.parts {
		total -= n
		p.targets[i] = 0
		if p.peers[i].hasDue {
			p.targets[i] = n
		}
	}
	share(p.extra, p.targets, max(-total, 0), p.first)
	for i, n := range p.parts {
		p.targets[i] = n - p.extra[i]
	}
	return max(total, 0)
}

// addShare splits total over the parts, adds it to the targets, and returns the rest.
func (p *pool) addShare(total int) int {
	share(p.extra, p.parts, total, p.first)
	for i, n := range p.extra {
		p.targets[i] += n
		total -= n
	}
	return total
}

// isStale says whether a peer may hold idle tokens above its due of which it has not
// told, because nobody wanted any when it last exchanged.
func (p *pool) isStale(i int) bool {
	q := &p.peers[i]
	return q.hasDue && q.out > 0 && !q.tight && p.unmet > max(p.free, 0)
}

func (p *pool) knowsDues() bool {
	for i := range p.peers {
		if p.peers[i].hasDue {
			return true
		}
	}
	return false
}
