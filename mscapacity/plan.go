// Package mscapacity decides how many VMs each pool has. It does no I/O: it
// computes moves from the state of the pools and VMs.
//
// It is designed for a load in which the queues have bursts in turn: for some
// seconds a queue demands more than its pool can run, and little in between. A
// pool in a burst gets VMs from the spare pool and from pools whose burst is over.
// A pool whose burst is over releases the VMs that it doesn't need until the other
// pools have had a burst too, because it is the last one due for its next burst. A
// pool that still expects its burst keeps most of the size that operators
// configured, or all of it until the first burst of any pool has ended: a VM takes
// seconds to arrive, and the first jobs of the burst would be late. It lends part
// of its VMs to a pool that lacks VMs when no others are available.
//
// VMs differ in labels and size, and tasks may need several VMs. Whatever the CPU, a pool
// keeps and gets the VMs on which its tasks have room: see Need.
package mscapacity

import (
	"math"
	"sort"
	"time"

	"marjoramspan/msjob"
)

// Pool is the size, capacity and demand of a pool.
type Pool struct {
	Name string
	// Spare marks a pool of VMs that are powered off.
	Spare bool
	// BaseSize is the number of VMs that operators configured for the pool.
	BaseSize int
	// Size is the number of VMs in the pool once the moves in progress are done.
	Size int
	// VMMilliCores is the mean CPU capacity of a VM of the pool, in thousandths of a core.
	VMMilliCores int64
	// LongRunning is the CPU reserved by lasting tasks, which run until their job is
	// cancelled. Demand is the CPU of all other tasks that run or could start now.
	// Both are in thousandths of a core.
	LongRunning, Demand int64
	// LongRunningVMs is the number of the pool's VMs that run lasting tasks.
	LongRunningVMs int
	// Needs is what the tasks that run or could start now need of the pool's VMs.
	Needs []Need
}

// VM is a VM of the fleet. Plan may move it to another pool unless it is pinned.
type VM struct {
	Name, Pool, DataCentre string
	// Idle means that the VM runs no tasks, Pinned that it can't be moved now.
	Idle, Pinned bool
	// Load is the CPU of the tasks that have to end before the VM is idle, in
	// thousandths of a core.
	Load int64
	// Labels and Capacity are those of the VM's worker, as far as it is known.
	Labels   []string
	Capacity msjob.Resources
	// Absent means that the VM has been out of service for so long that it doesn't count for
	// the needs of its pool.
	Absent bool
}

// Move assigns a VM to another pool.
type Move struct {
	VM, To string
	// ForNeed says that the pool lacked room for a need.
	ForNeed bool
}

// Actions are the actions that Plan requests.
type Actions struct {
	Moves []Move
	// Drain lists VMs that must get no new tasks, so that they can be moved soon.
	Drain []string
}

// BurstTracker tracks the demand bursts of the pools. The zero value has observed none and
// is ready for use. Its exported fields are those that can be stored and restored.
type BurstTracker struct {
	// BurstEnded is when a pool's latest burst ended, Peak the recent peak of its demand,
	// which decays, and InBurst whether the pool is in a burst.
	BurstEnded map[string]time.Time `json:"ended,omitempty"`
	Peak       map[string]int64     `json:"peak,omitempty"`
	InBurst    map[string]bool      `json:"in,omitempty"`

	// lowSince is when the demand of a pool in a burst fell below the end threshold,
	// peakUpdated when its peak was last raised or lowered.
	lowSince    map[string]time.Time
	peakUpdated map[string]time.Time
}

const (
	// burstStartShare and burstEndShare are demand thresholds, as shares of the pool's
	// configured capacity: a demand above the first starts a burst, and one below the
	// second ends it.
	burstStartShare = 0.35
	burstEndShare   = 0.15
	// burstEndDelay is how long the demand must stay low for a burst to end.
	burstEndDelay = 1500 * time.Millisecond
	// peakHalfLife is the time in which a recorded peak decays to half, unless the
	// demand reaches it again.
	peakHalfLife = 1500 * time.Millisecond
	// headroomFactor multiplies the peak demand to get the capacity of a pool, since demand
	// varies by about that factor within a second.
	headroomFactor = 1.2
	// waitingShare is the share of its configured size that a pool keeps while it
	// expects a burst: enough for the first seconds, until more VMs arrive.
	waitingShare = 0.75
	// lendingShare is the share of its configured size that a pool keeps while others
	// lack VMs: demand is low in the first second of a burst, and VMs can come back in
	// that time.
	lendingShare = 0.4
	// reserveVMs is the number of VMs that a pool keeps in addition to those that run
	// lasting tasks.
	reserveVMs = 1
)

// Observe updates the burst state from the current demand of the pools.
func (t *BurstTracker) Observe(pools []Pool, now time.Time) {
	if t.BurstEnded == nil {
		t.BurstEnded, t.Peak, t.InBurst = map[string]time.Time{}, map[string]int64{}, map[string]bool{}
	}
	if t.peakUpdated == nil {
		t.lowSince, t.peakUpdated = map[string]time.Time{}, map[string]time.Time{}
	}
	for _, p := range pools {
		if p.Spare {
			continue
		}
		t.observe(p, now)
	}
}

func (t *BurstTracker) observe(p Pool, now time.Time) {
	baseCapacity := float64(int64(p.BaseSize) * p.VMMilliCores)
	if last, ok := t.peakUpdated[p.Name]; ok {
		t.Peak[p.Name] = int64(float64(t.Peak[p.Name]) * math.Exp2(-now.Sub(last).Seconds()/peakHalfLife.Seconds()))
	}
	t.peakUpdated[p.Name] = now
	t.Peak[p.Name] = max(t.Peak[p.Name], p.Demand)
	switch {
	case float64(p.Demand) > burstStartShare*baseCapacity:
		t.InBurst[p.Name] = true
		delete(t.lowSince, p.Name)
	case t.InBurst[p.Name] && float64(p.Demand) < burstEndShare*baseCapacity:
		since, ok := t.lowSince[p.Name]
		if !ok {
			t.lowSince[p.Name] = now
		} else if now.Sub(since) >= burstEndDelay {
			t.InBurst[p.Name] = false
			t.BurstEnded[p.Name] = now
			delete(t.lowSince, p.Name)
		}
	default:
		delete(t.lowSince, p.Name)
	}
}

// hadBurstThisRound reports whether a pool's burst is over and at least one other pool
// has had no burst that ended since.
func (t *BurstTracker) hadBurstThisRound(name string, pools []Pool) bool {
	ended, ok := t.BurstEnded[name]
	if !ok || t.InBurst[name] {
		return false
	}
	for _, p := range pools {
		if p.Spare || p.Name == name {
			continue
		}
		if other, ok := t.BurstEnded[p.Name]; !ok || other.Before(ended) {
			return true
		}
	}
	return false
}

// TargetSize returns the number of VMs that a pool should have.
func (t *BurstTracker) TargetSize(p Pool, pools []Pool) int {
	if p.VMMilliCores <= 0 {
		return p.Size
	}
	sizeForDemand, minSize := t.sizeForDemand(p), minSize(p)
	if t.hadBurstThisRound(p.Name, pools) {
		return max(sizeForDemand, minSize)
	}
	if len(t.BurstEnded) == 0 {
		return max(sizeForDemand, minSize, p.BaseSize)
	}
	return max(sizeForDemand, minSize, int(math.Ceil(waitingShare*float64(p.BaseSize))))
}

// sizeForDemand returns the number of VMs needed for the pool's demand with headroom.
func (t *BurstTracker) sizeForDemand(p Pool) int {
	return int(math.Ceil((float64(p.LongRunning) + headroomFactor*float64(t.Peak[p.Name])) / float64(p.VMMilliCores)))
}

// minSize returns the number of VMs that the pool keeps regardless of its demand.
func minSize(p Pool) int {
	return max(p.LongRunningVMs, 1) + reserveVMs
}

// lendable returns the number of VMs that the pool can lend to pools that lack VMs.
func (t *BurstTracker) lendable(p Pool) int {
	if p.VMMilliCores <= 0 {
		return 0
	}
	return max(0, p.Size-max(t.sizeForDemand(p), minSize(p), int(math.Ceil(lendingShare*float64(p.BaseSize)))))
}

// planner is the state of one plan. Surplus and deficit are numbers of VMs by pool; lendable is
// how many each pool can still give to meet the needs of others.
type planner struct {
	pools                      []Pool
	needs                      *needTracker
	surplus, deficit, lendable map[string]int
	candidates                 []candidate
	actions                    Actions
	// fitting is reused from need to need.
	fitting []*candidate
}

// candidate is a VM that isn't pinned. It is taken once the plan moves or drains it.
type candidate struct {
	vm    *VM
	taken bool
}

// Plan returns the moves that bring the pools to their target sizes and meet their needs.
// Surplus VMs go to the pool with the largest deficit, or to the spare pool if none has a
// deficit. No VM leaves a pool that would then lack room for its needs. vms has all VMs of the
// pools.
func (t *BurstTracker) Plan(pools []Pool, vms []VM) Actions {
	pl := planner{pools: pools, needs: newNeedTracker(pools, vms), surplus: map[string]int{}, deficit: map[string]int{}, lendable: map[string]int{}}
	spare := ""
	for _, p := range pools {
		if p.Spare {
			spare = p.Name
			pl.surplus[p.Name] = p.Size
			continue
		}
		if d := p.Size - t.TargetSize(p, pools); d > 0 {
			pl.surplus[p.Name] = min(d, pl.needs.freeOf(p))
		} else if d < 0 {
			pl.deficit[p.Name] = -d
		}
		if !t.InBurst[p.Name] {
			pl.lendable[p.Name] = t.lendable(p)
		}
	}
	t.lend(&pl)
	pl.candidates = sortedCandidates(vms, spare)
	pl.meetNeeds()
	for i := range pl.candidates {
		c := &pl.candidates[i]
		if c.taken || pl.surplus[c.vm.Pool] <= 0 {
			continue
		}
		to := largestDeficit(pl.deficit)
		if to == "" {
			to = spare
		}
		if to == "" || to == c.vm.Pool || !pl.needs.leave(c.vm) {
			continue
		}
		pl.take(c, to, false)
	}
	return pl.actions
}

// sortedCandidates returns the VMs that aren't pinned in the order in which they are taken. VMs of
// pools above their target come before those of the spare pool, which cost nothing while they stay
// there. Idle VMs come first, then those with the lowest load.
func sortedCandidates(vms []VM, spare string) []candidate {
	all := make([]candidate, 0, len(vms))
	for i := range vms {
		if !vms[i].Pinned {
			all = append(all, candidate{vm: &vms[i]})
		}
	}
	sort.SliceStable(all, func(i, k int) bool {
		a, b := all[i].vm, all[k].vm
		if aSpare, bSpare := a.Pool == spare, b.Pool == spare; aSpare != bSpare {
			return bSpare
		}
		if a.Idle != b.Idle {
			return a.Idle
		}
		if a.Load != b.Load {
			return a.Load < b.Load
		}
		return a.Name < b.Name
	})
	return all
}

// take moves a VM to a pool, or drains it if it runs tasks.
func (pl *planner) take(c *candidate, to string, forNeed bool) {
	c.taken = true
	pl.surplus[c.vm.Pool]--
	pl.lendable[c.vm.Pool]--
	if !c.vm.Idle {
		pl.actions.Drain = append(pl.actions.Drain, c.vm.Name)
		return
	}
	if pl.deficit[to] > 0 {
		pl.deficit[to]--
	}
	pl.actions.Moves = append(pl.actions.Moves, Move{VM: c.vm.Name, To: to, ForNeed: forNeed})
}

// lend adds lendable VMs of pools that are not in a burst to surplus, if the pools in a
// burst lack more VMs than surplus covers. Meanwhile a lending pool requests only the
// VMs that its own demand needs, not its target size.
func (t *BurstTracker) lend(pl *planner) {
	shortfall := 0
	for name, n := range pl.deficit {
		if t.InBurst[name] {
			shortfall += n
		}
	}
	for _, n := range pl.surplus {
		shortfall -= n
	}
	if shortfall <= 0 {
		return
	}
	for _, p := range pl.pools {
		if p.Spare || t.InBurst[p.Name] {
			continue
		}
		if n := max(t.sizeForDemand(p), minSize(p)) - p.Size; n > 0 {
			pl.deficit[p.Name] = n
		} else {
			delete(pl.deficit, p.Name)
		}
		extra := min(shortfall, min(t.lendable(p), pl.needs.freeOf(p))-pl.surplus[p.Name])
		if extra > 0 {
			pl.surplus[p.Name] += extra
			shortfall -= extra
		}
	}
}

// largestDeficit returns the pool that lacks the most VMs, the first by name among
// equals, or "" if none lacks any.
func largestDeficit(deficit map[string]int) string {
	best := ""
	for name, n := range deficit {
		if n > 0 && (best == "" || n > deficit[best] || n == deficit[best] && name < best) {
			best = name
		}
	}
	return best
}
