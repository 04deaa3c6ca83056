package msstandin

import (
	"context"
	"errors"
	"sync"
	"time"

	"marjoramspan/msclock"
	"marjoramspan/msjournal"
)

// JobLog is a log of keyed streams in memory, with faults. The zero value is empty
// and has none.
type JobLog struct {
	// Clock is the system's by default.
	Clock msclock.Clock
	// Keep is how many records a stream keeps beside the newest of each key; 0
	// keeps all.
	Keep int
	// Limits bounds what an append may carry. Refuse, if set, reports whether the log refuses
	// a record for good for another reason.
	Limits msjournal.Limits
	Refuse func(stream string, r msjournal.Record) bool

	mu      sync.Mutex
	streams map[string]*jobStream
	changed chan struct{}
	fault   LogFault
	calls   int
	reads   int
	// readsAllowed is how many reads were allowed at readsAllowedAt.
	readsAllowed   float64
	readsAllowedAt time.Time
	refusedReads   int
}

// LogFault is what is wrong with a log.
type LogFault struct {
	// Down logs reject every call; silent ones don't answer.
	Down, Silent bool
	// LoseEvery loses the answer to each n-th append that it carries out.
	LoseEvery int
	// LoseReadsEvery loses the answer to each n-th read.
	LoseReadsEvery int
	// Delay is added to every answer.
	Delay time.Duration
	// ReadsPerSecond, if not 0, is how many reads, of records or of the newest, are answered a
	// second, evenly over the second. The others are refused for their number.
	ReadsPerSecond int
}

type jobStream struct {
	first     int64
	records   []msjournal.Record
	newest    map[string]newestRecord
	keys      []string
	producers map[string]*jobProducer
}

type newestRecord struct {
	msjournal.Record
	offset int64
}

// jobProducer remembers the newest batches of a producer.
type jobProducer struct {
	epoch, next int64
	begun       bool
	offsets     map[int64]int64
}

var (
	errFault   = errors.New("stand-in: fault")
	errTooMany = errors.New("stand-in: too many reads")
	errRefused = errors.New("stand-in: record refused")
)

// Log returns the log's calls.
func (l *JobLog) Log() msjournal.Log {
	return msjournal.Log{Limits: l.Limits, Append: l.append, Read: l.read, Newest: l.newest}
}

// SetFault replaces the fault.
func (l *JobLog) SetFault(f LogFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = f
	l.signal()
}

// Calls returns how many appends were carried out.
func (l *JobLog) Calls() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls
}

// Reads returns how many reads were asked for.
func (l *JobLog) Reads() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reads
}

// RefusedReads returns how many reads were refused for their number.
func (l *JobLog) RefusedReads() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refusedReads
}

// Put appends a record without faults, as operators and workers do.
func (l *JobLog) Put(stream, key string, value []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stream(stream).add([]msjournal.Record{{Key: key, Value: value}}, l.Keep)
	l.signal()
}

// Compact drops all records of a stream but the newest of each key.
func (l *JobLog) Compact(stream string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(stream)
	s.first += int64(len(s.records))
	s.records = nil
}

// Records returns the records of a stream that are still kept.
func (l *JobLog) Records(stream string) []msjournal.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]msjournal.Record(nil), l.stream(stream).records...)
}

func (l *JobLog) clock() msclock.Clock {
	if l.Clock == nil {
		return msclock.System{}
	}
	return l.Clock
}

func (l *JobLog) signal() {
	if l.changed != nil {
		close(l.changed)
	}
	l.changed = make(chan struct{})
}

func (l *JobLog) stream(name string) *jobStream {
	if l.streams == nil {
		l.streams = map[string]*jobStream{}
		l.changed = make(chan struct{})
	}
	s := l.streams[name]
	if s == nil {
		s = &jobStream{newest: map[string]newestRecord{}, producers: map[string]*jobProducer{}}
		l.streams[name] = s
	}
	return s
}

func (s *jobStream) end() int64 {
	return s.first + int64(len(s.records))
}

func (s *jobStream) add(records []msjournal.Record, keep int) int64 {
	first := s.end()
	for i, r := range records {
		if _, ok := s.newest[r.Key]; !ok && len(r.Value) > 0 {
			s.keys = append(s.keys, r.Key)
		}
		s.newest[r.Key] = newestRecord{Record: r, offset: first + int64(i)}
	}
	s.records = append(s.records, records...)
	if over := len(s.records) - keep; keep > 0 && over > 0 {
		s.records = append([]msjournal.Record(nil), s.records[over:]...)
		s.first += int64(over)
	}
	return first
}

// enter applies the faults that come before a call is carried out.
func (l *JobLog) enter(ctx context.Context, op string) error {
	l.mu.Lock()
	f := l.fault
	l.mu.Unlock()
	if f.Delay > 0 {
		if err := msclock.Sleep(ctx, l.clock(), f.Delay); err != nil {
			return &msjournal.Error{Kind: msjournal.Unknown, Op: op, Err: err}
		}
	}
	if f.Down {
		return &msjournal.Error{Kind: msjournal.Rejected, Op: op, Err: errFault}
	}
	if f.Silent {
		<-ctx.Done()
		return &msjournal.Error{Kind: msjournal.Unknown, Op: op, Err: ctx.Err()}
	}
	return nil
}

// enterRead is enter for a read.
func (l *JobLog) enterRead(ctx context.Context, op string) error {
	if err := l.enter(ctx, op); err != nil {
		return err
	}
	now := l.clock().Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := float64(l.fault.ReadsPerSecond)
	if limit == 0 {
		return nil
	}
	l.readsAllowed = min(l.readsAllowed+limit*now.Sub(l.readsAllowedAt).Seconds(), limit*readBurst.Seconds())
	l.readsAllowedAt = now
	if l.readsAllowed < 1 {
		l.refusedReads++
		return &msjournal.Error{Kind: msjournal.Rejected, Op: op, TooMany: true, Err: errTooMany}
	}
	l.readsAllowed--
	return nil
}

// readBurst is for how long reads that weren't made may be made up for.
const readBurst = 50 * time.Millisecond

func (l *JobLog) append(ctx context.Context, a msjournal.AppendRequest) (int64, error) {
	if err := l.enter(ctx, "append"); err != nil {
		return 0, err
	}
	l.mu.Lock()
	off, err := l.store(a)
	l.calls++
	lose := err == nil && l.fault.LoseEvery > 0 && l.calls%l.fault.LoseEvery == 0
	l.mu.Unlock()
	if lose {
		<-ctx.Done()
		return 0, &msjournal.Error{Kind: msjournal.Unknown, Op: "append", Err: ctx.Err()}
	}
	return off, err
}

// store carries out an append. The caller holds mu.
func (l *JobLog) store(a msjournal.AppendRequest) (int64, error) {
	if err := l.Limits.Check(a.Records); err != nil {
		return 0, err
	}
	for _, r := range a.Records {
		if l.Refuse != nil && l.Refuse(a.Stream, r) {
			return 0, &msjournal.Error{Kind: msjournal.Invalid, Op: "append", Err: errRefused}
		}
	}
	s := l.stream(a.Stream)
	if a.ExpectedEnd != nil && *a.ExpectedEnd != s.end() {
		return 0, &msjournal.Error{Kind: msjournal.Conflict, Op: "append", End: s.end()}
	}
	var p *jobProducer
	if a.Producer != "" {
		p = s.producers[a.Producer]
		if p == nil {
			p = &jobProducer{epoch: a.Epoch, offsets: map[int64]int64{}}
			s.producers[a.Producer] = p
		}
		if a.Epoch < p.epoch {
			return 0, &msjournal.Error{Kind: msjournal.Fenced, Op: "append"}
		}
		if a.Epoch > p.epoch {
			*p = jobProducer{epoch: a.Epoch, offsets: map[int64]int64{}}
		}
		if len(a.Records) == 0 {
			return s.end(), nil
		}
		if off, ok := p.offsets[a.Sequence]; ok {
			return off, nil
		}
		if p.begun && a.Sequence != p.next {
			return 0, &msjournal.Error{Kind: msjournal.OutOfSequence, Op: "append"}
		}
	}
	off := s.add(a.Records, l.Keep)
	if p != nil {
		p.begun, p.next = true, a.Sequence+1
		p.offsets[a.Sequence] = off
		delete(p.offsets, a.Sequence-repeats)
	}
	l.signal()
	return off, nil
}

// repeats is how many of a producer's newest batches are known again.
const repeats = 5

func (l *JobLog) read(ctx context.Context, stream string, from int64, wait time.Duration) (msjournal.Batch, error) {
	if err := l.enterRead(ctx, "read"); err != nil {
		return msjournal.Batch{}, err
	}
	l.mu.Lock()
	l.reads++
	lose := l.fault.LoseReadsEvery > 0 && l.reads%l.fault.LoseReadsEvery == 0
	l.mu.Unlock()
	if lose {
		<-ctx.Done()
		return msjournal.Batch{}, &msjournal.Error{Kind: msjournal.Unknown, Op: "read", Err: ctx.Err()}
	}
	timeout := l.clock().After(wait)
	for {
		l.mu.Lock()
		s := l.stream(stream)
		if from < s.first {
			l.mu.Unlock()
			return msjournal.Batch{}, &msjournal.Error{Kind: msjournal.Expired, Op: "read"}
		}
		if from < s.end() || wait == 0 {
			n := min(from, s.end()) - s.first
			b := msjournal.Batch{From: from, Next: max(from, s.end()), End: s.end(), Records: append([]msjournal.Record(nil), s.records[n:]...)}
			l.mu.Unlock()
			return b, nil
		}
		changed, down := l.changed, l.fault.Down || l.fault.Silent
		l.mu.Unlock()
		if down {
			return msjournal.Batch{}, &msjournal.Error{Kind: msjournal.Rejected, Op: "read", Err: errFault}
		}
		select {
		case <-ctx.Done():
			return msjournal.Batch{}, &msjournal.Error{Kind: msjournal.Unknown, Op: "read", Err: ctx.Err()}
		case <-changed:
		case <-timeout:
			wait = 0
		}
	}
}

// pageKeys is the most keys of one page.
const pageKeys = 500

func (l *JobLog) newest(ctx context.Context, stream, after string) (msjournal.Page, error) {
	if err := l.enterRead(ctx, "newest"); err != nil {
		return msjournal.Page{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(stream)
	p := msjournal.Page{End: s.end()}
	skip := after != ""
	for _, k := range s.keys {
		if skip {
			skip = k != after
			continue
		}
		r := s.newest[k]
		if len(r.Value) == 0 {
			continue
		}
		if len(p.Records) == pageKeys {
			p.Cursor = p.Records[len(p.Records)-1].Key
			break
		}
		p.Records = append(p.Records, r.Record)
		p.Offsets = append(p.Offsets, r.offset)
	}
	return p, nil
}
