package msjournal_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"marjoramspan/msclock"
	"marjoramspan/msjournal"
	"marjoramspan/msstandin"
)

// logAnswerTime is how long the log takes to answer in these tests.
const logAnswerTime = 4 * time.Millisecond

// settle lets the copies of calls end before the bubble does.
func settle(t *testing.T) {
	t.Cleanup(func() { time.Sleep(time.Minute) })
}

func repeated(log msjournal.Log) msjournal.Log {
	return (&msjournal.Repeater{Log: log, Clock: msclock.System{}}).Repeated()
}

// The log loses every third answer. A lost answer costs tens of milliseconds, not the
// timeout of a call.
func TestLostAnswerCostsTensOfMilliseconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settle(t)
		var log msstandin.JobLog
		log.SetFault(msstandin.LogFault{Delay: logAnswerTime})
		w := &msjournal.Writer{Log: repeated(log.Log()), Clock: msclock.System{}, Logger: zap.NewNop(), Stream: "s", Producer: "p"}
		runInBackground(t, w.Run)
		put := func(i int) time.Duration {
			begun := time.Now()
			require.NoError(t, w.Append(t.Context(), []msjournal.Record{{Key: fmt.Sprint("k", i), Value: []byte("v")}}))
			return time.Since(begun)
		}
		for i := range 20 {
			put(i)
		}
		log.SetFault(msstandin.LogFault{Delay: logAnswerTime, LoseEvery: 3})
		for i := 20; i < 80; i++ {
			require.Less(t, put(i), 100*time.Millisecond)
		}
		require.Len(t, log.Records("s"), 80)
	})
}

// A leader whose renewals lose their answers, and a reader whose reads do: records appear
// within tens of milliseconds after the first loss.
func TestLostReadsCostTensOfMilliseconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settle(t)
		var log msstandin.JobLog
		log.SetFault(msstandin.LogFault{Delay: logAnswerTime})
		v := &view{}
		f := &msjournal.Follower{Log: repeated(log.Log()), Clock: msclock.System{}, Logger: zap.NewNop(), Stream: "s", Apply: v.apply, Reset: v.reset}
		runInBackground(t, f.Run)
		time.Sleep(20 * time.Second)
		log.SetFault(msstandin.LogFault{Delay: logAnswerTime, LoseReadsEvery: 2})
		time.Sleep(4 * time.Second)
		for i := range 40 {
			want := fmt.Sprint(i)
			log.Put("s", "k", []byte(want))
			time.Sleep(300 * time.Millisecond)
			require.Equal(t, want, v.get("k"))
		}
	})
}

// The log has lost answers and then answers nothing. A read that would wait for 25 s is sent
// with a wait of 150 ms, and its copies held their connections for 25 s all the same.
func TestShortenedReadFreesItsConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settle(t)
		var log msstandin.JobLog
		log.SetFault(msstandin.LogFault{Delay: logAnswerTime, LoseReadsEvery: 2})
		var open atomic.Int64
		l := log.Log()
		plain := l.Read
		l.Read = func(ctx context.Context, stream string, from int64, wait time.Duration) (msjournal.Batch, error) {
			open.Add(1)
			defer open.Add(-1)
			return plain(ctx, stream, from, wait)
		}
		read := repeated(l).Read
		for range 8 {
			_, err := read(t.Context(), "s", 0, 0)
			require.NoError(t, err)
			time.Sleep(100 * time.Millisecond)
		}
		log.SetFault(msstandin.LogFault{Silent: true})
		for range 4 {
			go func() {
				ctx, cancel := context.WithTimeout(t.Context(), 25700*time.Millisecond)
				defer cancel()
				_, err := read(ctx, "s", 0, 25*time.Second)
				require.Equal(t, msjournal.Unknown, msjournal.KindOf(err))
			}()
		}
		time.Sleep(time.Second)
		require.NotZero(t, open.Load())
		time.Sleep(time.Second)
		require.Zero(t, open.Load(), "calls that hold a connection")
	})
}

// In an outage, repeats of all open calls took the connections that first copies need.
func TestRepeatsInAnOutageAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settle(t)
		const calls = 12
		var log msstandin.JobLog
		log.SetFault(msstandin.LogFault{Silent: true})
		var open, most atomic.Int64
		l := log.Log()
		plain := l.Read
		l.Read = func(ctx context.Context, stream string, from int64, wait time.Duration) (msjournal.Batch, error) {
			most.Store(max(most.Load(), open.Add(1)))
			defer open.Add(-1)
			return plain(ctx, stream, from, wait)
		}
		read := repeated(l).Read
		runInBackground(t, func(ctx context.Context) error {
			var wg sync.WaitGroup
			for range calls {
				wg.Go(func() {
					for ctx.Err() == nil {
						rctx, cancel := context.WithTimeout(ctx, 1700*time.Millisecond)
						_, _ = read(rctx, "s", 0, 0)
						cancel()
					}
				})
			}
			wg.Wait()
			return nil
		})
		time.Sleep(10 * time.Second)
		require.Greater(t, most.Load(), int64(calls), "repeats are sent")
		require.LessOrEqual(t, most.Load(), int64(2*calls), "24 connections are enough for calls and repeats")
	})
}

// A log that is slow answers every call, so calls are repeated only until its pace is
// known; one that rejects calls gets no repeats at all.
func TestSlowOrRejectingLogGetsNoRepeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settle(t)
		var log msstandin.JobLog
		w := &msjournal.Writer{Log: repeated(log.Log()), Clock: msclock.System{}, Logger: zap.NewNop(), Stream: "s", Producer: "p"}
		runInBackground(t, w.Run)
		put := func(i int) error {
			return w.Append(t.Context(), []msjournal.Record{{Key: fmt.Sprint("k", i), Value: []byte("v")}})
		}
		log.SetFault(msstandin.LogFault{Delay: logAnswerTime})
		for i := range 64 {
			require.NoError(t, put(i))
		}
		log.SetFault(msstandin.LogFault{Delay: 240 * time.Millisecond})
		for i := range 8 {
			require.NoError(t, put(i))
		}
		time.Sleep(time.Second)
		before := log.Calls()
		for i := range 50 {
			require.NoError(t, put(i))
		}
		time.Sleep(time.Second)
		require.Equal(t, 50, log.Calls()-before)
		log.SetFault(msstandin.LogFault{Down: true})
		r := &countingLog{log: log.Log()}
		down := repeated(r.calls())
		_, err := down.Append(t.Context(), msjournal.AppendRequest{Stream: "s", Producer: "p", Epoch: 9})
		require.Equal(t, msjournal.Rejected, msjournal.KindOf(err))
		require.Equal(t, 1, r.n)
	})
}

// A contended stream answers late while another is quick, as for a leader that also stores
// progress. Its appends are repeated only until its own pace is known, as each repeat adds
// to the contention.
func TestContendedStreamGetsNoRepeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settle(t)
		var log msstandin.JobLog
		slow := log.Log()
		var appends atomic.Int64
		plain := slow.Append
		slow.Append = func(ctx context.Context, a msjournal.AppendRequest) (int64, error) {
			if a.Stream == "slow" {
				appends.Add(1)
				time.Sleep(160 * time.Millisecond)
			}
			return plain(ctx, a)
		}
		r := repeated(slow)
		put := func(stream string, i int64) {
			_, err := r.Append(t.Context(), msjournal.AppendRequest{Stream: stream, Producer: "p", Epoch: 1, Sequence: i, Records: []msjournal.Record{{Key: "k"}}})
			require.NoError(t, err)
		}
		for i := range int64(60) {
			for q := range int64(20) {
				put("quick", 20*i+q)
			}
			put("slow", i)
			if i == 10 {
				time.Sleep(time.Second)
				appends.Store(0)
			}
		}
		require.EqualValues(t, 49, appends.Load())
	})
}

// countingLog counts appends.
type countingLog struct {
	log msjournal.Log
	mu  sync.Mutex
	n   int
}

func (c *countingLog) calls() msjournal.Log {
	l := c.log
	l.Append = func(ctx context.Context, a msjournal.AppendRequest) (int64, error) {
		c.mu.Lock()
		c.n++
		c.mu.Unlock()
		return c.log.Append(ctx, a)
	}
	return l
}

// The faults of an append against scriptedLog.
const (
	answered = iota
	lostAfter
	lostBefore
	carriedOutLate
	answeredLate
	rejected
	faultKinds
)

var errScripted = errors.New("scripted fault")

// scriptedLog applies a fault to each append, in the order of their arrival.
type scriptedLog struct {
	log    msjournal.Log
	faults []int
	delays []time.Duration

	mu sync.Mutex
	n  int
}

func (s *scriptedLog) next() (int, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := s.n
	s.n++
	if i >= len(s.faults) {
		return answered, 0
	}
	return s.faults[i], s.delays[i]
}

func (s *scriptedLog) append(ctx context.Context, a msjournal.AppendRequest) (int64, error) {
	fault, d := s.next()
	lost := func() (int64, error) {
		<-ctx.Done()
		return 0, &msjournal.Error{Kind: msjournal.Unknown, Op: "append", Err: ctx.Err()}
	}
	time.Sleep(logAnswerTime)
	switch fault {
	case rejected:
		return 0, &msjournal.Error{Kind: msjournal.Rejected, Op: "append", Err: errScripted}
	case lostBefore:
		return lost()
	case carriedOutLate:
		go func() {
			time.Sleep(d)
			_, _ = s.log.Append(context.WithoutCancel(ctx), a)
		}()
		return lost()
	}
	off, err := s.log.Append(ctx, a)
	switch fault {
	case lostAfter:
		return lost()
	case answeredLate:
		if msclock.Sleep(ctx, msclock.System{}, d) != nil {
			return lost()
		}
	}
	return off, err
}

// Against a log that loses, delays and reorders calls, and carries some out seconds late,
// every record that is reported as stored is there once, and none that is reported as
// rejected is there at all.
func TestRepeatsStoreNothingTwice(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(rt, "faults")
		var faults []int
		var delays []time.Duration
		for range n {
			faults = append(faults, rapid.IntRange(0, faultKinds-1).Draw(rt, "fault"))
			delays = append(delays, time.Duration(rapid.IntRange(1, 3000).Draw(rt, "ms"))*time.Millisecond)
		}
		gaps := rapid.SliceOfN(rapid.IntRange(0, 400), 25, 25).Draw(rt, "gaps")
		var failures []string
		synctest.Test(t, func(t *testing.T) {
			settle(t)
			var log msstandin.JobLog
			l := log.Log()
			s := &scriptedLog{log: l, faults: faults, delays: delays}
			l.Append = s.append
			w := &msjournal.Writer{Log: repeated(l), Clock: msclock.System{}, Logger: zap.NewNop(), Stream: "s", Producer: "p"}
			runInBackground(t, w.Run)
			results := make([]error, len(gaps))
			var wg sync.WaitGroup
			for i, gap := range gaps {
				time.Sleep(time.Duration(gap) * time.Millisecond)
				wg.Add(1)
				go func() {
					defer wg.Done()
					ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
					defer cancel()
					results[i] = w.Append(ctx, []msjournal.Record{{Key: fmt.Sprint("k", i), Value: []byte("v")}})
				}()
			}
			wg.Wait()
			time.Sleep(10 * time.Second)
			counts := map[string]int{}
			for _, r := range log.Records("s") {
				counts[r.Key]++
			}
			for i, err := range results {
				got := counts[fmt.Sprint("k", i)]
				switch {
				case err == nil && got != 1, err != nil && got > 1, err != nil && msjournal.KindOf(err) == msjournal.Rejected && got != 0:
					failures = append(failures, fmt.Sprintf("record %d is stored %d times, reported as %v", i, got, err))
				}
			}
		})
		if len(failures) > 0 {
			rt.Fatalf("%v", failures)
		}
	})
}

// Conditional appends have no producer. A repeat that finds the end moved can't tell
// whether the first copy moved it, so the outcome is unknown, not a conflict.
func TestRepeatedConditionalAppendIsNoConflict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settle(t)
		var log msstandin.JobLog
		log.SetFault(msstandin.LogFault{LoseEvery: 1, Delay: logAnswerTime})
		at := int64(0)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := repeated(log.Log()).Append(ctx, msjournal.AppendRequest{Stream: "s", ExpectedEnd: &at, Records: []msjournal.Record{{Key: "k", Value: []byte("v")}}})
		require.Equal(t, msjournal.Unknown, msjournal.KindOf(err))
		require.Len(t, log.Records("s"), 1)
		at = 0
		log.SetFault(msstandin.LogFault{Delay: logAnswerTime})
		_, err = repeated(log.Log()).Append(ctx, msjournal.AppendRequest{Stream: "s", ExpectedEnd: &at, Records: []msjournal.Record{{Key: "k", Value: []byte("v")}}})
		require.Equal(t, msjournal.Conflict, msjournal.KindOf(err))
	})
}
