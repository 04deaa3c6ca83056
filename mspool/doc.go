// Package mspool assigns VMs to pools and computes how much of each pool's
// availability budget is left.
//
// Ownership is the state folded from the log records that move VMs. One record
// moves a VM out of its old pool, another states that it is drained, and a third
// moves it into the new pool. Every record names the offset of the VM's last
// change. All readers therefore reject the same stale records, and neither a lost
// answer nor a concurrent operator can put a VM into two pools.
//
// Health and Plan are pure functions of a Table. The caller builds the table from
// the ownership and the list of live VMs, writes each Decision as a record, and
// acts on the VMs once the record is accepted. A decision carries the offset that
// it is based on, so an outdated decision has no effect.
package mspool
