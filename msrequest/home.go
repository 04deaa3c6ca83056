package msrequest

import (
	"context"
	"sync"
	"time"

	"marjoramspan/msclock"
)

// Home grants the claims of the keys whose home this entry is. All exported fields
// must be set; the functions connect it to the rest of the entry.
type Home struct {
	Table *Table
	Clock msclock.Clock
	// Append appends the events to the claims stream, in order, and returns once
	// this entry has applied the stream up to and including them. After an error
	// the events may or may not be on the stream.
	Append func(ctx context.Context, events []Event) error
	// Outage reports whether it is proved, within the lease, that no member of the
	// view can read the log.
	Outage func() bool
	// CaughtUp reports whether this entry has applied every claim that an earlier
	// home of its keys can have granted through the stream.
	CaughtUp func() bool
	// PeersLogged reports whether all claims that other members granted in earlier
	// views are on the log.
	PeersLogged func() bool
	// Epoch returns the epoch of the present view.
	Epoch func() uint64
	// LastUncertainLoss returns the time of the last loss of a member that may have granted
	// claims which never reached the log, and false if there was none.
	LastUncertainLoss func() (time.Time, bool)

	mu sync.Mutex
	// unappended holds settlements that could not be appended. It is guarded by mu.
	unappended []Event
}

// MaxClockSkew is the largest error of a caller's clock for which the time in its keys
// is still used.
const MaxClockSkew = 5 * time.Second

// Claim answers a claim of a key. The request may run only if the verdict is Granted.
func (h *Home) Claim(ctx context.Context, c Claim) Answer {
	if a, ok := h.Table.Lookup(c); ok {
		return a
	}
	if h.Outage() {
		return h.grantInMemory(c)
	}
	if v := h.verdictAfterLoss(c.Key); v != "" {
		return Answer{Verdict: v}
	}
	if !h.PeersLogged() {
		return Answer{Verdict: NotHome}
	}
	return h.claimOnStream(ctx, c)
}

// claimOnStream appends the claim to the stream, whose first record of a key is
// granted.
func (h *Home) claimOnStream(ctx context.Context, c Claim) Answer {
	if err := h.Append(ctx, []Event{{Claim: c}}); err != nil {
		if h.Outage() {
			return h.grantInMemory(c)
		}
		return Answer{Verdict: NotHome}
	}
	a, ok := h.Table.Lookup(c)
	if !ok {
		return Answer{Verdict: NotHome}
	}
	return a
}

// grantInMemory answers a claim during an outage, without the log.
func (h *Home) grantInMemory(c Claim) Answer {
	if v := h.verdictAfterLoss(c.Key); v != "" {
		return Answer{Verdict: v}
	}
	if !h.CaughtUp() || !h.PeersLogged() {
		return Answer{Verdict: NotHome}
	}
	if h.Table.GrantInMemory(c, h.Epoch(), h.Clock.Now()) {
		return Answer{Verdict: Granted}
	}
	a, ok := h.Table.Lookup(c)
	if !ok {
		return Answer{Verdict: NotHome}
	}
	return a
}

// VouchWait is how long after the loss of a member another one may still confirm
// that all claims of the lost one are on the log. Until then a key that may be older
// than the loss is answered with NotHome, so that the caller may try again, and not
// with Unknown.
const VouchWait = 3 * time.Second

// verdictAfterLoss returns the verdict on a key that a lost member may have granted
// without appending the claim, and "" for any other key.
func (h *Home) verdictAfterLoss(key string) Verdict {
	lostAt, ok := h.LastUncertainLoss()
	if !ok {
		return ""
	}
	now := h.Clock.Now()
	madeAt, ok := KeyTime(key)
	inFuture := madeAt.After(now.Add(MaxClockSkew))
	if ok && !inFuture && !madeAt.Before(lostAt.Add(MaxClockSkew)) {
		return ""
	}
	if now.Sub(lostAt) < VouchWait {
		return NotHome
	}
	return Unknown
}

// Settle records the outcome of a claimed request. A claim that may be on the stream
// is settled only by an event on the stream, so that every reader sees the key freed
// at the same offset.
func (h *Home) Settle(ctx context.Context, e Event) {
	if h.Table.settleInMemory(e, h.Clock.Now()) {
		return
	}
	if err := h.Append(ctx, []Event{e}); err != nil {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.unappended = append(h.unappended, e)
	}
}

// Flush appends the claims that were granted from memory and the settlements that
// could not be appended earlier.
func (h *Home) Flush(ctx context.Context) error {
	for _, events := range h.Table.unloggedEvents() {
		if err := h.Append(ctx, events); err != nil {
			return err
		}
	}
	h.mu.Lock()
	unappended := h.unappended
	h.unappended = nil
	h.mu.Unlock()
	if len(unappended) == 0 {
		return nil
	}
	if err := h.Append(ctx, unappended); err != nil {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.unappended = append(unappended, h.unappended...)
		return err
	}
	return nil
}

// Pending returns the number of claims and settlements that are not on the stream
// yet.
func (h *Home) Pending() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.unappended) + h.Table.Unlogged()
}

// unloggedEvents returns, for each claim granted from memory, the events to append
// to the stream, and marks the claim as being appended.
func (t *Table) unloggedEvents() [][]Event {
	t.mu.Lock()
	defer t.mu.Unlock()
	var batches [][]Event
	for _, state := range t.claims {
		if !state.unlogged {
			continue
		}
		state.flushing = true
		events := []Event{{Claim: state.claim, FromMemory: true}}
		if state.outcome != "" {
			events = append(events, Event{Claim: state.claim, Outcome: state.outcome, Status: state.status})
		}
		batches = append(batches, events)
	}
	return batches
}
