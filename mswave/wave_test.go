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

// TestBudgetsHoldWhateverFails runs a wave while VMs and whole racks fail,
// drivers are behind, records are doubled, reboots take effect late and the log
// goes away, and then lets it finish.
func TestBudgetsHoldWhateverFails(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.Uint64().Draw(t, "seed"), fourPools(), rapid.IntRange(10, 13).Draw(t, "racks"))
		w.pass()
		w.start(Settings{KeepSpare: 1})
		for range rapid.IntRange(0, 150).Draw(t, "ticks") {
			w.misfortune()
			w.pass()
			w.drive(w.rnd.IntN(4) == 0)
			w.drive(w.rnd.IntN(2) == 0)
		}
		w.logDown = false
		for range 4000 {
			if w.state.Status == Ended {
				break
			}
			w.pass()
			w.drive(false)
		}
		require.Equal(t, Ended, w.state.Status, "stuck: %+v", w.state)
		for _, m := range w.vms {
			require.Greater(t, m.boots, 1, "%s was neither maintained nor repaired", m.Name)
			require.LessOrEqual(t, w.reboots[m.Name], 1, "%s rebooted twice by one wave", m.Name)
		}
	})
}

func (w *world) misfortune() {
	short := time.Duration(1+w.rnd.IntN(60)) * time.Minute
	switch w.rnd.IntN(40) {
	case 0:
		rack := w.vms[w.rnd.IntN(len(w.vms))].Rack
		w.fail(func(m machine) bool { return m.Rack == rack }, short)
	case 1, 2:
		name := w.vms[w.rnd.IntN(len(w.vms))].Name
		w.fail(func(m machine) bool { return m.Name == name }, short)
	case 3:
		w.fail(func(m machine) bool { return m.State == mspool.Rebooting }, short)
	case 4:
		w.logDown = true
	case 5, 6:
		w.logDown = false
	}
}

// TestNothingWithoutTheLog checks that an outage of the log stops decisions and
// that the wave goes on afterwards.
func TestNothingWithoutTheLog(t *testing.T) {
	w := newWorld(t, 3, fourPools(), 13)
	w.pass()
	w.start(Settings{})
	require.NotEmpty(t, w.drive(false))
	w.logDown = true
	for range 100 {
		w.pass()
		require.Empty(t, w.drive(false))
	}
	w.logDown = false
	require.NotEmpty(t, w.drive(false))
}

// TestWaveStopsAndResumes breaks every VM that reboots, until the wave stops.
func TestWaveStopsAndResumes(t *testing.T) {
	w := newWorld(t, 4, fourPools(), 13)
	w.pass()
	w.start(Settings{})
	run := func(until Status, breaks bool) {
		for range 2000 {
			w.pass()
			if breaks {
				w.fail(func(m machine) bool { return m.State == mspool.Rebooting }, 3*time.Hour)
			}
			w.drive(false)
			if w.state.Status == until {
				return
			}
		}
		require.Fail(t, "not reached", "%s: %+v", until, w.state)
	}
	run(Stopped, true)
	require.Contains(t, w.state.Reason, "did not come back")
	require.LessOrEqual(t, len(w.reboots), DefaultStopAfter+1, "a bad image took more VMs")
	require.Zero(t, w.state.count(Draining), "draining VMs go back into service")
	stopped := w.now
	held := w.state
	held.VMs = maps.Clone(w.state.VMs)
	require.NoError(t, held.Apply(Record{Offset: held.Through + 1, ID: "op", Kind: Resume, Wave: "w", Base: held.Changed, At: w.now}, &w.own))
	require.Empty(t, Lost(&held, w.view(), w.now), "an operator's resume lets it go on")
	run(Running, false)
	require.GreaterOrEqual(t, w.now.Sub(stopped), time.Hour, "resumed before the VMs were back")
	run(Ended, false)
}

// TestOperatorStopHolds checks that only an operator resumes what one stopped.
func TestOperatorStopHolds(t *testing.T) {
	w := newWorld(t, 5, fourPools(), 13)
	w.pass()
	w.start(Settings{})
	w.drive(false)
	require.Equal(t, 1, w.state.count(Draining))
	w.append(Record{ID: "hold", Kind: Stop, Wave: "w", Base: w.state.Changed, At: w.now, Hold: true, Reason: "asked"})
	for range 600 {
		w.pass()
		w.drive(false)
	}
	require.Equal(t, Stopped, w.state.Status)
	require.Empty(t, w.reboots)
	require.Zero(t, w.state.count(Draining), "what was draining serves again")
	w.append(Record{ID: "go", Kind: Resume, Wave: "w", Base: w.state.Changed, At: w.now})
	require.Equal(t, Running, w.state.Status)
	require.NotEmpty(t, w.drive(false))
}

// TestUnansweredRebootCountsAsDown sends a reboot that takes effect only long
// after its driver is gone.
func TestUnansweredRebootCountsAsDown(t *testing.T) {
	w := newWorld(t, 6, []mspool.Pool{{Name: "a", Size: 5, Available: 60}}, 5)
	w.pass()
	w.start(Settings{})
	var sent Action
	for sent.Kind == "" {
		w.pass()
		for _, a := range Step(&w.state, w.view(), w.now) {
			if a.Kind == Append {
				a.Record.ID = fmt.Sprintf("x%d", len(w.log))
				w.append(a.Record)
			}
			if a.Kind == DriveReboot {
				sent = a
			}
		}
	}
	for range 200 {
		w.pass()
		for _, a := range Step(&w.state, w.view(), w.now) {
			require.NotEqual(t, Drain, a.Record.Kind, "another VM goes")
			require.NotEqual(t, Return, a.Record.Kind, "seen with the same boot")
			if a.Kind == Append {
				a.Record.ID = fmt.Sprintf("x%d", len(w.log))
				w.append(a.Record)
			}
		}
		require.True(t, w.state.Out(sent.VM), "served again with boot %s", sent.BootID)
	}
	why := Why(&w.state, w.view(), w.now, sent.VM)
	require.Equal(t, NotBack, why[len(why)-1].Code)
	w.reboot(order{vm: sent.VM, bootID: sent.BootID})
	for range 50 {
		w.pass()
		w.drive(false)
	}
	require.False(t, w.state.VMs[sent.VM].Phase == Overdue)
}

// TestRackLossIsNoBadImage fails a rack of maintained VMs as a whole.
func TestRackLossIsNoBadImage(t *testing.T) {
	w := newWorld(t, 9, fourPools(), 10)
	w.pass()
	w.start(Settings{StopPercent: 1})
	returned := func() (n int) {
		for _, m := range w.vms {
			if m.Rack == "r0" && w.state.VMs[m.Name].Phase == Returned {
				n++
			}
		}
		return n
	}
	for returned() < DefaultStopAfter+1 {
		w.pass()
		w.drive(false)
	}
	w.fail(func(m machine) bool { return m.Rack == "r0" }, time.Hour)
	for range 300 {
		w.pass()
		w.drive(false)
		require.NotEqual(t, Stopped, w.state.Status, w.state.Reason)
	}
}

// TestDrainEndsWhenPoolLosesVM fails a VM while another one of its pool drains.
func TestDrainEndsWhenPoolLosesVM(t *testing.T) {
	w := newWorld(t, 10, []mspool.Pool{{Name: "a", Size: 5, Available: 60}}, 5)
	w.pass()
	w.start(Settings{})
	w.drive(false)
	require.Equal(t, 1, w.state.count(Draining))
	w.fail(func(m machine) bool { return m.Name == "v04" && !w.state.Out(m.Name) }, time.Hour)
	w.drive(false)
	require.Empty(t, w.state.VMs, "the pool needs the VM that drains")
}
