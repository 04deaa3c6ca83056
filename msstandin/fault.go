package msstandin

import (
	"math/rand/v2"
	"net/http"
	"time"
)

// FaultMode names a way in which the platform fails.
type FaultMode string

const (
	// FaultNone answers every request.
	FaultNone FaultMode = "none"
	// FaultDown answers 503 and does nothing.
	FaultDown FaultMode = "down"
	// FaultHang accepts requests, does nothing and never answers.
	FaultHang FaultMode = "hang"
	// FaultSlow acts after Delay, also when the client has left by then.
	FaultSlow FaultMode = "slow"
	// FaultLoseAnswers does what an append or an order for a VM asks and closes
	// its connection without an answer.
	FaultLoseAnswers FaultMode = "lose-answers"
	// FaultAppendDown answers 503 to appends, and serves reads.
	FaultAppendDown FaultMode = "append-down"
)

// Fault is how the platform fails. The zero value is FaultNone.
type Fault struct {
	Mode FaultMode
	// Delay is how late a slow request takes effect.
	Delay time.Duration
	// Rate is the part of the requests that meet the fault, to 1. Zero stands
	// for all.
	Rate float64
	// Seed starts the draws that Rate decides.
	Seed uint64
}

// faultState is the fault in force with its source of draws.
type faultState struct {
	fault Fault
	rng   *rand.Rand
}

// requestKind says which faults a request can meet.
type requestKind int

const (
	appendRequests requestKind = iota
	otherRequests
	// vmOrders change a VM.
	vmOrders
	// waitingReads have been let in before; only an outage ends them.
	waitingReads
)

// SetFault puts f in force for the requests from now on, and for reads that
// are waiting.
func (p *Platform) SetFault(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.init()
	p.faults = faultState{fault: f, rng: rand.New(rand.NewPCG(f.Seed, f.Seed))}
	p.wake()
}

// draw decides whether a request of kind k meets the fault in force.
func (p *Platform) draw(k requestKind) Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.faults.fault
	if !f.meets(k) {
		return Fault{}
	}
	if f.Rate > 0 && f.Rate < 1 && p.faults.rng.Float64() >= f.Rate {
		return Fault{}
	}
	return f
}

func (f Fault) meets(k requestKind) bool {
	switch f.Mode {
	case FaultDown, FaultHang:
		return true
	case FaultSlow:
		return k != waitingReads
	case FaultLoseAnswers:
		return k == appendRequests || k == vmOrders
	case FaultAppendDown:
		return k == appendRequests
	}
	return false
}

// suffer applies what f does before a request takes effect, and says whether
// it goes on.
func (p *Platform) suffer(w http.ResponseWriter, r *http.Request, f Fault) bool {
	switch f.Mode {
	case FaultDown, FaultAppendDown:
		refuse(w, http.StatusServiceUnavailable, "the log is down")
		return false
	case FaultHang:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case FaultSlow:
		<-p.Clock.After(f.Delay)
	}
	return true
}

// faultRequest is the wire form of Fault.
type faultRequest struct {
	Mode    FaultMode `json:"mode"`
	DelayMS int64     `json:"delay-ms"`
	Rate    float64   `json:"rate"`
	Seed    uint64    `json:"seed"`
}

func (p *Platform) serveFault(w http.ResponseWriter, r *http.Request) {
	var req faultRequest
	if !readJSON(w, r, &req) {
		return
	}
	if !req.Mode.known() || req.DelayMS < 0 || req.Rate < 0 || req.Rate > 1 {
		refuse(w, http.StatusBadRequest, "unknown mode, or a delay or rate out of bounds")
		return
	}
	delay := time.Duration(req.DelayMS) * time.Millisecond
	p.SetFault(Fault{Mode: req.Mode, Delay: delay, Rate: req.Rate, Seed: req.Seed})
	w.WriteHeader(http.StatusNoContent)
}

func (m FaultMode) known() bool {
	switch m {
	case FaultNone, FaultDown, FaultHang, FaultSlow, FaultLoseAnswers, FaultAppendDown:
		return true
	}
	return false
}
