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

// direct calls a handler without a network, so that a test can run in a bubble
// with its own time.
type direct struct {
	h http.Handler
}

var errLost = errors.New("connection closed without an answer")

func (d direct) RoundTrip(r *http.Request) (*http.Response, error) {
	if tr := httptrace.ContextClientTrace(r.Context()); tr != nil {
		tr.GotConn(httptrace.GotConnInfo{})
	}
	w := httptest.NewRecorder()
	done := make(chan bool, 1)
	go func() {
		defer func() { done <- recover() == nil }()
		d.h.ServeHTTP(w, r)
	}()
	select {
	case ok := <-done:
		if !ok {
			return nil, errLost
		}
		return w.Result(), nil
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}

func directClient(h http.Handler) *mslog.Client {
	return &mslog.Client{Address: "platform", HTTP: &http.Client{Transport: direct{h}}}
}

// phase is a fault that lasts for some time.
type phase struct {
	fault msstandin.Fault
	lasts time.Duration
}

// late is a delay that passes the client's timeout.
const late = mslog.DefaultTimeout + time.Second

func drawPhases(t *rapid.T) []phase {
	modes := rapid.SampledFrom([]msstandin.FaultMode{
		msstandin.FaultNone, msstandin.FaultDown, msstandin.FaultHang,
		msstandin.FaultSlow, msstandin.FaultLoseAnswers, msstandin.FaultAppendDown,
	})
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) phase {
		return phase{
			fault: msstandin.Fault{
				Mode:  modes.Draw(t, "mode"),
				Delay: rapid.SampledFrom([]time.Duration{time.Millisecond, time.Second, late}).Draw(t, "delay"),
				Rate:  rapid.SampledFrom([]float64{0.3, 0.7, 1}).Draw(t, "rate"),
				Seed:  rapid.Uint64().Draw(t, "seed"),
			},
			lasts: time.Duration(rapid.IntRange(1, 8000).Draw(t, "ms")) * time.Millisecond,
		}
	}), 1, 5).Draw(t, "phases")
}

// told is what a writer was told about one record.
type told struct {
	id  string
	rec mslog.Record
	err error
}

// history is what came of a run under faults.
type history struct {
	told   [][]told
	stream []mslog.Record
	tail   []mslog.Record
	proofs int
	// wrong counts proofs of an end that the tail had not applied up to.
	wrong int
}

const (
	writers   = 4
	perWriter = 6
)

// run lets writers append one record after another through add while the
// platform goes through phases, and a tail follow the stream.
func run(phases []phase, newAdd func(ctx context.Context, c *mslog.Client) func(mslog.Record) (mslog.Record, error)) history {
	h := history{told: make([][]told, writers)}
	p := &msstandin.Platform{}
	c := directClient(p)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	add := newAdd(ctx, c)
	tail := &mslog.Tail{Client: c, Stream: "s", Max: 3}
	tail.Proof = func(_ time.Time, end uint64) {
		h.proofs++
		if end != uint64(len(h.tail)) {
			h.wrong++
		}
	}
	tail.Apply = func(r mslog.Record) { h.tail = append(h.tail, r) }
	go tail.Run(ctx)
	var wg sync.WaitGroup
	for w := range writers {
		wg.Go(func() {
			for i := range perWriter {
				r := records(fmt.Sprintf("%d-%d", w, i))[0]
				rec, err := add(r)
				h.told[w] = append(h.told[w], told{id: r.ID, rec: rec, err: err})
				time.Sleep(300 * time.Millisecond)
			}
		})
	}
	for _, f := range phases {
		p.SetFault(f.fault)
		time.Sleep(f.lasts)
	}
	p.SetFault(msstandin.Fault{})
	wg.Wait()
	// What is late takes effect, and the tail reads it.
	time.Sleep(2 * late)
	cancel()
	synctest.Wait()
	h.stream = p.Records("s")
	return h
}

// check holds the writers' and the reader's view against the stream.
func check(t *rapid.T, h history, phases []phase) {
	require.Equal(t, idsOf(h.stream), idsOf(h.tail), "the tail is the stream")
	require.Positive(t, h.proofs)
	require.Zero(t, h.wrong)
	count := map[string]int{}
	for i, r := range h.stream {
		require.Equal(t, uint64(i), h.tail[i].Offset)
		count[r.ID]++
	}
	mayDouble := false
	for _, f := range phases {
		mayDouble = mayDouble || f.fault.Mode == msstandin.FaultSlow && f.fault.Delay == late
	}
	for _, ts := range h.told {
		next := uint64(0)
		for _, o := range ts {
			n := count[o.id]
			require.True(t, n <= 1 || mayDouble, "%s is in the stream %d times", o.id, n)
			if o.err != nil {
				require.True(t, n == 0 || mslog.KindOf(o.err) == mslog.Unknown, "%s took effect: %v", o.id, o.err)
				continue
			}
			require.Positive(t, n, "%s was acknowledged and is not in the stream", o.id)
			require.Equal(t, o.id, h.stream[o.rec.Offset].ID)
			require.GreaterOrEqual(t, o.rec.Offset, next, "one writer's records keep their order")
			next = o.rec.Offset + 1
		}
	}
}

func TestAppenderUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		phases := drawPhases(rt)
		var h history
		synctest.Test(t, func(*testing.T) {
			h = run(phases, func(ctx context.Context, c *mslog.Client) func(mslog.Record) (mslog.Record, error) {
				a := &mslog.Appender{Client: c, Jitter: func() float64 { return 0.5 }}
				return func(r mslog.Record) (mslog.Record, error) { return a.AppendOnce(ctx, "s", 0, r) }
			})
		})
		check(rt, h, phases)
	})
}

func TestBatcherUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		phases := drawPhases(rt)
		patience := time.Duration(rapid.IntRange(100, 20000).Draw(rt, "patience-ms")) * time.Millisecond
		var h history
		synctest.Test(t, func(*testing.T) {
			h = run(phases, func(ctx context.Context, c *mslog.Client) func(mslog.Record) (mslog.Record, error) {
				b := &mslog.Batcher{Client: c, Stream: "s", MaxBatch: 3, MaxDelay: 5 * time.Millisecond}
				go b.Run(ctx)
				return func(r mslog.Record) (mslog.Record, error) {
					ctx, cancel := context.WithTimeout(ctx, patience)
					defer cancel()
					return b.Add(ctx, r)
				}
			})
		})
		check(rt, h, phases)
	})
}

// TestBatcherCommitsTogether counts the appends that many callers cost.
func TestBatcherCommitsTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		var appends, open, most atomic.Int64
		p := &msstandin.Platform{}
		c := directClient(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost {
				appends.Add(1)
				most.Store(max(most.Load(), open.Add(1)))
				time.Sleep(10 * time.Millisecond)
				open.Add(-1)
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
		require.Equal(t, int64(1), most.Load(), "one batch in flight")
		require.Len(t, p.Records("s"), 200)
	})
}

func TestStoppedBatcherAnswersEveryAdd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &msstandin.Platform{}
		p.SetFault(msstandin.Fault{Mode: msstandin.FaultDown})
		ctx, cancel := context.WithCancel(context.Background())
		b := &mslog.Batcher{Client: directClient(p), Stream: "s"}
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

func TestAppenderWillNotGuessPastAGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &msstandin.Platform{}
		h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost {
				defer p.Retain("s", 1)
			}
			p.ServeHTTP(w, r)
		})
		p.SetFault(msstandin.Fault{Mode: msstandin.FaultLoseAnswers})
		a := &mslog.Appender{Client: directClient(h)}
		_, err := a.AppendOnce(context.Background(), "s", 0, records("a")[0])
		requireKind(t, mslog.Unknown, err)
		require.ErrorIs(t, err, mslog.ErrGap)
	})
}

func TestTailSaysWhatExpiredAndGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &msstandin.Platform{RetainRecords: 2}
		c := directClient(p)
		_, err := c.Append(context.Background(), "s", records("a", "b", "c"))
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		var lost []uint64
		var got []mslog.Record
		tail := &mslog.Tail{Client: c, Stream: "s", Apply: func(r mslog.Record) { got = append(got, r) }}
		tail.Expired = func(first uint64) {
			lost = append(lost, first)
			tail.From = first
		}
		go tail.Run(ctx)
		synctest.Wait()
		require.Equal(t, []uint64{1}, lost)
		require.Equal(t, []string{"b", "c"}, idsOf(got))
	})
}

// TestTailProvesEachSecond checks that proofs name the start of their read and
// stop while the platform is down.
func TestTailProvesEachSecond(t *testing.T) {
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
		tail := &mslog.Tail{Client: directClient(p), Stream: "s"}
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
