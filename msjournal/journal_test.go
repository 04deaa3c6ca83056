package msjournal_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"marjoramspan/msclock"
	"marjoramspan/msjournal"
	"marjoramspan/msstandin"
)

const waitTimeout = 20 * time.Second

// view holds the newest value of each key, as a Follower applies them.
type view struct {
	mu     sync.Mutex
	values map[string]string
}

func (v *view) apply(r msjournal.Record, _ int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(r.Value) == 0 {
		delete(v.values, r.Key)
		return
	}
	v.values[r.Key] = string(r.Value)
}

func (v *view) reset() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.values = map[string]string{}
}

func (v *view) get(key string) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.values[key]
}

func startFollower(t *testing.T, log *msstandin.JobLog) (*msjournal.Follower, *view) {
	v := &view{}
	f := &msjournal.Follower{Log: log.Log(), Clock: msclock.System{}, Logger: zap.NewNop(), Stream: "s", Apply: v.apply, Reset: v.reset}
	runInBackground(t, f.Run)
	return f, v
}

func runInBackground(t *testing.T, part func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = part(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
}

func TestFollowerLoadsNewestThenReadsTail(t *testing.T) {
	var log msstandin.JobLog
	for i := range 1200 {
		log.Put("s", fmt.Sprint("k", i), []byte("old"))
	}
	log.Compact("s")
	f, v := startFollower(t, &log)
	require.NoError(t, f.Sync(t.Context()))
	require.Equal(t, "old", v.get("k1199"))
	log.Put("s", "k3", []byte("new"))
	require.NoError(t, f.Sync(t.Context()))
	require.Equal(t, "new", v.get("k3"))
}

// If records expire before they are read, the Follower reloads the newest record of
// each key. Keys that were deleted in the meantime must not survive the reload.
func TestFollowerReloadsAfterRecordsExpire(t *testing.T) {
	log := msstandin.JobLog{Keep: 5}
	log.Put("s", "gone", []byte("x"))
	f, v := startFollower(t, &log)
	require.NoError(t, f.Sync(t.Context()))
	log.SetFault(msstandin.LogFault{Down: true})
	log.Put("s", "gone", nil)
	for i := range 50 {
		log.Put("s", fmt.Sprint("k", i), []byte("v"))
	}
	log.SetFault(msstandin.LogFault{})
	require.Eventually(t, func() bool { return v.get("k49") == "v" && v.get("gone") == "" }, waitTimeout, time.Millisecond)
	require.Equal(t, "v", v.get("k0"))
}

// Sync must not return on the basis of a read that was sent before the call.
// Otherwise it would miss a record appended just before.
func TestSyncAppliesAllEarlierAppends(t *testing.T) {
	var log msstandin.JobLog
	f, v := startFollower(t, &log)
	for i := range 200 {
		want := fmt.Sprint(i)
		log.Put("s", "k", []byte(want))
		require.NoError(t, f.Sync(t.Context()))
		require.Equal(t, want, v.get("k"))
	}
}

func TestSyncFailsWhileLogIsDown(t *testing.T) {
	var log msstandin.JobLog
	f, _ := startFollower(t, &log)
	require.NoError(t, f.Sync(t.Context()))
	log.SetFault(msstandin.LogFault{Down: true})
	require.Error(t, f.Sync(t.Context()))
}

// Concurrent calls of Sync share one read. Separate reads would transfer the same
// records many times over a link with little bandwidth.
func TestConcurrentSyncsShareReads(t *testing.T) {
	var log msstandin.JobLog
	plain := log.Log()
	var mu sync.Mutex
	activeReads, maxActiveReads := 0, 0
	release := make(chan struct{})
	slow := plain
	slow.Read = func(ctx context.Context, stream string, from int64, wait time.Duration) (msjournal.Batch, error) {
		if wait == 0 {
			mu.Lock()
			activeReads++
			maxActiveReads = max(maxActiveReads, activeReads)
			mu.Unlock()
			<-release
			defer func() {
				mu.Lock()
				defer mu.Unlock()
				activeReads--
			}()
		}
		return plain.Read(ctx, stream, from, wait)
	}
	v := &view{}
	f := &msjournal.Follower{Log: slow, Clock: msclock.System{}, Logger: zap.NewNop(), Stream: "s", Apply: v.apply, Reset: v.reset}
	runInBackground(t, f.Run)
	require.Eventually(t, func() bool { return !f.CurrentAsOf().IsZero() }, waitTimeout, time.Millisecond)
	const callers = 100
	errs := make(chan error, callers)
	for range callers {
		go func() { errs <- f.Sync(t.Context()) }()
	}
	require.Eventually(t, func() bool { mu.Lock(); defer mu.Unlock(); return activeReads > 0 }, waitTimeout, time.Millisecond)
	// Gives the other callers time to start reads of their own.
	time.Sleep(50 * time.Millisecond)
	close(release)
	for range callers {
		require.NoError(t, <-errs)
	}
	require.Equal(t, 1, maxActiveReads)
}

func startWriter(t *testing.T, log *msstandin.JobLog) *msjournal.Writer {
	w := &msjournal.Writer{Log: log.Log(), Clock: msclock.System{}, Logger: zap.NewNop(), Stream: "s", Producer: "p"}
	runInBackground(t, w.Run)
	return w
}

// Each record is stored exactly once even if every third response is lost.
func TestWriterStoresOnceThoughAnswersAreLost(t *testing.T) {
	var log msstandin.JobLog
	log.SetFault(msstandin.LogFault{LoseEvery: 3})
	w := startWriter(t, &log)
	var wg sync.WaitGroup
	for i := range 40 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
			defer cancel()
			require.NoError(t, w.Append(ctx, []msjournal.Record{{Key: fmt.Sprint("k", i), Value: []byte("v")}}))
		}()
	}
	wg.Wait()
	counts := map[string]int{}
	for _, r := range log.Records("s") {
		counts[r.Key]++
	}
	require.Len(t, counts, 40)
	for k, c := range counts {
		require.Equal(t, 1, c, k)
	}
}

// Append returns Rejected only for records that are not stored: a batch that the log
// rejects on every attempt is Rejected, one whose responses are lost is Unknown.
func TestWriterSaysWhatIsTrue(t *testing.T) {
	var log msstandin.JobLog
	w := startWriter(t, &log)
	log.SetFault(msstandin.LogFault{Down: true})
	err := w.Append(t.Context(), []msjournal.Record{{Key: "a", Value: []byte("v")}})
	require.Equal(t, msjournal.Rejected, msjournal.KindOf(err))
	log.SetFault(msstandin.LogFault{LoseEvery: 1})
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	err = w.Append(ctx, []msjournal.Record{{Key: "b", Value: []byte("v")}})
	require.Equal(t, msjournal.Unknown, msjournal.KindOf(err))
	log.SetFault(msstandin.LogFault{})
	require.Empty(t, withKey(log.Records("s"), "a"))
	require.Len(t, withKey(log.Records("s"), "b"), 1)
}

// The log answers nothing for some seconds, as in an outage. Requests that come in behind
// a batch without an outcome can't be stored in time, and are rejected at once and not
// when their callers give up. They must not be stored later.
func TestWriterRejectsAtOnceBehindAStuckBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settle(t)
		var log msstandin.JobLog
		log.SetFault(msstandin.LogFault{Delay: logAnswerTime})
		w := &msjournal.Writer{Log: repeated(log.Log()), Clock: msclock.System{}, Logger: zap.NewNop(), Stream: "s", Producer: "p"}
		runInBackground(t, w.Run)
		put := func(key string) (time.Duration, error) {
			ctx, cancel := context.WithTimeout(t.Context(), 2500*time.Millisecond)
			defer cancel()
			begun := time.Now()
			err := w.Append(ctx, []msjournal.Record{{Key: key, Value: []byte("v")}})
			return time.Since(begun), err
		}
		for i := range 20 {
			_, err := put(fmt.Sprint("before", i))
			require.NoError(t, err)
		}
		log.SetFault(msstandin.LogFault{Silent: true})
		go func() { _, _ = put("first") }()
		time.Sleep(1500 * time.Millisecond)
		for i := range 20 {
			took, err := put(fmt.Sprint("behind", i))
			require.Equal(t, msjournal.Rejected, msjournal.KindOf(err))
			require.Zero(t, took)
			time.Sleep(100 * time.Millisecond)
		}
		log.SetFault(msstandin.LogFault{Delay: logAnswerTime})
		time.Sleep(5 * time.Second)
		_, err := put("after")
		require.NoError(t, err)
		for i := range 20 {
			require.Empty(t, withKey(log.Records("s"), fmt.Sprint("behind", i)))
		}
		require.LessOrEqual(t, len(withKey(log.Records("s"), "first")), 1)
	})
}

// The log turns the entry away. The first batch is retried for a moment; later ones are
// rejected with the log's answer, so that callers can go to another entry at once.
func TestWriterRejectsAtOnceWhileTheLogRejects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settle(t)
		var log msstandin.JobLog
		log.SetFault(msstandin.LogFault{Delay: logAnswerTime, Down: true})
		w := &msjournal.Writer{Log: repeated(log.Log()), Clock: msclock.System{}, Logger: zap.NewNop(), Stream: "s", Producer: "p"}
		runInBackground(t, w.Run)
		for i := range 10 {
			begun := time.Now()
			err := w.Append(t.Context(), []msjournal.Record{{Key: "k", Value: []byte("v")}})
			require.Equal(t, msjournal.Rejected, msjournal.KindOf(err))
			if i > 0 {
				require.Equal(t, logAnswerTime, time.Since(begun))
			}
		}
		log.SetFault(msstandin.LogFault{Delay: logAnswerTime})
		require.NoError(t, w.Append(t.Context(), []msjournal.Record{{Key: "k", Value: []byte("v")}}))
	})
}

func withKey(records []msjournal.Record, key string) []msjournal.Record {
	var out []msjournal.Record
	for _, r := range records {
		if r.Key == key {
			out = append(out, r)
		}
	}
	return out
}

// An entry that begins to lead must not go on waiting 25 s for the answer to a read that it
// has sent before, on a connection that may be dead, nor for the end of a long pause.
func TestInterruptBeginsANewRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settle(t)
		var log msstandin.JobLog
		v := &view{}
		var wait, pause atomic.Int64
		wait.Store(int64(25 * time.Second))
		f := &msjournal.Follower{
			Log: log.Log(), Clock: msclock.System{}, Logger: zap.NewNop(), Stream: "s", Apply: v.apply, Reset: v.reset,
			Wait: func() time.Duration { return time.Duration(wait.Load()) }, Pause: func() time.Duration { return time.Duration(pause.Load()) },
		}
		runInBackground(t, f.Run)
		time.Sleep(60 * time.Second)
		require.LessOrEqual(t, log.Reads(), 3, "an idle stream costs a call in 25 s")
		before := log.Reads()
		wait.Store(int64(time.Second))
		f.Interrupt()
		time.Sleep(10 * time.Second)
		require.InDelta(t, 10, log.Reads()-before, 1)
		pause.Store(int64(time.Hour))
		time.Sleep(10 * time.Second)
		before = log.Reads()
		pause.Store(0)
		f.Interrupt()
		time.Sleep(10 * time.Second)
		require.InDelta(t, 10, log.Reads()-before, 1)
	})
}

// Two reads find that the records at their offset have expired, and the answer of one comes
// after the stream was loaded for the other. A second load would empty the state once more,
// after Sync has said that it is complete: a new leader would miss jobs in it.
func TestLateExpiredAnswerLoadsNothing(t *testing.T) {
	var log msstandin.JobLog
	var resets atomic.Int64
	l := log.Log()
	late := make(chan struct{})
	waiting := make(chan struct{}, 1)
	plain := l.Read
	var hold atomic.Bool
	l.Read = func(ctx context.Context, stream string, from int64, wait time.Duration) (msjournal.Batch, error) {
		switch {
		case !hold.Load():
			return plain(ctx, stream, from, wait)
		case wait > 0 && from == 1:
			waiting <- struct{}{}
			<-late
			return msjournal.Batch{}, &msjournal.Error{Kind: msjournal.Expired, Op: "read"}
		case from == 1:
			return msjournal.Batch{}, &msjournal.Error{Kind: msjournal.Expired, Op: "read"}
		}
		return plain(ctx, stream, from, wait)
	}
	log.Put("s", "a", []byte("1"))
	v := &view{}
	f := &msjournal.Follower{
		Log: l, Clock: msclock.System{}, Logger: zap.NewNop(), Stream: "s", Apply: v.apply,
		Reset: func() { resets.Add(1); v.reset() },
	}
	require.NoError(t, f.Sync(t.Context()))
	hold.Store(true)
	runInBackground(t, f.Run)
	<-waiting
	log.Put("s", "b", []byte("2"))
	require.NoError(t, f.Sync(t.Context()))
	require.Equal(t, int64(2), resets.Load())
	close(late)
	log.Put("s", "c", []byte("3"))
	require.Eventually(t, func() bool { return v.get("c") == "3" }, waitTimeout, time.Millisecond)
	require.Equal(t, int64(2), resets.Load())
}

// A read that was sent shortly before the log returned from an outage, and that never gets an
// answer, delayed the next one until a configuration had to be in force.
func TestFollowerReadsWithinTwoSecondsOfTheLogsReturn(t *testing.T) {
	for outage := 100 * time.Millisecond; outage <= 6*time.Second; outage += 100 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			var log msstandin.JobLog
			v := &view{}
			f := &msjournal.Follower{Log: log.Log(), Clock: msclock.System{}, Logger: zap.NewNop(), Stream: "s", Apply: v.apply, Reset: v.reset}
			var regained atomic.Int64
			f.Regained = func() { regained.Add(1) }
			runInBackground(t, f.Run)
			time.Sleep(10 * time.Second)
			log.SetFault(msstandin.LogFault{Silent: true})
			time.Sleep(outage)
			log.SetFault(msstandin.LogFault{})
			log.Put("s", "k", []byte("new"))
			time.Sleep(2 * time.Second)
			require.Equal(t, "new", v.get("k"), "after an outage of %s", outage)
			require.LessOrEqual(t, regained.Load(), int64(1))
		})
	}
}

// Each refusal for the number of reads brought two reads, one of them without a wait, and long
// reads of other streams were begun anew, so that a log with too many readers got even more reads.
func TestRefusedReadsBringNoMoreReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log msstandin.JobLog
		l := log.Log()
		answered := l.Read
		var reads, regained atomic.Int64
		l.Read = func(ctx context.Context, stream string, from int64, wait time.Duration) (msjournal.Batch, error) {
			if reads.Add(1)%2 == 0 {
				return msjournal.Batch{}, &msjournal.Error{Kind: msjournal.Rejected, Op: "read", TooMany: true}
			}
			return answered(ctx, stream, from, wait)
		}
		v := &view{}
		f := &msjournal.Follower{Log: l, Clock: msclock.System{}, Logger: zap.NewNop(), Stream: "s", Apply: v.apply, Reset: v.reset}
		f.Regained = func() { regained.Add(1) }
		runInBackground(t, f.Run)
		const seconds = 10
		time.Sleep(seconds * time.Second)
		require.LessOrEqual(t, reads.Load(), int64(2*(seconds+1)), "an idle stream is read once a second")
		require.Zero(t, regained.Load(), "the log was not away")
	})
}

// A record that the log refuses for good failed the calls of the same batch, and was repeated.
func TestRefusedRecordFailsItsOwnCallOnly(t *testing.T) {
	log := msstandin.JobLog{Refuse: func(_ string, r msjournal.Record) bool { return r.Key == "bad" }}
	log.SetFault(msstandin.LogFault{Delay: 20 * time.Millisecond})
	w := startWriter(t, &log)
	errs := make([]error, 12)
	var wg sync.WaitGroup
	for i := range errs {
		key := fmt.Sprint("k", i)
		if i%4 == 1 {
			key = "bad"
		}
		wg.Go(func() { errs[i] = w.Append(t.Context(), []msjournal.Record{{Key: key, Value: []byte("v")}}) })
	}
	wg.Wait()
	for i, err := range errs {
		if i%4 == 1 {
			require.Equal(t, msjournal.Invalid, msjournal.KindOf(err), i)
		} else {
			require.NoError(t, err, i)
		}
	}
	require.Len(t, log.Records("s"), 9)
	require.False(t, w.Failing(), "the log takes records")
}

// Calls together larger than what the log takes in one append must not be put in one batch, and
// one that is too large by itself reaches the log never.
func TestBatchesKeepTheLimitsOfTheLog(t *testing.T) {
	log := msstandin.JobLog{Limits: msjournal.Limits{RecordBytes: 300, RequestBytes: 1000}}
	w := startWriter(t, &log)
	var wg sync.WaitGroup
	for i := range 40 {
		wg.Go(func() {
			require.NoError(t, w.Append(t.Context(), []msjournal.Record{{Key: fmt.Sprint("k", i), Value: make([]byte, 290)}}))
		})
	}
	wg.Wait()
	calls := log.Calls()
	err := w.Append(t.Context(), []msjournal.Record{{Key: "k", Value: make([]byte, 299)}})
	require.Equal(t, msjournal.Invalid, msjournal.KindOf(err))
	require.ErrorContains(t, err, "record k has 301 bytes, at most 300 are allowed")
	require.Equal(t, calls, log.Calls())
}

// An entry that led for a second time began with the workers of its first term, and read all that
// they had written in between, record by record.
func TestFollowerThatRunsAgainLoadsTheNewest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log msstandin.JobLog
		log.Put("s", "gone", []byte("x"))
		v := &view{}
		f := &msjournal.Follower{Log: log.Log(), Clock: msclock.System{}, Logger: zap.NewNop(), Stream: "s", Apply: v.apply, Reset: v.reset}
		run := func() {
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan error)
			go func() { done <- f.Run(ctx) }()
			synctest.Wait()
			cancel()
			require.NoError(t, <-done)
		}
		run()
		require.Equal(t, "x", v.get("gone"))
		log.Put("s", "gone", nil)
		log.Put("s", "k", []byte("old"))
		log.Put("s", "k", []byte("new"))
		time.Sleep(time.Minute)
		log.SetFault(msstandin.LogFault{Down: true})
		run()
		require.Empty(t, v.get("gone"), "nothing is known until the stream is loaded")
		log.SetFault(msstandin.LogFault{})
		reads := log.Reads()
		run()
		require.Equal(t, "new", v.get("k"))
		require.LessOrEqual(t, log.Reads(), reads+1, "no more than the wait for the next record")
	})
}
