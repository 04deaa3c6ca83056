// Package mscapacity decides how many VMs each pool has. It is pure: tables in,
// moves out.
//
// The load that it answers is that of queues that take turns: each asks for more
// than its pool holds for some seconds, and for little in between. A pool in its
// turn gets VMs from the spare pool and from pools that have had theirs. A pool
// that has had its turn gives up what it doesn't need until the others have had
// theirs, as it is the last to be due again. A pool that waits for its turn keeps
// the size that operators gave it, since a VM takes seconds to arrive and the jobs
// at the head of a turn would be late; it lends some of them to a pool that lacks
// VMs when there are no others.
package mscapacity

import (
	"math"
	"sort"
	"time"
)

// Pool is the state of a pool.
type Pool struct {
	Name string
	// Spare pools hold VMs that are off.
	Spare bool
	// Home is how many VMs operators gave the pool.
	Home int
	// Size is how many VMs it has or will have once moves under way end.
	Size int
	// Cores is the processor capacity of one of its VMs, in thousandths of a core.
	Cores int64
	// Lasting is the CPU of its lasting tasks, Demand that of all other tasks that
	// run or could start now; both in thousandths of a core.
	Lasting, Demand int64
	// Hosts is how many of its VMs run lasting tasks.
	Hosts int
}

// VM is a VM that may be moved.
type VM struct {
	Name, Pool, DataCentre string
	// Idle VMs run nothing, and Fixed ones can't be moved now.
	Idle, Fixed bool
	// Load is what has to end before the VM is idle, in thousandths of a core.
	Load int64
}

// Move takes a VM to another pool.
type Move struct {
	VM, To string
}

// Orders are what Plan wants done.
type Orders struct {
	Moves []Move
	// Drain has the VMs that get no new tasks, so that they can be moved soon.
	Drain []string
}

// Turns remembers when pools have had their turns. The zero value has seen none.
// Its fields are exported to be stored.
type Turns struct {
	// Ended is when the last turn of a pool ended, Peak the demand that its turn
	// has had lately, Seen when the peak was last raised or lowered.
	Ended map[string]time.Time `json:"ended,omitempty"`
	Peak  map[string]int64     `json:"peak,omitempty"`
	In    map[string]bool      `json:"in,omitempty"`

	lowSince map[string]time.Time
	seen     map[string]time.Time
}

const (
	// turnBegins and turnEnds are shares of a pool's own capacity: a demand over the
	// first begins a turn, one under the second ends it.
	turnBegins = 0.35
	turnEnds   = 0.15
	// turnGap is how long the demand stays low before a turn has ended.
	turnGap = 1500 * time.Millisecond
	// peakHalf is the time in which a peak that isn't reached again loses half.
	peakHalf = 1500 * time.Millisecond
	// headroom is what a pool in its turn has over its demand, as demand within a
	// second varies by about that much.
	headroom = 1.2
	// waiting is the share of its own size that a pool keeps until its turn: what
	// it needs to carry the first seconds, until more VMs arrive.
	waiting = 0.75
	// lending is the share of its own size that a pool keeps while others lack VMs: a
	// turn asks for little in its first second, in which VMs can come back.
	lending = 0.4
	// reserve is how many VMs a pool keeps beside those that run lasting tasks.
	reserve = 1
)

// Observe takes in the demand of the pools.
func (t *Turns) Observe(pools []Pool, now time.Time) {
	if t.Ended == nil {
		t.Ended, t.Peak, t.In = map[string]time.Time{}, map[string]int64{}, map[string]bool{}
	}
	if t.seen == nil {
		t.lowSince, t.seen = map[string]time.Time{}, map[string]time.Time{}
	}
	for _, p := range pools {
		if p.Spare {
			continue
		}
		t.observe(p, now)
	}
}

func (t *Turns) observe(p Pool, now time.Time) {
	own := float64(int64(p.Home) * p.Cores)
	if last, ok := t.seen[p.Name]; ok {
		t.Peak[p.Name] = int64(float64(t.Peak[p.Name]) * math.Exp2(-now.Sub(last).Seconds()/peakHalf.Seconds()))
	}
	t.seen[p.Name] = now
	t.Peak[p.Name] = max(t.Peak[p.Name], p.Demand)
	switch {
	case float64(p.Demand) > turnBegins*own:
		t.In[p.Name] = true
		delete(t.lowSince, p.Name)
	case t.In[p.Name] && float64(p.Demand) < turnEnds*own:
		since, ok := t.lowSince[p.Name]
		if !ok {
			t.lowSince[p.Name] = now
		} else if now.Sub(since) >= turnGap {
			t.In[p.Name] = false
			t.Ended[p.Name] = now
			delete(t.lowSince, p.Name)
		}
	default:
		delete(t.lowSince, p.Name)
	}
}

// hadTurn says whether a pool has had its turn and some other has not since.
func (t *Turns) hadTurn(name string, pools []Pool) bool {
	ended, ok := t.Ended[name]
	if !ok || t.In[name] {
		return false
	}
	for _, p := range pools {
		if p.Spare || p.Name == name {
			continue
		}
		if other, ok := t.Ended[p.Name]; !ok || other.Before(ended) {
			return true
		}
	}
	return false
}

// Target is how many VMs a pool should have.
func (t *Turns) Target(p Pool, pools []Pool) int {
	if p.Cores <= 0 {
		return p.Size
	}
	need, least := t.need(p), least(p)
	if t.hadTurn(p.Name, pools) {
		return max(need, least)
	}
	if len(t.Ended) == 0 {
		return max(need, least, p.Home)
	}
	return max(need, least, int(math.Ceil(waiting*float64(p.Home))))
}

// need is how many VMs the pool's demand takes.
func (t *Turns) need(p Pool) int {
	return int(math.Ceil((float64(p.Lasting) + headroom*float64(t.Peak[p.Name])) / float64(p.Cores)))
}

// least is how many VMs the pool keeps whatever its demand.
func least(p Pool) int {
	return max(p.Hosts, 1) + reserve
}

// lendable is how many VMs the pool can spare for others that lack some.
func (t *Turns) lendable(p Pool) int {
	if p.Cores <= 0 {
		return 0
	}
	return max(0, p.Size-max(t.need(p), least(p), int(math.Ceil(lending*float64(p.Home)))))
}

// Plan returns the moves that bring the pools to their targets. VMs leave a pool
// for one that lacks some, or for the spare pool.
func (t *Turns) Plan(pools []Pool, vms []VM) Orders {
	over, lack := map[string]int{}, map[string]int{}
	spare := ""
	for _, p := range pools {
		if p.Spare {
			spare = p.Name
			over[p.Name] = p.Size
			continue
		}
		if d := p.Size - t.Target(p, pools); d > 0 {
			over[p.Name] = d
		} else if d < 0 {
			lack[p.Name] = -d
		}
	}
	t.lend(pools, over, lack)
	givers := append([]VM(nil), vms...)
	// Pools that are over their target give before the spare pool, whose VMs cost
	// nothing as long as they stay; idle VMs go before those with little to end.
	sort.SliceStable(givers, func(i, k int) bool {
		a, b := &givers[i], &givers[k]
		if sa, sb := a.Pool == spare, b.Pool == spare; sa != sb {
			return sb
		}
		if a.Idle != b.Idle {
			return a.Idle
		}
		if a.Load != b.Load {
			return a.Load < b.Load
		}
		return a.Name < b.Name
	})
	var o Orders
	for _, vm := range givers {
		if vm.Fixed || over[vm.Pool] <= 0 {
			continue
		}
		to := neediest(lack)
		if to == "" {
			to = spare
		}
		if to == "" || to == vm.Pool {
			continue
		}
		over[vm.Pool]--
		if !vm.Idle {
			o.Drain = append(o.Drain, vm.Name)
			continue
		}
		if lack[to] > 0 {
			lack[to]--
		}
		o.Moves = append(o.Moves, Move{VM: vm.Name, To: to})
	}
	return o
}

// lend lets pools that wait for their turn give VMs where those in their turn lack
// more than the others have over. Meanwhile a lender asks only for what it needs
// itself, not for its own size.
func (t *Turns) lend(pools []Pool, over, lack map[string]int) {
	short := 0
	for name, n := range lack {
		if t.In[name] {
			short += n
		}
	}
	for _, n := range over {
		short -= n
	}
	if short <= 0 {
		return
	}
	for _, p := range pools {
		if p.Spare || t.In[p.Name] {
			continue
		}
		if n := max(t.need(p), least(p)) - p.Size; n > 0 {
			lack[p.Name] = n
		} else {
			delete(lack, p.Name)
		}
		extra := min(short, t.lendable(p)-over[p.Name])
		if extra > 0 {
			over[p.Name] += extra
			short -= extra
		}
	}
}

func neediest(lack map[string]int) string {
	best := ""
	for name, n := range lack {
		if n > 0 && (best == "" || n > lack[best] || n == lack[best] && name < best) {
			best = name
		}
	}
	return best
}
