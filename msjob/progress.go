package msjob

import (
	"math/bits"
	"time"
)

// State is the state of a job as callers see it.
type State int

// The states of a job. Completed, Failed and Canceled are final.
const (
	Queued State = iota
	Running
	Completed
	Failed
	Canceled
)

// String returns the state's name in the API.
func (s State) String() string {
	return [...]string{"queued", "running", "completed", "failed", "canceled"}[s]
}

// Final reports whether the state can no longer change.
func (s State) Final() bool {
	return s >= Completed
}

// Status is the part of a job's progress that callers see.
type Status struct {
	State State `json:"state,omitempty"`
	// Ended is when the job reached a final state, in Unix milliseconds.
	Ended int64 `json:"ended,omitempty"`
	// Reason is why the job failed.
	Reason string `json:"reason,omitempty"`
	// Queue, Host, Prefix, Team and Accepted are copied from a job that has ended, because its own
	// record is deleted. Accepted is in Unix milliseconds.
	Queue    string `json:"queue,omitempty"`
	Host     string `json:"host,omitempty"`
	Prefix   string `json:"prefix,omitempty"`
	Team     string `json:"team,omitempty"`
	Accepted int64  `json:"accepted,omitempty"`
}

// endedJob returns the part of an ended job that its status record preserves.
func (s Status) endedJob(id string) *Job {
	return &Job{ID: id, Queue: s.Queue, Host: s.Host, Prefix: s.Prefix, Team: s.Team, Accepted: time.UnixMilli(s.Accepted).UTC()}
}

// Phase is the lifecycle phase of a task.
type Phase int

// The phases of a task.
const (
	// Waiting tasks have no attempt that may be running.
	Waiting Phase = iota
	// Assigned tasks have an attempt that may be running on Worker.
	Assigned
	// Done tasks have completed.
	Done
)

// Task is the progress of one task.
type Task struct {
	Phase Phase `json:"p,omitempty"`
	// Attempt is the number of the newest attempt; 0 is none.
	Attempt int `json:"a,omitempty"`
	// EndedAttempts is a bit set of the attempts whose end is recorded. Attempt 1 is bit 0;
	// bit 63 stands for all attempts from 64 on.
	EndedAttempts uint64 `json:"e,omitempty"`
	// Failures counts the failed attempts.
	Failures int `json:"f,omitempty"`
	// Crashes counts the workers that crashed shortly after they had started the task,
	// UnconfirmedCrashes those that may have.
	Crashes            int `json:"x,omitempty"`
	UnconfirmedCrashes int `json:"u,omitempty"`
	// CrashRuntime is the longest time for which an attempt had run before a crash.
	CrashRuntime time.Duration `json:"t,omitempty"`
	// Worker is the worker that the newest attempt was assigned to. Tasks that are waiting
	// keep it; those that are done don't need it, and it is half of their record.
	Worker string `json:"w,omitempty"`
	// Checkpoint is the newest checkpoint; empty is none.
	Checkpoint string `json:"c,omitempty"`
}

// RecordEnd records the end of an attempt and reports whether it was not yet recorded.
// A worker repeats an end in its reports until it is acknowledged as stored. Attempts
// from 64 on share a bit, so their ends always count as new.
func (t *Task) RecordEnd(attempt int) bool {
	const lastBit = 63
	if attempt < 1 {
		return false
	}
	bit := uint64(1) << min(attempt-1, lastBit)
	if t.EndedAttempts&bit != 0 && attempt <= lastBit {
		return false
	}
	t.EndedAttempts |= bit
	return true
}

// markDone marks the task as done and clears its checkpoint and worker.
func (t *Task) markDone() {
	t.Phase, t.Checkpoint, t.Worker = Done, "", ""
}

// OccurrenceProgress is the progress of one occurrence: its tasks by step and index.
type OccurrenceProgress struct {
	Steps [][]Task `json:"s"`

	// Left has the number of tasks of each step that are not done, or is nil until it is counted. It is
	// not stored.
	Left []int `json:"-"`
}

// MarkDone marks a task as done.
func (r *OccurrenceProgress) MarkDone(step, index int) {
	t := &r.Steps[step][index]
	if r.Left != nil && t.Phase != Done {
		r.Left[step]--
	}
	t.markDone()
}

// Progress is the progress of a job.
type Progress struct {
	State State `json:"state,omitempty"`
	// Started is set once an attempt of any task was assigned.
	Started bool `json:"started,omitempty"`
	// Ended is when the job reached a final state, in Unix milliseconds.
	Ended int64 `json:"ended,omitempty"`
	// Reason is why the job failed.
	Reason string `json:"reason,omitempty"`
	// Occurrences holds the occurrences that have started and are not finished, by number.
	Occurrences map[int]*OccurrenceProgress `json:"rounds,omitempty"`
	// Finished is a bit set of the finished occurrences; occurrence 0 is the lowest bit
	// of the first byte.
	Finished []byte `json:"finished,omitempty"`
	// InParts is set once the tasks are stored in records of their own, see StoredParts.
	InParts bool `json:"parts,omitempty"`
}

// Status returns the status that callers are shown.
func (p *Progress) Status() Status {
	s := Status{State: p.State, Ended: p.Ended, Reason: p.Reason}
	if !s.State.Final() && p.Started {
		s.State = Running
	}
	return s
}

// Occurrence returns the progress of occurrence k and creates it if there is none.
func (p *Progress) Occurrence(j *Job, k int) *OccurrenceProgress {
	if r := p.Occurrences[k]; r != nil {
		return r
	}
	r := &OccurrenceProgress{Steps: make([][]Task, len(j.Steps))}
	for i := range j.Steps {
		r.Steps[i] = make([]Task, j.Steps[i].Count)
	}
	if p.Occurrences == nil {
		p.Occurrences = map[int]*OccurrenceProgress{}
	}
	p.Occurrences[k] = r
	return r
}

// IsFinished reports whether occurrence k is finished.
func (p *Progress) IsFinished(k int) bool {
	return k/8 < len(p.Finished) && p.Finished[k/8]&(1<<(k%8)) != 0
}

// FinishedCount returns the number of finished occurrences.
func (p *Progress) FinishedCount() int {
	n := 0
	for _, b := range p.Finished {
		n += bits.OnesCount8(b)
	}
	return n
}

// MarkFinished marks occurrence k as finished and drops its tasks.
func (p *Progress) MarkFinished(k int) {
	for len(p.Finished) <= k/8 {
		p.Finished = append(p.Finished, 0)
	}
	p.Finished[k/8] |= 1 << (k % 8)
	delete(p.Occurrences, k)
}

// Task returns the task, or nil if its occurrence isn't in progress or the job has no
// such task.
func (p *Progress) Task(id TaskID) *Task {
	r := p.Occurrences[id.Occurrence]
	if r == nil || id.Step < 0 || id.Step >= len(r.Steps) || id.Index < 0 || id.Index >= len(r.Steps[id.Step]) {
		return nil
	}
	return &r.Steps[id.Step][id.Index]
}

// StepDone reports whether every task of the step is done.
func (r *OccurrenceProgress) StepDone(step int) bool {
	if r.Left == nil {
		r.Left = make([]int, len(r.Steps))
		for s := range r.Steps {
			for i := range r.Steps[s] {
				if r.Steps[s][i].Phase != Done {
					r.Left[s]++
				}
			}
		}
	}
	return r.Left[step] == 0
}

// Ready reports whether all steps that the step depends on are done.
func (r *OccurrenceProgress) Ready(j *Job, step int) bool {
	for _, dep := range j.Steps[step].After {
		if !r.StepDone(dep) {
			return false
		}
	}
	return true
}

// RemainingPath returns the length of the remaining critical path: the longest chain of
// dependent steps that aren't done, by estimated run time. Jobs of up to 16 steps
// need no allocation.
func (r *OccurrenceProgress) RemainingPath(j *Job) time.Duration {
	var buf [16]time.Duration
	finish := buf[:]
	if len(j.Steps) > len(buf) {
		finish = make([]time.Duration, len(j.Steps))
	}
	var longest time.Duration
	for i := range j.Steps {
		var start time.Duration
		for _, dep := range j.Steps[i].After {
			start = max(start, finish[dep])
		}
		finish[i] = start
		if !r.StepDone(i) {
			finish[i] += j.Steps[i].Estimate
		}
		longest = max(longest, finish[i])
	}
	return longest
}

// Done reports whether every task of the occurrence is done.
func (r *OccurrenceProgress) Done() bool {
	for i := range r.Steps {
		if !r.StepDone(i) {
			return false
		}
	}
	return true
}

// Clone returns a deep copy of p.
func (p *Progress) Clone() *Progress {
	c := *p
	c.Finished = append([]byte(nil), p.Finished...)
	c.Occurrences = make(map[int]*OccurrenceProgress, len(p.Occurrences))
	for k, r := range p.Occurrences {
		n := &OccurrenceProgress{Steps: make([][]Task, len(r.Steps))}
		for i := range r.Steps {
			n.Steps[i] = append([]Task(nil), r.Steps[i]...)
		}
		c.Occurrences[k] = n
	}
	return &c
}

// Matches reports whether the occurrences and their tasks match the steps of j.
func (p *Progress) Matches(j *Job) bool {
	for k, r := range p.Occurrences {
		if r == nil || k < 0 || k >= j.OccurrenceCount() || len(r.Steps) != len(j.Steps) {
			return false
		}
		for i := range r.Steps {
			if len(r.Steps[i]) != j.Steps[i].Count {
				return false
			}
		}
	}
	return true
}
