package msjob

import (
	"encoding/json"
	"hash/fnv"
	"slices"
	"strconv"
	"strings"
)

// prefixWithdrawal is the key prefix of a withdrawal. It is followed by the job's ID and a hash
// of the queue and the team: two teams may choose the same ID.
const prefixWithdrawal = "withdrawn/"

// Withdrawal cancels a job that is not stored. The record of the job may still follow, as an
// append without an answer can be carried out late; the job is then canceled from the start.
type Withdrawal struct {
	Queue  string `json:"queue"`
	Host   string `json:"host,omitempty"`
	Prefix string `json:"prefix,omitempty"`
	// Team is empty for a cancel without a key.
	Team string `json:"team,omitempty"`
}

// QueueID returns the queue of the cancel.
func (w Withdrawal) QueueID() QueueID {
	return QueueID{Name: w.Queue, Host: w.Host, Prefix: w.Prefix}
}

// WithdrawalRecord returns the record of a withdrawal. It belongs into stream 0.
func WithdrawalRecord(id string, w Withdrawal) (Record, error) {
	return encode(prefixWithdrawal+id+"/"+w.hash(), id, w)
}

// hash is of the names alone, as entries of earlier versions check it.
func (w Withdrawal) hash() string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(w.Queue + "\x00" + w.Team))
	return strconv.FormatUint(h.Sum64(), 16)
}

// Covers reports whether the withdrawal is by those to whom the job belongs.
func (w Withdrawal) Covers(j *Job) bool {
	return w.QueueID().Is(j.QueueID()) && (j.Team == "" || w.Team == "" || j.Team == w.Team)
}

// Withdrawn reports whether a withdrawal is stored.
func (t *Table) Withdrawn(id string, w Withdrawal) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(t.withdrawals[id], func(o Withdrawal) bool { return o.Team == w.Team && o.QueueID().Is(w.QueueID()) })
}

// WithdrawalCount returns how many jobs are withdrawn.
func (t *Table) WithdrawalCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.withdrawals)
}

// WithdrawalKeys returns the keys of the records of all withdrawals, in no particular order.
func (t *Table) WithdrawalKeys() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var keys []string
	for id, all := range t.withdrawals {
		for _, w := range all {
			keys = append(keys, prefixWithdrawal+id+"/"+w.hash())
		}
	}
	return keys
}

func (t *Table) applyWithdrawal(rest string, value []byte) error {
	id, hash, _ := strings.Cut(rest, "/")
	if len(value) == 0 {
		t.mu.Lock()
		defer t.mu.Unlock()
		left := slices.DeleteFunc(slices.Clone(t.withdrawals[id]), func(w Withdrawal) bool { return w.hash() == hash })
		if len(left) == 0 {
			delete(t.withdrawals, id)
		} else {
			t.withdrawals[id] = left
		}
		return nil
	}
	var w Withdrawal
	if err := json.Unmarshal(value, &w); err != nil {
		return &Error{Job: id, Reason: "malformed withdrawal", Err: err}
	}
	if w.hash() != hash {
		return &Error{Job: id, Reason: "withdrawal under the key of another one"}
	}
	t.mu.Lock()
	if t.withdrawals == nil {
		t.withdrawals = map[string][]Withdrawal{}
	}
	if !slices.Contains(t.withdrawals[id], w) {
		t.withdrawals[id] = append(slices.Clone(t.withdrawals[id]), w)
	}
	e := t.jobs[id]
	isNew := e != nil && !e.Canceled && w.Covers(e.Job)
	if isNew {
		e.Canceled = true
	}
	fn := t.OnCancel
	t.mu.Unlock()
	if isNew && fn != nil {
		fn(id)
	}
	return nil
}

// isWithdrawn reports whether a job is withdrawn. The caller holds mu.
func (t *Table) isWithdrawn(j *Job) bool {
	return slices.ContainsFunc(t.withdrawals[j.ID], func(w Withdrawal) bool { return w.Covers(j) })
}
