// Package msaccount counts the outcome of every request, so that every minute in
// which work was refused can be accounted for.
//
// An entry counts in a Recorder and appends its counts to the account stream as
// Reports. Each Report covers a time interval that starts where the previous one
// ended. The last counts of an entry that fails are lost. No Report covers the time
// between its last Report and its end, and Summarize returns that time as a gap. A
// gap is never shown as a count of zero.
package msaccount

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// Outcome is the result of a request as reported to its caller.
type Outcome string

// Outcomes. Each request that has ended has exactly one.
const (
	Answered Outcome = "answered"
	Refused  Outcome = "refused"
	Unknown  Outcome = "unknown"
)

// Row is the set of attributes by which requests are counted.
type Row struct {
	// Minute is the start of the minute in which the caller got the outcome.
	Minute  time.Time `json:"minute"`
	Team    string    `json:"team,omitempty"`
	Pool    string    `json:"pool,omitempty"`
	Queue   string    `json:"queue,omitempty"`
	Outcome Outcome   `json:"outcome"`
	// Reason is a one-word reason why the request was refused or its outcome is
	// unknown.
	Reason string `json:"reason,omitempty"`
}

// Count is a row with its number of requests.
type Count struct {
	Row Row `json:"row"`
	N   int `json:"n"`
}

// Report holds the counts of one entry for a time interval.
type Report struct {
	Member string    `json:"member"`
	Seq    uint64    `json:"seq"`
	From   time.Time `json:"from"`
	To     time.Time `json:"to"`
	// Received is the number of requests received from callers in the interval, Open
	// the number of requests without an outcome at To.
	Received int     `json:"asked"`
	Open     int     `json:"open"`
	Counts   []Count `json:"counts,omitempty"`
	// Last is set in the final report of an entry that stopped.
	Last bool `json:"last,omitempty"`
}

// Recorder counts the requests of one entry. Member and Start must be set. It is safe
// for concurrent use.
type Recorder struct {
	Member string
	Start  time.Time

	mu sync.Mutex
	// mu guards the fields below.
	counts  map[Row]int
	totals  map[Outcome]int
	asked   int
	open    int
	seq     uint64
	from    time.Time
	pending []Report
}

// RequestReceived counts a request received from a caller.
func (l *Recorder) RequestReceived() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked++
	l.open++
}

// RecordOutcome counts the outcome of a request. It sets r.Minute from now.
func (l *Recorder) RecordOutcome(r Row, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.counts == nil {
		l.counts = make(map[Row]int)
		l.totals = make(map[Outcome]int)
	}
	r.Minute = now.UTC().Truncate(time.Minute)
	l.counts[r]++
	l.totals[r.Outcome]++
	l.open--
}

// CutReport ends the current report at now and returns all reports that have not been
// confirmed, oldest first. The next report starts at now.
func (l *Recorder) CutReport(now time.Time, last bool) []Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.from.IsZero() {
		l.from = l.Start
	}
	r := Report{Member: l.Member, Seq: l.seq, From: l.from.UTC(), To: now.UTC(), Received: l.asked, Open: l.open, Last: last}
	for row, n := range l.counts {
		r.Counts = append(r.Counts, Count{Row: row, N: n})
	}
	slices.SortFunc(r.Counts, func(a, b Count) int { return compareRows(a.Row, b.Row) })
	l.seq++
	l.from = now
	l.asked = 0
	clear(l.counts)
	l.pending = append(l.pending, r)
	return slices.Clone(l.pending)
}

// ConfirmThrough drops the reports up to and including seq, which are stored on the
// stream.
func (l *Recorder) ConfirmThrough(seq uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = slices.DeleteFunc(l.pending, func(r Report) bool { return r.Seq <= seq })
}

// Totals holds the counts of an entry since its start.
type Totals struct {
	Answered int `json:"answered"`
	Refused  int `json:"refused"`
	Unknown  int `json:"unknown"`
	Open     int `json:"open"`
}

// Totals returns the counts since the start of the entry.
func (l *Recorder) Totals() Totals {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Totals{Answered: l.totals[Answered], Refused: l.totals[Refused], Unknown: l.totals[Unknown], Open: l.open}
}

func compareRows(a, b Row) int {
	if c := a.Minute.Compare(b.Minute); c != 0 {
		return c
	}
	return strings.Compare(a.sortKey(), b.sortKey())
}

func (r Row) sortKey() string {
	return strings.Join([]string{r.Team, r.Pool, r.Queue, string(r.Outcome), r.Reason}, "\x00")
}
