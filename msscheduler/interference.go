package msscheduler

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"go.uber.org/zap"

	"marjoramspan/msinterfere"
	"marjoramspan/msjob"
	"marjoramspan/msplace"
	"marjoramspan/msworker"
)

const (
	// interferenceCheckInterval is the minimum time between two checks for pairs without
	// recent samples.
	interferenceCheckInterval = time.Second
	// latencySampleInterval is the time between two samples of the latency of a long-running
	// task: those that follow each other closely tell the same.
	latencySampleInterval = 5 * time.Second
)

// interference has which images slow each other down, and where those images run.
type interference struct {
	table    msinterfere.Table
	overlaps msinterfere.Overlaps
	// attempts counts the attempts of each image of a found pair by worker. It is empty while
	// no pair is found.
	attempts  map[string]map[string]int
	checkedAt time.Time
	// beside is reused from step to step.
	beside []map[string]int
}

// count adds n attempts of an image on a worker.
func (f *interference) count(r *run, n int) {
	if byWorker := f.attempts[r.image]; byWorker != nil {
		byWorker[r.w.ID] += n
		if byWorker[r.w.ID] <= 0 {
			delete(byWorker, r.w.ID)
		}
	}
}

// partnersOf returns the counts by worker of the images that should not run beside an image,
// or nil. The result is valid until the next call.
func (f *interference) partnersOf(image string) []map[string]int {
	if f.table.Found() == 0 {
		return nil
	}
	f.beside = f.beside[:0]
	for _, partner := range f.table.Partners(image) {
		if byWorker := f.attempts[partner]; len(byWorker) > 0 {
			f.beside = append(f.beside, byWorker)
		}
	}
	return f.beside
}

// neighbours sums up what ran beside an attempt since the given time.
func (e *Engine) neighbours(r *run, since, now time.Time) []msinterfere.Neighbour {
	o := &e.interference.overlaps
	o.Begin(since, now, &r.w.history)
	for _, other := range r.w.runs {
		if other != r {
			o.Add(other.image, other.confirmedAt, now)
		}
	}
	return o.List()
}

// maxImageName is the length from which an image is told apart by its hash: callers choose
// the names, and what is learned of images has to fit into a record.
const maxImageName = 200

// imageOf names what a task runs. Steps without an image are told apart by queue.
func imageOf(j *job, s *msjob.Step) string {
	if len(s.Image) > maxImageName {
		sum := sha256.Sum256([]byte(s.Image))
		return "sha256 " + hex.EncodeToString(sum[:])
	}
	if s.Image != "" {
		return s.Image
	}
	if j.queueImage == "" {
		j.queueImage = "queue " + j.queueKey()
	}
	return j.queueImage
}

// usualRuntime is the estimate of an attempt's run time, or 0 if its run time doesn't show
// whether its neighbours slowed it.
func usualRuntime(r *run) time.Duration {
	s := r.step()
	if s == nil || s.LongRunning || s.Backfill || s.Gang || r.adopted || r.resumed || r.answeredAt.IsZero() || !r.answeredAt.After(r.w.coldUntil) {
		return 0
	}
	if s.DataRack != "" && s.DataRack != r.w.Rack {
		return 0
	}
	return s.Estimate
}

// usual reports whether a worker is about as fast as its pool and has not failed lately.
func (e *Engine) usual(w *worker, now time.Time) bool {
	return w.failures.Risk(now) == 0 && w.slowness(e.medians[w.Pool]) == 0
}

// noteInterference learns from an attempt that has succeeded. On a worker that is slow or has
// failed lately the neighbours are not the likely cause.
func (e *Engine) noteInterference(r *run, end msworker.End, now time.Time) {
	estimate := usualRuntime(r)
	if end.Reason != msworker.EndDone || estimate <= 0 || !e.usual(r.w, now) || !now.After(r.answeredAt) {
		return
	}
	s := msinterfere.Sample{Image: r.image, Job: r.job.def.ID, Ratio: float64(now.Sub(r.answeredAt)) / float64(estimate)}
	e.interference.table.Add(s, e.neighbours(r, r.answeredAt, now), now)
}

// noteLatency learns from the tail latency that a long-running task reports. While backfill
// tasks are throttled on its worker, the latency doesn't show what they do to it.
func (e *Engine) noteLatency(r *run, now time.Time) {
	s := r.step()
	if s == nil || !s.LongRunning || s.TailLatencyTarget <= 0 || r.usage <= 0 || r.percent < fullPercent || now.Sub(r.latencySampledAt) < latencySampleInterval {
		return
	}
	since := r.latencySampledAt
	r.latencySampledAt = now
	if since.IsZero() || !e.usual(r.w, now) || r.w.cold(now) {
		return
	}
	for _, other := range r.w.runs {
		if other.throttlePercent < fullPercent {
			return
		}
	}
	ratio := float64(r.usage) / float64(s.TailLatencyTarget.Milliseconds())
	e.interference.table.Add(msinterfere.Sample{Image: r.image, Ratio: ratio}, e.neighbours(r, since, now), now)
}

// checkInterference forgets pairs, logs those found and forgotten, and counts where their
// images run. The caller holds mu.
func (e *Engine) checkInterference(now time.Time) {
	f := &e.interference
	if now.Sub(f.checkedAt) < interferenceCheckInterval {
		return
	}
	f.checkedAt = now
	f.table.Expire(now)
	changes := f.table.Changes()
	if len(changes) == 0 {
		return
	}
	for _, c := range changes {
		line := "interference forgotten"
		if c.Found {
			line = "interference found"
		}
		e.Logger.Info(line, zap.String("slowed", c.Slowed), zap.String("by", c.By), zap.Float64("slowdown", c.Slowdown), zap.Int("samples", c.Samples))
	}
	e.countInterfering()
}

// countInterfering counts the attempts of the images of found pairs anew.
func (e *Engine) countInterfering() {
	f := &e.interference
	e.Metrics.interfering(f.table.Found())
	f.attempts = map[string]map[string]int{}
	f.table.Images(func(image string) { f.attempts[image] = map[string]int{} })
	for _, r := range e.runs {
		f.count(r, 1)
	}
}

// notePlacedApart counts whether a placement avoided an interfering neighbour. n is the
// worker chosen.
func (e *Engine) notePlacedApart(want msplace.Requirements, pool *poolSnapshot, n int) {
	if len(want.Beside) == 0 || n < 0 || e.Metrics == nil {
		return
	}
	if msplace.Disturbed(want, &pool.placement[n]) {
		e.Metrics.placedApart("beside")
		return
	}
	want.Beside = nil
	if msplace.Choose(want, pool.placement) != n {
		e.Metrics.placedApart("avoided")
	}
}

// restoreInterference takes over the pairs that the earlier leader has recorded. The caller
// holds mu.
func (e *Engine) restoreInterference(f msjob.Fleet) {
	e.interference.table.Restore(f.Interference, e.Clock.Now(), e.Wall.Now())
	e.countInterfering()
}
