package msjob

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"
)

// The records of a job are kept by key: the newest of each key counts. Every entry
// folds jobs, cancels and statuses; only the scheduler needs the progress, which
// changes with each attempt.
const (
	prefixStatus   = "status/"
	prefixJob      = "job/"
	prefixProgress = "progress/"
	prefixCancel   = "cancel/"
	prefixWave     = "wave/"
	// KeyLoad is the key of the newest Load, keyFleet that of the newest Fleet.
	KeyLoad  = "load"
	keyFleet = "fleet"
)

// Record is a key and its value. A record without value drops the key.
type Record struct {
	Key   string
	Value []byte
}

// JobRecord is the record that accepts a job.
func JobRecord(j *Job) (Record, error) {
	return encode(prefixJob+j.ID, j.ID, j)
}

// ProgressRecord is the record of a job's progress.
func ProgressRecord(id string, p *Progress) (Record, error) {
	return encode(prefixProgress+id, id, p)
}

// CancelRecord is the record that cancels a job.
func CancelRecord(id string) Record {
	return Record{Key: prefixCancel + id, Value: []byte("{}")}
}

// StatusRecords are the records of how callers see a job. They drop what is no longer
// needed of a job that has ended: an entry that starts reads all that is kept, on
// links of a megabyte a second.
func StatusRecords(j *Job, s Status) ([]Record, error) {
	if s.State.Final() {
		s.Queue, s.Team, s.Accepted = j.Queue, j.Team, j.Accepted.UnixMilli()
	}
	r, err := encode(prefixStatus+j.ID, j.ID, s)
	if err != nil || !s.State.Final() {
		return []Record{r}, err
	}
	return []Record{r, {Key: prefixJob + j.ID}, {Key: prefixCancel + j.ID}}, nil
}

// ForgetRecords drop all records of a job but its progress.
func ForgetRecords(id string) []Record {
	return []Record{{Key: prefixJob + id}, {Key: prefixCancel + id}, {Key: prefixStatus + id}}
}

// ForgetProgressRecord drops the progress of a job. It goes after the other records
// are gone: a job without progress would run again.
func ForgetProgressRecord(id string) Record {
	return Record{Key: prefixProgress + id}
}

// ParseProgress reads a record of progress. The progress is nil where the record
// drops it.
func ParseProgress(r Record) (id string, p *Progress, err error) {
	kind, id := splitKey(r.Key)
	if kind != prefixProgress {
		return id, nil, &Error{Job: id, Reason: "no record of progress but of " + kind}
	}
	if len(r.Value) == 0 {
		return id, nil, nil
	}
	p = &Progress{}
	if err := json.Unmarshal(r.Value, p); err != nil {
		return id, nil, &Error{Job: id, Reason: "its progress can't be read", Err: err}
	}
	return id, p, nil
}

// Wave is how far a wave of maintenance has come.
type Wave struct {
	ID int64 `json:"id"`
	// Begun is when the wave was first seen.
	Begun time.Time `json:"begun"`
	// Done has the VMs whose maintenance was ordered and answered.
	Done []string `json:"done,omitempty"`
	// Completed says that operators were told of the wave's end.
	Completed bool `json:"completed,omitempty"`
}

// WaveRecord is the record of a wave.
func WaveRecord(w *Wave) (Record, error) {
	id := strconv.FormatInt(w.ID, 10)
	return encode(prefixWave+id, id, w)
}

// Fleet is what a scheduler has to know of the pools beside the list of VMs.
type Fleet struct {
	// Home is how many VMs operators gave each pool.
	Home map[string]int `json:"home"`
	// Ended is when the last turn of each pool ended, In which are in their turn.
	Ended map[string]time.Time `json:"ended,omitempty"`
	In    map[string]bool      `json:"in,omitempty"`
}

// FleetRecord is the record of the pools.
func FleetRecord(f *Fleet) (Record, error) {
	return encode(keyFleet, keyFleet, f)
}

// LoadRecord is the record of the queues' load.
func LoadRecord(l *Load) (Record, error) {
	return encode(KeyLoad, KeyLoad, l)
}

func encode(key, id string, v any) (Record, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return Record{}, &Error{Job: id, Reason: "its record can't be written", Err: err}
	}
	return Record{Key: key, Value: b}, nil
}

// splitKey returns the kind of record and the job's id.
func splitKey(key string) (kind, id string) {
	i := strings.IndexByte(key, '/')
	if i < 0 {
		return key, ""
	}
	return key[:i+1], key[i+1:]
}
