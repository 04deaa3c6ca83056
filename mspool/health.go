package mspool

// PoolHealth is one pool measured against its availability budget. All counts
// are VMs.
type PoolHealth struct {
	Pool string `json:"pool"`
	Size int    `json:"size"`
	// Members own work or wait for it; Serving of them count for the budget.
	Members int `json:"members"`
	Serving int `json:"serving"`
	Needed  int `json:"needed"`
	// Down is how many VMs are missing from Size.
	Down int `json:"down"`
	// Margin is Serving less Needed; below zero the budget is broken.
	Margin int `json:"margin"`
	// WorstRack is the rack whose loss would cost the pool most.
	WorstRack       Loss `json:"worst-rack"`
	WorstDataCentre Loss `json:"worst-data-centre"`
}

// Loss is what the loss of one failure domain would cost a pool.
type Loss struct {
	Domain string `json:"domain"`
	// Serving is how many serving VMs would go.
	Serving int `json:"serving"`
	// Margin is what would be left above the budget.
	Margin int `json:"margin"`
}

// Health measures every pool of t, in the order of t.Pools.
func Health(t Table) []PoolHealth {
	x := newIndex(t)
	out := make([]PoolHealth, 0, len(x.pools))
	for _, m := range x.pools {
		out = append(out, m.health())
	}
	return out
}

func (m *members) health() PoolHealth {
	h := PoolHealth{
		Pool:    m.pool.Name,
		Size:    m.pool.Size,
		Members: len(m.all),
		Serving: len(m.up),
		Needed:  m.pool.Needed(),
		Down:    max(0, m.pool.Size-len(m.up)),
	}
	h.Margin = h.Serving - h.Needed
	h.WorstRack = worst(m.racks, h.Margin)
	h.WorstDataCentre = worst(m.centres, h.Margin)
	return h
}

// worst returns the domain with most VMs, the first by name among equals.
func worst(domains map[string]int, margin int) Loss {
	var l Loss
	for name, n := range domains {
		if n > l.Serving || n == l.Serving && name < l.Domain {
			l.Domain, l.Serving = name, n
		}
	}
	l.Margin = margin - l.Serving
	return l
}
