package msclock

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestFakeWakesOnlyWhatIsDue(t *testing.T) {
	f := NewFake(time.Unix(100, 0))
	soon := f.After(time.Second)
	late := f.After(3 * time.Second)
	f.Advance(2 * time.Second)
	require.Equal(t, time.Unix(102, 0), <-soon)
	select {
	case <-late:
		require.Fail(t, "woken a second early")
	default:
	}
	f.Advance(time.Second)
	require.Equal(t, time.Unix(103, 0), <-late)
}
