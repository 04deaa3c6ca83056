package mstoken

import "time"

// Generation orders the rounds of a resource's count. A message of another
// generation than the receiver's own has no effect.
type Generation struct {
	Epoch   uint64 // Epoch is that of the view.
	Version uint64 // Version is that of the record which set the total.
}

// View is the set of members at an epoch, as one entry has folded it.
type View struct {
	Epoch   uint64
	Members []string // Members holds the ids of member incarnations, in any order.
	Lost    []Lost   // Lost holds the excluded members that may still run work.
}

// Lost is a member that was excluded without leaving.
type Lost struct {
	Member string
	Since  time.Time // Since is when this entry saw the exclusion.
}

// Batch is what one member has to send to another now.
type Batch struct {
	To    string
	Items []Item
}

// Item is one resource's part of an exchange. A holder sends it to the home; with
// Call set, the home sends it to a holder to have it exchange soon.
type Item struct {
	Resource string
	Gen      Generation
	Seq      uint64 // Seq is the holder's number; a call repeats the last one the home has seen.
	Held     int    // Held is the number of tokens the holder keeps.
	Want     int    // Want is the number of further tokens the holder would use now.
	Due      int    // Due is the number of tokens the holder is due in all.
	HasDue   bool   // HasDue says that Due is set.
	Ceiling  int    // Ceiling is the most tokens that may exist, as the holder knows it.
	Call     bool   // Call marks a request from the home; it is answered by no Gift.
	Recall   int    // Recall is the number of tokens that the home asks back by a call.
}

// Gift is the home's answer to one Item that is not a call.
type Gift struct {
	Resource string
	Gen      Generation // Gen repeats the item's.
	Seq      uint64     // Seq repeats the item's.
	N        int        // N is the number of tokens given.
	Refused  bool       // Refused says that the receiver was not the home in that generation.
	Recall   int        // Recall is the number of tokens that the home asks back.
	Tight    bool       // Tight says that some member wants more than it has.
	Settled  bool       // Settled says that no more than the total are outstanding.
	Ceiling  int        // Ceiling is the most tokens that may exist; zero if the home can't tell.
}

// Counts is the state of one resource at one entry.
type Counts struct {
	Total   int  // Total is the resource's limit, as folded here.
	Held    int  // Held is Running plus Idle.
	Running int  // Running counts started work that has not ended.
	Idle    int  // Idle counts tokens held for a start without asking.
	Free    int  // Free counts tokens at the home that nobody holds; zero elsewhere.
	Unknown int  // Unknown counts tokens that lost members may hold; zero elsewhere than at a ready home.
	Want    int  // Want is the demand last told by Ledger.Want, less what was given since.
	Due     int  // Due is what was last told by Ledger.Due, or -1.
	Home    bool // Home says that this entry is the resource's home.
	Ready   bool // Ready says that this home has heard every member in this generation.
}
