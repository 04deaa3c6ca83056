package msoperator

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"marjoramspan/msaccount"
	"marjoramspan/msclock"
	"marjoramspan/msentry"
	"marjoramspan/msstate"
)

// State returns the state as the log has it now.
func (o *Operator) State(ctx context.Context) (*msstate.State, error) {
	_, s, err := o.read(ctx, "read the state")
	return s, err
}

// Audit returns what became of every record of the state stream that is kept.
func (o *Operator) Audit(ctx context.Context) ([]msstate.AuditRecord, error) {
	r, _, err := o.read(ctx, "audit")
	if err != nil {
		return nil, err
	}
	entries, _, err := r.Audit()
	if err != nil {
		return nil, &Error{Op: "audit", Kind: Unavailable, Err: err}
	}
	return entries, nil
}

// Account adds up what the entries have reported, with the gaps marked.
func (o *Operator) Account(ctx context.Context) (msaccount.Summary, error) {
	const op = "account"
	r, _, err := o.read(ctx, op)
	if err != nil {
		return msaccount.Summary{}, err
	}
	entries, s, err := r.Audit()
	if err != nil {
		return msaccount.Summary{}, &Error{Op: op, Kind: Unavailable, Err: err}
	}
	stream, err := msstate.Read(ctx, o.Log, o.clock(), streamAccount)
	if err != nil {
		return msaccount.Summary{}, &Error{Op: op, Kind: Unavailable, Err: err}
	}
	var reports []msaccount.Report
	for _, rec := range stream.Records {
		var rep msaccount.Report
		if err := json.Unmarshal(rec.Data, &rep); err == nil {
			reports = append(reports, rep)
		}
	}
	return msaccount.Summarize(reports, runs(entries, s), o.clock().Now()), nil
}

// runs returns when each member was in the view, from the audit trail.
func runs(entries []msstate.AuditRecord, s *msstate.State) []msaccount.ActivePeriod {
	var rs []msaccount.ActivePeriod
	for _, e := range entries {
		if !e.Outcome.Accepted {
			continue
		}
		joined := started(e)
		end(rs, e, joined)
		rs = append(rs, joined...)
	}
	for i := range rs {
		if _, ok := s.Member(rs[i].Member); ok {
			rs[i].To = time.Time{}
		}
	}
	return rs
}

func started(e msstate.AuditRecord) []msaccount.ActivePeriod {
	if e.Outcome.Change.Kind != msstate.KindMemberJoin {
		return nil
	}
	var j msstate.MemberJoin
	if err := json.Unmarshal(e.Outcome.Change.Body, &j); err != nil {
		return nil
	}
	return []msaccount.ActivePeriod{{Member: j.Member.ID, From: e.Time}}
}

// end marks the run that a record ends. A member that has joined by it ends the
// earlier run of its name.
func end(rs []msaccount.ActivePeriod, e msstate.AuditRecord, joined []msaccount.ActivePeriod) {
	switch e.Outcome.Change.Kind {
	case msstate.KindMemberLeave, msstate.KindMemberExclude:
		var m msstate.MemberEnd
		if err := json.Unmarshal(e.Outcome.Change.Body, &m); err != nil {
			return
		}
		for i := range rs {
			if rs[i].Member == m.ID {
				rs[i].To = e.Time
			}
		}
	case msstate.KindMemberJoin:
		for _, j := range joined {
			endNamed(rs, nameOf(j.Member), e.Time)
		}
	}
}

func endNamed(rs []msaccount.ActivePeriod, name string, at time.Time) {
	for i := range rs {
		if rs[i].To.IsZero() && nameOf(rs[i].Member) == name {
			rs[i].To = at
		}
	}
}

// nameOf returns the entry's name in a member's id, which ends in a dash and
// eight characters of its own.
func nameOf(member string) string {
	const own = 9
	if len(member) < own {
		return member
	}
	return member[:len(member)-own]
}

// EntryStatus is what one entry says of itself, or why it does not.
type EntryStatus struct {
	Member msstate.Member  `json:"member"`
	Status *msentry.Status `json:"status,omitempty"`
	Error  string          `json:"error,omitempty"`
}

// Entries asks every member of the view for its status.
func (o *Operator) Entries(ctx context.Context) ([]EntryStatus, error) {
	s, err := o.State(ctx)
	if err != nil {
		return nil, err
	}
	var all []EntryStatus
	for _, m := range s.Members {
		es := EntryStatus{Member: m}
		st, err := o.ask(ctx, m.Admin)
		if err != nil {
			es.Error = err.Error()
		} else {
			es.Status = &st
		}
		all = append(all, es)
	}
	return all, nil
}

func (o *Operator) ask(ctx context.Context, address string) (msentry.Status, error) {
	c := o.HTTP
	if c == nil {
		c = &http.Client{Timeout: askTimeout}
	}
	var st msentry.Status
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+msentry.PathStatus, nil)
	if err != nil {
		return st, err
	}
	res, err := c.Do(req)
	if err != nil {
		return st, err
	}
	defer func() { _ = res.Body.Close() }()
	err = json.NewDecoder(res.Body).Decode(&st)
	return st, err
}

// InForce is how far a version has come.
type InForce struct {
	Version uint64 `json:"version"`
	// Entries is how many members there are, Have how many act on the version.
	Entries int `json:"entries"`
	Have    int `json:"have"`
	// Behind names the members that don't act on it, or can't be asked.
	Behind []string `json:"behind,omitempty"`
}

// inForcePoll is the pause between two rounds of questions.
const inForcePoll = 200 * time.Millisecond

// WaitInForce asks the entries until all act on version, or until ctx is done.
func (o *Operator) WaitInForce(ctx context.Context, version uint64) (InForce, error) {
	last := InForce{Version: version}
	for {
		all, err := o.Entries(ctx)
		if err == nil {
			last = inForce(version, all)
		}
		if err == nil && last.Have == last.Entries {
			return last, nil
		}
		if err := msclock.Sleep(ctx, o.clock(), inForcePoll); err != nil {
			return last, &Error{Op: "wait until in force", Kind: Undecided, Err: err}
		}
	}
}

func inForce(version uint64, all []EntryStatus) InForce {
	f := InForce{Version: version, Entries: len(all)}
	for _, es := range all {
		if es.Status != nil && es.Status.Next >= version {
			f.Have++
			continue
		}
		f.Behind = append(f.Behind, es.Member.ID)
	}
	return f
}
