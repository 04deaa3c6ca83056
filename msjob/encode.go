package msjob

import (
	"encoding/base64"
	"encoding/json"
	"slices"
	"strconv"
)

// This file encodes the progress of jobs as encoding/json does, and faster: a leader stores
// the progress of two thousand jobs a second in a burst, and each has the state of all tasks
// of its job.

// appendProgress appends p as JSON.
func appendProgress(b []byte, p *Progress) []byte {
	o := object{b: append(b, '{'), first: true}
	o.int("state", int64(p.State))
	if p.Started {
		o.key("started")
		o.b = append(o.b, "true"...)
	}
	o.int("ended", p.Ended)
	o.string("reason", p.Reason)
	if len(p.Occurrences) > 0 {
		o.key("rounds")
		o.b = appendOccurrences(o.b, p.Occurrences)
	}
	if len(p.Finished) > 0 {
		o.key("finished")
		o.b = append(o.b, '"')
		o.b = base64.StdEncoding.AppendEncode(o.b, p.Finished)
		o.b = append(o.b, '"')
	}
	if p.InParts {
		o.key("parts")
		o.b = append(o.b, "true"...)
	}
	return append(o.b, '}')
}

func appendOccurrences(b []byte, all map[int]*OccurrenceProgress) []byte {
	var one [1]string
	keys := one[:0]
	for k := range all {
		keys = append(keys, strconv.Itoa(k))
	}
	slices.Sort(keys)
	b = append(b, '{')
	for i, key := range keys {
		if i > 0 {
			b = append(b, ',')
		}
		b = append(b, '"')
		b = append(b, key...)
		b = append(b, `":`...)
		k, _ := strconv.Atoi(key) // It is the text of a number.
		b = appendOccurrence(b, all[k])
	}
	return append(b, '}')
}

func appendOccurrence(b []byte, r *OccurrenceProgress) []byte {
	if r == nil {
		return append(b, "null"...)
	}
	b = append(b, `{"s":`...)
	if r.Steps == nil {
		return append(b, "null}"...)
	}
	b = append(b, '[')
	for i, tasks := range r.Steps {
		if i > 0 {
			b = append(b, ',')
		}
		if tasks == nil {
			b = append(b, "null"...)
			continue
		}
		b = appendTasks(b, tasks)
	}
	return append(b, "]}"...)
}

func appendTasks(b []byte, tasks []Task) []byte {
	b = append(b, '[')
	for i := range tasks {
		if i > 0 {
			b = append(b, ',')
		}
		b = appendTask(b, &tasks[i])
	}
	return append(b, ']')
}

func appendTask(b []byte, t *Task) []byte {
	o := object{b: append(b, '{'), first: true}
	o.int("p", int64(t.Phase))
	o.int("a", int64(t.Attempt))
	if t.EndedAttempts != 0 {
		o.key("e")
		o.b = strconv.AppendUint(o.b, t.EndedAttempts, 10)
	}
	o.int("f", int64(t.Failures))
	o.int("x", int64(t.Crashes))
	o.int("u", int64(t.UnconfirmedCrashes))
	o.int("t", int64(t.CrashRuntime))
	o.string("w", t.Worker)
	o.string("c", t.Checkpoint)
	return append(o.b, '}')
}

// object is a JSON object that is being encoded. Fields with the zero value are omitted.
type object struct {
	b     []byte
	first bool
}

func (o *object) key(name string) {
	if !o.first {
		o.b = append(o.b, ',')
	}
	o.first = false
	o.b = append(o.b, '"')
	o.b = append(o.b, name...)
	o.b = append(o.b, `":`...)
}

func (o *object) int(name string, v int64) {
	if v != 0 {
		o.key(name)
		o.b = strconv.AppendInt(o.b, v, 10)
	}
}

func (o *object) string(name, v string) {
	if v == "" {
		return
	}
	o.key(name)
	for i := range len(v) {
		if c := v[i]; c < ' ' || c > '~' || c == '"' || c == '\\' || c == '<' || c == '>' || c == '&' {
			quoted, _ := json.Marshal(v) // A string can always be encoded.
			o.b = append(o.b, quoted...)
			return
		}
	}
	o.b = append(o.b, '"')
	o.b = append(o.b, v...)
	o.b = append(o.b, '"')
}
