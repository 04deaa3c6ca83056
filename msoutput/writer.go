// Package msoutput writes log lines without blocking the code that logs. Lines
// are kept in a bounded buffer, because the output may be read slowly. Lines that
// exceed the buffer or the rate limit are dropped, and their number is logged.
package msoutput

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"

	"marjoramspan/msclock"
)

const (
	// maxPendingBytes is the size of the buffer.
	maxPendingBytes = 256 << 10
	// bytesPerSecond and burstBytes configure the token bucket that limits the
	// output. One second of a busy scheduler's decision log fits in.
	bytesPerSecond = 96 << 10
	burstBytes     = 512 << 10
	// maxWriteBytes is the largest write that a pipe takes atomically. Log collectors
	// split larger writes.
	maxWriteBytes = 4 << 10
	// flushDelay is the longest time that a line stays in the buffer before it is
	// flushed.
	flushDelay = 250 * time.Millisecond
)

// Writer is an io.Writer that buffers lines and writes them to Out in the
// background, so that Write never blocks on Out. Out and Clock must be set before
// use.
type Writer struct {
	Out   io.Writer
	Clock msclock.Clock

	mu             sync.Mutex
	pending        []byte
	dropped        int
	tokens         float64
	lastRefill     time.Time
	flushScheduled bool
	syncMu         sync.Mutex
}

// Write buffers a line, or drops and counts it if the buffer or the rate limit is
// exceeded. It always reports success.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.Clock.Now()
	if w.lastRefill.IsZero() {
		w.tokens = burstBytes
	} else {
		w.tokens = min(burstBytes, w.tokens+now.Sub(w.lastRefill).Seconds()*bytesPerSecond)
	}
	w.lastRefill = now
	if len(w.pending)+len(line) > maxPendingBytes || w.tokens < float64(len(line)) {
		w.dropped++
		return len(line), nil
	}
	w.tokens -= float64(len(line))
	w.pending = append(w.pending, line...)
	if !w.flushScheduled {
		w.flushScheduled = true
		go w.flushLater()
	}
	return len(line), nil
}

func (w *Writer) flushLater() {
	<-w.Clock.After(flushDelay)
	w.mu.Lock()
	w.flushScheduled = false
	w.mu.Unlock()
	_ = w.Sync()
}

// Sync writes the buffered lines to Out, followed by the number of dropped lines,
// if any.
func (w *Writer) Sync() error {
	w.syncMu.Lock()
	defer w.syncMu.Unlock()
	w.mu.Lock()
	b, n := w.pending, w.dropped
	w.pending, w.dropped = nil, 0
	w.mu.Unlock()
	if n > 0 {
		b = fmt.Appendf(b, "{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"count\":%d}\n", n)
	}
	for len(b) > 0 {
		c := nextChunk(b)
		if _, err := w.Out.Write(c); err != nil {
			return err
		}
		b = b[len(c):]
	}
	return nil
}

// nextChunk returns as many whole lines from the start of b as fit into
// maxWriteBytes, or the first line if it is longer than that.
func nextChunk(b []byte) []byte {
	if len(b) <= maxWriteBytes {
		return b
	}
	if i := bytes.LastIndexByte(b[:maxWriteBytes], '\n'); i >= 0 {
		return b[:i+1]
	}
	if i := bytes.IndexByte(b, '\n'); i >= 0 {
		return b[:i+1]
	}
	return b
}
