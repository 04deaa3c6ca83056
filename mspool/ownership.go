package mspool

import "fmt"

// Ownership is the fold of the records that assign and move VMs. The zero
// value owns nothing. It is deterministic in the records and their offsets and
// travels as JSON in snapshots. It is not safe for concurrent use.
type Ownership struct {
	// Through is the offset of the last record folded.
	Through uint64 `json:"through"`
	// VMs holds each VM ever assigned, by name.
	VMs map[string]Holding `json:"vms,omitempty"`
	// Taken is, by pool, the offset of the last record that took a VM out of
	// service there.
	Taken map[string]uint64 `json:"taken,omitempty"`
}

// Holding is what the log says of one VM. The VM belongs to Pool at each moment
// of a move: the pool changes in the one record that moves it in.
type Holding struct {
	Pool  string `json:"pool"`
	Phase Phase  `json:"phase"`
	// To is the pool that a move under way leads to.
	To string `json:"to,omitempty"`
	// Lent says that the VM, of the spare pool, runs the platform's jobs until it
	// is recalled.
	Lent bool `json:"lent,omitempty"`
	// Changed is the offset of the VM's last accepted record, which the next one
	// has to name as its base.
	Changed uint64 `json:"changed"`
	// LastID is the id of that record.
	LastID string `json:"last-id"`
}

// Phase is how far a VM is on its way between pools.
type Phase string

// Phases of a VM. Only a VM that is InPool takes new work.
const (
	InPool    Phase = "in-pool"
	MovingOut Phase = "moving-out"
	Drained   Phase = "drained"
	Retired   Phase = "retired"
)

// Kind names what a record does.
type Kind string

// Kinds of records.
const (
	// VMAssign puts a new or retired VM into pool To.
	VMAssign Kind = "vm-assign"
	// VMMoveOut stops new work on a VM of pool From that is to go to pool To.
	VMMoveOut Kind = "vm-move-out"
	// VMDrained states that the VM runs no request of its old pool any more.
	VMDrained Kind = "vm-drained"
	// VMMoveIn puts the VM into pool To. A drained VM may go into any pool; one
	// that is still moving out may only go back, which cancels its move.
	VMMoveIn Kind = "vm-move-in"
	// VMLend lets the platform's jobs use a VM that its pool doesn't need.
	VMLend Kind = "vm-lend"
	// VMRecall takes a lent VM back. It may be moved at once, and drains first.
	VMRecall Kind = "vm-recall"
	// VMRetire takes the VM out of the fleet. Its entry stays, so that a late
	// copy of an old record finds its base stale.
	VMRetire Kind = "vm-retire"
)

// Record is one change of a VM's pool, as it lies on the log.
type Record struct {
	// Offset is the record's place on the log.
	Offset uint64 `json:"-"`
	// ID is chosen by the writer, who looks for it after a lost answer.
	ID   string `json:"id"`
	Kind Kind   `json:"kind"`
	VM   string `json:"vm"`
	// Base is the offset of the VM's last change that the writer knew, 0 for none.
	Base uint64 `json:"base"`
	// Seen is the offset through which the writer had folded the log. Two writers
	// who each take a VM from one pool could break its budget together, so the
	// one that had not seen the other's record is void.
	Seen uint64 `json:"seen,omitempty"`
	From string `json:"from,omitempty"`
	To   string `json:"to,omitempty"`
	// By names the operator or entry that asked.
	By string `json:"by"`
}

// VoidReason tells why a record has no effect.
type VoidReason string

// Reasons for void records.
const (
	// Folded means that the record lies at or before the fold's offset.
	Folded VoidReason = "folded"
	// Malformed means that the record lacks a field.
	Malformed VoidReason = "malformed"
	// DuplicateID means that the same record has already had its effect.
	DuplicateID VoidReason = "duplicate-id"
	// StaleBase means that the VM has changed since the record was decided.
	StaleBase VoidReason = "stale-base"
	// StaleBudget means that another VM of the pool has been taken out of service
	// since the record was decided.
	StaleBudget VoidReason = "stale-budget"
	// WrongState means that the VM is not where the record takes it from.
	WrongState VoidReason = "wrong-state"
)

// VoidError reports a record that has no effect, with what holds instead.
type VoidError struct {
	Reason VoidReason
	Record Record
	Now    Holding
}

// Error describes the void record in one line.
func (e *VoidError) Error() string {
	r := e.Record
	return fmt.Sprintf("mspool: %s of %s at offset %d (base %d) is void: %s (pool %q, %s, changed at %d)",
		r.Kind, r.VM, r.Offset, r.Base, e.Reason, e.Now.Pool, e.Now.Phase, e.Now.Changed)
}

// Apply folds r. It returns a *VoidError for a record that has no effect; the
// state is then unchanged but for the offset.
func (o *Ownership) Apply(r Record) error {
	now := o.VMs[r.VM]
	if r.Offset <= o.Through {
		return &VoidError{Reason: Folded, Record: r, Now: now}
	}
	o.Through = r.Offset
	next, reason := now.after(r)
	if reason == "" && r.takes(now) && !o.CanTake(now.Pool, r.Seen) {
		reason = StaleBudget
	}
	if reason != "" {
		return &VoidError{Reason: reason, Record: r, Now: now}
	}
	if r.takes(now) {
		o.Take(now.Pool, r.Offset)
	}
	if o.VMs == nil {
		o.VMs = make(map[string]Holding)
	}
	o.VMs[r.VM] = next
	return nil
}

// CanTake reports whether a record decided on the state through seen may still
// take a VM of pool out of service.
func (o *Ownership) CanTake(pool string, seen uint64) bool {
	return seen >= o.Taken[pool]
}

// Take notes that the record at offset took a VM of pool out of service.
// Maintenance calls it for the VMs that it drains.
func (o *Ownership) Take(pool string, offset uint64) {
	if o.Taken == nil {
		o.Taken = make(map[string]uint64)
	}
	o.Taken[pool] = offset
}

// takes reports whether r takes a VM out of service that is in service by h.
func (r Record) takes(h Holding) bool {
	if h.Phase != InPool || h.Lent {
		return false
	}
	return r.Kind == VMMoveOut || r.Kind == VMRetire || r.Kind == VMLend
}

// PoolOf returns the pool that owns vm, and whether vm may take new work there.
func (o *Ownership) PoolOf(vm string) (pool string, open bool) {
	h := o.VMs[vm]
	if h.Phase == Retired {
		return "", false
	}
	return h.Pool, h.Phase == InPool && !h.Lent
}

// Stays returns the pool that owns vm, and whether no move of it is under way, so
// that maintenance may take it.
func (o *Ownership) Stays(vm string) (pool string, stays bool) {
	h := o.VMs[vm]
	return h.Pool, h.Phase == InPool
}

// after returns the holding that follows r, or the reason why r is void. An
// accepted record changes the offset that the next one has to name, so a copy
// of any earlier record is stale without a list of all ids.
func (h Holding) after(r Record) (Holding, VoidReason) {
	if reason := h.refuse(r); reason != "" {
		return h, reason
	}
	next := Holding{Pool: h.Pool, Phase: InPool, Changed: r.Offset, LastID: r.ID}
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

func (h Holding) refuse(r Record) VoidReason {
	switch {
	case !r.complete():
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

func (r Record) complete() bool {
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

func (h Holding) allows(r Record) bool {
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
