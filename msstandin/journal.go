package msstandin

import (
	"net/http"
	"slices"
	"time"
)

// Journal is what an upstream has seen.
type Journal struct {
	Name  string `json:"name"`
	Slots int    `json:"slots"`
	// MostRunning is the highest number of requests that ran at a time.
	MostRunning     int `json:"most-running"`
	RefusedFull     int `json:"refused-full"`
	RefusedLeaving  int `json:"refused-leaving"`
	RefusedDraining int `json:"refused-draining"`
	// Reboots counts planned reboots, Cut the requests that ran when one came.
	Reboots            int `json:"reboots"`
	Cut                int `json:"cut"`
	Connections        int `json:"connections"`
	MostConnections    int `json:"most-connections"`
	RefusedConnections int `json:"refused-connections"`
	// Entries are the requests that started, in that order.
	Entries []JournalEntry `json:"entries"`
}

// JournalEntry is a request that started at an upstream.
type JournalEntry struct {
	RequestID string    `json:"request-id"`
	Team      string    `json:"team"`
	Key       string    `json:"idempotency-key,omitempty"`
	Path      string    `json:"path"`
	Start     time.Time `json:"start"`
	// End is nil while the request runs.
	End    *time.Time `json:"end,omitempty"`
	Status int        `json:"status,omitempty"`
	// Running and TeamRunning count the requests at this upstream, and those of
	// the team, just after the start.
	Running     int `json:"running"`
	TeamRunning int `json:"team-running"`
}

// ReadJournal returns the journal up to now.
func (u *Upstream) ReadJournal() Journal {
	u.start()
	u.mu.Lock()
	defer u.mu.Unlock()
	j := u.journal
	j.Entries = slices.Clone(j.Entries)
	return j
}

func (u *Upstream) serveJournal(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, u.ReadJournal())
}
