package msintake

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"marjoramspan/msclock"
	"marjoramspan/msjob"
	"marjoramspan/msjournal"
)

// Streams are the additional streams for accepted jobs and cancels, as an entry uses them:
// it reads all of them, and appends to them while the stream of all jobs is contended. Its
// exported fields must be set before use.
type Streams struct {
	Clock  msclock.Clock
	Logger *zap.Logger
	Jobs   *msjob.Table
	// Shared appends to the stream of all jobs. Writers append to the additional streams and
	// Journals follow them, both numbered from 1.
	Shared   *msjournal.Writer
	Writers  []*msjournal.Writer
	Journals []*msjournal.Follower
	Metrics  *StreamMetrics

	mu         sync.Mutex
	contention contention
	// announcing is set while the records are appended that say that the additional streams
	// are in use, and announced once they are stored.
	announcing, announced bool
}

// StreamMetrics has the Prometheus metrics of the entry's appends.
type StreamMetrics struct {
	seconds *prometheus.HistogramVec
}

// NewStreamMetrics creates the metrics and registers them with reg.
func NewStreamMetrics(reg prometheus.Registerer) *StreamMetrics {
	m := &StreamMetrics{seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name:    "marjoramspan_job_append_seconds",
		Help:    "Time until a job or cancel is stored, by stream.",
		Buckets: []float64{0.005, 0.01, 0.02, 0.03, 0.05, 0.1, 0.2, 0.5, 1, 2},
	}, []string{"stream"})}
	reg.MustRegister(m.seconds)
	return m
}

// append stores records of a job. Its errors are those of msjournal.Writer.
func (s *Streams) append(ctx context.Context, id string, records []msjournal.Record) error {
	begun := s.Clock.Now()
	own := s.choose(ctx, begun)
	w := s.Shared
	if own {
		w = s.Writers[msjob.AdditionalStream(id)-1]
	}
	err := w.Append(ctx, records)
	now := s.Clock.Now()
	took := now.Sub(begun)
	if err == nil && s.Metrics != nil {
		s.Metrics.seconds.WithLabelValues(w.Stream).Observe(took.Seconds())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var switched bool
	switch {
	case err == nil:
		switched = s.contention.observe(own, now, took)
	case errors.Is(ctx.Err(), context.Canceled):
		// The caller has gone away, which says nothing of the stream.
		s.contention.trying = s.contention.trying && own
	default:
		switched = s.contention.fail(own, now)
	}
	switch {
	case !switched:
	case s.contention.until.IsZero():
		s.Logger.Info("jobs go to the shared stream", zap.Duration("answer", took), zap.Error(err))
	default:
		for _, f := range s.Journals {
			f.Interrupt()
		}
		s.Logger.Info("jobs go to additional streams", zap.Duration("answer", s.contention.before), zap.Duration("hold", s.contention.hold))
	}
	return err
}

// Using reports whether the entry's jobs go to the additional streams.
func (s *Streams) Using() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.contention.until.IsZero()
}

// choose reports whether the next append goes to an additional stream. That needs a leader
// that reads them, and readers that know that they are in use.
func (s *Streams) choose(ctx context.Context, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Jobs.Load().Streams < len(s.Writers) || !s.contention.useOwn(now) {
		return false
	}
	inUse := 0
	s.Jobs.StreamsInUse().Each(func(int) { inUse++ })
	s.announced = s.announced || inUse >= len(s.Writers)
	if !s.announced && !s.announcing {
		s.announcing = true
		go s.announce(context.WithoutCancel(ctx))
	}
	return s.announced
}

// announce stores the records that say that the additional streams are in use.
func (s *Streams) announce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	var records []msjournal.Record
	for _, r := range msjob.StreamRecords() {
		records = append(records, msjournal.Record{Key: r.Key, Value: r.Value})
	}
	err := s.Shared.Append(ctx, records)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.announcing, s.announced = false, err == nil
}

// append stores records of a job.
func (in *Intake) append(ctx context.Context, id string, records []msjournal.Record) error {
	if in.Streams == nil {
		return in.Writer.Append(ctx, records)
	}
	return in.Streams.append(ctx, id, records)
}

// lookUp returns a job and whether it is known, once all records have been read that were
// stored before the call.
func (in *Intake) lookUp(ctx context.Context, id string) (e msjob.TableEntry, known bool, err error) {
	n := msjob.AdditionalStream(id)
	for {
		inUse := in.Streams != nil && in.Jobs.StreamsInUse().Has(n)
		if inUse {
			if err := in.Streams.Journals[n-1].Sync(ctx); err != nil {
				return e, false, err
			}
		}
		// The final status of a job is stored before the job is deleted from its additional
		// stream, so the stream with the statuses has to be read second.
		if err := in.Journal.Sync(ctx); err != nil {
			return e, false, err
		}
		e, known = in.Jobs.Job(id)
		if known || in.Streams == nil || in.Jobs.StreamsInUse().Has(n) == inUse {
			return e, known, nil
		}
	}
}
