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
	// exchangeTimeout bounds one exchange of tokens.
	exchangeTimeout = 500 * time.Millisecond
	// exchangeInterval is the longest pause between two looks at what is due.
	exchangeInterval = 100 * time.Millisecond
	// maxRecords is how many records a peer hands over at a time.
	maxRecords = 500
	// peerStopTimeout is how long open calls of peers may take at the end.
	peerStopTimeout = time.Second
)

// links holds the way to each other member.
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

// set brings the links in line with the members.
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
			l = &mspeer.Link{Address: m.Peer, OnRefused: func() { e.view.Refused(m.ID, e.now()) }}
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

// sendHeartbeats tells the other members how this entry is, once each heartbeat.
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
	err := l.Beat(ctx, func(ctx context.Context, p mspeer.PeerClient) error {
		var err error
		reply, err = p.Beat(ctx, &mspeer.BeatRequest{Member: e.id})
		return err
	})
	if err != nil {
		e.Log.Debug("no heartbeat", zap.Error(err))
		return
	}
	if reply.GetMember() != id {
		// Another process has the member's address, so the member has ended.
		e.view.Refused(id, e.now())
	}
	e.handleStatus(ctx, l, reply, sentAt)
}

// status is what this entry says of itself in a heartbeat.
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

// useReportsPerHeartbeat is the part of a heartbeat's time for which what was told of use to one
// peer is told to the others as well.
const useReportsPerHeartbeat = 4

// useReport is what an entry tells its peers of use and of leaving VMs. It is not
// changed once it is made.
type useReport struct {
	at      time.Time
	version uint64
	used    []*mspeer.Use
	leaving []string
}

// currentUse returns what the teams currentUse here, made anew a few times each heartbeat.
func (e *Entry) currentUse(now time.Time) *useReport {
	e.useMu.Lock()
	defer e.useMu.Unlock()
	if e.used != nil && now.Sub(e.used.at) < e.Settings.Peers.Heartbeat/useReportsPerHeartbeat {
		return e.used
	}
	var used []mspeer.PoolUse
	for _, p := range e.pools.all() {
		for _, u := range p.used() {
			used = append(used, mspeer.PoolUse{Pool: p.name, Use: u})
		}
	}
	t := e.fold.tables()
	e.used = &useReport{
		at:      now,
		version: t.state.RulesVersion,
		used:    mspeer.FromUses(used, t.names),
		leaving: e.vms.leavingVMs(now),
	}
	return e.used
}

// handleStatus takes in a peer's answer to a heartbeat that was sent at asked.
func (e *Entry) handleStatus(ctx context.Context, l *mspeer.Link, m *mspeer.Status, sentAt time.Time) {
	now := e.now()
	ahead := e.view.Heard(mspeer.ToStatus(m), sentAt, now)
	for _, vm := range m.GetLeaving() {
		e.vms.setLeaving(vm, now)
	}
	e.handleUse(m, now)
	e.claims.updateAgreed(now)
	if ahead > 0 {
		e.catchUp(ctx, l)
	}
}

// handleUse takes in what a peer's teams use. A peer with other rules is heard
// again once both have the same.
func (e *Entry) handleUse(m *mspeer.Status, now time.Time) {
	t := e.fold.tables()
	if m.GetRulesVersion() != t.state.RulesVersion {
		return
	}
	byPool := make(map[string][]msteam.Use)
	for _, u := range mspeer.ToUses(m.GetUsed(), t.names) {
		byPool[u.Pool] = append(byPool[u.Pool], u.Use)
	}
	for _, p := range e.pools.all() {
		p.setRemoteUse(m.GetMember(), byPool[p.name], now)
	}
}

// catchUp folds the records that a peer has and this entry lacks.
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
				e.Log.Warn("a peer's record does not fit", zap.Error(err))
				return
			}
		}
	}
}

// exchangeTokens carries tokens until ctx is done.
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
	e.ledger.HandleGrants(b.To, mspeer.ToGifts(reply.GetGifts()), e.now())
	e.dispatchAll()
}

// peerServer answers the other entries.
type peerServer struct {
	mspeer.UnimplementedPeerServer
	e *Entry
}

// Beat answers a heartbeat.
func (s *peerServer) Beat(_ context.Context, _ *mspeer.BeatRequest) (*mspeer.Status, error) {
	return s.e.status(), nil
}

// Exchange answers as the home of the resources named, and takes calls from
// the homes of others.
func (s *peerServer) Exchange(_ context.Context, m *mspeer.ExchangeRequest) (*mspeer.ExchangeReply, error) {
	gifts := s.e.ledger.HandleExchange(m.GetMember(), mspeer.ToItems(m.GetItems()), s.e.now())
	s.e.dispatchAll()
	return &mspeer.ExchangeReply{Gifts: mspeer.FromGifts(gifts)}, nil
}

// Claim answers as the home of a key.
func (s *peerServer) Claim(ctx context.Context, m *mspeer.ClaimRequest) (*mspeer.ClaimReply, error) {
	a := s.e.claims.handleClaim(ctx, msrequest.Claim{Team: m.GetTeam(), Key: m.GetKey(), Request: m.GetRequest(), Digest: m.GetDigest()})
	return &mspeer.ClaimReply{Verdict: string(a.Verdict), Status: int32(a.Status)}, nil
}

// Settle takes in what became of a claim.
func (s *peerServer) Settle(ctx context.Context, m *mspeer.SettleRequest) (*mspeer.SettleReply, error) {
	s.e.claims.home.Settle(context.WithoutCancel(ctx), msrequest.Event{
		Claim:   msrequest.Claim{Team: m.GetTeam(), Key: m.GetKey(), Request: m.GetRequest()},
		Outcome: msrequest.Outcome(m.GetOutcome()),
		Status:  int(m.GetStatus()),
	})
	return &mspeer.SettleReply{}, nil
}

// Records hands over records of the state stream.
func (s *peerServer) Records(_ context.Context, m *mspeer.RecordsRequest) (*mspeer.RecordsReply, error) {
	rs, next := s.e.fold.recordsFrom(m.GetFrom(), min(int(m.GetMax()), maxRecords))
	return &mspeer.RecordsReply{Next: next, Records: mspeer.FromRecords(rs)}, nil
}

// servePeers answers other entries on l until ctx is done.
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
