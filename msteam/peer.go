package msteam

import (
	"cmp"
	"slices"
	"time"
)

// silence is how long a peer's last report counts.
const silence = 3 * time.Second

// Use is what one team uses of the pool on one entry.
type Use struct {
	Team string
	// Slot is the slot time since the entry's start, with that of requests
	// still running. It never falls under one entry's name.
	Slot time.Duration
	// Running and Waiting are the requests at the time of the report.
	Running, Waiting int
}

// peer is the last report of another entry.
type peer struct {
	name string
	at   time.Time
	uses []peerUse // by team
}

type peerUse struct {
	team    *team
	slot    time.Duration
	rate    float64 // slots in use, mean since the report before
	waiting int
}

// Used returns what each team uses here, for the peers' SetRemote, as of the
// last call that took a time.
func (s *Scheduler) Used() []Use {
	out := make([]Use, 0, len(s.teams))
	for _, t := range s.teams {
		u := Use{Team: t.name, Slot: t.used, Running: t.running, Waiting: t.waiting()}
		if u != (Use{Team: t.name}) {
			out = append(out, u)
		}
	}
	return out
}

// SetRemote takes a peer's report. A restarted entry reports under a new name.
func (s *Scheduler) SetRemote(entry string, used []Use, now time.Time) {
	s.advance(now)
	i, found := slices.BinarySearchFunc(s.peers, entry, func(p *peer, name string) int { return cmp.Compare(p.name, name) })
	if !found {
		s.peers = slices.Insert(s.peers, i, &peer{name: entry})
	}
	p := s.peers[i]
	passed := now.Sub(p.at).Seconds()
	fresh := make([]peerUse, 0, len(used))
	for _, u := range used {
		rate := float64(u.Running)
		if old, ok := p.use(u.Team); ok && passed > 0 {
			rate = max(0, (u.Slot-old.slot).Seconds()/passed)
		}
		fresh = append(fresh, peerUse{team: s.team(u.Team), slot: u.Slot, rate: rate, waiting: u.Waiting})
	}
	p.uses, p.at = fresh, now
}

func (p *peer) use(team string) (peerUse, bool) {
	for _, u := range p.uses {
		if u.team.name == team {
			return u, true
		}
	}
	return peerUse{}, false
}

// dropSilent forgets the peers that no longer report.
func (s *Scheduler) dropSilent(now time.Time) {
	s.peers = slices.DeleteFunc(s.peers, func(p *peer) bool { return now.Sub(p.at) > silence })
}
