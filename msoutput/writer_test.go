package msoutput

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjoramspan/msclock"
)

// writeRecorder records each write separately.
type writeRecorder struct {
	writes [][]byte
}

func (r *writeRecorder) Write(b []byte) (int, error) {
	r.writes = append(r.writes, bytes.Clone(b))
	return len(b), nil
}

// Every write ends at the end of a line and exceeds maxWriteBytes only for a single
// longer line, so that a log collector that reads from a pipe does not split lines.
// No line is lost.
func TestWritesHoldWholeLinesWithinLimit(t *testing.T) {
	var out writeRecorder
	w := &Writer{Out: &out, Clock: msclock.System{}}
	var want strings.Builder
	for i := range 200 {
		line := fmt.Sprintf("{\"n\":%d,\"x\":%q}\n", i, strings.Repeat("x", i*3))
		if i == 100 {
			line = strings.Repeat("y", 2*maxWriteBytes) + "\n"
		}
		want.WriteString(line)
		_, err := w.Write([]byte(line))
		require.NoError(t, err)
	}
	require.NoError(t, w.Sync())
	var got []byte
	for _, b := range out.writes {
		require.Equal(t, byte('\n'), b[len(b)-1])
		if len(b) > maxWriteBytes {
			require.Equal(t, 1, bytes.Count(b, []byte("\n")), "only a single line may exceed maxWriteBytes")
		}
		got = append(got, b...)
	}
	require.Equal(t, want.String(), string(got))
}

// Lines that exceed the buffer are dropped, and a log line reports how many.
func TestDroppedLinesAreCounted(t *testing.T) {
	var out writeRecorder
	now := time.Unix(0, 0)
	w := &Writer{Out: &out, Clock: frozenClock{now}}
	line := []byte(strings.Repeat("x", 1023) + "\n")
	for range 300 {
		_, err := w.Write(line)
		require.NoError(t, err)
	}
	require.NoError(t, w.Sync())
	var got []byte
	for _, b := range out.writes {
		got = append(got, b...)
	}
	require.Contains(t, string(got), `"msg":"log lines dropped","count":44`)
	require.Equal(t, maxPendingBytes/len(line), bytes.Count(got, []byte("x\n")))
}

// frozenClock always returns the same time, and its timers never fire.
type frozenClock struct {
	now time.Time
}

func (c frozenClock) Now() time.Time { return c.now }

func (c frozenClock) After(time.Duration) <-chan time.Time { return make(chan time.Time) }
