package msmeasure

import (
	"math"
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
	slots(now time.Time) (due, wanted int)
	tokens(team int, now time.Time) (due, wanted int) // of its upper limit
}

// outcome is what became of one request; times are -1 until they come.
type outcome struct {
	started, ended int
	refused        bool // on arrival
	expired        bool
	lost           bool // with its entry
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
	until   int     // milliseconds
	ends    [][]int // requests that end, by millisecond
	gone    int     // entry that is lost, or -1
	// full is, by pool and step of stepMS, whether someone who may run waited.
	full [][]bool
	// capacity is the slots that some entry may use, by pool and step.
	capacity [][]int
	make     func(pool, entry int) picker
	// waiting is the number of requests by pool and team.
	waiting [][]int
	// byDemand moves tokens to whoever asks, without regard to what is due.
	byDemand bool
	// reserve is the part of an entry's slots that only urgent requests start on.
	reserve float64
	urgent  [][][]int // waiting by pool, entry and team
}

const stepMS = 100

func newShareRun(d Deployment, reqs []request, mk func(pool, entry int) picker) *shareRun {
	until := 0
	if len(reqs) > 0 {
		until = reqs[len(reqs)-1].arrived + 1
	}
	r := &shareRun{d: d, reqs: reqs, outs: make([]outcome, len(reqs)), pools: servingPools(d), until: until, gone: -1, make: mk}
	r.ends = make([][]int, until+1)
	r.lines = make([][]picker, len(d.Services))
	r.slots = make([]*tokens, len(d.Services))
	r.full = make([][]bool, len(d.Services))
	r.capacity = make([][]int, len(d.Services))
	r.waiting = make([][]int, len(d.Services))
	r.urgent = make([][][]int, len(d.Services))
	for _, p := range r.pools {
		r.waiting[p] = make([]int, len(d.Teams))
		for range d.Entries {
			r.urgent[p] = append(r.urgent[p], make([]int, len(d.Teams)))
		}
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
	for ms := range r.until {
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
	if q.urgent {
		r.urgent[q.pool][q.entry][q.team]++
	}
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
			r.leave(i)
		}
	}
}

func (r *shareRun) exchange(e, ms int) {
	for _, p := range r.pools {
		due, wanted := r.lines[p][e].slots(at(ms))
		if r.byDemand {
			due = wanted
		}
		r.slots[p].exchange(e, due, wanted)
	}
	for t := range r.limits {
		due, wanted := 0, r.spareTokens(t, e)
		for _, p := range r.pools {
			d, w := r.lines[p][e].tokens(t, at(ms))
			due += d
			wanted += w
		}
		if r.byDemand {
			due = wanted
		}
		r.limits[t].exchange(e, due, wanted)
	}
}

// spareTokens is an entry's equal part of a limit's tokens that nobody uses.
func (r *shareRun) spareTokens(t, e int) int {
	l, ok := r.lines[r.pools[0]][e].(*shares)
	if !ok {
		return 0
	}
	spare := float64(r.d.Teams[t].Limit) - l.s.UsageTotals.Used(r.d.Teams[t].Name)
	return int(max(0, spare) / float64(r.d.Entries))
}

// report sends e's use to its peers where its policy has something to report.
func (r *shareRun) report(e, ms int) {
	for _, p := range r.pools {
		from, ok := r.lines[p][e].(*shares)
		if !ok {
			return
		}
		used := from.s.Usage()
		for peer := range r.d.Entries {
			if peer != e && peer != r.gone {
				r.lines[p][peer].(*shares).s.SetPeerUsage(from.name, used, at(ms+heartbeatIn))
			}
		}
	}
}

func (r *shareRun) dispatch(p, e, ms int) {
	l := r.lines[p][e]
	may := func(team string) bool {
		i := r.teamIdx[team]
		t := r.limits[i]
		return t.used[e] < t.allowed(e) && (r.urgent[p][e][i] > 0 || !r.reserved(p, e))
	}
	for l.waiting() > 0 && r.slots[p].used[e] < r.slots[p].allowed(e) {
		i, ok := l.next(at(ms), may)
		if !ok {
			return
		}
		l.started(i, at(ms))
		r.slots[p].used[e]++
		r.limits[r.reqs[i].team].used[e]++
		r.leave(i)
		r.outs[i].started = ms
		if end := ms + r.reqs[i].run; end < len(r.ends) {
			r.ends[end] = append(r.ends[end], i)
		}
	}
}

// reserved reports whether only urgent requests may start.
func (r *shareRun) reserved(p, e int) bool {
	allowed := r.slots[p].allowed(e)
	return r.slots[p].used[e] >= allowed-int(math.Ceil(r.reserve*float64(allowed)))
}

// leave takes request i out of the counts of waiting ones.
func (r *shareRun) leave(i int) {
	q := r.reqs[i]
	r.waiting[q.pool][q.team]--
	if q.urgent {
		r.urgent[q.pool][q.entry][q.team]--
	}
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
		t.short[e], t.shed[e] = 0, 0
	}
	for i := range r.outs {
		q, o := &r.reqs[i], &r.outs[i]
		if q.entry != e || q.arrived >= ms || o.refused || o.ended >= 0 {
			continue
		}
		o.lost, o.ended = true, ms
		if o.started < 0 {
			r.leave(i)
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
