package mswave

import (
	"fmt"
	"time"

	"marjoramspan/mspool"
)

// Reason is one thing that keeps a VM from being maintained now.
type Reason struct {
	Code ReasonCode `json:"code"`
	Text string     `json:"text"`
}

// ReasonCode names a Reason.
type ReasonCode string

// Codes of reasons.
const (
	UnknownVM   ReasonCode = "unknown-vm"
	NoWave      ReasonCode = "no-wave"
	WaveStopped ReasonCode = "wave-stopped"
	LogBehind   ReasonCode = "log-behind"
	NotDue      ReasonCode = "not-due"
	AlreadyDone ReasonCode = "already-done"
	NotUp       ReasonCode = "not-up"
	Moving      ReasonCode = "moving"
	BusyStill   ReasonCode = "requests-running"
	NotBack     ReasonCode = "not-back"
	Budget      ReasonCode = "budget"
	PaceLimit   ReasonCode = "pace"
	NextInTurn  ReasonCode = "next-in-turn"
)

// Why says why vm stays as it is, most general reason first.
func Why(s *State, view View, now time.Time, vm string) []Reason {
	w := newWork(s, view, now)
	w.count()
	for i, v := range view.Table.VMs {
		if v.Name == vm {
			return w.why(v, w.marked.VMs[i])
		}
	}
	return []Reason{reason(UnknownVM, "%s is not on the list of VMs", vm)}
}

func reason(c ReasonCode, format string, args ...any) Reason {
	return Reason{Code: c, Text: fmt.Sprintf(format, args...)}
}

func (w *work) why(v, marked mspool.VM) []Reason {
	var out []Reason
	s := w.state
	if s.Status != Running && s.Status != Stopped {
		return append(out, reason(NoWave, "no wave is under way"))
	}
	if !w.fresh() {
		out = append(out, reason(LogBehind, "the log was last read at %s", w.view.ReadAt.Format(time.RFC3339)))
	}
	if s.Status == Stopped {
		out = append(out, reason(WaveStopped, "wave %s stopped at %s: %s", s.Wave, s.StoppedAt.Format(time.RFC3339), s.Reason))
	}
	if p, ok := s.VMs[v.Name]; ok {
		return append(out, w.whyTouched(v, p)...)
	}
	return append(out, w.whyWaiting(v, marked)...)
}

func (w *work) whyTouched(v mspool.VM, p Progress) []Reason {
	switch p.Phase {
	case Draining:
		return []Reason{reason(BusyStill, "draining since %s, %d requests when it last reported", p.Since.Format(time.RFC3339), v.Running)}
	case Returned:
		return []Reason{reason(AlreadyDone, "came back at %s", p.Since.Format(time.RFC3339))}
	}
	return []Reason{reason(NotBack, "rebooting since %s, not yet seen up for %s with a boot other than %q",
		p.Since.Format(time.RFC3339), w.cfg.Soak, p.BootID)}
}

func (w *work) whyWaiting(v, marked mspool.VM) []Reason {
	if !isDue(w.cfg, marked) {
		return []Reason{reason(NotDue, "maintained at %s, and the wave takes those from before %s",
			marked.LastMaintained.Format(time.RFC3339), w.cfg.Cutoff.Format(time.RFC3339))}
	}
	if v.Moving != "" {
		return []Reason{reason(Moving, "moving from pool %s to %s", v.Pool, v.Moving)}
	}
	if !marked.Runs() {
		return []Reason{reason(NotUp, "it is %s in pool %q", v.State, v.Pool)}
	}
	var out []Reason
	if c := w.guard.Check(marked); !c.OK {
		out = append(out, reason(Budget, "pool %s would be left with %d VMs and needs %d, and rack %s may fail with %d more",
			v.Pool, c.Up, c.Needed, c.Rack, c.Lost))
	}
	if w.room() == 0 {
		out = append(out, reason(PaceLimit, "%d VMs are out and %d have returned", w.state.count(Draining, Rebooting), w.state.count(Returned)))
	}
	if len(out) == 0 {
		out = append(out, reason(NextInTurn, "it may go when its turn comes"))
	}
	return out
}
