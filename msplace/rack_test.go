package msplace

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjoramspan/msjob"
)

// Tasks that want the rack of their data in bursts, and others that don't care, on five racks of
// four workers that run one task at a time. Placed on any free worker at once, the tasks of the
// wanted rack ran for three times as long and were late, beside tasks that didn't need it.
func TestBurstForOneRack(t *testing.T) {
	const (
		run, penalty = 850 * time.Millisecond, 3
		objective    = 1960 * time.Millisecond
		tick         = 10 * time.Millisecond
		workers      = 20
	)
	type task struct {
		at, end time.Duration
		rack    string
		worker  int
	}
	racks := []string{"r0", "r1", "r2", "r3", "r4"}
	inTime := func(waits bool) (onRack, others int) {
		var tasks []*task
		for at := time.Duration(0); at < 20*time.Second; at += tick {
			n := int(at / tick)
			if n%110 == 0 {
				for range 5 {
					tasks = append(tasks, &task{at: at, rack: "r0", worker: -1})
				}
			}
			if n%9 == 0 {
				tasks = append(tasks, &task{at: at, worker: -1})
			}
			var views []Worker
			room, wanted := &Room{}, false
			for i := range workers {
				views = append(views, newWorker(racks[i/4]+string(rune('a'+i)), racks[i/4], 32000))
				if i < 4 {
					room.AddWorker(views[i].Capacity)
				}
			}
			for _, o := range tasks {
				wanted = wanted || o.rack != "" && o.worker < 0
				if o.worker >= 0 && at < o.end {
					views[o.worker].Free.CPU = 0
					if o.worker < 4 {
						room.AddEnd(o.end-at, msjob.Resources{CPU: 32000, Memory: 100})
					}
				}
			}
			for _, o := range tasks {
				if o.worker >= 0 {
					continue
				}
				want := newWant(msjob.Step{Count: 1, Need: msjob.Resources{CPU: 32000, Memory: 100}, DataRack: o.rack})
				if waits {
					want.RunTime, want.RemotePenalty, want.RackRoom = run, penalty, room
					for i := range views {
						views[i].Wanted = wanted && i < 4
					}
				}
				i, _ := ChooseOrWait(want, views)
				if i < 0 {
					continue
				}
				views[i].Free.CPU = 0
				o.worker, o.end = i, at+run
				if o.rack != "" && o.rack != views[i].Rack {
					o.end = at + penalty*run
				}
			}
		}
		for _, o := range tasks {
			if o.worker >= 0 && o.end-o.at <= objective {
				if o.rack != "" {
					onRack++
				} else {
					others++
				}
			}
		}
		return onRack, others
	}
	formerRack, formerOthers := inTime(false)
	rack, others := inTime(true)
	t.Log(formerRack, formerOthers, rack, others)
	require.Greater(t, rack, formerRack)
	require.GreaterOrEqual(t, others, formerOthers)
}
