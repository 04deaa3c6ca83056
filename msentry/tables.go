package msentry

import (
	"slices"
	"sort"
	"sync"
	"sync/atomic"

	"marjoramspan/mslog"
	"marjoramspan/mspeer"
	"marjoramspan/msrule"
	"marjoramspan/msstate"
)

// tables is the basis of the entry's decisions: the state at one offset, with its rules
// indexed. It is immutable once published.
type tables struct {
	state *msstate.State
	rules *msrule.Index
	// pools maps each pool to its VMs, sorted by name.
	pools map[string][]string
	// names abbreviates the names of teams and pools in heartbeats.
	names *mspeer.NameIndex
}

func newTables(s *msstate.State) *tables {
	return &tables{state: s, rules: msrule.NewIndex(s.Rules), pools: s.InService(), names: mspeer.NewNameIndex(s.Rules)}
}

// fold applies the state stream and publishes tables. start must set the first state
// before any other use.
type fold struct {
	// onApply is called after each record, in order and with mu held.
	onApply func(t *tables, out msstate.Outcome)

	current atomic.Pointer[tables]

	mu sync.Mutex
	// state and recent are guarded by mu. recent holds the latest records for peers
	// that are behind.
	state  *msstate.State
	recent []mslog.Record
}

// maxRecentRecords is how many records are kept for peers.
const maxRecentRecords = 2048

func (f *fold) start(s *msstate.State) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state = s
	f.current.Store(newTables(s.Clone()))
}

// tables returns the tables in force, or nil before the start.
func (f *fold) tables() *tables {
	return f.current.Load()
}

// apply folds r, unless it has been folded already. It fails if earlier records are
// missing.
func (f *fold) apply(r mslog.Record) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.Offset < f.state.Next {
		return nil
	}
	out, err := f.state.Apply(r)
	if err != nil {
		return err
	}
	f.recent = append(f.recent, r)
	if len(f.recent) > maxRecentRecords {
		f.recent = slices.Clone(f.recent[len(f.recent)-maxRecentRecords:])
	}
	t := newTables(f.state.Clone())
	f.current.Store(t)
	f.onApply(t, out)
	return nil
}

// next returns the offset of the next record to apply.
func (f *fold) next() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state == nil {
		return 0
	}
	return f.state.Next
}

// recordsFrom returns at most n records from the offset from on, and the offset after
// the latest. It returns no records if from is older than the kept ones.
func (f *fold) recordsFrom(from uint64, n int) ([]mslog.Record, uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state == nil {
		return nil, 0
	}
	i := sort.Search(len(f.recent), func(i int) bool { return f.recent[i].Offset >= from })
	if i == len(f.recent) || f.recent[i].Offset != from {
		return nil, f.state.Next
	}
	return slices.Clone(f.recent[i:min(len(f.recent), i+n)]), f.state.Next
}
