package main

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjoramspan/msjob"
	"marjoramspan/mswait"
)

func TestWhyJobNamesWhatEachTaskWaitsFor(t *testing.T) {
	accepted := time.Unix(100, 0)
	j := &msjob.Job{ID: "a", Queue: "q", Pool: "p", Stretch: 2, Slack: time.Second, Accepted: accepted, Steps: []msjob.Step{
		{Count: 3, Need: msjob.Resources{CPU: 1000}, Estimate: time.Second}, {Count: 1, Estimate: time.Second, After: []int{0}},
	}}
	e := msjob.TableEntry{Job: j}
	require.Contains(t, whyJob(e, msjob.Load{}, accepted), "has stored nothing")
	p := &msjob.Progress{State: msjob.Running, Started: true}
	tasks := p.Occurrence(j, 0).Steps[0]
	tasks[0] = msjob.Task{Phase: msjob.Done, Attempt: 1}
	tasks[1] = msjob.Task{Phase: msjob.Assigned, Attempt: 2, Failures: 1, Worker: "w-1"}
	tasks[2] = msjob.Task{Attempt: 1, Worker: "w-2"}
	e.Progress = p
	got := whyJob(e, msjob.Load{Pools: map[string]msjob.PoolLoad{"p": {MilliCores: 4000, Backlog: 20}}}, accepted.Add(time.Second))
	for _, want := range []string{
		"is running; accepted 1s ago, objective 5s", "pool p has 4 cores for 20 core-seconds ahead", "a.0.0.0: done",
		"a.0.0.1: assigned to w-1, attempt 2, 1 failed", "a.0.0.2: waits for room again, attempt 1", "a.0.1.0: waits for steps [0]",
	} {
		require.Contains(t, got, want)
	}
	got = whyJob(e, msjob.Load{Waits: map[string]msjob.Wait{"a": {Reason: string(mswait.TeamLimit), Since: 100}}}, accepted.Add(4*time.Second))
	require.Contains(t, got, "waits beside free workers for 4s: its team runs as much as its limit allows")
	row := newJobRow(e, accepted)
	require.Equal(t, [3]int{1, 1, 2}, [3]int{row.Done, row.Assigned, row.Waiting})
}
