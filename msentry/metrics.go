package msentry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"marjoramspan/msaccount"
	"marjoramspan/msserver"
)

// metrics holds the entry's Prometheus metrics.
type metrics struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	seconds  *prometheus.HistogramVec
	// connections counts those of callers and at the admin address.
	connections *msserver.GuardMetrics
}

func newMetrics(r *prometheus.Registry, e *Entry) metrics {
	m := metrics{
		registry:    r,
		connections: msserver.NewGuardMetrics(r),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "marjoramspan_requests_total",
			Help: "Requests by what their callers were told.",
		}, []string{"team", "pool", "queue", "outcome", "reason"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "marjoramspan_request_seconds",
			Help:    "Time from a request's arrival to its outcome.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 16),
		}, []string{"queue", "outcome"}),
	}
	r.MustRegister(m.requests, m.seconds,
		gauge("marjoramspan_fresh", "1 while the entry may admit work.", func() float64 {
			fresh, _ := e.view.Fresh(e.now())
			return boolToFloat(fresh)
		}),
		gauge("marjoramspan_log_cut", "1 while the entry can't read the platform's log.", func() float64 {
			return boolToFloat(e.view.IsCutOff(e.now()))
		}),
		gauge("marjoramspan_state_next", "Offset of the next state record.", func() float64 {
			return float64(e.fold.next())
		}),
		gauge("marjoramspan_claims_unlogged", "Claims and settlements that wait for the log.", func() float64 {
			return float64(e.claims.home.Pending())
		}),
		gauge("marjoramspan_unreachable_vms", "Live VMs that could not be reached or refused a request, and have answered none since.", func() float64 {
			unreachable, _ := e.vms.countLeftOut(e.now())
			return float64(unreachable)
		}),
		gauge("marjoramspan_leaving_vms", "Live VMs that get no requests as they reported that they are leaving.", func() float64 {
			_, leaving := e.vms.countLeftOut(e.now())
			return float64(leaving)
		}),
		gauge("marjoramspan_open_requests", "Requests without an outcome yet.", func() float64 {
			return float64(e.account.Totals().Open)
		}),
	)
	return m
}

func gauge(name, help string, value func() float64) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value)
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func (m metrics) observe(r msaccount.Row, took time.Duration) {
	m.requests.WithLabelValues(r.Team, r.Pool, r.Queue, string(r.Outcome), r.Reason).Inc()
	m.seconds.WithLabelValues(r.Queue, string(r.Outcome)).Observe(took.Seconds())
}
