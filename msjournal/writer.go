package msjournal

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"marjoramspan/msclock"
)

const (
	// appendTimeout bounds one attempt. The log responds within tens of milliseconds;
	// a connection without a response for this long is considered dead.
	appendTimeout = 600 * time.Millisecond
	// retryDelay is the delay between two attempts to append a batch.
	retryDelay = 60 * time.Millisecond
	// maxBatchBytes and maxBatchRecords bound a batch. The limits of the log may bound it
	// further.
	maxBatchBytes   = 512 << 10
	maxBatchRecords = 400
)

// Writer appends records in batches, one batch at a time. A batch holds the records
// of the Append calls that arrived while the previous batch was in flight, up to the
// size limits. The exported fields must be set before Run.
type Writer struct {
	Log    Log
	Clock  msclock.Clock
	Logger *zap.Logger
	Stream string
	// Producer identifies this run of the process and must be unique to it.
	Producer string

	mu      sync.Mutex
	waiting []*pendingAppend
	wake    chan struct{}
	failing bool
	// stuck is set while the batch under way has no known outcome and its retries fail.
	stuck bool
}

// pendingAppend is a call of Append that waits for its result.
type pendingAppend struct {
	records []Record
	bytes   int
	done    chan struct{}
	// sent is set once the records are part of a batch and may have reached the log.
	sent bool
	err  error
	// canceled is set if the caller's context ended before the first attempt.
	canceled bool
}

// wakeChannel returns the channel that wakes Run, and creates it on first use. The
// caller holds mu.
func (w *Writer) wakeChannel() chan struct{} {
	if w.wake == nil {
		w.wake = make(chan struct{}, 1)
	}
	return w.wake
}

// Append returns nil once the records are stored. After an error of kind Rejected or Invalid
// they are not stored and never will be; after other errors they may be. Records beyond the
// limits of the log are Invalid.
func (w *Writer) Append(ctx context.Context, records []Record) error {
	if err := w.Log.Limits.Check(records); err != nil {
		return err
	}
	p := &pendingAppend{records: records, done: make(chan struct{})}
	for _, r := range records {
		p.bytes += batchHead + r.Size()
	}
	w.mu.Lock()
	if w.stuck {
		w.mu.Unlock()
		return errStuck()
	}
	w.waiting = append(w.waiting, p)
	wake := w.wakeChannel()
	w.mu.Unlock()
	select {
	case wake <- struct{}{}:
	default:
	}
	select {
	case <-p.done:
		return p.err
	case <-ctx.Done():
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-p.done:
		return p.err
	default:
	}
	if !p.sent {
		p.canceled = true
		return &Error{Kind: Rejected, Op: "append", Err: ctx.Err()}
	}
	return &Error{Kind: Unknown, Op: "append", Err: ctx.Err()}
}

// Failing reports whether the last attempt to append a batch failed.
func (w *Writer) Failing() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failing
}

// Run appends batches until ctx is done.
func (w *Writer) Run(ctx context.Context) error {
	w.mu.Lock()
	wake := w.wakeChannel()
	w.mu.Unlock()
	next := position{epoch: 1}
	for {
		batch := w.nextBatch()
		if len(batch) == 0 {
			select {
			case <-ctx.Done():
				return nil
			case <-wake:
			}
			continue
		}
		w.appendCalls(ctx, batch, &next)
		if ctx.Err() != nil {
			return nil
		}
	}
}

// position is the epoch and the sequence number of a writer's next batch.
type position struct {
	epoch, sequence int64
}

// appendCalls appends the records of a batch of calls and reports the result to them. If the
// log refuses the batch for good, it appends those of each call by themselves, as only one of
// them may be at fault.
func (w *Writer) appendCalls(ctx context.Context, batch []*pendingAppend, next *position) {
	var records []Record
	for _, p := range batch {
		records = append(records, p.records...)
	}
	err := w.appendBatch(ctx, batch, records, *next)
	switch kind := KindOf(err); {
	case err == nil:
		next.sequence++
	case kind == Invalid && len(batch) > 1:
		for i := range batch {
			w.appendCalls(ctx, batch[i:i+1], next)
		}
		return
	case kind != Rejected && kind != Invalid:
		// The next epoch fences off the batch, whose outcome is unknown.
		*next = position{epoch: next.epoch + 1}
	}
	w.complete(batch, err)
}

// nextBatch removes the next batch from the waiting calls and marks it as sent.
func (w *Writer) nextBatch() []*pendingAppend {
	w.mu.Lock()
	defer w.mu.Unlock()
	maxBytes := maxBatchBytes
	if limit := w.Log.Limits.RequestBytes; limit > 0 {
		maxBytes = min(maxBytes, limit)
	}
	var batch []*pendingAppend
	records, bytes := 0, 0
	for len(w.waiting) > 0 {
		p := w.waiting[0]
		if p.canceled {
			w.waiting = w.waiting[1:]
			continue
		}
		if len(batch) > 0 && (bytes+p.bytes > maxBytes || records+len(p.records) > maxBatchRecords) {
			break
		}
		p.sent = true
		batch = append(batch, p)
		records += len(p.records)
		bytes += p.bytes
		w.waiting = w.waiting[1:]
	}
	return batch
}

// stuckAttempts is how many attempts of a batch fail without an outcome until calls that
// would wait behind it are rejected at once.
const stuckAttempts = 2

func errStuck() error {
	return &Error{Kind: Rejected, Op: "append", Err: errors.New("earlier records have no outcome")}
}

// setStuck stores whether the batch under way is stuck. If it is, the calls that wait
// behind it are rejected: they were not sent.
func (w *Writer) setStuck(stuck bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stuck = stuck
	if !stuck {
		return
	}
	for _, p := range w.waiting {
		if !p.canceled {
			p.err = errStuck()
			close(p.done)
		}
	}
	w.waiting = nil
}

// unknownRetryLimit bounds the retries of a batch that may have been stored. Callers
// have given up by then.
const unknownRetryLimit = 4 * time.Second

// rejectedRetryLimit bounds the retries of a batch that the log has rejected on every
// attempt. If it rejected the batch before as well, there is one attempt only: callers
// had better try another entry at once.
const rejectedRetryLimit = 350 * time.Millisecond

// appendBatch retries a batch until its outcome is known or the retry limit is
// reached. An error of kind Rejected or Invalid is returned only if no attempt can have
// stored the batch.
func (w *Writer) appendBatch(ctx context.Context, batch []*pendingAppend, records []Record, at position) error {
	started := w.Clock.Now()
	rejectedLimit := rejectedRetryLimit
	if w.Failing() {
		rejectedLimit = 0
	}
	outcomeUnknown := false
	defer w.setStuck(false)
	for attempt := 1; ; attempt++ {
		attemptCtx, cancel := context.WithTimeout(ctx, appendTimeout)
		_, err := w.Log.Append(attemptCtx, AppendRequest{
			Stream: w.Stream, Records: records,
			Producer: w.Producer, Epoch: at.epoch, Sequence: at.sequence,
		})
		cancel()
		if KindOf(err) != Invalid {
			w.recordResult(err, len(batch))
		}
		elapsed := w.Clock.Now().Sub(started)
		switch kind := KindOf(err); {
		case err == nil:
			return nil
		case kind == Invalid:
			// No attempt can have stored what the log never takes.
			return err
		case kind == Fenced || kind == OutOfSequence:
			return &Error{Kind: Unknown, Op: "append", Err: err}
		case kind == Unknown:
			outcomeUnknown = true
			if elapsed > unknownRetryLimit {
				return err
			}
		case !outcomeUnknown && elapsed >= rejectedLimit:
			return err
		case outcomeUnknown && elapsed > unknownRetryLimit:
			return &Error{Kind: Unknown, Op: "append", Err: err}
		}
		if outcomeUnknown && attempt >= stuckAttempts {
			w.setStuck(true)
		}
		if msclock.Sleep(ctx, w.Clock, retryDelay) != nil {
			return &Error{Kind: Unknown, Op: "append", Err: ctx.Err()}
		}
	}
}

// recordResult stores whether the last attempt failed and logs when that changes.
func (w *Writer) recordResult(err error, batchSize int) {
	w.mu.Lock()
	wasFailing := w.failing
	w.failing = err != nil
	w.mu.Unlock()
	if err != nil && !wasFailing {
		w.Logger.Warn("appends fail", zap.String("stream", w.Stream), zap.Int("waiting", batchSize), zap.Error(err))
	}
	if err == nil && wasFailing {
		w.Logger.Info("appends succeed again", zap.String("stream", w.Stream))
	}
}

// complete reports the result of a batch to its callers.
func (w *Writer) complete(batch []*pendingAppend, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range batch {
		p.err = err
		close(p.done)
	}
}

// ProducerName returns a producer name that is unique to one run of the process: the
// name of the entry, the start time in milliseconds and a random number.
func ProducerName(entry string, started time.Time, random uint64) string {
	return entry + "-" + strconv.FormatInt(started.UnixMilli(), 36) + "-" + strconv.FormatUint(random, 36)
}
