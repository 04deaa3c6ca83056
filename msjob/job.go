// Package msjob is the model of jobs: what a caller hands in, how far it has
// come, and the records that make both durable.
//
// A Job is fixed when it is accepted. Its Progress changes as attempts of its
// tasks start and end, and is stored whole with each change, so that the newest
// record of a job is all that a new scheduler needs. Table folds the records in
// the order of the log; it is the same on every entry.
package msjob

import (
	"strconv"
	"time"
)

// Resources is an amount of processor, memory and accelerators.
type Resources struct {
	// CPU is in thousandths of a core, Memory in MB.
	CPU    int64 `json:"cpu,omitempty"`
	Memory int64 `json:"memory,omitempty"`
	GPUs   int64 `json:"gpus,omitempty"`
}

// Plus returns the sum of r and o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{CPU: r.CPU + o.CPU, Memory: r.Memory + o.Memory, GPUs: r.GPUs + o.GPUs}
}

// Minus returns r less o.
func (r Resources) Minus(o Resources) Resources {
	return Resources{CPU: r.CPU - o.CPU, Memory: r.Memory - o.Memory, GPUs: r.GPUs - o.GPUs}
}

// Times returns n times r.
func (r Resources) Times(n int64) Resources {
	return Resources{CPU: r.CPU * n, Memory: r.Memory * n, GPUs: r.GPUs * n}
}

// Fits says whether r is at most room in every respect.
func (r Resources) Fits(room Resources) bool {
	return r.CPU <= room.CPU && r.Memory <= room.Memory && r.GPUs <= room.GPUs
}

// Step is a set of alike tasks.
type Step struct {
	// Count is the number of tasks, each of which needs Need.
	Count int       `json:"count"`
	Need  Resources `json:"need"`
	// Estimate is the caller's guess of a task's run time; it may be far off.
	Estimate time.Duration `json:"estimate,omitempty"`
	// After lists the earlier steps that must be done first.
	After []int `json:"after,omitempty"`
	// Checkpoints says that a stopped task can go on where it was.
	Checkpoints bool `json:"checkpoints,omitempty"`
	// Gang tasks work only while all of them run.
	Gang bool `json:"gang,omitempty"`
	// SameRack tasks are slower when they run on more than one rack.
	SameRack bool `json:"same-rack,omitempty"`
	// Label is one that the worker must have.
	Label string `json:"label,omitempty"`
	// DataRack is the rack that holds the data.
	DataRack string `json:"data-rack,omitempty"`
	// MaxPerWorker bounds the tasks of the step on one worker; 0 is no bound.
	MaxPerWorker int `json:"max-per-worker,omitempty"`
	// Duplicates says that several copies of a task may run.
	Duplicates bool `json:"duplicates,omitempty"`
	// Lasting tasks run until the job is cancelled.
	Lasting bool `json:"lasting,omitempty"`
	// Image names what the tasks run.
	Image string `json:"image,omitempty"`
	// TailTarget is the response time that the tail of a lasting task keeps to.
	TailTarget time.Duration `json:"tail-target,omitempty"`
	// Backfill tasks get the processor time that others on the worker leave.
	Backfill bool `json:"backfill,omitempty"`
	// MayMiss is how many of a lasting step's tasks may be away at a time by
	// actions of this system.
	MayMiss int `json:"may-miss,omitempty"`
}

// Reserved is what a task of the step takes of a worker's capacity.
func (s *Step) Reserved() Resources {
	r := s.Need
	if s.Backfill {
		r.CPU = 0
	}
	return r
}

// Job is what a caller handed in, with what its queue said at that time.
type Job struct {
	ID    string `json:"id"`
	Queue string `json:"queue"`
	// Pool is the pool whose workers run the job.
	Pool string `json:"pool"`
	// Team is empty for a job from a queue open to all.
	Team  string `json:"team,omitempty"`
	Spec  string `json:"spec"`
	Steps []Step `json:"steps"`
	// Priority 0 goes first.
	Priority int `json:"priority,omitempty"`
	// Attempts is how often a task may fail before the job does.
	Attempts int `json:"attempts,omitempty"`
	// Stretch times the longest chain of work plus Slack is the latency objective.
	Stretch float64       `json:"stretch,omitempty"`
	Slack   time.Duration `json:"slack,omitempty"`
	// Accepted is when the entry took the job.
	Accepted time.Time `json:"accepted"`
	// Occurrences is how often the steps run; 0 is once, at once.
	Occurrences int           `json:"occurrences,omitempty"`
	StartAt     time.Time     `json:"start-at,omitzero"`
	Every       time.Duration `json:"every,omitempty"`
}

// Lasting says whether a task of j runs until the job is cancelled.
func (j *Job) Lasting() bool {
	for i := range j.Steps {
		if j.Steps[i].Lasting {
			return true
		}
	}
	return false
}

// Rounds is how many occurrences the job has, at least one.
func (j *Job) Rounds() int {
	return max(j.Occurrences, 1)
}

// Due is when occurrence k may start.
func (j *Job) Due(k int) time.Time {
	if j.Occurrences == 0 {
		return j.Accepted
	}
	return j.StartAt.Add(time.Duration(k) * j.Every)
}

// Chain is the longest chain of estimated work through the steps.
func (j *Job) Chain() time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i := range j.Steps {
		var begin time.Duration
		for _, a := range j.Steps[i].After {
			begin = max(begin, ends[a])
		}
		ends[i] = begin + j.Steps[i].Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// Objective is how long after its due time an occurrence should have ended.
func (j *Job) Objective() time.Duration {
	return time.Duration(float64(j.Chain())*j.Stretch) + j.Slack
}

// Work is the estimated work of one occurrence, in core-seconds.
func (j *Job) Work() float64 {
	var w float64
	for i := range j.Steps {
		s := &j.Steps[i]
		if !s.Lasting && !s.Backfill {
			w += float64(s.Count) * float64(s.Need.CPU) / milliCores * s.Estimate.Seconds()
		}
	}
	return w
}

// milliCores is the number of CPU units in a core.
const milliCores = 1000

// maxTasks bounds the tasks of one job, so that a body of a few bytes can't
// take all memory.
const maxTasks = 100_000

// Check returns an error that names what is wrong with the job.
func (j *Job) Check() error {
	if len(j.Steps) == 0 {
		return &Error{Job: j.ID, Reason: "a job needs a step"}
	}
	total := 0
	for i := range j.Steps {
		s := &j.Steps[i]
		if s.Count < 1 || s.Count > maxTasks {
			return &Error{Job: j.ID, Reason: "step " + strconv.Itoa(i) + " needs between 1 and " + strconv.Itoa(maxTasks) + " tasks"}
		}
		total += s.Count
		if s.Need.CPU < 0 || s.Need.Memory < 0 || s.Need.GPUs < 0 || s.Estimate < 0 || s.MaxPerWorker < 0 {
			return &Error{Job: j.ID, Reason: "step " + strconv.Itoa(i) + " has a negative amount"}
		}
		for _, a := range s.After {
			if a < 0 || a >= i {
				return &Error{Job: j.ID, Reason: "step " + strconv.Itoa(i) + " comes after a step that isn't an earlier one"}
			}
		}
	}
	if total > maxTasks || j.Occurrences < 0 || total*j.Rounds() > maxTasks {
		return &Error{Job: j.ID, Reason: "a job has at most " + strconv.Itoa(maxTasks) + " tasks"}
	}
	return nil
}

// Error says what is wrong with a job or a record of one.
type Error struct {
	Job    string
	Reason string
	Err    error
}

// Error returns the job's id and the reason.
func (e *Error) Error() string {
	s := "job " + e.Job + ": " + e.Reason
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// TaskID names a task.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the parts of t joined by dots.
func (t TaskID) String() string {
	b := make([]byte, 0, len(t.Job)+12)
	b = append(b, t.Job...)
	b = append(b, '.')
	b = strconv.AppendInt(b, int64(t.Occurrence), 10)
	b = append(b, '.')
	b = strconv.AppendInt(b, int64(t.Step), 10)
	b = append(b, '.')
	b = strconv.AppendInt(b, int64(t.Index), 10)
	return string(b)
}
