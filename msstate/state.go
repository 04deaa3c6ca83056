// Package msstate is the replicated state that every entry builds from the
// platform's log.
//
// Everything that must persist is a record on one stream. A State is the result
// of applying the records up to an offset in order. Apply is the only way to
// change it and depends on nothing but the record and the state before it, so any
// two readers of the stream hold the same state at the same offset. A record
// carries the version that its writer decided on. Where the state has changed
// since, or the record's id was seen before, the record is void: it changes
// nothing, for any reader, and its Outcome says why.
//
// A version is the offset of a record plus one, so that zero means "never".
package msstate

import (
	"maps"
	"slices"
	"sort"
	"time"

	"marjoramspan/mspool"
	"marjoramspan/msrule"
	"marjoramspan/mswave"
)

// DedupWindow is how many of the newest record ids are kept to detect duplicates.
const DedupWindow = 4096

// State is the result of applying the records through offset Next-1. The zero
// value is the state before the first record.
type State struct {
	// Next is the offset of the next record to apply.
	Next uint64 `json:"next"`
	// RulesVersion is the version of the last change of rules or keys.
	RulesVersion uint64     `json:"rules-version"`
	Rules        msrule.Set `json:"rules"`
	// Withdrawn holds every key that was withdrawn, in order of withdrawal.
	Withdrawn []WithdrawnKey `json:"withdrawn,omitempty"`
	// Totals holds the size of each counted resource, by name.
	Totals []Total `json:"totals,omitempty"`
	// Epoch is the version of the last change of Members.
	Epoch uint64 `json:"epoch"`
	// Members are the entries in the view, sorted by id.
	Members []Member `json:"members,omitempty"`
	// Lost are members that were excluded or replaced without leaving, and are not
	// settled yet.
	Lost []Member `json:"lost,omitempty"`
	// Unsure are lost members that may have granted claims that never reached the
	// log.
	Unsure []Unsure `json:"unsure,omitempty"`
	// Ownership holds the pool of each VM, and its moves.
	Ownership mspool.Ownership `json:"ownership"`
	// MoveTimes is the log time of the record that began each move in progress, by
	// VM.
	MoveTimes map[string]time.Time `json:"move-times,omitempty"`
	// Wave is the maintenance wave in progress, or the last one.
	Wave mswave.State `json:"wave"`
	// Evacuations has the evacuated data centres, by name. It is absent in the snapshots
	// of versions that know no evacuations.
	Evacuations map[string]Evacuation `json:"evacuations,omitempty"`
	// SnapshotAt is the version of the newest snapshot record.
	SnapshotAt uint64 `json:"snapshot-at,omitempty"`
	// SnapshotTime is the log time of that record.
	SnapshotTime time.Time `json:"snapshot-time,omitzero"`
	// Seen holds the ids of the newest DedupWindow records.
	Seen []SeenID `json:"seen,omitempty"`
}

// Member is one run of an entry's process.
type Member struct {
	// ID is unique to the run.
	ID string `json:"id"`
	// Name is the entry's name in its settings.
	Name       string `json:"name"`
	DataCentre string `json:"data-centre"`
	Rack       string `json:"rack,omitempty"`
	Region     string `json:"region,omitempty"`
	// Peer is the address for other entries, Caller for callers, Admin for operators.
	Peer   string `json:"peer"`
	Caller string `json:"caller"`
	Admin  string `json:"admin"`
	// Since is the version of the record that added the member, or of the one that
	// removed it where the member is lost.
	Since uint64 `json:"since"`
}

// Unsure is a lost member whose claims are not confirmed to be on the log.
type Unsure struct {
	ID string `json:"id"`
	// At is the log time of the record that removed the member.
	At time.Time `json:"at"`
}

// WithdrawnKey identifies a withdrawn key, which must never be accepted again.
type WithdrawnKey struct {
	ID      string `json:"id"`
	Digest  string `json:"digest"`
	Version uint64 `json:"version"`
}

// Total is the size of a counted resource and the version that set it.
type Total struct {
	Resource string `json:"resource"`
	N        int    `json:"n"`
	Version  uint64 `json:"version"`
}

// SeenID is the id of a record that was applied, accepted or void.
type SeenID struct {
	ID     string `json:"id"`
	Offset uint64 `json:"offset"`
}

// TeamResource returns the name of the counted resource for a team's limit.
func TeamResource(team string) string {
	return "team/" + team
}

// SlotResource returns the name of the counted resource for a VM's slots.
func SlotResource(vm string) string {
	return "slot/" + vm
}

// Member returns the member of the view with the given id.
func (s *State) Member(id string) (Member, bool) {
	i := sort.Search(len(s.Members), func(i int) bool { return s.Members[i].ID >= id })
	if i < len(s.Members) && s.Members[i].ID == id {
		return s.Members[i], true
	}
	return Member{}, false
}

// InService returns the VMs that may be given work, by pool and sorted by name.
func (s *State) InService() map[string][]string {
	pools := make(map[string][]string)
	for vm := range s.Ownership.VMs {
		if pool, ok := s.Ownership.PoolOf(vm); ok && !s.Wave.OutOfService(vm) {
			pools[pool] = append(pools[pool], vm)
		}
	}
	for _, vms := range pools {
		slices.Sort(vms)
	}
	return pools
}

// Clone returns a copy of s. It shares only data that Apply never changes in
// place.
func (s *State) Clone() *State {
	c := *s
	c.Withdrawn = append([]WithdrawnKey(nil), s.Withdrawn...)
	c.Totals = append([]Total(nil), s.Totals...)
	c.Members = append([]Member(nil), s.Members...)
	c.Lost = append([]Member(nil), s.Lost...)
	c.Unsure = append([]Unsure(nil), s.Unsure...)
	c.Ownership.VMs = maps.Clone(s.Ownership.VMs)
	c.Ownership.LastTaken = maps.Clone(s.Ownership.LastTaken)
	c.MoveTimes = maps.Clone(s.MoveTimes)
	c.Wave.VMs = maps.Clone(s.Wave.VMs)
	c.Evacuations = maps.Clone(s.Evacuations)
	c.Seen = append([]SeenID(nil), s.Seen...)
	c.Rules.Keys = append([]msrule.Key(nil), s.Rules.Keys...)
	return &c
}
