package msclock

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestFakeFiresOnlyDueTimers(t *testing.T) {
	f := NewFake(time.Unix(100, 0))
	sooner := f.After(time.Second)
	later := f.After(3 * time.Second)
	f.Advance(2 * time.Second)
	require.Equal(t, time.Unix(102, 0), <-sooner)
	select {
	case <-later:
		require.Fail(t, "timer fired one second early")
	default:
	}
	f.Advance(time.Second)
	require.Equal(t, time.Unix(103, 0), <-later)
}
