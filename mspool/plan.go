package mspool

import (
	"sort"
	"time"
)

// Settings configures Plan. The zero value uses the defaults.
type Settings struct {
	// ReplaceAfter is how long a VM has to be failed before it is replaced, if its
	// pool would not survive the loss of a rack otherwise.
	ReplaceAfter time.Duration
	// ReplaceAlwaysAfter is how long a VM has to be failed before it is replaced in any
	// case.
	ReplaceAlwaysAfter time.Duration
	// ReturnAfter is how long a pool keeps a VM beyond its size before returning it
	// to the spare pool, unless the spare pool needs it sooner.
	ReturnAfter time.Duration
	// Loans lists the VMs that pools get beyond their size during a wave.
	Loans []Loan
	// MinSpare is how many VMs the spare pool keeps ready. If it is 0, the pool's size
	// is used, or the result of Reserve if Lend is set.
	MinSpare int
	// Lend makes the spare pool lend its VMs beyond that number to the platform's
	// jobs.
	Lend bool
	// Lease is how long an entry may send work after it last read the log, and
	// MaxRun the maximum run time of a request.
	Lease  time.Duration
	MaxRun time.Duration
}

// Defaults of Settings.
const (
	DefaultReplaceAfter       = 10 * time.Minute
	DefaultReplaceAlwaysAfter = 24 * time.Hour
	DefaultReturnAfter        = 24 * time.Hour
	DefaultLease              = 4 * time.Second
	DefaultMaxRun             = 5 * time.Minute
)

// ClockSkew is the maximum clock difference assumed between the writer of a record
// and its reader.
const ClockSkew = 2 * time.Second

// Loan is what a pool needs while a wave waits to take its VMs: a number of spare
// VMs beyond its size. Its failed VMs are also replaced early if the wave couldn't
// continue with one VM fewer.
type Loan struct {
	Pool string `json:"pool"`
	VMs  int    `json:"vms"`
}

// Decision is one change to be written as a record.
type Decision struct {
	Kind Kind   `json:"kind"`
	VM   string `json:"vm"`
	From string `json:"from,omitempty"`
	To   string `json:"to,omitempty"`
	// Reason explains the decision in the audit trail.
	Reason string `json:"reason"`
	// Base is the offset of the VM's last change.
	Base uint64 `json:"base"`
}

// Record returns d as a record by the given writer, which had folded the log
// through seen. A writer that appends the decisions of one plan in order passes the
// offset of the previous one as seen, provided that no other record lies between.
func (d Decision) Record(id, by string, seen uint64) Record {
	return Record{ID: id, Kind: d.Kind, VM: d.VM, Base: d.Base, Seen: seen, From: d.From, To: d.To, By: by}
}

// Plan returns the changes that t needs now. Each of them remains valid if the
// others are rejected. It moves a VM only if a pool would not survive the loss of a
// rack, a VM stays failed, a wave needs a loan, the spare pool is too small, or a
// pool keeps more VMs than its size.
func Plan(t Table, cfg Settings, now time.Time) []Decision {
	p := newPlanner(t, cfg.withDefaults(), now)
	p.advanceMoves()
	p.assignUnassigned()
	p.fillPools()
	p.refillSpare()
	p.lendOrRecall()
	return p.decisions
}

func (s Settings) withDefaults() Settings {
	s.ReplaceAfter = durationOr(s.ReplaceAfter, DefaultReplaceAfter)
	s.ReplaceAlwaysAfter = durationOr(s.ReplaceAlwaysAfter, DefaultReplaceAlwaysAfter)
	s.ReturnAfter = durationOr(s.ReturnAfter, DefaultReturnAfter)
	s.Lease = durationOr(s.Lease, DefaultLease)
	s.MaxRun = durationOr(s.MaxRun, DefaultMaxRun)
	return s
}

func durationOr(d, fallback time.Duration) time.Duration {
	if d == 0 {
		return fallback
	}
	return d
}

// planner holds the state of one call of Plan.
type planner struct {
	table Table
	cfg   Settings
	now   time.Time
	index *index
	guard *Guard
	pools []*projectedPool
	// byName holds the pools by name. spare is the first spare pool, or nil.
	byName map[string]*projectedPool
	spare  *projectedPool
	// decided marks the VMs that already have a decision, by index in Table.VMs.
	decided   map[int]bool
	decisions []Decision
}

// projectedPool is a pool as it will be after the moves in progress.
type projectedPool struct {
	*poolMembers
	// present is the number of members that work or will soon, and of incoming VMs.
	present int
	want    int
	loan    int
	// waveWaiting is set while a wave waits for VMs of the pool.
	waveWaiting bool
	racks       map[string]int
	dataCentres map[string]int
}

func newPlanner(t Table, cfg Settings, now time.Time) *planner {
	p := &planner{table: t, cfg: cfg, now: now, index: newIndex(t), guard: NewGuard(t, 0)}
	p.byName = make(map[string]*projectedPool, len(t.Pools))
	p.decided = make(map[int]bool)
	for _, m := range p.index.pools {
		projected := &projectedPool{poolMembers: m, want: m.pool.Size, racks: make(map[string]int), dataCentres: make(map[string]int)}
		p.pools = append(p.pools, projected)
		p.byName[m.pool.Name] = projected
		if m.pool.Spare && p.spare == nil {
			p.spare = projected
		}
		for _, i := range m.all {
			if v := t.VMs[i]; v.Moving == "" && p.isPresent(v) {
				projected.add(v)
			}
		}
		for _, i := range m.incoming {
			projected.add(t.VMs[i])
		}
	}
	for _, l := range cfg.Loans {
		if projected := p.byName[l.Pool]; projected != nil {
			projected.want += l.VMs
			projected.loan = l.VMs
			projected.waveWaiting = true
		}
	}
	return p
}

// isPresent reports whether v counts as a member that works or will soon. A
// rebooting VM counts, because it is back before another one could be moved in. A VM of
// an evacuated data centre doesn't, as nobody knows how long that stays evacuated.
func (p *planner) isPresent(v VM) bool {
	if v.Evacuated {
		return false
	}
	switch v.State {
	case Leaving:
		return false
	case Failed:
		return p.now.Sub(v.Since) < p.cfg.ReplaceAfter
	}
	return true
}

func (pp *projectedPool) add(v VM) {
	pp.present++
	pp.racks[v.Rack]++
	pp.dataCentres[v.DataCentre]++
}

func (pp *projectedPool) remove(v VM) {
	pp.present--
	pp.racks[v.Rack]--
	pp.dataCentres[v.DataCentre]--
}

// shortfall returns how many more VMs the pool needs to stay within its budget
// without its largest rack, and without one more VM if a wave waits for it.
func (pp *projectedPool) shortfall() int {
	shortfall := pp.pool.Needed() + worstLoss(pp.racks, 0).Serving - pp.present
	if pp.waveWaiting {
		shortfall++
	}
	return shortfall
}

func (p *planner) addDecision(i int, k Kind, to, reason string) {
	v := p.table.VMs[i]
	p.decided[i] = true
	d := Decision{Kind: k, VM: v.Name, To: to, Reason: reason, Base: v.Changed}
	if k == VMMoveOut {
		d.From = v.Pool
	}
	p.decisions = append(p.decisions, d)
}

// byShortfall returns the serving pools, the one with the largest shortfall first.
func (p *planner) byShortfall() []*projectedPool {
	var out []*projectedPool
	for _, pp := range p.pools {
		if !pp.pool.Spare {
			out = append(out, pp)
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].shortfall() > out[j].shortfall() })
	return out
}
