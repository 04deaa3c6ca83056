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

// State reads the log and returns the current state.
func (o *Operator) State(ctx context.Context) (*msstate.State, error) {
	_, s, err := o.readState(ctx, "read the state")
	return s, err
}

// Audit returns the outcome of every retained record of the state stream.
func (o *Operator) Audit(ctx context.Context) ([]msstate.AuditRecord, error) {
	r, _, err := o.readState(ctx, "audit")
	if err != nil {
		return nil, err
	}
	records, _, err := r.Audit()
	if err != nil {
		return nil, &Error{Op: "audit", Kind: Unavailable, Err: err}
	}
	return records, nil
}

// Account sums up the entries' usage reports and marks the gaps between them. It skips
// reports that can't be decoded.
func (o *Operator) Account(ctx context.Context) (msaccount.Summary, error) {
	const op = "account"
	r, _, err := o.readState(ctx, op)
	if err != nil {
		return msaccount.Summary{}, err
	}
	records, s, err := r.Audit()
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
	return msaccount.Summarize(reports, activePeriods(records, s), o.clock().Now()), nil
}

// activePeriods returns the periods in which each member was in the view, from the
// audit log. The period of a current member has no end.
func activePeriods(records []msstate.AuditRecord, s *msstate.State) []msaccount.ActivePeriod {
	var periods []msaccount.ActivePeriod
	for _, e := range records {
		if !e.Outcome.Accepted {
			continue
		}
		joined := joinedPeriods(e)
		endPeriods(periods, e, joined)
		periods = append(periods, joined...)
	}
	for i := range periods {
		if _, ok := s.Member(periods[i].Member); ok {
			periods[i].To = time.Time{}
		}
	}
	return periods
}

func joinedPeriods(e msstate.AuditRecord) []msaccount.ActivePeriod {
	if e.Outcome.Change.Kind != msstate.KindMemberJoin {
		return nil
	}
	var j msstate.MemberJoin
	if err := json.Unmarshal(e.Outcome.Change.Body, &j); err != nil {
		return nil
	}
	return []msaccount.ActivePeriod{{Member: j.Member.ID, From: e.Time}}
}

// endPeriods sets the end of the periods that e ends: those of a member that left or was
// excluded, or the open periods of the same entry's earlier member if e is a join.
func endPeriods(periods []msaccount.ActivePeriod, e msstate.AuditRecord, joined []msaccount.ActivePeriod) {
	switch e.Outcome.Change.Kind {
	case msstate.KindMemberLeave, msstate.KindMemberExclude:
		var m msstate.MemberEnd
		if err := json.Unmarshal(e.Outcome.Change.Body, &m); err != nil {
			return
		}
		for i := range periods {
			if periods[i].Member == m.ID {
				periods[i].To = e.Time
			}
		}
	case msstate.KindMemberJoin:
		for _, j := range joined {
			endPeriodsOfEntry(periods, entryName(j.Member), e.Time)
		}
	}
}

func endPeriodsOfEntry(periods []msaccount.ActivePeriod, name string, at time.Time) {
	for i := range periods {
		if periods[i].To.IsZero() && entryName(periods[i].Member) == name {
			periods[i].To = at
		}
	}
}

// entryName returns the entry's name from a member ID, which is the name, a dash and
// eight unique characters.
func entryName(member string) string {
	const suffixLength = 9
	if len(member) < suffixLength {
		return member
	}
	return member[:len(member)-suffixLength]
}

// EntryStatus is the status that one entry returned, or the error of the request.
type EntryStatus struct {
	Member msstate.Member  `json:"member"`
	Status *msentry.Status `json:"status,omitempty"`
	Error  string          `json:"error,omitempty"`
}

// Entries requests the status of every member of the view.
func (o *Operator) Entries(ctx context.Context) ([]EntryStatus, error) {
	s, err := o.State(ctx)
	if err != nil {
		return nil, err
	}
	var statuses []EntryStatus
	for _, m := range s.Members {
		es := EntryStatus{Member: m}
		st, err := o.fetchStatus(ctx, m.Admin)
		if err != nil {
			es.Error = err.Error()
		} else {
			es.Status = &st
		}
		statuses = append(statuses, es)
	}
	return statuses, nil
}

func (o *Operator) fetchStatus(ctx context.Context, address string) (msentry.Status, error) {
	c := o.HTTP
	if c == nil {
		c = &http.Client{Timeout: statusTimeout}
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

// InForce reports how many entries have applied a version of the state.
type InForce struct {
	Version uint64 `json:"version"`
	// Entries is the number of members, Applied the number that have applied the version.
	Entries int `json:"entries"`
	Applied int `json:"have"`
	// Behind names the members that have not applied it or whose status is unknown.
	Behind []string `json:"behind,omitempty"`
}

// inForcePollInterval is the time between rounds of status requests.
const inForcePollInterval = 200 * time.Millisecond

// WaitInForce polls the entries until all have applied version, or until ctx is done.
func (o *Operator) WaitInForce(ctx context.Context, version uint64) (InForce, error) {
	last := InForce{Version: version}
	for {
		statuses, err := o.Entries(ctx)
		if err == nil {
			last = countInForce(version, statuses)
		}
		if err == nil && last.Applied == last.Entries {
			return last, nil
		}
		if err := msclock.Sleep(ctx, o.clock(), inForcePollInterval); err != nil {
			return last, &Error{Op: "wait until in force", Kind: OutcomeUnknown, Err: err}
		}
	}
}

func countInForce(version uint64, statuses []EntryStatus) InForce {
	f := InForce{Version: version, Entries: len(statuses)}
	for _, es := range statuses {
		if es.Status != nil && es.Status.Next >= version {
			f.Applied++
			continue
		}
		f.Behind = append(f.Behind, es.Member.ID)
	}
	return f
}
