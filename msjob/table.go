package msjob

import (
	"encoding/json"
	"sync"
)

// Entry is a job of a Table. Its parts are replaced, never changed.
type Entry struct {
	Job *Job
	// Status is what the scheduler has published of the job.
	Status Status
	// Progress is set where the table folds the records of progress too.
	Progress *Progress
	// Canceled says that a caller cancelled the job.
	Canceled bool
}

// State is how a caller sees the job.
func (e *Entry) State() State {
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

// Load is how much work waits in front of each pool, as the scheduler sees it.
type Load struct {
	// Pools has the load of each pool by name.
	Pools map[string]PoolLoad `json:"pools"`
	// Over has the teams that send more than their share.
	Over map[string]bool `json:"over,omitempty"`
}

// PoolLoad is the load of one pool.
type PoolLoad struct {
	// Cores is the processor capacity that may be used, in thousandths of a core.
	Cores int64 `json:"cores"`
	// Ahead is the estimated work, in core-seconds, that a new job waits behind:
	// what isn't done of the accepted jobs that can still be in time.
	Ahead float64 `json:"ahead"`
}

// Table is the fold of the job records. The zero value is empty. It is safe for
// concurrent use.
type Table struct {
	// OnJob and OnCancel, if set, are told of jobs and cancels that are new to
	// the table. They are called without locks held.
	OnJob    func(e Entry)
	OnCancel func(id string)

	mu     sync.Mutex
	jobs   map[string]*Entry
	orphan map[string]Entry
	load   Load
	waves  map[int64]Wave
	fleet  *Fleet
}

// Apply folds a record. A record that can't be read, or that fits no job, is
// left aside and reported.
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
	}
	return &Error{Job: id, Reason: "unknown kind of record " + kind}
}

func (t *Table) applyJob(id string, value []byte) error {
	if len(value) == 0 {
		t.dropJob(id)
		return nil
	}
	j := &Job{}
	if err := json.Unmarshal(value, j); err != nil {
		return &Error{Job: id, Reason: "its record can't be read", Err: err}
	}
	if err := j.Check(); err != nil {
		return err
	}
	t.mu.Lock()
	if t.jobs[id] != nil {
		// The same job came again through another entry; the first one counts.
		t.mu.Unlock()
		return nil
	}
	if t.jobs == nil {
		t.jobs = map[string]*Entry{}
	}
	e := t.orphan[id]
	delete(t.orphan, id)
	e.Job = j
	if e.Progress != nil && !e.Progress.Fits(j) {
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

// dropJob keeps what callers may still ask for of a job that has ended.
func (t *Table) dropJob(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.jobs[id]
	if e != nil && e.Status.State.Final() {
		e.Job = e.Status.job(id)
		return
	}
	delete(t.jobs, id)
	delete(t.orphan, id)
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
		// Pages of the newest records come in no order: the job may follow.
		o := t.orphan[id]
		o.Progress = p
		t.keepOrphan(id, o)
		return nil
	}
	if !p.Fits(e.Job) {
		return &Error{Job: id, Reason: "its progress doesn't fit its steps"}
	}
	e.Progress = p
	return nil
}

func (t *Table) applyStatus(id string, value []byte) error {
	s := Status{}
	if len(value) > 0 {
		if err := json.Unmarshal(value, &s); err != nil {
			return &Error{Job: id, Reason: "its status can't be read", Err: err}
		}
		if s.State < Queued || s.State > Canceled {
			return &Error{Job: id, Reason: "its status is of no known state"}
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.jobs[id]
	switch {
	case len(value) == 0:
		delete(t.jobs, id)
		delete(t.orphan, id)
	case e != nil:
		e.Status = s
	case s.State.Final():
		o := t.orphan[id]
		delete(t.orphan, id)
		o.Job, o.Status = s.job(id), s
		if t.jobs == nil {
			t.jobs = map[string]*Entry{}
		}
		t.jobs[id] = &o
	default:
		o := t.orphan[id]
		o.Status = s
		t.keepOrphan(id, o)
	}
	return nil
}

func (t *Table) applyCancel(id string, dropped bool) {
	if dropped {
		return
	}
	t.mu.Lock()
	e := t.jobs[id]
	if e == nil {
		o := t.orphan[id]
		o.Canceled = true
		t.keepOrphan(id, o)
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

// maxOrphans bounds what is kept for jobs that haven't been seen.
const maxOrphans = 10_000

func (t *Table) keepOrphan(id string, e Entry) {
	if t.orphan == nil {
		t.orphan = map[string]Entry{}
	}
	if len(t.orphan) < maxOrphans {
		t.orphan[id] = e
	}
}

func (t *Table) applyLoad(value []byte) error {
	l := Load{}
	if len(value) > 0 {
		if err := json.Unmarshal(value, &l); err != nil {
			return &Error{Job: KeyLoad, Reason: "the load can't be read", Err: err}
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
		return &Error{Job: prefixWave + id, Reason: "the wave can't be read", Err: err}
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
		return &Error{Job: keyFleet, Reason: "the pools can't be read", Err: err}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fleet = f
	return nil
}

// Fleet returns what was last stored of the pools, and whether anything was.
func (t *Table) Fleet() (Fleet, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.fleet == nil {
		return Fleet{}, false
	}
	return *t.fleet, true
}

// Wave returns how far a wave has come, and whether it has begun.
func (t *Table) Wave(id int64) (Wave, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w, ok := t.waves[id]
	return w, ok
}

// Reset forgets all, before the newest records are read anew.
func (t *Table) Reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.jobs, t.orphan, t.load, t.waves, t.fleet = nil, nil, Load{}, nil, nil
}

// Job returns a job and whether it is known.
func (t *Table) Job(id string) (Entry, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.jobs[id]
	if e == nil {
		return Entry{}, false
	}
	return *e, true
}

// Load returns the newest load that the scheduler published.
func (t *Table) Load() Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.load
}

// Each calls fn with every job.
func (t *Table) Each(fn func(e Entry)) {
	t.mu.Lock()
	all := make([]Entry, 0, len(t.jobs))
	for _, e := range t.jobs {
		all = append(all, *e)
	}
	t.mu.Unlock()
	for _, e := range all {
		fn(e)
	}
}

// Pending counts the jobs of a queue of which no task has started.
func (t *Table) Pending(queue string) int {
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
