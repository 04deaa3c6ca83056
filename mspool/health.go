package mspool

// PoolHealth compares one pool with its availability budget. All numbers are
// counts of VMs.
type PoolHealth struct {
	Pool string `json:"pool"`
	Size int    `json:"size"`
	// Members is the number of VMs assigned to the pool, Serving the number of them
	// that count towards the budget.
	Members int `json:"members"`
	Serving int `json:"serving"`
	Needed  int `json:"needed"`
	// Down is how many serving VMs the pool lacks to reach Size.
	Down int `json:"down"`
	// Margin is Serving minus Needed. The budget is violated while it is negative.
	Margin int `json:"margin"`
	// WorstRack is the loss of the rack with the most serving VMs.
	WorstRack       Loss `json:"worst-rack"`
	WorstDataCentre Loss `json:"worst-data-centre"`
}

// Loss describes what a pool would lose if one failure domain failed.
type Loss struct {
	Domain string `json:"domain"`
	// Serving is the number of serving VMs that would be lost.
	Serving int `json:"serving"`
	// Margin is the margin of the pool after the loss.
	Margin int `json:"margin"`
}

// Health returns the health of every pool of t, in the order of t.Pools.
func Health(t Table) []PoolHealth {
	x := newIndex(t)
	out := make([]PoolHealth, 0, len(x.pools))
	for _, m := range x.pools {
		out = append(out, m.health())
	}
	return out
}

func (m *poolMembers) health() PoolHealth {
	h := PoolHealth{
		Pool:    m.pool.Name,
		Size:    m.pool.Size,
		Members: len(m.all),
		Serving: len(m.up),
		Needed:  m.pool.Needed(),
		Down:    max(0, m.pool.Size-len(m.up)),
	}
	h.Margin = h.Serving - h.Needed
	h.WorstRack = worstLoss(m.racks, h.Margin)
	h.WorstDataCentre = worstLoss(m.dataCentres, h.Margin)
	return h
}

// worstLoss returns the loss of the domain with the most VMs, the first by name
// among equals. Margin is the margin before the loss.
func worstLoss(domains map[string]int, margin int) Loss {
	var loss Loss
	for name, n := range domains {
		if n > loss.Serving || n == loss.Serving && name < loss.Domain {
			loss.Domain, loss.Serving = name, n
		}
	}
	loss.Margin = margin - loss.Serving
	return loss
}
