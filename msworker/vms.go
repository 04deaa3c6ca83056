package msworker

import (
	"context"
	"errors"

	"marjoramspan/msjob"
)

// VM is a row of the platform's list of VMs. A worker is one incarnation of a VM.
type VM struct {
	Name, Pool, DataCentre, Rack string
	// Worker is the id of the VM's worker, or empty if it has none.
	Worker   string
	Up       bool
	Labels   []string
	Capacity msjob.Resources
	// Maintained is set while the VM is down for maintenance, Moving while it moves to
	// another pool.
	Maintained, Moving bool
}

// VMOrder identifies the VM of an order and the leader that sends it: Holder is the
// leader's name, Token its fencing token.
type VMOrder struct {
	VM     string
	Holder string
	Token  int64
}

// VMs are the calls to the platform's VM service.
type VMs struct {
	List     func(ctx context.Context) ([]VM, error)
	Move     func(ctx context.Context, o VMOrder, pool string) error
	Maintain func(ctx context.Context, o VMOrder, wave int64) error
}

// VMReason is why an order to a VM failed.
type VMReason int

// The reasons of a VMError.
const (
	// VMUnknown orders may or may not have been executed, or may execute later.
	VMUnknown VMReason = iota
	// VMFenced orders had a lower fencing token than one the VM has already seen.
	VMFenced
	// VMBusy orders are for a VM that isn't up or is leaving.
	VMBusy
	// VMNotInWave orders are for a VM that isn't part of the given wave.
	VMNotInWave
	// VMRejected orders had no effect and may be retried later.
	VMRejected
	// VMInvalid orders name an unknown VM, or a pool that the VM can't be in.
	VMInvalid
)

// VMError reports an order to a VM that was not executed, or may not have been.
type VMError struct {
	VM     string
	Reason VMReason
	Err    error
}

// Error returns the VM, the reason and the cause.
func (e *VMError) Error() string {
	s := "VM " + e.VM + ": " + [...]string{"unknown", "fenced", "busy", "not in the wave", "rejected", "invalid"}[e.Reason]
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *VMError) Unwrap() error {
	return e.Err
}

// VMReasonOf returns the reason of err, or VMUnknown if err wraps no *VMError.
func VMReasonOf(err error) VMReason {
	var e *VMError
	if errors.As(err, &e) {
		return e.Reason
	}
	return VMUnknown
}
