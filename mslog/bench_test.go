package mslog_test

import (
	"context"
	"runtime"
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"marjoramspan/mslog"
	"marjoramspan/msstandin"
)

// callers is about how many goroutines add at a time.
const callers = 64

// BenchmarkBatcherAdd adds records from many goroutines over loopback.
func BenchmarkBatcherAdd(b *testing.B) {
	p := &msstandin.Platform{}
	c := newPlatform(b, p)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	batcher := &mslog.Batcher{Client: c, Stream: "s"}
	go batcher.Run(ctx)
	var n atomic.Int64
	b.SetParallelism(max(1, callers/runtime.GOMAXPROCS(0)))
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			_, err := batcher.Add(ctx, records(strconv.FormatInt(n.Add(1), 10))[0])
			require.NoError(b, err)
		}
	})
}
