package msoperator

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjoramspan/msentry"
	"marjoramspan/mslog"
	"marjoramspan/msrule"
	"marjoramspan/mssetting"
	"marjoramspan/msstandin"
	"marjoramspan/msstate"
)

// From the command to no request to the data centre's VMs, and back; both commands are in
// the audit trail with their reasons. A request that runs there when it is evacuated is
// answered. With every data centre evacuated, requests are refused and have not run.
func TestEvacuateAndReleaseAZone(t *testing.T) {
	platform := &msstandin.Platform{}
	srv := httptest.NewServer(platform)
	t.Cleanup(srv.Close)
	client := &mslog.Client{Address: srv.Listener.Addr().String()}
	origin := msrule.Origin{AskedBy: "test"}
	rules := msrule.Set{
		Pools:  []msrule.Pool{{Name: "p", Size: 2, Slots: 64, Connections: 64, Available: 80, Origin: origin}},
		Teams:  []msrule.Team{{Name: "t", Share: 1, Limit: 1000, Origin: origin}},
		Queues: []msrule.Queue{{Name: "q", Pool: "p", Teams: []string{"t"}, Open: true, Idempotent: true, Deadline: time.Second, Origin: origin}},
	}
	var got [2]atomic.Int64
	held := make(chan struct{})
	for i, name := range []string{"north", "south"} {
		up := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			got[i].Add(1)
			if strings.HasSuffix(r.URL.Path, "held") {
				<-held
			}
		}))
		t.Cleanup(up.Close)
		platform.PutVM(mslog.VM{Name: "vm-" + name, Address: up.Listener.Addr().String(), DataCentre: name, State: mslog.VMLive})
		rules.VMs = append(rules.VMs, msrule.VM{Name: "vm-" + name, Pool: "p", Origin: origin})
	}
	c := msstate.NewChange(msstate.KindRulesPublish, "test", 0, msstate.RulesPublish{Rules: rules})
	_, err := client.Append(t.Context(), msentry.StreamState, []mslog.Record{{ID: "rules", Data: c.Encode()}})
	require.NoError(t, err)
	target := "http://" + runZoneEntry(t, client.Address) + msentry.PathQueues + "q/"
	o := &Operator{Log: client, By: "somchai", Jitter: func() float64 { return 0.5 }}
	post := func(path string) int {
		res, err := http.Post(target+path, "text/plain", strings.NewReader("x")) //nolint:noctx // The test's server ends with it.
		if err != nil {
			return 0
		}
		defer func() { _ = res.Body.Close() }()
		_, _ = io.Copy(io.Discard, res.Body)
		return res.StatusCode
	}
	require.Eventually(t, func() bool { return post("x") == http.StatusOK }, 10*time.Second, 10*time.Millisecond)
	requests := func() (north, south int64) {
		before := [2]int64{got[0].Load(), got[1].Load()}
		for range 20 {
			require.Equal(t, http.StatusOK, post("x"))
		}
		return got[0].Load() - before[0], got[1].Load() - before[1]
	}
	change := func(fn func(ctx context.Context, dataCentre, why string) (ZoneChanged, error), name string) ZoneChanged {
		z, err := fn(t.Context(), name, "power "+name)
		require.NoError(t, err)
		_, err = o.WaitInForce(t.Context(), z.Version)
		require.NoError(t, err)
		return z
	}
	answered := make(chan int, 2)
	for range 2 {
		go func() { answered <- post("held") }()
	}
	require.Eventually(t, func() bool { return got[0].Load()+got[1].Load() >= 3 }, 10*time.Second, time.Millisecond)
	z := change(o.EvacuateZone, "north")
	require.Equal(t, "p", z.Short[0].Pool, "a pool that serves with 1 of 2 VMs and needs both")
	close(held)
	require.Equal(t, [2]int{http.StatusOK, http.StatusOK}, [2]int{<-answered, <-answered})
	north, south := requests()
	require.Equal(t, [2]int64{0, 20}, [2]int64{north, south})
	change(o.EvacuateZone, "south")
	require.Equal(t, http.StatusServiceUnavailable, post("x"))
	zones, err := o.Zones(t.Context())
	require.NoError(t, err)
	require.Equal(t, []int{1, 0, 1, 0}, []int{zones[0].VMs, zones[0].Up, zones[1].VMs, zones[1].Up})
	require.Equal(t, "power north", zones[0].Evacuation.Why)
	change(o.ReleaseZone, "south")
	change(o.ReleaseZone, "north")
	north, _ = requests()
	require.Positive(t, north)
	for _, wrong := range []error{
		second(o.EvacuateZone(t.Context(), "nowhere", "typing error")),
		second(o.EvacuateZone(t.Context(), "north", " ")),
		second(o.ReleaseZone(t.Context(), "north", "again")),
	} {
		require.Error(t, wrong)
	}
	audit, err := o.Audit(t.Context())
	require.NoError(t, err)
	reasons := 0
	for _, r := range audit {
		if r.Outcome.Accepted && strings.Contains(string(r.Outcome.Change.Body), "power ") && r.Outcome.Change.By == "somchai" {
			reasons++
		}
	}
	require.Equal(t, 4, reasons)
}

func second(_ ZoneChanged, err error) error {
	return err
}

func runZoneEntry(t *testing.T, log string) string {
	t.Helper()
	set := mssetting.Defaults()
	set.Log.Address = log
	set.Entry = mssetting.Entry{Name: "e", DataCentre: "north", Rack: "r"}
	for _, address := range []*string{&set.Entry.Listen, &set.Entry.AdminListen, &set.Entry.PeerListen} {
		free, release, err := msstandin.FreeAddress()
		require.NoError(t, err)
		t.Cleanup(release)
		*address = free
	}
	set.Entry.Advertise = set.Entry.PeerListen
	set.Drain.BalancerLag = 0
	ctx, cancel := context.WithCancel(context.Background())
	e := &msentry.Entry{Settings: set}
	done := make(chan error, 1)
	go func() { done <- e.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return set.Entry.Listen
}
