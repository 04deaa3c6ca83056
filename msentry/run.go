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
	// maxTries is on how many VMs an entry tries a request.
	maxTries = 4
	// lateAnswer is how long after its deadline an upstream's answer is still taken.
	lateAnswer = 250 * time.Millisecond
	// keptBody is the longest body that is kept to be sent again, in bytes.
	keptBody = 64 << 10
	// copyPiece is the size of the piece in which an answer is copied, in bytes.
	copyPiece = 32 << 10
)

// errWithheld keeps a request from being sent once the entry is no longer fresh.
var errWithheld = errors.New("the entry is no longer fresh")

// run waits for a VM and sends the request there, to another VM where the first
// did not take it.
func (rq *request) run(cl *msrequest.Claim) {
	var last *failure
	for try := range maxTries {
		g, f := rq.wait()
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
			// Once a try may have run, no later refusal makes the request not run.
			last = upstreamFailure(err)
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

// mayRetry says whether the request may be sent again.
func (rq *request) mayRetry(err *msupstream.Error, try int) bool {
	if try+1 == maxTries || err.Reason == "canceled" || err.Reason == "withheld" {
		return false
	}
	if err.Sent && !rq.queue.Idempotent {
		return false
	}
	return rq.body != nil || rq.r.ContentLength == 0 || err.Untouched
}

// keepBody reads a small body whole, so that it can be sent more than once.
func (rq *request) keepBody() *failure {
	n := rq.r.ContentLength
	if n > rq.e.Settings.Limits.MaxBody {
		return notRun(http.StatusRequestEntityTooLarge, "body-too-large", "")
	}
	if n <= 0 || n > keptBody {
		rq.r.Body = http.MaxBytesReader(rq.w, rq.r.Body, rq.e.Settings.Limits.MaxBody)
		return nil
	}
	rq.body = make([]byte, n)
	if _, err := io.ReadFull(rq.r.Body, rq.body); err != nil {
		return notRun(http.StatusBadRequest, "body-broken", err.Error())
	}
	return nil
}

// wait waits for a slot and a token of the team's limit.
func (rq *request) wait() (grant, *failure) {
	e := rq.e
	p := e.pools.get(rq.queue.Pool)
	if p == nil {
		return grant{}, notRun(http.StatusServiceUnavailable, "no-pool", "")
	}
	w := msteam.Waiter{
		ID:       e.ids.Add(1),
		Team:     rq.team,
		Queue:    rq.queue.Name,
		Urgent:   rq.queue.Urgent,
		Arrived:  rq.arrived,
		Deadline: rq.deadline,
	}
	t, err := p.enter(w, e.now())
	if err != nil {
		return grant{}, refusal(err)
	}
	e.wake()
	select {
	case g := <-t.ready:
		if g.expired {
			return grant{}, &failure{status: http.StatusServiceUnavailable, outcome: OutcomeNotRun, reason: "deadline", detail: "no slot came free before the deadline", retry: retrySoon}
		}
		return g, nil
	case <-rq.r.Context().Done():
		p.abandon(t, e.now())
		return grant{}, notRun(statusClosed, "caller-gone", "")
	}
}

// statusClosed is the status in the account of a caller that went away.
const statusClosed = 499

// send sends the request to the VM of a grant and brings back the answer. The
// slot and the token are held until the VM must be done with the request.
func (rq *request) send(cl *msrequest.Claim, g grant) *msupstream.Error {
	e := rq.e
	started := e.now()
	until := earlier(rq.deadline, started.Add(e.Settings.Limits.MaxRun))
	ctx, cancel := rq.upstreamContext(until.Add(lateAnswer).Sub(started))
	res, err := e.sender.Send(rq.outgoing(ctx, cl, until.Sub(started)), g.vm.Name, g.vm.Address, rq.check) //nolint:bodyclose // relay closes it.
	if err != nil {
		cancel()
		ue := asUpstream(err, g.vm.Name)
		rq.note(ue, g)
		rq.giveBack(g, started, until, ue.Sent)
		return ue
	}
	e.vms.worked(g.vm.Name)
	whole := rq.relay(res, cl)
	cancel()
	rq.giveBack(g, started, until, !whole)
	if !whole {
		// Only a broken connection tells the caller that the answer is not whole.
		panic(http.ErrAbortHandler)
	}
	return nil
}

// upstreamContext outlives the caller: a request that has been sent holds its
// slot until the upstream has answered, whoever still waits for the answer.
func (rq *request) upstreamContext(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.WithoutCancel(rq.r.Context()), d)
}

// check is asked just before the first byte leaves for the upstream.
func (rq *request) check() error {
	if fresh, _ := rq.e.view.Fresh(rq.e.now()); !fresh {
		return errWithheld
	}
	return nil
}

// outgoing is the request as the upstream gets it.
func (rq *request) outgoing(ctx context.Context, cl *msrequest.Claim, d time.Duration) *http.Request {
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

// note learns about the VM from a failure.
func (rq *request) note(err *msupstream.Error, g grant) {
	e := rq.e
	now := e.now()
	switch {
	case err.Reason == msupstream.ReasonLeaving:
		if e.vms.setLeaving(g.vm.Name, now) {
			e.Log.Info("upstream is leaving", zap.String("vm", g.vm.Name))
		}
	case !err.Sent && err.Reason != "withheld" && err.Reason != "full":
		e.vms.failed(g.vm.Name, now)
	}
	if err.Sent {
		e.sender.Drop(g.vm.Address)
	}
	rq.log.Info("upstream did not answer", zap.String("vm", g.vm.Name), zap.Bool("sent", err.Sent), zap.Error(err))
}

// giveBack returns the slot and the token, at once where the VM is done with
// the request, and else when it must be.
func (rq *request) giveBack(g grant, started, until time.Time, running bool) {
	e := rq.e
	p := e.pools.get(rq.queue.Pool)
	end := func() {
		now := e.now()
		p.end(rq.team, g.vm.Name, now.Sub(started), now)
		e.pumpAll()
	}
	wait := until.Sub(e.now())
	if !running || wait <= 0 {
		end()
		return
	}
	after := e.Clock.After(wait)
	go func() {
		<-after
		end()
	}()
}

// relay brings the upstream's answer to the caller, and reports whether all of
// it was read from the upstream.
func (rq *request) relay(res *http.Response, cl *msrequest.Claim) bool {
	defer func() { _ = res.Body.Close() }()
	h := rq.w.Header()
	for name, values := range res.Header {
		if name != "Connection" && name != "Keep-Alive" {
			h[name] = values
		}
	}
	if _, ok := h["Content-Type"]; !ok {
		// Without a value the server would guess one.
		h["Content-Type"] = nil
	}
	h.Set(HeaderRequestID, rq.id)
	h.Set(HeaderOutcome, OutcomeAnswered)
	rq.sayClose()
	if res.ContentLength >= 0 {
		h.Set("Content-Length", strconv.FormatInt(res.ContentLength, 10))
	}
	rq.w.WriteHeader(res.StatusCode)
	// A short answer leaves in one piece when the handler ends.
	flush := res.ContentLength < 0 || res.ContentLength > copyPiece
	read, written := copyAnswer(rq.w, res.Body, flush)
	if read != nil {
		rq.settle(cl, msrequest.OutcomeUnknown, 0)
		rq.tell(msaccount.Unknown, "answer-broken")
		rq.log.Warn("answer broke off", zap.Error(read))
		return false
	}
	rq.settle(cl, msrequest.OutcomeDone, res.StatusCode)
	if written != nil {
		rq.tell(msaccount.Unknown, "caller-gone")
		return true
	}
	rq.tell(msaccount.Answered, "")
	return true
}

// pieces holds buffers of copyPiece bytes.
var pieces = sync.Pool{New: func() any { return new([copyPiece]byte) }}

// copyAnswer copies an answer piece by piece, each sent at once where flush is
// set. It goes on reading where the caller no longer takes it, so that the
// upstream comes to its end.
func copyAnswer(w http.ResponseWriter, r io.Reader, flush bool) (read, written error) {
	piece := pieces.Get().(*[copyPiece]byte)
	defer pieces.Put(piece)
	buf := piece[:]
	flusher, _ := w.(http.Flusher)
	if !flush {
		flusher = nil
	}
	for {
		n, err := r.Read(buf)
		if n > 0 && written == nil {
			_, written = w.Write(buf[:n])
			if flusher != nil && written == nil {
				flusher.Flush()
			}
		}
		if errors.Is(err, io.EOF) {
			return nil, written
		}
		if err != nil {
			return err, written
		}
	}
}

func asUpstream(err error, vm string) *msupstream.Error {
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
