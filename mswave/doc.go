// Package mswave decides the order and the pace of maintenance.
//
// A wave takes every VM that is due through drain, reboot and return. Plan
// shows beforehand in which batches that can happen. Step says what to do now:
// it is a pure function of the State, which is a fold of records, and of a View
// of the fleet, so any entry can go on where another one was lost.
//
// Nothing happens without a record: Step first asks for one to be appended and
// drives a VM only once the State shows it accepted. While the log cannot be
// read the View grows old, and Step does nothing.
//
// Each step counts what is down already, adds the VM that is to go and the
// worst rack of its pool, and lets the VM go only if the pool's availability
// budget would still hold. A VM whose reboot was ordered counts as down until
// it has been seen serving with another boot id, whatever became of the answer.
package mswave
