package msstate

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjoramspan/mslog"
	"marjoramspan/msrule"
)

// Reference size of a deployment. changesPerDay counts keys given and withdrawn.
const (
	benchVMs      = 860
	benchPools    = 135
	benchTeams    = 51
	benchKeys     = 102
	changesPerDay = 3100
)

// benchRules returns rules for n times the reference size.
func benchRules(n int) msrule.Set {
	asked := msrule.Origin{AskedBy: "bench"}
	var s msrule.Set
	for i := range n * benchPools {
		s.Pools = append(s.Pools, msrule.Pool{Name: fmt.Sprint("pool-", i), Size: 6, Slots: 8, Connections: 64, Available: 80, Origin: asked})
	}
	for i := range n * benchVMs {
		s.VMs = append(s.VMs, msrule.VM{Name: fmt.Sprint("vm-", i), Pool: s.Pools[i%len(s.Pools)].Name, Origin: asked})
	}
	for i := range n * benchTeams {
		s.Teams = append(s.Teams, msrule.Team{Name: fmt.Sprint("team-", i), Share: 1 + i%4, Limit: 40, Origin: asked})
	}
	for i := range s.Pools {
		team := s.Teams[i%len(s.Teams)].Name
		s.Queues = append(s.Queues, msrule.Queue{Name: fmt.Sprint("queue-", i), Pool: s.Pools[i].Name, Teams: []string{team}, Deadline: time.Second, Origin: asked})
	}
	for i := range n * benchKeys {
		s.Keys = append(s.Keys, msrule.Key{ID: fmt.Sprint("key-", i), Team: s.Teams[i%len(s.Teams)].Name, Digest: fmt.Sprintf("%064x", i+1), Origin: asked})
	}
	return s
}

func newPublishedState(b *testing.B, n int) *State {
	b.Helper()
	s := &State{}
	out, err := s.Apply(nextRecord(s, "0", newPublish(0, benchRules(n))))
	require.NoError(b, err)
	require.True(b, out.Accepted, out.Reason)
	return s
}

// BenchmarkSlopePublish applies a record that publishes all rules.
func BenchmarkSlopePublish(b *testing.B) {
	for _, n := range []int{1, 2, 4} {
		b.Run(fmt.Sprint(n, "x"), func(b *testing.B) {
			s := newPublishedState(b, n)
			c := newPublish(s.RulesVersion, benchRules(n))
			r := nextRecord(s, "next", c)
			b.ReportMetric(float64(len(r.Data)), "record-bytes")
			b.ResetTimer()
			for range b.N {
				clone := s.Clone()
				_, err := clone.Apply(r)
				require.NoError(b, err)
			}
		})
	}
}

// BenchmarkSlopeDay applies a day's configuration changes: keys given and
// withdrawn.
func BenchmarkSlopeDay(b *testing.B) {
	for _, n := range []int{1, 2, 4} {
		b.Run(fmt.Sprint(n, "x"), func(b *testing.B) {
			base := newPublishedState(b, n)
			log := dayOfKeyChanges(b, base.Clone(), n*changesPerDay)
			b.ResetTimer()
			for range b.N {
				s := base.Clone()
				for _, r := range log {
					_, err := s.Apply(r)
					require.NoError(b, err)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*len(log)), "us/change")
		})
	}
}

func dayOfKeyChanges(b *testing.B, s *State, changes int) []mslog.Record {
	b.Helper()
	var log []mslog.Record
	for i := range changes {
		id := fmt.Sprint("extra-", i/2)
		c := NewChange(KindKeyWithdraw, "bench", 0, KeyWithdraw{ID: id})
		if i%2 == 0 {
			k := msrule.Key{ID: id, Team: "team-0", Digest: fmt.Sprintf("%064x", 1_000_000+i), Origin: msrule.Origin{AskedBy: "bench"}}
			c = NewChange(KindKeyGive, "bench", 0, KeyGive{Key: k})
		}
		r := nextRecord(s, fmt.Sprint("day-", i), c)
		out, err := s.Apply(r)
		require.NoError(b, err)
		require.True(b, out.Accepted, out.Reason)
		log = append(log, r)
	}
	return log
}

// BenchmarkSlopeSnapshot encodes and restores a snapshot of the whole state.
func BenchmarkSlopeSnapshot(b *testing.B) {
	for _, n := range []int{1, 2, 4} {
		b.Run(fmt.Sprint(n, "x"), func(b *testing.B) {
			s := newPublishedState(b, n)
			data, err := json.Marshal(s)
			require.NoError(b, err)
			b.ReportMetric(float64(len(data)), "state-bytes")
			for range b.N {
				r := nextRecord(s, "snap", NewSnapshot(s, "bench"))
				_, err := Restore(r)
				require.NoError(b, err)
			}
		})
	}
}
