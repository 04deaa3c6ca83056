package msstandin

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// Judge holds what callers were told against what upstreams did.
type Judge struct {
	// Limits are the teams' upper limits. A team without one is not limited.
	Limits map[string]int
	// Asked is how many requests the callers made. Zero takes the records'
	// number.
	Asked    int
	Records  []CallerRecord
	Journals []Journal
}

// Verdict is what a Judge has counted. All but the first four are breaches.
type Verdict struct {
	Asked    int
	Answered int
	Refused  int
	Unknown  int
	// Doubled counts the starts of non-idempotent requests after the first.
	Doubled int
	// Lost counts answers that no upstream's run stands behind, or that are not
	// whole.
	Lost int
	// FalseNotRun counts the requests that were refused as not run and started.
	FalseNotRun int
	// OverLimit is the most that any team had running above its limit.
	OverLimit int
	// Unaccounted counts requests that have no record, or more than one.
	Unaccounted int
	// OverSlots is the most that any upstream had running above its slots.
	OverSlots int
}

// ErrBreach is the cause when a promise of the system was broken.
var ErrBreach = errors.New("a promise was broken")

// String returns the line that a demo ends with.
func (v Verdict) String() string {
	return fmt.Sprintf("demo: asked=%d answered=%d refused=%d unknown=%d doubled=%d lost=%d false-not-run=%d over-limit=%d",
		v.Asked, v.Answered, v.Refused, v.Unknown, v.Doubled, v.Lost, v.FalseNotRun, v.OverLimit)
}

// Err returns an error that names the breaches, or nil.
func (v Verdict) Err() error {
	if v.Doubled+v.Lost+v.FalseNotRun+v.OverLimit+v.Unaccounted+v.OverSlots == 0 {
		return nil
	}
	return fmt.Errorf("%w: doubled=%d lost=%d false-not-run=%d over-limit=%d unaccounted=%d over-slots=%d",
		ErrBreach, v.Doubled, v.Lost, v.FalseNotRun, v.OverLimit, v.Unaccounted, v.OverSlots)
}

// Verdict counts outcomes and breaches.
func (j Judge) Verdict() Verdict {
	v := Verdict{Asked: j.Asked}
	if v.Asked == 0 {
		v.Asked = len(j.Records)
	}
	started, finished := j.runs()
	records := map[string]CallerRecord{}
	for _, r := range j.Records {
		records[r.ID] = r
		switch r.Outcome {
		case OutcomeAnswered:
			v.Answered++
			if !r.Whole || !finished[r.ID] {
				v.Lost++
			}
		case OutcomeRefused:
			v.Refused++
			if started[r.ID] {
				v.FalseNotRun++
			}
		case OutcomeUnknown:
			v.Unknown++
		}
	}
	v.Unaccounted = abs(v.Asked-len(records)) + abs(len(j.Records)-len(records))
	v.Unaccounted += len(j.Records) - v.Answered - v.Refused - v.Unknown
	v.Doubled = j.doubled(records)
	v.OverLimit = j.overLimit()
	v.OverSlots = j.overSlots()
	return v
}

// runs returns the ids of the requests that some upstream started, and of
// those that one finished.
func (j Judge) runs() (started, finished map[string]bool) {
	started, finished = map[string]bool{}, map[string]bool{}
	for _, l := range j.Journals {
		for _, e := range l.Entries {
			started[e.RequestID] = true
			finished[e.RequestID] = finished[e.RequestID] || e.End != nil
		}
	}
	return started, finished
}

// doubled counts starts after the first, by the idempotency key that the
// caller gave or that the upstream saw.
func (j Judge) doubled(records map[string]CallerRecord) int {
	starts := map[teamKey]int{}
	doubled := 0
	for _, l := range j.Journals {
		for _, e := range l.Entries {
			k := teamKey{team: e.Team, key: e.Key}
			if r := records[e.RequestID]; r.Key != "" {
				k = teamKey{team: r.Team, key: r.Key}
			}
			if k.key == "" {
				continue
			}
			if starts[k] > 0 {
				doubled++
			}
			starts[k]++
		}
	}
	return doubled
}

// teamKey is an idempotency key, which holds within its team.
type teamKey struct {
	team string
	key  string
}

// change is a start or an end of a request.
type change struct {
	at   time.Time
	team string
	by   int
}

// overLimit merges the intervals of all journals by the machine's clock. At
// equal times ends go before starts. A request without an end runs on.
func (j Judge) overLimit() int {
	var cs []change
	for _, l := range j.Journals {
		for _, e := range l.Entries {
			cs = append(cs, change{at: e.Start, team: e.Team, by: 1})
			if e.End != nil {
				cs = append(cs, change{at: *e.End, team: e.Team, by: -1})
			}
		}
	}
	slices.SortStableFunc(cs, func(a, b change) int {
		if n := a.at.Compare(b.at); n != 0 {
			return n
		}
		return a.by - b.by
	})
	running := map[string]int{}
	over := 0
	for _, c := range cs {
		running[c.team] += c.by
		limit, limited := j.Limits[c.team]
		if limited {
			over = max(over, running[c.team]-limit)
		}
	}
	return over
}

func (j Judge) overSlots() int {
	over := 0
	for _, l := range j.Journals {
		over = max(over, l.MostRunning-l.Slots)
	}
	return over
}

func abs(n int) int {
	return max(n, -n)
}
