package msrule

import "slices"

// Index looks up rules by name, and keys by digest. It is immutable and safe for
// concurrent use. The zero value is empty.
type Index struct {
	dataCentres map[string]DataCentre
	pools       map[string]Pool
	vms         map[string]VM
	teams       map[string]Team
	queues      map[string]Queue
	keys        map[string]Key
	spare       string
}

// NewIndex builds the index of a set, which must pass Check.
func NewIndex(s Set) *Index {
	x := &Index{
		dataCentres: make(map[string]DataCentre, len(s.DataCentres)),
		pools:       make(map[string]Pool, len(s.Pools)),
		vms:         make(map[string]VM, len(s.VMs)),
		teams:       make(map[string]Team, len(s.Teams)),
		queues:      make(map[string]Queue, len(s.Queues)),
		keys:        make(map[string]Key, len(s.Keys)),
	}
	x.addFleet(s)
	x.addAccess(s)
	return x
}

// DataCentre returns the data centre with the given name.
func (x *Index) DataCentre(name string) (DataCentre, bool) {
	d, ok := x.dataCentres[name]
	return d, ok
}

// Pool returns the pool with the given name.
func (x *Index) Pool(name string) (Pool, bool) {
	p, ok := x.pools[name]
	return p, ok
}

// SparePool returns the pool that lends VMs to other pools.
func (x *Index) SparePool() (Pool, bool) {
	return x.Pool(x.spare)
}

// VM returns the VM with the given name.
func (x *Index) VM(name string) (VM, bool) {
	v, ok := x.vms[name]
	return v, ok
}

// Team returns the team with the given name.
func (x *Index) Team(name string) (Team, bool) {
	t, ok := x.teams[name]
	return t, ok
}

// Queue returns the queue with the given name.
func (x *Index) Queue(name string) (Queue, bool) {
	q, ok := x.queues[name]
	return q, ok
}

// KeyByDigest returns the key with the given digest.
func (x *Index) KeyByDigest(digest string) (Key, bool) {
	k, ok := x.keys[digest]
	return k, ok
}

// KeyBySecret returns the key of a caller's secret.
func (x *Index) KeyBySecret(secret string) (Key, bool) {
	digest := hexDigest(secret)
	k, ok := x.keys[string(digest[:])]
	return k, ok
}

// Admits reports whether the team may use the queue.
func (q Queue) Admits(team string) bool {
	return slices.Contains(q.Teams, team)
}

func (x *Index) addFleet(s Set) {
	for _, d := range s.DataCentres {
		x.dataCentres[d.Name] = d
	}
	for _, p := range s.Pools {
		x.pools[p.Name] = p
		if p.Spare {
			x.spare = p.Name
		}
	}
	for _, v := range s.VMs {
		x.vms[v.Name] = v
	}
}

func (x *Index) addAccess(s Set) {
	for _, t := range s.Teams {
		x.teams[t.Name] = t
	}
	for _, q := range s.Queues {
		x.queues[q.Name] = q
	}
	for _, k := range s.Keys {
		x.keys[k.Digest] = k
	}
}
