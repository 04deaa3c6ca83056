package msjournal

import (
	"context"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"marjoramspan/msclock"
)

const (
	// appendTimeout bounds one try. The log answers within tens of milliseconds;
	// a connection that stays silent for longer is taken for dead.
	appendTimeout = 600 * time.Millisecond
	// retryPause is the pause between two tries of a batch.
	retryPause = 60 * time.Millisecond
	// maxBatchBytes and maxBatchRecords bound a batch, below what the log takes
	// in one call.
	maxBatchBytes   = 512 << 10
	maxBatchRecords = 400
)

// Writer appends batches of records, one batch at a time. A batch holds all that
// was handed in while the one before was on its way. Its fields are set before
// Run.
type Writer struct {
	Log    Log
	Clock  msclock.Clock
	Logger *zap.Logger
	Stream string
	// Producer is unique to this run of the process.
	Producer string

	mu      sync.Mutex
	waiting []*pendingAppend
	wake    chan struct{}
	failing bool
}

type pendingAppend struct {
	records []Record
	bytes   int
	done    chan struct{}
	// sent says that a try may have reached the log.
	sent bool
	err  error
	// dropped is set where the caller has gone before the first try.
	dropped bool
}

func (w *Writer) signal() chan struct{} {
	if w.wake == nil {
		w.wake = make(chan struct{}, 1)
	}
	return w.wake
}

// Append returns nil once the records are stored. An error of kind Rejected says
// that they are not and never will be; with other kinds they may be.
func (w *Writer) Append(ctx context.Context, records []Record) error {
	p := &pendingAppend{records: records, done: make(chan struct{})}
	for _, r := range records {
		p.bytes += len(r.Key) + len(r.Value)
	}
	w.mu.Lock()
	w.waiting = append(w.waiting, p)
	wake := w.signal()
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
		p.dropped = true
		return &Error{Kind: Rejected, Op: "append", Err: ctx.Err()}
	}
	return &Error{Kind: Unknown, Op: "append", Err: ctx.Err()}
}

// Failing says whether the newest try of an append failed.
func (w *Writer) Failing() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failing
}

// Run appends until ctx is done.
func (w *Writer) Run(ctx context.Context) error {
	w.mu.Lock()
	wake := w.signal()
	w.mu.Unlock()
	var epoch, seq int64 = 1, 0
	for {
		batch, records := w.take()
		if len(batch) == 0 {
			select {
			case <-ctx.Done():
				return nil
			case <-wake:
			}
			continue
		}
		err := w.store(ctx, batch, records, epoch, seq)
		w.settle(batch, err)
		switch {
		case ctx.Err() != nil:
			return nil
		case err == nil:
			seq++
		case KindOf(err) != Rejected:
			// A batch of unknown outcome is shut out by the next epoch.
			epoch, seq = epoch+1, 0
		}
	}
}

// take returns the batch that goes next.
func (w *Writer) take() ([]*pendingAppend, []Record) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var batch []*pendingAppend
	var records []Record
	bytes := 0
	for len(w.waiting) > 0 {
		p := w.waiting[0]
		if p.dropped {
			w.waiting = w.waiting[1:]
			continue
		}
		if len(batch) > 0 && (bytes+p.bytes > maxBatchBytes || len(records)+len(p.records) > maxBatchRecords) {
			break
		}
		p.sent = true
		batch = append(batch, p)
		records = append(records, p.records...)
		bytes += p.bytes
		w.waiting = w.waiting[1:]
	}
	return batch, records
}

// storeLimit is how long a batch is tried. Callers have given up by then.
const storeLimit = 4 * time.Second

// rejectLimit is how long a batch is tried that the log has rejected each time.
const rejectLimit = 350 * time.Millisecond

// store tries a batch until its outcome is known or its time is up.
func (w *Writer) store(ctx context.Context, batch []*pendingAppend, records []Record, epoch, seq int64) error {
	begun := w.Clock.Now()
	unknown := false
	for {
		actx, cancel := context.WithTimeout(ctx, appendTimeout)
		_, err := w.Log.Append(actx, Append{
			Stream: w.Stream, Records: records,
			Producer: w.Producer, Epoch: epoch, Sequence: seq,
		})
		cancel()
		w.note(err, len(batch))
		took := w.Clock.Now().Sub(begun)
		switch kind := KindOf(err); {
		case err == nil:
			return nil
		case kind == Fenced || kind == Sequence:
			return &Error{Kind: Unknown, Op: "append", Err: err}
		case kind == Unknown:
			unknown = true
			if took > storeLimit {
				return err
			}
		case !unknown && took > rejectLimit:
			return err
		case unknown && took > storeLimit:
			return &Error{Kind: Unknown, Op: "append", Err: err}
		}
		if msclock.Sleep(ctx, w.Clock, retryPause) != nil {
			return &Error{Kind: Unknown, Op: "append", Err: ctx.Err()}
		}
	}
}

func (w *Writer) note(err error, n int) {
	w.mu.Lock()
	was := w.failing
	w.failing = err != nil
	w.mu.Unlock()
	if err != nil && !was {
		w.Logger.Warn("appends fail", zap.String("stream", w.Stream), zap.Int("waiting", n), zap.Error(err))
	}
	if err == nil && was {
		w.Logger.Info("appends succeed again", zap.String("stream", w.Stream))
	}
}

func (w *Writer) settle(batch []*pendingAppend, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range batch {
		p.err = err
		close(p.done)
	}
}

// ProducerName returns a producer's name for a run of a process.
func ProducerName(entry string, started time.Time, random uint64) string {
	return entry + "-" + strconv.FormatInt(started.UnixMilli(), 36) + "-" + strconv.FormatUint(random, 36)
}
