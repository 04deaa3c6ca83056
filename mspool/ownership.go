package mspool

import "fmt"

// Ownership is the state folded from the records that assign and move VMs. The
// zero value has no VMs. The state depends only on the records and their offsets,
// and is stored as JSON in snapshots. It is not safe for concurrent use.
type Ownership struct {
	// Through is the offset of the last folded record.
	Through uint64 `json:"through"`
	// VMs holds every VM that was ever assigned, by name.
	VMs map[string]Assignment `json:"vms,omitempty"`
	// LastTaken maps a pool to the offset of the last record that took one of its VMs
	// out of service.
	LastTaken map[string]uint64 `json:"taken,omitempty"`
}

// Assignment is the assignment of one VM according to the log. During a move the VM
// belongs to Pool until the record that moves it into its new pool.
type Assignment struct {
	Pool  string `json:"pool"`
	Phase Phase  `json:"phase"`
	// To is the target pool of a move in progress.
	To string `json:"to,omitempty"`
	// Lent is set while a VM of the spare pool runs the platform's jobs, until it
	// is recalled.
	Lent bool `json:"lent,omitempty"`
	// Changed is the offset of the VM's last accepted record. The next record has
	// to name it as its base.
	Changed uint64 `json:"changed"`
	// LastID is the ID of that record.
	LastID string `json:"last-id"`
}

// Phase is the stage of a VM's move between pools.
type Phase string

// Phases of a VM. Only a VM in phase InPool gets new work.
const (
	InPool    Phase = "in-pool"
	MovingOut Phase = "moving-out"
	Drained   Phase = "drained"
	Retired   Phase = "retired"
)

// Kind is the type of change that a record makes.
type Kind string

// Kinds of records.
const (
	// VMAssign puts a new or retired VM into pool To.
	VMAssign Kind = "vm-assign"
	// VMMoveOut starts moving a VM from pool From to pool To. It gets no new work.
	VMMoveOut Kind = "vm-move-out"
	// VMDrained states that no request of the old pool runs on the VM any more.
	VMDrained Kind = "vm-drained"
	// VMMoveIn puts the VM into pool To. A drained VM may enter any pool; a VM that
	// is still moving out may only return to its old pool, which cancels the move.
	VMMoveIn Kind = "vm-move-in"
	// VMLend lets the platform's jobs use a VM that its pool doesn't need.
	VMLend Kind = "vm-lend"
	// VMRecall takes a lent VM back. The VM may be moved at once, and is drained
	// first.
	VMRecall Kind = "vm-recall"
	// VMRetire removes the VM from the fleet. Its Assignment is kept, so that a late
	// copy of an old record is rejected for its stale base.
	VMRetire Kind = "vm-retire"
)

// Record is one change of a VM's assignment, as stored on the log.
type Record struct {
	// Offset is the record's offset on the log.
	Offset uint64 `json:"-"`
	// ID is chosen by the writer, which searches the log for it after a lost answer.
	ID   string `json:"id"`
	Kind Kind   `json:"kind"`
	VM   string `json:"vm"`
	// Base is the offset of the VM's last change known to the writer, 0 for none.
	Base uint64 `json:"base"`
	// Seen is the offset through which the writer had folded the log. Two writers
	// that each take a VM from the same pool could together violate its budget, so
	// a record whose writer had not seen the other's record is void.
	Seen uint64 `json:"seen,omitempty"`
	From string `json:"from,omitempty"`
	To   string `json:"to,omitempty"`
	// By is the operator or entry that requested the change.
	By string `json:"by"`
}

// VoidReason is the reason why a record has no effect.
type VoidReason string

// Reasons for void records.
const (
	// Folded means that the record's offset has already been folded.
	Folded VoidReason = "folded"
	// Malformed means that a required field is missing or invalid.
	Malformed VoidReason = "malformed"
	// DuplicateID means that the same record has already been applied.
	DuplicateID VoidReason = "duplicate-id"
	// StaleBase means that the VM has changed since the state that the record is
	// based on.
	StaleBase VoidReason = "stale-base"
	// StaleBudget means that another VM of the pool has been taken out of service
	// since the state that the record is based on.
	StaleBudget VoidReason = "stale-budget"
	// WrongState means that the VM's current pool or phase doesn't permit the
	// change.
	WrongState VoidReason = "wrong-state"
)

// VoidError reports a record that has no effect, with the VM's current state.
type VoidError struct {
	Reason  VoidReason
	Record  Record
	Current Assignment
}

// Error describes the void record and the VM's current state in one line.
func (e *VoidError) Error() string {
	r := e.Record
	return fmt.Sprintf("mspool: %s of %s at offset %d (base %d) is void: %s (pool %q, %s, changed at %d)",
		r.Kind, r.VM, r.Offset, r.Base, e.Reason, e.Current.Pool, e.Current.Phase, e.Current.Changed)
}

// Apply folds r into o. It returns a *VoidError for a record that has no effect;
// the state is then unchanged except for the offset.
func (o *Ownership) Apply(r Record) error {
	current := o.VMs[r.VM]
	if r.Offset <= o.Through {
		return &VoidError{Reason: Folded, Record: r, Current: current}
	}
	o.Through = r.Offset
	next, reason := current.transition(r)
	if reason == "" && r.takesOutOfService(current) && !o.CanTake(current.Pool, r.Seen) {
		reason = StaleBudget
	}
	if reason != "" {
		return &VoidError{Reason: reason, Record: r, Current: current}
	}
	if r.takesOutOfService(current) {
		o.RecordTaken(current.Pool, r.Offset)
	}
	if o.VMs == nil {
		o.VMs = make(map[string]Assignment)
	}
	o.VMs[r.VM] = next
	return nil
}

// CanTake reports whether a record based on the state at offset seen may still take
// a VM of pool out of service.
func (o *Ownership) CanTake(pool string, seen uint64) bool {
	return seen >= o.LastTaken[pool]
}

// RecordTaken stores that the record at offset took a VM of pool out of service.
// Maintenance calls it for the VMs that it drains.
func (o *Ownership) RecordTaken(pool string, offset uint64) {
	if o.LastTaken == nil {
		o.LastTaken = make(map[string]uint64)
	}
	o.LastTaken[pool] = offset
}

// takesOutOfService reports whether r takes a VM out of service that is in service
// according to h.
func (r Record) takesOutOfService(h Assignment) bool {
	if h.Phase != InPool || h.Lent {
		return false
	}
	return r.Kind == VMMoveOut || r.Kind == VMRetire || r.Kind == VMLend
}

// PoolOf returns the pool that owns vm, and whether vm may get new work there.
func (o *Ownership) PoolOf(vm string) (pool string, open bool) {
	h := o.VMs[vm]
	if h.Phase == Retired {
		return "", false
	}
	return h.Pool, h.Phase == InPool && !h.Lent
}

// StablePool returns the pool that owns vm, and whether vm is in that pool with no move
// in progress, so that it may be taken for maintenance.
func (o *Ownership) StablePool(vm string) (pool string, stays bool) {
	h := o.VMs[vm]
	return h.Pool, h.Phase == InPool
}

// transition returns the holding after r, or the reason why r is void. An accepted
// record changes the offset that the next one has to name, so a copy of any earlier
// record is stale and no list of all IDs is needed.
func (h Assignment) transition(r Record) (Assignment, VoidReason) {
	if reason := h.voidReason(r); reason != "" {
		return h, reason
	}
	next := Assignment{Pool: h.Pool, Phase: InPool, Changed: r.Offset, LastID: r.ID}
	switch r.Kind {
	case VMAssign, VMMoveIn:
		next.Pool = r.To
	case VMMoveOut:
		next.Phase = MovingOut
		next.To = r.To
	case VMDrained:
		next.Phase = Drained
		next.To = h.To
	case VMLend:
		next.Lent = true
	case VMRetire:
		next.Pool = ""
		next.Phase = Retired
	}
	return next, ""
}

func (h Assignment) voidReason(r Record) VoidReason {
	switch {
	case !r.hasRequiredFields():
		return Malformed
	case r.ID == h.LastID:
		return DuplicateID
	case r.Base != h.Changed:
		return StaleBase
	case !h.allows(r):
		return WrongState
	}
	return ""
}

func (r Record) hasRequiredFields() bool {
	if r.ID == "" || r.VM == "" {
		return false
	}
	switch r.Kind {
	case VMAssign, VMMoveIn:
		return r.To != ""
	case VMMoveOut:
		return r.From != "" && r.To != "" && r.From != r.To
	case VMDrained, VMRetire, VMLend, VMRecall:
		return true
	}
	return false
}

func (h Assignment) allows(r Record) bool {
	switch r.Kind {
	case VMAssign:
		return h.Phase == "" || h.Phase == Retired
	case VMMoveOut:
		return h.Phase == InPool && h.Pool == r.From && !h.Lent
	case VMLend:
		return h.Phase == InPool && !h.Lent
	case VMRecall:
		return h.Lent
	case VMDrained:
		return h.Phase == MovingOut
	case VMMoveIn:
		return h.Phase == Drained || h.Phase == MovingOut && h.Pool == r.To
	case VMRetire:
		return h.Phase == Drained || h.Phase == InPool
	}
	return false
}
