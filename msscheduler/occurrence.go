package msscheduler

// beginOccurrences begins the occurrences of recurring jobs that are due, as far as they are in the job's
// window. The caller holds mu.
func (e *Engine) beginOccurrences() {
	now := e.Wall.Now()
	for _, j := range e.recurring {
		j.window.Due = j.def.DueCount(now)
		// Delayed tasks wait for their own reasons.
		for j.window.Opens(j.tasks().waitingOccurrences - len(j.retryAt)) {
			k := j.window.Begun
			j.window.Begun++
			if j.p.Occurrences[k] == nil && !j.p.IsFinished(k) {
				j.p.Occurrence(j.def, k)
				j.tasksChanged()
			}
		}
	}
}

// forgetOccurrence drops what is known of the steps of a finished occurrence.
func (e *Engine) forgetOccurrence(j *job, k int) {
	for s := range j.def.Steps {
		delete(e.adviceByStep, stepKey{j.def.ID, k, s})
	}
}

// demandOfDue returns the CPU of the tasks that could start now of occurrences that are due and outside of
// the window.
func (j *job) demandOfDue() int64 {
	left := int64(j.window.Left())
	if left == 0 {
		return 0
	}
	cpu := int64(0)
	for i := range j.def.Steps {
		if s := &j.def.Steps[i]; len(s.After) == 0 && !s.LongRunning {
			cpu += int64(s.Count) * s.Reserved().CPU
		}
	}
	return left * cpu
}
