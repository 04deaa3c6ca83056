// Package msjob defines jobs, their progress, and the log records that persist
// both.
//
// A Job is immutable once it is accepted. Its Progress changes as attempts of its
// tasks start and end. Every change stores the complete progress, so that a new
// scheduler needs only the newest record of a job. Table applies the records in
// log order and reaches the same state on every entry.
package msjob

import (
	"strconv"
	"time"
)

// Resources is an amount of CPU, memory and GPUs.
type Resources struct {
	// CPU is in millicores, Memory in MB.
	CPU    int64 `json:"cpu,omitempty"`
	Memory int64 `json:"memory,omitempty"`
	GPUs   int64 `json:"gpus,omitempty"`
}

// Plus returns r + o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{CPU: r.CPU + o.CPU, Memory: r.Memory + o.Memory, GPUs: r.GPUs + o.GPUs}
}

// Minus returns r - o. The result may be negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{CPU: r.CPU - o.CPU, Memory: r.Memory - o.Memory, GPUs: r.GPUs - o.GPUs}
}

// Times returns r multiplied by n.
func (r Resources) Times(n int64) Resources {
	return Resources{CPU: r.CPU * n, Memory: r.Memory * n, GPUs: r.GPUs * n}
}

// Fits reports whether every resource of r is within capacity.
func (r Resources) Fits(capacity Resources) bool {
	return r.CPU <= capacity.CPU && r.Memory <= capacity.Memory && r.GPUs <= capacity.GPUs
}

// Step is a set of identical tasks.
type Step struct {
	// Count is the number of tasks. Need is what one of them requires.
	Count int       `json:"count"`
	Need  Resources `json:"need"`
	// Estimate is the caller's estimate of a task's run time. It may be far off.
	Estimate time.Duration `json:"estimate,omitempty"`
	// After lists the indices of the earlier steps that must complete first.
	After []int `json:"after,omitempty"`
	// Checkpoints is set if a stopped task can resume from a checkpoint.
	Checkpoints bool `json:"checkpoints,omitempty"`
	// Gang is set if the tasks make progress only while all of them run.
	Gang bool `json:"gang,omitempty"`
	// SameRack is set if the tasks are slower when they run on several racks.
	SameRack bool `json:"same-rack,omitempty"`
	// Label, if set, is a label that the worker must have.
	Label string `json:"label,omitempty"`
	// DataRack, if set, is the rack that holds the input data.
	DataRack string `json:"data-rack,omitempty"`
	// MaxPerWorker limits the tasks of the step on one worker; 0 is no limit.
	MaxPerWorker int `json:"max-per-worker,omitempty"`
	// Duplicates is set if several copies of a task may run at the same time.
	Duplicates bool `json:"duplicates,omitempty"`
	// LongRunning is set if the tasks run until the job is canceled.
	LongRunning bool `json:"lasting,omitempty"`
	// Image is the image that the tasks run.
	Image string `json:"image,omitempty"`
	// TailLatencyTarget is the target for the tail latency of a lasting task.
	TailLatencyTarget time.Duration `json:"tail-target,omitempty"`
	// Backfill is set if the tasks use only CPU time that is otherwise idle on
	// the worker.
	Backfill bool `json:"backfill,omitempty"`
	// MaxUnavailable is how many tasks of a lasting step this system may make unavailable
	// at the same time.
	MaxUnavailable int `json:"may-miss,omitempty"`
}

// Reserved returns the worker capacity that a task of the step reserves. Backfill
// tasks reserve no CPU.
func (s *Step) Reserved() Resources {
	r := s.Need
	if s.Backfill {
		r.CPU = 0
	}
	return r
}

// Job is a job as a caller submitted it, with the settings that its queue had at
// that time.
type Job struct {
	ID string `json:"id"`
	// Queue is the name that the queue had, Host and Prefix are what callers know it by: see QueueID.
	Queue  string `json:"queue"`
	Host   string `json:"host,omitempty"`
	Prefix string `json:"prefix,omitempty"`
	// Pool is the pool whose workers run the job.
	Pool string `json:"pool"`
	// Team is empty for a job that was submitted without a key.
	Team  string `json:"team,omitempty"`
	Spec  string `json:"spec"`
	Steps []Step `json:"steps"`
	// Priority is 0 for the most urgent jobs.
	Priority int `json:"priority,omitempty"`
	// Attempts is how many attempts of a task may fail before the job fails.
	Attempts int `json:"attempts,omitempty"`
	// Stretch and Slack define the latency objective: Stretch times the critical
	// path, plus Slack.
	Stretch float64       `json:"stretch,omitempty"`
	Slack   time.Duration `json:"slack,omitempty"`
	// SiteVersion is the version of the site by which the entry accepted the job. It is 0 in
	// the records of versions that don't store it.
	SiteVersion int64 `json:"site-version,omitempty"`
	// Accepted is when the entry accepted the job.
	Accepted time.Time `json:"accepted"`
	// Occurrences is how many times the steps run, at StartAt and then every Every.
	// 0 runs them once, without delay.
	Occurrences int           `json:"occurrences,omitempty"`
	StartAt     time.Time     `json:"start-at,omitzero"`
	Every       time.Duration `json:"every,omitempty"`
}

// LongRunning reports whether j has tasks that run until the job is canceled.
func (j *Job) LongRunning() bool {
	for i := range j.Steps {
		if j.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// OccurrenceCount returns the number of occurrences of the job, at least 1.
func (j *Job) OccurrenceCount() int {
	return max(j.Occurrences, 1)
}

// Due returns when occurrence k may start.
func (j *Job) Due(k int) time.Time {
	if j.Occurrences == 0 {
		return j.Accepted
	}
	return j.StartAt.Add(time.Duration(k) * j.Every)
}

// DueCount returns the number of occurrences that are due at now.
func (j *Job) DueCount(now time.Time) int {
	if now.Before(j.Due(0)) {
		return 0
	}
	if j.Occurrences == 0 || j.Every <= 0 {
		return j.OccurrenceCount()
	}
	return int(min(int64(now.Sub(j.StartAt)/j.Every)+1, int64(j.Occurrences)))
}

// CriticalPath returns the length of the critical path: the longest chain of dependent
// steps by estimated run time.
func (j *Job) CriticalPath() time.Duration {
	finish := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i := range j.Steps {
		var start time.Duration
		for _, dep := range j.Steps[i].After {
			start = max(start, finish[dep])
		}
		finish[i] = start + j.Steps[i].Estimate
		longest = max(longest, finish[i])
	}
	return longest
}

// LatencyObjective returns the latency objective: how long after its due time an
// occurrence should have completed.
func (j *Job) LatencyObjective() time.Duration {
	return time.Duration(float64(j.CriticalPath())*j.Stretch) + j.Slack
}

// Work returns the estimated work of one occurrence, in core-seconds. LongRunning and
// backfill steps don't count.
func (j *Job) Work() float64 {
	var w float64
	for i := range j.Steps {
		s := &j.Steps[i]
		if !s.LongRunning && !s.Backfill {
			w += float64(s.Count) * float64(s.Need.CPU) / milliCoresPerCore * s.Estimate.Seconds()
		}
	}
	return w
}

// milliCoresPerCore is the number of CPU units in a core.
const milliCoresPerCore = 1000

// maxTasks limits the tasks of one job, over all its occurrences, so that a request
// body of a few bytes can't exhaust the memory.
const maxTasks = 100_000

// Check validates the job and returns an *Error for the first fault.
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
		for _, dep := range s.After {
			if dep < 0 || dep >= i {
				return &Error{Job: j.ID, Reason: "step " + strconv.Itoa(i) + " comes after a step that isn't an earlier one"}
			}
		}
	}
	// The product may overflow.
	if total > maxTasks || j.Occurrences < 0 || j.OccurrenceCount() > maxTasks/total {
		return &Error{Job: j.ID, Reason: "a job has at most " + strconv.Itoa(maxTasks) + " tasks"}
	}
	return nil
}

const (
	// MaxAmount limits an amount of a resource that comes from outside, such as what a task
	// requires or a worker has, so that the sums over all of them can't overflow.
	MaxAmount = 1 << 36
	// maxEstimates limits the estimates of all steps together, and maxSpan the time between
	// the first occurrence and the last, so that what is calculated from them doesn't overflow
	// a time.Duration.
	maxEstimates = 365 * 24 * time.Hour
	maxSpan      = 40 * 365 * 24 * time.Hour
)

// CheckNew validates a job that is handed in and returns an *Error for the first fault. It
// finds those of Check, and amounts that the scheduler can't calculate with. Jobs that are
// stored already are checked by Check alone.
func (j *Job) CheckNew() error {
	if err := j.Check(); err != nil {
		return err
	}
	var estimates time.Duration
	for i := range j.Steps {
		s := &j.Steps[i]
		if s.Need.CPU > MaxAmount || s.Need.Memory > MaxAmount || s.Need.GPUs > MaxAmount {
			return &Error{Job: j.ID, Reason: "step " + strconv.Itoa(i) + " requires more than any worker has"}
		}
		if s.TailLatencyTarget < 0 || s.MaxUnavailable < 0 {
			return &Error{Job: j.ID, Reason: "step " + strconv.Itoa(i) + " has a negative amount"}
		}
		if s.Estimate > maxEstimates-estimates {
			return &Error{Job: j.ID, Reason: "the steps take longer than " + maxEstimates.String()}
		}
		estimates += s.Estimate
	}
	if j.Every < 0 || j.Every > maxSpan/time.Duration(j.OccurrenceCount()) {
		return &Error{Job: j.ID, Reason: "the interval between occurrences is negative or too long"}
	}
	return nil
}

// Error reports an invalid job or an invalid record.
type Error struct {
	Job    string
	Reason string
	Err    error
}

// Error returns the job's id, the reason and the cause.
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

// TaskID identifies a task of one occurrence of a job.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns t as JOB.OCCURRENCE.STEP.INDEX.
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
