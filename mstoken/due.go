package mstoken

import "time"

// excessReportDelay is the delay before a change of the tokens held above the entitlement
// is reported to the home.
const excessReportDelay = 500 * time.Millisecond

// SetEntitlement sets the entitlement of this entry for resource: the number of tokens, including
// those it holds, that it may have before others may borrow them. Homes grant tokens up to
// the members' entitlements before they lend the rest to any member with demand. The value
// stays until it is changed. A negative value unsets it, and the home then assumes an
// equal share.
func (l *Ledger) SetEntitlement(resource string, entitlement int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[resource]
	entitlement = max(entitlement, -1)
	if a == nil || a.hasEntitlement == (entitlement >= 0) && a.entitlement == max(entitlement, 0) {
		return
	}
	a.entitlement = max(entitlement, 0)
	a.hasEntitlement = entitlement >= 0
	if a.home < 0 {
		return
	}
	if a.allocator != nil && a.allocator.ready {
		a.recompute(l.self)
	}
	l.enqueue(a, a.holder.windowStart)
}

// deficitAt returns how many of the tokens that this entry wants it would lack with that
// entitlement.
func (a *account) deficitAt(entitlement int) int {
	return max(min(entitlement-a.held, a.want), 0)
}

// entitlementChange reports whether the current entitlement could change a decision that
// the home made with the last reported one, and how long the report may wait. Idle tokens
// above the entitlement matter only while others want some, as they are soon returned
// anyway.
func (a *account) entitlementChange() (time.Duration, bool) {
	h := &a.holder
	switch {
	case a.hasEntitlement != h.reportedHasEntitlement:
		return changeReportDelay, a.held > 0 || a.want > 0
	case !a.hasEntitlement || a.entitlement == h.reportedEntitlement:
		return 0, false
	case a.deficitAt(a.entitlement) != a.deficitAt(h.reportedEntitlement):
		return changeReportDelay, true
	}
	matters := h.contended || a.running > min(a.entitlement, h.reportedEntitlement)
	return excessReportDelay, matters && max(a.held-a.entitlement, 0) != max(a.held-h.reportedEntitlement, 0)
}

// shareByEntitlement replaces the max-min fair targets if any peer has set an entitlement.
// Tokens go first to demand within the entitlements (within the fair target for a peer
// that has set none), then to what peers already hold beyond that, then to the remaining
// demand.
func (al *allocator) shareByEntitlement(total int) {
	if !al.hasEntitlements() {
		return
	}
	for i := range al.peers {
		q := &al.peers[i]
		al.requests[i] = al.targets[i]
		if q.hasEntitlement {
			al.requests[i] = min(q.entitlement, al.wants[i])
		}
	}
	total = al.fillEntitlements(total)
	for i := range al.peers {
		al.requests[i] = max(al.peers[i].outstanding-al.targets[i], 0)
	}
	total = al.addFairShare(total)
	for i := range al.peers {
		al.requests[i] = al.wants[i] - al.targets[i]
	}
	al.addFairShare(total)
}

// fillEntitlements sets the targets to the requests. If the requests exceed total, it
// takes the excess evenly from the peers with an entitlement, which minimizes the largest
// deficit. It returns the tokens that are left.
func (al *allocator) fillEntitlements(total int) int {
	for i, n := range al.requests {
		total -= n
		al.targets[i] = 0
		if al.peers[i].hasEntitlement {
			al.targets[i] = n
		}
	}
	maxMinFair(al.grants, al.targets, max(-total, 0), al.first)
	for i, n := range al.requests {
		al.targets[i] = n - al.grants[i]
	}
	return max(total, 0)
}

// addFairShare splits total over the requests, adds the result to the targets, and returns
// the tokens that are left.
func (al *allocator) addFairShare(total int) int {
	maxMinFair(al.grants, al.requests, total, al.first)
	for i, n := range al.grants {
		al.targets[i] += n
		total -= n
	}
	return total
}

// hasStaleReport reports whether a peer may hold idle tokens above its entitlement that it
// has not reported, because there was no unmet demand at its last exchange.
func (al *allocator) hasStaleReport(i int) bool {
	q := &al.peers[i]
	return q.hasEntitlement && q.outstanding > 0 && !q.sentContended && al.unmet > max(al.free, 0)
}

func (al *allocator) hasEntitlements() bool {
	for i := range al.peers {
		if al.peers[i].hasEntitlement {
			return true
		}
	}
	return false
}
