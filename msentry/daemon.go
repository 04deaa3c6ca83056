package msentry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/oklog/run"
	"go.uber.org/zap"

	"marjoramspan/msclock"
	"marjoramspan/msserver"
	"marjoramspan/msstate"
)

const (
	// maxHeaderBytes bounds the headers of a caller's request.
	maxHeaderBytes = 16 << 10
	// headerTimeout bounds the wait for a caller's headers.
	headerTimeout = 10 * time.Second
	// idleTimeout bounds how long an idle connection of a caller stays open.
	idleTimeout = 2 * time.Minute
	// writeTimeout is how long a caller may accept no byte of a response.
	writeTimeout = 30 * time.Second
	// maxAdminConnections bounds the connections of operators, load balancer and collectors.
	maxAdminConnections = 64
	// drainPollInterval is the pause between two checks for work that still runs.
	drainPollInterval = 20 * time.Millisecond
)

// listeners are the three listening sockets of an entry.
type listeners struct {
	caller, admin, peer net.Listener
}

func listen(ctx context.Context, addresses ...string) ([]net.Listener, error) {
	var ls []net.Listener
	for _, a := range addresses {
		l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", a)
		if err != nil {
			for _, open := range ls {
				_ = open.Close()
			}
			return nil, &Error{Op: "listen", Err: err}
		}
		ls = append(ls, l)
	}
	return ls, nil
}

// Run serves until ctx is done and the entry has stopped gracefully.
func (e *Entry) Run(ctx context.Context) error {
	e.prepare()
	set := e.Settings.Entry
	ls, err := listen(ctx, set.Listen, set.AdminListen, set.PeerListen)
	if err != nil {
		return err
	}
	lns := listeners{caller: ls[0], admin: ls[1], peer: ls[2]}
	base, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	admin, guard := e.adminServer()
	lns.admin = guard.Listen(lns.admin)
	go func() { _ = admin.Serve(lns.admin) }()
	defer func() { _ = admin.Close() }()
	go func() { _ = guard.Run(base) }()
	if err := e.boot(ctx); err != nil {
		_ = lns.caller.Close()
		_ = lns.peer.Close()
		return err
	}
	defer e.links.close()
	return e.runGroup(ctx, base, lns).Run()
}

func (e *Entry) adminServer() (*http.Server, *msserver.Guard) {
	srv := &http.Server{Handler: e.adminHandler()}
	guard := e.newGuard("admin", func() msserver.Limits {
		return msserver.Limits{
			MaxConns: maxAdminConnections, MaxHeaderBytes: maxHeaderBytes,
			HeaderTimeout: headerTimeout, BodyTimeout: headerTimeout, IdleTimeout: idleTimeout, WriteTimeout: writeTimeout,
		}
	})
	guard.Attach(srv)
	return srv, guard
}

func (e *Entry) newGuard(listener string, limits func() msserver.Limits) *msserver.Guard {
	return &msserver.Guard{Logger: e.Log, Listener: listener, Limits: limits, Metrics: e.metrics.connections}
}

// callerLimits returns the limits of callers' connections. A body may take as long as the
// slowest request.
func (e *Entry) callerLimits() msserver.Limits {
	return msserver.Limits{
		MaxConns: e.Settings.Limits.MaxConnections, MaxHeaderBytes: maxHeaderBytes,
		HeaderTimeout: headerTimeout, BodyTimeout: e.drainTimeout(0), IdleTimeout: idleTimeout, WriteTimeout: writeTimeout,
	}
}

// runGroup returns the group of all concurrent parts of the entry. When one ends, all do.
func (e *Entry) runGroup(ctx, base context.Context, lns listeners) *run.Group {
	g := &run.Group{}
	e.addActor(base, g, e.followState)
	e.addActor(base, g, e.claims.follow)
	e.addActor(base, g, e.claims.batcher.Run)
	e.addActor(base, g, e.claims.flush)
	e.addActor(base, g, e.pollVMs)
	e.addActor(base, g, func(ctx context.Context) error { return e.servePeers(ctx, lns.peer) })
	e.addActor(base, g, e.exchangeTokens)
	e.addActor(base, g, e.sendHeartbeats)
	e.addActor(base, g, e.maintain)
	e.addActor(base, g, e.flushAccount)
	e.addActor(base, g, (&driver{e: e}).run)
	srv := e.newCallerServer(lns.caller)
	e.addActor(base, g, srv.guard.Run)
	e.addActor(base, g, func(inner context.Context) error { return e.serveCallers(ctx, inner, srv) })
	return g
}

func (e *Entry) addActor(base context.Context, g *run.Group, actor func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(base)
	g.Add(func() error { return actor(ctx) }, func(error) { cancel() })
}

// callerServer serves callers on a listener.
type callerServer struct {
	*khttp.Server
	listener net.Listener
	conns    msserver.Connections
	guard    *msserver.Guard
	// served gets the result of Start.
	served chan error
}

func (e *Entry) newCallerServer(l net.Listener) *callerServer {
	guard := e.newGuard("callers", e.callerLimits)
	l = guard.Listen(l)
	srv := &callerServer{Server: khttp.NewServer(khttp.Listener(l), khttp.Timeout(0)), listener: l, guard: guard, served: make(chan error, 1)}
	srv.conns.Track(srv.Server.Server)
	srv.HandlePrefix(PathQueues, e)
	guard.Attach(srv.Server.Server)
	return srv
}

// serveCallers joins the view and serves callers until outer is done or the entry is
// excluded, and then drains. It returns without draining when inner is done.
func (e *Entry) serveCallers(outer, inner context.Context, srv *callerServer) error {
	go func() { srv.served <- srv.Start(context.WithoutCancel(inner)) }()
	joining, cancel := context.WithCancel(inner)
	defer cancel()
	joined := make(chan error, 1)
	go func() { joined <- e.join(joining) }()
	for {
		select {
		case err := <-joined:
			if err != nil {
				return err
			}
			joined = nil
		case err := <-srv.served:
			return &Error{Op: "serve callers", Err: err}
		case <-inner.Done():
			_ = srv.Close()
			return nil
		case <-e.excluded:
			e.Log.Warn("excluded from the view")
			e.drain(inner, srv, 0)
			return ErrExcluded
		case <-outer.Done():
			e.drain(inner, srv, e.Settings.Drain.BalancerLag)
			e.leave(inner)
			return nil
		}
	}
}

// drain keeps answering while the balancer may still send requests, then stops
// accepting and completes the open ones.
func (e *Entry) drain(ctx context.Context, srv *callerServer, lag time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, e.drainTimeout(lag))
	defer cancel()
	e.draining.Store(true)
	e.Log.Info("draining")
	if err := msclock.Sleep(ctx, e.Clock, lag); err != nil {
		return
	}
	if err := srv.conns.Stop(ctx, srv.listener, srv.served, srv.Stop); err != nil {
		e.Log.Warn("drain ended with requests still open", zap.Error(err))
	}
	for e.running() && ctx.Err() == nil {
		_ = msclock.Sleep(ctx, e.Clock, drainPollInterval)
	}
}

// drainTimeout bounds a drain: it leaves time for the slowest request that may arrive
// while the balancer still sends.
func (e *Entry) drainTimeout(lag time.Duration) time.Duration {
	longest := e.Settings.Drain.Grace
	for _, q := range e.fold.tables().state.Rules.Queues {
		longest = max(longest, lag+q.Deadline+responseGrace)
	}
	return longest
}

// running reports whether any work that this entry started may still run.
func (e *Entry) running() bool {
	for _, t := range e.fold.tables().state.Totals {
		if e.ledger.Counts(t.Resource).Running > 0 {
			return true
		}
	}
	return e.claims.home.Pending() > 0
}

// leave appends the last account reports and removes the entry from the view. An entry
// that may still run work doesn't leave; it is excluded later, which waits for that work.
func (e *Entry) leave(ctx context.Context) {
	e.appendAccount(ctx, true)
	if !e.joined.Load() || e.running() {
		return
	}
	s := e.fold.tables().state
	ctx, cancel := context.WithTimeout(ctx, e.Settings.Peers.ExcludeAfter)
	defer cancel()
	c := msstate.NewChange(msstate.KindMemberLeave, e.author(), s.Epoch, msstate.MemberEnd{ID: e.id})
	if _, err := e.appendChange(ctx, c); err != nil && !errors.Is(err, context.Canceled) {
		e.Log.Warn("could not leave the view", zap.Error(err))
		return
	}
	e.Log.Info("left the view")
}
