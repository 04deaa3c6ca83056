// Package msstate is the fold of the platform's log that every entry agrees on.
//
// All that lasts is a record on one stream. A State is what the records up to
// an offset say, and Apply is the only way to change one: it looks at the
// record and at the state before it, and at nothing else, so that any two
// readers of the stream hold the same state at the same offset. A record
// carries the version that its writer had in mind. Where the state has moved
// on since, or the record's id was seen before, the record is void for every
// reader alike, and its Outcome says why.
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

// SeenWindow is how many of the newest records are kept in mind by their ids.
const SeenWindow = 4096

// State is the fold through offset Next-1. The zero value is the state before
// the first record.
type State struct {
	// Next is the offset of the next record to apply.
	Next uint64 `json:"next"`
	// RulesVersion is the version of the last change of rules or keys.
	RulesVersion uint64     `json:"rules-version"`
	Rules        msrule.Set `json:"rules"`
	// Withdrawn holds every key that was ended, by id.
	Withdrawn []WithdrawnKey `json:"withdrawn,omitempty"`
	// Totals holds the size of each counted resource, by name.
	Totals []Total `json:"totals,omitempty"`
	// Epoch is the version of the last change of Members.
	Epoch uint64 `json:"epoch"`
	// Members are the entries of the view, by id.
	Members []Member `json:"members,omitempty"`
	// Lost are members that ended without leaving and are not settled yet.
	Lost []Member `json:"lost,omitempty"`
	// Unsure are lost members that may have granted claims which never reached
	// the log.
	Unsure []Unsure `json:"unsure,omitempty"`
	// Ownership holds the pool of each VM, and its moves.
	Ownership mspool.Ownership `json:"ownership"`
	// MoveTimes is when the log took the record that began each move under way, by VM.
	MoveTimes map[string]time.Time `json:"move-times,omitempty"`
	// Wave is the maintenance wave under way, or the last one.
	Wave mswave.State `json:"wave"`
	// SnapshotAt is the version of the newest snapshot record.
	SnapshotAt uint64 `json:"snapshot-at,omitempty"`
	// SnapshotTime is when the log took that record.
	SnapshotTime time.Time `json:"snapshot-time,omitzero"`
	// Seen holds the ids of the newest records.
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
	// Since is the version of the record that added the member, or ended it
	// where the member is lost.
	Since uint64 `json:"since"`
}

// Unsure is a lost member whose claims nobody has vouched for.
type Unsure struct {
	ID string `json:"id"`
	// At is when the log took the record that ended the member.
	At time.Time `json:"at"`
}

// WithdrawnKey remembers a key that must never come back.
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

// SeenID is the id of a record that was applied.
type SeenID struct {
	ID     string `json:"id"`
	Offset uint64 `json:"offset"`
}

// TeamResource names the counted resource of a team's upper limit.
func TeamResource(team string) string {
	return "team/" + team
}

// SlotResource names the counted resource of a VM's slots.
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

// InService returns the VMs that may be given work, by pool, each in order.
func (s *State) InService() map[string][]string {
	pools := make(map[string][]string)
	for vm := range s.Ownership.VMs {
		if pool, open := s.Ownership.PoolOf(vm); open && !s.Wave.Out(vm) {
			pools[pool] = append(pools[pool], vm)
		}
	}
	for _, vms := range pools {
		slices.Sort(vms)
	}
	return pools
}

// Clone returns a copy that shares nothing that Apply changes in place.
func (s *State) Clone() *State {
	c := *s
	c.Withdrawn = append([]WithdrawnKey(nil), s.Withdrawn...)
	c.Totals = append([]Total(nil), s.Totals...)
	c.Members = append([]Member(nil), s.Members...)
	c.Lost = append([]Member(nil), s.Lost...)
	c.Unsure = append([]Unsure(nil), s.Unsure...)
	c.Ownership.VMs = maps.Clone(s.Ownership.VMs)
	c.Ownership.Taken = maps.Clone(s.Ownership.Taken)
	c.MoveTimes = maps.Clone(s.MoveTimes)
	c.Wave.VMs = maps.Clone(s.Wave.VMs)
	c.Seen = append([]SeenID(nil), s.Seen...)
	c.Rules.Keys = append([]msrule.Key(nil), s.Rules.Keys...)
	return &c
}
