//go:build review

package rig2

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"sync"
	"time"
)

// appendTime is how long a partition of the store takes for an append. It processes one at a time.
const appendTime = 4 * time.Millisecond

// store is the platform's metadata store. Its partitions keep all records.
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
	// fault, if set, decides what becomes of a call of an entry.
	fault func(entry int, r *http.Request) callFault
}

// callFault is what becomes of a call.
type callFault struct {
	// status, if not 0, is the response to a call that has no effect. drop resets the
	// channel of a call that has no effect.
	status int
	drop   bool
	// delay is the time before the call is carried out, lose says that its response is lost.
	delay time.Duration
	lose  bool
}

// topic is partition 0 of a topic.
type topic struct {
	records   [][]byte
	newest    map[string]int64 // offset by key
	producers map[string]*producer
	changed   chan struct{}
	busy      sync.Mutex // held by the append that is processed
}

type producer struct {
	epoch, next int64
	begun       bool
	offsets     map[int64][2]int64 // offset and end offset of the last appends by sequence number
}

func (s *store) topic(name string) *topic {
	if s.topics == nil {
		s.topics = map[string]*topic{}
	}
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]int64{}, producers: map[string]*producer{}, changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

func keyOf(rec []byte) (key string, value []byte) {
	if len(rec) == 0 || len(rec) < 1+int(rec[0]) {
		return "", nil
	}
	n := int(rec[0])
	return string(rec[1 : 1+n]), rec[1+n:]
}

// add appends records. The caller holds mu.
func (t *topic) add(records [][]byte) int64 {
	first := int64(len(t.records))
	for i, rec := range records {
		key, _ := keyOf(rec)
		t.newest[key] = first + int64(i)
	}
	t.records = append(t.records, records...)
	close(t.changed)
	t.changed = make(chan struct{})
	return first
}

// put writes a record as the operator and the minions do.
func (s *store) put(name, key string, v any) {
	value := []byte{}
	if v != nil {
		value, _ = json.Marshal(v)
	}
	rec := append(append([]byte{byte(len(key))}, key...), value...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(name).add([][]byte{rec})
}

// count returns the number of records of a topic whose key begins with prefix and that have a value.
func (s *store) count(name, prefix string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, rec := range s.topic(name).records {
		if key, value := keyOf(rec); len(key) >= len(prefix) && key[:len(prefix)] == prefix && len(value) > 0 {
			n++
		}
	}
	return n
}

// handler returns the store as one entry sees it.
func (s *store) handler(entry int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		s.mu.Lock()
		fault := s.fault
		s.mu.Unlock()
		var f callFault
		if fault != nil {
			f = fault(entry, r)
		}
		if f.drop {
			panic(http.ErrAbortHandler)
		}
		if f.status != 0 {
			w.WriteHeader(f.status)
			return
		}
		if f.lose {
			go func() {
				time.Sleep(f.delay)
				s.serve(discard{}, r.Method, r.URL, body, nil)
			}()
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		time.Sleep(f.delay)
		s.serve(w, r.Method, r.URL, body, r.Context().Done())
	})
}

// discard is the response of a call whose response is lost.
type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(b []byte) (int, error) { return len(b), nil }
func (discard) WriteHeader(int)             {}

func reply(w http.ResponseWriter, status int, v any) {
	b, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func (s *store) serve(w http.ResponseWriter, _ string, u *url.URL, body []byte, done <-chan struct{}) {
	q := u.Query()
	num := func(name string) int64 {
		n, _ := strconv.ParseInt(q.Get(name), 10, 64)
		return n
	}
	name := q.Get("topic")
	switch u.Path {
	case "/log-append":
		s.append(w, name, q, num, body)
	case "/log-read":
		s.read(w, name, num("from"), time.Duration(num("wait_ms"))*time.Millisecond, done)
	case "/log-newest":
		s.serveNewest(w, name, q.Get("after"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) append(w http.ResponseWriter, name string, q url.Values, num func(string) int64, body []byte) {
	var records [][]byte
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n > len(body)-4 || n > 262144 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		records, body = append(records, body[4:4+n]), body[4+n:]
	}
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	t := s.topic(name)
	s.mu.Unlock()
	t.busy.Lock()
	defer t.busy.Unlock()
	time.Sleep(appendTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	end := int64(len(t.records))
	if q.Has("at") && num("at") != end {
		reply(w, http.StatusPreconditionFailed, map[string]any{"end_offset": end})
		return
	}
	var p *producer
	if id := q.Get("producer"); id != "" {
		p = t.producers[id]
		epoch, seq := num("epoch"), num("seq")
		if p == nil {
			p = &producer{epoch: epoch, offsets: map[int64][2]int64{}}
			t.producers[id] = p
		}
		switch {
		case epoch < p.epoch:
			reply(w, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		case epoch > p.epoch:
			*p = producer{epoch: epoch, offsets: map[int64][2]int64{}}
		}
		if len(records) > 0 {
			if o, ok := p.offsets[seq]; ok {
				reply(w, http.StatusOK, map[string]any{"offset": o[0], "end_offset": o[1]})
				return
			}
			if p.begun && seq != p.next {
				reply(w, http.StatusConflict, map[string]any{"reason": "seq", "seq": p.next})
				return
			}
			p.begun, p.next = true, seq+1
			p.offsets[seq] = [2]int64{end, end + int64(len(records))}
			delete(p.offsets, seq-5)
		}
	}
	if len(records) > 0 {
		t.add(records)
	}
	reply(w, http.StatusOK, map[string]any{"offset": end, "end_offset": end + int64(len(records))})
}

func (s *store) read(w http.ResponseWriter, name string, from int64, wait time.Duration, done <-chan struct{}) {
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		t := s.topic(name)
		end := int64(len(t.records))
		if from < end || wait == 0 {
			out := binary.BigEndian.AppendUint64(nil, uint64(end))
			out = binary.BigEndian.AppendUint64(out, 0)
			for i := from; i < end && len(out) < 512<<10; i++ {
				out = binary.BigEndian.AppendUint32(out, uint32(len(t.records[i])))
				out = append(out, t.records[i]...)
			}
			s.mu.Unlock()
			w.Header().Set("Content-Length", strconv.Itoa(len(out)))
			_, _ = w.Write(out)
			return
		}
		changed := t.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			wait = 0
		case <-done:
			return
		}
	}
}

func (s *store) serveNewest(w http.ResponseWriter, name, after string) {
	s.mu.Lock()
	t := s.topic(name)
	var keys []string
	for key, offset := range t.newest {
		if _, value := keyOf(t.records[offset]); len(value) > 0 && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items, size, more := []map[string]any{}, 0, false
	for _, key := range keys {
		offset := t.newest[key]
		_, value := keyOf(t.records[offset])
		if size += len(value); len(items) == 500 || len(items) > 0 && size > 1<<20 {
			more = true
			break
		}
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(value), "offset": offset})
	}
	end := len(t.records)
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "end_offset": end})
}
