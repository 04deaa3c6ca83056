package mstoken

import "time"

const (
	minRetryDelay     = 50 * time.Millisecond  // delay after the first failed exchange
	maxRetryDelay     = time.Second            // longest delay between failed exchanges
	reportInterval    = 5 * time.Second        // how often unchanged unmet demand is reported
	changeReportDelay = 200 * time.Millisecond // delay before demand that has doubled or halved is reported
	recallLifetime    = 2 * time.Second        // how long a recall stays in force
	exchangeTimeout   = 10 * time.Second       // an exchange without any answer is abandoned after this time
)

// holder is the holder's side of an account: its exchanges with the home and its recent
// peak usage.
type holder struct {
	seq                    uint64
	pending                bool // the exchange with number seq may still be answered
	registered             bool // the home has answered an exchange in this generation
	called                 bool // the home has requested an exchange
	sentAt                 time.Time
	sentHeld               int
	sentWant               int
	reportedHeld           int // tokens that the home has on record for this holder
	reportedWant           int // demand that the home has on record for this holder
	sentEntitlement        int
	sentHasEntitlement     bool
	reportedEntitlement    int // entitlement that the home has on record for this holder
	reportedHasEntitlement bool
	contended              bool // the home knew of unmet demand when it last answered
	retryAt                time.Time
	backoff                time.Duration
	pendingReturn          int // recalled tokens still to be returned as work ends
	pendingReturnUntil     time.Time
	windowStart            time.Time // start of the current usage window
	peak                   int       // most work that ran at once in the current window
	lastPeak               int       // peak of the previous window
}

// startGeneration resets the state that belongs to one generation. The sequence number
// keeps increasing.
func (h *holder) startGeneration(now time.Time) {
	h.pending = false
	h.registered = false
	h.called = false
	h.reportedWant = 0
	h.retryAt = now
	h.backoff = 0
	h.pendingReturn = 0
}

// openWindow starts usage tracking for an account that was inactive.
func (h *holder) openWindow(now time.Time, running int) {
	h.windowStart = now
	h.lastPeak = running
	h.peak = running + 1
}

// consumePendingReturn reports whether a token whose work has just ended goes back to the
// home for a recall, and subtracts it from the pending returns.
func (h *holder) consumePendingReturn(now time.Time) bool {
	if h.pendingReturn == 0 {
		return false
	}
	if !now.Before(h.pendingReturnUntil) {
		h.pendingReturn = 0
		return false
	}
	h.pendingReturn--
	return true
}

// scheduleRetry sets the time of the next attempt, with exponential backoff, after an
// exchange that failed or was refused.
func (h *holder) scheduleRetry(now time.Time) {
	h.pending = false
	h.backoff = min(max(2*h.backoff, minRetryDelay), maxRetryDelay)
	h.retryAt = now.Add(h.backoff)
}

// Outgoing returns the messages to send to other members now. The caller delivers each
// batch to its member's HandleExchange and then calls HandleGrants with the answer, or
// Expire if there is none. A resource has at most one exchange in flight.
func (l *Ledger) Outgoing(now time.Time) []Batch {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reclaimIfElapsed(now)
	var batches []Batch
	remaining := l.active[:0]
	for _, a := range l.active {
		a.queued = l.step(a, now, &batches)
		if a.queued {
			remaining = append(remaining, a)
		}
	}
	clear(l.active[len(remaining):])
	l.active = remaining
	return batches
}

// step adds the messages of a that have to be sent now, and reports whether passing time
// alone may require another.
func (l *Ledger) step(a *account, now time.Time, batches *[]Batch) bool {
	if a.home < 0 {
		return false
	}
	if a.allocator != nil {
		return l.stepHome(a, now, batches)
	}
	h := &a.holder
	if h.pending && now.Sub(h.sentAt) >= exchangeTimeout {
		h.scheduleRetry(now)
	}
	if h.pending {
		return true
	}
	if h.registered {
		a.returnUnneeded(now, l.idleTimeout())
	}
	if a.needsExchange(now) {
		l.addItem(batches, a.home, a.startExchange(now))
	}
	return h.pending || a.mayNeedExchange()
}

func (l *Ledger) idleTimeout() time.Duration {
	if l.IdleTimeout > 0 {
		return l.IdleTimeout
	}
	return DefaultIdleTimeout
}

// addItem adds item to the batch for the member with that index.
func (l *Ledger) addItem(batches *[]Batch, member int, item Item) {
	to := l.view.Members[member]
	for i := range *batches {
		b := &(*batches)[i]
		if b.To == to {
			b.Items = append(b.Items, item)
			return
		}
	}
	*batches = append(*batches, Batch{To: to, Items: []Item{item}})
}

// returnUnneeded gives up the tokens that were not needed in two consecutive windows.
func (a *account) returnUnneeded(now time.Time, window time.Duration) {
	h := &a.holder
	if now.Sub(h.windowStart) < window {
		return
	}
	need := max(h.peak, h.lastPeak)
	a.held = min(a.held, max(need, a.running))
	h.lastPeak = h.peak
	h.peak = a.running
	h.windowStart = now
}

// needsExchange reports whether this holder has to send an exchange to the home now.
func (a *account) needsExchange(now time.Time) bool {
	h := &a.holder
	if now.Before(h.retryAt) {
		return false
	}
	if !h.registered || h.called || a.held < h.reportedHeld {
		return true
	}
	if (a.want > 0) != (h.reportedWant > 0) {
		return true
	}
	elapsed := now.Sub(h.sentAt)
	if wait, changed := a.entitlementChange(); changed && elapsed >= wait {
		return true
	}
	if a.want == 0 {
		return false
	}
	if a.want >= 2*h.reportedWant || a.want <= h.reportedWant/2 {
		return elapsed >= changeReportDelay
	}
	return elapsed >= reportInterval
}

// mayNeedExchange reports whether passing time alone can make an exchange necessary.
func (a *account) mayNeedExchange() bool {
	h := &a.holder
	if _, changed := a.entitlementChange(); changed {
		return true
	}
	return !h.registered || h.called || a.held != h.reportedHeld || a.held > a.running || a.want > 0 || h.reportedWant > 0
}

// startExchange records a new pending exchange with the home and returns its item.
func (a *account) startExchange(now time.Time) Item {
	h := &a.holder
	h.seq++
	h.pending = true
	h.called = false
	h.sentAt = now
	h.sentHeld = a.held
	h.sentWant = a.want
	h.sentEntitlement = a.entitlement
	h.sentHasEntitlement = a.hasEntitlement
	return Item{
		Resource:       a.resource,
		Gen:            a.gen,
		Seq:            h.seq,
		Held:           a.held,
		Want:           a.want,
		Entitlement:    a.entitlement,
		HasEntitlement: a.hasEntitlement,
		Ceiling:        a.ceiling,
	}
}

// Expire reports that the exchange of items with a member failed or timed out. Answers
// that arrive later have no effect.
func (l *Ledger) Expire(to string, items []Item, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, item := range items {
		if item.Call {
			continue
		}
		if a := l.pendingAccount(to, item.Resource, item.Gen, item.Seq); a != nil {
			a.holder.scheduleRetry(now)
		}
	}
}

// pendingAccount returns the account whose pending exchange with home has that generation
// and sequence number, or nil.
func (l *Ledger) pendingAccount(home, resource string, gen Generation, seq uint64) *account {
	a := l.accounts[resource]
	if a == nil || a.home < 0 || l.view.Members[a.home] != home {
		return nil
	}
	if !a.holder.pending || a.gen != gen || a.holder.seq != seq {
		return nil
	}
	return a
}

// HandleGrants processes the answers of the home from.
func (l *Ledger) HandleGrants(from string, grants []Grant, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reclaimIfElapsed(now)
	for _, g := range grants {
		a := l.pendingAccount(from, g.Resource, g.Gen, g.Seq)
		if a == nil {
			continue
		}
		if g.Refused {
			a.holder.scheduleRetry(now)
			continue
		}
		a.accept(g, now)
	}
}

// accept adds the granted tokens to those held. The caller has checked that g answers the
// latest exchange.
func (a *account) accept(g Grant, now time.Time) {
	h := &a.holder
	h.pending = false
	h.registered = true
	h.backoff = 0
	h.reportedHeld = h.sentHeld + g.Granted
	h.contended = g.Contended
	h.reportedWant = max(h.sentWant-g.Granted, 0)
	h.reportedEntitlement = h.sentEntitlement
	h.reportedHasEntitlement = h.sentHasEntitlement
	a.held += g.Granted
	a.want = max(a.want-g.Granted, 0)
	if g.Granted > 0 {
		h.peak = max(h.peak, a.held)
	}
	if g.Settled {
		a.overcommitted = false
	}
	if g.Ceiling > 0 {
		a.ceiling = max(g.Ceiling, a.total)
	}
	a.recall(g.Recall, now)
}

// recall returns n tokens to the home: idle ones at once, the others as work ends. Idle
// tokens above the recent peak usage are returned as well.
func (a *account) recall(n int, now time.Time) {
	h := &a.holder
	h.pendingReturn = 0
	if n <= 0 {
		return
	}
	n = min(n, a.held)
	need := max(h.peak, h.lastPeak, a.running)
	returned := max(min(a.held-a.running, n), a.held-need)
	a.held -= returned
	h.pendingReturn = max(n-returned, 0)
	h.pendingReturnUntil = now.Add(recallLifetime)
}

// handleCall processes the home's request for an exchange. It is ignored if the home does
// not know this holder's latest exchange.
func (l *Ledger) handleCall(from string, item Item, now time.Time) {
	a := l.accounts[item.Resource]
	if a == nil || a.home < 0 || l.view.Members[a.home] != from {
		return
	}
	if a.gen != item.Gen || a.holder.seq != item.Seq || a.holder.pending {
		return
	}
	switch {
	case !a.holder.registered || item.Recall <= 0:
		a.holder.called = true
	case a.held == a.holder.reportedHeld:
		a.recall(item.Recall, now)
	}
	l.enqueue(a, now)
}
