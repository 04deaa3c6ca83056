package msplace

import (
	"testing"

	"github.com/stretchr/testify/require"

	"marjoramspan/msjob"
)

func TestFindBlocker(t *testing.T) {
	t.Parallel()
	room := msjob.Resources{CPU: 4000, Memory: 8000}
	idle := Worker{ID: "idle", Capacity: room, Free: room}
	busy, withheld, isolated, other := idle, idle, idle, idle
	busy.Free, withheld.Withheld, isolated.Isolated, other.Labels = msjob.Resources{}, true, true, []string{"gpu"}
	task := Requirements{Step: &msjob.Step{Count: 1, Need: msjob.Resources{CPU: 1000, Memory: 100}}, SparesOthers: true}
	labelled, trial := task, task
	labelled.Step = &msjob.Step{Count: 1, Label: "gpu"}
	trial.Group = "g"
	recent, onTrial := idle, isolated
	recent.Recent, onTrial.IsolatedFor, onTrial.Recent = 1, "other", 1
	for name, c := range map[string]struct {
		want    Requirements
		workers []Worker
		blocker Blocker
	}{
		"room":                         {task, []Worker{busy, idle}, BlockedByNothing},
		"none":                         {task, nil, BlockedByWorkers},
		"no room":                      {task, []Worker{busy}, BlockedByLoad},
		"no label":                     {labelled, []Worker{idle}, BlockedByWorkers},
		"label":                        {labelled, []Worker{idle, other}, BlockedByNothing},
		"withheld":                     {task, []Worker{busy, withheld}, BlockedByWithheld},
		"kept for others":              {task, []Worker{busy, isolated}, BlockedByIsolation},
		"kept for others and withheld": {task, []Worker{isolated, withheld}, BlockedByIsolation},
		"trial beside recent starts":   {trial, []Worker{recent}, BlockedByIsolation},
		"trial beside too many others": {trial, []Worker{onTrial, idle}, BlockedByIsolation},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			require.Equal(t, c.blocker, FindBlocker(c.want, c.workers))
			require.Equal(t, c.blocker == BlockedByNothing, Choose(c.want, c.workers) >= 0)
		})
	}
}
