package msmeasure

import (
	"slices"
	"time"
)

const (
	heartbeatMS = 1000  // between an entry's reports to its peers
	heartbeatIn = 5     // until a report arrives
	exchangeMS  = 100   // between an entry's exchanges with a token home
	sweepMS     = 50    // between looks for expired requests
	lostAtMS    = 70000 // an entry is lost
	lostForMS   = 25000 // and replaced after this
	mintMS      = 10000 // its tokens are minted again after this
)

// at turns milliseconds of the run into a time.
func at(ms int) time.Time {
	return time.Unix(1_000_000, 0).Add(time.Duration(ms) * time.Millisecond)
}

// picker is the policy of one pool on one entry.
type picker interface {
	add(i int, now time.Time) bool // false is refused early
	next(now time.Time, may func(string) bool) (int, bool)
	started(i int, now time.Time)
	ended(i int, ran time.Duration, now time.Time)
	expired(now time.Time) []int
	waiting() int
	slots(now time.Time) int            // wanted
	tokens(team int, now time.Time) int // of the team's upper limit, wanted
}

// outcome is what became of one request; times are -1 until they come.
type outcome struct {
	started, ended int
	refused        bool // on arrival
	expired        bool
	lost           bool // with its entry
}

// tokens is one counted resource: how many its home has free, and how many
// each entry holds and uses.
type tokens struct {
	free, lost int
	held, used []int
}

func newTokens(total, entries int) *tokens {
	t := &tokens{held: make([]int, entries), used: make([]int, entries)}
	for e := range entries {
		t.held[e] = total / entries
	}
	t.free = total - total/entries*entries
	return t
}

// exchange gives back what entry e holds idle beyond wanted, or takes what is
// free up to it.
func (t *tokens) exchange(e, wanted int) {
	idle := t.held[e] - t.used[e]
	if over := min(idle, t.held[e]-wanted); over > 0 {
		t.held[e] -= over
		t.free += over
		return
	}
	got := min(max(0, wanted-t.held[e]), t.free)
	t.held[e] += got
	t.free -= got
}

func (t *tokens) inUse() int {
	n := 0
	for _, u := range t.used {
		n += u
	}
	return n
}

// shareRun drives one policy over the requests.
type shareRun struct {
	d       Deployment
	reqs    []request
	outs    []outcome
	pools   []int
	lines   [][]picker // by pool and entry
	slots   []*tokens  // by pool
	limits  []*tokens  // by team
	teamIdx map[string]int
	ends    [][]int // requests that end, by millisecond
	gone    int     // entry that is lost, or -1
	// full is, by pool and step of stepMS, whether someone who may run waited.
	full [][]bool
	// capacity is the slots that some entry may use, by pool and step.
	capacity [][]int
	make     func(pool, entry int) picker
	// waiting is the number of requests by pool and team.
	waiting [][]int
}

const stepMS = 100

func newShareRun(d Deployment, reqs []request, mk func(pool, entry int) picker) *shareRun {
	r := &shareRun{d: d, reqs: reqs, outs: make([]outcome, len(reqs)), pools: servingPools(d), gone: -1, make: mk}
	r.ends = make([][]int, shareSeconds*1000+1)
	r.lines = make([][]picker, len(d.Services))
	r.slots = make([]*tokens, len(d.Services))
	r.full = make([][]bool, len(d.Services))
	r.capacity = make([][]int, len(d.Services))
	r.waiting = make([][]int, len(d.Services))
	for _, p := range r.pools {
		r.waiting[p] = make([]int, len(d.Teams))
		r.slots[p] = newTokens(d.Services[p].Instances*d.Services[p].Slots, d.Entries)
		for e := range d.Entries {
			r.lines[p] = append(r.lines[p], mk(p, e))
		}
	}
	r.teamIdx = make(map[string]int)
	for i, t := range d.Teams {
		r.teamIdx[t.Name] = i
		r.limits = append(r.limits, newTokens(t.Limit, d.Entries))
	}
	for i := range r.outs {
		r.outs[i] = outcome{started: -1, ended: -1}
	}
	return r
}

// run steps through the time, a millisecond a step.
func (r *shareRun) run() {
	arrived := 0
	for ms := range shareSeconds * 1000 {
		r.fail(ms)
		for _, i := range r.ends[ms] {
			r.end(i, ms)
		}
		for ; arrived < len(r.reqs) && r.reqs[arrived].arrived <= ms; arrived++ {
			r.arrive(arrived, ms)
		}
		for e := range r.d.Entries {
			if e != r.gone {
				r.entry(e, ms)
			}
		}
		if ms%stepMS == 0 {
			r.note()
		}
	}
}

func (r *shareRun) arrive(i, ms int) {
	q := &r.reqs[i]
	if q.entry == r.gone {
		q.entry = (q.entry + 1 + i%(r.d.Entries-1)) % r.d.Entries
	}
	if !r.lines[q.pool][q.entry].add(i, at(ms)) {
		r.outs[i].refused = true
		return
	}
	r.waiting[q.pool][q.team]++
}

// entry does what one entry does in a millisecond.
func (r *shareRun) entry(e, ms int) {
	phase := ms + e*13
	if phase%sweepMS == 0 {
		r.sweep(e, ms)
	}
	if phase%exchangeMS == 0 {
		r.exchange(e, ms)
	}
	if phase%heartbeatMS == 0 {
		r.report(e, ms)
	}
	for _, p := range r.pools {
		r.dispatch(p, e, ms)
	}
}

func (r *shareRun) sweep(e, ms int) {
	for _, p := range r.pools {
		for _, i := range r.lines[p][e].expired(at(ms)) {
			r.outs[i].expired = true
			r.outs[i].ended = ms
			r.waiting[p][r.reqs[i].team]--
		}
	}
}

func (r *shareRun) exchange(e, ms int) {
	for _, p := range r.pools {
		r.slots[p].exchange(e, r.lines[p][e].slots(at(ms)))
	}
	for t := range r.limits {
		wanted := 0
		for _, p := range r.pools {
			wanted += r.lines[p][e].tokens(t, at(ms))
		}
		r.limits[t].exchange(e, wanted)
	}
}

// report sends e's use to its peers where its policy has something to report.
func (r *shareRun) report(e, ms int) {
	for _, p := range r.pools {
		from, ok := r.lines[p][e].(*shares)
		if !ok {
			return
		}
		used := from.s.Used()
		for peer := range r.d.Entries {
			if peer != e && peer != r.gone {
				r.lines[p][peer].(*shares).s.SetRemote(from.name, used, at(ms+heartbeatIn))
			}
		}
	}
}

func (r *shareRun) dispatch(p, e, ms int) {
	l := r.lines[p][e]
	may := func(team string) bool {
		t := r.limits[r.teamIdx[team]]
		return t.used[e] < t.held[e]
	}
	for l.waiting() > 0 && r.slots[p].used[e] < r.allowed(p, e, ms) {
		i, ok := l.next(at(ms), may)
		if !ok {
			return
		}
		l.started(i, at(ms))
		r.slots[p].used[e]++
		r.limits[r.reqs[i].team].used[e]++
		r.waiting[p][r.reqs[i].team]--
		r.outs[i].started = ms
		if end := ms + r.reqs[i].run; end < len(r.ends) {
			r.ends[end] = append(r.ends[end], i)
		}
	}
}

// allowed returns how many slots the entry may have in use: what it holds, less
// what it is about to give back.
func (r *shareRun) allowed(p, e, ms int) int {
	return min(r.slots[p].held[e], r.lines[p][e].slots(at(ms)))
}

func (r *shareRun) end(i, ms int) {
	if r.outs[i].lost {
		return
	}
	q := r.reqs[i]
	r.outs[i].ended = ms
	r.slots[q.pool].used[q.entry]--
	r.limits[q.team].used[q.entry]--
	r.lines[q.pool][q.entry].ended(i, time.Duration(q.run)*time.Millisecond, at(ms))
}

// fail loses an entry, replaces it later, and mints its tokens again.
func (r *shareRun) fail(ms int) {
	const entry = 3
	if r.d.Entries <= entry {
		return
	}
	switch ms {
	case lostAtMS:
		r.gone = entry
		r.lose(entry, ms)
	case lostAtMS + mintMS:
		for _, t := range r.resources() {
			t.free += t.lost
			t.lost = 0
		}
	case lostAtMS + lostForMS:
		r.gone = -1
		for _, p := range r.pools {
			r.lines[p][entry] = r.make(p, entry)
		}
	}
}

// resources returns every counted resource.
func (r *shareRun) resources() []*tokens {
	out := slices.Clone(r.limits)
	for _, p := range r.pools {
		out = append(out, r.slots[p])
	}
	return out
}

// lose drops all that entry e holds: its tokens and requests.
func (r *shareRun) lose(e, ms int) {
	for _, t := range r.resources() {
		t.lost, t.held[e], t.used[e] = t.held[e], 0, 0
	}
	for i := range r.outs {
		q, o := &r.reqs[i], &r.outs[i]
		if q.entry != e || q.arrived >= ms || o.refused || o.ended >= 0 {
			continue
		}
		o.lost, o.ended = true, ms
		if o.started < 0 {
			r.waiting[q.pool][q.team]--
		}
	}
}

// note records whether each pool is full.
func (r *shareRun) note() {
	for _, p := range r.pools {
		capacity, full := r.slots[p].free, false
		for e := range r.d.Entries {
			capacity += r.slots[p].held[e]
		}
		for t, n := range r.waiting[p] {
			full = full || (n > 0 && r.limits[t].inUse() < r.d.Teams[t].Limit)
		}
		r.full[p] = append(r.full[p], full)
		r.capacity[p] = append(r.capacity[p], capacity)
	}
}
