package msoperator

import (
	"context"
	"crypto/rand"
	"errors"

	"github.com/google/uuid"

	"marjoramspan/mslog"
	"marjoramspan/msrule"
	"marjoramspan/msstate"
)

// Accepted is a change that is in the state for good.
type Accepted struct {
	Version uint64          `json:"version"`
	Changes []msrule.Change `json:"changes,omitempty"`
}

// NewKey is a key that was given. The secret is shown this once and kept nowhere.
type NewKey struct {
	Version uint64 `json:"version"`
	ID      string `json:"id"`
	Team    string `json:"team"`
	Secret  string `json:"secret"`
}

// Publish puts rules in force in place of those of version base. Base zero
// takes the present version.
func (o *Operator) Publish(ctx context.Context, rules msrule.Set, base uint64) (Accepted, error) {
	const op = "rules publish"
	if err := msrule.Check(rules); err != nil {
		return Accepted{}, &Error{Op: op, Kind: Invalid, Err: err}
	}
	_, s, err := o.read(ctx, op)
	if err != nil {
		return Accepted{}, err
	}
	if base == 0 {
		base = s.RulesVersion
	}
	c := msstate.NewChange(msstate.KindRulesPublish, o.By, base, msstate.RulesPublish{Rules: rules})
	v, err := o.change(ctx, op, s.Next, c)
	if err != nil {
		return Accepted{}, err
	}
	return Accepted{Version: v, Changes: msrule.Diff(s.Rules, rules)}, nil
}

// GiveKey makes a new key for a team.
func (o *Operator) GiveKey(ctx context.Context, id, team, askedBy string) (NewKey, error) {
	const op = "keys give"
	secret, digest, err := msrule.NewSecret(rand.Reader)
	if err != nil {
		return NewKey{}, &Error{Op: op, Kind: Invalid, Err: err}
	}
	_, s, err := o.read(ctx, op)
	if err != nil {
		return NewKey{}, err
	}
	k := msrule.Key{ID: id, Team: team, Digest: digest, Origin: msrule.Origin{AskedBy: askedBy}}
	c := msstate.NewChange(msstate.KindKeyGive, o.By, s.RulesVersion, msstate.KeyGive{Key: k})
	v, err := o.change(ctx, op, s.Next, c)
	if err != nil {
		return NewKey{}, err
	}
	return NewKey{Version: v, ID: id, Team: team, Secret: secret}, nil
}

// WithdrawKey ends a key for good.
func (o *Operator) WithdrawKey(ctx context.Context, id string) (Accepted, error) {
	const op = "keys withdraw"
	_, s, err := o.read(ctx, op)
	if err != nil {
		return Accepted{}, err
	}
	c := msstate.NewChange(msstate.KindKeyWithdraw, o.By, s.RulesVersion, msstate.KeyWithdraw{ID: id})
	v, err := o.change(ctx, op, s.Next, c)
	return Accepted{Version: v}, err
}

// change appends a change once, reads it back and returns its version where
// the fold accepts it. from is the end of the stream as the operator knew it.
func (o *Operator) change(ctx context.Context, op string, from uint64, c msstate.Change) (uint64, error) {
	a := mslog.Appender{Client: o.Log, Clock: o.clock(), Jitter: o.Jitter}
	r, err := a.AppendOnce(ctx, streamState, from, mslog.Record{ID: uuid.NewString(), Data: c.Encode()})
	if err != nil {
		return 0, &Error{Op: op, Kind: kindOf(err), Err: err}
	}
	reading, _, err := o.read(ctx, op)
	if err != nil {
		return 0, &Error{Op: op, Kind: Undecided, Err: err}
	}
	entries, _, err := reading.Audit()
	if err != nil {
		return 0, &Error{Op: op, Kind: Undecided, Err: err}
	}
	for _, e := range entries {
		if e.Outcome.Version != r.Offset+1 {
			continue
		}
		if !e.Outcome.Accepted {
			return 0, &Error{Op: op, Kind: Rejected, Reason: e.Outcome.Reason + lostTo(entries, c)}
		}
		return e.Outcome.Version, nil
	}
	return 0, &Error{Op: op, Kind: Undecided, Reason: "the record has expired"}
}

// lostTo names the change that went before one with a stale base.
func lostTo(entries []msstate.AuditRecord, c msstate.Change) string {
	for _, e := range entries {
		same := e.Outcome.Change.Kind == c.Kind
		if e.Outcome.Accepted && same && e.Outcome.Version > c.Base && e.Outcome.Change.Base == c.Base {
			return "; " + e.Outcome.Change.By + " was first"
		}
	}
	return ""
}

func kindOf(err error) Kind {
	var le *mslog.Error
	if errors.As(err, &le) && le.Kind == mslog.Unknown {
		return Undecided
	}
	return Unavailable
}
