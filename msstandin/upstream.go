package msstandin

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"marjoramspan/msclock"
)

// The headers of a request at an upstream and of its answer.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderTeam      = "X-Team"
	HeaderKey       = "Idempotency-Key"
	// HeaderNotRun gives the reason of a refusal before the request started.
	HeaderNotRun = "X-Not-Run"
	// HeaderDigest is the SHA-256 of the body that the upstream has read.
	HeaderDigest = "X-Body-Sha256"
	// HeaderUpstream names the upstream that answered.
	HeaderUpstream = "X-Upstream"
)

// The reasons in HeaderNotRun.
const (
	NotRunLeaving  = "leaving"
	NotRunFull     = "full"
	NotRunDraining = "draining"
)

const (
	// DefaultSlots is how many requests an upstream runs at a time.
	DefaultSlots = 8
	// DefaultConnections is how many connections an upstream accepts.
	DefaultConnections = 64
)

// Upstream is a VM that runs requests. It answers with the body of the
// request, and keeps a journal of all that started. To count connections and
// let them go silent, its server needs ConnContext and ConnState.
type Upstream struct {
	Name string
	// Slots is DefaultSlots by default. A request beyond is not started.
	Slots int
	// Connections is DefaultConnections by default. One beyond is closed.
	Connections int
	// Mode is the behaviour to start with. SetMode changes it.
	Mode UpstreamMode
	// Clock is the system's by default.
	Clock msclock.Clock

	once    sync.Once
	mux     *http.ServeMux
	mu      sync.Mutex
	mode    UpstreamMode
	rng     *rand.Rand
	journal Journal
	running int
	// draining refuses what has not started, until the VM is opened again.
	draining bool
	byTeam   map[string]int
	conns    map[net.Conn]bool
	// silenced counts the orders to go silent. A connection that is older than
	// the last one is silent.
	silenced int
	// thaw is when a freeze ends.
	thaw time.Time
}

// connKey finds the silence count at which a request's connection was opened.
type connKey struct{}

// ConnContext marks a new connection for its later silence.
func (u *Upstream) ConnContext(ctx context.Context, _ net.Conn) context.Context {
	u.mu.Lock()
	defer u.mu.Unlock()
	return context.WithValue(ctx, connKey{}, u.silenced)
}

// ConnState counts connections, and closes a new one beyond the limit.
func (u *Upstream) ConnState(c net.Conn, s http.ConnState) {
	u.start()
	u.mu.Lock()
	defer u.mu.Unlock()
	switch s {
	case http.StateNew:
		if len(u.conns) >= u.Connections {
			u.journal.RefusedConnections++
			_ = c.Close()
			return
		}
		u.conns[c] = true
		u.journal.Connections++
		u.journal.MostConnections = max(u.journal.MostConnections, len(u.conns))
	case http.StateClosed, http.StateHijacked:
		delete(u.conns, c)
	}
}

// ServeHTTP runs a request, or answers one of the stand-in's own controls.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	u.start()
	u.mux.ServeHTTP(w, r)
}

func (u *Upstream) start() {
	u.once.Do(func() {
		if u.Slots <= 0 {
			u.Slots = DefaultSlots
		}
		if u.Connections <= 0 {
			u.Connections = DefaultConnections
		}
		if u.Clock == nil {
			u.Clock = msclock.System{}
		}
		u.byTeam = map[string]int{}
		u.conns = map[net.Conn]bool{}
		u.journal = Journal{Name: u.Name, Slots: u.Slots, Entries: []JournalEntry{}}
		u.setMode(u.Mode)
		u.mux = http.NewServeMux()
		u.mux.HandleFunc("GET /standin/journal", u.serveJournal)
		u.mux.HandleFunc("POST /standin/mode", u.serveMode)
		u.mux.HandleFunc("/", u.serveRequest)
	})
}

// serveRequest takes a slot, reads the whole body, runs the request and echoes
// the body. A request that has started runs on when its caller leaves.
func (u *Upstream) serveRequest(w http.ResponseWriter, r *http.Request) {
	u.hangIfSilent(r)
	u.awaitThaw()
	if reason := u.takeSlot(); reason != "" {
		w.Header().Set(HeaderNotRun, reason)
		refuse(w, http.StatusServiceUnavailable, "not run: "+reason)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	if err != nil {
		u.releaseSlot()
		refuse(w, http.StatusBadRequest, "the body broke off: "+err.Error())
		return
	}
	n, run := u.begin(r)
	<-u.Clock.After(run.time)
	u.awaitThaw()
	status := http.StatusOK
	if run.fails {
		status = http.StatusInternalServerError
	}
	u.finish(n, status)
	u.hangIfSilent(r)
	sum := sha256.Sum256(body)
	h := w.Header()
	h.Set(HeaderDigest, hex.EncodeToString(sum[:]))
	h.Set(HeaderUpstream, u.Name)
	h.Set("Content-Type", "application/octet-stream")
	w.WriteHeader(status)
	// The journal says that the request ran, whoever still listens.
	_, _ = w.Write(body)
}

// takeSlot returns the reason why no slot is given, or none.
func (u *Upstream) takeSlot() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.mode.Leaving {
		u.journal.RefusedLeaving++
		return NotRunLeaving
	}
	if u.draining {
		u.journal.RefusedDraining++
		return NotRunDraining
	}
	if u.running >= u.Slots {
		u.journal.RefusedFull++
		return NotRunFull
	}
	u.running++
	return ""
}

func (u *Upstream) releaseSlot() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running--
}

// begin writes the start into the journal and draws how the request runs.
func (u *Upstream) begin(r *http.Request) (int, runDraw) {
	u.mu.Lock()
	defer u.mu.Unlock()
	team := r.Header.Get(HeaderTeam)
	u.byTeam[team]++
	u.journal.MostRunning = max(u.journal.MostRunning, u.running)
	u.journal.Entries = append(u.journal.Entries, JournalEntry{
		RequestID:   r.Header.Get(HeaderRequestID),
		Team:        team,
		Key:         r.Header.Get(HeaderKey),
		Path:        r.URL.Path,
		Start:       u.Clock.Now(),
		Running:     u.running,
		TeamRunning: u.byTeam[team],
	})
	return len(u.journal.Entries) - 1, u.mode.draw(u.rng)
}

// finish writes the end into the journal and gives back the slot.
func (u *Upstream) finish(n, status int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	e := &u.journal.Entries[n]
	now := u.Clock.Now()
	e.End = &now
	e.Status = status
	u.byTeam[e.Team]--
	u.running--
}

// hangIfSilent gives no answer on a connection that has gone silent, until
// its client closes it.
func (u *Upstream) hangIfSilent(r *http.Request) {
	opened, ok := r.Context().Value(connKey{}).(int)
	u.mu.Lock()
	silent := ok && opened < u.silenced
	u.mu.Unlock()
	if !silent {
		return
	}
	// The server notices that a client has left only after the body.
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// awaitThaw waits while the upstream is frozen.
func (u *Upstream) awaitThaw() {
	for {
		u.mu.Lock()
		left := u.thaw.Sub(u.Clock.Now())
		u.mu.Unlock()
		if left <= 0 {
			return
		}
		<-u.Clock.After(left)
	}
}
