package msentry

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"marjoramspan/mslog"
	"marjoramspan/msmember"
	"marjoramspan/mspeer"
	"marjoramspan/msrule"
	"marjoramspan/msstate"
	"marjoramspan/msteam"
	"marjoramspan/mstoken"
)

// BenchmarkSlopeHeartbeat measures the size of the status that an entry sends to each
// of eight peers once a second, with a tenth of the teams and pools in use at a time.
func BenchmarkSlopeHeartbeat(b *testing.B) {
	for _, n := range []int{1, 2, 4} {
		b.Run(fmt.Sprint(n, "x"), func(b *testing.B) {
			m := mspeer.FromStatus(msmember.Status{Member: "entry-1-12345678", Epoch: 100, Next: 100_000, HasProof: true, HeardMembers: make([]string, 8)})
			var used []mspeer.PoolUsage
			for i := range n * 14 {
				for j := range 3 {
					used = append(used, mspeer.PoolUsage{Pool: fmt.Sprint("pool-", i), Usage: msteam.Usage{Team: fmt.Sprint("team-", j), SlotTime: time.Hour, Running: 3, Waiting: 1}})
				}
			}
			m.Used = mspeer.FromUsage(used, mspeer.NewNameIndex(benchRules(n*14, 3)))
			requestSize := proto.Size(&mspeer.BeatRequest{Member: m.GetMember()})
			b.ReportMetric(float64((proto.Size(m)+requestSize)*8), "bytes/s")
			for range b.N {
				_, _ = proto.Marshal(m)
			}
		})
	}
}

func benchRules(pools, teams int) msrule.Set {
	var s msrule.Set
	for i := range pools {
		s.Pools = append(s.Pools, msrule.Pool{Name: fmt.Sprint("pool-", i)})
	}
	for i := range teams {
		s.Teams = append(s.Teams, msrule.Team{Name: fmt.Sprint("team-", i)})
	}
	return s
}

// benchPool returns one pool of an entry without peers, with vms VMs of 8 slots. The
// ledger holds the resources of all pools.
func benchPool(teams, pools, vms int) *pool {
	now := time.Unix(1000, 0)
	l := &mstoken.Ledger{Self: "e", ReclaimAfter: time.Second}
	l.SetView(mstoken.View{Epoch: 1, Members: []string{"e"}}, now)
	var shares []msteam.Share
	for i := range teams {
		name := fmt.Sprint("team-", i)
		l.SetTotal(msstate.TeamResource(name), 100, 1, now)
		shares = append(shares, msteam.Share{Team: name, Weight: 1 + i%4, Limit: 100})
	}
	table := &vmTable{}
	var list []mslog.VM
	var names []string
	for i := range pools * vms {
		name := fmt.Sprint("vm-", i)
		l.SetTotal(msstate.SlotResource(name), 8, 1, now)
		list = append(list, mslog.VM{Name: name, Address: "127.0.0.1:1", State: mslog.VMLive})
		if i < vms {
			names = append(names, name)
		}
	}
	table.set(list, now)
	l.Outgoing(now)
	p := &pool{name: "p", ledger: l, vms: table, demand: &demand{}}
	p.configure(names, 8, shares, 1000)
	return p
}

// BenchmarkAdmit enqueues a request, waits for its grant of a slot and a team token,
// and releases both.
func BenchmarkAdmit(b *testing.B) {
	for _, size := range []struct {
		name              string
		teams, pools, vms int
	}{{"today", 6, 5, 10}, {"letter", 51, 135, 6}} {
		b.Run(size.name, func(b *testing.B) {
			p := benchPool(size.teams, size.pools, size.vms)
			now := time.Unix(1000, 0)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now = now.Add(time.Millisecond)
				t, err := p.enqueue(msteam.Waiter{ID: uint64(i + 1), Team: "team-0", Queue: "q", Arrived: now, Deadline: now.Add(time.Second)}, now)
				if err != nil {
					b.Fatal(err)
				}
				g := <-t.ready
				p.release("team-0", g.vm.Name, time.Millisecond, now)
			}
		})
	}
}
