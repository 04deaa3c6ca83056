// Package mspool decides which VM belongs to which pool, and how far each pool
// is from breaking its availability budget.
//
// Ownership is the fold of the records that move VMs: out of the old pool by a
// record, drained, then into the new pool by a record. Every record names the
// offset of the VM's last change, so a stale one is void for each reader alike,
// and neither a lost answer nor a second operator can put a VM into two pools.
//
// Health and Plan are pure functions over a Table. The caller fills the table
// from the ownership and the list of live VMs, turns each Decision into a
// record, and drives the VMs once the record is accepted. A decision carries
// the offset that it was made on, so that one that has been overtaken does
// nothing.
package mspool
