package mshealth

import "time"

// Attempt is a running attempt as its worker last reported it.
type Attempt struct {
	// Ran is how long it had run when the worker reported, Expected how long a whole run
	// elsewhere usually takes.
	Ran, Expected time.Duration
	// Done is the fraction of its work that was done.
	Done float64
	// Checkpoint is set if a new attempt goes on from the work done.
	Checkpoint bool
}

const (
	// moveOverhead is the time that a stop, its report, a stored record and a start take.
	moveOverhead = 250 * time.Millisecond
	// moveGain is how many times sooner a new attempt must end: the work done is lost, and
	// the estimates of both times are off by up to a half.
	moveGain = 1.5
	// progressShare and progressMargin are the fraction of its usual time and the time on
	// top after which an attempt must have made progress. Before it, the start of the task
	// hides the speed.
	progressShare  = 0.4
	progressMargin = 100 * time.Millisecond
	// leastDone stands for no progress at all.
	leastDone = 0.02
)

// JudgeAfter is how long a task that usually takes the given time has to run before its
// progress shows whether its worker is slow.
func JudgeAfter(usual time.Duration) time.Duration {
	return time.Duration(progressShare*float64(usual)) + progressMargin
}

// Remaining is how much longer the attempt will take at its speed so far.
func (a Attempt) Remaining() time.Duration {
	done := max(leastDone, a.Done)
	return time.Duration(float64(a.Ran) * (1 - done) / done)
}

// WorthMoving reports whether a new attempt on a sound worker, started now, ends much sooner.
func (a Attempt) WorthMoving() bool {
	if a.Expected <= 0 || a.Ran < JudgeAfter(a.Expected) {
		return false
	}
	elsewhere := a.Expected
	if a.Checkpoint {
		elsewhere = time.Duration(float64(elsewhere) * (1 - a.Done))
	}
	return float64(a.Remaining()) > moveGain*float64(elsewhere+moveOverhead)
}

// StandsStill reports whether the attempt has done nothing, as on a worker that hangs.
func (a Attempt) StandsStill() bool {
	return a.Done < leastDone
}
