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
	// HeaderOutcome is the outcome of the request: one of the Outcome values.
	HeaderOutcome = "X-Outcome"
	// HeaderReason is a one-word reason for the outcome.
	HeaderReason = "X-Reason"
	// HeaderRequestID identifies the request in logs. The caller may set it.
	HeaderRequestID = "X-Request-Id"
	// HeaderIdempotencyKey identifies a request that must run at most once.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderDeadline is how long the caller waits, in milliseconds.
	HeaderDeadline = "X-Deadline-Ms"
	// HeaderTeam tells the upstream which team the request belongs to.
	HeaderTeam = "X-Team"
	// HeaderFirstStatus is the status of the response to the first request with the
	// same idempotency key.
	HeaderFirstStatus = "X-First-Status"
)

// The values of HeaderOutcome.
const (
	// OutcomeAnswered is a complete response of an upstream.
	OutcomeAnswered = "answered"
	// OutcomeNotRun means that no part of the request reached an upstream.
	OutcomeNotRun = "not-run"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown = "unknown"
	// OutcomeDuplicate means that this request did not run because an earlier one
	// with the same idempotency key is running or has run.
	OutcomeDuplicate = "duplicate"
)

// PathQueues is the path prefix of every caller's request; the name of the queue and
// the path at the upstream follow.
const PathQueues = "/v1/queues/"

// request is one caller's request while the entry handles it.
type request struct {
	e *Entry
	w http.ResponseWriter
	r *http.Request
	// id is the caller's request id, or attempt if the caller set none; attempt is unique to this request.
	id, attempt string
	queue       msrule.Queue
	team        string
	key         string
	path        string
	body        []byte
	// broken counts the VMs that got the request and did not answer.
	broken   int
	arrived  time.Time
	deadline time.Time
	log      *zap.Logger
}

// ServeHTTP handles a caller's request.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.account.RequestReceived()
	rq := &request{e: e, w: w, r: r, arrived: e.now(), attempt: uuid.NewString(), log: e.Log}
	rq.id = r.Header.Get(HeaderRequestID)
	if rq.id == "" {
		rq.id = rq.attempt
	}
	w.Header().Set(HeaderRequestID, rq.id)
	rq.closeWhileDraining()
	rq.log = e.Log.With(zap.String("request-id", rq.id))
	if f := rq.admit(); f != nil {
		rq.fail(f)
		return
	}
	rq.serve()
}

// closeWhileDraining tells the caller to use a new connection for its next request
// while the entry drains: a request sent while an idle connection is being closed
// has an unknown outcome.
func (rq *request) closeWhileDraining() {
	if rq.e.draining.Load() {
		rq.w.Header().Set("Connection", "close")
	}
}

// failure describes a request without an upstream's response, as reported to the caller.
type failure struct {
	status  int
	outcome string
	reason  string
	detail  string
	// retryAfter is the delay of the Retry-After header; zero omits the header.
	retryAfter  time.Duration
	firstStatus int
}

// failureBody is the JSON body of a failure.
type failureBody struct {
	Outcome     string `json:"outcome"`
	Reason      string `json:"reason"`
	Detail      string `json:"detail,omitempty"`
	RequestID   string `json:"request-id"`
	FirstStatus int    `json:"first-status,omitempty"`
}

// defaultRetryAfter is the Retry-After delay of temporary failures.
const defaultRetryAfter = time.Second

func notRun(status int, reason, detail string) *failure {
	return &failure{status: status, outcome: OutcomeNotRun, reason: reason, detail: detail}
}

// admit checks that the entry may admit work, authenticates the caller and reads
// the request's parameters.
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
	if f := rq.bufferBody(); f != nil {
		return f
	}
	return rq.setDeadline()
}

// mayAdmit refuses while the entry can't know that its tables are in force.
func (e *Entry) mayAdmit() *failure {
	if !e.joined.Load() {
		return &failure{status: http.StatusServiceUnavailable, outcome: OutcomeNotRun, reason: "starting", retryAfter: defaultRetryAfter}
	}
	if fresh, _ := e.view.Fresh(e.now()); !fresh {
		return &failure{status: http.StatusServiceUnavailable, outcome: OutcomeNotRun, reason: "stale", detail: "this entry can't tell whether its rules are in force", retryAfter: defaultRetryAfter}
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
	k, ok := t.rules.KeyByDigest(msrule.Digest(secret))
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

// serve runs an admitted request; one with an idempotency key is claimed first.
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

// digest identifies the content of a request with an idempotency key. Of a body that
// is not buffered only the length counts.
func (rq *request) digest() string {
	length := strconv.FormatInt(rq.r.ContentLength, 10)
	return msrule.Digest(rq.r.Method + " " + rq.r.URL.RequestURI() + " " + length + " " + string(rq.body))
}

func (rq *request) claim(cl *msrequest.Claim) *failure {
	a := rq.claimWithRetry(cl)
	switch a.Verdict {
	case msrequest.Granted:
		return nil
	case msrequest.Running:
		return &failure{status: http.StatusConflict, outcome: OutcomeDuplicate, reason: "key-running", retryAfter: defaultRetryAfter}
	case msrequest.Done:
		return &failure{status: http.StatusConflict, outcome: OutcomeDuplicate, reason: "key-done", firstStatus: a.Status}
	case msrequest.Mismatch:
		return notRun(http.StatusUnprocessableEntity, "key-mismatch", "the idempotency key was used for another request")
	case msrequest.Unknown:
		return &failure{status: http.StatusConflict, outcome: OutcomeUnknown, reason: "key-unknown-outcome", detail: "a request with this key may have run"}
	default:
		// The home may still grant the claim later, so it is told that nothing ran.
		rq.settle(cl, msrequest.OutcomeNotRun, 0)
		return &failure{status: http.StatusServiceUnavailable, outcome: OutcomeNotRun, reason: "claim-unavailable", retryAfter: defaultRetryAfter}
	}
}

// claimRetryInterval is the pause before a claim is sent to its home again.
const claimRetryInterval = 100 * time.Millisecond

// claimWithRetry sends the claim to its home until the home answers, the deadline has
// passed or the caller has gone. A home may be unreachable until the view changes;
// sending the same claim again is harmless.
func (rq *request) claimWithRetry(cl *msrequest.Claim) msrequest.Answer {
	ctx := rq.r.Context()
	for {
		a := rq.e.claims.requestClaim(context.WithoutCancel(ctx), *cl)
		if a.Verdict != msrequest.NotHome || !rq.e.now().Add(claimRetryInterval).Before(rq.deadline) {
			return a
		}
		if err := msclock.Sleep(ctx, rq.e.Clock, claimRetryInterval); err != nil {
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

// fail writes the failure as the response.
func (rq *request) fail(f *failure) {
	rq.recordFailure(f)
	h := rq.w.Header()
	h.Set(HeaderOutcome, f.outcome)
	h.Set(HeaderReason, f.reason)
	h.Set("Content-Type", "application/json")
	if f.retryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(max(time.Second, f.retryAfter).Seconds())))
	}
	if f.firstStatus != 0 {
		h.Set(HeaderFirstStatus, strconv.Itoa(f.firstStatus))
	}
	rq.w.WriteHeader(f.status)
	body := failureBody{Outcome: f.outcome, Reason: f.reason, Detail: f.detail, RequestID: rq.id, FirstStatus: f.firstStatus}
	_ = json.NewEncoder(rq.w).Encode(body)
}

func (rq *request) recordFailure(f *failure) {
	o := msaccount.Refused
	if f.outcome == OutcomeUnknown {
		o = msaccount.Unknown
	}
	rq.recordOutcome(o, f.reason)
	rq.log.Info("request refused",
		zap.String("team", rq.team),
		zap.String("queue", rq.queue.Name),
		zap.String("outcome", f.outcome),
		zap.String("reason", f.reason))
}

func (rq *request) recordOutcome(o msaccount.Outcome, reason string) {
	now := rq.e.now()
	row := msaccount.Row{Team: rq.team, Pool: rq.queue.Pool, Queue: rq.queue.Name, Outcome: o, Reason: reason}
	rq.e.account.RecordOutcome(row, now)
	rq.e.metrics.observe(row, now.Sub(rq.arrived))
}

// refusalFailure converts a refusal of the scheduler to a failure.
func refusalFailure(err error) *failure {
	f := &failure{status: http.StatusTooManyRequests, outcome: OutcomeNotRun, reason: "full", detail: err.Error(), retryAfter: defaultRetryAfter}
	var r *msteam.Refusal
	if errors.As(err, &r) {
		f.reason = string(r.Reason)
		f.retryAfter = max(defaultRetryAfter, r.Wait)
	}
	return f
}

// upstreamFailure converts an error of the sender to a failure.
func upstreamFailure(err *msupstream.Error) *failure {
	if !err.Sent {
		return &failure{status: http.StatusServiceUnavailable, outcome: OutcomeNotRun, reason: "upstream-" + err.Reason, retryAfter: defaultRetryAfter}
	}
	status := http.StatusBadGateway
	if err.Reason == "timeout" {
		status = http.StatusGatewayTimeout
	}
	return &failure{status: status, outcome: OutcomeUnknown, reason: "upstream-" + err.Reason}
}
