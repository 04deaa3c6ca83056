package msscheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a delay of passes that grows with their cost without bound, which callers
// would wait for, and against one of passes that cost next to nothing.
func TestPassDelayIsBounded(t *testing.T) {
	for _, c := range []struct{ took, since, want time.Duration }{
		{0, 0, 0},
		{50 * time.Microsecond, 100 * time.Microsecond, 0},
		{800 * time.Microsecond, 2 * time.Millisecond, 2 * time.Millisecond},
		{800 * time.Microsecond, 3500 * time.Microsecond, 0},
		{800 * time.Microsecond, 7 * time.Millisecond, 0},
		{90 * time.Millisecond, time.Millisecond, maxPassDelay - time.Millisecond},
		{90 * time.Millisecond, 95 * time.Millisecond, 0},
	} {
		require.Equal(t, c.want, passDelay(c.took, c.since))
	}
}
