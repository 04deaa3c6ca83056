package msjob

import (
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// The progress of most jobs is one record. That of a job with thousands of tasks would outgrow
// what the log takes in a record, and would be written anew with each end of a task, so its
// tasks are stored in parts: records of their own, of which only those with changes are
// written. The head, the record of the job's progress, has the rest and says that there are
// parts.

// prefixPart is the key prefix of a part. It is followed by the job's ID and by the numbers
// of the occurrence, the step and the part: tasks/ID/K.STEP.PART.
const prefixPart = "tasks/"

const (
	// partTasks is the number of tasks in a part. Readers rely on it.
	partTasks = 32
	// maxCheckpointBytes bounds a task's checkpoint as encoded, so that every part fits into a
	// record of 256 KiB: the name of a worker is the key of a record and has up to 255 bytes,
	// which become six times as many if all are escaped, and the numbers of a task take up to
	// 200.
	maxCheckpointBytes = 6000
	// maxWholeBytes is the size of progress from which it is stored in parts.
	maxWholeBytes = 64 << 10
)

// CanStoreCheckpoint reports whether a checkpoint is small enough to be stored.
func CanStoreCheckpoint(checkpoint string) bool {
	const maxEscaped = 6
	if maxEscaped*len(checkpoint) <= maxCheckpointBytes {
		return true
	}
	if len(checkpoint) > maxCheckpointBytes {
		return false
	}
	b, err := json.Marshal(checkpoint)
	return err == nil && len(b) <= maxCheckpointBytes
}

// partKey identifies a part of a job's progress.
type partKey struct {
	occurrence, step, part int
}

// record returns the key of the part's record.
func (k partKey) record(id string) string {
	return prefixPart + id + "/" + strconv.Itoa(k.occurrence) + "." + strconv.Itoa(k.step) + "." + strconv.Itoa(k.part)
}

func (k partKey) compare(o partKey) int {
	if k.occurrence != o.occurrence {
		return k.occurrence - o.occurrence
	}
	if k.step != o.step {
		return k.step - o.step
	}
	return k.part - o.part
}

// parsePartKey parses what follows prefixPart.
func parsePartKey(s string) (id string, k partKey, err error) {
	id, numbers, _ := strings.Cut(s, "/")
	fields := strings.Split(numbers, ".")
	if len(fields) != 3 {
		return id, k, errors.New("want three numbers")
	}
	for i, n := range []*int{&k.occurrence, &k.step, &k.part} {
		if *n, err = strconv.Atoi(fields[i]); err != nil {
			return id, k, err
		}
		if *n < 0 {
			return id, k, errors.New("a number is negative")
		}
	}
	return id, k, nil
}

// tasksOf returns the tasks of a part.
func (k partKey) tasksOf(tasks []Task) []Task {
	return tasks[k.part*partTasks : min((k.part+1)*partTasks, len(tasks))]
}

// StoredParts has the parts of a job's progress as they are stored. The zero value has none.
type StoredParts struct {
	tasks map[partKey][]Task
}

// Records returns the records that store what has changed in p since the last call, and sets
// p.InParts once p is large. Append them in this order. A reader of any number of the first
// ones sees a task only together with the tasks of earlier steps that it depends on, and an
// occurrence as finished only while its parts don't matter.
//
// maxRecord is the maximum size of a record in bytes, or 0 if there is none.
func (s *StoredParts) Records(id string, p *Progress, maxRecord int) ([]Record, error) {
	if !p.InParts {
		r, err := ProgressRecord(id, p)
		if err != nil || len(r.Value) <= maxWholeBytes && (maxRecord == 0 || 2*len(r.Value) <= maxRecord) {
			return append([]Record{r}, s.drop(id, p)...), err
		}
		p.InParts = true
	}
	all := s.changed(id, p)
	head := *p
	head.Occurrences = nil
	r, err := ProgressRecord(id, &head)
	return append(append(all, r), s.drop(id, p)...), err
}

// changed returns the records of the parts that have changed.
func (s *StoredParts) changed(id string, p *Progress) []Record {
	var all []Record
	if s.tasks == nil {
		s.tasks = map[partKey][]Task{}
	}
	for _, k := range slices.Sorted(maps.Keys(p.Occurrences)) {
		for step, tasks := range p.Occurrences[k].Steps {
			for n := range (len(tasks) + partTasks - 1) / partTasks {
				key := partKey{occurrence: k, step: step, part: n}
				part, old := key.tasksOf(tasks), s.tasks[key]
				if slices.Equal(part, old) || old == nil && untouched(part) {
					continue
				}
				s.tasks[key] = slices.Clone(part)
				all = append(all, Record{Key: key.record(id), Value: appendTasks(nil, part)})
			}
		}
	}
	return all
}

// drop returns the records that delete the parts of occurrences that are no longer in
// progress.
func (s *StoredParts) drop(id string, p *Progress) []Record {
	var keys []partKey
	for key := range s.tasks {
		if p.Occurrences[key.occurrence] == nil {
			delete(s.tasks, key)
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, partKey.compare)
	gone := make([]Record, len(keys))
	for i, key := range keys {
		gone[i] = Record{Key: key.record(id)}
	}
	return gone
}

// untouched reports whether no task has ever been assigned.
func untouched(tasks []Task) bool {
	for i := range tasks {
		if tasks[i] != (Task{}) {
			return false
		}
	}
	return true
}

// ProgressReader collects the records of the progress of jobs. The zero value has none.
type ProgressReader struct {
	heads map[string]*Progress
	parts map[string]map[partKey][]Task
}

// Reset forgets all records.
func (r *ProgressReader) Reset() {
	r.heads, r.parts = nil, nil
}

// Apply applies a record. It returns an error if the record is malformed.
func (r *ProgressReader) Apply(rec Record) error {
	kind, rest := splitKey(rec.Key)
	if kind == prefixPart {
		return r.applyPart(rest, rec.Value)
	}
	id, p, err := ParseProgress(rec)
	switch {
	case err != nil:
		return err
	case p == nil:
		delete(r.heads, id)
	case r.heads == nil:
		r.heads = map[string]*Progress{id: p}
	default:
		r.heads[id] = p
	}
	return nil
}

func (r *ProgressReader) applyPart(name string, value []byte) error {
	id, key, err := parsePartKey(name)
	if err != nil {
		return &Error{Job: id, Reason: "malformed key of a part", Err: err}
	}
	if len(value) == 0 {
		delete(r.parts[id], key)
		return nil
	}
	var tasks []Task
	if err := json.Unmarshal(value, &tasks); err != nil {
		return &Error{Job: id, Reason: "malformed part", Err: err}
	}
	if r.parts == nil {
		r.parts = map[string]map[partKey][]Task{}
	}
	if r.parts[id] == nil {
		r.parts[id] = map[partKey][]Task{}
	}
	r.parts[id][key] = tasks
	return nil
}

// Take removes the progress of a job and returns it with its stored parts. It is nil if there
// is none.
func (r *ProgressReader) Take(j *Job) (*Progress, StoredParts) {
	var stored StoredParts
	p := r.heads[j.ID]
	delete(r.heads, j.ID)
	if p == nil || !p.InParts || p.State.Final() {
		return p, stored
	}
	stored.tasks = map[partKey][]Task{}
	for key, tasks := range r.parts[j.ID] {
		if !key.fits(j, len(tasks)) || p.IsFinished(key.occurrence) {
			continue
		}
		copy(key.tasksOf(p.Occurrence(j, key.occurrence).Steps[key.step]), tasks)
		stored.tasks[key] = tasks
		delete(r.parts[j.ID], key)
	}
	return p, stored
}

// fits reports whether a job has the part, with the given number of tasks.
func (k partKey) fits(j *Job, tasks int) bool {
	if k.occurrence >= j.OccurrenceCount() || k.step >= len(j.Steps) || k.part > j.Steps[k.step].Count/partTasks {
		return false
	}
	return tasks > 0 && tasks == min(partTasks, j.Steps[k.step].Count-k.part*partTasks)
}

// Left returns the keys of the records that were not taken.
func (r *ProgressReader) Left() []string {
	var keys []string
	for id := range r.heads {
		keys = append(keys, prefixProgress+id)
	}
	for id, parts := range r.parts {
		for key := range parts {
			keys = append(keys, key.record(id))
		}
	}
	slices.Sort(keys)
	return keys
}

// ProgressKey returns the key of the record of a job's progress. Delete the record after the
// DeleteRecords: a job that is stored without progress would run again.
func ProgressKey(id string) string {
	return prefixProgress + id
}

// JobOf returns the ID of the job that the record of a key belongs to. It is empty for the
// records of no job.
func JobOf(key string) string {
	kind, rest := splitKey(key)
	switch kind {
	case prefixJob, prefixCancel, prefixStatus, prefixProgress, prefixPart, prefixWithdrawal:
		id, _, _ := strings.Cut(rest, "/")
		return id
	}
	return ""
}
