package msentry

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"marjoramspan/msclock"
	"marjoramspan/mslog"
	"marjoramspan/mspeer"
	"marjoramspan/msrequest"
	"marjoramspan/msstate"
	"marjoramspan/mstoken"
)

// claims keeps requests with an idempotency key from running twice. It folds the
// claims stream, and is the home of the keys that are assigned to this entry.
type claims struct {
	e       *Entry
	table   *msrequest.Table
	home    *msrequest.Home
	batcher *mslog.Batcher

	mu sync.Mutex
	// The fields below are guarded by mu. folded is closed and replaced when next changes.
	next     uint64
	folded   chan struct{}
	epoch    uint64
	agreedAt time.Time
	provedAt time.Time
}

const (
	// claimTimeout bounds a claim, including the append and its read-back.
	claimTimeout = 2 * time.Second
	// claimBatchDelay is how long a batch of claims waits for more.
	claimBatchDelay = 10 * time.Millisecond
	// maxClaimBatch is the most claims in one append.
	maxClaimBatch = 500
	// maxSettleAttempts is how often an entry tries to settle a claim at its home.
	maxSettleAttempts = 5
	// claimFlushInterval is the pause between two flushes, and between two attempts to settle.
	claimFlushInterval = 500 * time.Millisecond
)

var errNotReadBack = errors.New("the claims stream has not been read back")

func newClaims(e *Entry) *claims {
	c := &claims{e: e, folded: make(chan struct{})}
	c.table = &msrequest.Table{Window: e.Settings.Limits.IdempotencyWindow}
	c.batcher = &mslog.Batcher{
		Client:   e.logClient,
		Clock:    e.Clock,
		Jitter:   e.random.Float64,
		Stream:   StreamClaims,
		MaxBatch: maxClaimBatch,
		MaxDelay: claimBatchDelay,
	}
	c.home = &msrequest.Home{
		Table:             c.table,
		Clock:             e.Clock,
		Append:            c.append,
		CaughtUp:          c.caughtUp,
		Outage:            func() bool { return e.view.Outage(e.now()) },
		PeersLogged:       func() bool { return e.view.PeersLogged(c.currentEpoch()) },
		Epoch:             c.currentEpoch,
		LastUncertainLoss: e.latestUnsureLoss,
	}
	return c
}

// setEpoch records a new view, in which keys may have other homes.
func (c *claims) setEpoch(epoch uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if epoch != c.epoch {
		c.epoch = epoch
		c.agreedAt = time.Time{}
	}
}

func (c *claims) currentEpoch() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.epoch
}

// updateAgreed records when no home of an earlier view can grant claims any more and
// all claims granted there are on the stream. That is so once every member acts on the
// present view and has flushed its claims of earlier ones, and the lease of each lost
// member has lapsed, plus the time that a claim may take beyond it.
func (c *claims) updateAgreed(now time.Time) {
	s := c.e.fold.tables().state
	if !c.e.view.PeersAtEpoch(s.Epoch) || !c.e.view.PeersLogged(s.Epoch) {
		return
	}
	for _, m := range s.Lost {
		replaced := slices.ContainsFunc(s.Members, func(x msstate.Member) bool { return x.Name == m.Name })
		if !replaced && now.Sub(c.e.firstSeenLost(m.ID, now)) <= c.e.Settings.Limits.Lease+claimTimeout {
			return
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.epoch == s.Epoch && c.agreedAt.IsZero() {
		c.agreedAt = now
	}
}

// caughtUp reports whether the stream was read to its end after the last home of an
// earlier view had stopped.
func (c *claims) caughtUp() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.agreedAt.IsZero() && c.provedAt.After(c.agreedAt)
}

// append appends events to the stream and waits until they have been folded here.
func (c *claims) append(ctx context.Context, es []msrequest.Event) error {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	data, err := json.Marshal(es)
	if err != nil {
		return err
	}
	r, err := c.batcher.Add(ctx, mslog.Record{ID: uuid.NewString(), Data: data})
	if err != nil {
		return err
	}
	for {
		c.mu.Lock()
		next, folded := c.next, c.folded
		c.mu.Unlock()
		if next > r.Offset {
			return nil
		}
		select {
		case <-ctx.Done():
			return errNotReadBack
		case <-folded:
		}
	}
}

// apply folds one record of the stream.
func (c *claims) apply(r mslog.Record) {
	var es []msrequest.Event
	if err := json.Unmarshal(r.Data, &es); err != nil {
		c.e.Log.Error("can't decode claims record", zap.Uint64("offset", r.Offset), zap.Error(err))
	}
	now := c.e.now()
	for _, ev := range es {
		c.table.Apply(ev, now)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next = r.Offset + 1
	close(c.folded)
	c.folded = make(chan struct{})
}

func (c *claims) recordProof(start time.Time, _ uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.provedAt = start
}

// follow folds the stream until ctx is done.
func (c *claims) follow(ctx context.Context) error {
	t := &mslog.Tail{
		Client: c.e.logClient,
		Clock:  c.e.Clock,
		Jitter: c.e.random.Float64,
		Stream: StreamClaims,
		Apply:  c.apply,
		Proof:  c.recordProof,
		Wait:   c.e.Settings.Limits.Lease / leasePollDivisor,
	}
	t.Expired = func(first uint64) { t.From = first }
	return t.Run(ctx)
}

// flush appends the claims that were granted during an outage to the stream and removes
// expired keys, until ctx is done.
func (c *claims) flush(ctx context.Context) error {
	for {
		if err := msclock.Sleep(ctx, c.e.Clock, claimFlushInterval); err != nil {
			return nil
		}
		c.table.Expire(c.e.now())
		if c.home.Pending() == 0 || c.e.view.IsCutOff(c.e.now()) {
			continue
		}
		if err := c.home.Flush(ctx); err != nil {
			c.e.Log.Warn("can't flush claims to the log", zap.Int("pending", c.home.Pending()), zap.Error(err))
		}
	}
}

// homeOf returns the member that is the home of a claim.
func (c *claims) homeOf(team, key string) string {
	s := c.e.fold.tables().state
	ids := make([]string, 0, len(s.Members))
	for _, m := range s.Members {
		ids = append(ids, m.ID)
	}
	return mstoken.Home(ids, "claim/"+team+"/"+key)
}

// requestClaim sends a claim to its home. Without an answer the request must not run.
func (c *claims) requestClaim(ctx context.Context, cl msrequest.Claim) msrequest.Answer {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout+time.Second)
	defer cancel()
	home := c.homeOf(cl.Team, cl.Key)
	if home == c.e.id {
		return c.handleClaim(ctx, cl)
	}
	l := c.e.links.get(home)
	if l == nil {
		return msrequest.Answer{Verdict: msrequest.NotHome}
	}
	req := &mspeer.ClaimRequest{Member: c.e.id, Team: cl.Team, Key: cl.Key, Request: cl.Request, Digest: cl.Digest}
	a := msrequest.Answer{Verdict: msrequest.NotHome}
	err := l.Call(ctx, func(ctx context.Context, p mspeer.PeerClient) error {
		reply, err := p.Claim(ctx, req)
		if err == nil {
			a = msrequest.Answer{Verdict: msrequest.Verdict(reply.GetVerdict()), Status: int(reply.GetStatus())}
		}
		return err
	})
	if err != nil {
		c.e.Log.Debug("claim request failed", zap.String("home", home), zap.Error(err))
	}
	return a
}

// handleClaim answers a claim as its home.
func (c *claims) handleClaim(ctx context.Context, cl msrequest.Claim) msrequest.Answer {
	fresh, _ := c.e.view.Fresh(c.e.now())
	if !fresh || c.homeOf(cl.Team, cl.Key) != c.e.id {
		return msrequest.Answer{Verdict: msrequest.NotHome}
	}
	epoch := c.currentEpoch()
	a := c.home.Claim(ctx, cl)
	// The view, the lease or the outage may have ended while the claim was in progress;
	// another home may grant the key then.
	fresh, _ = c.e.view.Fresh(c.e.now())
	if a.Verdict == msrequest.Granted && (!fresh || c.currentEpoch() != epoch) {
		return msrequest.Answer{Verdict: msrequest.NotHome}
	}
	return a
}

// settle reports the outcome of a claim to its home, with retries.
func (c *claims) settle(ctx context.Context, ev msrequest.Event) {
	for range maxSettleAttempts {
		if c.settleOnce(ctx, ev) {
			return
		}
		if err := msclock.Sleep(ctx, c.e.Clock, claimFlushInterval); err != nil {
			return
		}
	}
	c.e.Log.Warn("can't settle claim", zap.String("request", ev.Claim.Request), zap.String("outcome", string(ev.Outcome)))
}

func (c *claims) settleOnce(ctx context.Context, ev msrequest.Event) bool {
	home := c.homeOf(ev.Claim.Team, ev.Claim.Key)
	if home == c.e.id {
		c.home.Settle(ctx, ev)
		return true
	}
	l := c.e.links.get(home)
	if l == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	err := l.Call(ctx, func(ctx context.Context, p mspeer.PeerClient) error {
		_, err := p.Settle(ctx, &mspeer.SettleRequest{
			Member:  c.e.id,
			Team:    ev.Claim.Team,
			Key:     ev.Claim.Key,
			Request: ev.Claim.Request,
			Outcome: string(ev.Outcome),
			Status:  int32(ev.Status),
		})
		return err
	})
	return err == nil
}
