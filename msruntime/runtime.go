// Package msruntime learns from the ends of jobs and tasks how their real run times relate
// to the estimates. It does no I/O and starts no goroutines; the clock is passed in.
//
// A Ratio of a queue corrects two things: the objective of a job, which callers judge by
// the real run times of its tasks, and the time that the job still takes. To correct only
// one of them makes the slack wrong by half of a job's length.
package msruntime

import (
	"math"
	"time"

	"marjoramspan/msjob"
)

const (
	// defaultMedian and defaultP80 are the ratios of real to estimated critical path that
	// hold without samples. Jobs that started at once took 1.5 to 1.6 times their estimate
	// (median) and 2.1 times at the 90th percentile: the tasks of a step differ, and a step
	// ends with its last one.
	defaultMedian = 1.5
	defaultP80    = 1.9
	// defaultTask is the same for single tasks, whose estimates are about right on average.
	defaultTask    = 1.0
	defaultTaskP80 = 1.3
	// minSamples is the number of samples from which on they alone count; fewer are mixed
	// with the default.
	minSamples = 8
	// halfLife is the time after which a sample counts half: run times change with the
	// load and with interference, within tens of seconds.
	halfLife = 30 * time.Second
	// maxNames bounds the queues and the images that are kept. The one without samples for
	// the longest time is dropped.
	maxNames = 512
)

// Ratio describes the ratios of real to estimated run time of a queue's jobs or an image's
// tasks. The zero value stands for a queue without samples.
type Ratio struct {
	// Median and P80 are the median and the 80th percentile, with the default mixed in
	// while there are few samples.
	Median, P80 float64
	// Samples is the number of samples, older ones counted in part.
	Samples int
	// Updated is the time of the latest sample.
	Updated time.Time
}

// Factor returns the factor for the estimated critical path of a job.
func (r Ratio) Factor() float64 {
	if r.Median <= 0 {
		return defaultMedian
	}
	return r.Median
}

// TailFactor returns the factor for the estimated critical path that four of five jobs don't
// exceed.
func (r Ratio) TailFactor() float64 {
	if r.P80 <= 0 {
		return r.Factor() * (defaultP80 / defaultMedian)
	}
	return max(r.P80, r.Factor())
}

// Objective returns the expected latency objective of a job whose estimated critical path
// is given. It is stretched like the job: callers judge it by the real run times.
func (r Ratio) Objective(j *msjob.Job, criticalPath time.Duration) time.Duration {
	return time.Duration(float64(criticalPath)*j.Stretch*r.Factor()) + j.Slack
}

// RemainingTime returns how long the rest of a job with the given estimated remaining path
// takes at most, for four of five jobs.
func (r Ratio) RemainingTime(remainingPath time.Duration) time.Duration {
	return time.Duration(float64(remainingPath) * r.TailFactor())
}

// FromLoad returns the ratio of a queue that the load record publishes.
func FromLoad(l *msjob.Load, queue string) Ratio {
	return Ratio{Median: l.Ratios[queue]}
}

// Table has the ratios of the queues and images. The zero value is empty. Memory is bounded
// by maxNames, and each sample costs constant time.
type Table struct {
	queues, images map[string]*samples
	published      map[string]float64
}

// Queue returns the ratio of a queue's jobs.
func (t *Table) Queue(name string) Ratio {
	if s := t.queues[name]; s != nil {
		return s.ratio
	}
	return Ratio{}
}

// Image returns the ratio of an image's tasks.
func (t *Table) Image(name string) Ratio {
	if s := t.images[name]; s != nil {
		return s.ratio
	}
	return Ratio{Median: defaultTask, P80: defaultTaskP80}
}

// RecordJob records how long the longest chain of a job's tasks ran, without the time for
// which they waited: an overload must not teach that jobs are slow.
func (t *Table) RecordJob(queue string, ran, estimated time.Duration, now time.Time) {
	if t.queues == nil {
		t.queues = map[string]*samples{}
	}
	record(t.queues, queue, ran, estimated, defaultMedian, defaultP80, now)
}

// RecordTask records how long a task of an image ran.
func (t *Table) RecordTask(image string, ran, estimated time.Duration, now time.Time) {
	if image == "" {
		return
	}
	if t.images == nil {
		t.images = map[string]*samples{}
	}
	record(t.images, image, ran, estimated, defaultTask, defaultTaskP80, now)
}

func record(all map[string]*samples, name string, ran, estimated time.Duration, median, p80 float64, now time.Time) {
	if ran <= 0 || estimated <= 0 {
		return
	}
	s := all[name]
	if s == nil {
		if len(all) >= maxNames {
			dropOldest(all)
		}
		s = &samples{since: now, median: median, p80: p80}
		all[name] = s
	}
	s.add(float64(ran)/float64(estimated), now)
}

func dropOldest(all map[string]*samples) {
	oldest := ""
	for name, s := range all {
		if oldest == "" || s.ratio.Updated.Before(all[oldest].ratio.Updated) {
			oldest = name
		}
	}
	delete(all, oldest)
}

// publishedStep is the change of a factor from which on it is published again. Slack
// changes by less than 0.05 s for a job of a second, and the record is stored rarely.
const publishedStep = 0.1

// Factors returns the factors of the queues for the load record. A factor changes only when
// the learned one differs by publishedStep.
func (t *Table) Factors() map[string]float64 {
	var all map[string]float64
	for name, s := range t.queues {
		if s.ratio.Samples == 0 && t.published[name] == 0 {
			continue
		}
		if math.Abs(t.published[name]-s.ratio.Factor()) >= publishedStep {
			if t.published == nil {
				t.published = map[string]float64{}
			}
			t.published[name] = math.Round(s.ratio.Factor()*100) / 100
		}
		if all == nil {
			all = make(map[string]float64, len(t.queues))
		}
		all[name] = t.published[name]
	}
	for name := range t.published {
		if t.queues[name] == nil {
			delete(t.published, name)
		}
	}
	return all
}

// Restore starts from the factors that an earlier leader has published, as if they had
// been sampled minSamples times.
func (t *Table) Restore(factors map[string]float64, now time.Time) {
	for name, f := range factors {
		if f <= 0 || math.IsNaN(f) || math.IsInf(f, 0) || len(t.queues) >= maxNames || t.queues[name] != nil {
			continue
		}
		f = min(max(f, minRatio), maxRatio)
		if t.queues == nil {
			t.queues = map[string]*samples{}
		}
		if t.published == nil {
			t.published = map[string]float64{}
		}
		t.published[name] = f
		p80 := f * (defaultP80 / defaultMedian)
		t.queues[name] = &samples{since: now, median: f, p80: p80, ratio: Ratio{Median: f, P80: p80, Updated: now}}
	}
}
