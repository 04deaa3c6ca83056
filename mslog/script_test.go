package mslog_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"marjoramspan/mslog"
	"marjoramspan/msstandin"
)

// faultSequence is a platform that applies the next fault of modes to each
// append. The last fault repeats. Reads see no faults.
type faultSequence struct {
	msstandin.Platform
	modes []msstandin.FaultMode
	// afterAppend is called after each append.
	afterAppend func()
}

func (s *faultSequence) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		s.Platform.ServeHTTP(w, r)
		return
	}
	s.SetFault(msstandin.Fault{Mode: s.modes[0]})
	if len(s.modes) > 1 {
		s.modes = s.modes[1:]
	}
	defer func() {
		s.SetFault(msstandin.Fault{})
		if s.afterAppend != nil {
			s.afterAppend()
		}
	}()
	s.Platform.ServeHTTP(w, r)
}

func modes(ms ...msstandin.FaultMode) []msstandin.FaultMode {
	return ms
}

// runBatcher runs f with a batcher on s in a synctest bubble.
func runBatcher(t *testing.T, s *faultSequence, b *mslog.Batcher, f func(t *testing.T, stop func())) {
	synctest.Test(t, func(t *testing.T) {
		b.Client, b.Stream = newHandlerClient(s), "s"
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		go b.Run(ctx)
		f(t, stop)
	})
}

// startAdd calls Add with the given timeout in a goroutine, waits until all
// goroutines of the bubble are blocked, and returns a channel that receives
// its error.
func startAdd(b *mslog.Batcher, id string, timeout time.Duration) <-chan error {
	errs := make(chan error, 1)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	go func() {
		defer cancel()
		_, err := b.Add(ctx, records(id)[0])
		errs <- err
	}()
	synctest.Wait()
	return errs
}

// TestAppenderSearchesAfterEachLostResponse covers lost responses of appends
// that did or did not take effect. The stream is longer than one page, so the
// search must read several pages.
func TestAppenderSearchesAfterEachLostResponse(t *testing.T) {
	for name, ms := range map[string][]msstandin.FaultMode{
		"second took effect": modes(msstandin.FaultHang, msstandin.FaultLoseAnswers, msstandin.FaultNone),
		"first took effect":  modes(msstandin.FaultLoseAnswers, msstandin.FaultNone),
		"none took effect":   modes(msstandin.FaultHang, msstandin.FaultDown, msstandin.FaultNone),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &faultSequence{modes: modes(msstandin.FaultNone)}
				c := newHandlerClient(s)
				var before []mslog.Record
				for i := range msstandin.DefaultPage + 10 {
					before = append(before, records(fmt.Sprint(i))...)
				}
				_, err := c.Append(context.Background(), "s", before)
				require.NoError(t, err)
				s.modes = ms
				a := &mslog.Appender{Client: c}
				r, err := a.AppendOnce(context.Background(), "s", 0, records("a")[0])
				require.NoError(t, err)
				require.Equal(t, uint64(len(before)), r.Offset)
				require.False(t, r.Time.IsZero(), "the record must be read back")
				require.Len(t, s.Records("s"), len(before)+1)
			})
		})
	}
}

func TestBatcherPreservesAddOrderDuringOutage(t *testing.T) {
	s := &faultSequence{modes: modes(msstandin.FaultDown, msstandin.FaultHang, msstandin.FaultNone)}
	b := &mslog.Batcher{MaxBatch: 1}
	runBatcher(t, s, b, func(t *testing.T, _ func()) {
		first := startAdd(b, "a", testTimeout)
		second := startAdd(b, "b", testTimeout)
		third := startAdd(b, "c", testTimeout)
		require.NoError(t, <-first)
		require.NoError(t, <-second)
		require.NoError(t, <-third)
		require.Equal(t, []string{"a", "b", "c"}, idsOf(s.Records("s")))
	})
}

// TestBatcherDropsRecordsOfCanceledAdds checks that a record whose Add was
// canceled is not appended later, neither from a batch that got no response
// nor from the queue.
func TestBatcherDropsRecordsOfCanceledAdds(t *testing.T) {
	s := &faultSequence{modes: modes(msstandin.FaultHang, msstandin.FaultNone)}
	b := &mslog.Batcher{MaxBatch: 1}
	runBatcher(t, s, b, func(t *testing.T, _ func()) {
		sent := startAdd(b, "a", time.Second)
		queued := startAdd(b, "b", time.Second)
		active := startAdd(b, "c", testTimeout)
		requireKind(t, mslog.Unknown, <-sent)
		requireKind(t, mslog.Unavailable, <-queued)
		require.NoError(t, <-active)
		require.Equal(t, []string{"c"}, idsOf(s.Records("s")))
	})
}

func TestBatcherReportsUnknownAfterGap(t *testing.T) {
	s := &faultSequence{modes: modes(msstandin.FaultLoseAnswers, msstandin.FaultNone)}
	s.afterAppend = func() { s.Retain("s", 1) }
	b := &mslog.Batcher{}
	runBatcher(t, s, b, func(t *testing.T, _ func()) {
		err := <-startAdd(b, "a", testTimeout)
		requireKind(t, mslog.Unknown, err)
		require.ErrorIs(t, err, mslog.ErrGap)
	})
}

func TestStoppedBatcherReportsUnknownForUnresolvedAppend(t *testing.T) {
	s := &faultSequence{modes: modes(msstandin.FaultHang, msstandin.FaultDown)}
	b := &mslog.Batcher{}
	runBatcher(t, s, b, func(t *testing.T, stop func()) {
		unresolved := startAdd(b, "a", testTimeout)
		time.Sleep(3 * mslog.DefaultTimeout)
		queued := startAdd(b, "b", testTimeout)
		stop()
		requireKind(t, mslog.Unknown, <-unresolved)
		requireKind(t, mslog.Unavailable, <-queued)
	})
}

func TestBatcherWaitsMaxDelayForMoreRecords(t *testing.T) {
	s := &faultSequence{modes: modes(msstandin.FaultNone)}
	appends := 0
	s.afterAppend = func() { appends++ }
	b := &mslog.Batcher{MaxDelay: 10 * time.Millisecond}
	runBatcher(t, s, b, func(t *testing.T, _ func()) {
		// The first append also waits for the read of the stream's end, so
		// only the later Adds test the delay.
		require.NoError(t, <-startAdd(b, "a", testTimeout))
		first := startAdd(b, "b", testTimeout)
		time.Sleep(5 * time.Millisecond)
		second := startAdd(b, "c", testTimeout)
		require.NoError(t, <-first)
		require.NoError(t, <-second)
		require.Equal(t, 2, appends)
	})
}

// TestAppenderReturnsFirstOfDuplicates guards against returning the later of
// two copies of a record: an append that timed out takes effect between the
// search and the next attempt.
func TestAppenderReturnsFirstOfDuplicates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		delays := make(chan time.Duration, 2)
		delays <- mslog.DefaultTimeout * 3 / 2
		delays <- mslog.DefaultTimeout * 3 / 4
		p := &msstandin.Platform{}
		h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost {
				time.Sleep(<-delays)
			}
			p.ServeHTTP(w, r)
		})
		a := &mslog.Appender{Client: newHandlerClient(h)}
		r, err := a.AppendOnce(context.Background(), "s", 0, records("a")[0])
		require.NoError(t, err)
		require.Equal(t, []string{"a", "a"}, idsOf(p.Records("s")))
		require.Equal(t, uint64(0), r.Offset)
	})
}

func TestReadTimeoutExcludesLongPollWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newHandlerClient(&msstandin.Platform{})
		_, err := c.Read(context.Background(), mslog.Query{Stream: "s", Wait: 2 * mslog.DefaultTimeout})
		require.NoError(t, err)
	})
}
