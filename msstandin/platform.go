// Package msstandin holds small stand-ins for what surrounds the system: the
// platform with its log and VM list, the upstream VMs, and the callers.
//
// Each stand-in is an http.Handler or a plain loop, so that a test can use it
// in its own process and the marjoramstandin command can serve it. Each has
// faults that are switched on by a request. The upstreams and the callers keep
// journals of what happened at them; Judge reads both kinds and says whether
// the promises of the system were kept.
package msstandin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"marjoramspan/msclock"
	"marjoramspan/mslog"
)

const (
	// DefaultPage is how many records an answer holds unless the reader says.
	DefaultPage = 1000
	// MaxPage is the most records that an answer holds.
	MaxPage = 10000
	// MaxBodyBytes bounds what a stand-in reads of a request.
	MaxBodyBytes = 16 << 20
)

// Platform is the platform's log and its list of VMs, in memory. The zero
// value is an empty platform without faults.
type Platform struct {
	// Clock is the system's by default.
	Clock msclock.Clock
	// RetainRecords is the most records that a stream keeps. Zero keeps all.
	RetainRecords int
	// ListLag is how late a change of a VM shows in the list.
	ListLag time.Duration

	once    sync.Once
	mux     *http.ServeMux
	mu      sync.Mutex
	streams map[string]*stream
	vms     vmTable
	// controls holds the VMs that report themselves.
	controls controls
	faults   faultState
	// changed is closed, and made anew, when a stream grows or a fault is set.
	changed chan struct{}
}

// stream holds the records from offset first on.
type stream struct {
	first   uint64
	records []mslog.Record
}

func (s *stream) end() uint64 {
	return s.first + uint64(len(s.records))
}

func (s *stream) dropBefore(first uint64) {
	first = min(first, s.end())
	if first <= s.first {
		return
	}
	n := first - s.first
	clear(s.records[:n])
	s.records = s.records[n:]
	s.first = first
}

// bounds is the answer about a stream without its records.
type bounds struct {
	First uint64 `json:"first"`
	End   uint64 `json:"end"`
}

type appendRequest struct {
	Records []struct {
		ID   string          `json:"id"`
		Data json.RawMessage `json:"data"`
	} `json:"records"`
}

type appendAnswer struct {
	First uint64 `json:"first"`
}

// ServeHTTP answers a request of the log, the VM list or the stand-in's own
// controls.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.once.Do(p.start)
	r.Body = http.MaxBytesReader(w, r.Body, MaxBodyBytes)
	p.mux.ServeHTTP(w, r)
}

func (p *Platform) start() {
	p.mu.Lock()
	p.init()
	p.mu.Unlock()
	p.mux = http.NewServeMux()
	p.mux.HandleFunc("POST /v1/streams/{stream}/records", p.serveAppend)
	p.mux.HandleFunc("GET /v1/streams/{stream}/records", p.serveRead)
	p.mux.HandleFunc("GET /v1/vms", p.serveVMs)
	p.mux.HandleFunc("PUT /v1/vms/{name}", p.servePutVM)
	p.mux.HandleFunc("DELETE /v1/vms/{name}", p.serveDeleteVM)
	p.controlRoutes()
	p.mux.HandleFunc("POST /v1/list-lag", p.serveListLag)
	p.mux.HandleFunc("POST /v1/fault", p.serveFault)
	p.mux.HandleFunc("POST /v1/retain", p.serveRetain)
}

// init makes the maps of a zero Platform. The caller holds mu.
func (p *Platform) init() {
	if p.streams != nil {
		return
	}
	p.streams = map[string]*stream{}
	p.changed = make(chan struct{})
	if p.Clock == nil {
		p.Clock = msclock.System{}
	}
}

// Records returns the records that stream keeps now.
func (p *Platform) Records(stream string) []mslog.Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.init()
	return append([]mslog.Record(nil), p.stream(stream).records...)
}

// Retain drops the records of stream before offset first.
func (p *Platform) Retain(stream string, first uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.init()
	p.stream(stream).dropBefore(first)
	p.wake()
}

// stream returns the named stream, made if need be. The caller holds mu.
func (p *Platform) stream(name string) *stream {
	s := p.streams[name]
	if s == nil {
		s = &stream{}
		p.streams[name] = s
	}
	return s
}

// wake lets waiting reads look again. The caller holds mu.
func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Platform) serveAppend(w http.ResponseWriter, r *http.Request) {
	var req appendRequest
	if !readJSON(w, r, &req) {
		return
	}
	for _, n := range req.Records {
		if n.ID == "" || len(n.Data) == 0 {
			refuse(w, http.StatusBadRequest, "a record needs an id and data")
			return
		}
	}
	if len(req.Records) == 0 {
		refuse(w, http.StatusBadRequest, "no records")
		return
	}
	f := p.draw(appendRequests)
	if !p.suffer(w, r, f) {
		return
	}
	first := p.append(r.PathValue("stream"), req)
	if f.Mode == FaultLoseAnswers {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, appendAnswer{First: first})
}

func (p *Platform) append(name string, req appendRequest) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stream(name)
	first := s.end()
	now := p.Clock.Now()
	for i, n := range req.Records {
		s.records = append(s.records, mslog.Record{Offset: first + uint64(i), Time: now, ID: n.ID, Data: n.Data})
	}
	if p.RetainRecords > 0 && len(s.records) > p.RetainRecords {
		s.dropBefore(s.end() - uint64(p.RetainRecords))
	}
	p.wake()
	return first
}

// readRequest is the query of a read.
type readRequest struct {
	stream string
	from   uint64
	max    int
	wait   time.Duration
}

func parseRead(r *http.Request) (readRequest, error) {
	v := r.URL.Query()
	q := readRequest{stream: r.PathValue("stream"), max: DefaultPage}
	var err error
	if q.from, err = strconv.ParseUint(v.Get("from"), 10, 64); err != nil {
		return q, err
	}
	if s := v.Get("max"); s != "" {
		if q.max, err = strconv.Atoi(s); err != nil {
			return q, err
		}
	}
	q.max = max(1, min(q.max, MaxPage))
	if s := v.Get("wait-ms"); s != "" {
		ms, err := strconv.ParseUint(s, 10, 31)
		if err != nil {
			return q, err
		}
		q.wait = time.Duration(ms) * time.Millisecond
	}
	return q, nil
}

func (p *Platform) serveRead(w http.ResponseWriter, r *http.Request) {
	q, err := parseRead(r)
	if err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	if !p.suffer(w, r, p.draw(otherRequests)) {
		return
	}
	expired := p.Clock.After(q.wait)
	for {
		page, changed := p.page(q)
		if q.from < page.First {
			writeJSON(w, http.StatusGone, bounds{First: page.First, End: page.End})
			return
		}
		if q.from > page.End {
			refuse(w, http.StatusBadRequest, "from is past the end")
			return
		}
		if len(page.Records) > 0 || q.wait == 0 {
			writeJSON(w, http.StatusOK, page)
			return
		}
		select {
		case <-changed:
			if !p.suffer(w, r, p.draw(waitingReads)) {
				return
			}
		case <-expired:
			q.wait = 0
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

// page returns what the stream holds for q now, and a channel that is closed
// at the next change.
func (p *Platform) page(q readRequest) (mslog.Page, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stream(q.stream)
	page := mslog.Page{First: s.first, End: s.end(), Records: []mslog.Record{}}
	if q.from < page.First || q.from > page.End {
		return page, p.changed
	}
	rest := s.records[q.from-s.first:]
	page.Records = append(page.Records, rest[:min(len(rest), q.max)]...)
	return page, p.changed
}

func (p *Platform) serveRetain(w http.ResponseWriter, r *http.Request) {
	var req struct {
		Stream string `json:"stream"`
		First  uint64 `json:"first"`
	}
	if !readJSON(w, r, &req) {
		return
	}
	p.Retain(req.Stream, req.First)
	w.WriteHeader(http.StatusNoContent)
}
