package msscheduler

import "cmp"

// This file has sums over the attempts that may run. They change as attempts are added and dropped, so
// that a pass needs not look at all attempts of a large job.

// stepIndex identifies a step of an occurrence of a job.
type stepIndex struct {
	occurrence, step int
}

// stepRuns sums up the attempts of a step of an occurrence that may run.
type stepRuns struct {
	n int
	// broken is the gang attempt whose members are being stopped.
	broken int
	// onWorker counts them by worker. It is nil if the step doesn't ask where its tasks run.
	onWorker map[string]int
}

// stepRuns returns the sum of a step, which changes with its attempts until dropEmptySum is called.
func (j *job) stepRuns(i stepIndex) *stepRuns {
	c := j.steps[i]
	if c == nil {
		c = &stepRuns{}
		if step := &j.def.Steps[i.step]; step.MaxPerWorker > 0 || step.SameRack || step.LongRunning {
			c.onWorker = map[string]int{}
		}
		if j.steps == nil {
			j.steps = map[stepIndex]*stepRuns{}
		}
		j.steps[i] = c
	}
	return c
}

// dropEmptySum forgets the sum of a step without attempts.
func (j *job) dropEmptySum(i stepIndex) {
	if c := j.steps[i]; c != nil && c.n == 0 {
		delete(j.steps, i)
	}
}

// countRun adds n to the sum of an attempt's step.
func (j *job) countRun(r *run, n int) {
	if r.task.Step < 0 || r.task.Step >= len(j.def.Steps) {
		return
	}
	i := stepIndex{r.task.Occurrence, r.task.Step}
	c := j.stepRuns(i)
	c.n += n
	if c.onWorker != nil {
		addCount(c.onWorker, r.w.ID, n)
	}
	if n < 0 {
		j.dropEmptySum(i)
	}
}

// onRacks counts the attempts of a step by rack, as the racks of workers are known now. The result is
// valid until the next call.
func (e *Engine) onRacks(c *stepRuns) map[string]int {
	if c.onWorker == nil {
		return nil
	}
	if e.onRack == nil {
		e.onRack = map[string]int{}
	}
	clear(e.onRack)
	for id, n := range c.onWorker {
		if w := e.workers[id]; w != nil {
			e.onRack[w.Rack] += n
		}
	}
	return e.onRack
}

func addCount(counts map[string]int, key string, n int) {
	counts[key] += n
	if counts[key] == 0 {
		delete(counts, key)
	}
}

// queueKey names what is counted and learned for the job's queue.
func (j *job) queueKey() string {
	if j.queueName == "" {
		j.queueName = j.def.QueueID().Key()
	}
	return j.queueName
}

// defaultMaxAttempts is Settings.MaxAttempts if that isn't set.
const defaultMaxAttempts = 32_768

// countAttempt adds n to the attempts of a job's queue.
func (e *Engine) countAttempt(j *job, n int) {
	if e.queueAttempts == nil {
		e.queueAttempts = map[string]int{}
	}
	addCount(e.queueAttempts, j.queueKey(), n)
}

// attemptRoom returns how many more attempts of a job's queue may run. A queue has at most as many as it
// leaves to all others, so that none is ever without room.
func (e *Engine) attemptRoom(j *job) int {
	limit := cmp.Or(e.Settings.MaxAttempts, defaultMaxAttempts)
	return max(0, limit-len(e.runs)-e.queueAttempts[j.queueKey()]) / 2
}
