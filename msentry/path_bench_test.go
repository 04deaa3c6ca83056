package msentry

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjoramspan/mslog"
	"marjoramspan/msrule"
	"marjoramspan/mssetting"
	"marjoramspan/msstandin"
	"marjoramspan/msstate"
)

// benchEntry runs one entry inside the test, with the platform's stand-in and
// one upstream of many slots, and returns the callers' address.
func benchEntry(b *testing.B, upstream string) string {
	b.Helper()
	platform := &msstandin.Platform{}
	srv := httptest.NewServer(platform)
	b.Cleanup(srv.Close)
	platform.PutVM(mslog.VM{Name: "vm", Address: upstream, State: mslog.VMLive})
	asked := msrule.Origin{AskedBy: "bench"}
	rules := msrule.Set{
		Pools:  []msrule.Pool{{Name: "p", Size: 1, Slots: 64, Connections: 64, Origin: asked}},
		VMs:    []msrule.VM{{Name: "vm", Pool: "p", Origin: asked}},
		Teams:  []msrule.Team{{Name: "t", Share: 1, Limit: 1000, Origin: asked}},
		Queues: []msrule.Queue{{Name: "q", Pool: "p", Teams: []string{"t"}, Open: true, Idempotent: true, Deadline: 10 * time.Second, Origin: asked}},
	}
	client := &mslog.Client{Address: srv.Listener.Addr().String()}
	c := msstate.NewChange(msstate.KindRulesPublish, "bench", 0, msstate.RulesPublish{Rules: rules})
	_, err := client.Append(b.Context(), StreamState, []mslog.Record{{ID: "rules", Data: c.Encode()}})
	require.NoError(b, err)
	set := mssetting.Defaults()
	set.Log.Address = client.Address
	set.Limits.ConnectionsPerUpstream = 64
	set.Entry = mssetting.Entry{Name: "e", DataCentre: "dc", Rack: "r", Listen: free(b), AdminListen: free(b), PeerListen: free(b)}
	set.Entry.Advertise = set.Entry.PeerListen
	set.Drain.BalancerLag = 0
	ctx, cancel := context.WithCancel(context.Background())
	e := &Entry{Settings: set}
	done := make(chan error, 1)
	go func() { done <- e.Run(ctx) }()
	b.Cleanup(func() {
		cancel()
		<-done
	})
	require.Eventually(b, func() bool { return post("http://"+set.Entry.Listen+PathQueues+"q/x") == nil }, 10*time.Second, 10*time.Millisecond)
	return set.Entry.Listen
}

func free(b *testing.B) string {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

var benchClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

func post(target string) error {
	res, err := benchClient.Post(target, "text/plain", strings.NewReader("hello"))
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return io.ErrUnexpectedEOF
	}
	_, err = io.Copy(io.Discard, res.Body)
	return err
}

// BenchmarkPath times a small request at the bare upstream and through an entry,
// one at a time and 32 at a time.
func BenchmarkPath(b *testing.B) {
	up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	}))
	b.Cleanup(up.Close)
	address := up.Listener.Addr().String()
	entry := benchEntry(b, address)
	for _, way := range []struct{ name, target string }{
		{"bare", "http://" + address + "/x"},
		{"entry", "http://" + entry + PathQueues + "q/x"},
	} {
		b.Run("one/"+way.name, func(b *testing.B) {
			for range b.N {
				require.NoError(b, post(way.target))
			}
		})
		b.Run("many/"+way.name, func(b *testing.B) {
			b.SetParallelism(4)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if err := post(way.target); err != nil {
						b.Error(err)
					}
				}
			})
		})
	}
}

// BenchmarkSlopeTables makes the tables that an entry decides on, as it does
// after each record.
func BenchmarkSlopeTables(b *testing.B) {
	for _, n := range []int{1, 2, 4} {
		s := &msstate.State{Rules: benchRules(n*135, n*51)}
		asked := msrule.Origin{AskedBy: "bench"}
		for i := range n * 102 {
			s.Rules.Keys = append(s.Rules.Keys, msrule.Key{ID: strings.Repeat("k", 8), Digest: strings.Repeat("d", 60) + string(rune('a'+i%26)), Origin: asked})
		}
		b.Run(string(rune('0'+n))+"x", func(b *testing.B) {
			for range b.N {
				newTables(s.Clone())
			}
		})
	}
}
