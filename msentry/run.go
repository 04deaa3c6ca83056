package msentry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"marjoramspan/msaccount"
	"marjoramspan/msrequest"
	"marjoramspan/msteam"
	"marjoramspan/msupstream"
)

const (
	// maxAttempts is how many times a request is sent, each time with a new grant.
	maxAttempts = 4
	// maxBroken is how many VMs may break off a request that is sent again: it may be the
	// request that takes them down.
	maxBroken = 2
	// responseGrace is how long after its deadline an upstream's response is still accepted.
	responseGrace = 250 * time.Millisecond
	// maxBufferedBody is the longest body that is buffered for resending, in bytes.
	maxBufferedBody = 64 << 10
	// copyBufferSize is the size of the buffer that responses are copied with, in bytes.
	copyBufferSize = 32 << 10
)

// errWithheld prevents the sending of a request when the entry is no longer fresh.
var errWithheld = errors.New("the entry is no longer fresh")

// errEvacuated prevents the sending of a request to a VM whose data centre is evacuated
// since the slot was granted. It is sent to another VM.
var errEvacuated = errors.New("the data centre of the VM is evacuated")

// run waits for a slot and sends the request to its VM, and retries with another slot
// if that fails and a retry is safe.
func (rq *request) run(cl *msrequest.Claim) {
	var last *failure
	for try := range maxAttempts {
		g, f := rq.acquireSlot()
		if f != nil {
			if last != nil {
				f = last
			}
			rq.settle(cl, msrequest.OutcomeNotRun, 0)
			rq.fail(f)
			return
		}
		err := rq.send(cl, g)
		if err == nil {
			return
		}
		if last == nil || last.outcome != OutcomeUnknown {
			// Once an attempt may have run, a later refusal can't make the outcome not-run.
			last = upstreamFailure(err)
		}
		if err.Sent {
			rq.broken++
		}
		if !rq.mayRetry(err, try) {
			break
		}
	}
	outcome := msrequest.OutcomeNotRun
	if last.outcome == OutcomeUnknown {
		outcome = msrequest.OutcomeUnknown
	}
	rq.settle(cl, outcome, 0)
	rq.fail(last)
}

// mayRetry reports whether the request may be sent again.
func (rq *request) mayRetry(err *msupstream.Error, try int) bool {
	if try+1 == maxAttempts || err.Reason == "canceled" || err.Reason == "withheld" && !errors.Is(err, errEvacuated) {
		return false
	}
	if err.Sent && (!rq.queue.Idempotent || rq.broken >= maxBroken) {
		return false
	}
	return rq.body != nil || rq.r.ContentLength == 0 || err.BodyUnread
}

// bufferBody reads a small body into memory, so that it can be sent more than once.
func (rq *request) bufferBody() *failure {
	n := rq.r.ContentLength
	if n > rq.e.Settings.Limits.MaxBody {
		return notRun(http.StatusRequestEntityTooLarge, "body-too-large", "")
	}
	if n <= 0 || n > maxBufferedBody {
		rq.r.Body = http.MaxBytesReader(rq.w, rq.r.Body, rq.e.Settings.Limits.MaxBody)
		return nil
	}
	rq.body = make([]byte, n)
	if _, err := io.ReadFull(rq.r.Body, rq.body); err != nil {
		return notRun(http.StatusBadRequest, "body-broken", err.Error())
	}
	return nil
}

// acquireSlot waits for a slot of a VM and a token of the team's limit.
func (rq *request) acquireSlot() (grant, *failure) {
	e := rq.e
	p := e.pools.get(rq.queue.Pool)
	if p == nil {
		return grant{}, notRun(http.StatusServiceUnavailable, "no-pool", "")
	}
	w := msteam.Waiter{
		ID:       e.lastWaiterID.Add(1),
		Team:     rq.team,
		Queue:    rq.queue.Name,
		Urgent:   rq.queue.Urgent,
		Arrived:  rq.arrived,
		Deadline: rq.deadline,
	}
	t, err := p.enqueue(w, e.now())
	if err != nil {
		return grant{}, refusalFailure(err)
	}
	e.signalExchange()
	select {
	case g := <-t.ready:
		if g.expired {
			return grant{}, &failure{status: http.StatusServiceUnavailable, outcome: OutcomeNotRun, reason: "deadline", detail: "no slot came free before the deadline", retryAfter: defaultRetryAfter}
		}
		return g, nil
	case <-rq.r.Context().Done():
		p.abandon(t, e.now())
		return grant{}, notRun(statusClientClosedRequest, "caller-gone", "")
	}
}

// statusClientClosedRequest is recorded when the caller went away.
const statusClientClosedRequest = 499

// send sends the request to the granted VM and relays the response. The slot and the
// token are held until the VM must have finished the request.
func (rq *request) send(cl *msrequest.Claim, g grant) *msupstream.Error {
	e := rq.e
	started := e.now()
	until := earlier(rq.deadline, started.Add(e.Settings.Limits.MaxRun))
	ctx, cancel := rq.upstreamContext(until.Add(responseGrace).Sub(started))
	res, err := e.sender.Send(rq.upstreamRequest(ctx, cl, until.Sub(started)), g.vm.Name, g.vm.Address, func() error { return rq.checkSend(g) }) //nolint:bodyclose // relayResponse closes it.
	if err != nil {
		cancel()
		ue := asUpstreamError(err, g.vm.Name)
		rq.handleUpstreamError(ue, g, started)
		rq.releaseWhenDone(g, started, until, ue.Sent)
		return ue
	}
	e.vms.recordAnswer(g.vm)
	whole := rq.relayResponse(res, cl)
	cancel()
	rq.releaseWhenDone(g, started, until, !whole)
	if !whole {
		// Only aborting the connection tells the caller that the response is incomplete.
		panic(http.ErrAbortHandler)
	}
	return nil
}

// upstreamContext outlives the caller: a request that has been sent holds its slot
// until the upstream has answered, even when the caller no longer waits.
func (rq *request) upstreamContext(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.WithoutCancel(rq.r.Context()), d)
}

// checkSend is called once the upstream is connected, just before the first byte is sent.
func (rq *request) checkSend(g grant) error {
	if rq.e.vms.recordConnected(g.vm) {
		rq.e.dispatchAll()
	}
	if fresh, _ := rq.e.view.Fresh(rq.e.now()); !fresh {
		return errWithheld
	}
	if rq.e.vms.inEvacuation(g.vm) {
		return errEvacuated
	}
	return nil
}

// upstreamRequest builds the request that is sent to the upstream.
func (rq *request) upstreamRequest(ctx context.Context, cl *msrequest.Claim, d time.Duration) *http.Request {
	out := rq.r.Clone(ctx)
	out.URL.Path = rq.path
	out.URL.RawPath = ""
	if rq.body != nil {
		out.Body = io.NopCloser(bytes.NewReader(rq.body))
	}
	h := out.Header
	for _, name := range []string{"Authorization", "Connection", "Keep-Alive", "Proxy-Connection", "Te", "Upgrade", HeaderDeadline} {
		h.Del(name)
	}
	h.Set(HeaderRequestID, rq.id)
	h.Set(HeaderTeam, rq.team)
	h.Set(HeaderDeadline, strconv.FormatInt(d.Milliseconds(), 10))
	if cl == nil {
		h.Del(HeaderIdempotencyKey)
	}
	return out
}

// handleUpstreamError updates the VM's state from an attempt that began at began and failed.
func (rq *request) handleUpstreamError(err *msupstream.Error, g grant, began time.Time) {
	e := rq.e
	now := e.now()
	switch {
	case err.Reason == msupstream.ReasonLeaving:
		if e.vms.setLeaving(g.vm, now) {
			e.Log.Info("upstream is leaving", zap.String("vm", g.vm.Name))
		}
	case !err.Sent && isFailureOfVM(err.Reason):
		e.vms.recordFailure(g.vm, began, now)
	}
	if err.Sent {
		e.sender.DropAddress(g.vm.Address)
	}
	rq.log.Info("upstream did not answer", zap.String("vm", g.vm.Name), zap.Bool("sent", err.Sent), zap.Error(err))
}

// isFailureOfVM reports whether a request that was not sent for a reason shows that the VM
// takes none.
func isFailureOfVM(reason string) bool {
	switch reason {
	case "withheld", "full", "canceled", msupstream.ReasonConnectionsInUse:
		return false
	}
	return true
}

// releaseWhenDone releases the slot and the token: at once if the VM has finished the
// request, otherwise at until, when it must have.
func (rq *request) releaseWhenDone(g grant, started, until time.Time, running bool) {
	e := rq.e
	p := e.pools.get(rq.queue.Pool)
	release := func() {
		now := e.now()
		p.release(rq.team, g.vm.Name, now.Sub(started), now)
		e.dispatchAll()
	}
	wait := until.Sub(e.now())
	if !running || wait <= 0 {
		release()
		return
	}
	after := e.Clock.After(wait)
	go func() {
		<-after
		release()
	}()
}

// relayResponse copies the upstream's response to the caller, and reports whether all
// of it was read from the upstream.
func (rq *request) relayResponse(res *http.Response, cl *msrequest.Claim) bool {
	defer func() { _ = res.Body.Close() }()
	h := rq.w.Header()
	for name, values := range res.Header {
		if name != "Connection" && name != "Keep-Alive" {
			h[name] = values
		}
	}
	if _, ok := h["Content-Type"]; !ok {
		// A nil value keeps the server from detecting a content type.
		h["Content-Type"] = nil
	}
	h.Set(HeaderRequestID, rq.id)
	h.Set(HeaderOutcome, OutcomeAnswered)
	rq.closeWhileDraining()
	if res.ContentLength >= 0 {
		h.Set("Content-Length", strconv.FormatInt(res.ContentLength, 10))
	}
	rq.w.WriteHeader(res.StatusCode)
	// A short response is written at once when the handler returns.
	flush := res.ContentLength < 0 || res.ContentLength > copyBufferSize
	readErr, writeErr := copyResponse(rq.w, res.Body, flush)
	if readErr != nil {
		rq.settle(cl, msrequest.OutcomeUnknown, 0)
		rq.recordOutcome(msaccount.Unknown, "answer-broken")
		rq.log.Warn("answer broke off", zap.Error(readErr))
		return false
	}
	rq.settle(cl, msrequest.OutcomeDone, res.StatusCode)
	if writeErr != nil {
		rq.recordOutcome(msaccount.Unknown, "caller-gone")
		return true
	}
	rq.recordOutcome(msaccount.Answered, "")
	return true
}

// copyBuffers pools buffers of copyBufferSize bytes.
var copyBuffers = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// copyResponse copies a response, and flushes after each read if flush is set. It
// keeps reading when the caller no longer accepts data, so that the upstream can
// finish.
func copyResponse(w http.ResponseWriter, r io.Reader, flush bool) (readErr, writeErr error) {
	array := copyBuffers.Get().(*[copyBufferSize]byte)
	defer copyBuffers.Put(array)
	buf := array[:]
	flusher, _ := w.(http.Flusher)
	if !flush {
		flusher = nil
	}
	for {
		n, err := r.Read(buf)
		if n > 0 && writeErr == nil {
			_, writeErr = w.Write(buf[:n])
			if flusher != nil && writeErr == nil {
				flusher.Flush()
			}
		}
		if errors.Is(err, io.EOF) {
			return nil, writeErr
		}
		if err != nil {
			return err, writeErr
		}
	}
}

func asUpstreamError(err error, vm string) *msupstream.Error {
	var ue *msupstream.Error
	if errors.As(err, &ue) {
		return ue
	}
	return &msupstream.Error{VM: vm, Sent: true, Reason: "internal", Err: err}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
