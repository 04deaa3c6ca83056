package msentry

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"marjoramspan/msaccount"
	"marjoramspan/msclock"
	"marjoramspan/msrequest"
	"marjoramspan/msrule"
	"marjoramspan/msteam"
	"marjoramspan/msupstream"
)

// The headers between callers and entries.
const (
	// HeaderOutcome says what became of the request: one of the Outcome values.
	HeaderOutcome = "X-Outcome"
	// HeaderReason is one word for why.
	HeaderReason = "X-Reason"
	// HeaderRequestID names the request in logs. The caller may set it.
	HeaderRequestID = "X-Request-Id"
	// HeaderIdempotencyKey names a request that must run at most once.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderDeadline is how long the caller waits, in milliseconds.
	HeaderDeadline = "X-Deadline-Ms"
	// HeaderTeam tells the upstream whose request it is.
	HeaderTeam = "X-Team"
	// HeaderFirstStatus is the status of the first answer to a request whose
	// key was used again.
	HeaderFirstStatus = "X-First-Status"
)

// The values of HeaderOutcome.
const (
	// OutcomeAnswered is an upstream's whole answer.
	OutcomeAnswered = "answered"
	// OutcomeNotRun says that no part of the request reached an upstream.
	OutcomeNotRun = "not-run"
	// OutcomeUnknown says that the request may have run.
	OutcomeUnknown = "unknown"
	// OutcomeDuplicate says that this request was not run because an earlier
	// one with its idempotency key is running or has run.
	OutcomeDuplicate = "duplicate"
)

// PathQueues begins the path of every caller's request; the queue's name and
// the upstream's path follow.
const PathQueues = "/v1/queues/"

// request is one caller's request on its way through the entry.
type request struct {
	e *Entry
	w http.ResponseWriter
	r *http.Request
	// id is the caller's name for the request, attempt the entry's own.
	id, attempt string
	queue       msrule.Queue
	team        string
	key         string
	path        string
	body        []byte
	arrived     time.Time
	deadline    time.Time
	log         *zap.Logger
}

// ServeHTTP takes a caller's request.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.account.RequestReceived()
	rq := &request{e: e, w: w, r: r, arrived: e.now(), attempt: uuid.NewString(), log: e.Log}
	rq.id = r.Header.Get(HeaderRequestID)
	if rq.id == "" {
		rq.id = rq.attempt
	}
	w.Header().Set(HeaderRequestID, rq.id)
	rq.sayClose()
	rq.log = e.Log.With(zap.String("request-id", rq.id))
	if f := rq.admit(); f != nil {
		rq.fail(f)
		return
	}
	rq.serve()
}

// sayClose has the caller open another connection for its next request, while
// the entry drains: a request that meets the closing of an idle connection has
// an unknown outcome.
func (rq *request) sayClose() {
	if rq.e.draining.Load() {
		rq.w.Header().Set("Connection", "close")
	}
}

// failure is what a caller is told of a request that was not answered.
type failure struct {
	status  int
	outcome string
	reason  string
	detail  string
	// retry is after how long another try makes sense; zero says nothing.
	retry time.Duration
	first int
}

// failureBody is the body of a failure.
type failureBody struct {
	Outcome     string `json:"outcome"`
	Reason      string `json:"reason"`
	Detail      string `json:"detail,omitempty"`
	RequestID   string `json:"request-id"`
	FirstStatus int    `json:"first-status,omitempty"`
}

// retrySoon is when a caller may try again after a refusal that passes by itself.
const retrySoon = time.Second

func notRun(status int, reason, detail string) *failure {
	return &failure{status: status, outcome: OutcomeNotRun, reason: reason, detail: detail}
}

// admit decides who asks for what, and whether the entry may decide at all.
func (rq *request) admit() *failure {
	if f := rq.e.mayAdmit(); f != nil {
		return f
	}
	t := rq.e.fold.tables()
	name, path, _ := strings.Cut(strings.TrimPrefix(rq.r.URL.Path, PathQueues), "/")
	rq.path = "/" + path
	q, ok := t.rules.Queue(name)
	if !ok {
		return notRun(http.StatusNotFound, "no-such-queue", "there is no queue "+strconv.Quote(name))
	}
	rq.queue = q
	if f := rq.authenticate(t); f != nil {
		return f
	}
	rq.key = rq.r.Header.Get(HeaderIdempotencyKey)
	if !q.Idempotent && rq.key == "" {
		return notRun(http.StatusBadRequest, "idempotency-key-required", "requests of this queue need the header "+HeaderIdempotencyKey)
	}
	if f := rq.keepBody(); f != nil {
		return f
	}
	return rq.setDeadline()
}

// mayAdmit refuses where the entry can't know that its tables are in force.
func (e *Entry) mayAdmit() *failure {
	if !e.joined.Load() {
		return &failure{status: http.StatusServiceUnavailable, outcome: OutcomeNotRun, reason: "starting", retry: retrySoon}
	}
	if fresh, _ := e.view.Fresh(e.now()); !fresh {
		return &failure{status: http.StatusServiceUnavailable, outcome: OutcomeNotRun, reason: "stale", detail: "this entry can't tell whether its rules are in force", retry: retrySoon}
	}
	return nil
}

func (rq *request) authenticate(t *tables) *failure {
	if rq.queue.Open {
		rq.team = rq.queue.Teams[0]
		return nil
	}
	secret, ok := strings.CutPrefix(rq.r.Header.Get("Authorization"), "Bearer ")
	if !ok || secret == "" {
		return notRun(http.StatusUnauthorized, "key-missing", "this queue needs a key: Authorization: Bearer KEY")
	}
	k, ok := t.rules.Key(msrule.Digest(secret))
	if !ok {
		return notRun(http.StatusUnauthorized, "key-unknown", "the key is unknown or was withdrawn")
	}
	if !rq.queue.Admits(k.Team) {
		return notRun(http.StatusForbidden, "key-not-admitted", "the queue does not take work of the key's team")
	}
	rq.team = k.Team
	return nil
}

func (rq *request) setDeadline() *failure {
	rq.deadline = rq.arrived.Add(rq.queue.Deadline)
	text := rq.r.Header.Get(HeaderDeadline)
	if text == "" {
		return nil
	}
	ms, err := strconv.Atoi(text)
	if err != nil || ms <= 0 {
		return notRun(http.StatusBadRequest, "bad-deadline", HeaderDeadline+" must be a whole number of milliseconds above 0")
	}
	if d := rq.arrived.Add(time.Duration(ms) * time.Millisecond); d.Before(rq.deadline) {
		rq.deadline = d
	}
	return nil
}

// serve runs an admitted request.
func (rq *request) serve() {
	if rq.queue.Idempotent {
		rq.run(nil)
		return
	}
	cl := &msrequest.Claim{Team: rq.team, Key: rq.key, Request: rq.attempt, Digest: rq.digest()}
	if f := rq.claim(cl); f != nil {
		rq.fail(f)
		return
	}
	rq.run(cl)
}

// digest says what a keyed request asks for. Of a body that is not kept only
// the length counts.
func (rq *request) digest() string {
	length := strconv.FormatInt(rq.r.ContentLength, 10)
	return msrule.Digest(rq.r.Method + " " + rq.r.URL.RequestURI() + " " + length + " " + string(rq.body))
}

func (rq *request) claim(cl *msrequest.Claim) *failure {
	a := rq.askHome(cl)
	switch a.Verdict {
	case msrequest.Granted:
		return nil
	case msrequest.Running:
		return &failure{status: http.StatusConflict, outcome: OutcomeDuplicate, reason: "key-running", retry: retrySoon}
	case msrequest.Done:
		return &failure{status: http.StatusConflict, outcome: OutcomeDuplicate, reason: "key-done", first: a.Status}
	case msrequest.Mismatch:
		return notRun(http.StatusUnprocessableEntity, "key-mismatch", "the idempotency key was used for another request")
	case msrequest.Unknown:
		return &failure{status: http.StatusConflict, outcome: OutcomeUnknown, reason: "key-unknown-outcome", detail: "a request with this key may have run"}
	default:
		// The home may still come to grant the claim; it hears that nothing ran.
		rq.settle(cl, msrequest.OutcomeNotRun, 0)
		return &failure{status: http.StatusServiceUnavailable, outcome: OutcomeNotRun, reason: "claim-unavailable", retry: retrySoon}
	}
}

// claimPause is the pause before a claim is brought to its home again.
const claimPause = 100 * time.Millisecond

// askHome brings the claim to its home until the home answers, the deadline has
// passed or the caller has gone. A home may be unreachable until the view has
// changed; asking again with the same request is harmless.
func (rq *request) askHome(cl *msrequest.Claim) msrequest.Answer {
	ctx := rq.r.Context()
	for {
		a := rq.e.claims.ask(context.WithoutCancel(ctx), *cl)
		if a.Verdict != msrequest.NotHome || !rq.e.now().Add(claimPause).Before(rq.deadline) {
			return a
		}
		if err := msclock.Sleep(ctx, rq.e.Clock, claimPause); err != nil {
			return a
		}
	}
}

func (rq *request) settle(cl *msrequest.Claim, o msrequest.Outcome, status int) {
	if cl == nil {
		return
	}
	go rq.e.claims.settle(context.WithoutCancel(rq.r.Context()), msrequest.Event{Claim: *cl, Outcome: o, Status: status})
}

// fail tells the caller why its request was not answered.
func (rq *request) fail(f *failure) {
	rq.count(f)
	h := rq.w.Header()
	h.Set(HeaderOutcome, f.outcome)
	h.Set(HeaderReason, f.reason)
	h.Set("Content-Type", "application/json")
	if f.retry > 0 {
		h.Set("Retry-After", strconv.Itoa(int(max(time.Second, f.retry).Seconds())))
	}
	if f.first != 0 {
		h.Set(HeaderFirstStatus, strconv.Itoa(f.first))
	}
	rq.w.WriteHeader(f.status)
	body := failureBody{Outcome: f.outcome, Reason: f.reason, Detail: f.detail, RequestID: rq.id, FirstStatus: f.first}
	_ = json.NewEncoder(rq.w).Encode(body)
}

func (rq *request) count(f *failure) {
	o := msaccount.Refused
	if f.outcome == OutcomeUnknown {
		o = msaccount.Unknown
	}
	rq.tell(o, f.reason)
	rq.log.Info("request refused",
		zap.String("team", rq.team),
		zap.String("queue", rq.queue.Name),
		zap.String("outcome", f.outcome),
		zap.String("reason", f.reason))
}

func (rq *request) tell(o msaccount.Outcome, reason string) {
	now := rq.e.now()
	row := msaccount.Row{Team: rq.team, Pool: rq.queue.Pool, Queue: rq.queue.Name, Outcome: o, Reason: reason}
	rq.e.account.RecordOutcome(row, now)
	rq.e.metrics.told(row, now.Sub(rq.arrived))
}

// refusal turns the scheduler's refusal into what the caller is told.
func refusal(err error) *failure {
	f := &failure{status: http.StatusTooManyRequests, outcome: OutcomeNotRun, reason: "full", detail: err.Error(), retry: retrySoon}
	var r *msteam.Refusal
	if errors.As(err, &r) {
		f.reason = string(r.Reason)
		f.retry = max(retrySoon, r.Wait)
	}
	return f
}

// upstreamFailure turns a sender's error into what the caller is told.
func upstreamFailure(err *msupstream.Error) *failure {
	if !err.Sent {
		return &failure{status: http.StatusServiceUnavailable, outcome: OutcomeNotRun, reason: "upstream-" + err.Reason, retry: retrySoon}
	}
	status := http.StatusBadGateway
	if err.Reason == "timeout" {
		status = http.StatusGatewayTimeout
	}
	return &failure{status: status, outcome: OutcomeUnknown, reason: "upstream-" + err.Reason}
}
