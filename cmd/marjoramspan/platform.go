package main

import (
	"bytes"
	"cmp"
	"context"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	klog "github.com/go-kratos/kratos/v2/log"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/oklog/run"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"marjoramspan/msclock"
	"marjoramspan/msintake"
	"marjoramspan/msjob"
	"marjoramspan/msjournal"
	"marjoramspan/msleader"
	"marjoramspan/msoutput"
	"marjoramspan/msscheduler"
	"marjoramspan/msserver"
	"marjoramspan/mssite"
	"marjoramspan/msworker"
	"marjoramspan/platform"
)

const (
	// The streams of the system itself.
	streamJobs     = "ms-jobs"
	streamProgress = "ms-progress"
	streamVMOrders = "ms-vm-orders"
	streamLeader   = "ms-leader"

	// metricsPort is the port of the metrics, as the deploy file names it.
	metricsPort = 7001
	// appendConnections, readConnections and longReadConnections bound the connections to
	// the log, and workerConnections those to a worker or another service. A read that waits
	// keeps one busy, and so does a call whose answer is lost. Up to 15 appends and 16 reads
	// are under way beside their repeats, and one long read for each job stream.
	appendConnections   = 24
	readConnections     = 24
	longReadConnections = 8
	workerConnections   = 6
	// renewalConnections and listConnections are for calls of which one is made at a time; an
	// earlier one may still be closing.
	renewalConnections = 2
	listConnections    = 2
	// readerPause is the pause between two reads of an entry that doesn't schedule;
	// it bounds how late callers see a job's state.
	readerPause = 200 * time.Millisecond
	// leaderPause is the same for the entry that schedules.
	leaderPause = 10 * time.Millisecond
	// slowReaderPause, slowLeaderPause and slowStreamPause extend the pauses of readers, of the
	// leader and of additional job streams while the log refuses reads for their number. Callers
	// see a job's state later then, but configurations, which are read as often as before, are
	// in force in time.
	slowReaderPause = 800 * time.Millisecond
	slowLeaderPause = 50 * time.Millisecond
	slowStreamPause = 2 * time.Second
	// streamPause is the pause of an entry that doesn't schedule between two reads of an
	// additional job stream. It needs their jobs only for answers about jobs that another
	// entry has accepted, and looks up jobs that it doesn't know.
	streamPause = 600 * time.Millisecond
	// streamWait is how long such a read waits for a record, near the 30 s that the log
	// allows.
	streamWait = 25 * time.Second
	// idleStreamPause is the pause once a stream had no record for streamIdle.
	idleStreamPause = time.Minute
	streamIdle      = 30 * time.Second
	// leaderStreamWait is how long reads of the entry that schedules wait. A dead connection
	// hides the jobs of a stream that was idle for as long.
	leaderStreamWait = 2 * time.Second
	// keyLeaseShare is the share of the time for withdrawing a key for which an
	// entry goes on without knowing that its keys are in force.
	keyLeaseShare = 0.7
	// balancerLag is how long the balancer may still send after an entry has said
	// that it isn't ready: two questions, a second apart, the way, and a VM that is
	// slow to accept connections.
	balancerLag = 3800 * time.Millisecond
	// stopTime is kept free of the grace for requests that are still open.
	stopTime = 1500 * time.Millisecond
	// answerTime is kept free of stopTime for answers to requests whose work is given
	// up.
	answerTime = 300 * time.Millisecond
	// stopLinger is how long the process lives on after its listener has closed, as a
	// connection may have been accepted just before.
	stopLinger = 100 * time.Millisecond
	// readyAge is how old an entry's view may be for it to be ready.
	readyAge = 4 * time.Second
	// settingsPoll is the time between two looks at the settings file.
	settingsPoll = time.Second
	// heapShare is the share of the memory limit that the heap may grow to.
	heapShare = 0.6
	// platformGCPercent keeps the heap small; memory is scarcer than processor time.
	platformGCPercent = 100
	// maxMetricsRequests is how many requests for the metrics are answered at a time.
	maxMetricsRequests = 4
)

type platformCmd struct {
	Settings string `env:"MARJORAMSPAN_BOOT" required:"" help:"The platform's settings file (YAML)."`
	Level    string `default:"info" help:"The lowest level of log lines: debug, info, warn or error."`
}

// Run serves on the users' platform until ctx is done.
func (c *platformCmd) Run(ctx context.Context) error {
	// Caught before all else and until the process exits: without a handler SIGHUP ends it.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	set, err := platform.LoadSettings(c.Settings)
	if err != nil {
		return err
	}
	clock := &msclock.Boot{}
	out := &msoutput.Writer{Out: os.Stdout, Clock: clock}
	logger, err := newPlatformLogger(out, c.Level)
	if err != nil {
		return err
	}
	defer func() { _ = out.Sync() }()
	klog.SetLogger(kratosLog{log: logger})
	if n := threads(set.CPULimit, runtime.GOMAXPROCS(0)); n < runtime.GOMAXPROCS(0) {
		runtime.GOMAXPROCS(n)
	}
	debug.SetGCPercent(platformGCPercent)
	if set.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(float64(set.MemoryLimit) * heapShare))
	}
	n := &node{path: c.Settings, reload: reload, clock: clock, begun: clock.Now(), log: logger.With(zap.String("entry", set.Name))}
	n.set.Store(set)
	n.build()
	return n.run(ctx)
}

// threads returns how many threads may run Go code at a time, for a limit in cores and the
// runtime's own choice. The runtime uses at least two; on a VM with less than a core the
// second only wakes up to look for work, which takes a fourth of a leader's processor time.
func threads(limit float64, chosen int) int {
	if limit <= 0 {
		return chosen
	}
	return min(chosen, max(1, int(math.Ceil(limit))))
}

func newPlatformLogger(out *msoutput.Writer, level string) (*zap.Logger, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	cfg := zap.NewProductionEncoderConfig()
	cfg.TimeKey = "time"
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.EncodeDuration = zapcore.StringDurationEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(cfg), zapcore.AddSync(out), l)), nil
}

// node is one entry on the users' platform: it takes jobs, and schedules them
// while it leads.
type node struct {
	path string
	// reload receives SIGHUP.
	reload <-chan os.Signal
	clock  *msclock.Boot
	log    *zap.Logger
	set    atomic.Pointer[platform.Settings]

	reg      *prometheus.Registry
	journal  msjournal.Log
	pacer    *msjournal.Pacer
	sites    mssite.Store
	registry msworker.Registry
	jobs     msjob.Table

	operators, workers, records *msjournal.Follower
	writer                      *msjournal.Writer
	// streams follow the additional job streams and streamWriters append to them, both
	// numbered from 1. An element of streamInUse is closed once its stream is in use.
	streams       []*msjournal.Follower
	streamWriters []*msjournal.Writer
	streamInUse   []chan struct{}
	leader        *msleader.Elector
	intake        *msintake.Intake
	metrics       *msscheduler.Metrics
	guardMetrics  *msserver.GuardMetrics
	callers       platform.CallersHandler
	stalls        msclock.StallDetector
	orders        msworker.Orders
	vms           msworker.VMs
	advise        msworker.Advisor

	begun    time.Time
	draining atomic.Bool
	// resignedAt is when the entry last resigned as the leader, or zero. Only the current
	// term uses it.
	resignedAt time.Time
	mu         sync.Mutex
	engine     *msscheduler.Engine
}

func (n *node) build() {
	set := n.set.Load()
	n.reg = prometheus.NewRegistry()
	n.metrics = msscheduler.NewMetrics(n.reg)
	n.guardMetrics = msserver.NewGuardMetrics(n.reg)
	n.callers.Bodies.Limit = func() int64 { return n.set.Load().BodyBudget() }
	n.callers.Metrics = platform.NewBodyMetrics(n.reg, &n.callers.Bodies)
	calls := &platform.Calls{Clock: n.clock, Logger: n.log}
	n.reg.MustRegister(calls, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "marjoramspan_leads", Help: "1 while this entry schedules, otherwise 0.",
	}, func() float64 {
		if n.scheduler() != nil {
			return 1
		}
		return 0
	}))
	logClient := &platform.LogClient{
		Client: platform.NewClient(readConnections), Appends: platform.NewClient(appendConnections), LongReads: platform.NewClient(longReadConnections),
		Address: func() string { return n.set.Load().LogAddr }, Limits: set.LogLimits, Calls: calls,
	}
	n.pacer = &msjournal.Pacer{Clock: n.clock, Jitter: rand.Float64}
	n.reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "marjoramspan_log_read_slowdown", Help: "By how much this entry slows its reads of the log down, as the log refuses reads for their number: from 0, not at all, to 1.",
	}, n.pacer.Level))
	repeater := &msjournal.Repeater{Log: n.pacer.Watch(logClient.Log()), Clock: n.clock, Metrics: msjournal.NewRepeatMetrics(n.reg)}
	n.journal = repeater.Repeated()
	n.orders = (&platform.OrderClient{Client: platform.NewWorkerClient(workerConnections), Renewals: platform.NewWorkerClient(renewalConnections)}).Orders()
	n.vms = (&platform.VMClient{
		Client: platform.NewClient(workerConnections), Lists: platform.NewClient(listConnections),
		Address: func() string { return n.set.Load().VMServiceAddr },
	}).VMs()
	n.advise = (&platform.AdviceClient{Client: platform.NewClient(workerConnections), Address: func() string { return n.set.Load().AdvisorAddr }}).Advise
	name := msjournal.ProducerName(set.Name, n.clock.Now(), rand.Uint64())
	n.operators = n.follower(platform.StreamOperators, func(r msjournal.Record) error { return platform.ApplyOperatorRecord(&n.sites, r) }, n.sites.BeginListing)
	n.operators.Loaded = n.sites.EndListing
	n.workers = n.follower(platform.StreamWorkers, func(r msjournal.Record) error { return platform.ApplyWorkerRecord(&n.registry, r) }, n.registry.Reset)
	n.records = n.follower(streamJobs, func(r msjournal.Record) error {
		return n.jobs.Apply(msjob.Record{Key: r.Key, Value: r.Value})
	}, n.jobs.Reset)
	n.records.Pause = func() time.Duration {
		if n.scheduler() != nil {
			return leaderPause + n.pacer.Pause(slowLeaderPause)
		}
		return readerPause + n.pacer.Pause(slowReaderPause)
	}
	n.writer = &msjournal.Writer{Log: n.journal, Clock: n.clock, Logger: n.log, Stream: streamJobs, Producer: name}
	n.buildStreams(name)
	n.operators.Regained, n.records.Regained = n.rereadJobStreams, n.rereadJobStreams
	n.watchStalls()
	n.leader = &msleader.Elector{
		Log: n.journal, Clock: n.clock, Logger: n.log, Stream: streamLeader,
		Holder: name, VM: set.Name + "@" + set.ListenAddr, Jitter: rand.Float64, Lead: n.lead,
		CandidacyDelay: n.handicap, MilliCores: n.milliCores(), Pacer: n.pacer,
	}
	n.reportAge(streamLeader, n.leader.CurrentAsOf)
	n.intake = &msintake.Intake{
		Clock: n.clock, Logger: n.log, Sites: &n.sites, Jobs: &n.jobs,
		Journal: n.records, Writer: n.writer, SiteCurrent: n.operators.CurrentAsOf, Operators: n.operators,
		RollbackSlack: set.Bounds.RollbackSlack, SiteLimit: set.Bounds.ConfigApply,
		LastStall: n.stalls.Last,
		ReadPause: func() time.Duration { return n.pacer.Pause(slowReaderPause) },
		Metrics:   msintake.NewMetrics(n.reg),
	}
	n.intake.Streams = &msintake.Streams{
		Clock: n.clock, Logger: n.log, Jobs: &n.jobs, Shared: n.writer, Writers: n.streamWriters,
		Journals: n.streams, Metrics: msintake.NewStreamMetrics(n.reg),
	}
	if b := set.Bounds; b.StrictKeyWithdrawal {
		n.intake.SiteLease = time.Duration(float64(b.KeyWithdrawal) * keyLeaseShare)
	}
	n.jobs.OnJob = func(j msjob.TableEntry) {
		n.sites.Announce(j.Job.SiteVersion)
		if e := n.scheduler(); e != nil {
			e.AddJob(j)
		}
	}
	n.jobs.OnCopy = func(id string, stream int) {
		if e := n.scheduler(); e != nil {
			e.AddCopy(id, stream)
		}
	}
	n.jobs.OnCancel = func(id string) {
		if e := n.scheduler(); e != nil {
			e.Cancel(id)
		}
	}
	n.sites.OnChange = func(s *mssite.Site) {
		n.log.Info("site in force", zap.Int64("version", s.Version), zap.Int("queues", len(s.Queues)), zap.Int("teams", len(s.Teams)))
		if e := n.scheduler(); e != nil {
			e.SiteChanged()
		}
	}
}

// minStall is the shortest time for which the process counts as having stood still, in
// deployments that don't bound how late a request may be handled.
const minStall = 100 * time.Millisecond

// watchStalls prepares the detection of times in which the process stood still.
func (n *node) watchStalls() {
	stalls := prometheus.NewCounter(prometheus.CounterOpts{
		Name: "marjoramspan_stalled_seconds_total", Help: "Time for which the process stood still.",
	})
	n.reg.MustRegister(stalls)
	n.stalls.Clock, n.stalls.Min = n.clock, cmp.Or(n.set.Load().Bounds.RollbackSlack/2, minStall)
	n.stalls.OnStall = func(d time.Duration) {
		stalls.Add(d.Seconds())
		n.log.Warn("process stood still", zap.Duration("for", d))
	}
}

// jobStream returns the name of a stream of jobs and cancels.
func jobStream(number int) string {
	if number == 0 {
		return streamJobs
	}
	return streamJobs + "-" + strconv.Itoa(number)
}

// buildStreams creates what reads the additional job streams and writes to them.
func (n *node) buildStreams(producer string) {
	for i := 1; i <= msjob.AdditionalStreams; i++ {
		var lastRecord atomic.Int64
		f := n.follower(jobStream(i), func(r msjournal.Record) error {
			lastRecord.Store(int64(n.clock.Now().Sub(n.begun)))
			return n.jobs.ApplyFrom(i, msjob.Record{Key: r.Key, Value: r.Value})
		}, func() { n.jobs.ResetStream(i) })
		f.Pause = func() time.Duration {
			if n.scheduler() != nil {
				return leaderPause + n.pacer.Pause(slowLeaderPause)
			}
			if idle := n.clock.Now().Sub(n.begun) - time.Duration(lastRecord.Load()); idle > streamIdle && !n.intake.Streams.Using() {
				return idleStreamPause
			}
			return streamPause + n.pacer.Pause(slowStreamPause)
		}
		f.Wait = func() time.Duration {
			if n.scheduler() != nil {
				return leaderStreamWait
			}
			return streamWait
		}
		n.streams = append(n.streams, f)
		n.streamInUse = append(n.streamInUse, make(chan struct{}))
		n.streamWriters = append(n.streamWriters, &msjournal.Writer{Log: n.journal, Clock: n.clock, Logger: n.log, Stream: jobStream(i), Producer: producer})
	}
	n.jobs.OnStream = func(stream int) {
		n.log.Info("job stream in use", zap.String("stream", jobStream(stream)))
		close(n.streamInUse[stream-1])
	}
}

// followStream follows an additional job stream once it is in use.
func (n *node) followStream(ctx context.Context, number int) error {
	select {
	case <-ctx.Done():
		return nil
	case <-n.streamInUse[number-1]:
	}
	return n.streams[number-1].Run(ctx)
}

func (n *node) follower(stream string, apply func(r msjournal.Record) error, reset func()) *msjournal.Follower {
	f := &msjournal.Follower{
		Log: n.journal, Clock: n.clock, Logger: n.log, Stream: stream, Reset: reset,
		Apply: func(r msjournal.Record, offset int64) {
			if err := apply(r); err != nil {
				n.log.Warn("record left aside", zap.String("stream", stream), zap.Int64("offset", offset), zap.Error(err))
			}
		},
	}
	n.reportAge(stream, f.CurrentAsOf)
	return f
}

// reportAge registers the age of the entry's view of a stream as a metric.
func (n *node) reportAge(stream string, currentAsOf func() time.Time) {
	n.reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name:        "marjoramspan_stream_age_seconds",
		Help:        "Age of the entry's view of a stream that it follows, by stream; 0 before the first read.",
		ConstLabels: prometheus.Labels{"stream": stream},
	}, func() float64 {
		at := currentAsOf()
		if at.IsZero() {
			return 0
		}
		return n.clock.Now().Sub(at).Seconds()
	}))
}

const (
	// oldProcess is the uptime from which processes count as equally old, and
	// uptimeHandicap what they wait.
	oldProcess     = 30 * time.Second
	uptimeHandicap = 60 * time.Millisecond
	// An entry with less than leadCores stands later, by up to weakHandicap.
	leadCores    = msleader.LeadMilliCores / 1000.0
	weakHandicap = 600 * time.Millisecond
)

// handicap lets entries with enough processor time stand first, and of these the
// ones that were restarted last: in a rolling restart the term then changes once and
// not each time.
func (n *node) handicap() time.Duration {
	up := min(1, n.clock.Now().Sub(n.begun).Seconds()/oldProcess.Seconds())
	weak := max(0, 1-n.set.Load().CPULimit/leadCores)
	return time.Duration(up*float64(uptimeHandicap) + weak*float64(weakHandicap))
}

// scheduler returns the engine of the current term, or nil.
func (n *node) scheduler() *msscheduler.Engine {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.engine
}

// lead schedules for one term.
func (n *node) lead(ctx context.Context, t msleader.Term) error {
	set := n.set.Load()
	b := set.Bounds
	e := &msscheduler.Engine{
		Term: t, Holder: set.Name, Log: n.journal, PublicStream: streamJobs, ProgressStream: streamProgress, VMOrderStream: streamVMOrders, Jobs: &n.jobs, Journal: n.records, JobJournals: n.streams,
		Registry: &n.registry, Orders: n.orders, VMs: n.vms, Advise: n.advise, Sites: &n.sites, Operators: n.operators, Report: platform.WaveStatusRecord, ReportStream: platform.StreamReports,
		Clock: n.clock, Wall: msclock.System{}, Logger: n.log, Metrics: n.metrics,
		Settings: msscheduler.Settings{
			MaxLease: b.MaxLease, StatusRetention: b.StatusRetention, MinHolderInterval: b.MinHolderInterval,
			MaintenanceDuration: b.MaintenanceDuration, EvacuationDeadline: b.EvacuationDeadline,
			WarmupOverage: b.WarmupOverage, WarmupSlack: b.WarmupSlack,
			MaxAttempts: set.MaxAttempts(),
		},
	}
	n.setScheduler(e)
	defer n.setScheduler(nil)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wctx, cancel := context.WithCancel(ctx)
	wg.Add(1)
	go func() {
		defer wg.Done()
		defer close(stop)
		_ = n.workers.Run(wctx)
	}()
	defer wg.Wait()
	defer cancel()
	ectx, resign := context.WithCancel(ctx)
	defer resign()
	wg.Add(1)
	go func() {
		defer wg.Done()
		n.watchStanding(wctx, e, resign)
	}()
	return e.Run(ectx)
}

// standingPoll is the time between two looks whether the leader should resign, or whether the
// entry should offer to lead.
const standingPoll = time.Second

// watchStanding ends the term once another entry should lead.
func (n *node) watchStanding(ctx context.Context, e *msscheduler.Engine, resign func()) {
	began, wall := n.clock.Now(), msclock.System{}
	beganWall := wall.Now()
	for msclock.Sleep(ctx, n.clock, standingPoll) == nil {
		now, offer := n.clock.Now(), n.jobs.Offer()
		s := msleader.Standing{
			MilliCores: n.milliCores(), OfferAge: wall.Now().Sub(offer.Made),
			LedFor: now.Sub(began), SinceResigned: now.Sub(n.resignedAt),
		}
		if offer.Made.After(beganWall) {
			s.Offered = offer.MilliCores
		}
		s.Calm = s.Offered > 0 && e.Calm()
		if s.Resigns() {
			n.resignedAt = now
			n.log.Info("term given up for a larger VM", zap.Int64("millicores", s.MilliCores), zap.Int64("offered", s.Offered))
			resign()
			return
		}
	}
}

// offerToLead makes offers while an entry with less processor time leads, until ctx is done.
func (n *node) offerToLead(ctx context.Context) error {
	offeredAt := n.clock.Now().Add(-msleader.OfferInterval)
	for msclock.Sleep(ctx, n.clock, standingPoll) == nil {
		now, own := n.clock.Now(), n.milliCores()
		if n.draining.Load() || !msleader.Offers(own, n.leader.HolderMilliCores(), now.Sub(offeredAt)) {
			continue
		}
		offeredAt = now
		r, err := msjob.OfferRecord(n.set.Load().Name, msjob.Offer{MilliCores: own, Made: msclock.System{}.Now().UTC()})
		if err == nil {
			err = n.writer.Append(ctx, []msjournal.Record{{Key: r.Key, Value: r.Value}})
		}
		n.log.Info("offered to lead", zap.Int64("millicores", own), zap.Error(err))
	}
	return nil
}

// milliCores is the processor limit of the VM, in thousandths of a core, or 0 if unknown.
func (n *node) milliCores() int64 {
	return int64(n.set.Load().CPULimit * 1000)
}

// setScheduler sets the scheduler of this entry, or none. Followers ask for it while they
// apply records, so none of their methods is called with mu held.
func (n *node) setScheduler(e *msscheduler.Engine) {
	n.mu.Lock()
	n.engine = e
	n.mu.Unlock()
	if e != nil {
		n.rereadJobStreams()
	}
}

// rereadJobStreams begins new reads of the additional job streams. Theirs wait so long that
// the connections may have died meanwhile.
func (n *node) rereadJobStreams() {
	for _, f := range n.streams {
		f.Interrupt()
	}
}

func (n *node) run(ctx context.Context) error {
	set := n.set.Load()
	n.log.Info("started", zap.String("data-centre", set.DataCentre), zap.String("callers", set.ListenAddr), zap.String("log", set.LogAddr))
	base, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	callers, err := (&net.ListenConfig{}).Listen(ctx, "tcp", set.ListenAddr)
	if err != nil {
		return err
	}
	g := &run.Group{}
	add := func(name string, part func(ctx context.Context) error) {
		pctx, cancel := context.WithCancel(base)
		g.Add(func() error {
			err := part(pctx)
			if err != nil {
				n.log.Error("part failed", zap.String("part", name), zap.Error(err))
			}
			return err
		}, func(error) { cancel() })
	}
	add("operators", n.operators.Run)
	add("jobs", n.records.Run)
	add("writer", n.writer.Run)
	for i := range n.streams {
		add("writer of "+n.streams[i].Stream, n.streamWriters[i].Run)
		add(n.streams[i].Stream, func(ctx context.Context) error { return n.followStream(ctx, i+1) })
	}
	// The leader gives up its term with ctx, while the entry goes on answering.
	add("leader", func(pctx context.Context) error {
		lctx, cancel := context.WithCancel(ctx)
		defer cancel()
		defer context.AfterFunc(pctx, cancel)()
		if err := n.leader.Run(lctx); err != nil {
			return err
		}
		<-pctx.Done()
		return nil
	})
	add("settings", n.watchSettings)
	add("stalls", n.stalls.Run)
	add("offers", n.offerToLead)
	n.addServer(g, "ready", set.ReadyListenAddr, http.HandlerFunc(n.serveReady))
	n.addServer(g, "metrics", net.JoinHostPort(set.IP, strconv.Itoa(metricsPort)), promhttp.HandlerFor(n.reg, promhttp.HandlerOpts{MaxRequestsInFlight: maxMetricsRequests}))
	add("callers", func(pctx context.Context) error { return n.serveCallers(ctx, pctx, callers) })
	err = g.Run()
	n.log.Info("stopped", zap.Error(err))
	return err
}

// serviceLimits are those of the listeners for readiness checks and metrics. A load balancer or a
// collector has one connection or two, and sends a request without a body every few seconds.
var serviceLimits = msserver.Limits{
	MaxConns: 32, MaxHeaderBytes: 16 << 10,
	HeaderTimeout: 10 * time.Second, BodyTimeout: 10 * time.Second, IdleTimeout: 2 * time.Minute, WriteTimeout: 10 * time.Second,
}

func (n *node) addServer(g *run.Group, name, address string, h http.Handler) {
	guard := &msserver.Guard{Logger: n.log, Listener: name, Metrics: n.guardMetrics, Limits: func() msserver.Limits { return serviceLimits }}
	srv := &http.Server{Handler: h}
	guard.Attach(srv)
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error {
		go func() { _ = guard.Run(ctx) }()
		l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
		if err == nil {
			err = srv.Serve(guard.Listen(l))
		}
		n.log.Warn("listener ended", zap.String("address", address), zap.Error(err))
		return err
	}, func(error) {
		cancel()
		_ = srv.Close()
	})
}

func (n *node) serveReady(w http.ResponseWriter, _ *http.Request) {
	now := n.clock.Now()
	if n.draining.Load() || n.sites.Site() == nil || now.Sub(n.operators.CurrentAsOf()) > readyAge || now.Sub(n.records.CurrentAsOf()) > readyAge {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// serveCallers answers until outer is done and the balancer sends no more, or
// until inner is done.
func (n *node) serveCallers(outer, inner context.Context, l net.Listener) error {
	guard := &msserver.Guard{
		Logger: n.log, Listener: "callers", Metrics: n.guardMetrics,
		Limits: func() msserver.Limits { return platform.CallerLimits(n.set.Load(), n.sites.Site()) },
	}
	l = guard.Listen(l)
	srv := khttp.NewServer(khttp.Listener(l), khttp.Timeout(0),
		// Without an endpoint kratos asks the kernel for interfaces, which the
		// platform's VMs don't answer.
		khttp.Endpoint(&url.URL{Scheme: "http", Host: l.Addr().String()}))
	h := &n.callers
	h.Intake = n.intake
	serving, giveUp := context.WithCancel(context.WithoutCancel(inner))
	defer giveUp()
	srv.HandlePrefix("/", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		defer context.AfterFunc(serving, cancel)()
		h.ServeHTTP(w, r.WithContext(ctx))
	}))
	var conns msserver.Connections
	conns.Track(srv.Server)
	guard.Attach(srv.Server)
	go func() { _ = guard.Run(inner) }()
	failed := make(chan error, 1)
	go func() { failed <- srv.Start(context.WithoutCancel(inner)) }()
	select {
	case err := <-failed:
		return err
	case <-inner.Done():
		return srv.Close()
	case <-outer.Done():
	}
	n.draining.Store(true)
	lag := max(0, min(balancerLag, n.set.Load().Bounds.Grace-stopTime-stopMargin))
	n.log.Info("draining", zap.Duration("lag", lag))
	_ = msclock.Sleep(inner, n.clock, lag)
	sctx, cancel := context.WithTimeout(inner, stopTime)
	defer cancel()
	defer time.AfterFunc(stopTime-answerTime, giveUp).Stop()
	if err := conns.Stop(sctx, l, failed, srv.Stop); err != nil {
		n.log.Warn("requests were still open", zap.Error(err))
	}
	_ = msclock.Sleep(inner, n.clock, stopLinger)
	return nil
}

// stopMargin is kept free before the process is killed.
const stopMargin = 700 * time.Millisecond

// watchSettings reads the settings file when it has changed, on SIGHUP at once.
func (n *node) watchSettings(ctx context.Context) error {
	last, err := os.ReadFile(n.path)
	if err != nil {
		n.log.Warn("settings not read", zap.Error(err))
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.reload:
		case <-n.clock.After(settingsPoll):
		}
		b, err := os.ReadFile(n.path)
		if err != nil || bytes.Equal(b, last) {
			continue
		}
		last = b
		set, err := platform.LoadSettings(n.path)
		if err != nil {
			n.log.Warn("settings kept as they were", zap.Error(err))
			continue
		}
		n.set.Store(set)
		n.log.Info("settings reloaded", zap.String("log", set.LogAddr))
	}
}
