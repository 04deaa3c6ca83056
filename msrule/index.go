package msrule

import "slices"

// Index looks rules up by name. It is built once from a Set, is never changed
// afterwards, and may be read by many goroutines at a time. The zero value
// holds no rule.
type Index struct {
	dataCentres map[string]DataCentre
	pools       map[string]Pool
	vms         map[string]VM
	teams       map[string]Team
	queues      map[string]Queue
	keys        map[string]Key
	spare       string
}

// NewIndex returns the index of a set that Check accepts.
func NewIndex(s Set) *Index {
	x := &Index{
		dataCentres: make(map[string]DataCentre, len(s.DataCentres)),
		pools:       make(map[string]Pool, len(s.Pools)),
		vms:         make(map[string]VM, len(s.VMs)),
		teams:       make(map[string]Team, len(s.Teams)),
		queues:      make(map[string]Queue, len(s.Queues)),
		keys:        make(map[string]Key, len(s.Keys)),
	}
	x.addPlaces(s)
	x.addCallers(s)
	return x
}

// DataCentre returns the data centre of that name.
func (x *Index) DataCentre(name string) (DataCentre, bool) {
	d, ok := x.dataCentres[name]
	return d, ok
}

// Pool returns the pool of that name.
func (x *Index) Pool(name string) (Pool, bool) {
	p, ok := x.pools[name]
	return p, ok
}

// SparePool returns the pool that lends VMs to the others.
func (x *Index) SparePool() (Pool, bool) {
	return x.Pool(x.spare)
}

// VM returns the VM of that name.
func (x *Index) VM(name string) (VM, bool) {
	v, ok := x.vms[name]
	return v, ok
}

// Team returns the team of that name.
func (x *Index) Team(name string) (Team, bool) {
	t, ok := x.teams[name]
	return t, ok
}

// Queue returns the queue of that name.
func (x *Index) Queue(name string) (Queue, bool) {
	q, ok := x.queues[name]
	return q, ok
}

// Key returns the key whose secret has that digest.
func (x *Index) Key(digest string) (Key, bool) {
	k, ok := x.keys[digest]
	return k, ok
}

// KeyOf returns the key that a caller's secret belongs to.
func (x *Index) KeyOf(secret string) (Key, bool) {
	digest := digestOf(secret)
	k, ok := x.keys[string(digest[:])]
	return k, ok
}

// Admits reports whether the queue takes work of the team.
func (q Queue) Admits(team string) bool {
	return slices.Contains(q.Teams, team)
}

func (x *Index) addPlaces(s Set) {
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

func (x *Index) addCallers(s Set) {
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
