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

// What ended behind a cut was dated at the next call, seconds later, and then seemed to have run
// beside the next attempt.
func TestEndsAreDatedWhenTheyHappen(t *testing.T) {
	t.Parallel()
	began := time.Unix(1000, 0)
	clock := msclock.NewFake(began)
	var journal JobJournal
	w := &JobWorker{Worker: msworker.Worker{ID: "w-1"}, Clock: clock, Journal: &journal, FirstClock: time.Hour, MaxLease: 6 * time.Second}
	short, long := msjob.TaskID{Job: "00000000000000ff"}, msjob.TaskID{Job: "00000000000000ff", Index: 1}
	for task, spec := range map[msjob.TaskID]string{short: "run=300ms", long: "run=1h"} {
		_, err := w.Start(t.Context(), msworker.Start{Task: task, Attempt: 1, Spec: spec, Until: 3 * time.Hour, Token: 1})
		require.NoError(t, err)
	}
	clock.Advance(20 * time.Second)
	w.Restart()
	for _, r := range journal.Runs() {
		want := map[msjob.TaskID]time.Duration{short: 300 * time.Millisecond, long: 6 * time.Second}[r.Task]
		require.Equal(t, want, r.End.Sub(began), r.How)
		require.Equal(t, r.Task == short, r.Lapsed, "only what had ended before the lapse")
	}
}
