package msjob

import "time"

// State is how a caller sees a job.
type State int

// The states of a job. Those from Completed on are final.
const (
	Queued State = iota
	Running
	Completed
	Failed
	Canceled
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"queued", "running", "completed", "failed", "canceled"}[s]
}

// Final says whether the state never changes.
func (s State) Final() bool {
	return s >= Completed
}

// Status is how callers see a job.
type Status struct {
	State State `json:"state,omitempty"`
	// Ended is when the job reached a final state, in Unix milliseconds.
	Ended int64 `json:"ended,omitempty"`
	// Reason says why the job failed.
	Reason string `json:"reason,omitempty"`
	// Queue, Team and Accepted are those of a job that has ended, whose own record is
	// dropped. Accepted is in Unix milliseconds.
	Queue    string `json:"queue,omitempty"`
	Team     string `json:"team,omitempty"`
	Accepted int64  `json:"accepted,omitempty"`
}

// job is what is left of a job that has ended.
func (s Status) job(id string) *Job {
	return &Job{ID: id, Queue: s.Queue, Team: s.Team, Accepted: time.UnixMilli(s.Accepted).UTC()}
}

// Phase is where a task stands.
type Phase int

// The phases of a task.
const (
	// Waiting tasks have no attempt that may run.
	Waiting Phase = iota
	// Assigned tasks have an attempt that may run on Worker.
	Assigned
	// Done tasks have ended well.
	Done
)

// Task is how far a task has come.
type Task struct {
	Phase Phase `json:"p,omitempty"`
	// Attempt is the number of the newest attempt; 0 is none.
	Attempt int `json:"a,omitempty"`
	// Ended has a bit for each attempt whose end was noted, from number 1 on; the
	// last bit stands for all higher ones.
	Ended uint64 `json:"e,omitempty"`
	// Failures counts attempts that failed.
	Failures int `json:"f,omitempty"`
	// Worker is where the newest attempt was assigned to. Done and waiting tasks
	// keep it.
	Worker string `json:"w,omitempty"`
	// Checkpoint is the newest saved state; empty is none.
	Checkpoint string `json:"c,omitempty"`
}

// NoteEnd notes the end of an attempt and says whether it is new. A worker lists
// an end again until it knows that the end is stored.
func (t *Task) NoteEnd(attempt int) bool {
	const last = 63
	if attempt < 1 {
		return false
	}
	bit := uint64(1) << min(attempt-1, last)
	if t.Ended&bit != 0 && attempt <= last {
		return false
	}
	t.Ended |= bit
	return true
}

// Finish notes that the task is done and forgets what only an attempt needs.
func (t *Task) Finish() {
	t.Phase, t.Checkpoint = Done, ""
}

// Round is the progress of one occurrence: the tasks of each step.
type Round struct {
	Steps [][]Task `json:"s"`
}

// Progress is how far a job has come.
type Progress struct {
	State State `json:"state,omitempty"`
	// Started says that an attempt of some task was assigned.
	Started bool `json:"started,omitempty"`
	// Ended is when the job reached a final state, in Unix milliseconds.
	Ended int64 `json:"ended,omitempty"`
	// Reason says why the job failed.
	Reason string `json:"reason,omitempty"`
	// Rounds has the occurrences that have begun, by number.
	Rounds map[int]*Round `json:"rounds,omitempty"`
	// Finished has, one bit each from number 0, the occurrences that are done.
	Finished []byte `json:"finished,omitempty"`
}

// Status is what callers are shown.
func (p *Progress) Status() Status {
	s := Status{State: p.State, Ended: p.Ended, Reason: p.Reason}
	if !s.State.Final() && p.Started {
		s.State = Running
	}
	return s
}

// Round returns occurrence k, begun if it wasn't.
func (p *Progress) Round(j *Job, k int) *Round {
	if r := p.Rounds[k]; r != nil {
		return r
	}
	r := &Round{Steps: make([][]Task, len(j.Steps))}
	for i := range j.Steps {
		r.Steps[i] = make([]Task, j.Steps[i].Count)
	}
	if p.Rounds == nil {
		p.Rounds = map[int]*Round{}
	}
	p.Rounds[k] = r
	return r
}

// IsFinished says whether occurrence k is done.
func (p *Progress) IsFinished(k int) bool {
	return k/8 < len(p.Finished) && p.Finished[k/8]&(1<<(k%8)) != 0
}

// Finish notes that occurrence k is done and forgets its tasks.
func (p *Progress) Finish(k int) {
	for len(p.Finished) <= k/8 {
		p.Finished = append(p.Finished, 0)
	}
	p.Finished[k/8] |= 1 << (k % 8)
	delete(p.Rounds, k)
}

// Task returns a task, or nil where its occurrence hasn't begun or the job has
// no such task.
func (p *Progress) Task(id TaskID) *Task {
	r := p.Rounds[id.Occurrence]
	if r == nil || id.Step < 0 || id.Step >= len(r.Steps) || id.Index < 0 || id.Index >= len(r.Steps[id.Step]) {
		return nil
	}
	return &r.Steps[id.Step][id.Index]
}

// StepDone says whether every task of a step is done.
func (r *Round) StepDone(step int) bool {
	for i := range r.Steps[step] {
		if r.Steps[step][i].Phase != Done {
			return false
		}
	}
	return true
}

// Ready says whether the steps that a step comes after are done.
func (r *Round) Ready(j *Job, step int) bool {
	for _, a := range j.Steps[step].After {
		if !r.StepDone(a) {
			return false
		}
	}
	return true
}

// Left is the longest chain of estimated work through the steps that aren't done.
func (r *Round) Left(j *Job) time.Duration {
	var ends [16]time.Duration
	all := ends[:]
	if len(j.Steps) > len(ends) {
		all = make([]time.Duration, len(j.Steps))
	}
	var longest time.Duration
	for i := range j.Steps {
		var begin time.Duration
		for _, a := range j.Steps[i].After {
			begin = max(begin, all[a])
		}
		all[i] = begin
		if !r.StepDone(i) {
			all[i] += j.Steps[i].Estimate
		}
		longest = max(longest, all[i])
	}
	return longest
}

// Done says whether every task of the round is done.
func (r *Round) Done() bool {
	for i := range r.Steps {
		if !r.StepDone(i) {
			return false
		}
	}
	return true
}

// Clone returns a copy that shares nothing with p.
func (p *Progress) Clone() *Progress {
	c := *p
	c.Finished = append([]byte(nil), p.Finished...)
	c.Rounds = make(map[int]*Round, len(p.Rounds))
	for k, r := range p.Rounds {
		n := &Round{Steps: make([][]Task, len(r.Steps))}
		for i := range r.Steps {
			n.Steps[i] = append([]Task(nil), r.Steps[i]...)
		}
		c.Rounds[k] = n
	}
	return &c
}

// Fits says whether the rounds have the shape of the job's steps.
func (p *Progress) Fits(j *Job) bool {
	for k, r := range p.Rounds {
		if r == nil || k < 0 || k >= j.Rounds() || len(r.Steps) != len(j.Steps) {
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
