package msmeasure

import (
	"time"

	"marjoramspan/msteam"
)

// shares is the policy of msteam.
type shares struct {
	s    *msteam.Scheduler
	name string
	reqs []request
	d    Deployment
	n    int
}

func (s *shares) add(i int, now time.Time) bool {
	q := s.reqs[i]
	w := msteam.Waiter{ID: uint64(i) + 1, Team: s.d.Teams[q.team].Name, Urgent: q.urgent, Arrived: now, Deadline: at(q.deadline)}
	if s.s.Add(w, now) != nil {
		return false
	}
	s.n++
	return true
}

func (s *shares) next(now time.Time, may func(string) bool) (int, bool) {
	w, ok := s.s.Next(now, may)
	if !ok {
		return 0, false
	}
	s.n--
	return int(w.ID) - 1, true
}

func (s *shares) started(i int, now time.Time) {
	s.s.Started(s.d.Teams[s.reqs[i].team].Name, now)
}

func (s *shares) ended(i int, ran time.Duration, now time.Time) {
	s.s.Ended(s.d.Teams[s.reqs[i].team].Name, ran, now)
}

func (s *shares) expired(now time.Time) []int {
	var out []int
	for _, w := range s.s.Expired(now) {
		out = append(out, int(w.ID)-1)
		s.n--
	}
	return out
}

func (s *shares) waiting() int { return s.n }
func (s *shares) slots(now time.Time) (due, wanted int) {
	return s.s.TargetSlots(now), s.s.UsableSlots(now)
}

func (s *shares) tokens(team int, now time.Time) (due, wanted int) {
	name := s.d.Teams[team].Name
	return s.s.TeamTargetSlots(name, now), s.s.TeamUsableSlots(name, now)
}
