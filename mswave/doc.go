// Package mswave decides the order and pace of rolling maintenance.
//
// A wave drains, reboots and returns to service every VM that is due. Plan
// forecasts the batches. Step returns what to do now: it is a pure function of
// the State, which is the result of applying the log's records in order, and of
// a View of the fleet. Any entry can therefore continue a wave when its driver,
// the entry that ran it, is lost.
//
// Every decision is a record on the log. Step first asks for the record to be
// appended and acts on a VM only once the State shows it as accepted. A record
// that conflicts with the State is void: it has no effect. While the log cannot
// be read the View becomes older than the lease, and Step returns nothing.
//
// Before it drains a VM, Step counts what is already down, that VM, and the rack
// whose failure would cost the VM's pool most. It drains the VM only if the
// pool's availability budget would still be met. A VM whose reboot was ordered
// counts as down until it has been seen serving with another boot id, whether or
// not the order was answered.
package mswave
