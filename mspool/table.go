package mspool

import "time"

// Table is the state of the fleet at one time: the ownership folded from the log,
// joined with the list of live VMs and their reports.
type Table struct {
	VMs   []VM
	Pools []Pool
}

// VM is one machine of the fleet.
type VM struct {
	Name       string
	DataCentre string
	Rack       string
	Region     string
	// Pool is the pool that owns the VM, empty if it has not been assigned yet.
	Pool  string
	State State
	// Since is when the VM entered State.
	Since time.Time
	// Moving is the target pool of a move in progress, empty if there is none.
	Moving string
	// MovingSince is the time of the record that started the move.
	MovingSince time.Time
	// MoveDrained is set once the move's VMDrained record is accepted.
	MoveDrained bool
	// Lent is set while the VM is lent to the platform's jobs.
	Lent bool
	// Evacuated is set while the VM's data centre is evacuated. The VM gets no work then.
	Evacuated bool
	// LastMaintained is when the VM last came back from a maintenance reboot or
	// from a repair.
	LastMaintained time.Time
	// Running is the number of requests that ran on the VM at ReportedAt, the time
	// of its last report.
	Running    int
	ReportedAt time.Time
	// BootID changes with every boot.
	BootID string
	// Changed is the offset of the VM's last ownership record.
	Changed uint64
}

// State is the current operating state of a VM.
type State string

// States of a VM.
const (
	Serving   State = "serving"
	Draining  State = "draining"
	Rebooting State = "rebooting"
	Failed    State = "failed"
	// Leaving VMs are being removed by the platform and get no new work.
	Leaving State = "leaving"
	// Idle VMs are up and have no work.
	Idle State = "idle"
)

// Pool is a set of VMs with an availability budget.
type Pool struct {
	Name string
	// Size is the wanted number of VMs.
	Size int
	// Slots is how many requests one VM runs at a time.
	Slots int
	// Available is the minimum share of Size that must serve, in percent. It is
	// usually 0 for the spare pool.
	Available int
	// Spare marks the pool that provides spare VMs for the others.
	Spare bool
}

const percent = 100

// Needed returns how many VMs have to serve for the budget to hold.
func (p Pool) Needed() int {
	return (p.Size*p.Available + percent - 1) / percent
}

// Up reports whether the VM counts towards the budget of its pool: it is serving
// or idle, is not lent or evacuated, and no move has started.
func (v VM) Up() bool {
	if v.Pool == "" || v.Moving != "" || v.Lent || v.Evacuated {
		return false
	}
	return v.State == Serving || v.State == Idle
}

// Maintainable reports whether the VM is up and in a pool, lent, evacuated or neither, so
// that it can be taken for maintenance.
func (v VM) Maintainable() bool {
	v.Lent, v.Evacuated = false, false
	return v.Up()
}

// index holds the pools of a Table with their members, built in one pass.
type index struct {
	pools  []*poolMembers
	byName map[string]*poolMembers
	// unassigned holds VMs in no pool or in a pool that no longer exists, as indexes
	// into Table.VMs.
	unassigned []int
}

// poolMembers holds the VMs of one pool, as indexes into Table.VMs.
type poolMembers struct {
	pool Pool
	all  []int
	up   []int
	// serving is the number of VMs up. A Guard subtracts the VMs that it takes.
	serving int
	needed  int
	// minUp is the number of VMs that a Guard keeps up in addition to the budget's
	// rule.
	minUp int
	// incoming holds VMs that are moving into the pool.
	incoming    []int
	racks       map[string]int
	dataCentres map[string]int
}

func newIndex(t Table) *index {
	x := &index{byName: make(map[string]*poolMembers, len(t.Pools))}
	for _, p := range t.Pools {
		m := &poolMembers{pool: p, racks: make(map[string]int), dataCentres: make(map[string]int)}
		x.pools = append(x.pools, m)
		x.byName[p.Name] = m
	}
	for i, v := range t.VMs {
		x.add(i, v)
	}
	return x
}

func (x *index) add(i int, v VM) {
	if to := x.byName[v.Moving]; to != nil {
		to.incoming = append(to.incoming, i)
	}
	m := x.byName[v.Pool]
	if m == nil {
		x.unassigned = append(x.unassigned, i)
		return
	}
	m.all = append(m.all, i)
	if v.Up() {
		m.up = append(m.up, i)
		m.serving++
		m.racks[v.Rack]++
		m.dataCentres[v.DataCentre]++
	}
}
