package msscheduler

import (
	"context"
	"encoding/json"
	"sort"
	"time"

	"go.uber.org/zap"

	"marjoramspan/msjournal"
)

// vmOrders knows which VMs may have been ordered so recently that two holders would order
// them within the minimum interval. It answers the load of a burst during a change of
// leader: only these VMs have to wait, and all others can move at once.
//
// A leader stores the VMs that it is about to order before it sends the orders. Its
// successor therefore finds every VM that may have an order on the log. The zero value
// knows of no orders.
type vmOrders struct {
	// heldUntil has the VMs that earlier leaders may have ordered, and until when this one
	// must not. Until allHeldUntil that applies to every VM.
	heldUntil    map[string]time.Time
	allHeldUntil time.Time
	// openUntil has the VMs that this leader may have ordered, and until when a successor
	// has to know of them.
	openUntil map[string]time.Time
	// openMaintenance has the VMs whose maintenance this leader or an earlier one may have
	// ordered without an answer, so that it may still begin.
	openMaintenance map[string]maintenanceOrder
	// stored is the record on the log.
	stored vmOrderRecord
}

// maintenanceOrder is an order that may still be carried out.
type maintenanceOrder struct {
	// until is when it no longer will be.
	until time.Time
	// unanswered is set if a call was made that got no answer.
	unanswered bool
}

// lateOrderTime is how long after a call without an answer the VM service may carry it out.
const lateOrderTime = 15 * time.Second

// beginMaintenance counts the maintenance of VMs as ordered.
func (o *vmOrders) beginMaintenance(vms []string, now time.Time) {
	for _, vm := range vms {
		o.setMaintenance(vm, maintenanceOrder{until: now.Add(lateOrderTime), unanswered: o.openMaintenance[vm].unanswered})
	}
}

func (o *vmOrders) setMaintenance(vm string, m maintenanceOrder) {
	if o.openMaintenance == nil {
		o.openMaintenance = map[string]maintenanceOrder{}
	}
	o.openMaintenance[vm] = m
}

// endMaintenance takes the answer to an order into account: a VM whose maintenance is done has
// seen the fencing token of this leader, and an order that was refused won't be carried out,
// unless an earlier call got no answer.
func (o *vmOrders) endMaintenance(vm string, done bool) {
	if done || !o.openMaintenance[vm].unanswered {
		delete(o.openMaintenance, vm)
	}
}

// loseMaintenance notes that an order got no answer.
func (o *vmOrders) loseMaintenance(vm string, now time.Time) {
	o.setMaintenance(vm, maintenanceOrder{until: now.Add(lateOrderTime), unanswered: true})
}

// mayBeMaintained reports whether the maintenance of a VM may begin by an order of before.
func (o *vmOrders) mayBeMaintained(vm string, now time.Time) bool {
	m, ok := o.openMaintenance[vm]
	return ok && now.Before(m.until)
}

// vmOrderRecord has the VMs that may have been ordered recently, by the leader that
// stores it or by an earlier one.
type vmOrderRecord struct {
	VMs []string `json:"vms,omitempty"`
	// Maintenance has the VMs whose maintenance may have been ordered without an answer.
	// Versions that don't store it leave it out.
	Maintenance []string `json:"maintenance,omitempty"`
	// All means every VM: an earlier leader did not store its orders.
	All bool `json:"all,omitempty"`
}

// vmOrdersKey is the only key of the stream of VM orders.
const vmOrdersKey = "vm-orders"

// parseVMOrders decodes the value of a record. An empty value has no orders.
func parseVMOrders(value []byte) (vmOrderRecord, error) {
	var r vmOrderRecord
	if len(value) == 0 {
		return r, nil
	}
	err := json.Unmarshal(value, &r)
	return r, err
}

// inherit holds the VMs of the record that earlier leaders have left until the given time, and
// counts their maintenance as ordered at now.
func (o *vmOrders) inherit(r vmOrderRecord, now, until time.Time) {
	o.stored = r
	for _, vm := range r.Maintenance {
		o.loseMaintenance(vm, now)
	}
	if r.All {
		o.allHeldUntil = until
	}
	o.heldUntil = make(map[string]time.Time, len(r.VMs))
	for _, vm := range r.VMs {
		o.heldUntil[vm] = until
	}
}

// mayOrder reports whether no earlier leader can have ordered the VM within the minimum
// interval.
func (o *vmOrders) mayOrder(vm string, now time.Time) bool {
	return !now.Before(o.allHeldUntil) && !now.Before(o.heldUntil[vm])
}

// open counts the VMs as ordered until the given time.
func (o *vmOrders) open(vms []string, until time.Time) {
	if o.openUntil == nil {
		o.openUntil = map[string]time.Time{}
	}
	for _, vm := range vms {
		o.openUntil[vm] = until
	}
}

// settle counts an order that was answered until the given time.
func (o *vmOrders) settle(vm string, until time.Time) {
	if _, ok := o.openUntil[vm]; ok {
		o.openUntil[vm] = until
	}
}

// record returns what a successor has to know now, and forgets the orders that it need
// not know any more.
func (o *vmOrders) record(now time.Time) vmOrderRecord {
	r := vmOrderRecord{All: now.Before(o.allHeldUntil)}
	for vm, until := range o.heldUntil {
		if !now.Before(until) {
			delete(o.heldUntil, vm)
		} else if _, ok := o.openUntil[vm]; !ok {
			r.VMs = append(r.VMs, vm)
		}
	}
	for vm, until := range o.openUntil {
		if !now.Before(until) {
			delete(o.openUntil, vm)
		} else {
			r.VMs = append(r.VMs, vm)
		}
	}
	for vm, m := range o.openMaintenance {
		if !now.Before(m.until) {
			delete(o.openMaintenance, vm)
		} else {
			r.Maintenance = append(r.Maintenance, vm)
		}
	}
	sort.Strings(r.VMs)
	sort.Strings(r.Maintenance)
	return r
}

// covers reports whether a record names every VM of other.
func (r vmOrderRecord) covers(other vmOrderRecord) bool {
	switch {
	case !includes(r.Maintenance, other.Maintenance):
		return false
	case r.All:
		return true
	case other.All:
		return false
	}
	return includes(r.VMs, other.VMs)
}

// includes reports whether all has each of the names.
func includes(all, names []string) bool {
	has := make(map[string]bool, len(all))
	for _, name := range all {
		has[name] = true
	}
	for _, name := range names {
		if !has[name] {
			return false
		}
	}
	return true
}

// takeOverVMOrders fences earlier leaders off the stream of VM orders, and holds the VMs
// that they may have ordered recently.
func (e *Engine) takeOverVMOrders(ctx context.Context) error {
	if err := e.store(ctx, &e.vmOrderLog, nil); err != nil {
		return err
	}
	var rec vmOrderRecord
	f := &msjournal.Follower{
		Log: e.Log, Clock: e.Clock, Logger: e.Logger, Stream: e.VMOrderStream,
		Reset: func() { rec = vmOrderRecord{} },
		Apply: func(r msjournal.Record, offset int64) {
			var err error
			if rec, err = parseVMOrders(r.Value); err != nil {
				// The record may have named any VM.
				rec = vmOrderRecord{All: true}
				e.Logger.Warn("record left aside", zap.String("stream", e.VMOrderStream), zap.Int64("offset", offset), zap.Error(err))
			}
		},
	}
	if err := e.sync(ctx, f); err != nil {
		return err
	}
	unrecorded := !e.Term.VMOrdersStored && !rec.All
	rec.All = rec.All || unrecorded
	until := e.startedAt.Add(e.Settings.MinHolderInterval)
	e.mu.Lock()
	e.vmOrders.inherit(rec, e.Clock.Now(), until)
	e.mu.Unlock()
	if unrecorded {
		// The next term may begin before the interval is over, and its record of the term
		// before will say that VM orders are stored.
		if err := e.appendVMOrders(ctx, rec); err != nil {
			return err
		}
	}
	e.Logger.Info("VM orders taken over", zap.Int64("epoch", e.Term.Epoch), zap.Int("held-vms", len(rec.VMs)), zap.Bool("all-held", rec.All))
	return nil
}

// vmOrderStoreTimeout bounds the wait until VM orders are stored. Orders that can't be
// stored in this time are decided anew.
const vmOrderStoreTimeout = time.Second

// storeVMOrders stores that VMs are about to be ordered, and reports whether it is stored.
func (e *Engine) storeVMOrders(ctx context.Context, vms []string, maintenance bool) bool {
	if len(vms) == 0 {
		return true
	}
	e.mu.Lock()
	now := e.Clock.Now()
	e.vmOrders.open(vms, now.Add(vmOrderStoreTimeout+vmTimeout+e.Settings.MinHolderInterval))
	if maintenance {
		e.vmOrders.beginMaintenance(vms, now)
	}
	rec, stored := e.vmOrders.record(now), e.vmOrders.stored
	e.mu.Unlock()
	if stored.covers(rec) {
		return true
	}
	sctx, cancel := context.WithTimeout(ctx, vmOrderStoreTimeout)
	defer cancel()
	return e.appendVMOrders(sctx, rec) == nil
}

// pruneVMOrders stores that no VM is ordered any more, once that is so.
func (e *Engine) pruneVMOrders(ctx context.Context) {
	e.mu.Lock()
	rec, stored := e.vmOrders.record(e.Clock.Now()), e.vmOrders.stored
	e.mu.Unlock()
	if rec.covers(stored) || len(rec.VMs) > 0 || len(rec.Maintenance) > 0 || rec.All {
		return
	}
	sctx, cancel := context.WithTimeout(ctx, vmOrderStoreTimeout)
	defer cancel()
	_ = e.appendVMOrders(sctx, rec) // The next poll tries again.
}

// appendVMOrders appends rec.
func (e *Engine) appendVMOrders(ctx context.Context, rec vmOrderRecord) error {
	value, err := json.Marshal(rec)
	if err != nil {
		e.Logger.Error("failed to encode record", zap.Error(err))
		return err
	}
	err = e.storeInTurn(ctx, &e.vmOrderLog, []msjournal.Record{{Key: vmOrdersKey, Value: value}})
	switch {
	case msjournal.KindOf(err) == msjournal.Invalid && !rec.All:
		// The list of VMs is too large for a record.
		return e.appendVMOrders(ctx, vmOrderRecord{All: true})
	case err != nil:
		if ctx.Err() == nil {
			e.endTerm(err)
		}
		return err
	}
	e.mu.Lock()
	e.vmOrders.stored = rec
	e.mu.Unlock()
	return nil
}
