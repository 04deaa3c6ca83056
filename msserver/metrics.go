package msserver

import "github.com/prometheus/client_golang/prometheus"

// GuardMetrics counts the connections of Guards. A nil *GuardMetrics counts nothing.
type GuardMetrics struct {
	open   *prometheus.GaugeVec
	closed *prometheus.CounterVec
}

// NewGuardMetrics creates the metrics and registers them with reg.
func NewGuardMetrics(reg prometheus.Registerer) *GuardMetrics {
	m := &GuardMetrics{
		open: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "marjoramspan_connections_open", Help: "Open connections of clients, by listener.",
		}, []string{"listener"}),
		closed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "marjoramspan_connections_closed_total",
			Help: "Connections that were closed as their clients exceeded a limit, by listener and reason.",
		}, []string{"listener", "reason"}),
	}
	reg.MustRegister(m.open, m.closed)
	return m
}

func (m *GuardMetrics) setOpen(listener string, n int) {
	if m != nil {
		m.open.WithLabelValues(listener).Set(float64(n))
	}
}

func (m *GuardMetrics) countClosed(listener, reason string) {
	if m != nil {
		m.closed.WithLabelValues(listener, reason).Inc()
	}
}
