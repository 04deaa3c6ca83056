package msstandin

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"marjoramspan/msclock"
)

// The headers in which an entry says what became of a request.
const (
	HeaderOutcome = "X-Outcome"
	HeaderReason  = "X-Reason"
)

// The values of HeaderOutcome that callers act on.
const (
	entryAnswered  = "answered"
	entryNotRun    = "not-run"
	entryDuplicate = "duplicate"
)

// Outcome is what a caller concludes about a request.
type Outcome string

// The outcomes of a request.
const (
	// OutcomeAnswered means that an upstream's answer came.
	OutcomeAnswered Outcome = "answered"
	// OutcomeRefused means that the request has not run.
	OutcomeRefused Outcome = "refused"
	// OutcomeUnknown means that it may have run.
	OutcomeUnknown Outcome = "unknown"
)

// CallerRecord is what a caller was told about one request.
type CallerRecord struct {
	ID      string  `json:"id"`
	Key     string  `json:"key,omitempty"`
	Team    string  `json:"team"`
	Queue   string  `json:"queue"`
	Tries   int     `json:"tries"`
	Outcome Outcome `json:"outcome"`
	Status  int     `json:"status,omitempty"`
	Reason  string  `json:"reason,omitempty"`
	// Whole says that the answer's body was the one of this request.
	Whole  bool  `json:"whole"`
	TookMS int64 `json:"took-ms"`
}

// Callers make the requests of a plan and record what they are told. A request
// is sent again, to another entry, after it was refused as not run, and under
// Plan.ResendUnknown after an unknown outcome.
type Callers struct {
	Plan Plan
	// HTTP sends the requests. The default keeps connections to each entry.
	HTTP *http.Client
	// Clock is the system's by default.
	Clock msclock.Clock
	// Record is given each request's end, one at a time.
	Record func(r CallerRecord) error

	mu sync.Mutex
}

// Run makes all requests of the plan, or stops starting them when ctx is done.
func (c *Callers) Run(ctx context.Context) error {
	if err := c.Plan.Check(); err != nil {
		return err
	}
	c.fill()
	var seed [32]byte
	binary.LittleEndian.PutUint64(seed[:], c.Plan.Seed)
	keys := rand.NewChaCha8(seed)
	rng := rand.New(rand.NewPCG(c.Plan.Seed, c.Plan.Seed))
	var g errgroup.Group
	g.SetLimit(c.Plan.concurrency())
	began := c.Clock.Now()
	for n := range c.Plan.Requests {
		if c.pace(ctx, began, n) != nil {
			break
		}
		cl := c.Plan.drawCall(n, rng)
		if !cl.queue.Idempotent {
			key, err := uuid.NewV7FromReader(keys)
			if err != nil {
				return err
			}
			cl.key = key.String()
		}
		g.Go(func() error { return c.make(ctx, cl) })
	}
	return g.Wait()
}

func (c *Callers) fill() {
	if c.Clock == nil {
		c.Clock = msclock.System{}
	}
	if c.HTTP == nil {
		n := c.Plan.concurrency()
		c.HTTP = &http.Client{
			Transport:     &http.Transport{MaxIdleConns: n * len(c.Plan.Entries), MaxIdleConnsPerHost: n},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		}
	}
}

// pace waits until request n is due.
func (c *Callers) pace(ctx context.Context, began time.Time, n int) error {
	if c.Plan.Rate <= 0 {
		return ctx.Err()
	}
	due := began.Add(time.Duration(float64(n) / c.Plan.Rate * float64(time.Second)))
	left := due.Sub(c.Clock.Now())
	if left <= 0 {
		return ctx.Err()
	}
	return msclock.Sleep(ctx, c.Clock, left)
}

// make sends one call until its outcome is settled, and records it.
func (c *Callers) make(ctx context.Context, cl call) error {
	began := c.Clock.Now()
	r := CallerRecord{ID: cl.id, Key: cl.key, Team: cl.team.Name, Queue: cl.queue.Name}
	unsettled := false
	for r.Tries < c.Plan.tries() {
		entry := c.Plan.Entries[(cl.entry+r.Tries)%len(c.Plan.Entries)]
		r.Tries++
		again := c.try(entry, cl, &r)
		unsettled = unsettled || r.Outcome == OutcomeUnknown
		if !again || r.Tries == c.Plan.tries() {
			break
		}
		if msclock.Sleep(ctx, c.Clock, c.Plan.pause()) != nil {
			break
		}
	}
	// A refusal of a later try says nothing about an earlier one.
	if unsettled && r.Outcome == OutcomeRefused {
		r.Outcome = OutcomeUnknown
	}
	r.TookMS = c.Clock.Now().Sub(began).Milliseconds()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.Record == nil {
		return nil
	}
	return c.Record(r)
}

// try sends a call to one entry, notes in r what came of it, and says whether
// the call may be sent again.
func (c *Callers) try(entry string, cl call, r *CallerRecord) bool {
	r.Status, r.Reason, r.Whole = 0, "", false
	ctx, cancel := context.WithTimeout(context.Background(), c.Plan.timeout())
	defer cancel()
	req, err := cl.request(ctx, entry)
	if err != nil {
		r.Outcome, r.Reason = OutcomeRefused, err.Error()
		return false
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		r.Outcome, r.Reason = outcomeOf(err), err.Error()
		return c.maySendAgain(r.Outcome)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	r.Status = resp.StatusCode
	r.Reason = resp.Header.Get(HeaderReason)
	outcome := resp.Header.Get(HeaderOutcome)
	switch {
	case err != nil:
		r.Outcome, r.Reason = OutcomeUnknown, "the answer broke off: "+err.Error()
	case outcome == entryAnswered:
		r.Outcome = OutcomeAnswered
		r.Whole = string(body) == cl.body
	case outcome == entryNotRun:
		r.Outcome = OutcomeRefused
	default:
		r.Outcome = OutcomeUnknown
	}
	return outcome != entryDuplicate && c.maySendAgain(r.Outcome)
}

func (c *Callers) maySendAgain(o Outcome) bool {
	return o == OutcomeRefused || (o == OutcomeUnknown && c.Plan.ResendUnknown)
}

// outcomeOf tells a request that never had a connection from one that may have
// arrived.
func outcomeOf(err error) Outcome {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return OutcomeRefused
	}
	return OutcomeUnknown
}

func (cl call) request(ctx context.Context, entry string) (*http.Request, error) {
	target := "http://" + entry + "/v1/queues/" + cl.queue.Name + "/" + strings.TrimPrefix(cl.queue.Path, "/")
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, strings.NewReader(cl.body))
	if err != nil {
		return nil, err
	}
	req.Header.Set(HeaderRequestID, cl.id)
	if cl.team.Secret != "" {
		req.Header.Set("Authorization", "Bearer "+cl.team.Secret)
	}
	if cl.key != "" {
		req.Header.Set(HeaderKey, cl.key)
	}
	// The transport sends a request with an idempotency key again by itself
	// unless its body can't be read twice.
	req.GetBody = nil
	return req, nil
}
