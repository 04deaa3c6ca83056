package mspool

import "time"

// Table is what the fleet looks like at one moment: the ownership folded from
// the log, joined with the list of live VMs and their reports.
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
	// Pool owns the VM; it is empty while the VM is in no pool yet.
	Pool  string
	State State
	// Since is when the VM came into State.
	Since time.Time
	// Moving is the target of a move under way.
	Moving string
	// MovingSince is the time of the record that began the move.
	MovingSince time.Time
	// MoveDrained says that the move's VMDrained record is accepted.
	MoveDrained bool
	// Lent says that the platform's jobs use the VM.
	Lent bool
	// LastMaintained is when the VM last came back from a maintenance reboot or
	// from a repair.
	LastMaintained time.Time
	// Running is how many requests the VM ran when it last reported, at
	// ReportedAt.
	Running    int
	ReportedAt time.Time
	// BootID changes with every boot.
	BootID string
	// Changed is the offset of the VM's last ownership record.
	Changed uint64
}

// State is what a VM does at the moment.
type State string

// States of a VM.
const (
	Serving   State = "serving"
	Draining  State = "draining"
	Rebooting State = "rebooting"
	Failed    State = "failed"
	// Leaving VMs are taken away by the platform and get no new work.
	Leaving State = "leaving"
	// Idle VMs are up and hold no work.
	Idle State = "idle"
)

// Pool is a set of VMs with an availability budget.
type Pool struct {
	Name string
	// Size is the wanted number of VMs.
	Size int
	// Slots is how many requests one VM runs at a time.
	Slots int
	// Available is the lowest part of Size that must serve, in percent. The
	// spare pool usually has 0.
	Available int
	// Spare marks the pool that lends VMs to the others.
	Spare bool
}

const percent = 100

// Needed returns how many VMs have to serve for the budget to hold.
func (p Pool) Needed() int {
	return (p.Size*p.Available + percent - 1) / percent
}

// Up reports whether the VM counts for the budget of its pool now: it serves,
// or waits in the spare pool, and no move has begun.
func (v VM) Up() bool {
	if v.Pool == "" || v.Moving != "" || v.Lent {
		return false
	}
	return v.State == Serving || v.State == Idle
}

// Runs reports whether the VM is up and in a pool, lent or not, so that
// maintenance can take it.
func (v VM) Runs() bool {
	v.Lent = false
	return v.Up()
}

// index is a Table's pools with their members, built in one pass.
type index struct {
	pools  []*members
	byName map[string]*members
	// loose are VMs in no pool, or in one that no longer exists.
	loose []int
}

// members are the VMs of one pool, as places in Table.VMs.
type members struct {
	pool Pool
	all  []int
	up   []int
	// serving is the number of VMs up; a Guard lowers it for what it takes.
	serving int
	needed  int
	// keep is how many VMs a Guard keeps up beside the budget.
	keep int
	// arriving are VMs of other pools on their way in.
	arriving []int
	racks    map[string]int
	centres  map[string]int
}

func newIndex(t Table) *index {
	x := &index{byName: make(map[string]*members, len(t.Pools))}
	for _, p := range t.Pools {
		m := &members{pool: p, racks: make(map[string]int), centres: make(map[string]int)}
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
		to.arriving = append(to.arriving, i)
	}
	m := x.byName[v.Pool]
	if m == nil {
		x.loose = append(x.loose, i)
		return
	}
	m.all = append(m.all, i)
	if v.Up() {
		m.up = append(m.up, i)
		m.serving++
		m.racks[v.Rack]++
		m.centres[v.DataCentre]++
	}
}
