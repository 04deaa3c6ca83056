package mswave

import (
	"sort"

	"marjoramspan/mspool"
)

// queues are the VMs that a wave has yet to take, one queue a pool. The spare
// pool comes first: its VMs show a bad image before any that serves.
type queues struct {
	pools []*queue
}

type queue struct {
	spare bool
	vms   []*mspool.VM
}

// newQueues sorts the VMs of t that are due. Within a pool, successive VMs come
// from different data centres and racks, and pools begin in different ones, so
// that what is out at the same time is spread.
func newQueues(t mspool.Table, due func(mspool.VM) bool) *queues {
	q := &queues{}
	byName := make(map[string]*queue, len(t.Pools))
	for _, p := range t.Pools {
		one := &queue{spare: p.Spare}
		q.pools = append(q.pools, one)
		byName[p.Name] = one
	}
	for i := range t.VMs {
		v := &t.VMs[i]
		if one := byName[v.Pool]; one != nil && due(*v) {
			one.vms = append(one.vms, v)
		}
	}
	for i, one := range q.pools {
		one.spread(i)
	}
	sort.SliceStable(q.pools, func(i, j int) bool { return q.pools[i].spare && !q.pools[j].spare })
	return q
}

// spread orders the queue so that data centres take turns, beginning with the
// one at place first; within each, the VM longest unmaintained comes first.
func (q *queue) spread(first int) {
	sort.Slice(q.vms, func(i, j int) bool { return older(q.vms[i], q.vms[j]) })
	groups := make(map[string][]*mspool.VM)
	var names []string
	for _, v := range q.vms {
		if groups[v.DataCentre] == nil {
			names = append(names, v.DataCentre)
		}
		groups[v.DataCentre] = append(groups[v.DataCentre], v)
	}
	sort.Strings(names)
	spread := q.vms[:0:0]
	for i := first; len(spread) < len(q.vms); i++ {
		name := names[i%len(names)]
		if g := groups[name]; len(g) > 0 {
			spread = append(spread, g[0])
			groups[name] = g[1:]
		}
	}
	q.vms = spread
}

func older(a, b *mspool.VM) bool {
	if !a.LastMaintained.Equal(b.LastMaintained) {
		return a.LastMaintained.Before(b.LastMaintained)
	}
	if a.Rack != b.Rack {
		return a.Rack < b.Rack
	}
	return a.Name < b.Name
}

// pick takes up to room VMs that guard lets go, one a pool in turn, and takes
// them off their queues. A pool that has no VM to let go has none later, as what
// is taken only lowers its margin.
func (q *queues) pick(guard *mspool.Guard, room int) []Target {
	var out []Target
	open := append([]*queue(nil), q.pools...)
	for len(open) > 0 && len(out) < room {
		still := open[:0]
		for _, one := range open {
			if len(out) == room {
				break
			}
			if v, ok := one.take(guard); ok {
				out = append(out, Target{VM: v.Name, Pool: v.Pool, BootID: v.BootID})
				still = append(still, one)
			}
		}
		open = still
	}
	return out
}

// take takes the first VM off the queue that guard lets go, trying one a rack.
func (q *queue) take(guard *mspool.Guard) (*mspool.VM, bool) {
	var tried map[string]bool
	for i, v := range q.vms {
		if tried[v.Rack] {
			continue
		}
		if guard.Take(*v) {
			q.vms = append(q.vms[:i:i], q.vms[i+1:]...)
			return v, true
		}
		if tried == nil {
			tried = make(map[string]bool)
		}
		tried[v.Rack] = true
	}
	return nil, false
}

// left returns how many VMs are still to be taken.
func (q *queues) left() int {
	n := 0
	for _, one := range q.pools {
		n += len(one.vms)
	}
	return n
}
