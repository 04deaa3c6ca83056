package msstandin

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjoramspan/msclock"
	"marjoramspan/msjob"
	"marjoramspan/msworker"
)

// A task that crashes its worker has no end there, even if the worker is asked after the time the
// task takes and before the crash. In the soak, seed 528, such a task was reported as done.
func TestTaskThatCrashesItsWorkerHasNoEnd(t *testing.T) {
	t.Parallel()
	clock := msclock.NewFake(time.Unix(1000, 0))
	w := &JobWorker{Worker: msworker.Worker{ID: "w-1"}, Clock: clock, OnCrash: func(string) {}}
	deadly, harmless := msjob.TaskID{Job: "00000000000000ff"}, msjob.TaskID{Job: "00000000000000ff", Index: 1}
	for _, task := range []msjob.TaskID{deadly, harmless} {
		_, err := w.Start(t.Context(), msworker.Start{Task: task, Attempt: 1, Spec: "run=20ms crash=0", Until: time.Minute, Token: 1})
		require.NoError(t, err)
	}
	clock.Advance(200 * time.Millisecond)
	report, err := w.Hold(t.Context(), msworker.LeaseRenewal{Until: time.Minute, Token: 1})
	require.NoError(t, err)
	require.Len(t, report.Running, 1)
	require.Equal(t, deadly, report.Running[0].Task)
	require.Len(t, report.Ended, 1)
	require.Equal(t, harmless, report.Ended[0].Task)
}
