package mswave

import (
	"fmt"
	"time"

	"marjoramspan/mspool"
)

// Forecast is how a wave would proceed if nothing failed during it.
type Forecast struct {
	Batches []Batch `json:"batches"`
	// Loans are the spare VMs that pools need before any of their own VMs may be
	// taken out of service.
	Loans []mspool.Loan `json:"loans,omitempty"`
	// Blocked are the VMs that are due and fit in no batch.
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

// Error names the wave and the reason.
func (e *PlanError) Error() string {
	return fmt.Sprintf("mswave: no plan for wave %q: %s", e.Wave, e.Reason)
}

// Plan forecasts the wave that cfg describes over t, on the assumption that what
// is down in t stays down. It decides by the same rules as Step.
func Plan(t mspool.Table, name string, cfg Settings) (Forecast, error) {
	cfg = cfg.withDefaults()
	if name == "" {
		return Forecast{}, &PlanError{Wave: name, Reason: "the name is empty"}
	}
	if cfg.MaxUnavailable < 0 || cfg.MinSpare < 0 || cfg.Canary < 0 || cfg.StopAfter < 0 {
		return Forecast{}, &PlanError{Wave: name, Reason: "max-out, keep-spare, canary and stop-after must not be negative"}
	}
	if len(t.Pools) == 0 {
		return Forecast{}, &PlanError{Wave: name, Reason: "the fleet has no pools"}
	}
	due := func(v mspool.VM) bool { return v.Maintainable() && isDue(cfg, v) }
	f := Forecast{Loans: nonZeroLoans(computeLoans(t, cfg, due))}
	q := newQueues(t, due)
	returned := 0
	for q.remaining() > 0 {
		limit := max(cfg.Canary, 2*returned)
		if cfg.MaxUnavailable > 0 {
			limit = min(limit, cfg.MaxUnavailable)
		}
		picked := q.pick(mspool.NewGuard(t, cfg.MinSpare), limit)
		if len(picked) == 0 {
			break
		}
		returned += len(picked)
		f.Batches = append(f.Batches, Batch{VMs: vmNames(picked)})
	}
	for _, pending := range q.pools {
		for _, v := range pending.vms {
			f.Blocked = append(f.Blocked, v.Name)
		}
	}
	return f, nil
}

// Loans returns a loan for each pool that has VMs left to maintain. Most are of
// 0 VMs: each VM lent costs two moves, so a pool asks for spare VMs only where
// none of its own could ever be taken out of service without them. The caller
// passes the loans to mspool.Plan.
func Loans(s *State, view View, now time.Time) []mspool.Loan {
	if s.Status != Running && s.Status != Stopped {
		return nil
	}
	w := newWaveStep(s, view, now)
	pending := func(v mspool.VM) bool {
		p := s.VMs[v.Name].Phase
		return isDue(w.cfg, v) && p != Returned && v.State != mspool.Failed
	}
	return computeLoans(s.MarkOutOfService(view.Table), w.cfg, pending)
}

// nonZeroLoans returns the loans of one VM or more.
func nonZeroLoans(all []mspool.Loan) []mspool.Loan {
	var out []mspool.Loan
	for _, loan := range all {
		if loan.VMs > 0 {
			out = append(out, loan)
		}
	}
	return out
}

// computeLoans returns the shortage of each pool with due VMs as if all its VMs
// were up: VMs that are down now come back without a loan.
func computeLoans(t mspool.Table, cfg Settings, due func(mspool.VM) bool) []mspool.Loan {
	healthy := healthyTable(t)
	guard := mspool.NewGuard(healthy, cfg.MinSpare)
	shortages := make(map[string]int, len(t.Pools))
	for _, v := range healthy.VMs {
		least, seen := shortages[v.Pool]
		shortage := guard.Shortage(v)
		if !seen || shortage < least {
			shortages[v.Pool] = shortage
		}
	}
	hasDue := make(map[string]bool, len(t.Pools))
	for _, v := range t.VMs {
		hasDue[v.Pool] = hasDue[v.Pool] || due(v)
	}
	var out []mspool.Loan
	for _, p := range t.Pools {
		if hasDue[p.Name] && !p.Spare {
			out = append(out, mspool.Loan{Pool: p.Name, VMs: shortages[p.Name]})
		}
	}
	return out
}

// healthyTable returns t with every VM up, and without VMs beyond the sizes of
// their pools.
func healthyTable(t mspool.Table) mspool.Table {
	healthy := mspool.Table{Pools: t.Pools}
	vacant := make(map[string]int, len(t.Pools))
	for _, p := range t.Pools {
		vacant[p.Name] = p.Size
	}
	for _, v := range t.VMs {
		if vacant[v.Pool] == 0 {
			continue
		}
		vacant[v.Pool]--
		v.State, v.Moving = mspool.Serving, ""
		healthy.VMs = append(healthy.VMs, v)
	}
	return healthy
}

func vmNames(targets []Target) []string {
	names := make([]string, len(targets))
	for i, target := range targets {
		names[i] = target.VM
	}
	return names
}
