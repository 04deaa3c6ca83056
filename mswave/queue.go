package mswave

import (
	"sort"

	"marjoramspan/mspool"
)

// queues holds the VMs that a wave has left to maintain, one queue per pool. The
// spare pool comes first, so that a bad image shows on its VMs before those that
// serve callers.
type queues struct {
	pools []*queue
}

type queue struct {
	spare bool
	vms   []*mspool.VM
}

// newQueues queues the VMs of t that are due. Within a pool, successive VMs come
// from different data centres and racks, and the pools start with different ones,
// so that the VMs out of service at the same time are spread over both.
func newQueues(t mspool.Table, due func(mspool.VM) bool) *queues {
	q := &queues{}
	byName := make(map[string]*queue, len(t.Pools))
	for _, p := range t.Pools {
		pending := &queue{spare: p.Spare}
		q.pools = append(q.pools, pending)
		byName[p.Name] = pending
	}
	for i := range t.VMs {
		v := &t.VMs[i]
		if pending := byName[v.Pool]; pending != nil && due(*v) {
			pending.vms = append(pending.vms, v)
		}
	}
	for i, pending := range q.pools {
		pending.interleave(i)
	}
	sort.SliceStable(q.pools, func(i, j int) bool { return q.pools[i].spare && !q.pools[j].spare })
	return q
}

// interleave orders the queue round robin over the data centres, starting with
// the one at index first. Within each, the VM whose maintenance is longest ago
// comes first.
func (q *queue) interleave(first int) {
	sort.Slice(q.vms, func(i, j int) bool { return maintainedEarlier(q.vms[i], q.vms[j]) })
	groups := make(map[string][]*mspool.VM)
	var centres []string
	for _, v := range q.vms {
		if groups[v.DataCentre] == nil {
			centres = append(centres, v.DataCentre)
		}
		groups[v.DataCentre] = append(groups[v.DataCentre], v)
	}
	sort.Strings(centres)
	ordered := q.vms[:0:0]
	for i := first; len(ordered) < len(q.vms); i++ {
		centre := centres[i%len(centres)]
		if group := groups[centre]; len(group) > 0 {
			ordered = append(ordered, group[0])
			groups[centre] = group[1:]
		}
	}
	q.vms = ordered
}

func maintainedEarlier(a, b *mspool.VM) bool {
	if !a.LastMaintained.Equal(b.LastMaintained) {
		return a.LastMaintained.Before(b.LastMaintained)
	}
	if a.Rack != b.Rack {
		return a.Rack < b.Rack
	}
	return a.Name < b.Name
}

// pick removes from the queues up to limit VMs that guard allows, one per pool in
// turn. A pool without such a VM is not tried again, as taking more VMs only
// lowers its margin.
func (q *queues) pick(guard *mspool.Guard, limit int) []Target {
	var picked []Target
	candidates := append([]*queue(nil), q.pools...)
	for len(candidates) > 0 && len(picked) < limit {
		next := candidates[:0]
		for _, pending := range candidates {
			if len(picked) == limit {
				break
			}
			if v, ok := pending.take(guard); ok {
				picked = append(picked, Target{VM: v.Name, Pool: v.Pool, BootID: v.BootID})
				next = append(next, pending)
			}
		}
		candidates = next
	}
	return picked
}

// take removes and returns the first VM that guard allows. It tries one VM per
// rack.
func (q *queue) take(guard *mspool.Guard) (*mspool.VM, bool) {
	var triedRacks map[string]bool
	for i, v := range q.vms {
		if triedRacks[v.Rack] {
			continue
		}
		if guard.Take(*v) {
			q.vms = append(q.vms[:i:i], q.vms[i+1:]...)
			return v, true
		}
		if triedRacks == nil {
			triedRacks = make(map[string]bool)
		}
		triedRacks[v.Rack] = true
	}
	return nil, false
}

// remaining returns how many VMs are still queued.
func (q *queues) remaining() int {
	n := 0
	for _, pending := range q.pools {
		n += len(pending.vms)
	}
	return n
}
