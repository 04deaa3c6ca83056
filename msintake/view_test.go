package msintake

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"marjoramspan/msclock"
	"marjoramspan/msjournal"
	"marjoramspan/msstandin"
)

// rollbackSlack is how much later than a request that a site has allowed another one may be
// handled by an older site.
const rollbackSlack = 250 * time.Millisecond

// An entry refused requests for a new queue by a site that was up to a second old, while it held
// others until a read brought the queue.
func TestNoQueueIsRefusedByAViewOlderThanTheSlack(t *testing.T) {
	for age := rollbackSlack / 2; age <= 4*rollbackSlack; age += 10 * time.Millisecond {
		var log msstandin.JobLog
		clock := msclock.NewFake(time.Unix(1000, 0))
		in := newIntake(t, &log, clock)
		followQueues(in, &log)
		require.NoError(t, in.Operators.Sync(t.Context()))
		clock.Advance(age)
		log.Put("op", "new", []byte("{}"))
		_, err := in.Authorize(t.Context(), "h", "/new/1", "")
		require.NoError(t, err, "by a view %v old", age)
	}
}

// A site came into force after a request was matched with the one before it, and the refusal was
// taken for one by the newer site.
func TestRefusalIsNotDatedByANewerSite(t *testing.T) {
	var log msstandin.JobLog
	clock := msclock.NewFake(time.Unix(1000, 0))
	in := newIntake(t, &log, clock)
	followQueues(in, &log)
	require.NoError(t, in.Operators.Sync(t.Context()))
	clock.Advance(10 * rollbackSlack)
	log.Put("op", "new", []byte("{}"))
	in.SiteCurrent = func() time.Time {
		require.NoError(t, in.Operators.Sync(t.Context()))
		return in.Operators.CurrentAsOf()
	}
	_, err := in.Authorize(t.Context(), "h", "/new/1", "")
	require.NoError(t, err)
}

// A request that waited for a read while the process stood still was answered by the site that
// the read brought, after later ones had been refused by the older site.
func TestRequestThatWaitedThroughAStallIsNotAnsweredByTheNewSite(t *testing.T) {
	var log msstandin.JobLog
	clock := msclock.NewFake(time.Unix(1000, 0))
	in := newIntake(t, &log, clock)
	followQueues(in, &log)
	require.NoError(t, in.Operators.Sync(t.Context()))
	clock.Advance(10 * rollbackSlack)
	log.Put("op", "new", []byte("{}"))
	read := in.Operators.Log.Read
	in.Operators.Log.Read = func(ctx context.Context, stream string, from int64, wait time.Duration) (msjournal.Batch, error) {
		clock.Advance(800 * time.Millisecond)
		return read(ctx, stream, from, wait)
	}
	_, err := in.Authorize(t.Context(), "h", "/new/1", "")
	require.Equal(t, NotReady, kindOf(t, err))
	in.Operators.Log.Read = read
	_, err = in.Authorize(t.Context(), "h", "/new/1", "")
	require.NoError(t, err)
}

// An entry whose reads of the operators' records were answered, but never in time, accepted
// requests by a site that had been replaced for longer than a change may take.
func TestNoRequestIsAcceptedByASiteThatMayBeReplaced(t *testing.T) {
	const siteLimit = 2 * time.Second
	var log msstandin.JobLog
	clock := msclock.NewFake(time.Unix(1000, 0))
	in := newIntake(t, &log, clock)
	followQueues(in, &log)
	log.Put("op", "dropped", []byte("{}"))
	require.NoError(t, in.Operators.Sync(t.Context()))
	authorize := func() error {
		_, err := in.Authorize(t.Context(), "h", "/dropped/1", "")
		return err
	}
	read := in.Operators.Log.Read
	answersBegin := false
	in.Operators.Log.Read = func(ctx context.Context, _ string, _ int64, _ time.Duration) (msjournal.Batch, error) {
		if answersBegin {
			msjournal.ReportProgress(ctx, 0, 1<<20)
		}
		return msjournal.Batch{}, &msjournal.Error{Kind: msjournal.Unknown, Op: "read"}
	}
	clock.Advance(2 * siteLimit)
	require.Error(t, in.Operators.Sync(t.Context()))
	require.NoError(t, authorize(), "the log is away")
	failing := in.Operators.Log.Read
	in.Operators.Log.Read = read
	require.NoError(t, in.Operators.Sync(t.Context()))
	in.Operators.Log.Read = failing
	log.Put("op", "other", []byte("{}"))
	answersBegin = true
	clock.Advance(siteLimit)
	require.Error(t, in.Operators.Sync(t.Context()))
	require.NoError(t, authorize(), "a change may take as long")
	clock.Advance(time.Millisecond)
	require.Error(t, in.Operators.Sync(t.Context()))
	require.Equal(t, NotReady, kindOf(t, authorize()))
	answersBegin = false
	clock.Advance(2 * siteLimit)
	require.Equal(t, NotReady, kindOf(t, authorize()), "nothing was read since")
	clock.Advance(siteLimit)
	in.Operators.Log.Read = read
	require.Equal(t, NoQueue, kindOf(t, authorize()), "the operators' records are read first")
}

// Requests that had waited unseen while the process stood still were read in any order. The
// first was refused by a site, and one that was sent before it allowed by the next site.
func TestRequestsOfOneStallAreDecidedByOneVersion(t *testing.T) {
	var log msstandin.JobLog
	clock := msclock.NewFake(time.Unix(1000, 0))
	in := newIntake(t, &log, clock)
	followQueues(in, &log)
	stalls := msclock.StallDetector{Clock: clock, Min: rollbackSlack / 2}
	in.LastStall = stalls.Last
	authorize := func(path string) error {
		_, err := in.Authorize(t.Context(), "h", path, "")
		return err
	}
	require.NoError(t, in.Operators.Sync(t.Context()))
	require.NoError(t, authorize("/open/1"))
	clock.Advance(3 * rollbackSlack)
	require.Equal(t, NoQueue, kindOf(t, authorize("/new/1")))
	log.Put("op", "new", []byte("{}"))
	clock.Advance(time.Millisecond)
	require.NoError(t, in.Operators.Sync(t.Context()))
	require.Equal(t, NotReady, kindOf(t, authorize("/new/1")))
	require.Equal(t, NotReady, kindOf(t, authorize("/open/1")))
	clock.Advance(rollbackSlack / 2)
	require.NoError(t, authorize("/new/1"))
}

// Callers with bad keys or paths must not make an entry read the log more often than it bears.
func TestRefusalsReadTheLogAtABoundedRate(t *testing.T) {
	for _, readsPerSecond := range []int{0, 5} {
		synctest.Test(t, func(t *testing.T) {
			var log msstandin.JobLog
			log.SetFault(msstandin.LogFault{Delay: 4 * time.Millisecond, ReadsPerSecond: readsPerSecond})
			in := newIntake(t, &log, msclock.System{})
			followQueues(in, &log)
			const slowed = 400 * time.Millisecond
			in.ReadPause = func() time.Duration { return slowed }
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			var refused, unconfirmed atomic.Int64
			var wg sync.WaitGroup
			for range 20 {
				wg.Go(func() {
					for msclock.Sleep(ctx, in.Clock, time.Millisecond) == nil {
						_, err := in.Authorize(ctx, "h", "/none/1", "")
						if kindOf(t, err) == NoQueue {
							refused.Add(1)
						} else {
							unconfirmed.Add(1)
						}
					}
				})
			}
			wg.Wait()
			if readsPerSecond == 0 {
				require.Positive(t, refused.Load())
				require.LessOrEqual(t, log.Reads(), int(10*time.Second/in.maxRefusalAge())+1)
				require.LessOrEqual(t, unconfirmed.Load(), int64(20), "those that were under way at the end")
				return
			}
			// The log refuses every read.
			require.LessOrEqual(t, log.RefusedReads(), int(10*time.Second/slowed)+1)
			require.Positive(t, unconfirmed.Load())
		})
	}
}
