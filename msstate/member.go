package msstate

import (
	"encoding/json"
	"slices"
	"strings"
	"time"
)

func (s *State) join(c Change, version uint64, at time.Time) void {
	var j MemberJoin
	if err := json.Unmarshal(c.Body, &j); err != nil {
		return void("body: " + err.Error())
	}
	m := j.Member
	if m.ID == "" || m.Name == "" || m.Peer == "" {
		return "a member needs an id, a name and a peer address"
	}
	if s.known(m.ID) {
		return void("member " + m.ID + " is or was in the view")
	}
	for _, old := range slices.Clone(s.Members) {
		if old.Name == m.Name {
			s.lose(old, version)
			s.doubt(old.ID, at)
		}
	}
	m.Since = version
	s.Members = append(s.Members, m)
	slices.SortFunc(s.Members, byID)
	s.Epoch = version
	return accepted
}

func (s *State) known(id string) bool {
	same := func(m Member) bool { return m.ID == id }
	return slices.ContainsFunc(s.Members, same) || slices.ContainsFunc(s.Lost, same)
}

func (s *State) leave(c Change, version uint64) void {
	m, reason := s.endOf(c)
	if reason != accepted {
		return reason
	}
	s.remove(m)
	s.Epoch = version
	return accepted
}

// exclude takes a silent member out of the view. Two excluders that decided on
// the same view can't both act: the second one's base is stale.
func (s *State) exclude(c Change, version uint64, at time.Time) void {
	m, reason := s.endOf(c)
	if reason != accepted {
		return reason
	}
	if c.Base != s.Epoch {
		return stale(c.Base, s.Epoch)
	}
	s.lose(m, version)
	s.doubt(m.ID, at)
	s.Epoch = version
	return accepted
}

// unsureFor is how long a lost member is kept as unsure.
const unsureFor = time.Hour

func (s *State) doubt(id string, at time.Time) {
	old := func(u Unsure) bool { return at.Sub(u.At) > unsureFor }
	s.Unsure = append(slices.DeleteFunc(s.Unsure, old), Unsure{ID: id, At: at})
}

// vouch removes the doubt about a lost member's claims.
func (s *State) vouch(c Change) void {
	var e MemberEnd
	if err := json.Unmarshal(c.Body, &e); err != nil {
		return void("body: " + err.Error())
	}
	i := slices.IndexFunc(s.Unsure, func(u Unsure) bool { return u.ID == e.ID })
	if i < 0 {
		return void("nobody is unsure of member " + e.ID)
	}
	s.Unsure = slices.Delete(s.Unsure, i, i+1)
	return accepted
}

// settle forgets a lost member: its lease and all that it ran have ended.
func (s *State) settle(c Change) void {
	var e MemberEnd
	if err := json.Unmarshal(c.Body, &e); err != nil {
		return void("body: " + err.Error())
	}
	i := slices.IndexFunc(s.Lost, func(m Member) bool { return m.ID == e.ID })
	if i < 0 {
		return void("member " + e.ID + " is not lost")
	}
	s.Lost = slices.Delete(s.Lost, i, i+1)
	return accepted
}

func (s *State) endOf(c Change) (Member, void) {
	var e MemberEnd
	if err := json.Unmarshal(c.Body, &e); err != nil {
		return Member{}, void("body: " + err.Error())
	}
	m, ok := s.Member(e.ID)
	if !ok {
		return Member{}, void("member " + e.ID + " is not in the view")
	}
	return m, accepted
}

func (s *State) lose(m Member, version uint64) {
	s.remove(m)
	m.Since = version
	s.Lost = append(s.Lost, m)
}

func (s *State) remove(m Member) {
	s.Members = slices.DeleteFunc(s.Members, func(x Member) bool { return x.ID == m.ID })
}

func byID(a, b Member) int {
	return strings.Compare(a.ID, b.ID)
}
