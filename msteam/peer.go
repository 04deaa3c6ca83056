package msteam

import (
	"cmp"
	"slices"
	"time"
)

// peerTimeout is the age at which a peer's last report stops counting.
const peerTimeout = 3 * time.Second

// Usage is the usage of a pool by one team on one entry.
type Usage struct {
	Team string
	// SlotTime is the slot time used since the entry started, including that of
	// requests still running. It never decreases under one entry name.
	SlotTime time.Duration
	// Running and Waiting are the numbers of requests at the time of the report.
	Running, Waiting int
}

// peer is the last report of another entry.
type peer struct {
	name       string
	reportedAt time.Time
	uses       []peerUsage // by team
}

type peerUsage struct {
	team     *team
	slotTime time.Duration
	rate     float64 // mean number of slots in use since the previous report
	waiting  int
}

// Usage returns the usage of each team on this entry, to be passed to the peers'
// SetPeerUsage. It is as of the last call that took a time.
func (s *Scheduler) Usage() []Usage {
	out := make([]Usage, 0, len(s.teams))
	for _, t := range s.teams {
		u := Usage{Team: t.name, SlotTime: t.used, Running: t.running, Waiting: t.waiting()}
		if u != (Usage{Team: t.name}) {
			out = append(out, u)
		}
	}
	return out
}

// SetPeerUsage replaces a peer's report. An entry that restarts reports under a new
// name.
func (s *Scheduler) SetPeerUsage(entry string, used []Usage, now time.Time) {
	s.advance(now)
	i, found := slices.BinarySearchFunc(s.peers, entry, func(p *peer, name string) int { return cmp.Compare(p.name, name) })
	if !found {
		s.peers = slices.Insert(s.peers, i, &peer{name: entry})
	}
	p := s.peers[i]
	elapsed := now.Sub(p.reportedAt).Seconds()
	current := make([]peerUsage, 0, len(used))
	for _, u := range used {
		rate := float64(u.Running)
		if previous, ok := p.usageOf(u.Team); ok && elapsed > 0 {
			rate = max(0, (u.SlotTime-previous.slotTime).Seconds()/elapsed)
		}
		current = append(current, peerUsage{team: s.team(u.Team), slotTime: u.SlotTime, rate: rate, waiting: u.Waiting})
	}
	p.uses, p.reportedAt = current, now
}

func (p *peer) usageOf(team string) (peerUsage, bool) {
	for _, u := range p.uses {
		if u.team.name == team {
			return u, true
		}
	}
	return peerUsage{}, false
}

// dropTimedOutPeers removes the peers that no longer report.
func (s *Scheduler) dropTimedOutPeers(now time.Time) {
	s.peers = slices.DeleteFunc(s.peers, func(p *peer) bool { return now.Sub(p.reportedAt) > peerTimeout })
}
