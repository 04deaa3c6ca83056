package mswave

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/stretchr/testify/require"

	"marjoramspan/mspool"
)

// tick is the simulated time between two steps.
const tick = 10 * time.Second

// simulation is a simulated fleet and log on which drivers act, with injected
// faults. It checks the budgets at each accepted drain and the running requests
// at each reboot.
type simulation struct {
	t              require.TestingT
	rnd            *rand.Rand
	now            time.Time
	pools          []mspool.Pool
	vms            []simVM
	log            []Record
	state          State
	ownership      mspool.Ownership
	logDown        bool
	pendingReboots []rebootOrder // ordered, not yet in effect
	reboots        map[string]int
	// oldState is an earlier state as JSON, which a stale driver acts on.
	oldState []byte
}

// simVM is the actual state of a VM, as opposed to its last report.
type simVM struct {
	mspool.VM
	boots           int
	reportedRunning int       // Running, as of ReportedAt
	failedUntil     time.Time // for State Failed
	bootingUntil    time.Time
}

type rebootOrder struct {
	vm, bootID string
	at         time.Time
}

func newSimulation(t require.TestingT, seed uint64, pools []mspool.Pool, racks int) *simulation {
	sim := &simulation{t: t, rnd: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_000_000, 0), pools: pools}
	sim.reboots = make(map[string]int)
	n := 0
	for _, p := range pools {
		for range p.Size {
			v := mspool.VM{
				Name: fmt.Sprintf("v%02d", n), Rack: fmt.Sprintf("r%d", n%racks),
				DataCentre: fmt.Sprintf("dc%d", n%racks%3), Pool: p.Name, State: mspool.Serving,
			}
			sim.vms = append(sim.vms, simVM{VM: v})
			offset := uint64(n + 1)
			require.NoError(t, sim.ownership.Apply(mspool.Record{Offset: offset, ID: v.Name, Kind: mspool.VMAssign, VM: v.Name, To: p.Name}))
			n++
		}
	}
	for i := range sim.vms {
		sim.boot(&sim.vms[i], 0)
	}
	sim.log = make([]Record, n)
	return sim
}

func (sim *simulation) boot(m *simVM, d time.Duration) {
	m.boots++
	m.BootID = fmt.Sprintf("%s-boot%d", m.Name, m.boots)
	m.bootingUntil = sim.now.Add(d)
	m.Running = 0
	m.State = mspool.Rebooting
	m.Since = sim.now
}

func (sim *simulation) start(cfg Settings) {
	sim.append(Record{ID: "start", Kind: Start, Wave: "w", Settings: cfg, At: sim.now})
}

// append appends r to the log, applies it, and checks the budget of each pool that
// it drains a VM of.
func (sim *simulation) append(r Record) {
	r.Offset = uint64(len(sim.log) + 1)
	sim.log = append(sim.log, r)
	before, _ := json.Marshal(sim.state)
	if sim.rnd.IntN(4) == 0 {
		sim.oldState = before
	}
	err := sim.state.Apply(r, &sim.ownership)
	if err != nil || r.Kind != Drain {
		return
	}
	for _, target := range r.VMs {
		sim.requireBudgetAfterRackFailure(target.Pool)
	}
}

// requireBudgetAfterRackFailure checks the budget of pool by brute force: it leaves
// out each rack in turn and counts the VMs still in service.
func (sim *simulation) requireBudgetAfterRackFailure(pool string) {
	for rack := range 13 {
		failed := fmt.Sprintf("r%d", rack)
		serving, needed := 0, 0
		for _, m := range sim.vms {
			up := m.State == mspool.Serving || m.State == mspool.Idle
			if m.Pool == pool && up && m.Rack != failed && !sim.state.OutOfService(m.Name) {
				serving++
			}
		}
		for _, p := range sim.pools {
			if p.Name == pool {
				needed = (p.Size*p.Available + 99) / 100
			}
		}
		require.GreaterOrEqual(sim.t, serving, needed, "pool %s if rack %s fails", pool, failed)
	}
}

// advance advances the simulated time of all VMs by one tick.
func (sim *simulation) advance() {
	sim.now = sim.now.Add(tick)
	kept := sim.pendingReboots[:0]
	for _, o := range sim.pendingReboots {
		if o.at.After(sim.now) {
			kept = append(kept, o)
			continue
		}
		sim.reboot(o)
	}
	sim.pendingReboots = kept
	for i := range sim.vms {
		sim.advanceVM(&sim.vms[i])
	}
}

func (sim *simulation) advanceVM(m *simVM) {
	switch {
	case m.State == mspool.Failed && sim.now.After(m.failedUntil):
		sim.boot(m, tick)
	case m.State == mspool.Rebooting && !sim.now.Before(m.bootingUntil):
		m.State, m.Since = mspool.Serving, sim.now
	}
	drainKnown := sim.now.Sub(sim.state.VMs[m.Name].Since) > DefaultLease
	if m.State == mspool.Serving || m.State == mspool.Draining {
		m.Running = max(0, m.Running-sim.rnd.IntN(3))
		if !sim.state.OutOfService(m.Name) || !drainKnown {
			m.Running += sim.rnd.IntN(3)
		}
		if sim.rnd.IntN(3) > 0 {
			m.ReportedAt, m.reportedRunning = sim.now, m.Running
		}
	}
}

// reboot carries out a reboot order where the VM still has the boot id of the
// order. It checks that the reboot cuts off no request that could still run.
func (sim *simulation) reboot(o rebootOrder) {
	for i := range sim.vms {
		m := &sim.vms[i]
		if m.Name != o.vm || m.BootID != o.bootID || m.State == mspool.Failed {
			continue
		}
		require.True(sim.t, sim.state.OutOfService(m.Name), "%s rebooted while in service", m.Name)
		phaseSince := sim.state.VMs[m.Name].Since
		cutsRequests := sim.now.Sub(phaseSince) >= 0 && m.Running > 0
		if cutsRequests {
			require.GreaterOrEqual(sim.t, sim.now.Sub(sim.state.Started), DefaultMaxRun, "%s rebooted with running requests", m.Name)
			require.True(sim.t, sim.sinceDrain(m.Name) >= DefaultMaxRun, "%s rebooted with %d requests", m.Name, m.Running)
		}
		sim.reboots[m.Name]++
		sim.boot(m, time.Duration(sim.rnd.IntN(12))*tick)
	}
}

// sinceDrain returns how long ago the last Drain record of the VM was written.
func (sim *simulation) sinceDrain(vm string) time.Duration {
	for i := len(sim.log) - 1; i >= 0; i-- {
		for _, target := range sim.log[i].VMs {
			if sim.log[i].Kind == Drain && target.VM == vm {
				return sim.now.Sub(sim.log[i].At)
			}
		}
	}
	return 0
}

func (sim *simulation) failVMs(match func(simVM) bool, d time.Duration) {
	for i := range sim.vms {
		if m := &sim.vms[i]; match(*m) {
			m.State, m.Since, m.failedUntil = mspool.Failed, sim.now, sim.now.Add(d)
			m.Running = 0
		}
	}
}

// view returns what a driver sees: the state of each VM, with the Running of its
// last report.
func (sim *simulation) view() View {
	v := View{ReadAt: sim.now, Through: uint64(len(sim.log)), Table: mspool.Table{Pools: sim.pools}}
	if sim.logDown {
		v.ReadAt = sim.now.Add(-time.Minute)
	}
	for _, m := range sim.vms {
		m.Running = m.reportedRunning
		v.Table.VMs = append(v.Table.VMs, m.VM)
	}
	return v
}

// runDriver runs one step of a driver. A stale driver decides on an old state. The
// record may be appended twice, as after a lost answer.
func (sim *simulation) runDriver(stale bool) []Action {
	s := sim.state
	view := sim.view()
	if stale && sim.oldState != nil {
		s = State{}
		require.NoError(sim.t, json.Unmarshal(sim.oldState, &s))
		view.Through = s.Through
	}
	actions := Step(&s, view, sim.now)
	for _, a := range actions {
		switch a.Kind {
		case Append:
			a.Record.ID = fmt.Sprintf("d%d", len(sim.log))
			sim.append(a.Record)
			if sim.rnd.IntN(4) == 0 {
				sim.append(a.Record)
			}
		case RebootVM:
			delay := time.Duration(sim.rnd.IntN(6)*sim.rnd.IntN(6)) * tick
			sim.pendingReboots = append(sim.pendingReboots, rebootOrder{vm: a.VM, bootID: a.BootID, at: sim.now.Add(delay)})
		case UndrainVM, DrainVM:
			sim.applyDrainAction(a)
		}
	}
	return actions
}

func (sim *simulation) applyDrainAction(a Action) {
	for i := range sim.vms {
		m := &sim.vms[i]
		if m.Name != a.VM {
			continue
		}
		if a.Kind == DrainVM && m.State == mspool.Serving {
			m.State, m.Since = mspool.Draining, sim.now
		}
		if a.Kind == UndrainVM && m.State == mspool.Draining {
			m.State, m.Since = mspool.Serving, sim.now
		}
	}
}
