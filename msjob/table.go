package msjob

import (
	"encoding/json"
	"sync"
)

// TableEntry is the state of one job in a Table. The values that it points to are replaced
// on updates, never modified, so a copy of an TableEntry stays consistent.
type TableEntry struct {
	Job *Job
	// Status is the newest status that the scheduler published.
	Status Status
	// Progress is set if the table also receives the progress records.
	Progress *Progress
	// Canceled is set if a caller canceled the job.
	Canceled bool
}

// State returns the state of the job as callers see it.
func (e *TableEntry) State() State {
	switch {
	case e.Progress != nil && e.Progress.State.Final():
		return e.Progress.State
	case e.Status.State.Final():
		return e.Status.State
	case e.Canceled:
		return Canceled
	case e.Status.State == Running, e.Progress != nil && e.Progress.Started:
		return Running
	}
	return Queued
}

// Load is the load of the pools and teams that the scheduler publishes.
type Load struct {
	// Pools holds the load of each pool by name.
	Pools map[string]PoolLoad `json:"pools"`
	// OverShare holds the teams that submit more than their share.
	OverShare map[string]bool `json:"over,omitempty"`
}

// PoolLoad is the load of one pool.
type PoolLoad struct {
	// MilliCores is the usable CPU capacity, in millicores.
	MilliCores int64 `json:"cores"`
	// Backlog is the estimated backlog that a new job waits behind, in core-seconds: the
	// remaining work of the accepted jobs that can still meet their objective.
	Backlog float64 `json:"ahead"`
}

// Table is the state that results from applying the job records. The zero value is
// empty and ready to use. It is safe for concurrent use.
type Table struct {
	// OnJob and OnCancel, if set, are called for each new job and each new cancel,
	// without locks held.
	OnJob    func(e TableEntry)
	OnCancel func(id string)

	mu      sync.Mutex
	jobs    map[string]*TableEntry
	orphans map[string]TableEntry
	load    Load
	waves   map[int64]Wave
	fleet   *Fleet
	offer   Offer
}

// Apply applies a record. It returns an error and leaves the table unchanged if the
// record is malformed or doesn't match its job.
func (t *Table) Apply(r Record) error {
	kind, id := splitKey(r.Key)
	switch kind {
	case prefixJob:
		return t.applyJob(id, r.Value)
	case prefixProgress:
		return t.applyProgress(id, r.Value)
	case prefixStatus:
		return t.applyStatus(id, r.Value)
	case prefixCancel:
		t.applyCancel(id, len(r.Value) == 0)
		return nil
	case prefixWave:
		return t.applyWave(id, r.Value)
	case KeyLoad:
		return t.applyLoad(r.Value)
	case keyFleet:
		return t.applyFleet(r.Value)
	case prefixOffer:
		return t.applyOffer(id, r.Value)
	}
	return &Error{Job: id, Reason: "unknown record kind " + kind}
}

func (t *Table) applyJob(id string, value []byte) error {
	if len(value) == 0 {
		t.dropJob(id)
		return nil
	}
	j := &Job{}
	if err := json.Unmarshal(value, j); err != nil {
		return &Error{Job: id, Reason: "malformed job record", Err: err}
	}
	if err := j.Check(); err != nil {
		return err
	}
	t.mu.Lock()
	if t.jobs[id] != nil {
		// Another entry accepted the same job again. The first record wins.
		t.mu.Unlock()
		return nil
	}
	if t.jobs == nil {
		t.jobs = map[string]*TableEntry{}
	}
	e := t.orphans[id]
	delete(t.orphans, id)
	e.Job = j
	if e.Progress != nil && !e.Progress.Matches(j) {
		e.Progress = nil
	}
	t.jobs[id] = &e
	fn := t.OnJob
	copied := e
	t.mu.Unlock()
	if fn != nil {
		fn(copied)
	}
	return nil
}

// dropJob removes a job. Of a job that has ended it keeps what callers may still
// query.
func (t *Table) dropJob(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.jobs[id]
	if e != nil && e.Status.State.Final() {
		e.Job = e.Status.endedJob(id)
		return
	}
	delete(t.jobs, id)
	delete(t.orphans, id)
}

func (t *Table) applyProgress(id string, value []byte) error {
	_, p, err := ParseProgress(Record{Key: prefixProgress + id, Value: value})
	if err != nil || p == nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.jobs[id]
	if e == nil {
		// A read of the newest records returns them in no particular order, so the
		// job may follow.
		o := t.orphans[id]
		o.Progress = p
		t.storeOrphan(id, o)
		return nil
	}
	if !p.Matches(e.Job) {
		return &Error{Job: id, Reason: "progress doesn't match the job's steps"}
	}
	e.Progress = p
	return nil
}

func (t *Table) applyStatus(id string, value []byte) error {
	s := Status{}
	if len(value) > 0 {
		if err := json.Unmarshal(value, &s); err != nil {
			return &Error{Job: id, Reason: "malformed status record", Err: err}
		}
		if s.State < Queued || s.State > Canceled {
			return &Error{Job: id, Reason: "status record with an unknown state"}
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.jobs[id]
	switch {
	case len(value) == 0:
		delete(t.jobs, id)
		delete(t.orphans, id)
	case e != nil:
		e.Status = s
	case s.State.Final():
		o := t.orphans[id]
		delete(t.orphans, id)
		o.Job, o.Status = s.endedJob(id), s
		if t.jobs == nil {
			t.jobs = map[string]*TableEntry{}
		}
		t.jobs[id] = &o
	default:
		o := t.orphans[id]
		o.Status = s
		t.storeOrphan(id, o)
	}
	return nil
}

func (t *Table) applyCancel(id string, deleted bool) {
	if deleted {
		return
	}
	t.mu.Lock()
	e := t.jobs[id]
	if e == nil {
		o := t.orphans[id]
		o.Canceled = true
		t.storeOrphan(id, o)
		t.mu.Unlock()
		return
	}
	isNew := !e.Canceled
	e.Canceled = true
	fn := t.OnCancel
	t.mu.Unlock()
	if isNew && fn != nil {
		fn(id)
	}
}

// maxOrphans limits the records that are kept for jobs that haven't been seen yet.
const maxOrphans = 10_000

func (t *Table) storeOrphan(id string, e TableEntry) {
	if t.orphans == nil {
		t.orphans = map[string]TableEntry{}
	}
	if len(t.orphans) < maxOrphans {
		t.orphans[id] = e
	}
}

func (t *Table) applyLoad(value []byte) error {
	l := Load{}
	if len(value) > 0 {
		if err := json.Unmarshal(value, &l); err != nil {
			return &Error{Job: KeyLoad, Reason: "malformed load record", Err: err}
		}
	}
	t.mu.Lock()
	t.load = l
	t.mu.Unlock()
	return nil
}

func (t *Table) applyWave(id string, value []byte) error {
	if len(value) == 0 {
		return nil
	}
	w := Wave{}
	if err := json.Unmarshal(value, &w); err != nil {
		return &Error{Job: prefixWave + id, Reason: "malformed wave record", Err: err}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.waves == nil {
		t.waves = map[int64]Wave{}
	}
	t.waves[w.ID] = w
	return nil
}

func (t *Table) applyFleet(value []byte) error {
	if len(value) == 0 {
		return nil
	}
	f := &Fleet{}
	if err := json.Unmarshal(value, f); err != nil {
		return &Error{Job: keyFleet, Reason: "malformed fleet record", Err: err}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fleet = f
	return nil
}

func (t *Table) applyOffer(id string, value []byte) error {
	o := Offer{}
	if len(value) > 0 {
		if err := json.Unmarshal(value, &o); err != nil {
			return &Error{Job: prefixOffer + id, Reason: "malformed offer record", Err: err}
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if o.Made.After(t.offer.Made) {
		t.offer = o
	}
	return nil
}

// Offer returns the offer to lead that was made last.
func (t *Table) Offer() Offer {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.offer
}

// Fleet returns the newest stored state of the pools, and whether there is one.
func (t *Table) Fleet() (Fleet, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.fleet == nil {
		return Fleet{}, false
	}
	return *t.fleet, true
}

// Wave returns the progress of a wave, and whether the wave has started.
func (t *Table) Wave(id int64) (Wave, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w, ok := t.waves[id]
	return w, ok
}

// Reset clears the table, before all newest records are read again.
func (t *Table) Reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.jobs, t.orphans, t.load, t.waves, t.fleet = nil, nil, Load{}, nil, nil
}

// Job returns the state of a job, and whether the job is known.
func (t *Table) Job(id string) (TableEntry, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.jobs[id]
	if e == nil {
		return TableEntry{}, false
	}
	return *e, true
}

// Load returns the newest load that the scheduler published.
func (t *Table) Load() Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.load
}

// Each calls fn with every job, in no particular order and without locks held.
func (t *Table) Each(fn func(e TableEntry)) {
	t.mu.Lock()
	all := make([]TableEntry, 0, len(t.jobs))
	for _, e := range t.jobs {
		all = append(all, *e)
	}
	t.mu.Unlock()
	for _, e := range all {
		fn(e)
	}
}

// CountQueued returns the number of jobs of a queue that are still queued.
func (t *Table) CountQueued(queue string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, e := range t.jobs {
		if e.Job.Queue == queue && e.State() == Queued {
			n++
		}
	}
	return n
}
