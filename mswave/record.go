package mswave

import (
	"fmt"
	"time"

	"marjoramspan/mspool"
)

// Record is one change of a wave, as stored on the log.
type Record struct {
	// Offset is the record's position on the log.
	Offset uint64 `json:"-"`
	// ID is chosen by the writer. After a lost answer the writer looks for it on
	// the log to learn whether the record was appended.
	ID   string `json:"id"`
	Kind Kind   `json:"kind"`
	Wave string `json:"wave"`
	// Base is State.Changed as the writer knew it. Of two records that were
	// decided on the same state, the later one is void.
	Base uint64 `json:"base"`
	// Seen is the offset of the last log record that the writer had applied.
	Seen uint64 `json:"seen,omitempty"`
	// VMs are the VMs that the record is about.
	VMs []Target `json:"vms,omitempty"`
	// Settings are set in a Start record alone.
	Settings Settings `json:"settings,omitzero"`
	// At is the time of the decision, by the writer's clock.
	At     time.Time `json:"at"`
	Reason string    `json:"reason,omitempty"`
	By     string    `json:"by"`
	// Hold makes a stop last until an operator resumes the wave.
	Hold bool `json:"hold,omitempty"`
	// Auto marks an automatic resume. After a resume by an operator, the VMs that
	// are overdue or have returned by then no longer count towards stopping the
	// wave.
	Auto bool `json:"auto,omitempty"`
}

// Target is a VM that a record applies to.
type Target struct {
	VM string `json:"vm"`
	// Pool is the pool that owned the VM when its drain was decided.
	Pool string `json:"pool,omitempty"`
	// BootID is the boot id before a reboot, or the one seen at a return.
	BootID string `json:"boot-id,omitempty"`
}

// Kind is the type of a record.
type Kind string

// Kinds of records.
const (
	Start        Kind = "wave-start"
	Drain        Kind = "wave-drain"
	Cancel       Kind = "wave-cancel" // returns a draining VM to service without a reboot
	Reboot       Kind = "wave-reboot"
	Return       Kind = "wave-return"
	BootTimedOut Kind = "wave-overdue"
	Stop         Kind = "wave-stop"
	Resume       Kind = "wave-resume"
	End          Kind = "wave-end"
	Discard      Kind = "wave-discard" // deletes the progress of retired VMs
)

// VoidError reports a record that has no effect.
type VoidError struct {
	Reason mspool.VoidReason
	Record Record
	// VM is the VM that made the record void, empty where the whole record is.
	VM string
}

// Error names the record, its base and the reason why it is void.
func (e *VoidError) Error() string {
	r := e.Record
	return fmt.Sprintf("mswave: %s of wave %q at offset %d (base %d) is void: %s %s",
		r.Kind, r.Wave, r.Offset, r.Base, e.Reason, e.VM)
}
