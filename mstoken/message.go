package mstoken

import "time"

// Generation numbers the rounds of a resource's count. A message whose generation differs
// from the receiver's has no effect.
type Generation struct {
	Epoch   uint64 // epoch of the view
	Version uint64 // version of the record that set the total
}

// View is the member set at an epoch, as applied by one entry.
type View struct {
	Epoch   uint64
	Members []string // ids of member incarnations, in any order
	Lost    []Lost   // excluded members that may still run work
}

// Lost is a member that was excluded without having left.
type Lost struct {
	Member string
	Since  time.Time // when this entry saw the exclusion
}

// Batch holds the items that one member sends to another in one message.
type Batch struct {
	To    string
	Items []Item
}

// Item is the part of an exchange that concerns one resource. A holder sends it to the
// home. With Call set, the home sends it to a holder to request an exchange.
type Item struct {
	Resource       string
	Gen            Generation
	Seq            uint64 // the holder's sequence number; a call carries the last one that the home has seen
	Held           int    // tokens that the holder keeps
	Want           int    // further tokens that the holder would use now
	Entitlement    int    // the holder's entitlement, including the tokens it holds
	HasEntitlement bool   // Due is set
	Ceiling        int    // upper bound of the tokens that may exist, as known to the holder
	Call           bool   // the home requests an exchange; no Grant answers it
	Recall         int    // tokens that the home recalls by a call
}

// Grant is the home's answer to one Item that is not a call. It grants tokens, recalls
// them, or refuses the item.
type Grant struct {
	Resource  string
	Gen       Generation // copied from the item
	Seq       uint64     // copied from the item
	Granted   int        // number of tokens granted
	Refused   bool       // the receiver was not the home in that generation, or the item was out of date
	Recall    int        // tokens that the home recalls
	Contended bool       // some member has unmet demand
	Settled   bool       // no more tokens than the total are outstanding
	Ceiling   int        // upper bound of the tokens that may exist; zero if the home does not know it
}

// Counts is the state of one resource at one entry.
type Counts struct {
	Total       int  // limit of the resource, as applied by this entry
	Held        int  // Running plus Idle
	Running     int  // started work that has not ended
	Idle        int  // tokens with which work can start without asking the home
	Free        int  // tokens at a ready home that no member holds; zero elsewhere
	Unknown     int  // tokens that lost members may hold; zero except at a ready home
	Want        int  // demand last set by Ledger.SetDemand, less the tokens granted since
	Entitlement int  // entitlement last set by Ledger.SetEntitlement, or -1
	Home        bool // this entry is the home of the resource
	Ready       bool // this home has received an exchange from every member in this generation
}
