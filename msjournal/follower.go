package msjournal

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"marjoramspan/msclock"
)

const (
	// defaultReadWait is how long a read waits for a record. A reader whose state may
	// be at most a few seconds old needs a response at least this often.
	defaultReadWait = time.Second
	// readTimeoutMargin is added to the wait of a read to get its timeout, which
	// detects dead connections.
	readTimeoutMargin = 700 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the exponential backoff after failed
	// reads.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
	// probeTimeout bounds a read after a failed one. With maxRetryDelay it bounds how long
	// after the return of the log a stream is read again: entries have to apply a
	// configuration within two seconds.
	probeTimeout = time.Second
	// maxResumeAge is how old the state may be from which a Follower that runs again reads on.
	// Loading the newest records takes less than reading all in between.
	maxResumeAge = 5 * time.Second
	// lostLogInterval is the time between two log lines about a stream that stays lost.
	lostLogInterval = 5 * time.Second
)

// Follower tails one keyed stream. Its exported fields must be set before Run.
type Follower struct {
	Log    Log
	Clock  msclock.Clock
	Logger *zap.Logger
	Stream string
	// Apply applies a record to the state that the stream describes. It is called in
	// the order of the log, without gaps.
	Apply func(r Record, offset int64)
	// Reset is called before the newest records are applied, at the start and after
	// records have expired before they were read, and when Run begins again with an old state.
	Reset func()
	// Loaded, if set, is called after the newest records have been applied.
	Loaded func()
	// Pause, if set, returns the delay between a successful read and the next one.
	Pause func() time.Duration
	// Wait, if set, returns how long a read waits for a record. It is one second otherwise.
	Wait func() time.Duration
	// Regained, if set, is called after the first successful read that follows a failed one.
	// Refusals for the number of reads don't count.
	Regained func()

	mu         sync.Mutex
	nextOffset int64
	loaded     bool
	// ran is set once Run has been called.
	ran         bool
	currentAsOf time.Time
	// reachedAt is when the latest read was sent whose answer has begun to arrive.
	reachedAt time.Time
	// loadedOffsets holds the offset of each key of the last load. It is cleared once
	// reads have passed lastLoadedOffset.
	loadedOffsets    map[string]int64
	lastLoadedOffset int64
	failing          bool
	// probing is set from a failed read, other than one refused for the number of reads, to the
	// next successful one. The reads in between don't wait for records.
	probing bool
	// lostLoggedAt is when it was last logged that the stream is lost.
	lostLoggedAt time.Time
	// cancel, if set, ends the read or the pause that Run waits for. interrupted is set once
	// it was called.
	cancel      context.CancelFunc
	interrupted bool
	// loadMu allows one load at a time.
	loadMu sync.Mutex
	// inFlight is the catch-up that concurrent calls of Sync share, nil if there is
	// none.
	inFlight *catchUpCall
}

// Run tails the stream until ctx is done. It may be called again after that.
func (f *Follower) Run(ctx context.Context) error {
	f.forgetOld()
	delay := minRetryDelay
	for ctx.Err() == nil {
		err := f.poll(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, errInterrupted) {
			continue
		}
		f.recordResult(err)
		if err != nil {
			_ = msclock.Sleep(ctx, f.Clock, delay)
			delay = min(2*delay, maxRetryDelay)
			if !IsTooMany(err) {
				continue
			}
			// Reads that are refused for their number must not be sent more often than others.
		} else {
			delay = minRetryDelay
		}
		if f.Pause != nil {
			_ = f.interruptible(ctx, func(ctx context.Context) error {
				if d := f.Pause(); d > 0 {
					return msclock.Sleep(ctx, f.Clock, d)
				}
				return nil
			})
		}
	}
	return nil
}

// forgetOld resets the state if an earlier Run has left it and it is old.
func (f *Follower) forgetOld() {
	f.loadMu.Lock()
	defer f.loadMu.Unlock()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ran && f.loaded && f.Clock.Now().Sub(f.currentAsOf) > maxResumeAge {
		f.loaded = false
		f.Reset()
	}
	f.ran = true
}

// recordResult stores whether the last read failed. It logs when that changes, and at
// intervals while reads fail.
func (f *Follower) recordResult(err error) {
	f.mu.Lock()
	now := f.Clock.Now()
	wasFailing, wasProbing := f.failing, f.probing
	f.failing, f.probing = err != nil, err != nil && (wasProbing || !IsTooMany(err))
	age := now.Sub(f.currentAsOf)
	stillLost := err != nil && wasFailing && now.Sub(f.lostLoggedAt) >= lostLogInterval
	if stillLost || err != nil && !wasFailing {
		f.lostLoggedAt = now
	}
	f.mu.Unlock()
	switch {
	case err != nil && !wasFailing:
		f.Logger.Warn("stream lost", zap.String("stream", f.Stream), zap.Duration("age", age), zap.Error(err))
	case stillLost:
		f.Logger.Warn("stream still lost", zap.String("stream", f.Stream), zap.Duration("age", age), zap.Error(err))
	case err == nil && wasFailing:
		f.Logger.Info("stream regained", zap.String("stream", f.Stream))
		if wasProbing && f.Regained != nil {
			f.Regained()
		}
	}
}

// poll loads the stream if that is still to be done, and otherwise reads once. After a failed
// read it doesn't wait for records, as the answer shows that the log is back; a refusal for the
// number of reads has shown that already.
func (f *Follower) poll(ctx context.Context) error {
	f.mu.Lock()
	loaded, probing := f.loaded, f.probing
	f.mu.Unlock()
	if !loaded {
		return f.load(ctx)
	}
	return f.interruptible(ctx, func(ctx context.Context) error {
		if probing {
			return f.read(ctx, 0, probeTimeout)
		}
		wait := defaultReadWait
		if f.Wait != nil {
			wait = f.Wait()
		}
		return f.read(ctx, wait, wait+readTimeoutMargin)
	})
}

// errInterrupted is the result of a read or a pause that Interrupt has ended.
var errInterrupted = errors.New("interrupted")

// interruptible calls fn with a context that Interrupt cancels, and returns errInterrupted then.
// Pause and Wait are called within it, so that none decides on what held before an
// Interrupt.
func (f *Follower) interruptible(ctx context.Context, fn func(ctx context.Context) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.mu.Lock()
	f.cancel, f.interrupted = cancel, false
	f.mu.Unlock()
	err := fn(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancel = nil
	if f.interrupted {
		return errInterrupted
	}
	return err
}

// Interrupt ends the read or the pause that Run waits for, so that the next read begins at
// once. A read that waits long may do so on a dead connection.
func (f *Follower) Interrupt() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancel != nil {
		f.interrupted = true
		f.cancel()
	}
}

// read reads once from the next offset and applies the records. The answer has to begin within
// timeout. If the records there have expired, read loads the stream again.
func (f *Follower) read(ctx context.Context, wait, timeout time.Duration) error {
	f.mu.Lock()
	from := f.nextOffset
	f.mu.Unlock()
	sentAt := f.Clock.Now()
	readCtx, cancel := withAnswerTimeout(ctx, timeout)
	defer cancel()
	readCtx = f.withReached(readCtx, sentAt)
	batch, err := f.Log.Read(readCtx, f.Stream, from, wait)
	if KindOf(err) == Expired && err != nil {
		f.mu.Lock()
		// Another read may have passed the offset, or loaded the stream, in the meantime.
		passed := f.nextOffset > from
		f.loaded = f.loaded && passed
		f.mu.Unlock()
		if passed {
			return nil
		}
		return f.load(ctx)
	}
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, r := range batch.Records {
		offset := batch.From + int64(i)
		if offset < f.nextOffset {
			continue
		}
		f.nextOffset = offset + 1
		f.apply(r, offset)
	}
	if f.nextOffset > f.lastLoadedOffset {
		f.loadedOffsets = nil
	}
	f.markCurrent(sentAt, batch.Next >= batch.End)
	return nil
}

// markCurrent advances currentAsOf to sentAt, the time at which a read was sent, if
// the read reached the end of the stream. The caller holds mu.
func (f *Follower) markCurrent(sentAt time.Time, atEnd bool) {
	if atEnd && sentAt.After(f.currentAsOf) {
		f.currentAsOf = sentAt
	}
}

// apply applies a record unless the last load has already applied it or a newer one
// of its key. The caller holds mu.
func (f *Follower) apply(r Record, offset int64) {
	if f.loadedOffsets != nil {
		if loadedOffset, ok := f.loadedOffsets[r.Key]; ok && offset <= loadedOffset {
			return
		}
	}
	f.Apply(r, offset)
}

// load reads and applies the newest record of each key. Reads then continue from the
// end offset of the first page, so that records appended while later pages were read
// are not missed.
func (f *Follower) load(ctx context.Context) error {
	f.loadMu.Lock()
	defer f.loadMu.Unlock()
	f.mu.Lock()
	if f.loaded {
		f.mu.Unlock()
		return nil
	}
	f.mu.Unlock()
	sentAt := f.Clock.Now()
	var pages []Page
	after := ""
	for {
		readCtx, cancel := withAnswerTimeout(ctx, defaultReadWait+readTimeoutMargin)
		page, err := f.Log.Newest(f.withReached(readCtx, f.Clock.Now()), f.Stream, after)
		cancel()
		if err != nil {
			return err
		}
		pages = append(pages, page)
		if page.Cursor == "" {
			break
		}
		after = page.Cursor
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Reset()
	f.loadedOffsets = map[string]int64{}
	keys := 0
	for _, page := range pages {
		for i, r := range page.Records {
			keys++
			f.loadedOffsets[r.Key] = page.Offsets[i]
			f.lastLoadedOffset = max(f.lastLoadedOffset, page.Offsets[i])
			f.Apply(r, page.Offsets[i])
		}
	}
	f.nextOffset = pages[0].End
	f.loaded = true
	f.markCurrent(sentAt, true)
	if f.Loaded != nil {
		f.Loaded()
	}
	f.Logger.Info("stream loaded", zap.String("stream", f.Stream), zap.Int("keys", keys), zap.Int64("version", f.nextOffset))
	return nil
}

// withReached returns a context for a call that is sent at a time, which notes that the log has
// begun to answer it.
func (f *Follower) withReached(ctx context.Context, sentAt time.Time) context.Context {
	return WithProgress(ctx, func(int64, int64) {
		f.mu.Lock()
		defer f.mu.Unlock()
		if sentAt.After(f.reachedAt) {
			f.reachedAt = sentAt
		}
	})
}

// ReachedAt returns the sending time of the latest read that the log has begun to answer with
// records. If it is much later than CurrentAsOf, there may be records that the answers don't
// bring in time.
func (f *Follower) ReachedAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reachedAt
}

// CurrentAsOf returns the time as of which the applied state is complete: every record
// appended before it has been applied. It is zero before the first load.
func (f *Follower) CurrentAsOf() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.currentAsOf
}

// Failing reports whether the latest read of Run has failed.
func (f *Follower) Failing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failing
}

// Next returns the offset of the next record to read.
func (f *Follower) Next() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nextOffset
}

// Sync returns once all records appended before the call have been applied, or with the error
// of ctx once that is done.
func (f *Follower) Sync(ctx context.Context) error {
	return f.SyncSince(ctx, f.Clock.Now())
}

// SyncSince returns once all records appended before a time have been applied, or with the error
// of ctx once that is done.
// Concurrent calls share their reads: on a link with little bandwidth, separate
// reads of the same records would slow each other down until all of them time out.
func (f *Follower) SyncSince(ctx context.Context, since time.Time) error {
	for {
		f.mu.Lock()
		if f.loaded && !f.currentAsOf.Before(since) {
			f.mu.Unlock()
			return nil
		}
		call := f.inFlight
		owner := call == nil
		if owner {
			call = &catchUpCall{started: f.Clock.Now(), done: make(chan struct{})}
			f.inFlight = call
		}
		f.mu.Unlock()
		if owner {
			go func() {
				// Other callers wait for this read too, so it must not be canceled with the
				// context of the caller that started it.
				call.err = f.catchUpOnce(context.WithoutCancel(ctx))
				f.mu.Lock()
				f.inFlight = nil
				f.mu.Unlock()
				close(call.done)
			}()
		}
		select {
		case <-call.done:
		case <-ctx.Done():
			return ctx.Err()
		}
		if call.err != nil && !call.started.Before(since) {
			return call.err
		}
	}
}

// catchUpCall is a load or read that concurrent calls of Sync share.
type catchUpCall struct {
	started time.Time
	done    chan struct{}
	err     error
}

// catchUpOnce loads the stream if that is still to be done, and otherwise reads once
// without waiting for new records.
func (f *Follower) catchUpOnce(ctx context.Context) error {
	f.mu.Lock()
	loaded := f.loaded
	f.mu.Unlock()
	if !loaded {
		return f.load(ctx)
	}
	return f.read(ctx, 0, readTimeoutMargin)
}
