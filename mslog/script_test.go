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

// script is a platform whose appends meet one fault after another. The last
// one stays. Reads meet none.
type script struct {
	msstandin.Platform
	modes []msstandin.FaultMode
	// after is called after each append.
	after func()
}

func (s *script) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
		if s.after != nil {
			s.after()
		}
	}()
	s.Platform.ServeHTTP(w, r)
}

func modes(ms ...msstandin.FaultMode) []msstandin.FaultMode {
	return ms
}

// bubble runs f with a batcher on s in a bubble of its own time.
func bubble(t *testing.T, s *script, b *mslog.Batcher, f func(t *testing.T, stop func())) {
	synctest.Test(t, func(t *testing.T) {
		b.Client, b.Stream = directClient(s), "s"
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		go b.Run(ctx)
		f(t, stop)
	})
}

// add starts an Add that waits up to patience, and returns where its error
// arrives.
func add(b *mslog.Batcher, id string, patience time.Duration) <-chan error {
	errs := make(chan error, 1)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	go func() {
		defer cancel()
		_, err := b.Add(ctx, records(id)[0])
		errs <- err
	}()
	synctest.Wait()
	return errs
}

// TestAppenderLooksBehindEachLostAnswer loses two tries without effect and one
// with it, in a stream of more than one page.
func TestAppenderLooksBehindEachLostAnswer(t *testing.T) {
	for name, ms := range map[string][]msstandin.FaultMode{
		"second took effect": modes(msstandin.FaultHang, msstandin.FaultLoseAnswers, msstandin.FaultNone),
		"first took effect":  modes(msstandin.FaultLoseAnswers, msstandin.FaultNone),
		"none took effect":   modes(msstandin.FaultHang, msstandin.FaultDown, msstandin.FaultNone),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &script{modes: modes(msstandin.FaultNone)}
				c := directClient(s)
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
				require.False(t, r.Time.IsZero(), "read back")
				require.Len(t, s.Records("s"), len(before)+1)
			})
		})
	}
}

func TestBatcherKeepsTheOrderOfAddsThroughAnOutage(t *testing.T) {
	s := &script{modes: modes(msstandin.FaultDown, msstandin.FaultHang, msstandin.FaultNone)}
	b := &mslog.Batcher{MaxBatch: 1}
	bubble(t, s, b, func(t *testing.T, _ func()) {
		first := add(b, "a", hung)
		second := add(b, "b", hung)
		third := add(b, "c", hung)
		require.NoError(t, <-first)
		require.NoError(t, <-second)
		require.NoError(t, <-third)
		require.Equal(t, []string{"a", "b", "c"}, idsOf(s.Records("s")))
	})
}

// TestBatcherForgetsWhoHasLeft checks that a record whose Add has left is not
// appended later, neither from a lost batch nor from the queue.
func TestBatcherForgetsWhoHasLeft(t *testing.T) {
	s := &script{modes: modes(msstandin.FaultHang, msstandin.FaultNone)}
	b := &mslog.Batcher{MaxBatch: 1}
	bubble(t, s, b, func(t *testing.T, _ func()) {
		sent := add(b, "a", time.Second)
		queued := add(b, "b", time.Second)
		stays := add(b, "c", hung)
		requireKind(t, mslog.Unknown, <-sent)
		requireKind(t, mslog.Unavailable, <-queued)
		require.NoError(t, <-stays)
		require.Equal(t, []string{"c"}, idsOf(s.Records("s")))
	})
}

func TestBatcherWillNotGuessPastAGap(t *testing.T) {
	s := &script{modes: modes(msstandin.FaultLoseAnswers, msstandin.FaultNone)}
	s.after = func() { s.Retain("s", 1) }
	b := &mslog.Batcher{}
	bubble(t, s, b, func(t *testing.T, _ func()) {
		err := <-add(b, "a", hung)
		requireKind(t, mslog.Unknown, err)
		require.ErrorIs(t, err, mslog.ErrGap)
	})
}

func TestBatcherStopsInDoubt(t *testing.T) {
	s := &script{modes: modes(msstandin.FaultHang, msstandin.FaultDown)}
	b := &mslog.Batcher{}
	bubble(t, s, b, func(t *testing.T, stop func()) {
		doubted := add(b, "a", hung)
		time.Sleep(3 * mslog.DefaultTimeout)
		sure := add(b, "b", hung)
		stop()
		requireKind(t, mslog.Unknown, <-doubted)
		requireKind(t, mslog.Unavailable, <-sure)
	})
}

func TestBatcherWaitsForMore(t *testing.T) {
	s := &script{modes: modes(msstandin.FaultNone)}
	appends := 0
	s.after = func() { appends++ }
	b := &mslog.Batcher{MaxDelay: 10 * time.Millisecond}
	bubble(t, s, b, func(t *testing.T, _ func()) {
		// The first append waits once more, for the end of the stream.
		require.NoError(t, <-add(b, "a", hung))
		first := add(b, "b", hung)
		time.Sleep(5 * time.Millisecond)
		second := add(b, "c", hung)
		require.NoError(t, <-first)
		require.NoError(t, <-second)
		require.Equal(t, 2, appends)
	})
}

// TestAppenderReturnsTheEarliest lets a try that was given up take effect
// between the look and the next try.
func TestAppenderReturnsTheEarliest(t *testing.T) {
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
		a := &mslog.Appender{Client: directClient(h)}
		r, err := a.AppendOnce(context.Background(), "s", 0, records("a")[0])
		require.NoError(t, err)
		require.Equal(t, []string{"a", "a"}, idsOf(p.Records("s")))
		require.Equal(t, uint64(0), r.Offset)
	})
}

func TestWaitComesOnTopOfTheTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := directClient(&msstandin.Platform{})
		_, err := c.Read(context.Background(), mslog.Query{Stream: "s", Wait: 2 * mslog.DefaultTimeout})
		require.NoError(t, err)
	})
}
