package msjob

import (
	"encoding/json"
	"sync"
	"time"
)

// TableEntry is the state of one job in a Table. The values that it points to are replaced
// on updates, never modified, so a copy of a TableEntry stays consistent.
type TableEntry struct {
	Job *Job
	// Status is the newest status that the scheduler published.
	Status Status
	// Progress is set if the table also receives the progress records. Stored has the parts
	// of it that a scheduler has read.
	Progress *Progress
	Stored   StoredParts
	// Canceled is set if a caller canceled the job, and CanceledAt is when, if that is known.
	Canceled   bool
	CanceledAt time.Time

	// copies has the records of the job by stream, in the order in which they were read; Job
	// is the first of them unless the job has ended. cancels has the streams with a cancel record.
	copies  []jobCopy
	cancels StreamSet
	// unconfirmed is set if Status was read before stream 0 was last reset, and not since.
	unconfirmed bool
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
	// Ratios holds the learned factor on the estimated critical path of a job, by queue.
	Ratios map[string]float64 `json:"ratio,omitempty"`
	// Streams is the number of additional streams from which the scheduler takes jobs and
	// cancels. It is absent in the records of versions that read stream 0 only.
	Streams int `json:"streams,omitempty"`
	// Waits has jobs that wait beside free workers, by ID.
	Waits map[string]Wait `json:"waits,omitempty"`
}

// Wait is why a job waits beside free workers, and since when, in Unix seconds.
type Wait struct {
	Reason string `json:"reason"`
	Since  int64  `json:"since"`
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
	// OnCopy, if set, is called without locks held for each further record of a known job
	// that another stream has. OnStream, if set, is called for each additional stream that
	// is now in use.
	OnCopy   func(id string, stream int)
	OnStream func(stream int)

	mu      sync.Mutex
	jobs    map[string]*TableEntry
	orphans map[string]TableEntry
	// withdrawals has the canceled jobs whose record may still follow, by ID.
	withdrawals map[string][]Withdrawal
	load        Load
	waves       map[int64]Wave
	fleet       *Fleet
	inUse       StreamSet
	offer       Offer
}

// Apply applies a record of stream 0. It returns an error and leaves the table unchanged if
// the record is malformed or doesn't match its job.
func (t *Table) Apply(r Record) error {
	return t.ApplyFrom(0, r)
}

// ApplyFrom applies a record of a stream. Additional streams have only job and cancel
// records.
func (t *Table) ApplyFrom(stream int, r Record) error {
	kind, id := splitKey(r.Key)
	if stream != 0 && kind != prefixJob && kind != prefixCancel {
		return &Error{Job: id, Reason: "record kind " + kind + " in an additional stream"}
	}
	switch kind {
	case prefixJob:
		return t.applyJob(stream, id, r.Value)
	case prefixStream:
		return t.applyStream(id)
	case prefixProgress:
		return t.applyProgress(id, r.Value)
	case prefixStatus:
		return t.applyStatus(id, r.Value)
	case prefixCancel:
		t.applyCancel(stream, id, r.Value)
		return nil
	case prefixWithdrawal:
		return t.applyWithdrawal(id, r.Value)
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

func (t *Table) applyJob(stream int, id string, value []byte) error {
	if len(value) == 0 {
		t.dropJob(stream, id)
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
	if known := t.jobs[id]; known != nil {
		// Another entry accepted the same job again. The first record wins.
		moved := len(known.copies) == 0 && !known.Status.State.Final()
		isNew := known.addCopy(jobCopy{stream: stream, job: j})
		if moved {
			known.Job = j
		}
		fn := t.OnCopy
		t.mu.Unlock()
		if isNew && !moved && fn != nil {
			fn(id, stream)
		}
		return nil
	}
	if t.jobs == nil {
		t.jobs = map[string]*TableEntry{}
	}
	e := t.orphans[id]
	delete(t.orphans, id)
	e.Job, e.copies = j, []jobCopy{{stream: stream, job: j}}
	e.Canceled = e.Canceled || t.isWithdrawn(j)
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

// dropJob removes the record of a job in a stream. Of a job that has ended it keeps what
// callers may still query.
func (t *Table) dropJob(stream int, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.jobs[id]
	if e == nil {
		// The job may be in another stream, so its status and cancel stay.
		if o, ok := t.orphans[id]; ok && stream == 0 {
			o.Progress = nil
			t.orphans[id] = o
			if o.empty() {
				delete(t.orphans, id)
			}
		}
		return
	}
	e.copies = withoutCopy(e.copies, stream)
	switch {
	case e.Status.State.Final() && (!e.unconfirmed || len(e.copies) > 0):
		e.Job = e.Status.endedJob(id)
	case len(e.copies) > 0:
		e.Job = e.copies[0].job
	case stream == 0:
		// In stream 0 a job that has not ended is deleted only if its additional stream has a
		// record of it, which is still to be read.
	default:
		delete(t.jobs, id)
		if e.cancels != 0 {
			// The job's final status may not have been read yet. The streams of its cancel
			// records are needed to delete them.
			t.storeOrphan(id, TableEntry{Canceled: true, cancels: e.cancels})
		}
	}
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
		e.Status, e.unconfirmed = s, false
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

func (t *Table) applyCancel(stream int, id string, value []byte) {
	// A cancel holds whatever its value says.
	var v cancelValue
	_ = json.Unmarshal(value, &v)
	t.mu.Lock()
	if len(value) == 0 {
		t.dropCancel(stream, id)
		t.mu.Unlock()
		return
	}
	e := t.jobs[id]
	if e == nil {
		o := t.orphans[id]
		o.Canceled, o.CanceledAt = true, v.time()
		o.cancels.Add(stream)
		t.storeOrphan(id, o)
		t.mu.Unlock()
		return
	}
	isNew := !e.Canceled
	e.Canceled, e.CanceledAt = true, v.time()
	e.cancels.Add(stream)
	fn := t.OnCancel
	t.mu.Unlock()
	if isNew && fn != nil {
		fn(id)
	}
}

// dropCancel removes the cancel record of a job in a stream. The caller holds mu.
func (t *Table) dropCancel(stream int, id string) {
	if e := t.jobs[id]; e != nil {
		e.cancels.Remove(stream)
		return
	}
	o, ok := t.orphans[id]
	if !ok {
		return
	}
	o.cancels.Remove(stream)
	o.Canceled = o.cancels != 0
	t.orphans[id] = o
	if o.empty() {
		delete(t.orphans, id)
	}
}

// maxOrphans limits the jobs that haven't been seen yet of which records are kept.
const maxOrphans = 10_000

// storeOrphan keeps what is known of a job that hasn't been seen yet, unless there are too
// many already. The caller holds mu.
func (t *Table) storeOrphan(id string, e TableEntry) {
	if t.orphans == nil {
		t.orphans = map[string]TableEntry{}
	}
	if _, known := t.orphans[id]; known || len(t.orphans) < maxOrphans {
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

// Reset forgets what came from stream 0, before all its newest records are read again.
func (t *Table) Reset() {
	t.ResetStream(0)
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
func (t *Table) CountQueued(queue QueueID) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, e := range t.jobs {
		if e.State() == Queued && queue.Is(e.Job.QueueID()) {
			n++
		}
	}
	return n
}
