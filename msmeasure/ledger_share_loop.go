package msmeasure

import (
	"time"

	"marjoramspan/mstoken"
)

const (
	carryMS   = 2   // a message of the ledger is on the way
	restMS    = 100 // between looks at what is to be sent
	abandonMS = 500 // until an exchange without an answer is given up
	dueMS     = 100 // between looks at what is due
)

// parcel is an exchange or its answer on the way, or the end of its time.
type parcel struct {
	from, to *ledgerEntry
	items    []mstoken.Item
	gifts    []mstoken.Grant
	kind     parcelKind
}

type parcelKind int

const (
	parcelItems parcelKind = iota
	parcelGifts
	parcelLate
)

// run steps through the time, a millisecond a step.
func (r *ledgerRun) run() {
	arrived := 0
	for ms := range r.until {
		r.fail(ms)
		r.deliver(ms)
		for _, i := range r.ends[ms] {
			r.end(i, ms)
		}
		for ; arrived < len(r.reqs) && r.reqs[arrived].arrived <= ms; arrived++ {
			r.arrive(arrived, ms)
			q := r.reqs[arrived]
			r.entries[q.entry].pump[q.pool] = true
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

// deliver hands over what arrives now.
func (r *ledgerRun) deliver(ms int) {
	for _, m := range r.net[ms] {
		switch m.kind {
		case parcelItems:
			if r.present(m.to) {
				gifts := m.to.l.HandleExchange(m.from.l.Self, m.items, at(ms))
				m.to.poke()
				r.post(ms+carryMS, parcel{from: m.to, to: m.from, gifts: gifts, kind: parcelGifts})
			}
		case parcelGifts:
			if r.present(m.to) {
				m.to.l.HandleGrants(m.from.l.Self, m.gifts, at(ms))
				m.to.poke()
			}
		case parcelLate:
			if r.present(m.from) {
				m.from.l.Expire(m.to.l.Self, m.items, at(ms))
			}
		}
	}
	r.net[ms] = nil
}

// post has m arrive at ms.
func (r *ledgerRun) post(ms int, m parcel) {
	r.net[ms] = append(r.net[ms], m)
}

func (r *ledgerRun) present(le *ledgerEntry) bool {
	for e, other := range r.entries {
		if other == le {
			return e != r.gone
		}
	}
	return false
}

// poke has the entry look at all its pools, and at what is to be sent.
func (le *ledgerEntry) poke() {
	le.kicked = true
	for p := range le.pump {
		le.pump[p] = true
	}
}

// entry does what one entry does in a millisecond.
func (r *ledgerRun) entry(e, ms int) {
	le := r.entries[e]
	phase := ms + e*13
	if phase%sweepMS == 0 {
		r.sweep(e, ms)
		for _, p := range r.pools {
			le.pump[p] = true
		}
	}
	if phase%heartbeatMS == 0 {
		r.report(e, ms)
	}
	for _, p := range r.pools {
		if le.pump[p] {
			le.pump[p] = false
			r.dispatch(p, e, ms)
			r.tell(p, e, ms)
		}
	}
	r.tellTeams(e)
	if phase%restMS == 0 || le.kicked {
		le.kicked = false
		r.send(le, ms)
	}
}

// send posts what the ledger has to say.
func (r *ledgerRun) send(le *ledgerEntry, ms int) {
	for _, b := range le.l.Outgoing(at(ms)) {
		to := le
		for _, other := range r.entries {
			if other.l.Self == b.To {
				to = other
			}
		}
		r.items += len(b.Items)
		r.post(ms+carryMS, parcel{from: le, to: to, items: b.Items})
		if !r.present(to) {
			r.post(ms+abandonMS, parcel{from: le, to: to, items: b.Items, kind: parcelLate})
		}
	}
}

// dispatch starts what can be started, as an entry's pool does.
func (r *ledgerRun) dispatch(p, e, ms int) {
	le, line := r.entries[e], r.lines[p][e]
	for line.waiting() > 0 {
		vm, ok := r.takeSlot(p, le)
		if !ok {
			return
		}
		var taken []string
		i, ok := line.next(at(ms), func(team string) bool {
			if !le.l.Acquire("team/" + team) {
				return false
			}
			taken = append(taken, team)
			return true
		})
		for _, team := range taken {
			if !ok || team != r.d.Teams[r.reqs[i].team].Name {
				le.l.Release("team/"+team, at(ms))
			}
		}
		if !ok {
			le.l.Release(vm, at(ms))
			return
		}
		r.start(i, vm, ms)
	}
}

// takeSlot takes a slot of the pool's VMs in turn.
func (r *ledgerRun) takeSlot(p int, le *ledgerEntry) (string, bool) {
	vms := r.vms[p]
	for k := range vms {
		i := (le.turn[p] + k) % len(vms)
		if le.l.Acquire(vms[i]) {
			le.turn[p] = i + 1
			return vms[i], true
		}
	}
	return "", false
}

func (r *ledgerRun) start(i int, vm string, ms int) {
	q := r.reqs[i]
	r.lines[q.pool][q.entry].started(i, at(ms))
	r.leave(i)
	r.on[i] = vm
	r.outs[i].started = ms
	if end := ms + q.run; end < len(r.ends) {
		r.ends[end] = append(r.ends[end], i)
	}
}

func (r *ledgerRun) end(i, ms int) {
	if r.outs[i].lost {
		return
	}
	q := r.reqs[i]
	le := r.entries[q.entry]
	r.outs[i].ended = ms
	le.l.Release(r.on[i], at(ms))
	le.l.Release(r.caps[q.team], at(ms))
	r.lines[q.pool][q.entry].ended(i, time.Duration(q.run)*time.Millisecond, at(ms))
	le.pump[q.pool] = true
}

// tell tells the ledger what the pool wants and is due.
func (r *ledgerRun) tell(p, e, ms int) {
	le, vms, n := r.entries[e], r.vms[p], r.lines[p][e].waiting()
	for k := range vms {
		each := n / len(vms)
		if k < n%len(vms) {
			each++
		}
		le.l.SetDemand(vms[(le.turn[p]+k)%len(vms)], min(each, r.d.Services[p].Slots))
	}
	if !r.byDue || ms-le.dueAt[p] < dueMS {
		return
	}
	le.dueAt[p] = ms
	due, _ := r.lines[p][e].slots(at(ms))
	held, parts := make([]int, len(vms)), make([]int, len(vms))
	for i, vm := range vms {
		held[i] = le.l.Counts(vm).Held
	}
	mstoken.Spread(parts, held, due, r.d.Services[p].Slots, (le.offset+ms/heartbeatMS)%len(vms))
	for i, vm := range vms {
		le.l.SetEntitlement(vm, parts[i])
	}
	for t := range r.caps {
		le.dues[p][t], _ = r.lines[p][e].tokens(t, at(ms))
	}
}

// tellTeams tells the ledger what each team wants and is due over all pools.
func (r *ledgerRun) tellTeams(e int) {
	le := r.entries[e]
	for t, resource := range r.caps {
		want, due := 0, 0
		for _, p := range r.pools {
			want += r.lines[p][e].(*shares).s.Waiting(r.d.Teams[t].Name)
			due += le.dues[p][t]
		}
		le.l.SetDemand(resource, want)
		if r.byDue {
			le.l.SetEntitlement(resource, due)
		}
	}
}

// fail loses an entry and replaces it later.
func (r *ledgerRun) fail(ms int) {
	const entry = 3
	if r.d.Entries <= entry {
		return
	}
	switch ms {
	case lostAtMS:
		for _, p := range r.pools {
			r.lost[p] = r.held(p, entry)
		}
		r.gone = entry
		r.lose(entry, ms)
		r.turnAll([]mstoken.Lost{{Member: r.entries[entry].l.Self, Since: at(ms)}}, ms)
	case lostAtMS + mintMS:
		clear(r.lost)
	case lostAtMS + lostForMS:
		r.gone = -1
		r.entries[entry] = r.newEntry(entry, ms)
		for _, p := range r.pools {
			r.lines[p][entry] = r.make(p, entry)
		}
		r.turnAll(nil, ms)
	}
}

// held is how many slots of pool p entry e holds.
func (r *ledgerRun) held(p, e int) int {
	n := 0
	for _, vm := range r.vms[p] {
		n += r.entries[e].l.Counts(vm).Held
	}
	return n
}

// note records whether each pool is full.
func (r *ledgerRun) note() {
	running := make([]int, len(r.caps))
	for _, le := range r.entries {
		for t, resource := range r.caps {
			running[t] += le.l.Counts(resource).Running
		}
	}
	for _, p := range r.pools {
		full := false
		for t, n := range r.waiting[p] {
			full = full || n > 0 && running[t] < r.d.Teams[t].Limit
		}
		r.full[p] = append(r.full[p], full)
		s := r.d.Services[p]
		r.capacity[p] = append(r.capacity[p], s.Instances*s.Slots-r.lost[p])
	}
}
