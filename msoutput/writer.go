// Package msoutput writes log lines without ever holding up who logs. Lines wait
// in a bounded buffer for a reader that may be slow; what exceeds the buffer or
// the rate is dropped and counted, and the count is written as a line of its own.
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
	// maxPending bounds the lines that wait, in bytes.
	maxPending = 256 << 10
	// rate and burst bound what is written, in bytes a second and bytes. A second
	// of a busy scheduler's decisions fits in.
	rate  = 96 << 10
	burst = 512 << 10
	// maxWrite bounds one write, in bytes: what a pipe takes in one piece. Collectors
	// cut longer ones.
	maxWrite = 4 << 10
	// flushEvery is the longest that a line waits.
	flushEvery = 250 * time.Millisecond
)

// Writer is an io.Writer that never blocks. Out and Clock are set before use.
type Writer struct {
	Out   io.Writer
	Clock msclock.Clock

	mu      sync.Mutex
	pending []byte
	dropped int
	tokens  float64
	filled  time.Time
	timer   bool
	busy    sync.Mutex
}

// Write takes a line, or drops it.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.Clock.Now()
	if w.filled.IsZero() {
		w.tokens = burst
	} else {
		w.tokens = min(burst, w.tokens+now.Sub(w.filled).Seconds()*rate)
	}
	w.filled = now
	if len(w.pending)+len(line) > maxPending || w.tokens < float64(len(line)) {
		w.dropped++
		return len(line), nil
	}
	w.tokens -= float64(len(line))
	w.pending = append(w.pending, line...)
	if !w.timer {
		w.timer = true
		go w.flushLater()
	}
	return len(line), nil
}

func (w *Writer) flushLater() {
	<-w.Clock.After(flushEvery)
	w.mu.Lock()
	w.timer = false
	w.mu.Unlock()
	_ = w.Sync()
}

// Sync writes what waits.
func (w *Writer) Sync() error {
	w.busy.Lock()
	defer w.busy.Unlock()
	w.mu.Lock()
	b, n := w.pending, w.dropped
	w.pending, w.dropped = nil, 0
	w.mu.Unlock()
	if n > 0 {
		b = fmt.Appendf(b, "{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"count\":%d}\n", n)
	}
	for len(b) > 0 {
		c := chunk(b)
		if _, err := w.Out.Write(c); err != nil {
			return err
		}
		b = b[len(c):]
	}
	return nil
}

// chunk returns the first whole lines of b that fit into maxWrite, or one longer line.
func chunk(b []byte) []byte {
	if len(b) <= maxWrite {
		return b
	}
	if i := bytes.LastIndexByte(b[:maxWrite], '\n'); i >= 0 {
		return b[:i+1]
	}
	if i := bytes.IndexByte(b, '\n'); i >= 0 {
		return b[:i+1]
	}
	return b
}
