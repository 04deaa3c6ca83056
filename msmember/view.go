// Package msmember decides what one entry may believe about the others.
//
// An entry may start work only while it is fresh: while it knows that no
// change can have been accepted, beyond a lease ago, that it has not folded.
// There are three ways to know. The entry itself read the log to its end; or a
// peer did, and the entry has folded as much as that peer; or every member of
// the view was heard and none of them, nor the entry, can read the log, so
// that nobody can have acted on a change. Freshness dates from the beginning
// of the read or of the question, never from its answer.
//
// The same table of what was heard says which member has been silent for so
// long that it should be excluded.
package msmember

import (
	"slices"
	"sync"
	"time"

	"marjoramspan/msstate"
)

// View is an entry's table of its peers. The zero value has heard nobody. It
// is safe for concurrent use; its lock is never held while another is taken.
type View struct {
	// Self is the id of this entry's member.
	Self string
	// Lease is how long a proof of freshness lasts.
	Lease time.Duration
	// CutAfter is how long without a proof of its own before the entry counts
	// itself as cut off from the log.
	CutAfter time.Duration
	// ExcludeAfter is how long a member must be silent before it is excluded.
	ExcludeAfter time.Duration

	mu sync.Mutex
	// The rest is guarded by mu.
	members []string
	next    uint64
	// since is the version of the record that added this entry.
	since uint64
	// proof is when the entry was last proved to know the whole log, own is
	// when it last read the log itself, and cutAt when it last could not.
	proof   time.Time
	pending []proof
	own     time.Time
	cutAt   time.Time
	peers   map[string]*peer
}

// proof says that the log ended at offset next, or before it, at the time at.
type proof struct {
	at   time.Time
	next uint64
}

type peer struct {
	asked   time.Time
	heard   time.Time
	refused time.Time
	since   time.Time
	status  Status
	// logged is the epoch in which the member said that no claim of an earlier
	// view is missing on the log.
	logged uint64
}

// Status is what one entry says of itself.
type Status struct {
	Member   string
	Epoch    uint64
	Next     uint64
	ProofAge time.Duration
	HasProof bool
	Cut      bool
	// Unlogged counts the claims and settlements that have not reached the log,
	// UnloggedOld the claims among them that were granted in an earlier view.
	Unlogged    int
	UnloggedOld int
	Hears       []string
}

// Start sets the time from which the entry has not been cut.
func (v *View) Start(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.cutAt = now
}

// SetState tells the view which members there are and how far the entry has
// folded the log.
func (v *View) SetState(s *msstate.State, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.next = s.Next
	v.members = v.members[:0]
	for _, m := range s.Members {
		v.members = append(v.members, m.ID)
		if m.ID == v.Self {
			v.since = m.Since
		}
		v.peer(m.ID, now)
	}
	for id := range v.peers {
		gone := !slices.Contains(v.members, id)
		if gone && now.Sub(v.peers[id].heard) > forgetAfter {
			delete(v.peers, id)
		}
	}
	v.redeem()
}

func (v *View) peer(id string, now time.Time) *peer {
	if v.peers == nil {
		v.peers = make(map[string]*peer)
	}
	p := v.peers[id]
	if p == nil {
		p = &peer{since: now}
		v.peers[id] = p
	}
	return p
}

// Proved records that a read of the log which began at start found its end at
// offset next.
func (v *View) Proved(start time.Time, next uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.cut(start)
	if start.After(v.own) {
		v.own = start
	}
	v.addProof(proof{at: start, next: next})
}

// addProof keeps a proof until the entry has folded as much as it speaks of.
func (v *View) addProof(p proof) {
	if !p.at.After(v.proof) {
		return
	}
	v.pending = append(v.pending, p)
	if len(v.pending) > maxPending {
		v.pending = v.pending[1:]
	}
	v.redeem()
}

// forgetAfter is how long a member that has gone is kept in mind, so that the
// entry can vouch for it.
const forgetAfter = 10 * time.Minute

// maxPending is how many proofs wait for the fold to catch up.
const maxPending = 16

func (v *View) redeem() {
	kept := v.pending[:0]
	for _, p := range v.pending {
		if p.next > v.next {
			kept = append(kept, p)
			continue
		}
		if p.at.After(v.proof) {
			v.proof = p.at
		}
	}
	v.pending = kept
}

// Heard records a peer's answer to a question asked at the time asked, and
// returns the offset up to which the peer has folded more than this entry, or 0.
func (v *View) Heard(st Status, asked, now time.Time) uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !slices.Contains(v.members, st.Member) {
		return v.ahead(st)
	}
	p := v.peer(st.Member, now)
	if asked.After(p.asked) {
		p.asked = asked
		p.status = st
		if st.UnloggedOld == 0 {
			p.logged = st.Epoch
		}
	}
	p.heard = now
	if st.HasProof {
		v.addProof(proof{at: asked.Add(-st.ProofAge), next: st.Next})
	}
	return v.ahead(st)
}

func (v *View) ahead(st Status) uint64 {
	if st.Next > v.next {
		return st.Next
	}
	return 0
}

// Refused records that the member's VM answered that no process listens at the
// member's address: the member's process has ended.
func (v *View) Refused(member string, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if p := v.peers[member]; p != nil {
		p.refused = now
	}
}

// Cut says whether the entry itself can't read the log.
func (v *View) Cut(now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.cut(now)
}

func (v *View) cut(now time.Time) bool {
	if now.Sub(v.own) <= v.CutAfter {
		return false
	}
	if now.After(v.cutAt) {
		v.cutAt = now
	}
	return true
}

// OwnProof returns when the entry's own last read to the end of the log began.
func (v *View) OwnProof() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.own
}

// Fresh says whether the entry may start work, and otherwise for how long it
// has not been fresh.
func (v *View) Fresh(now time.Time) (bool, time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !slices.Contains(v.members, v.Self) {
		return false, 0
	}
	at := v.proof
	if out, ok := v.outage(now); ok && out.After(at) {
		at = out
	}
	age := now.Sub(at)
	return age <= v.Lease, age - v.Lease
}

// Outage says whether the entry knows, within its lease, that no member of the
// view can read the log.
func (v *View) Outage(now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	at, ok := v.outage(now)
	return ok && now.Sub(at) <= v.Lease
}

// outage returns the time of the oldest statement that makes up the proof that
// no member reads the log.
func (v *View) outage(now time.Time) (time.Time, bool) {
	if !v.cut(now) {
		return time.Time{}, false
	}
	at := now
	for _, id := range v.members {
		if id == v.Self {
			continue
		}
		p := v.peers[id]
		if p == nil {
			return time.Time{}, false
		}
		said := p.asked
		switch {
		case p.refused.After(p.heard):
			said = p.refused
		case p.asked.IsZero() || !p.status.Cut || p.status.Next > v.next:
			return time.Time{}, false
		}
		if said.Before(at) {
			at = said
		}
	}
	return at, true
}

// Status returns what the entry says of itself at now.
func (v *View) Status(now time.Time) Status {
	v.mu.Lock()
	defer v.mu.Unlock()
	st := Status{Member: v.Self, Next: v.next, HasProof: !v.proof.IsZero(), ProofAge: now.Sub(v.proof), Cut: v.cut(now)}
	for _, id := range v.members {
		if p := v.peers[id]; id != v.Self && now.Sub(p.heard) <= v.ExcludeAfter {
			st.Hears = append(st.Hears, id)
		}
	}
	return st
}

// Silent returns the members that neither this entry nor any member that it
// hears has heard for ExcludeAfter. Only an entry that can read the log itself
// may act on it.
func (v *View) Silent(now time.Time) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cut(now) {
		return nil
	}
	var silent []string
	for _, id := range v.members {
		if id != v.Self && v.silent(id, now) {
			silent = append(silent, id)
		}
	}
	return silent
}

func (v *View) silent(id string, now time.Time) bool {
	p := v.peers[id]
	if p == nil || now.Sub(p.since) <= v.ExcludeAfter || now.Sub(p.heard) <= v.ExcludeAfter {
		return false
	}
	for other, q := range v.peers {
		heard := other != id && now.Sub(q.heard) <= v.ExcludeAfter
		if heard && slices.Contains(q.status.Hears, id) {
			return false
		}
	}
	return true
}

// Clean says whether a member that was lost can have granted no claim that is
// missing on the log: it had none when it was last heard, and from a lease before
// that on this entry, without which no outage could be proved in a view that it
// is in, has always read the log.
func (v *View) Clean(id string, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	p := v.peers[id]
	if p == nil || p.asked.IsZero() || v.cut(now) {
		return false
	}
	if p.status.Epoch < v.since {
		// It acted on a view without this entry, and needed nothing of it.
		return false
	}
	return p.status.Unlogged == 0 && v.cutAt.Add(v.Lease).Before(p.asked)
}

// Agreed says whether every other member has said that it acts on the view of
// epoch.
func (v *View) Agreed(epoch uint64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, id := range v.members {
		if id == v.Self {
			continue
		}
		if p := v.peers[id]; p == nil || p.status.Epoch != epoch {
			return false
		}
	}
	return true
}

// Logged says whether every other member has said, in the view of epoch, that
// none of its claims of an earlier view is missing on the log. Within one view
// each key has one home, so what others grant meanwhile doesn't matter.
func (v *View) Logged(epoch uint64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, id := range v.members {
		if id == v.Self {
			continue
		}
		if p := v.peers[id]; p == nil || p.logged != epoch {
			return false
		}
	}
	return true
}
