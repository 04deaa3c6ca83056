package msstandin

import (
	"math/rand/v2"
	"net/http"
	"time"
)

// UpstreamMode is how an upstream behaves. Its run times are uniform between
// Run-Spread and Run+Spread, and a part TailRate of them takes TailRun.
type UpstreamMode struct {
	Run      time.Duration
	Spread   time.Duration
	TailRun  time.Duration
	TailRate float64
	// ErrorRate is the part of the requests that end with status 500.
	ErrorRate float64
	// Leaving refuses what has not started.
	Leaving bool
	// Seed starts the draws.
	Seed uint64
}

// runDraw is what was drawn for one request.
type runDraw struct {
	time  time.Duration
	fails bool
}

func (m UpstreamMode) draw(rng *rand.Rand) runDraw {
	d := runDraw{time: m.Run}
	if m.Spread > 0 {
		d.time += time.Duration((2*rng.Float64() - 1) * float64(m.Spread))
	}
	if m.TailRate > 0 && rng.Float64() < m.TailRate {
		d.time = m.TailRun
	}
	d.fails = m.ErrorRate > 0 && rng.Float64() < m.ErrorRate
	return d
}

// SetMode changes the behaviour for the requests that start from now on.
func (u *Upstream) SetMode(m UpstreamMode) {
	u.start()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.setMode(m)
}

// setMode puts m in force. The caller holds mu, or no one else has u yet.
func (u *Upstream) setMode(m UpstreamMode) {
	u.mode = m
	u.rng = rand.New(rand.NewPCG(m.Seed, m.Seed))
}

// Silence lets every connection that is open now go silent for good. What runs
// on them runs to its end and is not answered.
func (u *Upstream) Silence() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.silenced++
}

// Freeze stops all starts and ends for d.
func (u *Upstream) Freeze(d time.Duration) {
	u.start()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.thaw = u.Clock.Now().Add(d)
}

// modeRequest changes the fields that it names.
type modeRequest struct {
	RunMS     *int64   `json:"run-ms"`
	SpreadMS  *int64   `json:"spread-ms"`
	TailRunMS *int64   `json:"tail-run-ms"`
	TailRate  *float64 `json:"tail-rate"`
	ErrorRate *float64 `json:"error-rate"`
	Leaving   *bool    `json:"leaving"`
	Seed      *uint64  `json:"seed"`
	// Silence lets the open connections go silent, once.
	Silence bool `json:"silence"`
	// FreezeMS freezes the upstream for some time, once.
	FreezeMS int64 `json:"freeze-ms"`
}

func (q modeRequest) change(m UpstreamMode) UpstreamMode {
	setMS(&m.Run, q.RunMS)
	setMS(&m.Spread, q.SpreadMS)
	setMS(&m.TailRun, q.TailRunMS)
	if q.TailRate != nil {
		m.TailRate = *q.TailRate
	}
	if q.ErrorRate != nil {
		m.ErrorRate = *q.ErrorRate
	}
	if q.Leaving != nil {
		m.Leaving = *q.Leaving
	}
	if q.Seed != nil {
		m.Seed = *q.Seed
	}
	return m
}

func setMS(d *time.Duration, ms *int64) {
	if ms != nil {
		*d = time.Duration(*ms) * time.Millisecond
	}
}

func (u *Upstream) serveMode(w http.ResponseWriter, r *http.Request) {
	var req modeRequest
	if !readJSON(w, r, &req) {
		return
	}
	u.mu.Lock()
	u.setMode(req.change(u.mode))
	u.mu.Unlock()
	if req.Silence {
		u.Silence()
	}
	if req.FreezeMS > 0 {
		u.Freeze(time.Duration(req.FreezeMS) * time.Millisecond)
	}
	w.WriteHeader(http.StatusNoContent)
}
