package mswave

import (
	"fmt"
	"time"

	"marjoramspan/mspool"
)

// Reason is one reason why a VM is not being maintained now.
type Reason struct {
	Code ReasonCode `json:"code"`
	Text string     `json:"text"`
}

// ReasonCode identifies a Reason to programs.
type ReasonCode string

// Codes of reasons.
const (
	UnknownVM       ReasonCode = "unknown-vm"
	NoWave          ReasonCode = "no-wave"
	WaveStopped     ReasonCode = "wave-stopped"
	LogBehind       ReasonCode = "log-behind"
	NotDue          ReasonCode = "not-due"
	AlreadyDone     ReasonCode = "already-done"
	NotUp           ReasonCode = "not-up"
	Moving          ReasonCode = "moving"
	RequestsRunning ReasonCode = "requests-running"
	NotBack         ReasonCode = "not-back"
	Budget          ReasonCode = "budget"
	PaceLimit       ReasonCode = "pace"
	NextInTurn      ReasonCode = "next-in-turn"
)

// Why returns why vm does not proceed through maintenance now, the most general
// reason first.
func Why(s *State, view View, now time.Time, vm string) []Reason {
	w := newWaveStep(s, view, now)
	w.prepareGuard()
	for i, v := range view.Table.VMs {
		if v.Name == vm {
			return w.why(v, w.marked.VMs[i])
		}
	}
	return []Reason{newReason(UnknownVM, "VM %s is not in the fleet", vm)}
}

func newReason(c ReasonCode, format string, args ...any) Reason {
	return Reason{Code: c, Text: fmt.Sprintf(format, args...)}
}

func (w *waveStep) why(v, marked mspool.VM) []Reason {
	var reasons []Reason
	s := w.state
	if s.Status != Running && s.Status != Stopped {
		return append(reasons, newReason(NoWave, "no wave is in progress"))
	}
	if !w.logIsFresh() {
		reasons = append(reasons, newReason(LogBehind, "the log was last read at %s", w.view.ReadAt.Format(time.RFC3339)))
	}
	if s.Status == Stopped {
		reasons = append(reasons, newReason(WaveStopped, "wave %s stopped at %s: %s", s.Wave, s.StoppedAt.Format(time.RFC3339), s.Reason))
	}
	if p, ok := s.VMs[v.Name]; ok {
		return append(reasons, w.whyStarted(v, p)...)
	}
	return append(reasons, w.whyWaiting(v, marked)...)
}

func (w *waveStep) whyStarted(v mspool.VM, p Progress) []Reason {
	switch p.Phase {
	case Draining:
		return []Reason{newReason(RequestsRunning, "draining since %s, %d requests running at its last report", p.Since.Format(time.RFC3339), v.Running)}
	case Returned:
		return []Reason{newReason(AlreadyDone, "maintained, and back in service since %s", p.Since.Format(time.RFC3339))}
	}
	return []Reason{newReason(NotBack, "rebooting since %s, not yet up for %s with a boot id other than %q",
		p.Since.Format(time.RFC3339), w.cfg.Soak, p.BootID)}
}

func (w *waveStep) whyWaiting(v, marked mspool.VM) []Reason {
	if !isDue(w.cfg, marked) {
		return []Reason{newReason(NotDue, "maintained at %s, and the wave includes only VMs maintained before %s",
			marked.LastMaintained.Format(time.RFC3339), w.cfg.Cutoff.Format(time.RFC3339))}
	}
	if v.Moving != "" {
		return []Reason{newReason(Moving, "moving from pool %s to %s", v.Pool, v.Moving)}
	}
	if !marked.Maintainable() {
		return []Reason{newReason(NotUp, "the VM is %s in pool %q", v.State, v.Pool)}
	}
	var reasons []Reason
	if verdict := w.guard.Check(marked); !verdict.OK {
		reasons = append(reasons, newReason(Budget, "pool %s would be left with %d VMs and needs %d, and a failure of rack %s would take %d more",
			v.Pool, verdict.Up, verdict.Needed, verdict.Rack, verdict.Lost))
	}
	if w.drainAllowance() == 0 {
		reasons = append(reasons, newReason(PaceLimit, "%d VMs are out of service and %d have returned", w.state.countInPhase(Draining, Rebooting), w.state.countInPhase(Returned)))
	}
	if len(reasons) == 0 {
		reasons = append(reasons, newReason(NextInTurn, "it may go when its turn comes"))
	}
	return reasons
}
