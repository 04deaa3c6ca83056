// Package mswait keeps track of the jobs that wait beside free workers: why, and for how long.
// It does no I/O and starts no goroutines.
package mswait

import (
	"cmp"
	"slices"
	"time"
)

// Reason is why a job that could run has nothing running.
type Reason string

const (
	// None is the reason of jobs that don't wait.
	None Reason = ""
	// Full says that no worker that could run the task has room.
	Full Reason = "full"
	// NoWorker says that the pool has no worker. Like the reasons up to Leaving it means that no
	// worker could run the task, however idle; Workers has the reason.
	NoWorker Reason = "no-worker"
	// NoEntry says that VMs of the pool are up that could run the task, but the registry lacks
	// their workers, or these were given up.
	NoEntry Reason = "no-entry"
	// SourcesDiffer says that workers could run the task by the list of VMs, and can't by their
	// entries.
	SourcesDiffer Reason = "sources-differ"
	// NoLabel says that no worker has the task's label.
	NoLabel Reason = "no-label"
	// NoSize says that no worker with the task's label is large enough for it.
	NoSize Reason = "no-size"
	// Spread says that each worker with the label and the size runs as many tasks of the step
	// as may share a worker.
	Spread Reason = "spread"
	// Unsettled says that there are workers whose state isn't known: they have restarted and
	// their entry has not, or they run attempts of jobs that are no longer known.
	Unsettled Reason = "unsettled"
	// Leaving says that there are workers that drain, are ordered away or can't be reached.
	Leaving Reason = "leaving"
	// Gang says that there is room for some of a gang only.
	Gang Reason = "gang"
	// Paused says that workers with room get no tasks: others failed or stalled there, starts
	// were rejected, or the pool needs fewer VMs.
	Paused Reason = "paused"
	// HeldForWide says that the worker with room is kept for a wide job.
	HeldForWide Reason = "held-for-wide"
	// BehindUseful says that the job is late beyond use and others wait that aren't.
	BehindUseful Reason = "behind-useful"
	// KeptForTrials says that workers with room are kept for tasks that start apart.
	KeptForTrials Reason = "kept-for-trials"
	// OnTrial says that the task may have crashed a worker, and has to start apart from others.
	OnTrial Reason = "on-trial"
	// TeamLimit says that the job's team runs as much as it may.
	TeamLimit Reason = "team-limit"
	// Ticket says that the advisor has named no worker yet.
	Ticket Reason = "ticket"
	// WideGang says that the gang has more members than can start within the time that they wait
	// for each other.
	WideGang Reason = "wide-gang"
	// AttemptLimit says that as many attempts run as the leader can keep track of.
	AttemptLimit Reason = "attempt-limit"
	// RetryDelay says that the task is delayed after failed starts or crashes.
	RetryDelay Reason = "retry-delay"
	// NewerSite says that the job was accepted by a newer site than the leader has.
	NewerSite Reason = "newer-site"
	// StaleRecords says that the leader's view of the operators' records is too old.
	StaleRecords Reason = "stale-records"
	// StartOfTerm says that the leader waits for the first reports of the workers.
	StartOfTerm Reason = "start-of-term"
	// NoTerm says that the leader can't renew its term.
	NoTerm Reason = "no-term"
)

// IsProtection reports whether the job waits only because workers with room are kept from it.
func (r Reason) IsProtection() bool {
	return r == Paused || r == HeldForWide || r == KeptForTrials
}

// Workers counts the VMs and workers of a pool, as the leader knows them, from all down to those
// that could run a task.
type Workers struct {
	// VMsUp has the VMs that the list of VMs shows up. Registered has the workers in the
	// registry, of which Answering answer and GivenUp are never asked again.
	VMsUp, Registered, Answering, GivenUp int
	// Usable may get tasks. Each of the next is a part of the one before: those with the task's
	// label, large enough for it, and without too many tasks of its step.
	Usable, WithLabel, WithSize, WithSpread int
	// NoEntry has the VMs up that could run the task and have no worker in the registry, or one
	// that was given up. Differing has the VMs that could run it, and their workers can't by
	// their entries.
	NoEntry, Differing int
}

// Reason returns why no worker could run a task.
func (w Workers) Reason() Reason {
	switch {
	case w.NoEntry > 0:
		return NoEntry
	case w.Differing > 0:
		return SourcesDiffer
	case w.Usable == 0:
		return NoWorker
	case w.WithLabel == 0:
		return NoLabel
	case w.WithSize == 0:
		return NoSize
	}
	return Spread
}

// Wait is a job that waits beside free workers.
type Wait struct {
	Job, Pool string
	Reason    Reason
	// Workers is zero for reasons that don't depend on it.
	Workers Workers
	// Since is when the job began to wait beside free workers, ReasonSince since when it is for
	// this reason.
	Since, ReasonSince time.Time

	round  int
	logged bool
}

// Change is a wait whose reason has begun or ended.
type Change struct {
	Wait
	// Ended is set if the reason has ended; For is how long it has lasted.
	Ended bool
	For   time.Duration
}

const (
	// MinLogged is how long a reason has to last for it to be a Change. Starts are placed some
	// hundred milliseconds after the end of others.
	MinLogged = 500 * time.Millisecond
	// maxChanges bounds the begins in changesInterval. A wait that lasts has its turn later.
	maxChanges      = 20
	changesInterval = time.Second
)

// Tracker tracks waits in rounds: those that aren't noted in a round have ended. The zero value
// is empty.
type Tracker struct {
	waits   map[string]*Wait
	round   int
	changes []Change
	// begun is when the interval began in which n changes were returned.
	begun time.Time
	n     int
}

// Note says that a job waits beside free workers in this round. all may be zero.
func (t *Tracker) Note(job, pool string, r Reason, all Workers, now time.Time) {
	w := t.waits[job]
	if w == nil {
		if t.waits == nil {
			t.waits = map[string]*Wait{}
		}
		w = &Wait{Job: job, Since: now}
		t.waits[job] = w
	}
	if w.Reason != r {
		t.end(w, now)
		w.Reason, w.ReasonSince = r, now
	}
	w.Pool, w.Workers, w.round = pool, all, t.round
	if !w.logged && now.Sub(w.ReasonSince) >= MinLogged {
		w.logged = t.add(Change{Wait: *w, For: now.Sub(w.ReasonSince)}, now)
	}
}

func (t *Tracker) end(w *Wait, now time.Time) {
	if w.logged {
		t.add(Change{Wait: *w, Ended: true, For: now.Sub(w.ReasonSince)}, now)
		w.logged = false
	}
}

// add adds a change, and reports whether there was room for it.
func (t *Tracker) add(c Change, now time.Time) bool {
	if now.Sub(t.begun) >= changesInterval {
		t.begun, t.n = now, 0
	}
	if t.n >= maxChanges && !c.Ended {
		return false
	}
	t.n++
	t.changes = append(t.changes, c)
	return true
}

// EndRound ends the waits that were not noted in the round, and returns what has changed in
// it. The changes are valid until the next call of Note.
func (t *Tracker) EndRound(now time.Time) []Change {
	for job, w := range t.waits {
		if w.round != t.round {
			t.end(w, now)
			delete(t.waits, job)
		}
	}
	t.round++
	all := t.changes
	t.changes = t.changes[:0]
	return all
}

// Longest returns how long the longest wait for each reason has lasted.
func (t *Tracker) Longest(now time.Time) map[Reason]time.Duration {
	longest := map[Reason]time.Duration{}
	for _, w := range t.waits {
		longest[w.Reason] = max(longest[w.Reason], now.Sub(w.Since))
	}
	return longest
}

// Over returns waits that have lasted for d, longest first: of each reason the n longest.
func (t *Tracker) Over(d time.Duration, n int, now time.Time) []Wait {
	var all []Wait
	for _, w := range t.waits {
		if now.Sub(w.Since) >= d {
			all = append(all, *w)
		}
	}
	slices.SortFunc(all, func(a, b Wait) int { return cmp.Or(a.Since.Compare(b.Since), cmp.Compare(a.Job, b.Job)) })
	byReason := map[Reason]int{}
	return slices.DeleteFunc(all, func(w Wait) bool {
		byReason[w.Reason]++
		return byReason[w.Reason] > n
	})
}
