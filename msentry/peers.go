package msentry

import (
	"context"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"

	"marjoramspan/msclock"
	"marjoramspan/mspeer"
	"marjoramspan/msrequest"
	"marjoramspan/msstate"
	"marjoramspan/msteam"
	"marjoramspan/mstoken"
)

const (
	// exchangeTimeout bounds one token exchange with a peer.
	exchangeTimeout = 500 * time.Millisecond
	// exchangeInterval is the longest pause between two token exchanges.
	exchangeInterval = 100 * time.Millisecond
	// maxRecords is the most state records in one reply to a peer.
	maxRecords = 500
	// peerStopTimeout bounds the wait for open calls of peers during shutdown.
	peerStopTimeout = time.Second
)

// links holds the connections to the other members.
type links struct {
	mu sync.Mutex
	// byID is guarded by mu.
	byID map[string]*mspeer.Link
}

func (ls *links) get(id string) *mspeer.Link {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	return ls.byID[id]
}

// set adds links to new members and closes those to former ones.
func (ls *links) set(members []msstate.Member, e *Entry) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	kept := make(map[string]*mspeer.Link, len(members))
	for _, m := range members {
		if m.ID == e.id {
			continue
		}
		l := ls.byID[m.ID]
		if l == nil {
			l = &mspeer.Link{Address: m.Peer, OnRefused: func() { e.view.RecordRefused(m.ID, e.now()) }}
		}
		kept[m.ID] = l
		delete(ls.byID, m.ID)
	}
	for _, l := range ls.byID {
		go l.Close()
	}
	ls.byID = kept
}

func (ls *links) close() {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	for _, l := range ls.byID {
		l.Close()
	}
	ls.byID = nil
}

// sendHeartbeats sends a heartbeat to each other member, once per heartbeat interval.
func (e *Entry) sendHeartbeats(ctx context.Context) error {
	for {
		for _, m := range e.fold.tables().state.Members {
			if l := e.links.get(m.ID); l != nil {
				go e.sendHeartbeat(ctx, m.ID, l)
			}
		}
		if err := msclock.Sleep(ctx, e.Clock, e.Settings.Peers.Heartbeat); err != nil {
			return nil
		}
		e.updateEntitlements()
		e.dispatchAll()
	}
}

func (e *Entry) sendHeartbeat(ctx context.Context, id string, l *mspeer.Link) {
	sentAt := e.now()
	ctx, cancel := context.WithTimeout(ctx, e.Settings.Peers.Heartbeat)
	defer cancel()
	var reply *mspeer.Status
	err := l.CallHeartbeat(ctx, func(ctx context.Context, p mspeer.PeerClient) error {
		var err error
		reply, err = p.Beat(ctx, &mspeer.BeatRequest{Member: e.id})
		return err
	})
	if err != nil {
		e.Log.Debug("heartbeat failed", zap.Error(err))
		return
	}
	if reply.GetMember() != id {
		// Another process has the member's address, so the member has ended.
		e.view.RecordRefused(id, e.now())
	}
	e.handleStatus(ctx, l, reply, sentAt)
}

// status returns this entry's reply to a heartbeat.
func (e *Entry) status() *mspeer.Status {
	now := e.now()
	st := e.view.Status(now)
	st.Unlogged = e.claims.home.Pending()
	st.Epoch = e.fold.tables().state.Epoch
	st.UnloggedOld = e.claims.table.UnloggedBefore(st.Epoch)
	m := mspeer.FromStatus(st)
	u := e.currentUse(now)
	m.RulesVersion = u.version
	m.Used = u.used
	m.Leaving = u.leaving
	return m
}

// useReportsPerHeartbeat is how often at most the use report is renewed in each heartbeat
// interval. In between, all peers get the same report.
const useReportsPerHeartbeat = 4

// useReport is the use and the leaving VMs that an entry reports to its peers. It is
// immutable.
type useReport struct {
	at      time.Time
	version uint64
	used    []*mspeer.Use
	leaving []string
}

// currentUse returns the current use report, and renews it when it is too old.
func (e *Entry) currentUse(now time.Time) *useReport {
	e.useMu.Lock()
	defer e.useMu.Unlock()
	if e.lastUse != nil && now.Sub(e.lastUse.at) < e.Settings.Peers.Heartbeat/useReportsPerHeartbeat {
		return e.lastUse
	}
	var used []mspeer.PoolUsage
	for _, p := range e.pools.all() {
		for _, u := range p.used() {
			used = append(used, mspeer.PoolUsage{Pool: p.name, Usage: u})
		}
	}
	t := e.fold.tables()
	e.lastUse = &useReport{
		at:      now,
		version: t.state.RulesVersion,
		used:    mspeer.FromUsage(used, t.names),
		leaving: e.vms.leavingVMs(now),
	}
	return e.lastUse
}

// handleStatus processes a peer's reply to a heartbeat that was sent at sentAt.
func (e *Entry) handleStatus(ctx context.Context, l *mspeer.Link, m *mspeer.Status, sentAt time.Time) {
	now := e.now()
	ahead := e.view.RecordStatus(mspeer.ToStatus(m), sentAt, now)
	for _, vm := range m.GetLeaving() {
		e.vms.hearLeaving(vm, now)
	}
	e.handleUse(m, now)
	e.claims.updateAgreed(now)
	if ahead > 0 {
		e.catchUp(ctx, l)
	}
}

// handleUse processes a peer's use report. It is ignored while the peer has another
// version of the rules.
func (e *Entry) handleUse(m *mspeer.Status, now time.Time) {
	t := e.fold.tables()
	if m.GetRulesVersion() != t.state.RulesVersion {
		return
	}
	byPool := make(map[string][]msteam.Usage)
	for _, u := range mspeer.ToUsage(m.GetUsed(), t.names) {
		byPool[u.Pool] = append(byPool[u.Pool], u.Usage)
	}
	for _, p := range e.pools.all() {
		p.setRemoteUse(m.GetMember(), byPool[p.name], now)
	}
}

// catchUp fetches and folds the state records that a peer has and this entry lacks.
func (e *Entry) catchUp(ctx context.Context, l *mspeer.Link) {
	for {
		var reply *mspeer.RecordsReply
		err := l.Call(ctx, func(ctx context.Context, p mspeer.PeerClient) error {
			var err error
			reply, err = p.Records(ctx, &mspeer.RecordsRequest{From: e.fold.next(), Max: maxRecords})
			return err
		})
		if err != nil || len(reply.GetRecords()) == 0 {
			return
		}
		for _, r := range mspeer.ToRecords(reply.GetRecords()) {
			if err := e.fold.apply(r); err != nil {
				e.Log.Warn("can't apply a peer's record", zap.Error(err))
				return
			}
		}
	}
}

// exchangeTokens sends the ledger's batches to its peers until ctx is done.
func (e *Entry) exchangeTokens(ctx context.Context) error {
	for {
		for _, b := range e.ledger.Outgoing(e.now()) {
			go e.exchangeBatch(ctx, b)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-e.exchangeSignal:
		case <-e.Clock.After(exchangeInterval):
		}
	}
}

func (e *Entry) exchangeBatch(ctx context.Context, b mstoken.Batch) {
	l := e.links.get(b.To)
	if l == nil {
		e.ledger.Expire(b.To, b.Items, e.now())
		return
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	req := &mspeer.ExchangeRequest{Member: e.id, Items: mspeer.FromItems(b.Items)}
	var reply *mspeer.ExchangeReply
	err := l.Call(ctx, func(ctx context.Context, p mspeer.PeerClient) error {
		var err error
		reply, err = p.Exchange(ctx, req)
		return err
	})
	if err != nil {
		e.ledger.Expire(b.To, b.Items, e.now())
		return
	}
	e.ledger.HandleGrants(b.To, mspeer.ToGrants(reply.GetGifts()), e.now())
	e.dispatchAll()
}

// peerServer implements the gRPC service for the other entries.
type peerServer struct {
	mspeer.UnimplementedPeerServer
	e *Entry
}

// Beat answers a heartbeat.
func (s *peerServer) Beat(_ context.Context, _ *mspeer.BeatRequest) (*mspeer.Status, error) {
	return s.e.status(), nil
}

// Exchange answers as the home of the named resources, and accepts requests from the
// homes of other resources.
func (s *peerServer) Exchange(_ context.Context, m *mspeer.ExchangeRequest) (*mspeer.ExchangeReply, error) {
	gifts := s.e.ledger.HandleExchange(m.GetMember(), mspeer.ToItems(m.GetItems()), s.e.now())
	s.e.dispatchAll()
	return &mspeer.ExchangeReply{Gifts: mspeer.FromGrants(gifts)}, nil
}

// Claim answers as the home of an idempotency key.
func (s *peerServer) Claim(ctx context.Context, m *mspeer.ClaimRequest) (*mspeer.ClaimReply, error) {
	a := s.e.claims.handleClaim(ctx, msrequest.Claim{Team: m.GetTeam(), Key: m.GetKey(), Request: m.GetRequest(), Digest: m.GetDigest()})
	return &mspeer.ClaimReply{Verdict: string(a.Verdict), Status: int32(a.Status)}, nil
}

// Settle records the outcome of a claim.
func (s *peerServer) Settle(ctx context.Context, m *mspeer.SettleRequest) (*mspeer.SettleReply, error) {
	s.e.claims.home.Settle(context.WithoutCancel(ctx), msrequest.Event{
		Claim:   msrequest.Claim{Team: m.GetTeam(), Key: m.GetKey(), Request: m.GetRequest()},
		Outcome: msrequest.Outcome(m.GetOutcome()),
		Status:  int(m.GetStatus()),
	})
	return &mspeer.SettleReply{}, nil
}

// Records returns records of the state stream.
func (s *peerServer) Records(_ context.Context, m *mspeer.RecordsRequest) (*mspeer.RecordsReply, error) {
	rs, next := s.e.fold.recordsFrom(m.GetFrom(), min(int(m.GetMax()), maxRecords))
	return &mspeer.RecordsReply{Next: next, Records: mspeer.FromRecords(rs)}, nil
}

// servePeers serves other entries on l until ctx is done.
func (e *Entry) servePeers(ctx context.Context, l net.Listener) error {
	srv := grpc.NewServer()
	mspeer.RegisterPeerServer(srv, &peerServer{e: e})
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(l) }()
	select {
	case err := <-failed:
		return &Error{Op: "serve peers", Err: err}
	case <-ctx.Done():
	}
	stopped := make(chan struct{})
	go func() {
		srv.GracefulStop()
		close(stopped)
	}()
	select {
	case <-stopped:
	case <-e.Clock.After(peerStopTimeout):
		srv.Stop()
	}
	return nil
}
