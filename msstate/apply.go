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

// Outcome is what became of a record.
type Outcome struct {
	// Version is the record's offset plus one.
	Version uint64 `json:"version"`
	// Accepted is false where the record is void.
	Accepted bool `json:"accepted"`
	// Reason says why a void record is void.
	Reason string `json:"reason,omitempty"`
	// Change is the record's data, where it could be read.
	Change Change `json:"change"`
}

// Error is a failure to fold the stream at all, as opposed to a void record.
type Error struct {
	Op     string
	Offset uint64
	Reason string
}

// Error returns what failed, at which offset and why.
func (e *Error) Error() string {
	return fmt.Sprintf("state: %s at offset %d: %s", e.Op, e.Offset, e.Reason)
}

// void is the reason that a record changes nothing. Empty means accepted.
type void string

const accepted void = ""

// Apply folds the next record into s. The error is not nil only where r is not
// the record at s.Next; s is unchanged then.
func (s *State) Apply(r mslog.Record) (Outcome, error) {
	if r.Offset != s.Next {
		return Outcome{}, &Error{Op: "apply", Offset: r.Offset, Reason: "expected offset " + strconv.FormatUint(s.Next, 10)}
	}
	out := Outcome{Version: r.Offset + 1}
	var reason void
	switch err := json.Unmarshal(r.Data, &out.Change); {
	case err != nil:
		reason = void("not a change: " + err.Error())
	case s.seen(r.ID):
		reason = "duplicate of an earlier record"
	default:
		reason = s.change(out.Change, r)
	}
	s.remember(r.ID, r.Offset)
	s.Next = r.Offset + 1
	out.Accepted = reason == accepted
	out.Reason = string(reason)
	return out, nil
}

func (s *State) change(c Change, r mslog.Record) void {
	version, at := r.Offset+1, r.Time
	switch c.Kind {
	case KindRulesPublish:
		return s.publish(c, version)
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
	case KindSnapshot:
		s.SnapshotAt = version
		s.SnapshotTime = at
		return accepted
	}
	switch {
	case strings.HasPrefix(string(c.Kind), prefixVM):
		return s.moveVM(c, r)
	case strings.HasPrefix(string(c.Kind), prefixWave):
		return s.changeWave(c, r)
	}
	return void("unknown kind " + string(c.Kind))
}

func (s *State) publish(c Change, version uint64) void {
	var p RulesPublish
	if err := json.Unmarshal(c.Body, &p); err != nil {
		return void("body: " + err.Error())
	}
	if c.Base != s.RulesVersion {
		return stale(c.Base, s.RulesVersion)
	}
	if err := msrule.Check(p.Rules); err != nil {
		return void("rules: " + err.Error())
	}
	for _, k := range p.Rules.Keys {
		if s.isWithdrawn(k) {
			return void("key " + k.ID + " was withdrawn and can't come back")
		}
	}
	s.withdrawMissing(p.Rules.Keys, version)
	s.Rules = p.Rules
	s.RulesVersion = version
	s.assignVMs(version)
	s.resize(version)
	return accepted
}

// withdrawMissing ends the keys that the new rules no longer list.
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

func (s *State) giveKey(c Change, version uint64) void {
	var g KeyGive
	if err := json.Unmarshal(c.Body, &g); err != nil {
		return void("body: " + err.Error())
	}
	if s.isWithdrawn(g.Key) {
		return void("key " + g.Key.ID + " was withdrawn and can't come back")
	}
	if reason := s.checkKey(g.Key); reason != accepted {
		return reason
	}
	s.Rules.Keys = append(slices.Clone(s.Rules.Keys), g.Key)
	s.RulesVersion = version
	return accepted
}

// checkKey checks a new key against the rules, which are sound without it.
func (s *State) checkKey(k msrule.Key) void {
	for _, old := range s.Rules.Keys {
		if old.ID == k.ID || old.Digest == k.Digest {
			return void("rules: key " + old.ID + " has the same id or digest")
		}
	}
	var alone msrule.Set
	for _, t := range s.Rules.Teams {
		if t.Name == k.Team {
			alone.Teams = []msrule.Team{t}
		}
	}
	alone.Keys = []msrule.Key{k}
	if err := msrule.Check(alone); err != nil {
		return void("rules: " + err.Error())
	}
	return accepted
}

// withdrawKey never looks at the base: to end a key is right on any version.
func (s *State) withdrawKey(c Change, version uint64) void {
	var w KeyWithdraw
	if err := json.Unmarshal(c.Body, &w); err != nil {
		return void("body: " + err.Error())
	}
	i := slices.IndexFunc(s.Rules.Keys, func(k msrule.Key) bool { return k.ID == w.ID })
	if i < 0 {
		return void("no key " + w.ID)
	}
	k := s.Rules.Keys[i]
	s.Rules.Keys = slices.Delete(slices.Clone(s.Rules.Keys), i, i+1)
	s.Withdrawn = append(s.Withdrawn, WithdrawnKey{ID: k.ID, Digest: k.Digest, Version: version})
	s.RulesVersion = version
	return accepted
}

// resize sets the total of each counted resource from the rules, and the
// version of those that changed.
func (s *State) resize(version uint64) {
	slots := make(map[string]int, len(s.Rules.Pools))
	for _, p := range s.Rules.Pools {
		slots[p.Name] = p.Slots
	}
	totals := make([]Total, 0, len(s.Rules.Teams)+len(s.Ownership.VMs))
	for vm, h := range s.Ownership.VMs {
		if h.Phase != mspool.Retired {
			totals = append(totals, s.total(SlotResource(vm), slots[h.Pool], version))
		}
	}
	for _, t := range s.Rules.Teams {
		totals = append(totals, s.total(TeamResource(t.Name), t.Limit, version))
	}
	sort.Slice(totals, func(i, j int) bool { return totals[i].Resource < totals[j].Resource })
	s.Totals = totals
}

func (s *State) total(resource string, n int, version uint64) Total {
	i, found := slices.BinarySearchFunc(s.Totals, resource, func(t Total, r string) int {
		return strings.Compare(t.Resource, r)
	})
	if found && s.Totals[i].N == n {
		return s.Totals[i]
	}
	return Total{Resource: resource, N: n, Version: version}
}

func stale(base, present uint64) void {
	return void(fmt.Sprintf("decided on version %d, but version %d is in force", base, present))
}

func (s *State) seen(id string) bool {
	return slices.ContainsFunc(s.Seen, func(x SeenID) bool { return x.ID == id })
}

func (s *State) remember(id string, offset uint64) {
	s.Seen = append(s.Seen, SeenID{ID: id, Offset: offset})
	if len(s.Seen) > SeenWindow {
		s.Seen = s.Seen[len(s.Seen)-SeenWindow:]
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
