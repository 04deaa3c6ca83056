package mslog_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"marjoramspan/mslog"
	"marjoramspan/msstandin"
)

// handlerTransport calls a handler without a network, so that a test can run
// in a synctest bubble with a fake clock.
type handlerTransport struct {
	h http.Handler
}

var errConnectionClosed = errors.New("connection closed without a response")

func (t handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if tr := httptrace.ContextClientTrace(r.Context()); tr != nil {
		tr.GotConn(httptrace.GotConnInfo{})
	}
	w := httptest.NewRecorder()
	done := make(chan bool, 1)
	go func() {
		defer func() { done <- recover() == nil }()
		t.h.ServeHTTP(w, r)
	}()
	select {
	case ok := <-done:
		if !ok {
			return nil, errConnectionClosed
		}
		return w.Result(), nil
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}

func newHandlerClient(h http.Handler) *mslog.Client {
	return &mslog.Client{Address: "platform", HTTP: &http.Client{Transport: handlerTransport{h}}}
}

// faultPhase is a fault with its duration.
type faultPhase struct {
	fault    msstandin.Fault
	duration time.Duration
}

// lateDelay is a delay that exceeds the client's timeout.
const lateDelay = mslog.DefaultTimeout + time.Second

func drawPhases(t *rapid.T) []faultPhase {
	modes := rapid.SampledFrom([]msstandin.FaultMode{
		msstandin.FaultNone, msstandin.FaultDown, msstandin.FaultHang,
		msstandin.FaultSlow, msstandin.FaultLoseAnswers, msstandin.FaultAppendDown,
	})
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) faultPhase {
		return faultPhase{
			fault: msstandin.Fault{
				Mode:  modes.Draw(t, "mode"),
				Delay: rapid.SampledFrom([]time.Duration{time.Millisecond, time.Second, lateDelay}).Draw(t, "delay"),
				Rate:  rapid.SampledFrom([]float64{0.3, 0.7, 1}).Draw(t, "rate"),
				Seed:  rapid.Uint64().Draw(t, "seed"),
			},
			duration: time.Duration(rapid.IntRange(1, 8000).Draw(t, "ms")) * time.Millisecond,
		}
	}), 1, 5).Draw(t, "phases")
}

// appendResult is what the writer of one record got back.
type appendResult struct {
	id  string
	rec mslog.Record
	err error
}

// runResult is the outcome of a run under faults.
type runResult struct {
	results [][]appendResult
	stream  []mslog.Record
	tail    []mslog.Record
	proofs  int
	// falseProofs counts the proofs whose end differs from the number of
	// records that the tail had applied.
	falseProofs int
}

const (
	writers          = 4
	recordsPerWriter = 6
)

// runUnderFaults lets concurrent writers append records one after another
// while the platform passes through the fault phases and a tail follows the
// stream.
func runUnderFaults(phases []faultPhase, newAdd func(ctx context.Context, c *mslog.Client) func(mslog.Record) (mslog.Record, error)) runResult {
	run := runResult{results: make([][]appendResult, writers)}
	p := &msstandin.Platform{}
	c := newHandlerClient(p)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	add := newAdd(ctx, c)
	tail := &mslog.Tail{Client: c, Stream: "s", Max: 3}
	tail.Proof = func(_ time.Time, end uint64) {
		run.proofs++
		if end != uint64(len(run.tail)) {
			run.falseProofs++
		}
	}
	tail.Apply = func(r mslog.Record) { run.tail = append(run.tail, r) }
	go tail.Run(ctx)
	var wg sync.WaitGroup
	for w := range writers {
		wg.Go(func() {
			for i := range recordsPerWriter {
				r := records(fmt.Sprintf("%d-%d", w, i))[0]
				rec, err := add(r)
				run.results[w] = append(run.results[w], appendResult{id: r.ID, rec: rec, err: err})
				time.Sleep(300 * time.Millisecond)
			}
		})
	}
	for _, f := range phases {
		p.SetFault(f.fault)
		time.Sleep(f.duration)
	}
	p.SetFault(msstandin.Fault{})
	wg.Wait()
	// Wait until delayed appends have taken effect and the tail has read them.
	time.Sleep(2 * lateDelay)
	cancel()
	synctest.Wait()
	run.stream = p.Records("s")
	return run
}

// checkRun compares the results of the writers and the tail with the
// stream.
func checkRun(t *rapid.T, run runResult, phases []faultPhase) {
	require.Equal(t, idsOf(run.stream), idsOf(run.tail), "the tail must apply every record of the stream in order")
	require.Positive(t, run.proofs)
	require.Zero(t, run.falseProofs)
	count := map[string]int{}
	for i, r := range run.stream {
		require.Equal(t, uint64(i), run.tail[i].Offset)
		count[r.ID]++
	}
	duplicatesAllowed := false
	for _, f := range phases {
		duplicatesAllowed = duplicatesAllowed || f.fault.Mode == msstandin.FaultSlow && f.fault.Delay == lateDelay
	}
	for _, writerResults := range run.results {
		next := uint64(0)
		for _, result := range writerResults {
			n := count[result.id]
			require.True(t, n <= 1 || duplicatesAllowed, "%s is in the stream %d times", result.id, n)
			if result.err != nil {
				require.True(t, n == 0 || mslog.KindOf(result.err) == mslog.Unknown, "%s took effect: %v", result.id, result.err)
				continue
			}
			require.Positive(t, n, "%s was acknowledged but is not in the stream", result.id)
			require.Equal(t, result.id, run.stream[result.rec.Offset].ID)
			require.GreaterOrEqual(t, result.rec.Offset, next, "the offsets of one writer's records must increase")
			next = result.rec.Offset + 1
		}
	}
}

func TestAppenderUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		phases := drawPhases(rt)
		var run runResult
		synctest.Test(t, func(*testing.T) {
			run = runUnderFaults(phases, func(ctx context.Context, c *mslog.Client) func(mslog.Record) (mslog.Record, error) {
				a := &mslog.Appender{Client: c, Jitter: func() float64 { return 0.5 }}
				return func(r mslog.Record) (mslog.Record, error) { return a.AppendOnce(ctx, "s", 0, r) }
			})
		})
		checkRun(rt, run, phases)
	})
}

func TestBatcherUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		phases := drawPhases(rt)
		addTimeout := time.Duration(rapid.IntRange(100, 20000).Draw(rt, "add-timeout-ms")) * time.Millisecond
		var run runResult
		synctest.Test(t, func(*testing.T) {
			run = runUnderFaults(phases, func(ctx context.Context, c *mslog.Client) func(mslog.Record) (mslog.Record, error) {
				b := &mslog.Batcher{Client: c, Stream: "s", MaxBatch: 3, MaxDelay: 5 * time.Millisecond}
				go b.Run(ctx)
				return func(r mslog.Record) (mslog.Record, error) {
					ctx, cancel := context.WithTimeout(ctx, addTimeout)
					defer cancel()
					return b.Add(ctx, r)
				}
			})
		})
		checkRun(rt, run, phases)
	})
}

// TestBatcherGroupsConcurrentAdds counts the appends that 200 concurrent Adds
// cause.
func TestBatcherGroupsConcurrentAdds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		var appends, inFlight, maxInFlight atomic.Int64
		p := &msstandin.Platform{}
		c := newHandlerClient(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost {
				appends.Add(1)
				maxInFlight.Store(max(maxInFlight.Load(), inFlight.Add(1)))
				time.Sleep(10 * time.Millisecond)
				inFlight.Add(-1)
			}
			p.ServeHTTP(w, r)
		}))
		b := &mslog.Batcher{Client: c, Stream: "s", MaxBatch: 60, MaxDelay: time.Millisecond}
		go b.Run(ctx)
		var wg sync.WaitGroup
		for i := range 200 {
			wg.Go(func() {
				time.Sleep(time.Duration(i/100) * 5 * time.Millisecond)
				_, err := b.Add(ctx, records(fmt.Sprint(i))[0])
				require.NoError(t, err)
			})
		}
		wg.Wait()
		// Batches of 60, 60, 60 and 20.
		require.Equal(t, int64(4), appends.Load())
		require.Equal(t, int64(1), maxInFlight.Load(), "at most one batch may be in flight")
		require.Len(t, p.Records("s"), 200)
	})
}

func TestStoppedBatcherFailsEveryAdd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &msstandin.Platform{}
		p.SetFault(msstandin.Fault{Mode: msstandin.FaultDown})
		ctx, cancel := context.WithCancel(context.Background())
		b := &mslog.Batcher{Client: newHandlerClient(p), Stream: "s"}
		go b.Run(ctx)
		errs := make(chan error, 1)
		go func() {
			_, err := b.Add(context.Background(), records("a")[0])
			errs <- err
		}()
		synctest.Wait()
		cancel()
		err := <-errs
		requireKind(t, mslog.Unavailable, err)
		_, err = b.Add(context.Background(), records("b")[0])
		require.ErrorIs(t, err, mslog.ErrStopped)
	})
}

func TestAppenderReportsUnknownAfterGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &msstandin.Platform{}
		h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost {
				defer p.Retain("s", 1)
			}
			p.ServeHTTP(w, r)
		})
		p.SetFault(msstandin.Fault{Mode: msstandin.FaultLoseAnswers})
		a := &mslog.Appender{Client: newHandlerClient(h)}
		_, err := a.AppendOnce(context.Background(), "s", 0, records("a")[0])
		requireKind(t, mslog.Unknown, err)
		require.ErrorIs(t, err, mslog.ErrGap)
	})
}

func TestTailReportsExpirationAndContinues(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &msstandin.Platform{RetainRecords: 2}
		c := newHandlerClient(p)
		_, err := c.Append(context.Background(), "s", records("a", "b", "c"))
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		var expirations []uint64
		var got []mslog.Record
		tail := &mslog.Tail{Client: c, Stream: "s", Apply: func(r mslog.Record) { got = append(got, r) }}
		tail.Expired = func(first uint64) {
			expirations = append(expirations, first)
			tail.From = first
		}
		go tail.Run(ctx)
		synctest.Wait()
		require.Equal(t, []uint64{1}, expirations)
		require.Equal(t, []string{"b", "c"}, idsOf(got))
	})
}

// TestTailReportsProofPerLongPoll checks that each proof carries the start
// time of its read, and that no proof is reported while the platform does not
// respond.
func TestTailReportsProofPerLongPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &msstandin.Platform{}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		began := time.Now()
		var mu sync.Mutex
		var starts []time.Duration
		failures := 0
		proofs := func() []time.Duration {
			synctest.Wait()
			mu.Lock()
			defer mu.Unlock()
			return slices.Clone(starts)
		}
		tail := &mslog.Tail{Client: newHandlerClient(p), Stream: "s"}
		tail.Proof = func(start time.Time, _ uint64) {
			mu.Lock()
			defer mu.Unlock()
			starts = append(starts, start.Sub(began))
		}
		tail.Failed = func(error) {
			mu.Lock()
			defer mu.Unlock()
			failures++
		}
		go tail.Run(ctx)
		time.Sleep(1700 * time.Millisecond)
		require.Equal(t, []time.Duration{0, 500 * time.Millisecond, time.Second}, proofs())
		p.SetFault(msstandin.Fault{Mode: msstandin.FaultHang})
		time.Sleep(10 * time.Second)
		require.Len(t, proofs(), 3)
		mu.Lock()
		require.Positive(t, failures)
		mu.Unlock()
		p.SetFault(msstandin.Fault{})
		time.Sleep(5 * time.Second)
		require.Greater(t, len(proofs()), 3)
	})
}
