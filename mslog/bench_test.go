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

// concurrentAdds is the approximate number of goroutines that call Add
// concurrently.
const concurrentAdds = 64

// BenchmarkBatcherAdd measures concurrent calls of Add over the loopback
// interface.
func BenchmarkBatcherAdd(b *testing.B) {
	p := &msstandin.Platform{}
	c := newTestClient(b, p)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	batcher := &mslog.Batcher{Client: c, Stream: "s"}
	go batcher.Run(ctx)
	var n atomic.Int64
	b.SetParallelism(max(1, concurrentAdds/runtime.GOMAXPROCS(0)))
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			_, err := batcher.Add(ctx, records(strconv.FormatInt(n.Add(1), 10))[0])
			require.NoError(b, err)
		}
	})
}
