package msentry

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjoramspan/mslog"
	"marjoramspan/msrule"
	"marjoramspan/mssetting"
	"marjoramspan/msstandin"
	"marjoramspan/msstate"
)

// runEntry runs an entry against a stand-in for the platform and one upstream with
// 64 slots, and returns the address for callers.
func runEntry(t testing.TB, upstream string) string {
	t.Helper()
	return runEntryWith(t, upstream, func(*mssetting.Settings) {}).Listen
}

// runEntryWith is runEntry with changed settings; it returns the entry's addresses.
func runEntryWith(t testing.TB, upstream string, change func(set *mssetting.Settings)) mssetting.Entry {
	t.Helper()
	platform := &msstandin.Platform{}
	srv := httptest.NewServer(platform)
	t.Cleanup(srv.Close)
	platform.PutVM(mslog.VM{Name: "vm", Address: upstream, State: mslog.VMLive})
	origin := msrule.Origin{AskedBy: "test"}
	rules := msrule.Set{
		Pools:  []msrule.Pool{{Name: "p", Size: 1, Slots: 64, Connections: 64, Origin: origin}},
		VMs:    []msrule.VM{{Name: "vm", Pool: "p", Origin: origin}},
		Teams:  []msrule.Team{{Name: "t", Share: 1, Limit: 1000, Origin: origin}},
		Queues: []msrule.Queue{{Name: "q", Pool: "p", Teams: []string{"t"}, Open: true, Idempotent: true, Deadline: 5 * time.Second, Origin: origin}},
	}
	client := &mslog.Client{Address: srv.Listener.Addr().String()}
	c := msstate.NewChange(msstate.KindRulesPublish, "test", 0, msstate.RulesPublish{Rules: rules})
	_, err := client.Append(t.Context(), StreamState, []mslog.Record{{ID: "rules", Data: c.Encode()}})
	require.NoError(t, err)
	set := mssetting.Defaults()
	set.Log.Address = client.Address
	set.Limits.ConnectionsPerUpstream = 64
	set.Entry = mssetting.Entry{Name: "e", DataCentre: "dc", Rack: "r", Listen: freeAddress(t), AdminListen: freeAddress(t), PeerListen: freeAddress(t)}
	set.Entry.Advertise = set.Entry.PeerListen
	set.Drain.BalancerLag = 0
	change(&set)
	ctx, cancel := context.WithCancel(context.Background())
	e := &Entry{Settings: set}
	done := make(chan error, 1)
	go func() { done <- e.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	require.Eventually(t, func() bool { return post("http://"+set.Entry.Listen+PathQueues+"q/x") == nil }, 10*time.Second, 10*time.Millisecond)
	return set.Entry
}

func freeAddress(t testing.TB) string {
	address, release, err := msstandin.FreeAddress()
	require.NoError(t, err)
	t.Cleanup(release)
	return address
}
