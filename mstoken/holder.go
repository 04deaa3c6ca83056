package mstoken

import "time"

const (
	retryFirst   = 50 * time.Millisecond  // retryFirst is the wait after a first failed exchange.
	retryMost    = time.Second            // retryMost is the longest wait between failed exchanges.
	pollAfter    = 5 * time.Second        // pollAfter is how often unmet demand is told again.
	changeAfter  = 200 * time.Millisecond // changeAfter is how soon demand is told again that has doubled or halved.
	recallFor    = 2 * time.Second        // recallFor is how long a recall stands.
	abandonAfter = 10 * time.Second       // abandonAfter is when an exchange without any answer is given up.
)

// holder is the holder's side of an account: its exchanges with the home, and its
// recent need.
type holder struct {
	seq        uint64
	pending    bool // pending: the exchange with number seq may still be answered.
	introduced bool // introduced: the home has heard from us in this generation.
	called     bool // called: the home asked for an exchange.
	sentAt     time.Time
	sentHeld   int
	sentWant   int
	told       int // told is what the home takes us to hold.
	toldWant   int // toldWant is the demand that the home remembers of us.
	retryAt    time.Time
	backoff    time.Duration
	debt       int // debt is how many tokens to give back as work ends.
	debtUntil  time.Time
	since      time.Time // since is the start of the present window of need.
	peak       int       // peak is the most that ran at once in the present window.
	lastPeak   int       // lastPeak is that of the window before.
}

// renew forgets what belongs to a former generation. The sequence number goes on.
func (h *holder) renew(now time.Time) {
	h.pending = false
	h.introduced = false
	h.called = false
	h.toldWant = 0
	h.retryAt = now
	h.backoff = 0
	h.debt = 0
}

// openWindow begins to watch the need of an account that was at rest.
func (h *holder) openWindow(now time.Time, running int) {
	h.since = now
	h.lastPeak = running
	h.peak = running + 1
}

// owes says whether a token whose work ended now goes back to the home, and counts it.
func (h *holder) owes(now time.Time) bool {
	if h.debt == 0 {
		return false
	}
	if !now.Before(h.debtUntil) {
		h.debt = 0
		return false
	}
	h.debt--
	return true
}

// fail schedules the next try after an exchange without effect.
func (h *holder) fail(now time.Time) {
	h.pending = false
	h.backoff = min(max(2*h.backoff, retryFirst), retryMost)
	h.retryAt = now.Add(h.backoff)
}

// Outgoing returns what is due to each other member now. Each batch is to be carried
// to its member's HandleExchange, and then given to HandleGifts with the answer or to
// Expire without. A resource has at most one exchange under way.
func (l *Ledger) Outgoing(now time.Time) []Batch {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeLoss(now)
	var batches []Batch
	kept := l.active[:0]
	for _, a := range l.active {
		a.queued = l.step(a, now, &batches)
		if a.queued {
			kept = append(kept, a)
		}
	}
	clear(l.active[len(kept):])
	l.active = kept
	return batches
}

// step adds what is due for a, and reports whether more may fall due without an event.
func (l *Ledger) step(a *account, now time.Time, batches *[]Batch) bool {
	if a.home < 0 {
		return false
	}
	if a.pool != nil {
		return l.stepHome(a, now, batches)
	}
	h := &a.holder
	if h.pending && now.Sub(h.sentAt) >= abandonAfter {
		h.fail(now)
	}
	if h.pending {
		return true
	}
	if h.introduced {
		a.trim(now, l.idleAfter())
	}
	if a.isDue(now) {
		l.post(batches, a.home, a.exchange(now))
	}
	return h.pending || a.isRestless()
}

func (l *Ledger) idleAfter() time.Duration {
	if l.IdleAfter > 0 {
		return l.IdleAfter
	}
	return DefaultIdleAfter
}

// post adds item to the batch for the member with that index.
func (l *Ledger) post(batches *[]Batch, member int, item Item) {
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

// trim gives back the tokens that two windows in a row did not need.
func (a *account) trim(now time.Time, window time.Duration) {
	h := &a.holder
	if now.Sub(h.since) < window {
		return
	}
	need := max(h.peak, h.lastPeak)
	a.held = min(a.held, max(need, a.running))
	h.lastPeak = h.peak
	h.peak = a.running
	h.since = now
}

// isDue says whether the home has to hear from this holder now.
func (a *account) isDue(now time.Time) bool {
	h := &a.holder
	if now.Before(h.retryAt) {
		return false
	}
	if !h.introduced || h.called || a.held < h.told {
		return true
	}
	if (a.want > 0) != (h.toldWant > 0) {
		return true
	}
	since := now.Sub(h.sentAt)
	if a.want == 0 {
		return false
	}
	if a.want >= 2*h.toldWant || a.want <= h.toldWant/2 {
		return since >= changeAfter
	}
	return since >= pollAfter
}

// isRestless says whether time alone can make an exchange due.
func (a *account) isRestless() bool {
	h := &a.holder
	return !h.introduced || h.called || a.held != h.told || a.held > a.running || a.want > 0 || h.toldWant > 0
}

// exchange starts an exchange with the home.
func (a *account) exchange(now time.Time) Item {
	h := &a.holder
	h.seq++
	h.pending = true
	h.called = false
	h.sentAt = now
	h.sentHeld = a.held
	h.sentWant = a.want
	return Item{
		Resource: a.resource,
		Gen:      a.gen,
		Seq:      h.seq,
		Held:     a.held,
		Want:     a.want,
		Ceiling:  a.ceiling,
	}
}

// Expire says that the exchange of items with a member failed or timed out. Answers
// to it that still come have no effect.
func (l *Ledger) Expire(to string, items []Item, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, item := range items {
		if item.Call {
			continue
		}
		if a := l.asked(to, item.Resource, item.Gen, item.Seq); a != nil {
			a.holder.fail(now)
		}
	}
}

// asked returns the account whose pending exchange with home has that generation
// and number, or nil.
func (l *Ledger) asked(home, resource string, gen Generation, seq uint64) *account {
	a := l.accounts[resource]
	if a == nil || a.home < 0 || l.view.Members[a.home] != home {
		return nil
	}
	if !a.holder.pending || a.gen != gen || a.holder.seq != seq {
		return nil
	}
	return a
}

// HandleGifts takes the answer of the home from.
func (l *Ledger) HandleGifts(from string, gifts []Gift, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeLoss(now)
	for _, g := range gifts {
		a := l.asked(from, g.Resource, g.Gen, g.Seq)
		if a == nil {
			continue
		}
		if g.Refused {
			a.holder.fail(now)
			continue
		}
		a.accept(g, now)
	}
}

// accept adds a gift to what is held. The caller has checked that it answers the
// latest exchange.
func (a *account) accept(g Gift, now time.Time) {
	h := &a.holder
	h.pending = false
	h.introduced = true
	h.backoff = 0
	h.told = h.sentHeld + g.N
	h.toldWant = max(h.sentWant-g.N, 0)
	a.held += g.N
	a.want = max(a.want-g.N, 0)
	if g.N > 0 {
		h.peak = max(h.peak, a.held)
	}
	if g.Settled {
		a.over = false
	}
	if g.Ceiling > 0 {
		a.ceiling = max(g.Ceiling, a.total)
	}
	a.recall(g.Recall, now)
}

// recall gives n tokens back: idle ones at once, the rest as work ends. Idle tokens
// above the recent need go back as well.
func (a *account) recall(n int, now time.Time) {
	h := &a.holder
	h.debt = 0
	if n <= 0 {
		return
	}
	n = min(n, a.held)
	need := max(h.peak, h.lastPeak, a.running)
	back := max(min(a.held-a.running, n), a.held-need)
	a.held -= back
	h.debt = max(n-back, 0)
	h.debtUntil = now.Add(recallFor)
}

// handleCall takes the home's wish for an exchange. It has no effect once the home's
// knowledge is behind.
func (l *Ledger) handleCall(from string, item Item, now time.Time) {
	a := l.accounts[item.Resource]
	if a == nil || a.home < 0 || l.view.Members[a.home] != from {
		return
	}
	if a.gen != item.Gen || a.holder.seq != item.Seq || a.holder.pending {
		return
	}
	switch {
	case !a.holder.introduced || item.Recall <= 0:
		a.holder.called = true
	case a.held == a.holder.told:
		a.recall(item.Recall, now)
	}
	l.enqueue(a, now)
}
