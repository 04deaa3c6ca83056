package msjournal_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"marjoramspan/msclock"
	"marjoramspan/msjournal"
	"marjoramspan/msstandin"
)

// narrowLink carries the answers of a log to one VM, packet by packet in the order in which they
// were sent.
type narrowLink struct {
	log            msjournal.Log
	bytesPerSecond float64

	mu     sync.Mutex
	freeAt time.Time
	// carried has the bytes of the answers by stream.
	carried map[string]int
}

// packet is the largest part of an answer that others don't come between.
const packet = 16 << 10

func (l *narrowLink) calls() msjournal.Log {
	return msjournal.Log{
		Limits: l.log.Limits, Append: l.log.Append,
		Read: func(ctx context.Context, stream string, from int64, wait time.Duration) (msjournal.Batch, error) {
			b, err := l.log.Read(ctx, stream, from, wait)
			if err == nil {
				err = l.carry(ctx, stream, b.Records)
			}
			return b, err
		},
		Newest: func(ctx context.Context, stream, after string) (msjournal.Page, error) {
			p, err := l.log.Newest(ctx, stream, after)
			if err == nil {
				err = l.carry(ctx, stream, p.Records)
			}
			return p, err
		},
	}
}

// carry returns once an answer with the records has arrived.
func (l *narrowLink) carry(ctx context.Context, stream string, records []msjournal.Record) error {
	total := packet / 64
	for _, r := range records {
		total += len(r.Key) + len(r.Value)
	}
	for received := 0; received < total; {
		n := min(packet, total-received)
		l.mu.Lock()
		now := time.Now()
		if l.freeAt.Before(now) {
			l.freeAt = now
		}
		l.freeAt = l.freeAt.Add(time.Duration(float64(n) / l.bytesPerSecond * float64(time.Second)))
		arrival := l.freeAt.Sub(now)
		if l.carried == nil {
			l.carried = map[string]int{}
		}
		l.carried[stream] += n
		l.mu.Unlock()
		if msclock.Sleep(ctx, msclock.System{}, arrival) != nil {
			return &msjournal.Error{Kind: msjournal.Unknown, Op: "read", Err: ctx.Err()}
		}
		if received == 0 {
			msjournal.ReportProgress(ctx, 0, int64(total))
		}
		received += n
		msjournal.ReportProgress(ctx, int64(received), int64(total))
	}
	return nil
}

const (
	// configApply is within what time a configuration has to be in force.
	configApply = 2 * time.Second
	// megabit is in bytes per second.
	megabit = 1e6 / 8
)

// follow runs a follower of a stream until ctx is done.
func follow(ctx context.Context, log msjournal.Log, stream string) *msjournal.Follower {
	f := &msjournal.Follower{
		Log: log, Clock: msclock.System{}, Logger: zap.NewNop(), Stream: stream,
		Apply: func(msjournal.Record, int64) {}, Reset: func() {},
	}
	go func() { _ = f.Run(ctx) }()
	return f
}

// Two large configurations were stored while the log turned an entry away. Six copies of each of
// its reads then filled its link until their time was up, and it never had the configuration.
func TestLargeConfigurationsAreReadOverANarrowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settle(t)
		var log msstandin.JobLog
		link := &narrowLink{log: log.Log(), bytesPerSecond: 10 * megabit}
		calls := repeated(link.calls())
		log.Put("op", "config", make([]byte, 40<<10))
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := follow(ctx, calls, "op")
		follow(ctx, calls, "jobs")
		go func() {
			for i := 0; msclock.Sleep(ctx, msclock.System{}, 50*time.Millisecond) == nil; i++ {
				log.Put("jobs", fmt.Sprint(i), make([]byte, 4<<10))
			}
		}()
		time.Sleep(5 * time.Second)
		log.SetFault(msstandin.LogFault{Down: true})
		time.Sleep(2 * time.Second)
		for range 2 {
			log.Put("op", "config", make([]byte, 240<<10))
		}
		log.SetFault(msstandin.LogFault{})
		returned := time.Now()
		time.Sleep(configApply)
		require.EqualValues(t, 3, f.Next(), "carried %v bytes in %v", link.carried, time.Since(returned))
	})
}

// After all entries were killed, each loads its streams at once. A load that didn't end within
// a fixed time began again with its first byte, also when its answer was still arriving.
func TestLoadThatIsArrivingIsNotGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settle(t)
		var log msstandin.JobLog
		link := &narrowLink{log: log.Log(), bytesPerSecond: 10 * megabit}
		calls := repeated(link.calls())
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var all []*msjournal.Follower
		const streams, size = 5, 600 << 10
		for i := range streams {
			stream := fmt.Sprint("stream-", i)
			log.Put(stream, "key", make([]byte, size))
			all = append(all, follow(ctx, calls, stream))
		}
		// Time to carry each stream once, and for what has to wait for the link.
		time.Sleep(time.Duration(streams*size/link.bytesPerSecond*float64(time.Second)) + time.Second)
		for _, f := range all {
			require.False(t, f.CurrentAsOf().IsZero(), "carried %v bytes", link.carried)
		}
	})
}

// A connection that dies while an answer arrives must not hold up a stream until a long read
// would have ended.
func TestAnswerThatStopsArrivingIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settle(t)
		var log msstandin.JobLog
		calls := log.Log()
		read := calls.Read
		dead := true
		calls.Read = func(ctx context.Context, stream string, from int64, wait time.Duration) (msjournal.Batch, error) {
			b, err := read(ctx, stream, from, wait)
			if dead && len(b.Records) > 0 {
				dead = false
				msjournal.ReportProgress(ctx, 1, 1<<20)
				<-ctx.Done()
				return msjournal.Batch{}, &msjournal.Error{Kind: msjournal.Unknown, Op: "read", Err: context.Cause(ctx)}
			}
			return b, err
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := &msjournal.Follower{
			Log: calls, Clock: msclock.System{}, Logger: zap.NewNop(), Stream: "op",
			Apply: func(msjournal.Record, int64) {}, Reset: func() {}, Wait: func() time.Duration { return 25 * time.Second },
		}
		go func() { _ = f.Run(ctx) }()
		time.Sleep(time.Second)
		log.Put("op", "config", nil)
		time.Sleep(configApply)
		require.EqualValues(t, 1, f.Next())
	})
}
