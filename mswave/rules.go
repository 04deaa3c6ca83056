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

// weight returns how much the lost VMs speak against the wave. A rack that is
// down as a whole counts once: a bad image would spare what has not rebooted.
func (w *work) weight(lost []Target) int {
	down := make(map[string]bool)
	rackOf := make(map[string]string, len(w.view.Table.VMs))
	for _, v := range w.view.Table.VMs {
		rackOf[v.Name] = v.Rack
		was, seen := down[v.Rack]
		down[v.Rack] = v.State == mspool.Failed && (was || !seen)
	}
	n := 0
	counted := make(map[string]bool)
	for _, target := range lost {
		rack := rackOf[target.VM]
		whole := down[rack] && rack != ""
		if whole && counted[rack] {
			continue
		}
		counted[rack] = whole
		n++
	}
	return n
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
