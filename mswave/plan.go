package mswave

import (
	"fmt"
	"time"

	"marjoramspan/mspool"
)

// Forecast is how a wave would go if nothing failed meanwhile.
type Forecast struct {
	Batches []Batch `json:"batches"`
	// Loans are spare VMs that pools need before any of their VMs may go.
	Loans []mspool.Loan `json:"loans,omitempty"`
	// Blocked are VMs that are due and that no batch could take.
	Blocked []string `json:"blocked,omitempty"`
}

// Batch is a set of VMs that are out of service at the same time.
type Batch struct {
	VMs []string `json:"vms"`
}

// PlanError reports a wave that cannot be planned.
type PlanError struct {
	Wave   string
	Reason string
}

// Error describes the failure in one line.
func (e *PlanError) Error() string {
	return fmt.Sprintf("mswave: no plan for wave %q: %s", e.Wave, e.Reason)
}

// Plan forecasts the wave that cfg describes over t, with whatever is down in t
// staying down. It takes the same decisions as Step.
func Plan(t mspool.Table, name string, cfg Settings) (Forecast, error) {
	cfg = cfg.filled()
	if name == "" {
		return Forecast{}, &PlanError{Wave: name, Reason: "it has no name"}
	}
	if cfg.MaxOut < 0 || cfg.KeepSpare < 0 || cfg.Canary < 0 || cfg.StopAfter < 0 {
		return Forecast{}, &PlanError{Wave: name, Reason: "a setting is below zero"}
	}
	if len(t.Pools) == 0 {
		return Forecast{}, &PlanError{Wave: name, Reason: "the table has no pool"}
	}
	due := func(v mspool.VM) bool { return v.Runs() && isDue(cfg, v) }
	f := Forecast{Loans: lending(loans(t, cfg, due))}
	q := newQueues(t, due)
	returned := 0
	for q.left() > 0 {
		limit := max(cfg.Canary, 2*returned)
		if cfg.MaxOut > 0 {
			limit = min(limit, cfg.MaxOut)
		}
		picked := q.pick(mspool.NewGuard(t, cfg.KeepSpare), limit)
		if len(picked) == 0 {
			break
		}
		returned += len(picked)
		f.Batches = append(f.Batches, Batch{VMs: names(picked)})
	}
	for _, one := range q.pools {
		for _, v := range one.vms {
			f.Blocked = append(f.Blocked, v.Name)
		}
	}
	return f, nil
}

// Loans returns a loan for each pool that the wave has yet to take VMs of. Most
// are of 0 VMs: a pool asks for spare VMs only where none of its VMs could ever
// go without, as a VM lent is two moves. The caller hands them to mspool.Plan.
func Loans(s *State, view View, now time.Time) []mspool.Loan {
	if s.Status != Running && s.Status != Stopped {
		return nil
	}
	w := newWork(s, view, now)
	pending := func(v mspool.VM) bool {
		p := s.VMs[v.Name].Phase
		return isDue(w.cfg, v) && p != Returned && v.State != mspool.Failed
	}
	return loans(s.Mark(view.Table), w.cfg, pending)
}

// lending returns the loans of one VM or more.
func lending(all []mspool.Loan) []mspool.Loan {
	var out []mspool.Loan
	for _, l := range all {
		if l.VMs > 0 {
			out = append(out, l)
		}
	}
	return out
}

// loans counts what would be missing if every member were up: what is down now
// comes back without a loan.
func loans(t mspool.Table, cfg Settings, due func(mspool.VM) bool) []mspool.Loan {
	well := wellTable(t)
	guard := mspool.NewGuard(well, cfg.KeepSpare)
	need := make(map[string]int, len(t.Pools))
	for _, v := range well.VMs {
		n, seen := need[v.Pool]
		short := guard.Shortage(v)
		if !seen || short < n {
			need[v.Pool] = short
		}
	}
	waiting := make(map[string]bool, len(t.Pools))
	for _, v := range t.VMs {
		waiting[v.Pool] = waiting[v.Pool] || due(v)
	}
	var out []mspool.Loan
	for _, p := range t.Pools {
		if waiting[p.Name] && !p.Spare {
			out = append(out, mspool.Loan{Pool: p.Name, VMs: need[p.Name]})
		}
	}
	return out
}

// wellTable returns t with every member up, and none beyond the pools' sizes.
func wellTable(t mspool.Table) mspool.Table {
	well := mspool.Table{Pools: t.Pools}
	room := make(map[string]int, len(t.Pools))
	for _, p := range t.Pools {
		room[p.Name] = p.Size
	}
	for _, v := range t.VMs {
		if room[v.Pool] == 0 {
			continue
		}
		room[v.Pool]--
		v.State, v.Moving = mspool.Serving, ""
		well.VMs = append(well.VMs, v)
	}
	return well
}

func names(targets []Target) []string {
	out := make([]string, len(targets))
	for i, target := range targets {
		out[i] = target.VM
	}
	return out
}
