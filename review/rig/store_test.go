//go:build review

package rig

import (
	"encoding/base64"
	"encoding/binary"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

const (
	recordBytes = 262144
	appendTime  = 4 * time.Millisecond
	pageKeys    = 500
)

type store struct {
	rig    *rig
	mu     sync.Mutex
	topics map[string]*topic
	// appendTime is how long an append takes.
	appendTime time.Duration
	// onAppend, if set, is called before an append of an entry and may change its fate.
	onAppend func(e *entry, topic string, records [][]byte) fate
}

// fate is what becomes of an append. The zero value is the usual one.
type fate struct {
	// lose keeps the answer back, delay is how much later it is carried out.
	lose  bool
	delay time.Duration
}

type topic struct {
	turn      sync.Mutex // held while an append is carried out
	records   [][]byte
	newest    map[string]int64 // offsets
	producers map[string]*producer
	changed   chan struct{}
}

type producer struct {
	epoch, next int64
	begun       bool
	offsets     map[int64]int64
}

func (s *store) topic(name string) *topic {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]int64{}, producers: map[string]*producer{}, changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

func splitRecord(b []byte) (key string, value []byte) {
	if len(b) == 0 || len(b) < 1+int(b[0]) {
		return "", nil
	}
	return string(b[1 : 1+int(b[0])]), b[1+int(b[0]):]
}

// put appends a record of the operator or a minion.
func (s *store) put(name, key string, value []byte) {
	t := s.topic(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	t.add([][]byte{append(append([]byte{byte(len(key))}, key...), value...)})
}

// add appends records. The caller holds the store's mu.
func (t *topic) add(records [][]byte) int64 {
	first := int64(len(t.records))
	for i, b := range records {
		key, _ := splitRecord(b)
		t.newest[key] = first + int64(i)
	}
	t.records = append(t.records, records...)
	close(t.changed)
	t.changed = make(chan struct{})
	return first
}

func (s *store) handler(e *entry) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		number := func(name string) int64 {
			n, _ := strconv.ParseInt(q.Get(name), 10, 64)
			return n
		}
		name := q.Get("topic")
		if e.storeDown.Load() {
			<-r.Context().Done()
			abort()
		}
		switch r.URL.Path {
		case "/log-append":
			body, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			var records [][]byte
			for len(body) >= 4 {
				n := int(binary.BigEndian.Uint32(body))
				if n > recordBytes || len(body) < 4+n {
					s.rig.noteRefusal(name, e.name, n)
					respond(w, http.StatusBadRequest, map[string]any{"reason": "size"})
					return
				}
				records = append(records, body[4:4+n])
				body = body[4+n:]
			}
			f := fate{}
			if s.onAppend != nil {
				f = s.onAppend(e, name, records)
			}
			if f.lose {
				go func() {
					time.Sleep(f.delay)
					status, _ := s.append(name, records, q.Has("at"), number("at"), q.Get("producer"), number("epoch"), number("seq"))
					s.rig.note("store: an append to %s by %s, whose answer is lost, is carried out: status %d", name, e.name, status)
				}()
				<-r.Context().Done()
				abort()
			}
			status, answer := s.append(name, records, q.Has("at"), number("at"), q.Get("producer"), number("epoch"), number("seq"))
			respond(w, status, answer)
		case "/log-read":
			s.read(w, r, e, name, number("from"), time.Duration(number("wait_ms"))*time.Millisecond)
		case "/log-newest":
			s.readNewest(w, name, q.Get("after"))
		default:
			w.WriteHeader(http.StatusNotFound)
		}
	}
}

func (s *store) append(name string, records [][]byte, conditional bool, at int64, by string, epoch, seq int64) (int, map[string]any) {
	t := s.topic(name)
	t.turn.Lock()
	defer t.turn.Unlock()
	time.Sleep(s.appendTime)
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
			p = &producer{epoch: epoch, offsets: map[int64]int64{}}
			t.producers[by] = p
		}
		if epoch < p.epoch {
			return http.StatusConflict, map[string]any{"reason": "fenced"}
		}
		if epoch > p.epoch {
			*p = producer{epoch: epoch, offsets: map[int64]int64{}}
		}
		if off, ok := p.offsets[seq]; ok && len(records) > 0 {
			return http.StatusOK, map[string]any{"offset": off, "end_offset": end}
		}
		if len(records) > 0 && p.begun && seq != p.next {
			return http.StatusConflict, map[string]any{"reason": "seq", "seq": p.next}
		}
	}
	if len(records) == 0 {
		return http.StatusOK, map[string]any{"offset": end, "end_offset": end}
	}
	off := t.add(records)
	if p != nil {
		p.begun, p.next = true, seq+1
		p.offsets[seq] = off
		delete(p.offsets, seq-5)
	}
	return http.StatusOK, map[string]any{"offset": off, "end_offset": int64(len(t.records))}
}

func (s *store) read(w http.ResponseWriter, r *http.Request, e *entry, name string, from int64, wait time.Duration) {
	t := s.topic(name)
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		end := int64(len(t.records))
		if from < end || wait <= 0 {
			out := binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, uint64(end)), 0)
			for i := from; i < end && (i == from || len(out) < 512<<10); i++ {
				out = binary.BigEndian.AppendUint32(out, uint32(len(t.records[i])))
				out = append(out, t.records[i]...)
			}
			s.mu.Unlock()
			if e.storeDown.Load() {
				<-r.Context().Done()
				abort()
			}
			_, _ = w.Write(out)
			return
		}
		changed := t.changed
		s.mu.Unlock()
		select {
		case <-r.Context().Done():
			abort()
		case <-changed:
		case <-timeout:
			wait = 0
		}
	}
}

func (s *store) readNewest(w http.ResponseWriter, name, after string) {
	t := s.topic(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := []string{}
	for k := range t.newest {
		if k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	items, size := []map[string]any{}, 0
	more := false
	for _, k := range keys {
		off := t.newest[k]
		_, v := splitRecord(t.records[off])
		if len(v) == 0 {
			continue
		}
		if len(items) == pageKeys || size > 1<<20 {
			more = true
			break
		}
		size += len(v)
		items = append(items, map[string]any{"key": k, "value": base64.StdEncoding.EncodeToString(v), "offset": off})
	}
	respond(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "end_offset": len(t.records)})
}
