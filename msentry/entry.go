// Package msentry is the daemon of an entry VM.
//
// An Entry takes requests from callers by HTTP, decides whether each may run,
// and sends it to an upstream VM itself. What it decides on comes from the
// packages that know one thing each: msstate folds the platform's log, msmember
// says whether that fold is fresh, mstoken holds the entry's part of each limit
// and of each VM's slots, msteam orders the waiting requests, msrequest keeps a
// keyed request from running twice, and msaccount counts what became of all.
// This package carries their messages and calls them at the right moments.
//
// Run serves until its context is done, then stops gracefully: it goes on
// answering while the balancer still sends, finishes what it has, gives back
// its tokens and leaves the view. An entry that finds itself excluded ends with
// ErrExcluded; its process then runs a new Entry, which joins as a new member.
package msentry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"marjoramspan/msaccount"
	"marjoramspan/msclock"
	"marjoramspan/mslog"
	"marjoramspan/msmember"
	"marjoramspan/mssetting"
	"marjoramspan/msstate"
	"marjoramspan/msteam"
	"marjoramspan/mstoken"
	"marjoramspan/msupstream"
)

// The streams of the platform's log.
const (
	StreamState   = "state"
	StreamClaims  = "claims"
	StreamAccount = "account"
)

// ErrExcluded ends the run of an entry that was taken out of the view.
var ErrExcluded = errors.New("this entry was excluded from the view")

// Error is a failure of the daemon.
type Error struct {
	Op  string
	Err error
}

// Error returns what failed and why.
func (e *Error) Error() string {
	return fmt.Sprintf("entry: %s: %v", e.Op, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// Entry is one run of the daemon. Settings must be set; an Entry runs once.
type Entry struct {
	Settings mssetting.Settings
	// Clock is the time; the default is the machine's.
	Clock msclock.Clock
	// Log takes the entry's log lines; the default drops them.
	Log *zap.Logger
	// Seed starts the entry's random source.
	Seed uint64

	id      string
	started time.Time
	log     *mslog.Client
	append  *mslog.Appender
	claims  *claims
	fold    fold
	view    msmember.View
	ledger  *mstoken.Ledger
	vms     vmTable
	pools   pools
	demand  demand
	limits  msteam.Limits
	links   links
	sender  msupstream.Sender
	account msaccount.Recorder
	metrics metrics
	random  *lockedRand

	useMu sync.Mutex
	// used is the newest report of use. It is guarded by useMu, which is taken
	// before any pool's lock and never after.
	used *useReport

	lostMu sync.Mutex
	// lostSince is when the entry saw each member lost. It is guarded by lostMu.
	lostSince map[string]time.Time
	// totals names the counted resources. It is owned by the fold.
	totals   map[string]bool
	kick     chan struct{}
	excluded chan struct{}
	once     sync.Once
	joined   atomic.Bool
	draining atomic.Bool
	ids      atomic.Uint64
}

// lockedRand is a random source for several goroutines.
type lockedRand struct {
	mu sync.Mutex
	r  *rand.Rand
}

// Float64 returns a number in [0, 1).
func (l *lockedRand) Float64() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.r.Float64()
}

func (e *Entry) now() time.Time {
	return e.Clock.Now()
}

// prepare sets what the zero value leaves open.
func (e *Entry) prepare() {
	if e.Clock == nil {
		e.Clock = msclock.System{}
	}
	if e.Log == nil {
		e.Log = zap.NewNop()
	}
	set := e.Settings
	e.id = set.Entry.Name + "-" + uuid.NewString()[:8]
	e.started = e.now()
	e.Log = e.Log.With(zap.String("member", e.id))
	e.random = &lockedRand{r: rand.New(rand.NewPCG(e.Seed, uint64(e.started.UnixNano())))}
	e.log = &mslog.Client{Address: set.Log.Address, Prefix: set.Log.StreamPrefix, Clock: e.Clock, Timeout: set.Log.Timeout}
	e.append = &mslog.Appender{Client: e.log, Clock: e.Clock, Jitter: e.random.Float64}
	e.view = msmember.View{
		Self:         e.id,
		Lease:        set.Limits.Lease,
		CutAfter:     set.Limits.Lease / cutPart,
		ExcludeAfter: set.Peers.ExcludeAfter,
	}
	e.ledger = &mstoken.Ledger{Self: e.id, ReclaimAfter: set.Limits.Lease + set.Limits.MaxRun}
	e.sender = msupstream.Sender{Connections: set.Limits.ConnectionsPerUpstream}
	e.account = msaccount.Recorder{Member: e.id, Start: e.started}
	e.claims = newClaims(e)
	e.fold.changed = e.changed
	e.lostSince = make(map[string]time.Time)
	e.kick = make(chan struct{}, 1)
	e.excluded = make(chan struct{})
	e.metrics = newMetrics(prometheus.NewRegistry(), e)
}

// cutPart is the part of the lease without a proof of its own after which an
// entry counts itself as cut off from the log.
const cutPart = 2

// boot reads the state stream whole, and tries until it can.
func (e *Entry) boot(ctx context.Context) error {
	for {
		s, start, err := e.readState(ctx)
		if err == nil {
			now := e.now()
			e.view.Start(now)
			e.fold.start(s)
			e.view.SetState(s, now)
			e.view.Proved(start, s.Next)
			e.adopt(e.fold.tables(), now)
			return nil
		}
		var gap *msstate.Error
		if errors.As(err, &gap) {
			return &Error{Op: "boot", Err: err}
		}
		e.Log.Warn("can't read the log to boot", zap.Error(err))
		if err := msclock.Sleep(ctx, e.Clock, bootPause); err != nil {
			return &Error{Op: "boot", Err: err}
		}
	}
}

// bootPause is the pause between two tries to read or write at the start.
const bootPause = 500 * time.Millisecond

// readState folds the whole state stream, and returns when the last read began.
func (e *Entry) readState(ctx context.Context) (*msstate.State, time.Time, error) {
	r, err := msstate.Read(ctx, e.log, e.Clock, StreamState)
	if err != nil {
		return nil, time.Time{}, err
	}
	s, err := r.State()
	return s, r.Start, err
}

// changed is called by the fold after each record.
func (e *Entry) changed(t *tables, out msstate.Outcome) {
	now := e.now()
	e.Log.Info("state record",
		zap.Uint64("version", out.Version),
		zap.String("kind", string(out.Change.Kind)),
		zap.String("by", out.Change.By),
		zap.Bool("accepted", out.Accepted),
		zap.String("reason", out.Reason))
	e.view.SetState(t.state, now)
	if !out.Accepted || out.Change.Kind == msstate.KindSnapshot {
		return
	}
	e.adopt(t, now)
}

// adopt brings the entry in line with new tables.
func (e *Entry) adopt(t *tables, now time.Time) {
	e.turn(t.state, now)
	e.resize(t.state, now)
	e.configure(t)
	e.links.set(t.state.Members, e)
	if _, ok := t.state.Member(e.id); !ok && e.joined.Load() {
		e.once.Do(func() { close(e.excluded) })
	}
	e.pumpAll()
}

func (e *Entry) turn(s *msstate.State, now time.Time) {
	v := mstoken.View{Epoch: s.Epoch}
	for _, m := range s.Members {
		v.Members = append(v.Members, m.ID)
	}
	for _, m := range s.Lost {
		v.Lost = append(v.Lost, mstoken.Lost{Member: m.ID, Since: e.sawLost(m.ID, now)})
	}
	e.ledger.SetView(v, now)
	e.claims.turned(s.Epoch)
}

// sawLost returns when the entry first saw the member lost: now, if not before.
func (e *Entry) sawLost(id string, now time.Time) time.Time {
	e.lostMu.Lock()
	defer e.lostMu.Unlock()
	if _, ok := e.lostSince[id]; !ok {
		e.lostSince[id] = now
	}
	return e.lostSince[id]
}

func (e *Entry) resize(s *msstate.State, now time.Time) {
	wanted := make(map[string]bool, len(s.Totals))
	for _, t := range s.Totals {
		wanted[t.Resource] = true
		e.ledger.SetTotal(t.Resource, t.N, t.Version, now)
	}
	for name := range e.totals {
		if !wanted[name] {
			e.ledger.Forget(name)
		}
	}
	e.totals = wanted
}

// configure brings the pools in line with the rules.
func (e *Entry) configure(t *tables) {
	shares := make([]msteam.Share, 0, len(t.state.Rules.Teams))
	for _, team := range t.state.Rules.Teams {
		shares = append(shares, msteam.Share{Team: team.Name, Weight: team.Share, Limit: team.Limit})
	}
	for _, rule := range t.state.Rules.Pools {
		p := e.pools.getOrMake(rule.Name, func() *pool {
			p := &pool{name: rule.Name, ledger: e.ledger, vms: &e.vms, demand: &e.demand}
			p.sched.Limits = &e.limits
			return p
		})
		p.configure(t.pools[rule.Name], rule.Slots, shares, e.Settings.Limits.MaxWaiting)
	}
}

// pumpAll starts what can be started in every pool in which requests wait.
func (e *Entry) pumpAll() {
	now := e.now()
	for _, p := range e.pools.all() {
		if p.busy() {
			p.poke(now)
		}
	}
	e.wake()
}

// wake has the exchange of tokens look at once for what is due.
func (e *Entry) wake() {
	select {
	case e.kick <- struct{}{}:
	default:
	}
}

func (e *Entry) unsure() (time.Time, bool) {
	var latest time.Time
	window := e.Settings.Limits.IdempotencyWindow
	now := e.now()
	for _, u := range e.fold.tables().state.Unsure {
		if now.Sub(u.At) < window && u.At.After(latest) {
			latest = u.At
		}
	}
	return latest, !latest.IsZero()
}
