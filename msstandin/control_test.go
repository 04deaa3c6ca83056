package msstandin

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjoramspan/msclock"
	"marjoramspan/mslog"
)

// fleet is a platform with one VM that reports, and a client of it.
type fleet struct {
	t     *testing.T
	clock *msclock.Fake
	p     *Platform
	c     *mslog.Client
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{t: t, clock: msclock.NewFake(time.Unix(0, 0))}
	f.p = &Platform{Clock: f.clock}
	s := httptest.NewServer(f.p)
	t.Cleanup(s.Close)
	f.c = &mslog.Client{Address: s.Listener.Addr().String()}
	f.report("boot-1", 0)
	return f
}

// report sends the VM's report and returns its orders.
func (f *fleet) report(boot string, running int) VMOrders {
	a := &Agent{Upstream: &Upstream{Name: "vm"}, Platform: f.c.Address, HTTP: httpClient}
	a.Report = VMReport{BootID: boot, Running: running}
	orders, err := a.send(context.Background())
	require.NoError(f.t, err)
	return orders
}

var httpClient = &http.Client{}

func (f *fleet) vm() mslog.VM {
	vms, err := f.c.VMReports(context.Background())
	require.NoError(f.t, err)
	require.Len(f.t, vms, 1)
	return vms[0]
}

// requireKind wants an error of kind k. KindOf alone takes no error for Unknown.
func requireKind(t testing.TB, k mslog.Kind, err error) {
	t.Helper()
	require.Error(t, err)
	require.Equal(t, k, mslog.KindOf(err))
}

func TestDrainAndOpenReachTheVM(t *testing.T) {
	f := newFleet(t)
	require.Equal(t, mslog.VMLive, f.vm().State)
	for range 2 {
		require.NoError(t, f.c.DrainVM(context.Background(), "vm"))
	}
	require.Equal(t, VMOrders{Drain: true}, f.report("boot-1", 3))
	require.Equal(t, mslog.VMDraining, f.vm().State)
	require.Equal(t, 3, f.vm().Running)
	require.NoError(t, f.c.UndrainVM(context.Background(), "vm"))
	require.Equal(t, VMOrders{}, f.report("boot-1", 3))
	requireKind(t, mslog.Refused, f.c.DrainVM(context.Background(), "no"))
}

// TestRebootEndsOneBootOnly repeats an order after the VM has booted.
func TestRebootEndsOneBootOnly(t *testing.T) {
	f := newFleet(t)
	require.NoError(t, f.c.DrainVM(context.Background(), "vm"))
	f.p.SetFault(Fault{Mode: FaultLoseAnswers})
	err := f.c.RebootVM(context.Background(), "vm", "boot-1")
	requireKind(t, mslog.Unknown, err)
	f.p.SetFault(Fault{})
	require.Equal(t, mslog.VMRebooting, f.vm().State)
	require.Equal(t, "boot-1", f.report("boot-1", 0).Reboot, "the lost order still happens")
	require.Equal(t, VMOrders{}, f.report("boot-2", 0), "a VM that has booted is open")
	require.Equal(t, mslog.VMLive, f.vm().State)
	err = f.c.RebootVM(context.Background(), "vm", "boot-1")
	requireKind(t, mslog.Refused, err)
	require.Equal(t, VMOrders{}, f.report("boot-2", 0))
}

func TestSilentVMFailsUnlessItReboots(t *testing.T) {
	f := newFleet(t)
	f.clock.Advance(silentAfter)
	require.Equal(t, mslog.VMLive, f.vm().State)
	f.clock.Advance(1)
	require.Equal(t, mslog.VMFailed, f.vm().State)
	f.report("boot-1", 0)
	require.NoError(t, f.c.RebootVM(context.Background(), "vm", "boot-1"))
	f.clock.Advance(time.Hour)
	require.Equal(t, mslog.VMRebooting, f.vm().State)
}

func TestUpstreamDrainsAndCountsWhatARebootCuts(t *testing.T) {
	u := &Upstream{}
	u.Drain(true)
	require.Equal(t, NotRunDraining, u.takeSlot())
	u.Drain(false)
	require.Empty(t, u.takeSlot())
	u.Reboot()
	j := u.ReadJournal()
	require.Equal(t, []int{1, 1, 1}, []int{j.RefusedDraining, j.Reboots, j.Cut})
}

// soundFleet returns two pools, a VM moved between them, and nothing amiss.
func soundFleet() FleetJudge {
	owners := func(ms int64, pool string) Ownership {
		return Ownership{
			At:     at(ms),
			Pools:  map[string]string{"v1": "quotes", "v2": "quotes", "v3": pool},
			Needed: map[string]int{"quotes": 1},
			Paths:  map[string]string{"/quote": "quotes", "/run": "booths"},
		}
	}
	event := func(ms int64, vm string, s mslog.VMState) VMEvent { return VMEvent{At: at(ms), VM: vm, State: s} }
	return FleetJudge{
		Lag:    5 * time.Millisecond,
		From:   at(10),
		Owners: []Ownership{owners(0, "quotes"), owners(100, "booths")},
		Events: []VMEvent{
			event(0, "v1", mslog.VMFailed), event(1, "v1", mslog.VMLive), event(2, "v2", mslog.VMLive), event(3, "v3", mslog.VMLive),
			event(50, "v1", mslog.VMDraining), event(60, "v1", mslog.VMLive),
			event(120, "v2", mslog.VMDraining), event(130, "v2", mslog.VMLive),
		},
		Journals: []Journal{{Name: "v3", Reboots: 1, Entries: []JournalEntry{
			{Path: "/quote", Start: at(90)}, {Path: "/quote", Start: at(104)}, {Path: "/run", Start: at(106)},
		}}},
	}
}

func TestFleetJudgeFindsEachBreach(t *testing.T) {
	require.NoError(t, soundFleet().Verdict().Err())
	require.Equal(t, FleetVerdict{Reboots: 1}, soundFleet().Verdict())
	for name, c := range map[string]struct {
		harm func(j *FleetJudge)
		want FleetVerdict
	}{
		"cut by a reboot":    {func(j *FleetJudge) { j.Journals[0].Cut = 2 }, FleetVerdict{Reboots: 1, Cut: 2}},
		"served after lag":   {func(j *FleetJudge) { j.Journals[0].Entries[1].Start = at(106) }, FleetVerdict{Reboots: 1, TwoPools: 1}},
		"served before move": {func(j *FleetJudge) { j.Journals[0].Entries[2].Start = at(99) }, FleetVerdict{Reboots: 1, TwoPools: 1}},
		"of no pool":         {func(j *FleetJudge) { j.Journals[0].Entries[0].Path = "/run" }, FleetVerdict{Reboots: 1, TwoPools: 1}},
		"neither known": {func(j *FleetJudge) {
			j.Journals[0].Name, j.Journals[0].Entries = "v9", []JournalEntry{{Path: "/odd", Start: at(90)}}
		}, FleetVerdict{Reboots: 1, TwoPools: 1}},
		"below the budget": {func(j *FleetJudge) {
			j.Events = append(j.Events, VMEvent{At: at(125), VM: "v1", State: mslog.VMFailed})
		}, FleetVerdict{Reboots: 1, BudgetBreaches: 1}},
		"below it twice": {func(j *FleetJudge) {
			j.Events = append(j.Events, VMEvent{At: at(125), VM: "v1", State: mslog.VMFailed}, VMEvent{At: at(140), VM: "v2", State: mslog.VMRebooting})
		}, FleetVerdict{Reboots: 1, BudgetBreaches: 2}},
	} {
		t.Run(name, func(t *testing.T) {
			j := soundFleet()
			c.harm(&j)
			require.Equal(t, c.want, j.Verdict())
			require.ErrorIs(t, j.Verdict().Err(), ErrBreach)
		})
	}
}
