package mswave

import (
	"fmt"
	"time"

	"marjoramspan/mspool"
)

// Record is one change of a wave, as it lies on the log.
type Record struct {
	// Offset is the record's place on the log.
	Offset uint64 `json:"-"`
	// ID is chosen by the writer, who looks for it after a lost answer.
	ID   string `json:"id"`
	Kind Kind   `json:"kind"`
	Wave string `json:"wave"`
	// Base is State.Changed as the writer knew it: of two drivers who decide at
	// the same time, one is void.
	Base uint64 `json:"base"`
	// Seen is the offset through which the writer had folded the log.
	Seen uint64 `json:"seen,omitempty"`
	// VMs are the VMs that the record is about.
	VMs []Target `json:"vms,omitempty"`
	// Settings are given at the start.
	Settings Settings `json:"settings,omitzero"`
	// At is the writer's time.
	At     time.Time `json:"at"`
	Reason string    `json:"reason,omitempty"`
	By     string    `json:"by"`
	// Hold makes a stop last until an operator resumes the wave.
	Hold bool `json:"hold,omitempty"`
	// Auto marks a resume by the wave itself. One by an operator forgives the VMs
	// that are lost, so that they don't stop the wave again.
	Auto bool `json:"auto,omitempty"`
}

// Target is one VM of a record.
type Target struct {
	VM string `json:"vm"`
	// Pool owns the VM when its drain is decided.
	Pool string `json:"pool,omitempty"`
	// BootID is the one that a reboot is to end, or that a return has seen.
	BootID string `json:"boot-id,omitempty"`
}

// Kind names what a record does.
type Kind string

// Kinds of records.
const (
	Start   Kind = "wave-start"
	Drain   Kind = "wave-drain"
	Cancel  Kind = "wave-cancel" // back into service without a reboot
	Reboot  Kind = "wave-reboot"
	Return  Kind = "wave-return"
	Late    Kind = "wave-overdue"
	Stop    Kind = "wave-stop"
	Resume  Kind = "wave-resume"
	End     Kind = "wave-end"
	Discard Kind = "wave-discard" // forgets VMs that were retired
)

// VoidError reports a record that has no effect.
type VoidError struct {
	Reason mspool.VoidReason
	Record Record
	// VM is the one that the record is void for, where it is one.
	VM string
}

// Error describes the void record in one line.
func (e *VoidError) Error() string {
	r := e.Record
	return fmt.Sprintf("mswave: %s of wave %q at offset %d (base %d) is void: %s %s",
		r.Kind, r.Wave, r.Offset, r.Base, e.Reason, e.VM)
}
