// Package msaccount counts what became of every request, so that each minute
// of refused work can be accounted for.
//
// An entry counts in a Ledger and appends what it has counted to the account
// stream as Reports, one after another without a gap: each says from when to
// when it counts. An entry that is lost takes its last counts with it. That
// shows as a time between its last Report and its end for which there is none,
// and Summarize marks it as a gap. A gap is never shown as zero.
package msaccount

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// Outcome is what a caller was told of its request.
type Outcome string

// The outcomes. Each request has exactly one.
const (
	Answered Outcome = "answered"
	Refused  Outcome = "refused"
	Unknown  Outcome = "unknown"
)

// Row names what is counted.
type Row struct {
	// Minute is the start of the minute in which the caller was told.
	Minute  time.Time `json:"minute"`
	Team    string    `json:"team,omitempty"`
	Pool    string    `json:"pool,omitempty"`
	Queue   string    `json:"queue,omitempty"`
	Outcome Outcome   `json:"outcome"`
	// Reason is one word for why a request was refused or is unknown.
	Reason string `json:"reason,omitempty"`
}

// Count is a row with how many requests it stands for.
type Count struct {
	Row Row `json:"row"`
	N   int `json:"n"`
}

// Report is what one entry counted between two times.
type Report struct {
	Member string    `json:"member"`
	Seq    uint64    `json:"seq"`
	From   time.Time `json:"from"`
	To     time.Time `json:"to"`
	// Asked is the number of requests that were taken from callers, Open those
	// of them that had no outcome yet at To.
	Asked  int     `json:"asked"`
	Open   int     `json:"open"`
	Counts []Count `json:"counts,omitempty"`
	// Last says that the entry stopped and counts no more.
	Last bool `json:"last,omitempty"`
}

// Ledger counts on one entry. Member and Start must be set. It is safe for
// concurrent use.
type Ledger struct {
	Member string
	Start  time.Time

	mu sync.Mutex
	// The rest is guarded by mu.
	counts  map[Row]int
	totals  map[Outcome]int
	asked   int
	open    int
	seq     uint64
	from    time.Time
	pending []Report
}

// Ask counts a request that was taken from a caller.
func (l *Ledger) Ask() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked++
	l.open++
}

// Tell counts what the caller of one request was told. r.Minute is set from now.
func (l *Ledger) Tell(r Row, now time.Time) {
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

// Close ends the present report at now and returns all reports that have not
// been confirmed, oldest first.
func (l *Ledger) Close(now time.Time, last bool) []Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.from.IsZero() {
		l.from = l.Start
	}
	r := Report{Member: l.Member, Seq: l.seq, From: l.from.UTC(), To: now.UTC(), Asked: l.asked, Open: l.open, Last: last}
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

// Confirm drops the reports through seq: they are on the stream.
func (l *Ledger) Confirm(seq uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = slices.DeleteFunc(l.pending, func(r Report) bool { return r.Seq <= seq })
}

// Totals is what an entry has counted since it started.
type Totals struct {
	Answered int `json:"answered"`
	Refused  int `json:"refused"`
	Unknown  int `json:"unknown"`
	Open     int `json:"open"`
}

// Totals returns the counts since the start.
func (l *Ledger) Totals() Totals {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Totals{Answered: l.totals[Answered], Refused: l.totals[Refused], Unknown: l.totals[Unknown], Open: l.open}
}

func compareRows(a, b Row) int {
	if c := a.Minute.Compare(b.Minute); c != 0 {
		return c
	}
	return strings.Compare(a.text(), b.text())
}

func (r Row) text() string {
	return strings.Join([]string{r.Team, r.Pool, r.Queue, string(r.Outcome), r.Reason}, "\x00")
}
