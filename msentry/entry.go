// Package msentry implements the daemon of an entry VM.
//
// An Entry accepts HTTP requests from callers, decides whether each may run, and
// proxies it to an upstream VM. The decisions rest on other packages: msstate folds
// the state stream of the platform's log, msmember tracks whether that state is
// fresh, mstoken holds the entry's tokens of each team limit and each VM's slots,
// msteam orders the waiting requests, msrequest keeps a request with an idempotency
// key from running twice, and msaccount counts the outcomes. This package connects
// them to the network and to each other.
//
// Run serves until its context is done, then stops gracefully: it keeps answering
// while the balancer still sends requests, completes the open ones, returns its
// tokens and leaves the view. An entry that finds itself excluded returns
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

// ErrExcluded is returned by Run when the entry was removed from the view.
var ErrExcluded = errors.New("this entry was excluded from the view")

// Error is an operation of the daemon that failed.
type Error struct {
	Op  string
	Err error
}

// Error names the operation and the cause.
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
	// Clock is the source of time; the default is the system clock.
	Clock msclock.Clock
	// Log receives the entry's log lines; the default discards them.
	Log *zap.Logger
	// Seed seeds the entry's random source.
	Seed uint64

	id        string
	started   time.Time
	logClient *mslog.Client
	appender  *mslog.Appender
	claims    *claims
	fold      fold
	view      msmember.View
	ledger    *mstoken.Ledger
	vms       vmTable
	pools     pools
	demand    demand
	limits    msteam.UsageTotals
	links     links
	sender    msupstream.Sender
	account   msaccount.Recorder
	metrics   metrics
	random    *lockedRand

	useMu sync.Mutex
	// lastUse is the latest use report. It is guarded by useMu, which is taken before
	// any pool's lock and never after.
	lastUse *useReport

	lostMu sync.Mutex
	// lostSince is when the entry first saw each member as lost. It is guarded by lostMu.
	lostSince map[string]time.Time
	// totals is the set of counted resources. Only the fold accesses it.
	totals         map[string]bool
	exchangeSignal chan struct{}
	excluded       chan struct{}
	excludeOnce    sync.Once
	joined         atomic.Bool
	draining       atomic.Bool
	lastWaiterID   atomic.Uint64
}

// lockedRand is a random source that is safe for concurrent use.
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

// prepare sets defaults and creates the parts of the entry.
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
	e.logClient = &mslog.Client{Address: set.Log.Address, Prefix: set.Log.StreamPrefix, Clock: e.Clock, Timeout: set.Log.Timeout}
	e.appender = &mslog.Appender{Client: e.logClient, Clock: e.Clock, Jitter: e.random.Float64}
	e.view = msmember.View{
		Self:         e.id,
		Lease:        set.Limits.Lease,
		CutOffAfter:  set.Limits.Lease / leaseCutDivisor,
		ExcludeAfter: set.Peers.ExcludeAfter,
	}
	e.ledger = &mstoken.Ledger{Self: e.id, ReclaimAfter: set.Limits.Lease + set.Limits.MaxRun}
	e.sender = msupstream.Sender{MaxConnsPerVM: set.Limits.ConnectionsPerUpstream}
	e.account = msaccount.Recorder{Member: e.id, Start: e.started}
	e.claims = newClaims(e)
	e.fold.onApply = e.onStateRecord
	e.lostSince = make(map[string]time.Time)
	e.exchangeSignal = make(chan struct{}, 1)
	e.excluded = make(chan struct{})
	e.metrics = newMetrics(prometheus.NewRegistry(), e)
}

// leaseCutDivisor divides the lease: an entry without a proof of its own for that
// long counts itself as cut off from the log.
const leaseCutDivisor = 2

// boot reads the whole state stream, and retries until it succeeds.
func (e *Entry) boot(ctx context.Context) error {
	for {
		s, start, err := e.readState(ctx)
		if err == nil {
			now := e.now()
			e.view.Start(now)
			e.fold.start(s)
			e.view.SetState(s, now)
			e.view.RecordLogRead(start, s.Next)
			e.applyTables(e.fold.tables(), now)
			return nil
		}
		var gap *msstate.Error
		if errors.As(err, &gap) {
			return &Error{Op: "boot", Err: err}
		}
		e.Log.Warn("can't read the state stream, retrying", zap.Error(err))
		if err := msclock.Sleep(ctx, e.Clock, bootRetryInterval); err != nil {
			return &Error{Op: "boot", Err: err}
		}
	}
}

// bootRetryInterval is the pause between attempts to read the state or to join.
const bootRetryInterval = 500 * time.Millisecond

// readState folds the whole state stream, and returns when the last read began.
func (e *Entry) readState(ctx context.Context) (*msstate.State, time.Time, error) {
	r, err := msstate.Read(ctx, e.logClient, e.Clock, StreamState)
	if err != nil {
		return nil, time.Time{}, err
	}
	s, err := r.State()
	return s, r.Start, err
}

// onStateRecord is called by the fold after each record.
func (e *Entry) onStateRecord(t *tables, out msstate.Outcome) {
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
	e.applyTables(t, now)
}

// applyTables updates the ledger, the pools and the peer links from new tables.
func (e *Entry) applyTables(t *tables, now time.Time) {
	e.updateView(t.state, now)
	e.updateTotals(t.state, now)
	e.vms.setEvacuated(t.state.Evacuations)
	e.updatePools(t)
	e.links.set(t.state.Members, e)
	if _, ok := t.state.Member(e.id); !ok && e.joined.Load() {
		e.excludeOnce.Do(func() { close(e.excluded) })
	}
	e.dispatchAll()
}

func (e *Entry) updateView(s *msstate.State, now time.Time) {
	v := mstoken.View{Epoch: s.Epoch}
	for _, m := range s.Members {
		v.Members = append(v.Members, m.ID)
	}
	for _, m := range s.Lost {
		v.Lost = append(v.Lost, mstoken.Lost{Member: m.ID, Since: e.firstSeenLost(m.ID, now)})
	}
	e.ledger.SetView(v, now)
	e.claims.setEpoch(s.Epoch)
}

// firstSeenLost returns when the entry first saw the member as lost, and records now
// if it has not before.
func (e *Entry) firstSeenLost(id string, now time.Time) time.Time {
	e.lostMu.Lock()
	defer e.lostMu.Unlock()
	if _, ok := e.lostSince[id]; !ok {
		e.lostSince[id] = now
	}
	return e.lostSince[id]
}

func (e *Entry) updateTotals(s *msstate.State, now time.Time) {
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

// updatePools creates and configures the pools that the rules name.
func (e *Entry) updatePools(t *tables) {
	shares := make([]msteam.Share, 0, len(t.state.Rules.Teams))
	for _, team := range t.state.Rules.Teams {
		shares = append(shares, msteam.Share{Team: team.Name, Weight: team.Share, Limit: team.Limit})
	}
	for _, rule := range t.state.Rules.Pools {
		p := e.pools.getOrCreate(rule.Name, func() *pool {
			p := &pool{name: rule.Name, ledger: e.ledger, vms: &e.vms, demand: &e.demand}
			p.sched.UsageTotals = &e.limits
			return p
		})
		p.configure(t.pools[rule.Name], rule.Slots, shares, e.Settings.Limits.MaxWaiting)
	}
}

// dispatchAll starts requests in every pool that has waiting ones.
func (e *Entry) dispatchAll() {
	now := e.now()
	for _, p := range e.pools.all() {
		if p.hasWaiting() {
			p.dispatch(now)
		}
	}
	e.signalExchange()
}

// signalExchange makes the token exchange run at once.
func (e *Entry) signalExchange() {
	select {
	case e.exchangeSignal <- struct{}{}:
	default:
	}
}

func (e *Entry) latestUnsureLoss() (time.Time, bool) {
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
