// Package msrequest keeps a request that is not idempotent from running twice.
//
// The caller gives such a request an idempotency key. Before the request may be
// sent to an upstream, its key is claimed: a record with the key is appended to
// the claims stream of the platform's log, and only the first record of a key in
// stream order is granted. Every entry applies that stream to a Table. All claims
// of one key go to one entry, the home of the key, which batches them into few
// appends.
//
// While no entry can reach the log (an outage), nothing can be appended, and the
// view can't change either. The home then grants claims from memory and appends
// them when the log is back. A home that takes over from a lost one can't know of
// such claims, so it answers Unknown for every key that may be older than the loss.
package msrequest

import (
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
)

// Verdict is the home's answer to a claim.
type Verdict string

// The verdicts on a claim.
const (
	// Granted allows the request to run once.
	Granted Verdict = "granted"
	// Running means that another request with this key is in progress.
	Running Verdict = "running"
	// Done means that a request with this key has been answered by its upstream.
	Done Verdict = "done"
	// Unknown means that a request with this key may have run.
	Unknown Verdict = "unknown"
	// Mismatch means that the key was used for a request with other content.
	Mismatch Verdict = "mismatch"
	// NotHome means that the entry can't grant the key at present; the claim may
	// be tried again.
	NotHome Verdict = "not-home"
)

// Outcome is the result of a claimed request.
type Outcome string

// The outcomes of a claimed request.
const (
	// OutcomeDone means that the upstream answered the request.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun means that nothing of the request reached an upstream. It
	// frees the key.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "unknown"
)

// Claim is one attempt to run a request with an idempotency key.
type Claim struct {
	Team string `json:"team"`
	Key  string `json:"key"`
	// Request is the id that the entry which received the request gave it.
	Request string `json:"request"`
	// Digest is a hash of the request's content.
	Digest string `json:"digest,omitempty"`
}

// Event is one record of the claims stream.
type Event struct {
	Claim Claim `json:"claim"`
	// Outcome is empty in an event that claims the key, and set in one that
	// settles the claim.
	Outcome Outcome `json:"outcome,omitempty"`
	// Status is the HTTP status of the response if the outcome is OutcomeDone.
	Status int `json:"status,omitempty"`
	// FromMemory marks a claim that was granted while the log was down. Its
	// request may have run, so it takes the key even from a claim that precedes
	// it on the stream, unless that one is done.
	FromMemory bool `json:"from-memory,omitempty"`
}

// Table holds the state of each key after applying the claims stream, and the
// claims that this entry granted from memory. The zero value is empty and keeps
// keys for DefaultWindow. It is safe for concurrent use.
type Table struct {
	// Window is how long a key is kept after its last event.
	Window time.Duration

	mu sync.Mutex
	// The fields below are guarded by mu.
	claims map[claimKey]*claimState
	// expiries lists the keys in the order of their events.
	expiries []expiry
	// unlogged is the number of claims that are not on the stream yet.
	unlogged int
}

// DefaultWindow is the Window of a Table that sets none.
const DefaultWindow = 10 * time.Minute

type claimKey struct {
	team, key string
}

type claimState struct {
	claim   Claim
	outcome Outcome
	status  int
	// lastEvent is when the key was last claimed or settled.
	lastEvent time.Time
	// unlogged is set while the claim, or its outcome, is not on the stream yet.
	unlogged bool
	// epoch is the epoch of the view in which an unlogged claim was granted.
	epoch uint64
	// flushing is set once an append of the unlogged claim may have begun.
	flushing bool
	// released holds the requests of the key that were settled as not run. A
	// duplicate of one of their claims that arrives later must not take the key.
	released []string
}

type expiry struct {
	claimKey claimKey
	at       time.Time
}

// Answer is the response to a claim.
type Answer struct {
	Verdict Verdict
	// Status is the HTTP status of the first response if the verdict is Done.
	Status int
}

// Apply applies an event that was read from the stream. A claim of a key that is
// already claimed changes nothing, except for one granted from memory. A settlement
// of a request that doesn't hold the key changes nothing either.
func (t *Table) Apply(e Event, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := claimKey{e.Claim.Team, e.Claim.Key}
	state := t.claims[k]
	if state != nil && state.unlogged && state.claim.Request == e.Claim.Request && state.outcome == e.Outcome {
		state.unlogged = false
		t.unlogged--
	}
	if e.Outcome != "" {
		t.settle(k, e, now)
		return
	}
	if state != nil && slices.Contains(state.released, e.Claim.Request) {
		return
	}
	isFree := state == nil || state.outcome == OutcomeNotRun
	overrides := e.FromMemory && state != nil && state.outcome != OutcomeDone && state.claim.Request != e.Claim.Request
	if isFree || overrides {
		t.store(k, &claimState{claim: e.Claim, lastEvent: now})
	}
}

// settleInMemory settles a claim that exists only in memory and that no append has
// begun to write. It reports whether there was such a claim.
func (t *Table) settleInMemory(e Event, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := claimKey{e.Claim.Team, e.Claim.Key}
	state := t.claims[k]
	if state == nil || !state.unlogged || state.flushing || state.claim.Request != e.Claim.Request {
		return false
	}
	t.settle(k, e, now)
	if state.outcome == OutcomeNotRun {
		// The request never ran and no other entry has seen its claim, so nothing
		// has to be appended.
		state.unlogged = false
		t.unlogged--
	}
	return true
}

// settle records the outcome of the request that holds the key. The caller holds
// mu.
func (t *Table) settle(k claimKey, e Event, now time.Time) {
	state := t.claims[k]
	if state == nil || state.claim.Request != e.Claim.Request || state.outcome == OutcomeDone {
		return
	}
	state.outcome = e.Outcome
	state.status = e.Status
	if e.Outcome == OutcomeNotRun {
		state.released = append(state.released, e.Claim.Request)
	}
	state.lastEvent = now
	t.expiries = append(t.expiries, expiry{claimKey: k, at: now})
}

// store replaces the state of a key and keeps its released requests. The caller
// holds mu.
func (t *Table) store(k claimKey, state *claimState) {
	if t.claims == nil {
		t.claims = make(map[claimKey]*claimState)
	}
	if old := t.claims[k]; old != nil {
		state.released = old.released
		if old.unlogged {
			t.unlogged--
		}
	}
	t.claims[k] = state
	t.expiries = append(t.expiries, expiry{claimKey: k, at: state.lastEvent})
}

// Lookup returns the answer that the table holds for the claim: Granted if the claim
// already holds its key. If the key is free, ok is false.
func (t *Table) Lookup(c Claim) (a Answer, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.claims[claimKey{c.Team, c.Key}]
	if state == nil || state.outcome == OutcomeNotRun {
		return Answer{}, false
	}
	switch {
	case state.claim.Request == c.Request && state.outcome == "":
		return Answer{Verdict: Granted}, true
	case state.claim.Digest != c.Digest:
		return Answer{Verdict: Mismatch}, true
	case state.outcome == OutcomeDone:
		return Answer{Verdict: Done, Status: state.status}, true
	case state.outcome == OutcomeUnknown:
		return Answer{Verdict: Unknown}, true
	default:
		return Answer{Verdict: Running}, true
	}
}

// GrantInMemory claims the key in memory only, in the view of epoch, and reports whether the
// key was free.
func (t *Table) GrantInMemory(c Claim, epoch uint64, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := claimKey{c.Team, c.Key}
	old := t.claims[k]
	if old != nil && old.outcome != OutcomeNotRun {
		return false
	}
	t.store(k, &claimState{claim: c, lastEvent: now, unlogged: true, epoch: epoch})
	t.unlogged++
	return true
}

// Unlogged returns the number of claims granted from memory that are not on the
// stream yet.
func (t *Table) Unlogged() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.unlogged
}

// UnloggedBefore returns the number of unlogged claims that were granted before the
// view of epoch.
func (t *Table) UnloggedBefore(epoch uint64) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.unlogged == 0 {
		return 0
	}
	n := 0
	for _, state := range t.claims {
		if state.unlogged && state.epoch < epoch {
			n++
		}
	}
	return n
}

// Expire drops the keys whose last event is older than the window. Unlogged claims
// are kept.
func (t *Table) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	window := t.Window
	if window == 0 {
		window = DefaultWindow
	}
	n := 0
	for ; n < len(t.expiries) && now.Sub(t.expiries[n].at) > window; n++ {
		k := t.expiries[n].claimKey
		if state := t.claims[k]; state != nil && now.Sub(state.lastEvent) > window && !state.unlogged {
			delete(t.claims, k)
		}
	}
	t.expiries = t.expiries[n:]
}

// Len returns the number of keys in the table.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.claims)
}

// KeyTime returns the creation time of an idempotency key that is a UUID of version
// 7, and false for any other key.
func KeyTime(key string) (time.Time, bool) {
	u, err := uuid.Parse(key)
	if err != nil || u.Version() != 7 {
		return time.Time{}, false
	}
	sec, nsec := u.Time().UnixTime()
	return time.Unix(sec, nsec), true
}
