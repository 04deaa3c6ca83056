package msstate

import (
	"encoding/json"
	"slices"
	"strings"
	"time"
)

func (s *State) join(c Change, version uint64, at time.Time) voidReason {
	var body MemberJoin
	if err := json.Unmarshal(c.Body, &body); err != nil {
		return voidReason("invalid body: " + err.Error())
	}
	m := body.Member
	if m.ID == "" || m.Name == "" || m.Peer == "" {
		return "a member needs an id, a name and a peer address"
	}
	if s.isKnownMember(m.ID) {
		return voidReason("member " + m.ID + " is in the view already or was lost")
	}
	for _, old := range slices.Clone(s.Members) {
		if old.Name == m.Name {
			s.markLost(old, version)
			s.addUnsure(old.ID, at)
		}
	}
	m.Since = version
	s.Members = append(s.Members, m)
	slices.SortFunc(s.Members, compareByID)
	s.Epoch = version
	return accepted
}

func (s *State) isKnownMember(id string) bool {
	same := func(m Member) bool { return m.ID == id }
	return slices.ContainsFunc(s.Members, same) || slices.ContainsFunc(s.Lost, same)
}

func (s *State) leave(c Change, version uint64) voidReason {
	m, reason := s.memberToEnd(c)
	if reason != accepted {
		return reason
	}
	s.removeMember(m)
	s.Epoch = version
	return accepted
}

// exclude removes a member that no longer responds. Of two members that decide to
// exclude each other on the same view only one succeeds, as the base of the second
// record is stale.
func (s *State) exclude(c Change, version uint64, at time.Time) voidReason {
	m, reason := s.memberToEnd(c)
	if reason != accepted {
		return reason
	}
	if c.Base != s.Epoch {
		return staleBase(c.Base, s.Epoch)
	}
	s.markLost(m, version)
	s.addUnsure(m.ID, at)
	s.Epoch = version
	return accepted
}

// unsureRetention is how long a lost member is kept in State.Unsure.
const unsureRetention = time.Hour

func (s *State) addUnsure(id string, at time.Time) {
	expired := func(u Unsure) bool { return at.Sub(u.At) > unsureRetention }
	s.Unsure = append(slices.DeleteFunc(s.Unsure, expired), Unsure{ID: id, At: at})
}

// vouch removes a lost member from State.Unsure: its claims are known to be on the
// log.
func (s *State) vouch(c Change) voidReason {
	var end MemberEnd
	if err := json.Unmarshal(c.Body, &end); err != nil {
		return voidReason("invalid body: " + err.Error())
	}
	i := slices.IndexFunc(s.Unsure, func(u Unsure) bool { return u.ID == end.ID })
	if i < 0 {
		return voidReason("no unsure member " + end.ID)
	}
	s.Unsure = slices.Delete(s.Unsure, i, i+1)
	return accepted
}

// settle removes a lost member whose lease and requests have ended.
func (s *State) settle(c Change) voidReason {
	var end MemberEnd
	if err := json.Unmarshal(c.Body, &end); err != nil {
		return voidReason("invalid body: " + err.Error())
	}
	i := slices.IndexFunc(s.Lost, func(m Member) bool { return m.ID == end.ID })
	if i < 0 {
		return voidReason("member " + end.ID + " is not lost")
	}
	s.Lost = slices.Delete(s.Lost, i, i+1)
	return accepted
}

func (s *State) memberToEnd(c Change) (Member, voidReason) {
	var end MemberEnd
	if err := json.Unmarshal(c.Body, &end); err != nil {
		return Member{}, voidReason("invalid body: " + err.Error())
	}
	m, ok := s.Member(end.ID)
	if !ok {
		return Member{}, voidReason("member " + end.ID + " is not in the view")
	}
	return m, accepted
}

func (s *State) markLost(m Member, version uint64) {
	s.removeMember(m)
	m.Since = version
	s.Lost = append(s.Lost, m)
}

func (s *State) removeMember(m Member) {
	s.Members = slices.DeleteFunc(s.Members, func(other Member) bool { return other.ID == m.ID })
}

func compareByID(a, b Member) int {
	return strings.Compare(a.ID, b.ID)
}
