package mscapacity

import (
	"cmp"
	"slices"

	"marjoramspan/msjob"
)

// Need is room that a pool must have on VMs of a kind, however little CPU it needs.
type Need struct {
	// Label, if set, is a label that the VMs must have.
	Label string
	// Size is what one task requires of a VM.
	Size msjob.Resources
	// Tasks is how many tasks there must be room for on idle VMs, PerVM how many of them may
	// run on one VM; 0 is no limit.
	Tasks, PerVM int
	// Reserve is for how many more tasks the pool keeps room that it has. It asks for none.
	Reserve int
}

// AddNeed adds a need to those of the pool. Of needs that differ in the numbers of tasks alone the
// most counts, as jobs share VMs.
func (p *Pool) AddNeed(n Need) {
	for i := range p.Needs {
		if o := &p.Needs[i]; o.Size == n.Size && o.PerVM == n.PerVM && o.Label == n.Label {
			o.Tasks, o.Reserve = max(o.Tasks, n.Tasks), max(o.Reserve, n.Reserve)
			return
		}
	}
	p.Needs = append(p.Needs, n)
}

// room returns how many of the tasks an idle VM has room for.
func (n *Need) room(vm *VM) int {
	if vm.Absent || !n.Size.Fits(vm.Capacity) || n.Label != "" && !slices.Contains(vm.Labels, n.Label) {
		return 0
	}
	tasks := int64(n.Tasks)
	if n.PerVM > 0 {
		tasks = min(tasks, int64(n.PerVM))
	}
	if n.Size.CPU > 0 {
		tasks = min(tasks, vm.Capacity.CPU/n.Size.CPU)
	}
	if n.Size.Memory > 0 {
		tasks = min(tasks, vm.Capacity.Memory/n.Size.Memory)
	}
	if n.Size.GPUs > 0 {
		tasks = min(tasks, vm.Capacity.GPUs/n.Size.GPUs)
	}
	return int(tasks)
}

// covers reports whether VMs that meet n meet o as well.
func (n *Need) covers(o *Need) bool {
	return (o.Label == "" || o.Label == n.Label) && o.Tasks <= n.Tasks && o.Reserve <= n.Reserve && o.Size.Fits(n.Size) &&
		(n.PerVM == o.PerVM || o.PerVM == 0 || n.PerVM > 0 && n.PerVM < o.PerVM)
}

// compareNeeds sorts a need before those that it covers.
func compareNeeds(a, b Need) int {
	return cmp.Or(
		cmp.Compare(b.Size.CPU, a.Size.CPU), cmp.Compare(b.Size.Memory, a.Size.Memory), cmp.Compare(b.Size.GPUs, a.Size.GPUs),
		cmp.Compare(b.Label, a.Label), cmp.Compare(b.Tasks, a.Tasks), cmp.Compare(b.Reserve, a.Reserve),
		cmp.Compare(uint(a.PerVM)-1, uint(b.PerVM)-1),
	)
}

// trackedNeed is a need and the room for its tasks.
type trackedNeed struct {
	Need
	// have is the room on the VMs of the pool, coming that on the VMs that the plan brings.
	have, coming int
}

func (n *trackedNeed) missing() int {
	return n.Tasks - n.have - n.coming
}

// needTracker keeps the needs of the pools while VMs move between them.
type needTracker struct {
	pools map[string][]trackedNeed
	// free is how many VMs may leave a pool that has needs.
	free map[string]int
	// kinds has the VMs by the labels that needs ask for, and those of all labels under "".
	kinds map[string]*kind
}

// kind is the VMs with a label.
type kind struct {
	vms []*VM
	// largest has the most of each resource that any of them has.
	largest    msjob.Resources
	candidates []*candidate
	// sorted says that candidates is set.
	sorted bool
}

// newNeedTracker returns the tracker of the pools' needs. A need that another one of its pool
// covers is left out.
func newNeedTracker(pools []Pool, vms []VM) *needTracker {
	t := &needTracker{}
	if !slices.ContainsFunc(pools, func(p Pool) bool { return len(p.Needs) > 0 && !p.Spare }) {
		return t
	}
	t.pools, t.free, t.kinds = map[string][]trackedNeed{}, map[string]int{}, map[string]*kind{}
	byPool := make(map[string][]*VM, len(pools))
	for i := range vms {
		byPool[vms[i].Pool] = append(byPool[vms[i].Pool], &vms[i])
	}
	for i := range pools {
		p := &pools[i]
		if len(p.Needs) == 0 || p.Spare {
			continue
		}
		t.pools[p.Name] = t.track(p, byPool[p.Name], vms)
		t.free[p.Name] = p.Size - t.bound(p.Name, byPool[p.Name])
	}
	return t
}

// kindOf returns the VMs with a label. all has the VMs of all pools.
func (t *needTracker) kindOf(label string, all []VM) *kind {
	k := t.kinds[label]
	if k != nil {
		return k
	}
	k = &kind{}
	t.kinds[label] = k
	for i := range all {
		if vm := &all[i]; label == "" || slices.Contains(vm.Labels, label) {
			k.vms = append(k.vms, vm)
			k.largest = msjob.Resources{
				CPU: max(k.largest.CPU, vm.Capacity.CPU), Memory: max(k.largest.Memory, vm.Capacity.Memory), GPUs: max(k.largest.GPUs, vm.Capacity.GPUs),
			}
		}
	}
	return k
}

// track returns the needs to track in a pool with the given VMs. all has the VMs of all pools.
func (t *needTracker) track(p *Pool, vms []*VM, all []VM) []trackedNeed {
	sorted := slices.Clone(p.Needs)
	slices.SortFunc(sorted, compareNeeds)
	var tracked []trackedNeed
next:
	for i := range sorted {
		n := &sorted[i]
		k := t.kindOf(n.Label, all)
		if n.Tasks <= 0 || len(k.vms) == 0 || !n.Size.Fits(k.largest) {
			continue
		}
		for k := range tracked {
			// A need that isn't met says nothing of smaller ones.
			o := &tracked[k]
			if (o.have >= o.Tasks || o.Label == n.Label && o.Size == n.Size) && o.covers(n) {
				continue next
			}
		}
		from := vms
		if len(k.vms) < len(vms) {
			from = k.vms
		}
		tn := trackedNeed{Need: *n}
		for _, vm := range from {
			if vm.Pool == p.Name {
				tn.have += tn.room(vm)
			}
		}
		tracked = append(tracked, tn)
	}
	return tracked
}

// bound returns how many of a pool's VMs can't leave it, if the others do.
func (t *needTracker) bound(pool string, vms []*VM) int {
	needs := slices.DeleteFunc(slices.Clone(t.pools[pool]), func(n trackedNeed) bool { return n.have == 0 })
	n := 0
	for _, vm := range vms {
		if !leave(needs, vm) {
			n++
		}
	}
	return n
}

// freeOf returns how many VMs may leave a pool.
func (t *needTracker) freeOf(p Pool) int {
	if n, ok := t.free[p.Name]; ok {
		return max(0, n)
	}
	return p.Size
}

// leave takes the VM out of its pool, unless the pool would then lack room for its needs and their
// reserves.
func (t *needTracker) leave(vm *VM) bool {
	return leave(t.pools[vm.Pool], vm)
}

func leave(needs []trackedNeed, vm *VM) bool {
	for i := range needs {
		if r := needs[i].room(vm); r > 0 && needs[i].have-r < needs[i].Tasks+needs[i].Reserve {
			return false
		}
	}
	for i := range needs {
		needs[i].have -= needs[i].room(vm)
	}
	return true
}

// arrive notes that the plan brings a VM to a pool.
func (t *needTracker) arrive(pool string, vm *VM) {
	needs := t.pools[pool]
	for i := range needs {
		needs[i].coming += needs[i].room(vm)
	}
}

// meetNeeds takes VMs that meet the pools' unmet needs: idle ones first, and of these the ones
// beyond the target sizes before those that pools can lend. A pool in a burst lends none.
func (pl *planner) meetNeeds() {
	for i := range pl.pools {
		p := &pl.pools[i]
		needs := pl.needs.pools[p.Name]
		for k := range needs {
			if needs[k].missing() > 0 {
				pl.meet(p.Name, &needs[k])
			}
		}
	}
}

func (pl *planner) meet(to string, n *trackedNeed) {
	fitting := pl.fitting[:0]
	for _, c := range pl.candidatesOf(n.Label) {
		if !c.taken && c.vm.Pool != to && n.room(c.vm) > 0 {
			fitting = append(fitting, c)
		}
	}
	pl.fitting = fitting
	for _, idle := range []bool{true, false} {
		for _, lent := range []bool{false, true} {
			for _, c := range fitting {
				if n.missing() <= 0 {
					return
				}
				if c.taken || c.vm.Idle != idle || !pl.gives(c.vm.Pool, lent) || !pl.needs.leave(c.vm) {
					continue
				}
				pl.take(c, to, true)
				pl.needs.arrive(to, c.vm)
			}
		}
	}
}

// gives reports whether a pool has a VM to give, or one to lend.
func (pl *planner) gives(pool string, lent bool) bool {
	if lent {
		return pl.lendable[pool] > 0
	}
	return pl.surplus[pool] > 0
}

// candidatesOf returns the candidates with a label.
func (pl *planner) candidatesOf(label string) []*candidate {
	k := pl.needs.kinds[label]
	if k.sorted {
		return k.candidates
	}
	k.sorted = true
	for i := range pl.candidates {
		if c := &pl.candidates[i]; label == "" || slices.Contains(c.vm.Labels, label) {
			k.candidates = append(k.candidates, c)
		}
	}
	return k.candidates
}
