package msstate

import (
	"encoding/json"

	"marjoramspan/msrule"
)

// Kind says what a record changes.
type Kind string

// The kinds of record on the state stream.
const (
	KindRulesPublish  Kind = "rules-publish"
	KindKeyGive       Kind = "key-give"
	KindKeyWithdraw   Kind = "key-withdraw"
	KindMemberJoin    Kind = "member-join"
	KindMemberLeave   Kind = "member-leave"
	KindMemberExclude Kind = "member-exclude"
	KindMemberSettle  Kind = "member-settle"
	KindMemberVouch   Kind = "member-vouch"
	KindSnapshot      Kind = "snapshot"
)

// Change is the data of one record on the state stream.
type Change struct {
	Kind Kind `json:"kind"`
	// By names who asked: an operator, or the entry that decided.
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

// KeyWithdraw ends one key for good.
type KeyWithdraw struct {
	ID string `json:"id"`
}

// MemberJoin adds an entry to the view. A member of the same name that is
// still in the view is lost by it: its process has ended.
type MemberJoin struct {
	Member Member `json:"member"`
}

// MemberEnd is the body of the records that take an entry out of the view.
type MemberEnd struct {
	ID string `json:"id"`
}

// Snapshot is the whole state before its own record.
type Snapshot struct {
	// State is the state through the record before.
	State State `json:"state"`
	// Checksum is the xxhash of the state's JSON, in hexadecimal.
	Checksum string `json:"checksum"`
}

// NewChange returns a change with body as its JSON. It panics where body can't
// be written as JSON, which no body of this package does.
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
