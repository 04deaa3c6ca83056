package msjob

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"
)

// Key prefixes of the records. Only the newest record of a key is valid. Every entry
// applies the job, cancel and status records. Only the scheduler reads the progress
// records, which change with each attempt.
const (
	prefixStatus   = "status/"
	prefixJob      = "job/"
	prefixProgress = "progress/"
	prefixCancel   = "cancel/"
	prefixWave     = "wave/"
	prefixOffer    = "offer/"
	// KeyLoad is the key of the Load record, keyFleet the key of the Fleet record.
	KeyLoad  = "load"
	keyFleet = "fleet"
)

// Record is a log record. A record with an empty value deletes its key.
type Record struct {
	Key   string
	Value []byte
}

// JobRecord returns the record that stores an accepted job.
func JobRecord(j *Job) (Record, error) {
	return encode(prefixJob+j.ID, j.ID, j)
}

// ProgressRecord returns the record of a job's progress.
func ProgressRecord(id string, p *Progress) (Record, error) {
	size := 64
	for _, r := range p.Occurrences {
		for s := 0; r != nil && s < len(r.Steps); s++ {
			size += len(r.Steps[s]) * taskBytes
		}
	}
	return Record{Key: prefixProgress + id, Value: appendProgress(make([]byte, 0, size), p)}, nil
}

// taskBytes is the usual size of an encoded task.
const taskBytes = 40

// cancelValue is the value of a cancel record.
type cancelValue struct {
	// At is when an entry stored the cancel, in Unix milliseconds. It is 0 in the records of
	// versions that don't store it.
	At int64 `json:"at,omitempty"`
}

// time returns when the cancel was stored, or zero.
func (v cancelValue) time() time.Time {
	if v.At == 0 {
		return time.Time{}
	}
	return time.UnixMilli(v.At)
}

// CancelRecord returns the record that cancels a job, with the time of the cancel if it is not
// zero.
func CancelRecord(id string, at time.Time) Record {
	var v cancelValue
	if !at.IsZero() {
		v.At = at.UnixMilli()
	}
	r, _ := encode(prefixCancel+id, id, v) // A number can always be encoded.
	return r
}

// StatusRecords returns the records that publish a job's status. For a job that has
// ended they also delete its job and cancel records: a starting entry reads every
// live record, on links of a megabyte a second.
func StatusRecords(j *Job, s Status) ([]Record, error) {
	if s.State.Final() {
		s.Queue, s.Host, s.Prefix, s.Team, s.Accepted = j.Queue, j.Host, j.Prefix, j.Team, j.Accepted.UnixMilli()
	}
	r, err := encode(prefixStatus+j.ID, j.ID, s)
	if err != nil || !s.State.Final() {
		return []Record{r}, err
	}
	return []Record{r, {Key: prefixJob + j.ID}, {Key: prefixCancel + j.ID}}, nil
}

// DeleteRecords returns the records that delete everything about a job except its
// progress.
func DeleteRecords(id string) []Record {
	return []Record{{Key: prefixJob + id}, {Key: prefixCancel + id}, {Key: prefixStatus + id}}
}

// DeleteCopyRecords returns the records that delete what an additional stream has of a job.
// Append them after the job's final status: a reader that sees the deletion first would
// take the job for unknown.
func DeleteCopyRecords(id string) []Record {
	return []Record{{Key: prefixJob + id}, {Key: prefixCancel + id}}
}

// ParseProgress decodes a progress record. The progress is nil if the record deletes
// it.
func ParseProgress(r Record) (id string, p *Progress, err error) {
	kind, id := splitKey(r.Key)
	if kind != prefixProgress {
		return id, nil, &Error{Job: id, Reason: "want a progress record, got kind " + kind}
	}
	if len(r.Value) == 0 {
		return id, nil, nil
	}
	p = &Progress{}
	if err := json.Unmarshal(r.Value, p); err != nil {
		return id, nil, &Error{Job: id, Reason: "malformed progress record", Err: err}
	}
	return id, p, nil
}

// Wave is the progress of a maintenance wave.
type Wave struct {
	ID int64 `json:"id"`
	// Begun is when the scheduler first saw the wave.
	Begun time.Time `json:"begun"`
	// Done lists the VMs whose maintenance order was acknowledged.
	Done []string `json:"done,omitempty"`
	// Completed is set once the end of the wave was reported to operators.
	Completed bool `json:"completed,omitempty"`
}

// WaveRecord returns the record of a wave's progress.
func WaveRecord(w *Wave) (Record, error) {
	id := strconv.FormatInt(w.ID, 10)
	return encode(prefixWave+id, id, w)
}

// Offer says that an entry would lead in place of one with less processor time.
type Offer struct {
	// MilliCores is the processor limit of the entry's VM.
	MilliCores int64 `json:"millicores"`
	// Made is when the entry made the offer.
	Made time.Time `json:"made"`
}

// OfferRecord returns the record of an entry's offer to lead.
func OfferRecord(entry string, o Offer) (Record, error) {
	return encode(prefixOffer+entry, entry, o)
}

// Fleet is the state of the pools that a scheduler can't derive from the list of VMs.
type Fleet struct {
	// BaseSize is the number of VMs that operators assigned to each pool.
	BaseSize map[string]int `json:"home"`
	// BurstEnded is when the last burst of each pool ended. InBurst is set for pools that
	// are in a busy period.
	BurstEnded map[string]time.Time `json:"ended,omitempty"`
	InBurst    map[string]bool      `json:"in,omitempty"`
	// Interference has the images found to slow others on the same worker, 64 pairs at most.
	// Schedulers of earlier versions leave it out.
	Interference []Interference `json:"interference,omitempty"`
}

// Interference says that tasks of the image Slowed take Slowdown times as long beside tasks
// of the image By.
type Interference struct {
	Slowed   string  `json:"slowed"`
	By       string  `json:"by"`
	Slowdown float64 `json:"slowdown"`
	// Evidence is the logarithm of the odds against chance, from Samples ends.
	Evidence float64 `json:"evidence"`
	Samples  int     `json:"samples"`
	// Updated is when the evidence last changed, in Unix milliseconds.
	Updated int64 `json:"updated"`
}

// FleetRecord returns the record of the pools' state.
func FleetRecord(f *Fleet) (Record, error) {
	return encode(keyFleet, keyFleet, f)
}

// LoadRecord returns the record of the pools' load.
func LoadRecord(l *Load) (Record, error) {
	return encode(KeyLoad, KeyLoad, l)
}

func encode(key, id string, v any) (Record, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return Record{}, &Error{Job: id, Reason: "record can't be encoded", Err: err}
	}
	return Record{Key: key, Value: b}, nil
}

// splitKey splits a key into the kind of record, with its slash if it has one, and
// the id.
func splitKey(key string) (kind, id string) {
	i := strings.IndexByte(key, '/')
	if i < 0 {
		return key, ""
	}
	return key[:i+1], key[i+1:]
}
