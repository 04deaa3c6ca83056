// Package mssite is what operators have published: queues, pools, teams, keys
// and planned maintenance, as tables that answer one question each.
//
// A Site is immutable. Holder keeps the newest one and never goes back to a
// lower version within one run of the process.
package mssite

import (
	"strings"
	"sync"
	"time"

	"marjoramspan/msjob"
)

// Site is one version of what operators have published.
type Site struct {
	Version int64
	Queues  []Queue
	Pools   map[string]Pool
	Teams   map[string]Team
	// Keys has the name of the team of each key.
	Keys   map[string]string
	Limits Limits
}

// Limits bound callers' requests. Zero is no bound.
type Limits struct {
	// Body and Header are in bytes.
	Body, Header int64
	// HeaderTimeout and IdleTimeout bound the wait on a caller's connection.
	HeaderTimeout, IdleTimeout time.Duration
}

// Queue takes jobs under a host and a path prefix.
type Queue struct {
	Name, Host, Prefix string
	// Pool is the pool whose workers run the queue's jobs.
	Pool string
	// Priority 0 goes first.
	Priority int
	// Attempts is how often a task may fail.
	Attempts int
	// Stretch times a job's chain of work plus Slack is its latency objective.
	Stretch float64
	Slack   time.Duration
	// Open queues need no key.
	Open bool
	// Advice is set where only some workers may run a step of the queue.
	Advice *Advice
}

// Advice is how the advisor of a queue answers.
type Advice struct {
	// A question takes Decision, and Each more for every worker named. A ticket is
	// valid for Validity.
	Decision, Each, Validity time.Duration
}

// Pool is a pool of VMs.
type Pool struct {
	Name string
	// Spare pools hold VMs that are off.
	Spare bool
	// Guarded workers reject what exceeds their capacity.
	Guarded bool
}

// Team is who jobs run for.
type Team struct {
	Name   string
	Weight float64
	// Limit is what may run at a time; a zero part is no limit.
	Limit msjob.Resources
}

// Wave is planned maintenance of VMs.
type Wave struct {
	ID  int64
	VMs []string
	// Within is how long the whole wave may take, AtOnce how many VMs may be down
	// for it at a time.
	Within time.Duration
	AtOnce int
}

// Queue returns the queue of a host and path, and the rest of the path behind
// the queue's prefix.
func (s *Site) Queue(host, path string) (q *Queue, rest string) {
	for i := range s.Queues {
		c := &s.Queues[i]
		if c.Host == host && strings.HasPrefix(path, c.Prefix) && (q == nil || len(c.Prefix) > len(q.Prefix)) {
			q = c
		}
	}
	if q == nil {
		return nil, ""
	}
	return q, path[len(q.Prefix):]
}

// ByName returns a queue, or nil.
func (s *Site) ByName(name string) *Queue {
	for i := range s.Queues {
		if s.Queues[i].Name == name {
			return &s.Queues[i]
		}
	}
	return nil
}

// Holder keeps the newest site. The zero value has none.
type Holder struct {
	// OnChange, if set, is called with each new version, without locks held.
	OnChange func(s *Site)

	mu    sync.Mutex
	site  *Site
	waves map[int64]Wave
}

// Set makes s the newest site, unless its version isn't higher than that of the
// one held. It says whether it did.
func (h *Holder) Set(s *Site) bool {
	h.mu.Lock()
	if h.site != nil && s.Version <= h.site.Version {
		h.mu.Unlock()
		return false
	}
	h.site = s
	fn := h.OnChange
	h.mu.Unlock()
	if fn != nil {
		fn(s)
	}
	return true
}

// Site returns the newest site, or nil.
func (h *Holder) Site() *Site {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.site
}

// SetWave keeps a wave.
func (h *Holder) SetWave(w Wave) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.waves == nil {
		h.waves = map[int64]Wave{}
	}
	h.waves[w.ID] = w
}

// Waves returns all waves.
func (h *Holder) Waves() []Wave {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := make([]Wave, 0, len(h.waves))
	for _, w := range h.waves {
		all = append(all, w)
	}
	return all
}
