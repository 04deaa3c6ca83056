package mswave

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"marjoramspan/mspool"
)

func fourPools() []mspool.Pool {
	var out []mspool.Pool
	for _, name := range []string{"a", "b", "c"} {
		out = append(out, mspool.Pool{Name: name, Size: 10, Available: 80})
	}
	return append(out, mspool.Pool{Name: "spare", Size: 4, Spare: true})
}

// TestBudgetsHoldWhateverFails runs a wave while VMs and whole racks fail, drivers
// act on old states, records are duplicated, reboots take effect late and the log
// becomes unavailable. Then it lets the wave finish. Each accepted drain must
// leave the pool's budget intact if any one rack fails.
func TestBudgetsHoldWhateverFails(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, rapid.Uint64().Draw(t, "seed"), fourPools(), rapid.IntRange(10, 13).Draw(t, "racks"))
		sim.advance()
		sim.start(Settings{MinSpare: 1})
		for range rapid.IntRange(0, 150).Draw(t, "ticks") {
			sim.injectFault()
			sim.advance()
			sim.runDriver(sim.rnd.IntN(4) == 0)
			sim.runDriver(sim.rnd.IntN(2) == 0)
		}
		sim.logDown = false
		for range 4000 {
			if sim.state.Status == Ended {
				break
			}
			sim.advance()
			sim.runDriver(false)
		}
		require.Equal(t, Ended, sim.state.Status, "stuck: %+v", sim.state)
		for _, m := range sim.vms {
			require.Greater(t, m.boots, 1, "%s was neither maintained nor repaired", m.Name)
			require.LessOrEqual(t, sim.reboots[m.Name], 1, "%s rebooted twice by one wave", m.Name)
		}
	})
}

func (sim *simulation) injectFault() {
	outage := time.Duration(1+sim.rnd.IntN(60)) * time.Minute
	switch sim.rnd.IntN(40) {
	case 0:
		rack := sim.vms[sim.rnd.IntN(len(sim.vms))].Rack
		sim.failVMs(func(m simVM) bool { return m.Rack == rack }, outage)
	case 1, 2:
		name := sim.vms[sim.rnd.IntN(len(sim.vms))].Name
		sim.failVMs(func(m simVM) bool { return m.Name == name }, outage)
	case 3:
		sim.failVMs(func(m simVM) bool { return m.State == mspool.Rebooting }, outage)
	case 4:
		sim.logDown = true
	case 5, 6:
		sim.logDown = false
	}
}

// TestNoDecisionsWhileLogIsUnreadable checks that an outage of the log stops all
// actions and that the wave continues afterwards.
func TestNoDecisionsWhileLogIsUnreadable(t *testing.T) {
	sim := newSimulation(t, 3, fourPools(), 13)
	sim.advance()
	sim.start(Settings{})
	require.NotEmpty(t, sim.runDriver(false))
	sim.logDown = true
	for range 100 {
		sim.advance()
		require.Empty(t, sim.runDriver(false))
	}
	sim.logDown = false
	require.NotEmpty(t, sim.runDriver(false))
}

// TestWaveStopsAndResumes fails every VM that reboots until the wave stops. The
// wave must resume automatically only once the VMs are back. After a resume by an
// operator the earlier failures must no longer count.
func TestWaveStopsAndResumes(t *testing.T) {
	sim := newSimulation(t, 4, fourPools(), 13)
	sim.advance()
	sim.start(Settings{})
	run := func(until Status, failReboots bool) {
		for range 2000 {
			sim.advance()
			if failReboots {
				sim.failVMs(func(m simVM) bool { return m.State == mspool.Rebooting }, 3*time.Hour)
			}
			sim.runDriver(false)
			if sim.state.Status == until {
				return
			}
		}
		require.Fail(t, "not reached", "%s: %+v", until, sim.state)
	}
	run(Stopped, true)
	require.Contains(t, sim.state.Reason, "did not come back")
	require.LessOrEqual(t, len(sim.reboots), DefaultStopAfter+1, "a bad image reached too many VMs")
	require.Zero(t, sim.state.countInPhase(Draining), "draining VMs must return to service")
	stopped := sim.now
	resumed := sim.state
	resumed.VMs = maps.Clone(sim.state.VMs)
	require.NoError(t, resumed.Apply(Record{Offset: resumed.Through + 1, ID: "op", Kind: Resume, Wave: "w", Base: resumed.Changed, At: sim.now}, &sim.ownership))
	require.Empty(t, FailedVMs(&resumed, sim.view(), sim.now), "failures before an operator's resume must not count")
	run(Running, false)
	require.GreaterOrEqual(t, sim.now.Sub(stopped), time.Hour, "resumed before the VMs were back")
	run(Ended, false)
}

// TestOperatorStopNeedsOperatorResume checks that a wave stopped by an operator
// never resumes automatically.
func TestOperatorStopNeedsOperatorResume(t *testing.T) {
	sim := newSimulation(t, 5, fourPools(), 13)
	sim.advance()
	sim.start(Settings{})
	sim.runDriver(false)
	require.Equal(t, 1, sim.state.countInPhase(Draining))
	sim.append(Record{ID: "hold", Kind: Stop, Wave: "w", Base: sim.state.Changed, At: sim.now, Hold: true, Reason: "asked"})
	for range 600 {
		sim.advance()
		sim.runDriver(false)
	}
	require.Equal(t, Stopped, sim.state.Status)
	require.Empty(t, sim.reboots)
	require.Zero(t, sim.state.countInPhase(Draining), "draining VMs must return to service")
	sim.append(Record{ID: "go", Kind: Resume, Wave: "w", Base: sim.state.Changed, At: sim.now})
	require.Equal(t, Running, sim.state.Status)
	require.NotEmpty(t, sim.runDriver(false))
}

// TestUnansweredRebootCountsAsDown orders a reboot that takes effect only long
// after the order. Until then the VM must count as down, and no other VM of the
// pool may be drained.
func TestUnansweredRebootCountsAsDown(t *testing.T) {
	sim := newSimulation(t, 6, []mspool.Pool{{Name: "a", Size: 5, Available: 60}}, 5)
	sim.advance()
	sim.start(Settings{})
	var ordered Action
	for ordered.Kind == "" {
		sim.advance()
		for _, a := range Step(&sim.state, sim.view(), sim.now) {
			if a.Kind == Append {
				a.Record.ID = fmt.Sprintf("x%d", len(sim.log))
				sim.append(a.Record)
			}
			if a.Kind == RebootVM {
				ordered = a
			}
		}
	}
	for range 200 {
		sim.advance()
		for _, a := range Step(&sim.state, sim.view(), sim.now) {
			require.NotEqual(t, Drain, a.Record.Kind, "another VM is drained while one is down")
			require.NotEqual(t, Return, a.Record.Kind, "returned with the same boot id")
			if a.Kind == Append {
				a.Record.ID = fmt.Sprintf("x%d", len(sim.log))
				sim.append(a.Record)
			}
		}
		require.True(t, sim.state.OutOfService(ordered.VM), "back in service with boot id %s", ordered.BootID)
	}
	why := Why(&sim.state, sim.view(), sim.now, ordered.VM)
	require.Equal(t, NotBack, why[len(why)-1].Code)
	sim.reboot(rebootOrder{vm: ordered.VM, bootID: ordered.BootID})
	for range 50 {
		sim.advance()
		sim.runDriver(false)
	}
	require.False(t, sim.state.VMs[ordered.VM].Phase == Overdue)
}

// TestRackFailureDoesNotStopWave fails all VMs of a rack after their maintenance.
// Such a failure must count once, not as a bad image.
func TestRackFailureDoesNotStopWave(t *testing.T) {
	sim := newSimulation(t, 9, fourPools(), 10)
	sim.advance()
	sim.start(Settings{StopPercent: 1})
	returned := func() (n int) {
		for _, m := range sim.vms {
			if m.Rack == "r0" && sim.state.VMs[m.Name].Phase == Returned {
				n++
			}
		}
		return n
	}
	for returned() < DefaultStopAfter+1 {
		sim.advance()
		sim.runDriver(false)
	}
	sim.failVMs(func(m simVM) bool { return m.Rack == "r0" }, time.Hour)
	for range 300 {
		sim.advance()
		sim.runDriver(false)
		require.NotEqual(t, Stopped, sim.state.Status, sim.state.Reason)
	}
}

// TestDrainIsCancelledWhenPoolLosesVM fails a VM while another VM of its pool
// drains. The pool then needs the draining VM to meet its budget.
func TestDrainIsCancelledWhenPoolLosesVM(t *testing.T) {
	sim := newSimulation(t, 10, []mspool.Pool{{Name: "a", Size: 5, Available: 60}}, 5)
	sim.advance()
	sim.start(Settings{})
	sim.runDriver(false)
	require.Equal(t, 1, sim.state.countInPhase(Draining))
	sim.failVMs(func(m simVM) bool { return m.Name == "v04" && !sim.state.OutOfService(m.Name) }, time.Hour)
	sim.runDriver(false)
	require.Empty(t, sim.state.VMs, "the drain must be cancelled")
}
