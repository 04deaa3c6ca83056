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

// Accepted is the result of a change that was accepted into the replicated state.
type Accepted struct {
	Version uint64          `json:"version"`
	Changes []msrule.Change `json:"changes,omitempty"`
}

// IssuedKey is an issued API key. The secret is returned only here: the state stores its
// digest alone.
type IssuedKey struct {
	Version uint64 `json:"version"`
	ID      string `json:"id"`
	Team    string `json:"team"`
	Secret  string `json:"secret"`
}

// Publish replaces version base of the rules by rules. If base is 0, it replaces the
// current version.
func (o *Operator) Publish(ctx context.Context, rules msrule.Set, base uint64) (Accepted, error) {
	const op = "rules publish"
	if err := msrule.Check(rules); err != nil {
		return Accepted{}, &Error{Op: op, Kind: Invalid, Err: err}
	}
	_, s, err := o.readState(ctx, op)
	if err != nil {
		return Accepted{}, err
	}
	if base == 0 {
		base = s.RulesVersion
	}
	c := msstate.NewChange(msstate.KindRulesPublish, o.By, base, msstate.RulesPublish{Rules: rules})
	v, err := o.appendChange(ctx, op, s.Next, c)
	if err != nil {
		return Accepted{}, err
	}
	return Accepted{Version: v, Changes: msrule.Diff(s.Rules, rules)}, nil
}

// GiveKey issues a new API key for a team.
func (o *Operator) GiveKey(ctx context.Context, id, team, askedBy string) (IssuedKey, error) {
	const op = "keys give"
	secret, digest, err := msrule.NewSecret(rand.Reader)
	if err != nil {
		return IssuedKey{}, &Error{Op: op, Kind: Invalid, Err: err}
	}
	_, s, err := o.readState(ctx, op)
	if err != nil {
		return IssuedKey{}, err
	}
	k := msrule.Key{ID: id, Team: team, Digest: digest, Origin: msrule.Origin{AskedBy: askedBy}}
	c := msstate.NewChange(msstate.KindKeyGive, o.By, s.RulesVersion, msstate.KeyGive{Key: k})
	v, err := o.appendChange(ctx, op, s.Next, c)
	if err != nil {
		return IssuedKey{}, err
	}
	return IssuedKey{Version: v, ID: id, Team: team, Secret: secret}, nil
}

// WithdrawKey revokes a key permanently.
func (o *Operator) WithdrawKey(ctx context.Context, id string) (Accepted, error) {
	const op = "keys withdraw"
	_, s, err := o.readState(ctx, op)
	if err != nil {
		return Accepted{}, err
	}
	c := msstate.NewChange(msstate.KindKeyWithdraw, o.By, s.RulesVersion, msstate.KeyWithdraw{ID: id})
	v, err := o.appendChange(ctx, op, s.Next, c)
	return Accepted{Version: v}, err
}

// appendChange appends a change exactly once, reads it back and returns its version if
// the replayed state accepts it. from is an end of the stream that was read before.
func (o *Operator) appendChange(ctx context.Context, op string, from uint64, c msstate.Change) (uint64, error) {
	a := mslog.Appender{Client: o.Log, Clock: o.clock(), Jitter: o.Jitter}
	r, err := a.AppendOnce(ctx, streamState, from, mslog.Record{ID: uuid.NewString(), Data: c.Encode()})
	if err != nil {
		return 0, &Error{Op: op, Kind: appendErrorKind(err), Err: err}
	}
	history, _, err := o.readState(ctx, op)
	if err != nil {
		return 0, &Error{Op: op, Kind: OutcomeUnknown, Err: err}
	}
	records, _, err := history.Audit()
	if err != nil {
		return 0, &Error{Op: op, Kind: OutcomeUnknown, Err: err}
	}
	for _, e := range records {
		if e.Outcome.Version != r.Offset+1 {
			continue
		}
		if !e.Outcome.Accepted {
			return 0, &Error{Op: op, Kind: Rejected, Reason: e.Outcome.Reason + conflictDetail(records, c)}
		}
		return e.Outcome.Version, nil
	}
	return 0, &Error{Op: op, Kind: OutcomeUnknown, Reason: "the record is no longer retained in the log"}
}

// conflictDetail names the author of the change that was accepted on the same base as c
// and so made the base of c stale. It returns "" if there is none.
func conflictDetail(records []msstate.AuditRecord, c msstate.Change) string {
	for _, e := range records {
		sameKind := e.Outcome.Change.Kind == c.Kind
		if e.Outcome.Accepted && sameKind && e.Outcome.Version > c.Base && e.Outcome.Change.Base == c.Base {
			return "; " + e.Outcome.Change.By + " was first"
		}
	}
	return ""
}

// appendErrorKind returns OutcomeUnknown if the log may have stored the record.
func appendErrorKind(err error) Kind {
	var logErr *mslog.Error
	if errors.As(err, &logErr) && logErr.Kind == mslog.Unknown {
		return OutcomeUnknown
	}
	return Unavailable
}
