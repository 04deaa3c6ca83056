// Package msrequest keeps a request that is not idempotent from running twice.
//
// The caller names such a request by an idempotency key. Before the request may
// leave for an upstream it is claimed: a record with the key goes onto the
// claims stream of the platform's log, and the claim is granted only to the
// first record of its key in the order of the stream. Every entry folds that
// stream into a Table. All claims of one key are brought to one entry, the
// key's home, which groups them into few appends.
//
// While the log is down for every entry nobody can append, and the view can't
// change either. The home then grants claims from memory and appends them when
// the log returns. A home that took over from one that was lost can't know such
// claims; it answers unknown for every key that may be older than itself.
package msrequest

import (
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
)

// Verdict is the home's answer to a claim.
type Verdict string

// The verdicts.
const (
	// Granted lets the request run, this once.
	Granted Verdict = "granted"
	// Running says that another request with this key is under way.
	Running Verdict = "running"
	// Done says that a request with this key has run to its end.
	Done Verdict = "done"
	// Unknown says that a request with this key may have run.
	Unknown Verdict = "unknown"
	// Mismatch says that the key was used for a request that asked for something else.
	Mismatch Verdict = "mismatch"
	// NotHome says that the entry asked can't grant the key at present.
	NotHome Verdict = "not-home"
)

// Outcome is what became of a claimed request.
type Outcome string

// The outcomes.
const (
	// OutcomeDone is a request that was answered by its upstream.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun is a request of which nothing reached an upstream.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown is a request that may have run.
	OutcomeUnknown Outcome = "unknown"
)

// Claim is one try to run a keyed request.
type Claim struct {
	Team string `json:"team"`
	Key  string `json:"key"`
	// Request is the id of the caller's request at the entry that took it.
	Request string `json:"request"`
	// Digest is a hash of what the request asks for.
	Digest string `json:"digest,omitempty"`
}

// Event is one record of the claims stream.
type Event struct {
	Claim Claim `json:"claim"`
	// Outcome is empty where the event claims the key, and else settles it.
	Outcome Outcome `json:"outcome,omitempty"`
	// Status is the HTTP status of the answer, where the outcome is done.
	Status int `json:"status,omitempty"`
	// FromMemory marks a claim that was granted while the log was down. It holds
	// the key whatever stands before it on the stream, for it may have run.
	FromMemory bool `json:"from-memory,omitempty"`
}

// Table is the fold of the claims stream, with the claims of this entry that
// have not reached the stream. The zero value is empty and keeps claims for
// DefaultWindow. It is safe for concurrent use.
type Table struct {
	// Window is how long a key is kept after its last event.
	Window time.Duration

	mu sync.Mutex
	// The rest is guarded by mu.
	claims   map[claimKey]*claimState
	expiries    []expiry
	unlogged int
}

// DefaultWindow is how long a key is kept where no other time is set.
const DefaultWindow = 10 * time.Minute

type claimKey struct {
	team, key string
}

type claimState struct {
	claim    Claim
	outcome  Outcome
	status   int
	lastEvent     time.Time
	unlogged bool
	// epoch is the view in which an unlogged claim was granted.
	epoch uint64
	// flushing says that an unlogged claim may be on its way to the stream.
	flushing bool
	// released holds the requests of the key that were settled as not run. A late
	// copy of their claim takes nothing.
	released []string
}

type expiry struct {
	claimKey claimKey
	at time.Time
}

// Answer is a verdict with what belongs to it.
type Answer struct {
	Verdict Verdict
	// Status is the HTTP status of the first answer, where the verdict is Done.
	Status int
}

// Apply folds an event that was read from the stream. A claim of a key that is
// already claimed changes nothing, and neither does a late settlement of a
// request that doesn't hold the key.
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

// settleInMemory settles a claim that is not on its way to the stream, and reports
// whether there is one.
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
		// It never ran, and nobody else has heard of it.
		state.unlogged = false
		t.unlogged--
	}
	return true
}

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

// Look says what is known of the claim's key: Granted where the claim holds it
// already, and ok is false where nothing bars a new claim.
func (t *Table) Look(c Claim) (a Answer, ok bool) {
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

// Hold claims the key in memory alone, in the view of epoch, and reports whether
// it was free.
func (t *Table) Hold(c Claim, epoch uint64, now time.Time) bool {
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

// Unlogged returns how many claims the entry holds that have not reached the
// stream.
func (t *Table) Unlogged() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.unlogged
}

// UnloggedBefore returns how many of those were granted before the view of epoch.
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

// Expire drops the keys whose last event is older than the window.
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

// Len returns how many keys the table holds.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.claims)
}

// KeyTime returns when an idempotency key was made, where the key is a UUID of
// version 7, and false for every other key.
func KeyTime(key string) (time.Time, bool) {
	u, err := uuid.Parse(key)
	if err != nil || u.Version() != 7 {
		return time.Time{}, false
	}
	sec, nsec := u.Time().UnixTime()
	return time.Unix(sec, nsec), true
}
