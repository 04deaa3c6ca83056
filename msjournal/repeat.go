package msjournal

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"marjoramspan/msclock"
)

const (
	// maxCopies bounds the copies of one call that are sent.
	maxCopies = 6
	// maxOpenRepeats bounds the repeats that are open at a time, of appends and of reads. In
	// an outage no call is answered, and repeats of all of them would take the connections
	// that first copies need.
	maxOpenRepeats = 8
	// lossyReadWait bounds the wait of a read while answers are missing: until a read is
	// repeated, the records of a lost answer aren't seen.
	lossyReadWait = 150 * time.Millisecond
	// lossyReadTimeout bounds the time of a read beyond a wait that was shortened.
	lossyReadTimeout = 1500 * time.Millisecond
	// largeAnswer is the size in bytes from which an answer takes longer to arrive over a slow
	// link than a small answer may take before its call is repeated.
	largeAnswer = 16 << 10
)

// Repeater repeats calls of a Log whose answers are missing, each on another connection,
// so that a lost answer costs about as long as answers usually take instead of a timeout.
// Appends are repeated only if they are conditional or have a producer: the log carries
// out one copy of these at most. Its exported fields must be set before use.
type Repeater struct {
	Log     Log
	Clock   msclock.Clock
	Metrics *RepeatMetrics

	mu             sync.Mutex
	appends, reads answerTimes
	// openRepeats counts the open repeats by the name of their call.
	openRepeats map[string]int
	// arriving counts the large answers that are arriving. Others wait behind them on the
	// VM's link, so that late answers aren't missing ones.
	arriving int
	// appendsTo has the answer times of the appends by stream: those of a contended stream
	// are much longer than those of others, and repeats would add to the contention.
	appendsTo map[string]*answerTimes
}

// RepeatMetrics has the Prometheus metrics of a Repeater.
type RepeatMetrics struct {
	repeats, missed *prometheus.CounterVec
}

// NewRepeatMetrics creates the metrics and registers them with reg.
func NewRepeatMetrics(reg prometheus.Registerer) *RepeatMetrics {
	m := &RepeatMetrics{
		repeats: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "marjoramspan_log_repeats_total", Help: "Calls of the log that were sent again because their answer was late, by call.",
		}, []string{"call"}),
		missed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "marjoramspan_log_missed_answers_total", Help: "Calls of the log whose answer never came although that to a repeat did, by call.",
		}, []string{"call"}),
	}
	reg.MustRegister(m.repeats, m.missed)
	return m
}

// Repeated returns the calls that are repeated. Newest is called once, since its answer is
// long and a repeat would delay it on a narrow link.
func (r *Repeater) Repeated() Log {
	return Log{Limits: r.Log.Limits, Append: r.append, Read: r.read, Newest: r.newest}
}

func (r *Repeater) newest(ctx context.Context, stream, after string) (Page, error) {
	a := arrival{r: r}
	defer a.end()
	return r.Log.Newest(WithProgress(ctx, a.progress), stream, after)
}

// arrival is the answer to one copy of a call. Its fields belong to the goroutine that makes
// the call.
type arrival struct {
	r *Repeater
	// begun is when the answer began to arrive, or zero.
	begun time.Time
	// large is set while the answer counts as a large one that is arriving.
	large bool
}

func (a *arrival) progress(received, total int64) {
	if a.begun.IsZero() {
		a.begun = a.r.Clock.Now()
	}
	a.setLarge(total >= largeAnswer && received < total)
}

func (a *arrival) end() {
	a.setLarge(false)
}

func (a *arrival) setLarge(large bool) {
	if large == a.large {
		return
	}
	a.large = large
	a.r.mu.Lock()
	defer a.r.mu.Unlock()
	if large {
		a.r.arriving++
	} else {
		a.r.arriving--
	}
}

// answer is the result of one copy of a call.
type answer struct {
	copy   int
	offset int64
	batch  Batch
	err    error
}

func (r *Repeater) append(ctx context.Context, a AppendRequest) (int64, error) {
	if a.Producer == "" && a.ExpectedEnd == nil {
		return r.Log.Append(ctx, a)
	}
	bytes := 0
	for _, rec := range a.Records {
		bytes += len(rec.Key) + len(rec.Value)
	}
	c := repeatedCall{r: r, name: "append", times: &r.appends, ofStream: r.timesOf(a.Stream), bytes: bytes, send: func(ctx context.Context, _ int) answer {
		off, err := r.Log.Append(ctx, a)
		return answer{offset: off, err: err}
	}}
	got := c.run(ctx)
	return got.offset, got.err
}

// timesOf returns the answer times of the appends to a stream.
func (r *Repeater) timesOf(stream string) *answerTimes {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.appendsTo == nil {
		r.appendsTo = map[string]*answerTimes{}
	}
	if r.appendsTo[stream] == nil {
		r.appendsTo[stream] = &answerTimes{}
	}
	return r.appendsTo[stream]
}

func (r *Repeater) read(ctx context.Context, stream string, from int64, wait time.Duration) (Batch, error) {
	r.mu.Lock()
	lossy := r.reads.missing(r.Clock.Now()) || r.appends.missing(r.Clock.Now())
	r.mu.Unlock()
	if lossy && wait > lossyReadWait {
		wait = lossyReadWait
		// The deadline of the call allows for the wait that was asked for.
		var cancel context.CancelFunc
		ctx, cancel = withAnswerTimeout(ctx, wait+lossyReadTimeout)
		defer cancel()
	}
	c := repeatedCall{r: r, name: "read", times: &r.reads, wait: wait, send: func(ctx context.Context, n int) answer {
		if n > 0 {
			// The first copy has waited for a record already.
			b, err := r.Log.Read(ctx, stream, from, 0)
			return answer{batch: b, err: err}
		}
		b, err := r.Log.Read(ctx, stream, from, wait)
		return answer{batch: b, err: err}
	}}
	got := c.run(ctx)
	return got.batch, got.err
}

// repeatedCall is a call that is repeated until a copy of it is answered.
type repeatedCall struct {
	r     *Repeater
	name  string
	times *answerTimes
	// ofStream, if set, has the answer times of the call's stream. They decide once enough
	// of them are known.
	ofStream *answerTimes
	// bytes is the size of the call. wait is how long the log may wait before it answers
	// the first copy.
	bytes int
	wait  time.Duration
	// send sends a copy, numbered from 0, and returns its answer.
	send func(ctx context.Context, n int) answer
}

// run sends copies of the call until one is answered, or ctx is done. An error other than
// Unknown says what became of all copies.
func (c *repeatedCall) run(ctx context.Context) answer {
	clock := c.r.Clock
	// Copies outlive the call for a moment, to learn whether their answers were late or lost.
	copyCtx, cancelCopies := context.WithCancelCause(context.WithoutCancel(ctx))
	cancel := func() { cancelCopies(context.Canceled) }
	answers := make(chan answer, maxCopies)
	sent := 0
	// begun is set once the answer to a copy has begun to arrive: it isn't missing.
	var begun atomic.Bool
	sendCopy := func() {
		n := sent
		sent++
		go func() {
			sentAt := clock.Now()
			arriving := arrival{r: c.r}
			a := c.send(WithProgress(copyCtx, func(received, total int64) {
				begun.Store(true)
				arriving.progress(received, total)
			}), n)
			arriving.end()
			a.copy = n
			if n > 0 {
				c.r.endRepeat(c.name)
			}
			answeredAt := arriving.begun
			if answeredAt.IsZero() {
				answeredAt = clock.Now()
			}
			c.observe(n, answeredAt.Sub(sentAt), a)
			answers <- a
		}()
	}
	c.r.mu.Lock()
	delay := c.times.repeatDelay(c.bytes)
	if c.ofStream != nil && c.ofStream.n >= minAnswers {
		delay = c.ofStream.repeatDelay(c.bytes)
	}
	c.r.mu.Unlock()
	sendCopy()
	timer := clock.After(c.wait + delay)
	var failed []answer
	for {
		select {
		case <-ctx.Done():
			// Copies of a call that timed out are known for timed out.
			cancelCopies(context.Cause(ctx))
			// The copies end now too. The caller's next call must find their connections free.
			for range sent - len(failed) {
				<-answers
			}
			return answer{err: &Error{Kind: Unknown, Op: c.name, Err: context.Cause(ctx)}}
		case a := <-answers:
			if !conclusive(a.err) {
				failed = append(failed, a)
				if len(failed) == sent {
					cancel()
					return answer{err: combinedError(failed)}
				}
				continue
			}
			if a.err != nil && sent > 1 && KindOf(a.err) == Conflict {
				// Another copy may have been carried out and moved the end of the stream.
				a.err = &Error{Kind: Unknown, Op: c.name, Err: a.err}
			}
			go c.awaitLateAnswers(cancel, answers, sent-len(failed)-1, delay, a.copy)
			return a
		case <-timer:
			if sent == maxCopies || len(failed) > 0 || begun.Load() {
				timer = nil
				continue
			}
			if !c.r.beginRepeat(c.name) {
				timer = clock.After(delay)
				continue
			}
			c.r.Metrics.repeated(c.name)
			timer = clock.After(delay * time.Duration(sent))
			sendCopy()
		}
	}
}

// beginRepeat counts a repeat, and reports whether it may be sent.
func (r *Repeater) beginRepeat(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.arriving > 0 || r.openRepeats[name] >= maxOpenRepeats {
		return false
	}
	if r.openRepeats == nil {
		r.openRepeats = map[string]int{}
	}
	r.openRepeats[name]++
	return true
}

func (r *Repeater) endRepeat(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.openRepeats[name]--
}

// conclusive reports whether a copy was answered with what became of the call.
func conclusive(err error) bool {
	if err == nil {
		return true
	}
	switch KindOf(err) {
	case Conflict, Fenced, OutOfSequence, Expired, Invalid:
		return true
	case Unknown, Rejected:
	}
	return false
}

// combinedError returns what is known after all copies have failed: the call had no
// effect only if no copy had.
func combinedError(failed []answer) error {
	for _, a := range failed {
		if KindOf(a.err) != Rejected {
			return a.err
		}
	}
	return failed[0].err
}

// observe records how long a copy took until its answer began, if it was answered.
func (c *repeatedCall) observe(n int, took time.Duration, a answer) {
	if a.err != nil {
		return
	}
	if n == 0 && c.wait > 0 {
		if len(a.batch.Records) > 0 {
			// The read may have waited for any part of its wait.
			return
		}
		took -= c.wait
	}
	c.r.mu.Lock()
	defer c.r.mu.Unlock()
	c.times.observe(took)
	if c.ofStream != nil {
		c.ofStream.observe(took)
	}
}

// awaitLateAnswers gives the copies that are still open until delay has passed, then
// cancels them. If the answered copy is a repeat and the first one remains open, its
// answer was lost.
func (c *repeatedCall) awaitLateAnswers(cancel func(), answers <-chan answer, open int, delay time.Duration, answered int) {
	defer cancel()
	timer := c.r.Clock.After(delay)
	firstOpen := answered > 0
	for ; open > 0; open-- {
		select {
		case a := <-answers:
			firstOpen = firstOpen && a.copy != 0
			continue
		case <-timer:
		}
		break
	}
	if !firstOpen || open == 0 {
		return
	}
	c.r.mu.Lock()
	c.times.miss(c.r.Clock.Now())
	c.r.mu.Unlock()
	c.r.Metrics.missedAnswer(c.name)
}

func (m *RepeatMetrics) repeated(call string) {
	if m != nil {
		m.repeats.WithLabelValues(call).Inc()
	}
}

func (m *RepeatMetrics) missedAnswer(call string) {
	if m != nil {
		m.missed.WithLabelValues(call).Inc()
	}
}
