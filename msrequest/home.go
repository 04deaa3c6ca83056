package msrequest

import (
	"context"
	"sync"
	"time"

	"marjoramspan/msclock"
)

// Home grants the claims whose home this entry is. Its function fields are how
// it learns of the rest of the entry; all must be set.
type Home struct {
	Table *Table
	Clock msclock.Clock
	// Append puts the events on the claims stream, in order, and returns once this
	// entry has folded the stream through them. An error leaves open whether they
	// are there.
	Append func(ctx context.Context, es []Event) error
	// Outage says whether no member of the view can read the log, as known
	// within the lease.
	Outage func() bool
	// Caught says whether this entry has folded every claim that an earlier home
	// of its keys can have granted through the stream.
	Caught func() bool
	// Logged says whether no other member holds a claim of an earlier view that
	// is missing on the log.
	Logged func() bool
	// Epoch returns the epoch of the present view.
	Epoch func() uint64
	// Unsure returns the time of the latest loss of a member that may have
	// granted claims which never reached the log, and false where there is none.
	Unsure func() (time.Time, bool)

	mu sync.Mutex
	// unappended holds settlements that could not be appended. It is guarded by mu.
	unappended []Event
}

// KeySkew is how far a caller's clock may be off for the time in its keys to count.
const KeySkew = 5 * time.Second

// Claim answers a claim of a key. Only Granted lets the request run.
func (h *Home) Claim(ctx context.Context, c Claim) Answer {
	if a, ok := h.Table.Look(c); ok {
		return a
	}
	if h.Outage() {
		return h.grantInMemory(c)
	}
	if v := h.verdictAfterLoss(c.Key); v != "" {
		return Answer{Verdict: v}
	}
	if !h.Logged() {
		return Answer{Verdict: NotHome}
	}
	return h.claimOnStream(ctx, c)
}

// claimOnStream claims through the stream: the first record of the key has it.
func (h *Home) claimOnStream(ctx context.Context, c Claim) Answer {
	if err := h.Append(ctx, []Event{{Claim: c}}); err != nil {
		if h.Outage() {
			return h.grantInMemory(c)
		}
		return Answer{Verdict: NotHome}
	}
	a, ok := h.Table.Look(c)
	if !ok {
		return Answer{Verdict: NotHome}
	}
	return a
}

func (h *Home) grantInMemory(c Claim) Answer {
	if v := h.verdictAfterLoss(c.Key); v != "" {
		return Answer{Verdict: v}
	}
	if !h.Caught() || !h.Logged() {
		return Answer{Verdict: NotHome}
	}
	if h.Table.Hold(c, h.Epoch(), h.Clock.Now()) {
		return Answer{Verdict: Granted}
	}
	a, ok := h.Table.Look(c)
	if !ok {
		return Answer{Verdict: NotHome}
	}
	return a
}

// VouchWait is how long after a loss another member may still vouch for the lost
// one. Meanwhile a key that may be older is refused rather than unknown.
const VouchWait = 3 * time.Second

// verdictAfterLoss returns the verdict on a key that may have been granted by a lost member
// that could not append its claims, and "" for every other key.
func (h *Home) verdictAfterLoss(key string) Verdict {
	lostAt, ok := h.Unsure()
	if !ok {
		return ""
	}
	now := h.Clock.Now()
	madeAt, ok := KeyTime(key)
	inFuture := madeAt.After(now.Add(KeySkew))
	if ok && !inFuture && !madeAt.Before(lostAt.Add(KeySkew)) {
		return ""
	}
	if now.Sub(lostAt) < VouchWait {
		return NotHome
	}
	return Unknown
}

// Settle records what became of a claimed request. A claim that is on the
// stream is settled by the stream alone, so that every reader sees the key
// freed at the same place.
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

// Flush appends what could not be appended while the log was down.
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

// Pending returns how many claims and settlements have not reached the stream.
func (h *Home) Pending() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.unappended) + h.Table.Unlogged()
}

// unloggedEvents returns the events that bring each claim held in memory onto
// the stream.
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
