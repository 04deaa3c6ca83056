// Package msleader elects the single entry that schedules.
//
// The leader renews its term with conditional appends to a stream of the log, which
// succeed only if nobody else has appended since. An entry that has seen no renewal
// for a TTL appends a record of its own. The offset of that record determines the
// epoch, so epochs rise for as long as the log exists, whichever process restarts.
// Two entries never hold a valid term at the same time, because the clock counts the
// time for which the machine is suspended and a leader counts its TTL from when it
// sent the renewal.
package msleader

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"marjoramspan/msclock"
	"marjoramspan/msjournal"
)

const (
	// minTermTTL and maxTermTTL bound how long a term is valid after its latest renewal,
	// and so how long a dead leader stays without a successor.
	minTermTTL = 800 * time.Millisecond
	maxTermTTL = 1600 * time.Millisecond
	// ttlAnswers is for how many answers of the log a TTL has room beyond minTermTTL.
	ttlAnswers = 4
	// answerMemory is how long a slow answer of the log lengthens the TTL.
	answerMemory = 5 * time.Second
	// renewalsPerTTL is how many renewals are sent within a TTL.
	renewalsPerTTL = 3
	// expiryMargin is how much earlier than its TTL a leader regards its own term as
	// expired.
	expiryMargin = 100 * time.Millisecond
	// callTimeout bounds a single call to the log.
	callTimeout = 500 * time.Millisecond
	// readWait is how long a follower's long poll waits for a record.
	readWait = 800 * time.Millisecond
	// retryBackoff is the delay after a failed call; Run doubles it up to
	// maxRetryBackoff.
	retryBackoff    = 80 * time.Millisecond
	maxRetryBackoff = 640 * time.Millisecond
	// slowReadPause is the share of the TTL for which an entry doesn't read after a renewal
	// while reads are slowed down most. The death of the leader is noticed that much later.
	slowReadPause = 0.6
	// maxCandidacyJitter is the maximum random delay before a candidate campaigns.
	maxCandidacyJitter = 20 * time.Millisecond

	termKey = "term"
)

// Term is a period for which one entry is the leader.
type Term struct {
	// Epoch is higher than that of every earlier term, and the least fencing token of the
	// orders issued in the term.
	Epoch int64
	// Released means that the previous leader released its term, or that its process has
	// ended, so that it has issued no orders since.
	Released bool
	// VMOrdersStored means that the previous leader stored its VM orders on the log before
	// it sent them, or that there was no previous leader.
	VMOrdersStored bool
	// EarlierSeenAt is when this entry last read a record of the previous leader, or began to wait
	// for one.
	EarlierSeenAt time.Time

	l *Elector
}

// Valid reports whether the term is current and unexpired, so that no other entry can
// hold a term now.
func (t Term) Valid() bool {
	t.l.mu.Lock()
	defer t.l.mu.Unlock()
	return t.l.epoch == t.Epoch && t.l.Clock.Now().Before(t.l.deadline)
}

// LatestToken returns the highest fencing token of the term so far. It is Epoch at first and rises
// with each renewal, as each takes an offset of the stream. It is below the epochs of all later
// terms.
func (t Term) LatestToken() int64 {
	if t.l == nil {
		return t.Epoch
	}
	t.l.mu.Lock()
	defer t.l.mu.Unlock()
	if t.l.epoch != t.Epoch {
		return t.Epoch
	}
	return t.l.token
}

// ExpiredFor returns the time since the term expired, or 0 while it is valid.
func (t Term) ExpiredFor() time.Duration {
	t.l.mu.Lock()
	defer t.l.mu.Unlock()
	return max(0, t.l.Clock.Now().Sub(t.l.deadline))
}

// record is the value stored under termKey, the only key of the stream.
type record struct {
	Holder string `json:"holder"`
	// Epoch is 0 in the record that begins a term, as the offset of that record
	// determines the epoch.
	Epoch int64 `json:"epoch,omitempty"`
	// Serial distinguishes the records of a holder.
	Serial   int64 `json:"serial"`
	Released bool  `json:"released,omitempty"`
	// VM identifies the VM on which the holder runs. It is empty in the records of earlier
	// versions.
	VM string `json:"vm,omitempty"`
	// VMOrdersStored is absent in the records of versions that don't store their VM orders.
	VMOrdersStored bool `json:"vm-orders-stored,omitempty"`
	// TTLMS is how long the term is valid after the record, in milliseconds. It is absent
	// in the records of versions whose TTL is maxTermTTL.
	TTLMS int64 `json:"ttl-ms,omitempty"`
	// MilliCores is the processor limit of the holder's VM, in thousandths of a core. It is
	// absent if that is unknown, and in the records of earlier versions.
	MilliCores int64 `json:"millicores,omitempty"`
}

// ttl returns how long the term is valid after the record.
func (r *record) ttl() time.Duration {
	d := time.Duration(r.TTLMS) * time.Millisecond
	if d <= 0 || d > maxTermTTL {
		return maxTermTTL
	}
	return max(d, minTermTTL)
}

// Elector takes part in the election on behalf of an entry and runs Lead while the entry
// is the leader. Its exported fields must be set before Run.
type Elector struct {
	Log    msjournal.Log
	Clock  msclock.Clock
	Logger *zap.Logger
	Stream string
	// Holder identifies the entry in the stream. It must be unique to this run of the
	// process.
	Holder string
	// VM, if set, identifies the VM of the entry, such that at most one process runs
	// with it at a time. The entry then knows that an earlier process of its VM has ended,
	// and takes over that process's term at once.
	VM string
	// MilliCores, if set, is the processor limit of the entry's VM, in thousandths of a core.
	MilliCores int64
	// Jitter returns a number from 0 to 1.
	Jitter func() float64
	// CandidacyDelay, if set, returns an additional delay before the entry campaigns, which
	// lets better candidates win.
	CandidacyDelay func() time.Duration
	// Pacer, if set, slows the reads of the entries that don't lead down.
	Pacer *msjournal.Pacer
	// Lead is called for each term and must return soon after ctx is done. If it
	// returns earlier, the term is released.
	Lead func(ctx context.Context, t Term) error

	mu       sync.Mutex
	epoch    int64
	deadline time.Time
	// token is the latest fencing token of the term.
	token int64
	// holderMilliCores is that of the newest record, or 0.
	holderMilliCores int64
	// currentAsOf is when the latest call that the log answered was sent.
	currentAsOf time.Time

	// nextOffset is the offset at which the next record is expected.
	nextOffset int64
	// lastRecordAt is when a record was last read, or when the wait for a renewal was
	// restarted.
	lastRecordAt time.Time
	// released means that no entry holds a term.
	released bool
	// vmOrdersStored and ttl are those of the newest record.
	vmOrdersStored bool
	ttl            time.Duration
	// answers has the answer times of the log, from which the entry's own TTL follows.
	answers answers
	serial  int64
}

// Run takes part in the election until ctx is done, then releases a term that it holds.
func (l *Elector) Run(ctx context.Context) error {
	readFailed := false
	backoff := retryBackoff
	for ctx.Err() == nil {
		err := l.load(ctx)
		if err == nil {
			if readFailed {
				l.Logger.Info("can read who leads again")
			}
			readFailed, backoff = false, retryBackoff
			err = l.follow(ctx)
		}
		if err != nil && ctx.Err() == nil && !readFailed {
			l.Logger.Warn("can't read who leads", zap.Error(err))
			readFailed = true
		}
		_ = msclock.Sleep(ctx, l.Clock, backoff)
		backoff = min(2*backoff, maxRetryBackoff)
	}
	return nil
}

// load reads the newest record and the end of the stream.
func (l *Elector) load(ctx context.Context) error {
	begun := l.Clock.Now()
	rctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	p, err := l.Log.Newest(rctx, l.Stream, "")
	if err != nil {
		return err
	}
	l.nextOffset = p.End
	l.lastRecordAt = l.Clock.Now()
	l.setCurrent(begun)
	// A stream without records has had no leader.
	l.released, l.vmOrdersStored, l.ttl = len(p.Records) == 0, len(p.Records) == 0, maxTermTTL
	for _, r := range p.Records {
		l.applyRecord(r)
	}
	return nil
}

// applyRecord takes over what a record says of the term: whether it was released or its
// holder has ended, and whether the holder stored its VM orders.
func (l *Elector) applyRecord(r msjournal.Record) {
	var rec record
	if err := json.Unmarshal(r.Value, &rec); err != nil {
		l.Logger.Warn("can't read a leader's record", zap.Error(err))
		return
	}
	predecessor := l.VM != "" && rec.VM == l.VM && rec.Holder != l.Holder
	if predecessor && !rec.Released {
		l.Logger.Info("the earlier process of this VM held the term", zap.String("holder", rec.Holder))
	}
	l.released, l.vmOrdersStored, l.ttl = rec.Released || predecessor, rec.VMOrdersStored, rec.ttl()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holderMilliCores = rec.MilliCores
	if rec.Released || rec.Holder == l.Holder {
		l.holderMilliCores = 0
	}
}

// CurrentAsOf returns the time as of which the entry knows who leads. It is zero before the
// first answer of the log.
func (l *Elector) CurrentAsOf() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.currentAsOf
}

func (l *Elector) setCurrent(sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.currentAsOf = sent
}

// HolderMilliCores returns the processor limit of the VM of another entry that leads, or 0 if
// none does or its limit is unknown.
func (l *Elector) HolderMilliCores() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.epoch != 0 {
		return 0
	}
	return l.holderMilliCores
}

// follow reads renewals, and campaigns when none arrives for the election timeout.
func (l *Elector) follow(ctx context.Context) error {
	delay := l.candidacyDelay()
	failing := false
	// refusedSince is when the log began to refuse reads for their number, zero if the latest
	// one was answered. That alone doesn't say that the leader was unable to renew its term.
	var refusedSince time.Time
	for ctx.Err() == nil {
		electionTimeout := l.ttl + delay
		if l.released || refusedSince.IsZero() && l.Clock.Now().Sub(l.lastRecordAt) >= electionTimeout {
			if l.released {
				_ = msclock.Sleep(ctx, l.Clock, l.candidacyDelay())
			}
			if err := l.campaign(ctx); err != nil {
				return err
			}
			continue
		}
		begun := l.Clock.Now()
		wait := max(min(readWait, electionTimeout-begun.Sub(l.lastRecordAt)), time.Millisecond)
		rctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
		b, err := l.Log.Read(rctx, l.Stream, l.nextOffset, wait)
		cancel()
		if err != nil {
			if msjournal.KindOf(err) == msjournal.Expired {
				return err
			}
			if msjournal.IsTooMany(err) && refusedSince.IsZero() {
				refusedSince = begun
			}
			failing = failing || !msjournal.IsTooMany(err) || begun.Sub(refusedSince) >= l.ttl
			_ = msclock.Sleep(ctx, l.Clock, retryBackoff+l.slowPause())
			continue
		}
		refusedSince = time.Time{}
		l.setCurrent(begun)
		if failing {
			// The leader may have been unable to renew for the same reason, so the wait
			// starts again.
			failing = false
			l.lastRecordAt = l.Clock.Now()
		}
		for _, r := range b.Records {
			l.applyRecord(r)
			l.lastRecordAt = l.Clock.Now()
		}
		l.nextOffset = max(l.nextOffset, b.Next)
		if len(b.Records) > 0 && !l.released {
			_ = msclock.Sleep(ctx, l.Clock, l.slowPause())
		}
	}
	return nil
}

// slowPause returns the pause between two reads while reads are slowed down, else 0.
func (l *Elector) slowPause() time.Duration {
	return l.Pacer.Pause(time.Duration(slowReadPause * float64(l.ttl)))
}

// candidacyDelay returns how long to wait before campaigning once the term is free.
func (l *Elector) candidacyDelay() time.Duration {
	d := time.Duration(l.Jitter() * float64(maxCandidacyJitter))
	if l.CandidacyDelay != nil {
		d += l.CandidacyDelay()
	}
	return d
}

// campaign appends a record that begins a term, and leads if the record is stored.
func (l *Elector) campaign(ctx context.Context) error {
	t := Term{Released: l.released, VMOrdersStored: l.vmOrdersStored, EarlierSeenAt: l.lastRecordAt, l: l}
	off, sent, err := l.append(ctx, record{})
	if err != nil {
		l.lastRecordAt, l.released = l.Clock.Now(), false
		if msjournal.KindOf(err) == msjournal.Conflict {
			return nil
		}
		return err
	}
	t.Epoch = off + 1
	l.lead(ctx, t, sent)
	return nil
}

// append appends rec if nobody else has appended since nextOffset, and returns its
// offset and when it was sent. The term is valid for l.ttl from then on. If the outcome is unknown because the response was lost,
// it reads the stream to determine whether rec was stored.
func (l *Elector) append(ctx context.Context, rec record) (int64, time.Time, error) {
	l.serial++
	rec.Holder, rec.Serial, rec.VM, rec.VMOrdersStored, rec.MilliCores = l.Holder, l.serial, l.VM, true, l.MilliCores
	at, sent := l.nextOffset, l.Clock.Now()
	l.ttl = l.answers.ttl(sent)
	rec.TTLMS = l.ttl.Milliseconds()
	value, err := json.Marshal(rec)
	if err != nil {
		return 0, time.Time{}, err
	}
	defer func() { l.answers.observe(l.Clock.Now().Sub(sent), l.Clock.Now()) }()
	actx, cancel := context.WithTimeout(ctx, callTimeout)
	off, err := l.Log.Append(actx, msjournal.AppendRequest{
		Stream: l.Stream, ExpectedEnd: &at,
		Records: []msjournal.Record{{Key: termKey, Value: value}},
	})
	cancel()
	if err == nil {
		l.nextOffset = off + 1
		l.setCurrent(sent)
		return off, sent, nil
	}
	if kind := msjournal.KindOf(err); kind != msjournal.Unknown && kind != msjournal.Conflict {
		return 0, sent, err
	}
	return l.findAppended(ctx, rec, sent, err)
}

// findAppended looks for rec among the records from nextOffset on. If it isn't there, it
// returns a conflict if another entry has appended, and cause otherwise.
func (l *Elector) findAppended(ctx context.Context, rec record, sent time.Time, cause error) (int64, time.Time, error) {
	rctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	b, err := l.Log.Read(rctx, l.Stream, l.nextOffset, 0)
	if err != nil {
		return 0, sent, cause
	}
	foundOther := false
	for i, r := range b.Records {
		var got record
		if json.Unmarshal(r.Value, &got) == nil && got.Holder == l.Holder && !foundOther {
			l.nextOffset = b.From + int64(i) + 1
			if got.Serial == rec.Serial {
				return b.From + int64(i), sent, nil
			}
			// An earlier attempt was stored late. Its renewal counts only from when it
			// was sent, so the current record has to be sent again after it.
			continue
		}
		foundOther = true
	}
	if foundOther {
		l.nextOffset, l.lastRecordAt = b.Next, l.Clock.Now()
		for _, r := range b.Records {
			l.applyRecord(r)
		}
		return 0, sent, &msjournal.Error{Kind: msjournal.Conflict, Op: "renew", Err: cause}
	}
	return 0, sent, cause
}

// lead runs Lead and renews the term until Lead returns, ctx is done or another entry
// has taken over. Unless the term was taken over, lead releases it.
func (l *Elector) lead(ctx context.Context, t Term, sent time.Time) {
	epoch := t.Epoch
	l.mu.Lock()
	l.epoch, l.token, l.deadline, l.holderMilliCores = epoch, epoch, sent.Add(l.ttl-expiryMargin), 0
	l.mu.Unlock()
	l.Logger.Info("term begun", zap.Int64("epoch", epoch), zap.Bool("released", t.Released), zap.Bool("vm-orders-stored", t.VMOrdersStored))
	lctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	ended := make(chan error, 1)
	go func() { ended <- l.Lead(lctx, t) }()
	reason, leadRunning := l.renew(ctx, epoch, ended)
	cancel()
	if leadRunning {
		if err := <-ended; err != nil {
			l.Logger.Info("scheduling ended with an error", zap.Error(err))
		}
	}
	l.mu.Lock()
	l.epoch = 0
	l.mu.Unlock()
	l.Logger.Info("term ended", zap.Int64("epoch", epoch), zap.String("reason", reason))
	if reason != reasonReplaced {
		rctx, stop := context.WithTimeout(context.WithoutCancel(ctx), 2*callTimeout)
		defer stop()
		if _, _, err := l.append(rctx, record{Epoch: epoch, Released: true}); err != nil {
			l.Logger.Info("term not released", zap.Error(err))
		}
	}
	l.lastRecordAt, l.released, l.vmOrdersStored, l.ttl = l.Clock.Now(), false, true, maxTermTTL
}

// The reasons for the end of a term, as logged.
const (
	reasonReplaced = "replaced"
	reasonStopping = "stopping"
	reasonGivenUp  = "given up"
)

// renew renews the term until it ends. It returns the reason, and whether Lead still runs
// and has to be waited for.
func (l *Elector) renew(ctx context.Context, epoch int64, ended <-chan error) (reason string, leadRunning bool) {
	interval := l.ttl / renewalsPerTTL
	for {
		select {
		case <-ctx.Done():
			return reasonStopping, true
		case err := <-ended:
			if err != nil {
				l.Logger.Warn("scheduling ended with an error", zap.Error(err))
			}
			return reasonGivenUp, false
		case <-l.Clock.After(interval):
		}
		// A renewal that is cut short may still be stored, and the release that follows
		// would then find the end of the stream moved.
		off, sent, err := l.append(context.WithoutCancel(ctx), record{Epoch: epoch})
		switch {
		case err == nil:
			l.mu.Lock()
			l.token, l.deadline = off+1, sent.Add(l.ttl-expiryMargin)
			l.mu.Unlock()
			interval = max(0, l.ttl/renewalsPerTTL-l.Clock.Now().Sub(sent))
		case msjournal.KindOf(err) == msjournal.Conflict:
			return reasonReplaced, true
		default:
			l.Logger.Warn("term not renewed", zap.Int64("epoch", epoch), zap.String("lapsed", strconv.FormatBool(!Term{Epoch: epoch, l: l}.Valid())), zap.Error(err))
			interval = retryBackoff
		}
	}
}
