package msteam

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// naiveDivide is the textbook algorithm for weighted max-min fairness: claims in
// order of demand by weight, each getting the lesser of its demand and its part
// of the rest.
func naiveDivide(capacity float64, claims []Claim) []float64 {
	order, totalWeight := make([]int, len(claims)), 0.0
	for i, c := range claims {
		order[i] = i
		totalWeight += c.Weight
	}
	slices.SortFunc(order, func(a, b int) int {
		if claims[a].Demand/claims[a].Weight < claims[b].Demand/claims[b].Weight {
			return -1
		}
		return 1
	})
	allocated := make([]float64, len(claims))
	for _, i := range order {
		allocated[i] = min(claims[i].Demand, capacity*claims[i].Weight/totalWeight)
		capacity -= allocated[i]
		totalWeight -= claims[i].Weight
	}
	return allocated
}

func TestDivideAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		claims := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Claim {
			return Claim{Weight: rapid.Float64Range(1, 20).Draw(t, "weight"), Demand: rapid.Float64Range(0, 100).Draw(t, "demand")}
		}), 1, 12).Draw(t, "claims")
		capacity := rapid.Float64Range(0, 400).Draw(t, "capacity")
		want := naiveDivide(capacity, claims)
		AllocateMaxMin(capacity, claims)
		for i, c := range claims {
			require.InDelta(t, want[i], c.FairShare, 1e-6)
		}
	})
}

// simulator runs one entry that keeps its slots busy, in steps of a millisecond.
type simulator struct {
	s     *Scheduler
	slots int
	now   time.Time
	id    uint64
	ends  map[time.Time][]string
	used  map[string]time.Duration
	rnd   *rand.Rand
}

func newSimulator(slots int, shares ...Share) *simulator {
	sim := &simulator{s: &Scheduler{Capacity: slots}, slots: slots, now: epoch, rnd: rand.New(rand.NewPCG(1, 2))}
	sim.ends, sim.used = make(map[time.Time][]string), make(map[string]time.Duration)
	sim.s.SetShares(shares)
	return sim
}

// step advances by a millisecond and keeps the asking teams' queues filled.
func (sim *simulator) step(runTime time.Duration, asking ...string) {
	sim.now = sim.now.Add(time.Millisecond)
	for _, team := range sim.ends[sim.now] {
		sim.s.Ended(team, runTime, sim.now)
		sim.slots++
	}
	delete(sim.ends, sim.now)
	for _, team := range asking {
		for sim.s.Waiting(team) < 50 {
			sim.id++
			_ = sim.s.Add(Waiter{ID: sim.id, Team: team, Arrived: sim.now}, sim.now)
		}
	}
	for sim.slots > 0 {
		w, ok := sim.s.Next(sim.now, nil)
		if !ok {
			return
		}
		sim.s.Started(w.Team, sim.now)
		sim.slots--
		run := time.Duration(1+sim.rnd.ExpFloat64()*float64(runTime/time.Millisecond)) * time.Millisecond
		sim.ends[sim.now.Add(run)] = append(sim.ends[sim.now.Add(run)], w.Team)
		sim.used[w.Team] += run
	}
}

func (sim *simulator) run(d, runTime time.Duration, asking ...string) {
	clear(sim.used)
	for range d / time.Millisecond {
		sim.step(runTime, asking...)
	}
}

func TestUsageMatchesMaxMinShares(t *testing.T) {
	rnd := rand.New(rand.NewPCG(7, 7))
	for range 10 {
		var shares []Share
		var claims []Claim
		var teams []string
		for i := range 2 + rnd.IntN(4) {
			sh := Share{Team: fmt.Sprint("team-", i), Weight: 1 + rnd.IntN(8)}
			shares = append(shares, sh)
			claims = append(claims, Claim{Weight: float64(sh.Weight), Demand: 1e9})
			teams = append(teams, sh.Team)
		}
		sim := newSimulator(40, shares...)
		runTime := time.Duration(20+rnd.IntN(180)) * time.Millisecond
		sim.run(3*time.Second, runTime, teams...)
		sim.run(10*time.Second, runTime, teams...)
		for i, expected := range naiveDivide(40*10, claims) {
			require.InEpsilon(t, expected, sim.used[teams[i]].Seconds(), 0.05, "%s of %v, runs of %s", teams[i], shares, runTime)
		}
	}
}

func TestUncontendedUseIsNotCharged(t *testing.T) {
	sim := newSimulator(40, Share{Team: "a", Weight: 1}, Share{Team: "b", Weight: 1})
	sim.run(30*time.Second, 50*time.Millisecond, "a")
	sim.run(5*time.Second, 50*time.Millisecond, "a", "b")
	require.InDelta(t, 100, sim.used["a"].Seconds(), 5)
	require.InDelta(t, 100, sim.used["b"].Seconds(), 5)
}

func TestDeficitIsRepaid(t *testing.T) {
	sim := newSimulator(40, Share{Team: "a", Weight: 1}, Share{Team: "b", Weight: 1})
	sim.s.Capacity = 80
	sim.run(time.Second, 50*time.Millisecond, "a", "b")
	// A peer gives all of its 40 slots to a while b waits there.
	for i := range 6 {
		used := time.Duration(i) * 40 * time.Second
		sim.s.SetPeerUsage("peer", []Usage{{Team: "a", SlotTime: used, Running: 40, Waiting: 50}, {Team: "b", Waiting: 50}}, sim.now)
		sim.run(time.Second, 50*time.Millisecond, "a", "b")
	}
	require.Greater(t, sim.used["b"].Seconds(), 35.0, "b gets nearly all slots of this entry")
	sim.run(peerTimeout+deficitDecay, 50*time.Millisecond, "a", "b")
	sim.run(5*time.Second, 50*time.Millisecond, "a", "b")
	require.InDelta(t, 100, sim.used["b"].Seconds(), 10, "b gets its fair share again once the deficit is repaid or decayed")
}

func TestNoTeamStarves(t *testing.T) {
	sim := newSimulator(10, Share{Team: "big", Weight: 50}, Share{Team: "limited", Weight: 50, Limit: 2}, Share{Team: "small", Weight: 1})
	for range 5 {
		sim.s.Next(sim.now, func(team string) bool { return team == "big" })
		sim.run(2*time.Second, 20*time.Millisecond, "big", "limited", "small")
		for _, team := range []string{"big", "limited", "small"} {
			require.Positive(t, sim.used[team], team)
		}
	}
}

func TestRestartedPeerIsNotCountedTwice(t *testing.T) {
	s := &Scheduler{Capacity: 10}
	s.SetPeerUsage("old", []Usage{{Team: "a", SlotTime: time.Hour, Running: 3}}, epoch)
	s.SetPeerUsage("old", []Usage{{Team: "a", SlotTime: time.Hour + 4*time.Second, Running: 3}}, epoch.Add(time.Second))
	s.advance(epoch.Add(2 * time.Second))
	require.InDelta(t, 4, s.team("a").fleetRate, 0.01)
	s.SetPeerUsage("new", []Usage{{Team: "a", SlotTime: time.Minute, Running: 2}}, epoch.Add(5*time.Second))
	s.advance(epoch.Add(6 * time.Second))
	require.InDelta(t, 2, s.team("a").fleetRate, 0.01, "the timed-out peer is dropped, the new one counts from its first report")
}

func TestLimitCountsOtherPools(t *testing.T) {
	var limits UsageTotals
	here, other := &Scheduler{Capacity: 40, UsageTotals: &limits}, &Scheduler{Capacity: 40, UsageTotals: &limits}
	for _, s := range []*Scheduler{here, other} {
		s.SetShares([]Share{{Team: "a", Weight: 1, Limit: 20}, {Team: "b", Weight: 1}})
	}
	other.SetPeerUsage("peer", []Usage{{Team: "a", Running: 15}}, epoch)
	other.advance(epoch.Add(tick))
	for i := range uint64(1000) {
		require.NoError(t, here.Add(Waiter{ID: i, Team: []string{"a", "b"}[i%2]}, epoch))
	}
	here.advance(epoch.Add(tick))
	require.Equal(t, 5, here.TeamTargetSlots("a", epoch.Add(tick)))
	require.Equal(t, 6, here.TeamUsableSlots("a", epoch.Add(tick)))
	require.InDelta(t, 15, limits.Used("a"), 0.01)
	other.Close()
	require.Zero(t, limits.Used("a"))
}

func TestSlotsBelowAndAboveCapacity(t *testing.T) {
	s := &Scheduler{Capacity: 40}
	require.NoError(t, s.Add(Waiter{ID: 1, Team: "a"}, epoch))
	require.Equal(t, 1, s.TargetSlots(epoch.Add(tick)))
	require.Greater(t, s.UsableSlots(epoch.Add(tick)), 30, "no other entry has demand, so the rest is kept ready")
	s.SetPeerUsage("peer", []Usage{{Team: "a", Waiting: 100_000}}, epoch.Add(tick))
	require.Equal(t, 1, s.TargetSlots(epoch.Add(2*tick)))
	require.Equal(t, 1, s.UsableSlots(epoch.Add(2*tick)))
}
