package mszone

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjoramspan/msjob"
)

// Long-running tasks go first and only as many of a step as may be away; tasks with
// checkpoints follow once no long-running task is about to go. Everything else is left to
// end, and so is what no worker elsewhere could run.
func TestStops(t *testing.T) {
	need := msjob.Resources{CPU: 1000}
	room := map[string][]Worker{"p": {{Capacity: msjob.Resources{CPU: 2000}, Labels: []string{"ssd"}}}}
	step := Step{Job: "j"}
	lasting := Task{Step: step, Pool: "p", Need: need, LongRunning: true, Serving: true}
	saved := Task{Pool: "p", Need: need, Checkpoints: true, Remaining: time.Minute}
	change := func(t Task, fn func(t *Task)) Task { fn(&t); return t }
	for _, c := range []struct {
		name  string
		tasks []Task
		steps Availability
		want  []int
	}{
		{"as many as may be away", []Task{lasting, lasting, lasting}, Availability{0, 2}, []int{0, 1}},
		{"others of the step are away", []Task{lasting, lasting}, Availability{2, 2}, nil},
		{"at least one", []Task{lasting, lasting}, Availability{0, 0}, []int{0}},
		{"one that doesn't serve goes first", []Task{lasting, change(lasting, func(t *Task) { t.Serving = false })}, Availability{1, 1}, []int{1}},
		{"checkpoints wait for the long-running", []Task{saved, lasting}, Availability{0, 1}, []int{1}},
		{"checkpoints wait for a stop", []Task{saved, change(lasting, func(t *Task) { t.Stopping, t.Serving = true, false })}, Availability{1, 1}, nil},
		{"checkpoints follow", []Task{saved, lasting}, Availability{1, 1}, []int{0}},
		{"soon done", []Task{change(saved, func(t *Task) { t.Remaining = time.Second })}, Availability{}, nil},
		{"no checkpoints", []Task{change(saved, func(t *Task) { t.Checkpoints = false })}, Availability{}, nil},
		{"a gang", []Task{change(saved, func(t *Task) { t.Gang = true })}, Availability{}, nil},
		{"no worker elsewhere is large enough", []Task{change(lasting, func(t *Task) { t.Need.CPU = 3000 })}, Availability{0, 1}, nil},
		{"no worker elsewhere has the label", []Task{change(lasting, func(t *Task) { t.Label = "gpu" })}, Availability{0, 1}, nil},
		{"the label", []Task{change(lasting, func(t *Task) { t.Label = "ssd" })}, Availability{0, 1}, []int{0}},
		{"another pool", []Task{change(lasting, func(t *Task) { t.Pool = "q" })}, Availability{0, 1}, nil},
	} {
		for i := range c.tasks {
			c.tasks[i].Index = i
		}
		require.Equal(t, c.want, Stops(c.tasks, map[Step]Availability{step: c.steps}, room), c.name)
	}
}

// Without a deadline the age of the view doesn't matter.
func TestMayStart(t *testing.T) {
	require.True(t, MayStart(time.Hour, 0))
	require.True(t, MayStart(4*time.Second, 5*time.Second))
	require.False(t, MayStart(4*time.Second+1, 5*time.Second))
	require.True(t, MayStart(500*time.Millisecond, time.Second), "a deadline that leaves no room for the margin")
}

// Only idle VMs go to the spare pool, a few at a time, and not at the first moment.
func TestReleases(t *testing.T) {
	vms := []VM{
		{Name: "busy", Pool: "p", Evacuated: time.Minute},
		{Name: "new", Pool: "p", Idle: true, Evacuated: time.Second},
		{Name: "pinned", Pool: "p", Idle: true, Pinned: true, Evacuated: time.Minute},
		{Name: "there", Pool: "spare", Idle: true, Evacuated: time.Minute},
		{Name: "idle", Pool: "p", Idle: true, Evacuated: time.Minute},
	}
	require.Equal(t, []string{"idle"}, Releases(vms, "spare"))
	require.Empty(t, Releases(vms, ""))
	for range 2 * maxReleases {
		vms = append(vms, vms[4])
	}
	require.Len(t, Releases(vms, "spare"), maxReleases)
}

// A count covers the last second, also after a pause and across many rounds of its parts.
func TestStarts(t *testing.T) {
	var s Starts
	now := time.Unix(1000, 0)
	for i := range 400 {
		s.Add(now)
		if i >= 22 {
			require.GreaterOrEqual(t, s.Count(now), 20, "all of the last second")
			require.LessOrEqual(t, s.Count(now), 22, "little more than a second")
		}
		now = now.Add(50 * time.Millisecond)
	}
	require.Zero(t, s.Count(now.Add(time.Hour)))
	require.Equal(t, 6, ColdAllowance(0, 10, 10, 1.5, 5))
	require.Equal(t, 0, ColdAllowance(9, 10, 10, 1.5, 5))
	require.Equal(t, 5, ColdAllowance(0, 0, 0, 1.5, 5))
}
