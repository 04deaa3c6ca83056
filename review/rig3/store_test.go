//go:build review

package rig3

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is the platform's log, with keyed topics of one partition each.
type store struct {
	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{}
}

type record struct {
	key   string
	value []byte
	raw   []byte
}

type topic struct {
	turn      sync.Mutex
	records   []record
	newest    map[string]int64
	producers map[string]*producer
}

type producer struct {
	epoch, next int64
	first       map[int64]int64
}

const appendTime = 4 * time.Millisecond

func newStore() *store {
	return &store{topics: map[string]*topic{}, changed: make(chan struct{})}
}

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]int64{}, producers: map[string]*producer{}}
		s.topics[name] = t
	}
	return t
}

// add appends records. The caller holds mu.
func (s *store) add(t *topic, records []record) int64 {
	first := int64(len(t.records))
	for i, r := range records {
		t.records = append(t.records, r)
		t.newest[r.key] = first + int64(i)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return first
}

// put writes a value as an operator or a minion does. A nil value deletes the key.
func (s *store) put(name, key string, value any) {
	var b []byte
	if value != nil {
		b, _ = json.Marshal(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(s.topic(name), []record{newRecord(key, b)})
}

// value returns the newest value of a key, or nil.
func (s *store) value(name, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	at, ok := t.newest[key]
	if !ok {
		return nil
	}
	return t.records[at].value
}

func newRecord(key string, value []byte) record {
	raw := append([]byte{byte(len(key))}, key...)
	return record{key: key, value: value, raw: append(raw, value...)}
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	q := r.URL.Query()
	number := func(name string) int64 {
		n, _ := strconv.ParseInt(q.Get(name), 10, 64)
		return n
	}
	switch r.URL.Path {
	case "/log-append":
		status, answer := s.append(q.Get("topic"), body, q.Has("at"), number("at"), q.Get("producer"), number("epoch"), q.Has("seq"), number("seq"))
		reply(w, status, answer)
	case "/log-read":
		s.read(w, r, q.Get("topic"), number("from"), time.Duration(number("wait_ms"))*time.Millisecond)
	case "/log-newest":
		s.list(w, q.Get("topic"), q.Get("after"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) append(name string, body []byte, conditional bool, at int64, by string, epoch int64, hasSeq bool, seq int64) (int, any) {
	if name == "keyed.op" || name == "keyed.servers" {
		return http.StatusForbidden, map[string]any{}
	}
	var records []record
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if len(body) < 4+n || n < 1 || n < 1+int(body[4]) {
			return http.StatusBadRequest, map[string]any{}
		}
		raw := append([]byte(nil), body[4:4+n]...)
		k := int(raw[0])
		records = append(records, record{key: string(raw[1 : 1+k]), value: raw[1+k:], raw: raw})
		body = body[4+n:]
	}
	s.mu.Lock()
	t := s.topic(name)
	s.mu.Unlock()
	t.turn.Lock()
	defer t.turn.Unlock()
	time.Sleep(appendTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	end := int64(len(t.records))
	if conditional && at != end {
		return http.StatusPreconditionFailed, map[string]any{"end_offset": end}
	}
	var p *producer
	if by != "" {
		p = t.producers[by]
		if p == nil {
			p = &producer{epoch: epoch, first: map[int64]int64{}, next: -1}
			t.producers[by] = p
		}
		switch {
		case epoch < p.epoch:
			return http.StatusConflict, map[string]any{"reason": "fenced"}
		case epoch > p.epoch:
			*p = producer{epoch: epoch, first: map[int64]int64{}, next: -1}
		}
		if len(records) == 0 {
			return http.StatusOK, map[string]any{"offset": end, "end_offset": end}
		}
		if hasSeq {
			if first, ok := p.first[seq]; ok {
				return http.StatusOK, map[string]any{"offset": first, "end_offset": end}
			}
			if p.next >= 0 && seq != p.next {
				return http.StatusConflict, map[string]any{"reason": "seq", "seq": p.next}
			}
		}
	}
	first := s.add(t, records)
	if p != nil && hasSeq {
		p.next = seq + 1
		p.first[seq] = first
		delete(p.first, seq-5)
	}
	return http.StatusOK, map[string]any{"offset": first, "end_offset": first + int64(len(records))}
}

func (s *store) read(w http.ResponseWriter, r *http.Request, name string, from int64, wait time.Duration) {
	timeout := time.After(wait)
	s.mu.Lock()
	t := s.topic(name)
	for from >= int64(len(t.records)) && wait > 0 {
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			wait = 0
		case <-r.Context().Done():
			return
		}
		s.mu.Lock()
	}
	out := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, rec := range t.records[min(from, int64(len(t.records))):] {
		if len(out) > 256<<10 {
			break
		}
		out = binary.BigEndian.AppendUint32(out, uint32(len(rec.raw)))
		out = append(out, rec.raw...)
	}
	s.mu.Unlock()
	w.Header().Set("Content-Length", strconv.Itoa(len(out)))
	_, _ = w.Write(out)
}

func (s *store) list(w http.ResponseWriter, name, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	var keys []string
	for k, at := range t.newest {
		if strings.Compare(k, after) > 0 && len(t.records[at].value) > 0 {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	items := []any{}
	for _, k := range keys[:min(len(keys), 500)] {
		items = append(items, map[string]any{"key": k, "value": t.records[t.newest[k]].value, "offset": t.newest[k]})
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": len(keys) > 500, "end_offset": len(t.records)})
}
