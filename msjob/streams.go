package msjob

import (
	"hash/fnv"
	"math/bits"
	"slices"
	"strconv"
)

// AdditionalStreams is the number of streams that take job and cancel records beside
// stream 0. The log carries out the appends of a stream one at a time, in 4 ms, which makes
// 250 a second. 400 jobs a second, mostly one to an append, load each of four streams with
// 100, so that an append waits for 1 to 2 ms on average; up to 800 wait for less than 10 ms.
//
// Entries look for a job only in stream 0 and in its own additional stream, so a version
// with another number has to look in the streams of both numbers.
const AdditionalStreams = 4

// AdditionalStream returns the number of the additional stream that takes the records of a
// job while stream 0 is contended. It depends on the ID alone, so that whoever looks for a
// job reads two streams and not all.
func AdditionalStream(id string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return 1 + int(h.Sum32()%AdditionalStreams)
}

// prefixStream is the prefix of the records that say that an additional stream is in use.
// They are stored in stream 0 before the first record of the additional stream, so that
// streams that were never used need not be read.
const prefixStream = "stream/"

// StreamRecords returns the records that say that the additional streams are in use.
func StreamRecords() []Record {
	var all []Record
	for i := 1; i <= AdditionalStreams; i++ {
		all = append(all, Record{Key: prefixStream + strconv.Itoa(i), Value: []byte("{}")})
	}
	return all
}

// StreamSet is a set of streams by number.
type StreamSet uint32

// Add adds a stream.
func (s *StreamSet) Add(stream int) {
	*s |= 1 << stream
}

// Remove removes a stream.
func (s *StreamSet) Remove(stream int) {
	*s &^= 1 << stream
}

// Has reports whether the stream is in the set.
func (s StreamSet) Has(stream int) bool {
	return s&(1<<stream) != 0
}

// Each calls fn with each stream in ascending order.
func (s StreamSet) Each(fn func(stream int)) {
	for s != 0 {
		stream := bits.TrailingZeros32(uint32(s))
		s.Remove(stream)
		fn(stream)
	}
}

// jobCopy is the record of a job in one stream.
type jobCopy struct {
	stream int
	job    *Job
}

// Stream returns the stream of the record that Job is from, or 0 if the job has ended.
func (e *TableEntry) Stream() int {
	if len(e.copies) == 0 {
		return 0
	}
	return e.copies[0].stream
}

// Streams returns the streams that have a job or cancel record of the job.
func (e *TableEntry) Streams() StreamSet {
	return e.cancels | e.CopyStreams()
}

// CopyStreams returns the streams that have a job record of the job.
func (e *TableEntry) CopyStreams() StreamSet {
	var set StreamSet
	for _, c := range e.copies {
		set.Add(c.stream)
	}
	return set
}

// withoutCopy returns the copies except that of a stream. It leaves copies unchanged.
func withoutCopy(copies []jobCopy, stream int) []jobCopy {
	var rest []jobCopy
	for _, c := range copies {
		if c.stream != stream {
			rest = append(rest, c)
		}
	}
	return rest
}

// addCopy notes a further record of a job, and reports whether its stream had none.
func (e *TableEntry) addCopy(c jobCopy) (isNew bool) {
	for _, known := range e.copies {
		if known.stream == c.stream {
			return false
		}
	}
	// The slice may be shared with copies of the entry.
	e.copies = append(slices.Clone(e.copies), c)
	return true
}

// StreamsInUse returns the additional streams that are in use.
func (t *Table) StreamsInUse() StreamSet {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.inUse
}

func (t *Table) applyStream(id string) error {
	n, err := strconv.Atoi(id)
	if err != nil || n < 1 || n > AdditionalStreams {
		return &Error{Job: prefixStream + id, Reason: "unknown stream", Err: err}
	}
	t.mu.Lock()
	isNew := !t.inUse.Has(n)
	t.inUse.Add(n)
	fn := t.OnStream
	t.mu.Unlock()
	if isNew && fn != nil {
		fn(n)
	}
	return nil
}

// ResetStream forgets what came from a stream, before all its newest records are read
// again. Jobs that other streams have stay, with their status.
func (t *Table) ResetStream(stream int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if stream == 0 {
		t.load, t.waves, t.fleet, t.withdrawals = Load{}, nil, nil, nil
	}
	for id, e := range t.jobs {
		e.copies = withoutCopy(e.copies, stream)
		e.cancels.Remove(stream)
		switch {
		case len(e.copies) > 0:
			// Until the status is read again, callers still see it.
			e.unconfirmed = e.unconfirmed || stream == 0
			if !e.Status.State.Final() {
				e.Job = e.copies[0].job
			}
		case stream == 0 || e.unconfirmed || !e.Status.State.Final():
			delete(t.jobs, id)
			o := TableEntry{Status: e.Status, Canceled: e.cancels != 0, cancels: e.cancels}
			if stream == 0 || e.unconfirmed {
				o.Status = Status{}
			}
			if !o.empty() {
				t.storeOrphan(id, o)
			}
		}
	}
	for id, o := range t.orphans {
		o.cancels.Remove(stream)
		o.Canceled = o.cancels != 0
		if stream == 0 {
			o.Status, o.Progress = Status{}, nil
		}
		t.orphans[id] = o
		if o.empty() {
			delete(t.orphans, id)
		}
	}
}

// empty reports whether an entry without a job record says nothing of the job.
func (e *TableEntry) empty() bool {
	return !e.Canceled && e.cancels == 0 && e.Progress == nil && e.Status == (Status{})
}

// JobStreams returns the streams that have a job or cancel record of a job.
func (t *Table) JobStreams(id string) StreamSet {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.jobs[id]; e != nil {
		return e.Streams()
	}
	return t.orphans[id].cancels
}
