package mswave

import "marjoramspan/mspool"

// hasReturned reports whether a VM has rebooted and has been up for the soak
// time since.
func (w *waveStep) hasReturned(v mspool.VM, p Progress) bool {
	if p.Phase != Rebooting && p.Phase != Overdue {
		return false
	}
	up := v.State == mspool.Serving || v.State == mspool.Idle || v.State == mspool.Draining
	rebooted := v.BootID != "" && v.BootID != p.BootID
	return up && rebooted && w.now.Sub(v.Since) >= w.cfg.Soak
}

func (w *waveStep) isOverdue(v mspool.VM, p Progress) bool {
	return p.Phase == Rebooting && w.now.Sub(p.Since) >= w.cfg.BootTimeout
}

// mustCancel reports whether a drain must be cancelled: the wave has stopped,
// the VM has failed or is leaving, or its pool has lost VMs since and would not
// meet its budget after a rack failure.
func (w *waveStep) mustCancel(v mspool.VM, p Progress) bool {
	if p.Phase != Draining {
		return false
	}
	unavailable := v.State == mspool.Failed || v.State == mspool.Leaving
	return w.state.Status != Running || unavailable || !w.guard.SurvivesRackLoss(v.Pool)
}

// isDrained reports whether no request can be running on a draining VM. Every
// entry has learned of the drain once the lease and the clock skew have passed;
// since then the VM must have reported no requests, or the longest possible
// request must have ended. A VM that reports no boot id is never drained, as its
// reboot could not be detected.
func (w *waveStep) isDrained(v mspool.VM, p Progress) bool {
	if p.Phase != Draining || v.BootID == "" {
		return false
	}
	knownByAll := p.Since.Add(w.cfg.Lease + ClockSkew)
	if v.Running == 0 && !v.ReportedAt.Before(knownByAll) {
		return true
	}
	return !w.now.Before(knownByAll.Add(w.cfg.MaxRun))
}

// isEligible reports whether v is due, runs, and has not been started on by the
// wave.
func (w *waveStep) isEligible(v mspool.VM) bool {
	if w.state.VMs[v.Name].Phase != "" || !v.Maintainable() {
		return false
	}
	return isDue(w.cfg, v)
}

func isDue(cfg Settings, v mspool.VM) bool {
	return cfg.Cutoff.IsZero() || v.LastMaintained.Before(cfg.Cutoff)
}

// drainAllowance returns how many more VMs may be taken out of service now, by
// the pace limits alone.
func (w *waveStep) drainAllowance() int {
	out := w.state.countInPhase(Draining, Rebooting)
	limit := max(w.cfg.Canary, 2*w.state.countInPhase(Returned))
	if w.cfg.MaxUnavailable > 0 {
		limit = min(limit, w.cfg.MaxUnavailable)
	}
	return max(0, limit-out)
}

const percent = 100

// stopThreshold returns how many failures stop the wave.
func (w *waveStep) stopThreshold() int {
	return w.cfg.StopAfter + w.cfg.StopPercent*w.state.countInPhase(Returned)/percent
}

// countFailures returns how many failures the failed VMs count as. A rack on
// which every VM is down counts once: the cause is no bad image, which would leave
// the VMs that have not rebooted running.
func (w *waveStep) countFailures(failed []Target) int {
	allFailed := make(map[string]bool)
	rackOf := make(map[string]string, len(w.view.Table.VMs))
	for _, v := range w.view.Table.VMs {
		rackOf[v.Name] = v.Rack
		before, seen := allFailed[v.Rack]
		allFailed[v.Rack] = v.State == mspool.Failed && (before || !seen)
	}
	n := 0
	counted := make(map[string]bool)
	for _, target := range failed {
		rack := rackOf[target.VM]
		rackDown := allFailed[rack] && rack != ""
		if rackDown && counted[rack] {
			continue
		}
		counted[rack] = rackDown
		n++
	}
	return n
}

func (w *waveStep) failedVMs() []Target {
	var failed []Target
	for _, v := range w.view.Table.VMs {
		p, ok := w.state.VMs[v.Name]
		if !ok || p.Forgiven {
			continue
		}
		failedAfterReturn := p.Phase == Returned && v.State == mspool.Failed && w.now.Sub(p.Since) <= w.cfg.FailureWindow
		if p.Phase == Overdue || failedAfterReturn {
			failed = append(failed, Target{VM: v.Name})
		}
	}
	return failed
}
