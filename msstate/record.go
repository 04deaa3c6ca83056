package msstate

import (
	"encoding/json"

	"marjoramspan/msrule"
)

// Kind is the type of a change.
type Kind string

// Kinds of changes on the state stream, besides those of mspool and mswave.
const (
	KindRulesPublish  Kind = "rules-publish"
	KindKeyGive       Kind = "key-give"
	KindKeyWithdraw   Kind = "key-withdraw"
	KindMemberJoin    Kind = "member-join"
	KindMemberLeave   Kind = "member-leave"
	KindMemberExclude Kind = "member-exclude"
	KindMemberSettle  Kind = "member-settle" // the lease and requests of a lost member have ended
	KindMemberVouch   Kind = "member-vouch"  // no claim of a lost member is missing on the log
	KindSnapshot      Kind = "snapshot"
)

// Change is the data of one record on the state stream.
type Change struct {
	Kind Kind `json:"kind"`
	// By is the name of the operator or entry that made the change.
	By string `json:"by"`
	// Base is the version that the change was decided on.
	Base uint64          `json:"base"`
	Body json.RawMessage `json:"body,omitempty"`
}

// RulesPublish replaces all rules.
type RulesPublish struct {
	Rules msrule.Set `json:"rules"`
}

// KeyGive adds one key.
type KeyGive struct {
	Key msrule.Key `json:"key"`
}

// KeyWithdraw removes one key permanently.
type KeyWithdraw struct {
	ID string `json:"id"`
}

// MemberJoin adds an entry to the view. A member of the same name that is still
// in the view becomes lost, as its process must have ended.
type MemberJoin struct {
	Member Member `json:"member"`
}

// MemberEnd is the body of the changes that name a member to remove from the view,
// from State.Lost or from State.Unsure.
type MemberEnd struct {
	ID string `json:"id"`
}

// Snapshot is the body of a snapshot record: the whole state.
type Snapshot struct {
	// State is the state through a record before the snapshot's own.
	State State `json:"state"`
	// Checksum is the xxhash of the state's JSON, in hexadecimal.
	Checksum string `json:"checksum"`
}

// NewChange returns a change with the JSON encoding of body. It panics if body
// cannot be encoded; all bodies of this package can.
func NewChange(kind Kind, by string, base uint64, body any) Change {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return Change{Kind: kind, By: by, Base: base, Body: data}
}

// Encode returns the change as the data of a log record.
func (c Change) Encode() json.RawMessage {
	data, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	return data
}
