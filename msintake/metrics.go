package msintake

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics counts callers' requests and measures their duration.
type Metrics struct {
	requests *prometheus.CounterVec
	seconds  *prometheus.HistogramVec
}

// NewMetrics creates the metrics and registers them with reg.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "marjoramspan_job_requests_total",
			Help: "Callers' requests about jobs, by operation and outcome.",
		}, []string{"operation", "outcome"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "marjoramspan_job_request_seconds",
			Help:    "Time from a request's arrival to its answer, by operation.",
			Buckets: []float64{0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 4},
		}, []string{"operation"}),
	}
	reg.MustRegister(m.requests, m.seconds)
	return m
}

// Count records one request with its outcome and duration. It does nothing if m is nil.
func (m *Metrics) Count(operation, outcome string, took time.Duration) {
	if m == nil {
		return
	}
	m.requests.WithLabelValues(operation, outcome).Inc()
	m.seconds.WithLabelValues(operation).Observe(took.Seconds())
}
