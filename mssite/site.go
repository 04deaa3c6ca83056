// Package mssite holds the configuration that operators publish: queues, pools,
// teams, keys and planned maintenance.
//
// A Site is immutable. Store keeps the newest one and never replaces it by a lower
// version while the process runs.
package mssite

import (
	"context"
	"strings"
	"sync"
	"time"

	"marjoramspan/msjob"
)

// Site is one version of the published configuration.
type Site struct {
	Version int64
	Queues  []Queue
	Pools   map[string]Pool
	Teams   map[string]Team
	// Keys maps each key to the name of its team.
	Keys   map[string]string
	Limits Limits
}

// Limits bound callers' requests. Zero means no bound.
type Limits struct {
	// MaxBodyBytes and MaxHeaderBytes are the maximum sizes in bytes.
	MaxBodyBytes, MaxHeaderBytes int64
	// HeaderTimeout bounds the wait for the header of a request on a caller's
	// connection, IdleTimeout the wait for its next request.
	HeaderTimeout, IdleTimeout time.Duration
}

// Queue accepts jobs at a host and path prefix.
type Queue struct {
	Name, Host, Prefix string
	// Pool is the pool whose workers run the queue's jobs.
	Pool string
	// Priority 0 is the highest.
	Priority int
	// Attempts is how often a task may fail.
	Attempts int
	// The latency objective of a job is Stretch times the duration of the longest
	// chain of its steps, plus Slack.
	Stretch float64
	Slack   time.Duration
	// Public queues need no key.
	Public bool
	// Advisor, if set, means that an advisor decides which workers may run a step of
	// the queue.
	Advisor *AdvisorConfig
}

// AdvisorConfig has the response times of a queue's advisor and the validity of its tickets.
type AdvisorConfig struct {
	// The advisor takes DecisionTime to answer a query, plus TimePerWorker for every worker named
	// in it. A ticket is valid for Validity.
	DecisionTime, TimePerWorker, Validity time.Duration
}

// Pool is a pool of VMs.
type Pool struct {
	Name string
	// Spare marks a pool of VMs that are powered off.
	Spare bool
	// EnforcesCapacity means that the pool's workers reject tasks that exceed their capacity.
	EnforcesCapacity bool
}

// Team owns jobs and has a weight and a resource limit.
type Team struct {
	Name   string
	Weight float64
	// Limit bounds the resources of tasks that run at the same time; a resource that
	// is zero has no limit.
	Limit msjob.Resources
}

// Wave is a planned maintenance of a set of VMs.
type Wave struct {
	ID  int64
	VMs []string
	// MaxDuration is the maximum duration of the wave, MaxUnavailable the maximum number of VMs
	// that may be down for it at the same time.
	MaxDuration    time.Duration
	MaxUnavailable int
}

// MatchQueue returns the queue with the longest prefix that matches a host and path, and
// the rest of the path after the prefix. It returns nil if no queue matches.
func (s *Site) MatchQueue(host, path string) (q *Queue, rest string) {
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

// OlderThan reports whether s has a lower version, or is nil while the version is not 0.
func (s *Site) OlderThan(version int64) bool {
	if s == nil {
		return version > 0
	}
	return s.Version < version
}

// ID identifies the queue over all versions of the site.
func (q *Queue) ID() msjob.QueueID {
	return msjob.QueueID{Name: q.Name, Host: q.Host, Prefix: q.Prefix}
}

// FindQueue returns the queue that a queue of an earlier version is now, or nil if it is gone.
func (s *Site) FindQueue(id msjob.QueueID) *Queue {
	for i := range s.Queues {
		if id.Is(s.Queues[i].ID()) {
			return &s.Queues[i]
		}
	}
	return nil
}

// Store keeps the newest site and the maintenance waves. The zero value is empty and
// ready for use. It is safe for concurrent use.
type Store struct {
	// OnChange, if set, is called with each new version, with no lock of the store held.
	OnChange func(s *Site)

	mu   sync.Mutex
	site *Site
	// announced is the highest version that is known to exist. Those up to notFound were
	// looked for.
	announced, notFound int64
	waves               map[int64]Wave
	// evacuated has the evacuated data centres. listed has those that a listing of the
	// records has named so far; it is nil while no listing is in progress.
	evacuated, listed map[string]bool
}

// Set replaces the site by s if s has a higher version, and reports whether it did.
func (h *Store) Set(s *Site) bool {
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
func (h *Store) Site() *Site {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.site
}

// Announce notes that a version exists, as something shows that refers to it.
func (h *Store) Announce(version int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.announced = max(h.announced, version)
}

// Awaits reports whether a version is newer than that of the site and can still be expected.
func (h *Store) Awaits(version int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.awaits(version)
}

func (h *Store) awaits(version int64) bool {
	return version > h.notFound && h.site.OlderThan(version)
}

// Newest returns the newest site, or nil, and whether a newer version is known to exist.
func (h *Store) Newest() (s *Site, behind bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.site, h.awaits(h.announced)
}

// ReadAnnounced calls read, which reads the operators' records to their end. If they don't
// hold the announced versions, or such a version is invalid, nothing awaits these any longer.
// It returns the error of read.
func (h *Store) ReadAnnounced(ctx context.Context, read func(ctx context.Context) error) error {
	h.mu.Lock()
	announced := h.announced
	h.mu.Unlock()
	if err := read(ctx); err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.notFound = max(h.notFound, announced)
	return nil
}

// SetWave stores a wave and replaces an earlier one with the same ID.
func (h *Store) SetWave(w Wave) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.waves == nil {
		h.waves = map[int64]Wave{}
	}
	h.waves[w.ID] = w
}

// Waves returns all waves in no particular order.
func (h *Store) Waves() []Wave {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := make([]Wave, 0, len(h.waves))
	for _, w := range h.waves {
		all = append(all, w)
	}
	return all
}
