package msjournal_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"marjoramspan/msclock"
	"marjoramspan/msjournal"
	"marjoramspan/msstandin"
)

const eventually = 20 * time.Second

// view is a fold that keeps the newest value of each key.
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

func follow(t *testing.T, log *msstandin.JobLog) (*msjournal.Follower, *view) {
	v := &view{}
	f := &msjournal.Follower{Log: log.Log(), Clock: msclock.System{}, Logger: zap.NewNop(), Stream: "s", Apply: v.apply, Reset: v.reset}
	run(t, f.Run)
	return f, v
}

func run(t *testing.T, part func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = part(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
}

func TestFollowerReadsNewestThenTheTail(t *testing.T) {
	var log msstandin.JobLog
	for i := range 1200 {
		log.Put("s", fmt.Sprint("k", i), []byte("old"))
	}
	log.Compact("s")
	f, v := follow(t, &log)
	require.NoError(t, f.Sync(t.Context()))
	require.Equal(t, "old", v.get("k1199"))
	log.Put("s", "k3", []byte("new"))
	require.NoError(t, f.Sync(t.Context()))
	require.Equal(t, "new", v.get("k3"))
}

// Records that expire before they are read are made up for by the newest of each
// key; dropped keys are gone.
func TestFollowerAfterItsRecordsExpired(t *testing.T) {
	log := msstandin.JobLog{Keep: 5}
	log.Put("s", "gone", []byte("x"))
	f, v := follow(t, &log)
	require.NoError(t, f.Sync(t.Context()))
	log.SetFault(msstandin.LogFault{Down: true})
	log.Put("s", "gone", nil)
	for i := range 50 {
		log.Put("s", fmt.Sprint("k", i), []byte("v"))
	}
	log.SetFault(msstandin.LogFault{})
	require.Eventually(t, func() bool { return v.get("k49") == "v" && v.get("gone") == "" }, eventually, time.Millisecond)
	require.Equal(t, "v", v.get("k0"))
}

// Sync never returns on what was read before it was called.
func TestSyncHasAllThatWasAppendedBefore(t *testing.T) {
	var log msstandin.JobLog
	f, v := follow(t, &log)
	for i := range 200 {
		want := fmt.Sprint(i)
		log.Put("s", "k", []byte(want))
		require.NoError(t, f.Sync(t.Context()))
		require.Equal(t, want, v.get("k"))
	}
}

func TestSyncFailsWhileTheLogIsAway(t *testing.T) {
	var log msstandin.JobLog
	f, _ := follow(t, &log)
	require.NoError(t, f.Sync(t.Context()))
	log.SetFault(msstandin.LogFault{Down: true})
	require.Error(t, f.Sync(t.Context()))
}

// Callers that ask at the same time share one read, so that they don't crowd a
// narrow link with the same records.
func TestSyncsShareTheirReads(t *testing.T) {
	var log msstandin.JobLog
	plain := log.Log()
	var mu sync.Mutex
	reading, most := 0, 0
	release := make(chan struct{})
	slow := plain
	slow.Read = func(ctx context.Context, stream string, from int64, wait time.Duration) (msjournal.Batch, error) {
		if wait == 0 {
			mu.Lock()
			reading++
			most = max(most, reading)
			mu.Unlock()
			<-release
			defer func() {
				mu.Lock()
				defer mu.Unlock()
				reading--
			}()
		}
		return plain.Read(ctx, stream, from, wait)
	}
	v := &view{}
	f := &msjournal.Follower{Log: slow, Clock: msclock.System{}, Logger: zap.NewNop(), Stream: "s", Apply: v.apply, Reset: v.reset}
	run(t, f.Run)
	require.Eventually(t, func() bool { return !f.Current().IsZero() }, eventually, time.Millisecond)
	const callers = 100
	errs := make(chan error, callers)
	for range callers {
		go func() { errs <- f.Sync(t.Context()) }()
	}
	require.Eventually(t, func() bool { mu.Lock(); defer mu.Unlock(); return reading > 0 }, eventually, time.Millisecond)
	// Time for the others to read too, if they do.
	time.Sleep(50 * time.Millisecond)
	close(release)
	for range callers {
		require.NoError(t, <-errs)
	}
	require.Equal(t, 1, most)
}

func writer(t *testing.T, log *msstandin.JobLog) *msjournal.Writer {
	w := &msjournal.Writer{Log: log.Log(), Clock: msclock.System{}, Logger: zap.NewNop(), Stream: "s", Producer: "p"}
	run(t, w.Run)
	return w
}

// Each record is stored once, though every third answer is lost.
func TestWriterStoresOnceThoughAnswersAreLost(t *testing.T) {
	var log msstandin.JobLog
	log.SetFault(msstandin.LogFault{LoseEvery: 3})
	w := writer(t, &log)
	var wg sync.WaitGroup
	for i := range 40 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			ctx, cancel := context.WithTimeout(context.Background(), eventually)
			defer cancel()
			require.NoError(t, w.Append(ctx, []msjournal.Record{{Key: fmt.Sprint("k", i), Value: []byte("v")}}))
		}()
	}
	wg.Wait()
	n := map[string]int{}
	for _, r := range log.Records("s") {
		n[r.Key]++
	}
	require.Len(t, n, 40)
	for k, c := range n {
		require.Equal(t, 1, c, k)
	}
}

// What a log rejects each time is not stored, and the writer says so. What may be
// stored is never called rejected.
func TestWriterSaysWhatIsTrue(t *testing.T) {
	var log msstandin.JobLog
	w := writer(t, &log)
	log.SetFault(msstandin.LogFault{Down: true})
	err := w.Append(t.Context(), []msjournal.Record{{Key: "a", Value: []byte("v")}})
	require.Equal(t, msjournal.Rejected, msjournal.KindOf(err))
	log.SetFault(msstandin.LogFault{LoseEvery: 1})
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	err = w.Append(ctx, []msjournal.Record{{Key: "b", Value: []byte("v")}})
	require.Equal(t, msjournal.Unknown, msjournal.KindOf(err))
	log.SetFault(msstandin.LogFault{})
	require.Empty(t, keyed(log.Records("s"), "a"))
	require.Len(t, keyed(log.Records("s"), "b"), 1)
}

func keyed(records []msjournal.Record, key string) []msjournal.Record {
	var out []msjournal.Record
	for _, r := range records {
		if r.Key == key {
			out = append(out, r)
		}
	}
	return out
}
