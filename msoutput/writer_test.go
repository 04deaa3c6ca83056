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

// pieces keeps each write by itself.
type pieces struct {
	all [][]byte
}

func (p *pieces) Write(b []byte) (int, error) {
	p.all = append(p.all, bytes.Clone(b))
	return len(b), nil
}

// A collector that takes a pipe's piece at a time gets whole lines, and all of them.
func TestWritesAreWholeLinesOfAPiece(t *testing.T) {
	var out pieces
	w := &Writer{Out: &out, Clock: msclock.System{}}
	var want strings.Builder
	for i := range 200 {
		line := fmt.Sprintf("{\"n\":%d,\"x\":%q}\n", i, strings.Repeat("x", i*3))
		if i == 100 {
			line = strings.Repeat("y", 2*maxWrite) + "\n"
		}
		want.WriteString(line)
		_, err := w.Write([]byte(line))
		require.NoError(t, err)
	}
	require.NoError(t, w.Sync())
	var got []byte
	for _, b := range out.all {
		require.Equal(t, byte('\n'), b[len(b)-1])
		if len(b) > maxWrite {
			require.Equal(t, 1, bytes.Count(b, []byte("\n")), "only a line that is longer by itself")
		}
		got = append(got, b...)
	}
	require.Equal(t, want.String(), string(got))
}

func TestWhatExceedsTheRateIsCounted(t *testing.T) {
	var out pieces
	now := time.Unix(0, 0)
	w := &Writer{Out: &out, Clock: stopped{now}}
	line := []byte(strings.Repeat("x", 1023) + "\n")
	for range 300 {
		_, err := w.Write(line)
		require.NoError(t, err)
	}
	require.NoError(t, w.Sync())
	var got []byte
	for _, b := range out.all {
		got = append(got, b...)
	}
	require.Contains(t, string(got), `"msg":"log lines dropped","count":44`)
	require.Equal(t, maxPending/len(line), bytes.Count(got, []byte("x\n")))
}

// stopped is a clock that stands still.
type stopped struct {
	now time.Time
}

func (c stopped) Now() time.Time { return c.now }

func (c stopped) After(time.Duration) <-chan time.Time { return make(chan time.Time) }
