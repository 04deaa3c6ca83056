package msworker

import (
	"context"
	"errors"

	"marjoramspan/msjob"
)

// VM is an entry of the platform's list of VMs. A worker is one life of a VM.
type VM struct {
	Name, Pool, DataCentre, Rack string
	// Worker is the id of the VM's worker; empty while it has none.
	Worker   string
	Up       bool
	Capacity msjob.Resources
	// Maintained says that the VM is away for maintenance, Moving that it is on its
	// way to another pool.
	Maintained, Moving bool
}

// VMOrder says who orders something of a VM.
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

// VMReason says why an order about a VM failed.
type VMReason int

// The reasons of a VMError.
const (
	// VMUnknown orders may have been carried out, or may still be.
	VMUnknown VMReason = iota
	// VMFenced orders had a lower fencing token than the VM has seen.
	VMFenced
	// VMBusy VMs are not up, or leave.
	VMBusy
	// VMNotInWave VMs are not part of the wave named.
	VMNotInWave
	// VMRejected orders had no effect and may be tried later.
	VMRejected
	// VMInvalid orders name no VM, or a pool that the VM can't be in.
	VMInvalid
)

// VMError is an order about a VM that was not carried out, or may not have been.
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

// VMReasonOf returns the reason of err; what is no *VMError is VMUnknown.
func VMReasonOf(err error) VMReason {
	var e *VMError
	if errors.As(err, &e) {
		return e.Reason
	}
	return VMUnknown
}
