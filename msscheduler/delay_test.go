package msscheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjoramspan/msjob"
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

// A long-running task that fails at once was started in each pass.
func TestLongRunningTaskThatFailsAtOnceIsDelayed(t *testing.T) {
	t.Parallel()
	w := newTestCluster(t, 2)
	w.entry("a")
	w.submit(&msjob.Job{ID: "0000000000000001", Spec: "run=5ms fail=1000000", Steps: []msjob.Step{longRunning(1, 1)}})
	time.Sleep(3 * time.Second)
	n := len(w.journal.Runs())
	require.Less(t, n, 31)
	require.Greater(t, n, 3)
}
