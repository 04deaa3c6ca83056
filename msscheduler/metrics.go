package msscheduler

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"marjoramspan/msjob"
	"marjoramspan/mspause"
	"marjoramspan/mswait"
	"marjoramspan/msworker"
)

// Metrics has the Prometheus metrics of a scheduler.
type Metrics struct {
	passes prometheus.Histogram
	orders *prometheus.HistogramVec
	ends   *prometheus.CounterVec
	jobs   *prometheus.CounterVec
	// losses counts attempts without a listed end, workers the workers that have ended.
	losses, workers *prometheus.CounterVec
	givenUp         prometheus.Counter
	delayedRestarts prometheus.Counter
	// cancels has the times until the leader knows of a cancel, and until the job has stopped.
	cancels *prometheus.HistogramVec
	// refusedRecords counts the records that the log refused for good.
	refusedRecords *prometheus.CounterVec
	// newerSites counts the jobs that another entry accepted by a newer site than this
	// entry had.
	newerSites prometheus.Counter
	// evacuatedZones has the evacuated data centres, evacuatedLeft the attempts there, and
	// evacuatedTasks the tasks that were stopped there.
	evacuatedZones, evacuatedLeft prometheus.Gauge
	evacuatedTasks                *prometheus.CounterVec
	// teamCores and teamShare have what the running tasks of each team take.
	teamCores, teamShare *prometheus.GaugeVec
	// interferingPairs counts the pairs of images that slow each other down, apart the
	// placements for which that mattered.
	interferingPairs prometheus.Gauge
	apart            *prometheus.CounterVec
	// waits has the longest wait of a job beside free workers, by reason.
	waits *prometheus.GaugeVec
	// paused counts the paused workers, by reason.
	paused *prometheus.GaugeVec
	// nextLives counts the first answers of restarted workers, expiredLeases the workers that
	// were given up as their lease had expired.
	nextLives, expiredLeases *prometheus.CounterVec
}

// NewMetrics creates the metrics and registers them with reg.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		passes: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "marjoramspan_pass_seconds", Help: "Time of one pass of decisions.",
			Buckets: []float64{0.0001, 0.0003, 0.001, 0.003, 0.01, 0.03, 0.1},
		}),
		orders: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "marjoramspan_order_seconds", Help: "Time of one try of an order to a worker, by order and outcome.",
			Buckets: []float64{0.002, 0.005, 0.01, 0.03, 0.1, 0.3, 1},
		}, []string{"order", "outcome"}),
		ends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "marjoramspan_attempts_ended_total", Help: "Attempts that workers have listed as ended, by how.",
		}, []string{"how"}),
		jobs: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "marjoramspan_jobs_ended_total", Help: "Jobs that have ended, by state.",
		}, []string{"state"}),
	}
	m.losses = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "marjoramspan_attempts_lost_total", Help: "Attempts that ended without a listed end, by what ended their worker.",
	}, []string{"worker_end"})
	m.workers = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "marjoramspan_workers_ended_total", Help: "Workers that ended with attempts on them, by what ended them.",
	}, []string{"worker_end"})
	m.givenUp = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "marjoramspan_tasks_given_up_total", Help: "Tasks that are not started again, as they crash their workers.",
	})
	m.delayedRestarts = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "marjoramspan_restarts_delayed_total", Help: "Restarts of long-running tasks that were delayed, as they may crash their workers.",
	})
	m.refusedRecords = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "marjoramspan_log_refused_records_total", Help: "Records of the leader that the log refused for good, so that they are not stored, by stream.",
	}, []string{"stream"})
	m.cancels = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name:    "marjoramspan_cancel_seconds",
		Help:    "Time of a cancel by stage: known, from its storing until the leader has read it; stopped, from then until no attempt of the job is left.",
		Buckets: []float64{0.01, 0.03, 0.1, 0.3, 1, 2, 4, 8},
	}, []string{"stage"})
	reg.MustRegister(m.refusedRecords, m.cancels)
	m.newerSites = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "marjoramspan_jobs_of_newer_site_total", Help: "Jobs that another entry accepted by a newer version of the site than the leader had read.",
	})
	m.evacuatedZones = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "marjoramspan_evacuated_data_centres", Help: "Data centres that operators evacuate, by this leader's view.",
	})
	m.evacuatedLeft = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "marjoramspan_evacuated_attempts", Help: "Attempts that may still run in evacuated data centres.",
	})
	m.evacuatedTasks = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "marjoramspan_tasks_evacuated_total", Help: "Tasks stopped in evacuated data centres to start elsewhere, by kind.",
	}, []string{"kind"})
	reg.MustRegister(m.evacuatedZones, m.evacuatedLeft, m.evacuatedTasks)
	m.teamCores = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "marjoramspan_team_running_cores", Help: "Cores that the running tasks of a team reserve, apart from long-running and backfill ones.",
	}, []string{"team"})
	m.teamShare = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "marjoramspan_team_share", Help: "Largest part of a pool that a team's running and recently started tasks take.",
	}, []string{"team"})
	m.interferingPairs = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "marjoramspan_interfering_pairs", Help: "Pairs of images found to slow each other down on a worker.",
	})
	m.apart = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "marjoramspan_interference_placements_total", Help: "Placements that avoided an image that interferes, or had to be beside one.",
	}, []string{"outcome"})
	m.waits = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "marjoramspan_wait_beside_free_workers_seconds", Help: "Longest time for which a job that could run has had nothing running beside free workers, by reason.",
	}, []string{"reason"})
	m.paused = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "marjoramspan_paused_workers", Help: "Workers that get no new tasks for a time, by reason.",
	}, []string{"reason"})
	m.nextLives = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "marjoramspan_worker_lives_total", Help: "First answers of the next lives of workers under their IDs, by whether the answer already fenced off calls for earlier lives.",
	}, []string{"fenced"})
	m.expiredLeases = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "marjoramspan_leases_expired_total", Help: "Workers with attempts whose lease expired while they were unreachable, by the source of the lease.",
	}, []string{"source"})
	reg.MustRegister(m.interferingPairs, m.apart, m.waits, m.paused, m.nextLives, m.expiredLeases)
	reg.MustRegister(m.passes, m.orders, m.ends, m.jobs, m.losses, m.workers, m.givenUp, m.delayedRestarts, m.newerSites, m.teamCores, m.teamShare)
	return m
}

func (m *Metrics) pass(took time.Duration) {
	if m != nil {
		m.passes.Observe(took.Seconds())
	}
}

func (m *Metrics) order(order string, err error, took time.Duration) {
	if m == nil {
		return
	}
	outcome := "ok"
	if err != nil {
		outcome = msworker.ReasonOf(err).String()
	}
	m.orders.WithLabelValues(order, outcome).Observe(took.Seconds())
}

func (m *Metrics) end(reason msworker.EndReason) {
	if m == nil {
		return
	}
	switch reason {
	case msworker.EndDone, msworker.EndFailed, msworker.EndStopped, msworker.EndLapsed, msworker.EndBroken, msworker.EndAlone:
	default:
		// Each value of a label takes memory, and workers may send any.
		reason = "other"
	}
	m.ends.WithLabelValues(string(reason)).Inc()
}

func (m *Metrics) job(s msjob.State) {
	if m != nil {
		m.jobs.WithLabelValues(s.String()).Inc()
	}
}

func (m *Metrics) lost(end workerEnd) {
	if m != nil {
		m.losses.WithLabelValues(end.String()).Inc()
	}
}

func (m *Metrics) workerEnded(end workerEnd) {
	if m != nil {
		m.workers.WithLabelValues(end.String()).Inc()
	}
}

func (m *Metrics) nextLife(fenced bool) {
	if m != nil {
		m.nextLives.WithLabelValues(strconv.FormatBool(fenced)).Inc()
	}
}

func (m *Metrics) leaseExpired(source msworker.LeaseSource) {
	if m != nil {
		m.expiredLeases.WithLabelValues(string(source)).Inc()
	}
}

func (m *Metrics) cancel(stage string, took time.Duration) {
	if m != nil {
		m.cancels.WithLabelValues(stage).Observe(took.Seconds())
	}
}

func (m *Metrics) refusedRecord(stream string) {
	if m != nil {
		m.refusedRecords.WithLabelValues(stream).Inc()
	}
}

func (m *Metrics) newerSite() {
	if m != nil {
		m.newerSites.Inc()
	}
}

func (m *Metrics) gaveUp() {
	if m != nil {
		m.givenUp.Inc()
	}
}

func (m *Metrics) delayedRestart() {
	if m != nil {
		m.delayedRestarts.Inc()
	}
}

func (m *Metrics) evacuation(zones, attempts int) {
	if m != nil {
		m.evacuatedZones.Set(float64(zones))
		m.evacuatedLeft.Set(float64(attempts))
	}
}

func (m *Metrics) evacuatedTask(longRunning bool) {
	if m == nil {
		return
	}
	kind := "checkpoints"
	if longRunning {
		kind = "long-running"
	}
	m.evacuatedTasks.WithLabelValues(kind).Inc()
}

func (m *Metrics) setShare(team string, cores, share float64) {
	if m != nil {
		m.teamCores.WithLabelValues(team).Set(cores)
		m.teamShare.WithLabelValues(team).Set(share)
	}
}

// resetShares removes the shares, which only a leader knows.
func (m *Metrics) resetShares() {
	if m != nil {
		m.teamCores.Reset()
		m.teamShare.Reset()
	}
}

// setWaits sets the longest waits beside free workers.
func (m *Metrics) setWaits(longest map[mswait.Reason]time.Duration) {
	if m == nil {
		return
	}
	m.waits.Reset()
	for r, d := range longest {
		m.waits.WithLabelValues(string(r)).Set(d.Seconds())
	}
}

// setPaused sets how many workers are paused.
func (m *Metrics) setPaused(n map[mspause.Reason]int) {
	if m == nil {
		return
	}
	m.paused.Reset()
	for r, n := range n {
		if r != mspause.None {
			m.paused.WithLabelValues(r.String()).Set(float64(n))
		}
	}
}

func (m *Metrics) interfering(pairs int) {
	if m != nil {
		m.interferingPairs.Set(float64(pairs))
	}
}

// placedApart counts a placement that "avoided" an image that interferes, or is "beside" one.
func (m *Metrics) placedApart(outcome string) {
	if m != nil {
		m.apart.WithLabelValues(outcome).Inc()
	}
}
