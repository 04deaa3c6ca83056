package msplace

// maxWaitingOccurrences is the number of a job's occurrences that may wait to be placed at a time. It is
// enough for what a pass can place of them.
const maxWaitingOccurrences = 128

// Window says how many of the occurrences of a job that are due are looked at. Those with tasks that wait
// to be placed are bounded. Those that run, or wait for their own reasons, don't count, so that they
// don't keep the next ones from beginning. The rest is a number.
type Window struct {
	// Begun is the first occurrence that hasn't begun, and Due the first that isn't due yet.
	Begun, Due int
}

// Opens reports whether the next occurrence begins beside so many that wait.
func (w *Window) Opens(waiting int) bool {
	return w.Begun < w.Due && waiting < maxWaitingOccurrences
}

// Left returns the number of occurrences that are due and haven't begun.
func (w *Window) Left() int {
	return max(0, w.Due-w.Begun)
}
