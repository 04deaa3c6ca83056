package mswave

import "marjoramspan/mspool"

// isBack reports whether a rebooted VM has been up long enough since its boot.
func (w *work) isBack(v mspool.VM, p Progress) bool {
	if p.Phase != Rebooting && p.Phase != Overdue {
		return false
	}
	up := v.State == mspool.Serving || v.State == mspool.Idle || v.State == mspool.Draining
	booted := v.BootID != "" && v.BootID != p.BootID
	return up && booted && w.now.Sub(v.Since) >= w.cfg.Soak
}

func (w *work) isLate(v mspool.VM, p Progress) bool {
	return p.Phase == Rebooting && w.now.Sub(p.Since) >= w.cfg.BootTimeout
}

// mustCancel reports whether a draining VM is better kept: the wave has stopped,
// the VM is not well, or its pool has lost VMs since.
func (w *work) mustCancel(v mspool.VM, p Progress) bool {
	if p.Phase != Draining {
		return false
	}
	sick := v.State == mspool.Failed || v.State == mspool.Leaving
	return w.state.Status != Running || sick || !w.guard.Safe(v.Pool)
}

// isDrained reports whether no request can be running on a draining VM: every
// entry has heard of the drain, and since then the VM has reported none, or its
// longest has ended. A VM that doesn't tell its boot id stays, as nobody could
// see its reboot.
func (w *work) isDrained(v mspool.VM, p Progress) bool {
	if p.Phase != Draining || v.BootID == "" {
		return false
	}
	heard := p.Since.Add(w.cfg.Lease + ClockSkew)
	if v.Running == 0 && !v.ReportedAt.Before(heard) {
		return true
	}
	return !w.now.Before(heard.Add(w.cfg.MaxRun))
}

// isDue reports whether the wave has yet to take v, and can.
func (w *work) isDue(v mspool.VM) bool {
	if w.state.VMs[v.Name].Phase != "" || !v.Runs() {
		return false
	}
	return isDue(w.cfg, v)
}

func isDue(cfg Settings, v mspool.VM) bool {
	return cfg.Cutoff.IsZero() || v.LastMaintained.Before(cfg.Cutoff)
}

// room returns how many more VMs may go out now.
func (w *work) room() int {
	out := w.state.count(Draining, Rebooting)
	limit := max(w.cfg.Canary, 2*w.state.count(Returned))
	if w.cfg.MaxOut > 0 {
		limit = min(limit, w.cfg.MaxOut)
	}
	return max(0, limit-out)
}

const percent = 100

// stopAt returns how many lost VMs stop the wave.
func (w *work) stopAt() int {
	return w.cfg.StopAfter + w.cfg.StopPercent*w.state.count(Returned)/percent
}

func (w *work) lost() []Target {
	var out []Target
	for _, v := range w.view.Table.VMs {
		p, ok := w.state.VMs[v.Name]
		if !ok || p.Forgiven {
			continue
		}
		followed := p.Phase == Returned && v.State == mspool.Failed && w.now.Sub(p.Since) <= w.cfg.Follow
		if p.Phase == Overdue || followed {
			out = append(out, Target{VM: v.Name})
		}
	}
	return out
}
