package mswave

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/stretchr/testify/require"

	"marjoramspan/mspool"
)

const tick = 10 * time.Second

// world is a fleet with a log, on which drivers act, and in which anything may
// fail. It checks the promises at each change.
type world struct {
	t       require.TestingT
	rnd     *rand.Rand
	now     time.Time
	pools   []mspool.Pool
	vms     []machine
	log     []Record
	state   State
	own     mspool.Ownership
	logDown bool
	late    []order // reboots sent whose effect is still to come
	reboots map[string]int
	// behind makes a driver act on a state from some records ago.
	old []byte
}

// machine is a VM as it really is.
type machine struct {
	mspool.VM
	boots     int
	reported  int       // Running, as of ReportedAt
	failedTo  time.Time // broken until then
	bootingTo time.Time
}

type order struct {
	vm, bootID string
	at         time.Time
}

func newWorld(t require.TestingT, seed uint64, pools []mspool.Pool, racks int) *world {
	w := &world{t: t, rnd: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_000_000, 0), pools: pools}
	w.reboots = make(map[string]int)
	n := 0
	for _, p := range pools {
		for range p.Size {
			v := mspool.VM{
				Name: fmt.Sprintf("v%02d", n), Rack: fmt.Sprintf("r%d", n%racks),
				DataCentre: fmt.Sprintf("dc%d", n%racks%3), Pool: p.Name, State: mspool.Serving,
			}
			w.vms = append(w.vms, machine{VM: v})
			offset := uint64(n + 1)
			require.NoError(t, w.own.Apply(mspool.Record{Offset: offset, ID: v.Name, Kind: mspool.VMAssign, VM: v.Name, To: p.Name}))
			n++
		}
	}
	for i := range w.vms {
		w.boot(&w.vms[i], 0)
	}
	w.log = make([]Record, n)
	return w
}

func (w *world) boot(m *machine, d time.Duration) {
	m.boots++
	m.BootID = fmt.Sprintf("%s-boot%d", m.Name, m.boots)
	m.bootingTo = w.now.Add(d)
	m.Running = 0
	m.State = mspool.Rebooting
	m.Since = w.now
}

func (w *world) start(cfg Settings) {
	w.append(Record{ID: "start", Kind: Start, Wave: "w", Settings: cfg, At: w.now})
}

// append puts r on the log, folds it, and checks what it took.
func (w *world) append(r Record) {
	r.Offset = uint64(len(w.log) + 1)
	w.log = append(w.log, r)
	before, _ := json.Marshal(w.state)
	if w.rnd.IntN(4) == 0 {
		w.old = before
	}
	err := w.state.Apply(r, &w.own)
	if err != nil || r.Kind != Drain {
		return
	}
	for _, target := range r.VMs {
		w.requireBudget(target.Pool)
	}
}

// requireBudget is the naive check: it lets each rack fail in turn and counts
// who would serve.
func (w *world) requireBudget(pool string) {
	for rack := range 13 {
		gone := fmt.Sprintf("r%d", rack)
		serving, needed := 0, 0
		for _, m := range w.vms {
			up := m.State == mspool.Serving || m.State == mspool.Idle
			if m.Pool == pool && up && m.Rack != gone && !w.state.Out(m.Name) {
				serving++
			}
		}
		for _, p := range w.pools {
			if p.Name == pool {
				needed = (p.Size*p.Available + 99) / 100
			}
		}
		require.GreaterOrEqual(w.t, serving, needed, "pool %s if rack %s fails", pool, gone)
	}
}

// pass lets one tick pass for the machines.
func (w *world) pass() {
	w.now = w.now.Add(tick)
	kept := w.late[:0]
	for _, o := range w.late {
		if o.at.After(w.now) {
			kept = append(kept, o)
			continue
		}
		w.reboot(o)
	}
	w.late = kept
	for i := range w.vms {
		w.passOne(&w.vms[i])
	}
}

func (w *world) passOne(m *machine) {
	switch {
	case m.State == mspool.Failed && w.now.After(m.failedTo):
		w.boot(m, tick)
	case m.State == mspool.Rebooting && !w.now.Before(m.bootingTo):
		m.State, m.Since = mspool.Serving, w.now
	}
	heard := w.now.Sub(w.state.VMs[m.Name].Since) > DefaultLease
	if m.State == mspool.Serving || m.State == mspool.Draining {
		m.Running = max(0, m.Running-w.rnd.IntN(3))
		if !w.state.Out(m.Name) || !heard {
			m.Running += w.rnd.IntN(3)
		}
		if w.rnd.IntN(3) > 0 {
			m.ReportedAt, m.reported = w.now, m.Running
		}
	}
}

// reboot carries out an order on condition of the boot id.
func (w *world) reboot(o order) {
	for i := range w.vms {
		m := &w.vms[i]
		if m.Name != o.vm || m.BootID != o.bootID || m.State == mspool.Failed {
			continue
		}
		require.True(w.t, w.state.Out(m.Name), "%s rebooted while it serves", m.Name)
		longest := w.state.VMs[m.Name].Since
		over := w.now.Sub(longest) >= 0 && m.Running > 0
		if over {
			require.GreaterOrEqual(w.t, w.now.Sub(w.state.Started), DefaultMaxRun, "%s cuts requests", m.Name)
			require.True(w.t, w.drainedFor(m.Name) >= DefaultMaxRun, "%s rebooted with %d requests", m.Name, m.Running)
		}
		w.reboots[m.Name]++
		w.boot(m, time.Duration(w.rnd.IntN(12))*tick)
	}
}

// drainedFor returns how long ago the VM's last drain was accepted.
func (w *world) drainedFor(vm string) time.Duration {
	for i := len(w.log) - 1; i >= 0; i-- {
		for _, target := range w.log[i].VMs {
			if w.log[i].Kind == Drain && target.VM == vm {
				return w.now.Sub(w.log[i].At)
			}
		}
	}
	return 0
}

func (w *world) fail(is func(machine) bool, d time.Duration) {
	for i := range w.vms {
		if m := &w.vms[i]; is(*m) {
			m.State, m.Since, m.failedTo = mspool.Failed, w.now, w.now.Add(d)
			m.Running = 0
		}
	}
}

// view is what a driver sees, with the Running of the last report.
func (w *world) view() View {
	v := View{ReadAt: w.now, Through: uint64(len(w.log)), Table: mspool.Table{Pools: w.pools}}
	if w.logDown {
		v.ReadAt = w.now.Add(-time.Minute)
	}
	for _, m := range w.vms {
		m.Running = m.reported
		v.Table.VMs = append(v.Table.VMs, m.VM)
	}
	return v
}

// drive lets one driver take a step. A driver that is behind decides on an old
// state; an answer may be lost, so that the record is appended twice.
func (w *world) drive(behind bool) []Action {
	s := w.state
	view := w.view()
	if behind && w.old != nil {
		s = State{}
		require.NoError(w.t, json.Unmarshal(w.old, &s))
		view.Through = s.Through
	}
	actions := Step(&s, view, w.now)
	for _, a := range actions {
		switch a.Kind {
		case Append:
			a.Record.ID = fmt.Sprintf("d%d", len(w.log))
			w.append(a.Record)
			if w.rnd.IntN(4) == 0 {
				w.append(a.Record)
			}
		case DriveReboot:
			delay := time.Duration(w.rnd.IntN(6)*w.rnd.IntN(6)) * tick
			w.late = append(w.late, order{vm: a.VM, bootID: a.BootID, at: w.now.Add(delay)})
		case DriveOpen, DriveDrain:
			w.turn(a)
		}
	}
	return actions
}

func (w *world) turn(a Action) {
	for i := range w.vms {
		m := &w.vms[i]
		if m.Name != a.VM {
			continue
		}
		if a.Kind == DriveDrain && m.State == mspool.Serving {
			m.State, m.Since = mspool.Draining, w.now
		}
		if a.Kind == DriveOpen && m.State == mspool.Draining {
			m.State, m.Since = mspool.Serving, w.now
		}
	}
}
