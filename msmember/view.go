// Package msmember tracks what one entry knows about the other members of the view.
//
// An entry may start work only while it is fresh: while it has a proof, no older
// than a lease, that it had applied every change accepted until then. Three things
// prove it. The entry itself read the log to its end. Or a peer did, and the entry
// has applied as many records as that peer. Or every member of the view was heard
// and neither they nor the entry can read the log (an outage), so that no entry can
// have acted on a change. A proof dates from the start of the read or from the time
// at which the peer was asked, never from the answer.
//
// The same data gives the failure detector: the members that have been silent for
// long enough to be excluded from the view.
package msmember

import (
	"slices"
	"sync"
	"time"

	"marjoramspan/msstate"
)

// View holds the last status of each peer and the entry's own proofs of
// freshness. The zero value has heard from no peer. It is safe for concurrent
// use, and never takes another lock while it holds its own.
type View struct {
	// Self is the member id of this entry.
	Self string
	// Lease is how long a proof of freshness lasts.
	Lease time.Duration
	// CutOffAfter is how old the entry's own last read to the end of the log may be
	// before the entry counts as cut off from the log.
	CutOffAfter time.Duration
	// ExcludeAfter is how long a member must be silent before it is excluded from
	// the view.
	ExcludeAfter time.Duration

	mu sync.Mutex
	// The fields below are guarded by mu.
	members []string
	// next is the offset of the first record that the entry has not applied.
	next uint64
	// joinedEpoch is the version of the record that added this entry to the view.
	joinedEpoch uint64
	// provenAt is the latest time for which it is proved that the entry has applied
	// every change accepted until then.
	provenAt time.Time
	// pending holds proofs whose records the entry has not all applied yet.
	pending []endProof
	// lastOwnRead is when the entry's own last read to the end of the log began.
	lastOwnRead time.Time
	// lastCutOff is the last time at which the entry was found to be cut off.
	lastCutOff time.Time
	peers      map[string]*peer
}

// endProof states that at the time at, the end of the log was at most offset next.
type endProof struct {
	at   time.Time
	next uint64
}

type peer struct {
	// askedAt is when the request was sent that status answers.
	askedAt time.Time
	// heardAt is when a response of the peer last arrived.
	heardAt time.Time
	// refusedAt is when a connection to the peer was last refused.
	refusedAt time.Time
	// trackedSince is when the entry first knew of the peer.
	trackedSince time.Time
	status       Status
	// loggedEpoch is the epoch in which the member reported that all its claims
	// of earlier views are on the log.
	loggedEpoch uint64
}

// Status is what an entry reports about itself to its peers.
type Status struct {
	Member string
	Epoch  uint64
	// Next is the offset of the first record that the entry has not applied.
	Next uint64
	// ProofAge is the age of the entry's last proof of freshness; it counts only
	// if HasProof is set.
	ProofAge time.Duration
	HasProof bool
	// CutOff is set while the entry can't read the log.
	CutOff bool
	// Unlogged counts the claims and settlements that are not on the log yet, and
	// UnloggedOld those of the claims that were granted in an earlier view.
	Unlogged    int
	UnloggedOld int
	// HeardMembers lists the members that answered the entry within ExcludeAfter.
	HeardMembers []string
}

// Start sets the time before which the entry counts as cut off from the log.
func (v *View) Start(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lastCutOff = now
}

// SetState takes over the members and the offset of a state that the entry has
// applied.
func (v *View) SetState(s *msstate.State, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.next = s.Next
	v.members = v.members[:0]
	for _, m := range s.Members {
		v.members = append(v.members, m.ID)
		if m.ID == v.Self {
			v.joinedEpoch = m.Since
		}
		v.peer(m.ID, now)
	}
	for id := range v.peers {
		gone := !slices.Contains(v.members, id)
		if gone && now.Sub(v.peers[id].heardAt) > peerRetention {
			delete(v.peers, id)
		}
	}
	v.applyPending()
}

// peer returns the record of a member and creates it if there is none. The caller
// holds mu.
func (v *View) peer(id string, now time.Time) *peer {
	if v.peers == nil {
		v.peers = make(map[string]*peer)
	}
	p := v.peers[id]
	if p == nil {
		p = &peer{trackedSince: now}
		v.peers[id] = p
	}
	return p
}

// RecordLogRead records that a read of the log that began at start found the end of the
// log at offset next.
func (v *View) RecordLogRead(start time.Time, next uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.cutOffLocked(start)
	if start.After(v.lastOwnRead) {
		v.lastOwnRead = start
	}
	v.addProof(endProof{at: start, next: next})
}

// addProof stores a proof, which counts once the entry has applied all records
// before its offset. If too many are pending, the oldest is dropped.
func (v *View) addProof(p endProof) {
	if !p.at.After(v.provenAt) {
		return
	}
	v.pending = append(v.pending, p)
	if len(v.pending) > maxPendingProofs {
		v.pending = v.pending[1:]
	}
	v.applyPending()
}

// peerRetention is how long the last status of a former member is kept, so that
// Clean can still decide whether its claims are all on the log.
const peerRetention = 10 * time.Minute

// maxPendingProofs limits the proofs that wait until the entry has applied their
// records.
const maxPendingProofs = 16

// applyPending advances provenAt by the proofs whose records the entry has applied
// and keeps the others.
func (v *View) applyPending() {
	kept := v.pending[:0]
	for _, p := range v.pending {
		if p.next > v.next {
			kept = append(kept, p)
			continue
		}
		if p.at.After(v.provenAt) {
			v.provenAt = p.at
		}
	}
	v.pending = kept
}

// RecordStatus records the status st that a peer returned for a request sent at askedAt.
// It returns the peer's offset if the peer has applied more records than this
// entry, and 0 otherwise.
func (v *View) RecordStatus(st Status, askedAt, now time.Time) uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !slices.Contains(v.members, st.Member) {
		return v.offsetIfAhead(st)
	}
	p := v.peer(st.Member, now)
	if askedAt.After(p.askedAt) {
		p.askedAt = askedAt
		p.status = st
		if st.UnloggedOld == 0 {
			p.loggedEpoch = st.Epoch
		}
	}
	p.heardAt = now
	if st.HasProof {
		v.addProof(endProof{at: askedAt.Add(-st.ProofAge), next: st.Next})
	}
	return v.offsetIfAhead(st)
}

// offsetIfAhead returns the offset of st if it is beyond that of this entry, and 0
// otherwise.
func (v *View) offsetIfAhead(st Status) uint64 {
	if st.Next > v.next {
		return st.Next
	}
	return 0
}

// RecordRefused records that a connection to the member was refused. Its VM is up, but
// no process listens at the address, so the member's process has ended.
func (v *View) RecordRefused(member string, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if p := v.peers[member]; p != nil {
		p.refusedAt = now
	}
}

// IsCutOff reports whether the entry itself can't read the log.
func (v *View) IsCutOff(now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.cutOffLocked(now)
}

// cutOffLocked is IsCutOff for callers that hold mu. It also records the time if the
// entry is cut off.
func (v *View) cutOffLocked(now time.Time) bool {
	if now.Sub(v.lastOwnRead) <= v.CutOffAfter {
		return false
	}
	if now.After(v.lastCutOff) {
		v.lastCutOff = now
	}
	return true
}

// LastOwnRead returns the time at which the entry's own last read to the end of the
// log began.
func (v *View) LastOwnRead() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.lastOwnRead
}

// Fresh reports whether the entry may start work. If not, it also returns how long
// ago the lease ended, or 0 if the entry is not in the view.
func (v *View) Fresh(now time.Time) (bool, time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !slices.Contains(v.members, v.Self) {
		return false, 0
	}
	at := v.provenAt
	if outageAt, ok := v.outageProvenAt(now); ok && outageAt.After(at) {
		at = outageAt
	}
	age := now.Sub(at)
	return age <= v.Lease, age - v.Lease
}

// Outage reports whether the entry has a proof, no older than a lease, that no
// member of the view can read the log.
func (v *View) Outage(now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	at, ok := v.outageProvenAt(now)
	return ok && now.Sub(at) <= v.Lease
}

// outageProvenAt reports whether it is proved that no member can read the log, and
// returns the time of the oldest status or refused connection that the proof rests
// on. A member that has applied more records than this entry rules out the proof.
func (v *View) outageProvenAt(now time.Time) (time.Time, bool) {
	if !v.cutOffLocked(now) {
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
		statedAt := p.askedAt
		switch {
		case p.refusedAt.After(p.heardAt):
			statedAt = p.refusedAt
		case p.askedAt.IsZero() || !p.status.CutOff || p.status.Next > v.next:
			return time.Time{}, false
		}
		if statedAt.Before(at) {
			at = statedAt
		}
	}
	return at, true
}

// Status returns the entry's own status at now. The caller fills in the epoch and
// the counts of unlogged claims.
func (v *View) Status(now time.Time) Status {
	v.mu.Lock()
	defer v.mu.Unlock()
	st := Status{Member: v.Self, Next: v.next, HasProof: !v.provenAt.IsZero(), ProofAge: now.Sub(v.provenAt), CutOff: v.cutOffLocked(now)}
	for _, id := range v.members {
		if p := v.peers[id]; id != v.Self && now.Sub(p.heardAt) <= v.ExcludeAfter {
			st.HeardMembers = append(st.HeardMembers, id)
		}
	}
	return st
}

// SilentMembers returns the members that have not been heard for ExcludeAfter, neither by
// this entry nor by any peer that it hears. It returns none if the entry can't read
// the log itself, for such an entry must not exclude others.
func (v *View) SilentMembers(now time.Time) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cutOffLocked(now) {
		return nil
	}
	var silent []string
	for _, id := range v.members {
		if id != v.Self && v.isSilent(id, now) {
			silent = append(silent, id)
		}
	}
	return silent
}

// isSilent reports whether neither this entry nor any peer that it hears has heard
// the member id for ExcludeAfter. The caller holds mu.
func (v *View) isSilent(id string, now time.Time) bool {
	p := v.peers[id]
	if p == nil || now.Sub(p.trackedSince) <= v.ExcludeAfter || now.Sub(p.heardAt) <= v.ExcludeAfter {
		return false
	}
	for reporterID, reporter := range v.peers {
		reachable := reporterID != id && now.Sub(reporter.heardAt) <= v.ExcludeAfter
		if reachable && slices.Contains(reporter.status.HeardMembers, id) {
			return false
		}
	}
	return true
}

// AllClaimsLogged reports whether every claim that a lost member can have granted is on the
// log. Its last status must show no unlogged claim, and this entry must have read
// the log without a break since a lease before that status was asked for. Claims
// bypass the log only in an outage, and no member can prove one in a view that
// contains an entry that reads the log.
func (v *View) AllClaimsLogged(id string, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	p := v.peers[id]
	if p == nil || p.askedAt.IsZero() || v.cutOffLocked(now) {
		return false
	}
	if p.status.Epoch < v.joinedEpoch {
		// In a view without this entry the member can have proved an outage even
		// though this entry read the log.
		return false
	}
	return p.status.Unlogged == 0 && v.lastCutOff.Add(v.Lease).Before(p.askedAt)
}

// PeersAtEpoch reports whether the last status of every other member was of the view of
// epoch.
func (v *View) PeersAtEpoch(epoch uint64) bool {
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

// PeersLogged reports whether every other member has stated, in the view of epoch, that
// all its claims of earlier views are on the log. Claims of the present view need no
// such check, because within one view each key has only one home.
func (v *View) PeersLogged(epoch uint64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, id := range v.members {
		if id == v.Self {
			continue
		}
		if p := v.peers[id]; p == nil || p.loggedEpoch != epoch {
			return false
		}
	}
	return true
}
