package mspool

import (
	"sort"
	"time"
)

// Settings is how pools are kept. The zero value is ready for use.
type Settings struct {
	// ReplaceAfter is how long a VM has been failed before another takes its
	// place, where the pool would not survive the loss of a rack without it.
	ReplaceAfter time.Duration
	// PatchAfter is how long a VM has been failed before another takes its place
	// in any case.
	PatchAfter time.Duration
	// ReturnAfter is how long a pool has had a VM beyond its size before it gives
	// it back, where the spare pool doesn't lack it sooner.
	ReturnAfter time.Duration
	// Loans are VMs that pools are to have beyond their size for the time of a wave.
	Loans []Loan
	// Hold is how many VMs the spare pool keeps ready. Where it is 0 that is the
	// pool's size, or what Reserve says where Lend is set.
	Hold int
	// Lend gives what the spare pool holds beyond that to the platform's jobs.
	Lend bool
	// Lease is how long an entry may send work after it last read the log, and
	// MaxRun the longest that a request may run.
	Lease  time.Duration
	MaxRun time.Duration
}

// Defaults of Settings.
const (
	DefaultReplaceAfter = 10 * time.Minute
	DefaultPatchAfter   = 24 * time.Hour
	DefaultReturnAfter  = 24 * time.Hour
	DefaultLease        = 4 * time.Second
	DefaultMaxRun       = 5 * time.Minute
)

// ClockSkew is allowed for between the writer of a record and its reader.
const ClockSkew = 2 * time.Second

// Loan is what a pool needs while a wave waits to take its VMs: so many spare
// VMs beyond its size, and its failed VMs replaced at once where one VM less
// would keep the wave from going on.
type Loan struct {
	Pool string `json:"pool"`
	VMs  int    `json:"vms"`
}

// Decision is one change to be recorded.
type Decision struct {
	Kind Kind   `json:"kind"`
	VM   string `json:"vm"`
	From string `json:"from,omitempty"`
	To   string `json:"to,omitempty"`
	// Reason is for the audit trail.
	Reason string `json:"reason"`
	// Base is the offset of the VM's last change.
	Base uint64 `json:"base"`
}

// Record returns d as a record by the given writer, who had folded the log
// through seen. A writer who appends the decisions of one plan in turn names the
// offset of the one before as seen, provided no other record lies between.
func (d Decision) Record(id, by string, seen uint64) Record {
	return Record{ID: id, Kind: d.Kind, VM: d.VM, Base: d.Base, Seen: seen, From: d.From, To: d.To, By: by}
}

// Plan returns the changes that t needs now, each of which is still right when
// the others are refused. It moves a VM only where that buys something: a pool
// that could not lose a rack, a VM that stays failed, a loan, a spare pool that
// is too small, or a VM that would stay beyond its pool's size.
func Plan(t Table, cfg Settings, now time.Time) []Decision {
	p := newPlanner(t, cfg.filled(), now)
	p.finishMoves()
	p.assignLoose()
	p.fillPools()
	p.refillSpare()
	p.sizeSpare()
	return p.out
}

func (s Settings) filled() Settings {
	s.ReplaceAfter = orTime(s.ReplaceAfter, DefaultReplaceAfter)
	s.PatchAfter = orTime(s.PatchAfter, DefaultPatchAfter)
	s.ReturnAfter = orTime(s.ReturnAfter, DefaultReturnAfter)
	s.Lease = orTime(s.Lease, DefaultLease)
	s.MaxRun = orTime(s.MaxRun, DefaultMaxRun)
	return s
}

func orTime(d, other time.Duration) time.Duration {
	if d == 0 {
		return other
	}
	return d
}

// planner holds one Plan's counts.
type planner struct {
	table Table
	cfg   Settings
	now   time.Time
	index *index
	guard *Guard
	pools []*tally
	// byName finds the tally of a pool; spare is the pool that lends, or nil.
	byName map[string]*tally
	spare  *tally
	// used marks the VMs that this plan has decided about, by place.
	used map[int]bool
	out  []Decision
}

// tally is a pool as it will be once the moves under way are done.
type tally struct {
	*members
	// present are members that work or soon will, and VMs on their way in.
	present int
	want    int
	loan    int
	// inWave says that a wave waits for VMs of the pool.
	inWave  bool
	racks   map[string]int
	centres map[string]int
}

func newPlanner(t Table, cfg Settings, now time.Time) *planner {
	p := &planner{table: t, cfg: cfg, now: now, index: newIndex(t), guard: NewGuard(t, 0)}
	p.byName = make(map[string]*tally, len(t.Pools))
	p.used = make(map[int]bool)
	for _, m := range p.index.pools {
		one := &tally{members: m, want: m.pool.Size, racks: make(map[string]int), centres: make(map[string]int)}
		p.pools = append(p.pools, one)
		p.byName[m.pool.Name] = one
		if m.pool.Spare && p.spare == nil {
			p.spare = one
		}
		for _, i := range m.all {
			if v := t.VMs[i]; v.Moving == "" && p.isPresent(v) {
				one.add(v)
			}
		}
		for _, i := range m.arriving {
			one.add(t.VMs[i])
		}
	}
	for _, l := range cfg.Loans {
		if one := p.byName[l.Pool]; one != nil {
			one.want += l.VMs
			one.loan = l.VMs
			one.inWave = true
		}
	}
	return p
}

// isPresent reports whether v counts as a member that works or soon will: a VM
// that reboots is back before another one could be moved in.
func (p *planner) isPresent(v VM) bool {
	switch v.State {
	case Leaving:
		return false
	case Failed:
		return p.now.Sub(v.Since) < p.cfg.ReplaceAfter
	}
	return true
}

func (t *tally) add(v VM) {
	t.present++
	t.racks[v.Rack]++
	t.centres[v.DataCentre]++
}

func (t *tally) remove(v VM) {
	t.present--
	t.racks[v.Rack]--
	t.centres[v.DataCentre]--
}

// short returns how many more VMs the pool needs to keep its budget with its
// worst rack gone, and with one VM out where a wave waits for it.
func (t *tally) short() int {
	short := t.pool.Needed() + worst(t.racks, 0).Serving - t.present
	if t.inWave {
		short++
	}
	return short
}

func (p *planner) decide(i int, k Kind, to, reason string) {
	v := p.table.VMs[i]
	p.used[i] = true
	d := Decision{Kind: k, VM: v.Name, To: to, Reason: reason, Base: v.Changed}
	if k == VMMoveOut {
		d.From = v.Pool
	}
	p.out = append(p.out, d)
}

// byNeed returns the serving pools, the one furthest from its budget first.
func (p *planner) byNeed() []*tally {
	var out []*tally
	for _, t := range p.pools {
		if !t.pool.Spare {
			out = append(out, t)
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].short() > out[j].short() })
	return out
}
