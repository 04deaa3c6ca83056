package msstate

import (
	"encoding/json"
	"fmt"
	"slices"
	"sort"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"marjoramspan/mslog"
	"marjoramspan/mspool"
	"marjoramspan/msrule"
)

// Outcome is the result of applying a record.
type Outcome struct {
	// Version is the record's offset plus one.
	Version uint64 `json:"version"`
	// Accepted is false where the record is void.
	Accepted bool `json:"accepted"`
	// Reason says why a void record is void.
	Reason string `json:"reason,omitempty"`
	// Change is the record's data, where it could be decoded.
	Change Change `json:"change"`
}

// Error reports that records cannot be applied, as opposed to a void record.
type Error struct {
	Op     string
	Offset uint64
	Reason string
}

// Error names the operation, the offset and the reason.
func (e *Error) Error() string {
	return fmt.Sprintf("state: %s at offset %d: %s", e.Op, e.Offset, e.Reason)
}

// voidReason is the reason why a record changes nothing. Empty means accepted.
type voidReason string

const accepted voidReason = ""

// Apply applies the next record to s. It returns an error only where r is not the
// record at s.Next; s is unchanged then. A void record is no error and changes
// only Next and Seen.
func (s *State) Apply(r mslog.Record) (Outcome, error) {
	if r.Offset != s.Next {
		return Outcome{}, &Error{Op: "apply", Offset: r.Offset, Reason: "expected offset " + strconv.FormatUint(s.Next, 10)}
	}
	out := Outcome{Version: r.Offset + 1}
	var reason voidReason
	switch err := json.Unmarshal(r.Data, &out.Change); {
	case err != nil:
		reason = voidReason("invalid change: " + err.Error())
	case s.isDuplicate(r.ID):
		reason = "duplicate of an earlier record"
	default:
		reason = s.applyChange(out.Change, r)
	}
	s.addSeen(r.ID, r.Offset)
	s.Next = r.Offset + 1
	out.Accepted = reason == accepted
	out.Reason = string(reason)
	return out, nil
}

func (s *State) applyChange(c Change, r mslog.Record) voidReason {
	version, at := r.Offset+1, r.Time
	switch c.Kind {
	case KindRulesPublish:
		return s.publishRules(c, version)
	case KindKeyGive:
		return s.giveKey(c, version)
	case KindKeyWithdraw:
		return s.withdrawKey(c, version)
	case KindMemberJoin:
		return s.join(c, version, at)
	case KindMemberLeave:
		return s.leave(c, version)
	case KindMemberExclude:
		return s.exclude(c, version, at)
	case KindMemberSettle:
		return s.settle(c)
	case KindMemberVouch:
		return s.vouch(c)
	case KindZoneEvacuate, KindZoneRelease:
		return s.applyZoneRecord(c, r)
	case KindSnapshot:
		s.SnapshotAt = version
		s.SnapshotTime = at
		return accepted
	}
	switch {
	case strings.HasPrefix(string(c.Kind), prefixVM):
		return s.applyVMRecord(c, r)
	case strings.HasPrefix(string(c.Kind), prefixWave):
		return s.applyWaveRecord(c, r)
	}
	return voidReason("unknown kind " + string(c.Kind))
}

func (s *State) publishRules(c Change, version uint64) voidReason {
	var body RulesPublish
	if err := json.Unmarshal(c.Body, &body); err != nil {
		return voidReason("invalid body: " + err.Error())
	}
	if c.Base != s.RulesVersion {
		return staleBase(c.Base, s.RulesVersion)
	}
	if err := msrule.Check(body.Rules); err != nil {
		return voidReason("rules: " + err.Error())
	}
	for _, k := range body.Rules.Keys {
		if s.isWithdrawn(k) {
			return voidReason("key " + k.ID + " was withdrawn and cannot be added again")
		}
	}
	s.withdrawMissing(body.Rules.Keys, version)
	s.Rules = body.Rules
	s.RulesVersion = version
	s.assignVMs(version)
	s.updateTotals(version)
	return accepted
}

// withdrawMissing withdraws the keys that the new rules no longer list.
func (s *State) withdrawMissing(keys []msrule.Key, version uint64) {
	for _, old := range s.Rules.Keys {
		same := func(k msrule.Key) bool { return k.ID == old.ID && k.Digest == old.Digest }
		if !slices.ContainsFunc(keys, same) {
			s.Withdrawn = append(s.Withdrawn, WithdrawnKey{ID: old.ID, Digest: old.Digest, Version: version})
		}
	}
}

func (s *State) isWithdrawn(k msrule.Key) bool {
	return slices.ContainsFunc(s.Withdrawn, func(w WithdrawnKey) bool {
		return w.ID == k.ID || w.Digest == k.Digest
	})
}

func (s *State) giveKey(c Change, version uint64) voidReason {
	var body KeyGive
	if err := json.Unmarshal(c.Body, &body); err != nil {
		return voidReason("invalid body: " + err.Error())
	}
	if s.isWithdrawn(body.Key) {
		return voidReason("key " + body.Key.ID + " was withdrawn and cannot be added again")
	}
	if reason := s.checkKey(body.Key); reason != accepted {
		return reason
	}
	s.Rules.Keys = append(slices.Clone(s.Rules.Keys), body.Key)
	s.RulesVersion = version
	return accepted
}

// checkKey checks a new key against the rules, which are valid without it.
func (s *State) checkKey(k msrule.Key) voidReason {
	for _, old := range s.Rules.Keys {
		if old.ID == k.ID || old.Digest == k.Digest {
			return voidReason("rules: key " + old.ID + " has the same id or digest")
		}
	}
	var minimal msrule.Set
	for _, t := range s.Rules.Teams {
		if t.Name == k.Team {
			minimal.Teams = []msrule.Team{t}
		}
	}
	minimal.Keys = []msrule.Key{k}
	if err := msrule.Check(minimal); err != nil {
		return voidReason("rules: " + err.Error())
	}
	return accepted
}

// withdrawKey ignores the base: a key may be withdrawn on any version.
func (s *State) withdrawKey(c Change, version uint64) voidReason {
	var body KeyWithdraw
	if err := json.Unmarshal(c.Body, &body); err != nil {
		return voidReason("invalid body: " + err.Error())
	}
	i := slices.IndexFunc(s.Rules.Keys, func(k msrule.Key) bool { return k.ID == body.ID })
	if i < 0 {
		return voidReason("no such key " + body.ID)
	}
	k := s.Rules.Keys[i]
	s.Rules.Keys = slices.Delete(slices.Clone(s.Rules.Keys), i, i+1)
	s.Withdrawn = append(s.Withdrawn, WithdrawnKey{ID: k.ID, Digest: k.Digest, Version: version})
	s.RulesVersion = version
	return accepted
}

// updateTotals computes the total of each counted resource from the rules and the
// VMs, and sets the version of those that changed.
func (s *State) updateTotals(version uint64) {
	slots := make(map[string]int, len(s.Rules.Pools))
	for _, p := range s.Rules.Pools {
		slots[p.Name] = p.Slots
	}
	totals := make([]Total, 0, len(s.Rules.Teams)+len(s.Ownership.VMs))
	for vm, holding := range s.Ownership.VMs {
		if holding.Phase != mspool.Retired {
			totals = append(totals, s.totalOf(SlotResource(vm), slots[holding.Pool], version))
		}
	}
	for _, t := range s.Rules.Teams {
		totals = append(totals, s.totalOf(TeamResource(t.Name), t.Limit, version))
	}
	sort.Slice(totals, func(i, j int) bool { return totals[i].Resource < totals[j].Resource })
	s.Totals = totals
}

func (s *State) totalOf(resource string, n int, version uint64) Total {
	i, found := slices.BinarySearchFunc(s.Totals, resource, func(t Total, r string) int {
		return strings.Compare(t.Resource, r)
	})
	if found && s.Totals[i].N == n {
		return s.Totals[i]
	}
	return Total{Resource: resource, N: n, Version: version}
}

func staleBase(base, current uint64) voidReason {
	return voidReason(fmt.Sprintf("decided on version %d, but version %d is in force", base, current))
}

func (s *State) isDuplicate(id string) bool {
	return slices.ContainsFunc(s.Seen, func(seen SeenID) bool { return seen.ID == id })
}

func (s *State) addSeen(id string, offset uint64) {
	s.Seen = append(s.Seen, SeenID{ID: id, Offset: offset})
	if len(s.Seen) > DedupWindow {
		s.Seen = s.Seen[len(s.Seen)-DedupWindow:]
	}
}

// Checksum returns the xxhash of s as JSON, in hexadecimal.
func (s *State) Checksum() string {
	data, err := json.Marshal(s)
	if err != nil {
		panic(err)
	}
	return strconv.FormatUint(xxhash.Sum64(data), 16)
}
