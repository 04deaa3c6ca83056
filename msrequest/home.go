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
	// late holds settlements that could not be appended. It is guarded by mu.
	late []Event
}

// KeySkew is how far a caller's clock may be off for the time in its keys to count.
const KeySkew = 5 * time.Second

// Claim answers a claim of a key. Only Granted lets the request run.
func (h *Home) Claim(ctx context.Context, c Claim) Answer {
	if a, ok := h.Table.Look(c); ok {
		return a
	}
	if h.Outage() {
		return h.hold(c)
	}
	if v := h.older(c.Key); v != "" {
		return Answer{Verdict: v}
	}
	if !h.Logged() {
		return Answer{Verdict: NotHome}
	}
	return h.log(ctx, c)
}

// log claims through the stream: the first record of the key has it.
func (h *Home) log(ctx context.Context, c Claim) Answer {
	if err := h.Append(ctx, []Event{{Claim: c}}); err != nil {
		if h.Outage() {
			return h.hold(c)
		}
		return Answer{Verdict: NotHome}
	}
	a, ok := h.Table.Look(c)
	if !ok {
		return Answer{Verdict: NotHome}
	}
	return a
}

func (h *Home) hold(c Claim) Answer {
	if v := h.older(c.Key); v != "" {
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

// older returns the verdict on a key that may have been granted by a lost member
// that could not append its claims, and "" for every other key.
func (h *Home) older(key string) Verdict {
	lost, ok := h.Unsure()
	if !ok {
		return ""
	}
	now := h.Clock.Now()
	made, ok := KeyTime(key)
	tooNew := made.After(now.Add(KeySkew))
	if ok && !tooNew && !made.Before(lost.Add(KeySkew)) {
		return ""
	}
	if now.Sub(lost) < VouchWait {
		return NotHome
	}
	return Unknown
}

// Settle records what became of a claimed request. A claim that is on the
// stream is settled by the stream alone, so that every reader sees the key
// freed at the same place.
func (h *Home) Settle(ctx context.Context, e Event) {
	if h.Table.settleHeld(e, h.Clock.Now()) {
		return
	}
	if err := h.Append(ctx, []Event{e}); err != nil {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.late = append(h.late, e)
	}
}

// Flush appends what could not be appended while the log was down.
func (h *Home) Flush(ctx context.Context) error {
	for _, es := range h.Table.unloggedEvents() {
		if err := h.Append(ctx, es); err != nil {
			return err
		}
	}
	h.mu.Lock()
	late := h.late
	h.late = nil
	h.mu.Unlock()
	if len(late) == 0 {
		return nil
	}
	if err := h.Append(ctx, late); err != nil {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.late = append(late, h.late...)
		return err
	}
	return nil
}

// Pending returns how many claims and settlements have not reached the stream.
func (h *Home) Pending() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.late) + h.Table.Unlogged()
}

// unloggedEvents returns the events that bring each claim held in memory onto
// the stream.
func (t *Table) unloggedEvents() [][]Event {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all [][]Event
	for _, e := range t.claims {
		if !e.unlogged {
			continue
		}
		e.flushing = true
		es := []Event{{Claim: e.claim, FromMemory: true}}
		if e.outcome != "" {
			es = append(es, Event{Claim: e.claim, Outcome: e.outcome, Status: e.status})
		}
		all = append(all, es)
	}
	return all
}
