package msleader

import "time"

// This file decides when a leader on a VM with little processor time makes room for another.
// It is for the load after all larger VMs were cut off from the log at once: a small one
// leads then, and needs more than its core share as soon as a burst comes.

const (
	// LeadMilliCores is what scheduling takes in a burst of 350 workers, in thousandths of a
	// core (docs/design/17-pass-cost.md), with room for the entry's own callers.
	LeadMilliCores = 400
	// OfferInterval is the time between two offers of an entry to lead, which only entries
	// with LeadMilliCores make, while one with less leads.
	OfferInterval = 10 * time.Second
	// maxOfferAge is how old an offer may be. The entry that made it may have ended since;
	// then the term is free for half a second. An offer further in the future is by a clock
	// that is wrong, and would hold for as long.
	maxOfferAge = OfferInterval + 5*time.Second
	// minTermLength and resignInterval bound how often the term changes hands: a new leader
	// sends no VM orders for the VMs of its predecessor for seconds.
	minTermLength  = 10 * time.Second
	resignInterval = 2 * time.Minute
)

// Offers reports whether an entry should offer to lead: own and holder are the processor
// limits of its VM and of the leader's, in thousandths of a core, or 0 if unknown.
func Offers(own, holder int64, sinceOffer time.Duration) bool {
	return own >= LeadMilliCores && holder > 0 && holder < LeadMilliCores && sinceOffer >= OfferInterval
}

// Standing is what a leader knows of itself and of the entries that offer to lead.
type Standing struct {
	// MilliCores is the processor limit of the leader's VM, or 0 if unknown.
	MilliCores int64
	// Offered is the largest limit of the entries that have offered to lead in this term,
	// and OfferAge the age of that offer.
	Offered  int64
	OfferAge time.Duration
	// LedFor is the age of the term, SinceResigned the time since the process last resigned.
	LedFor, SinceResigned time.Duration
	// Calm says that nothing waits for the leader.
	Calm bool
}

// Resigns reports whether the leader should resign now.
func (s Standing) Resigns() bool {
	return s.Calm && s.MilliCores > 0 && s.MilliCores < LeadMilliCores && s.Offered >= LeadMilliCores &&
		s.OfferAge < maxOfferAge && s.OfferAge > -maxOfferAge && s.LedFor >= minTermLength && s.SinceResigned >= resignInterval
}
