package msscheduler

import (
	"context"
	"time"

	"go.uber.org/zap"

	"marjoramspan/msjob"
	"marjoramspan/msworker"
	"marjoramspan/mszone"
)

// zones is the state of evacuated data centres and of cold workers. Engine.mu guards it.
type zones struct {
	// since has when this leader first saw each evacuation, clear the evacuated data
	// centres in which nothing runs any more.
	since map[string]time.Time
	clear map[string]bool
	// withheld says that no task is started, as the operators' records are not current.
	withheld bool
	// starts counts the recent starts by pool.
	starts map[string]*mszone.Starts
}

// syncOperators reads the operators' records to their end, where an evacuation has a
// deadline.
func (e *Engine) syncOperators(ctx context.Context) error {
	if e.Operators == nil || e.Settings.EvacuationDeadline <= 0 {
		return nil
	}
	return e.sync(ctx, e.Operators)
}

// operatorsCurrent reports whether the view of the operators' records is new enough to
// start tasks. The caller holds mu.
func (e *Engine) operatorsCurrent(now time.Time) bool {
	if e.Operators == nil || e.Settings.EvacuationDeadline <= 0 {
		return true
	}
	age := now.Sub(e.Operators.CurrentAsOf())
	withheld := !mszone.MayStart(age, e.Settings.EvacuationDeadline)
	if withheld != e.zones.withheld {
		e.zones.withheld = withheld
		if withheld {
			e.Logger.Warn("starts withheld, the operators' records are not current", zap.Duration("age", age))
		} else {
			e.Logger.Info("starts allowed again, the operators' records are current", zap.Duration("age", age))
		}
	}
	return !withheld
}

// dataCentre returns the data centre of a worker by its entry, or by the VM list if its
// entry names none.
func (w *worker) dataCentre() string {
	if w.DataCentre != "" {
		return w.DataCentre
	}
	return w.vmDataCentre
}

// zoneOf returns the data centre of an attempt's worker if operators evacuate it, by the
// newest record, or "".
func (e *Engine) zoneOf(r *run) string {
	if name := r.w.dataCentre(); e.Sites.Evacuated(name) {
		return name
	}
	return ""
}

// syncZones marks the workers of evacuated data centres. The caller holds mu.
func (e *Engine) syncZones(now time.Time) {
	names := e.Sites.Evacuations()
	if len(names) == 0 && len(e.zones.since) == 0 {
		return
	}
	workers, attempts := map[string]int{}, map[string]int{}
	evacuated := make(map[string]bool, len(names))
	for _, name := range names {
		evacuated[name] = true
	}
	for _, w := range e.workers {
		name := w.dataCentre()
		w.evacuated = evacuated[name]
		workers[name]++
		attempts[name] += len(w.runs)
	}
	if e.zones.since == nil {
		e.zones.since, e.zones.clear = map[string]time.Time{}, map[string]bool{}
	}
	for name := range e.zones.since {
		if !evacuated[name] {
			e.Logger.Info("evacuation revoked", zap.String("data-centre", name), zap.Int("workers", workers[name]))
			delete(e.zones.since, name)
			delete(e.zones.clear, name)
		}
	}
	left := 0
	for _, name := range names {
		left += attempts[name]
		e.noteEvacuation(name, workers[name], attempts[name], now)
	}
	e.Metrics.evacuation(len(names), left)
}

// noteEvacuation logs the begin of an evacuation, and when nothing runs in the data
// centre any more.
func (e *Engine) noteEvacuation(name string, workers, attempts int, now time.Time) {
	since, known := e.zones.since[name]
	if !known {
		since = now
		e.zones.since[name] = now
		e.dropEvacuatedAdvice()
		if workers == 0 {
			e.Logger.Warn("evacuated data centre has no workers", zap.String("data-centre", name))
		} else {
			e.Logger.Info("data centre evacuated", zap.String("data-centre", name), zap.Int("workers", workers), zap.Int("attempts", attempts))
		}
	}
	if isClear := attempts == 0; isClear != e.zones.clear[name] {
		e.zones.clear[name] = isClear
		if isClear && workers > 0 {
			e.Logger.Info("data centre clear", zap.String("data-centre", name), zap.Duration("took", now.Sub(since)))
		}
	}
}

// evacuateZones stops tasks in evacuated data centres. The caller holds mu.
func (e *Engine) evacuateZones(now time.Time) {
	if len(e.zones.since) == 0 {
		return
	}
	var tasks []mszone.Task
	var runs []*run
	steps := map[mszone.Step]mszone.Availability{}
	room := map[string][]mszone.Worker{}
	for _, w := range e.workers {
		if w.acceptsTasks(now) {
			room[w.Pool] = append(room[w.Pool], mszone.Worker{Capacity: w.Capacity, Labels: w.Labels})
		}
		if !w.evacuated || !w.reachable {
			continue
		}
		for _, r := range w.runs {
			s := r.step()
			if s == nil || r.state != runStarted && r.state != runStopping || r.job.p.State.Final() {
				continue
			}
			k := mszone.Step{Job: r.task.Job, Occurrence: r.task.Occurrence, Step: r.task.Step}
			if _, ok := steps[k]; !ok && s.LongRunning {
				steps[k] = mszone.Availability{Unavailable: e.unavailableTasks(r.job, k.Occurrence, k.Step), MaxUnavailable: s.MaxUnavailable}
			}
			t := mszone.Task{
				Index: len(runs), Step: k, Pool: poolOf(r.job.def, e.Sites.Site()), Need: r.need, Label: s.Label, LongRunning: s.LongRunning,
				Serving: r.state == runStarted && r.percent >= fullPercent, Checkpoints: s.Checkpoints, Gang: s.Gang, Stopping: r.state == runStopping,
			}
			if r.state == runStarted {
				t.Remaining = r.remainingTime(now)
			}
			tasks, runs = append(tasks, t), append(runs, r)
		}
	}
	for _, i := range mszone.Stops(tasks, steps, room) {
		r := runs[i]
		e.Logger.Info("task evacuated", zap.String("task", r.task.String()), zap.Int("attempt", r.attempt),
			zap.String("worker", r.w.ID), zap.String("data-centre", r.w.dataCentre()), zap.Duration("left", tasks[i].Remaining))
		e.Metrics.evacuatedTask(tasks[i].LongRunning)
		e.stop(r)
	}
}

// vmEvacuated returns whether the data centre of a VM is evacuated, and for how long this
// leader has known that. The caller holds mu.
func (e *Engine) vmEvacuated(vm msworker.VM, now time.Time) (time.Duration, bool) {
	name := vm.DataCentre
	if w := e.workers[vm.Worker]; w != nil && name == "" {
		name = w.dataCentre()
	}
	if !e.Sites.Evacuated(name) {
		return 0, false
	}
	// The pools may be sized before the first pass has noted the evacuation.
	since, ok := e.zones.since[name]
	if !ok {
		return 0, true
	}
	return now.Sub(since), true
}

// noteWarmup notes until when a worker is cold, when it has written a new entry.
func (w *worker) noteWarmup(entry msworker.Worker, now time.Time) {
	if entry.WarmupLeft != w.WarmupLeft || entry.ProcessStart != w.ProcessStart {
		w.coldUntil = now.Add(entry.WarmupLeft)
	}
}

func (w *worker) cold(now time.Time) bool {
	return now.Before(w.coldUntil)
}

// coldness rates a cold worker as certainly slow.
func (w *worker) coldness(now time.Time) float64 {
	return float64(boolToInt(w.cold(now)))
}

// offered returns the capacity that a worker offers to new tasks: none if it is cold and
// has had as many starts lately as it should. workers is the number of usable workers of
// its pool.
func (e *Engine) offered(w *worker, workers int, now time.Time) msjob.Resources {
	if !w.cold(now) {
		return w.free()
	}
	overage, slack := e.Settings.WarmupOverage, e.Settings.WarmupSlack
	if overage <= 0 {
		overage, slack = mszone.DefaultOverage, mszone.DefaultSlack
	}
	if mszone.ColdAllowance(w.starts.Count(now), e.poolStarts(w.Pool).Count(now), workers, overage, slack) == 0 {
		return msjob.Resources{}
	}
	return w.free()
}

// countStart counts the start of an attempt on a worker.
func (e *Engine) countStart(w *worker, now time.Time) {
	w.starts.Add(now)
	e.poolStarts(w.Pool).Add(now)
}

func (e *Engine) poolStarts(pool string) *mszone.Starts {
	if e.zones.starts == nil {
		e.zones.starts = map[string]*mszone.Starts{}
	}
	s := e.zones.starts[pool]
	if s == nil {
		s = &mszone.Starts{}
		e.zones.starts[pool] = s
	}
	return s
}

// countedCPU returns the CPU with which a worker counts as capacity, in thousandths of a
// core.
func (w *worker) countedCPU(now time.Time) int64 {
	if w.cold(now) {
		return int64(mszone.ColdCapacity * float64(w.Capacity.CPU))
	}
	return w.Capacity.CPU
}
