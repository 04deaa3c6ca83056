//go:build review

package rig2

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// advice is what the config says of the recommendation of a queue.
type advice struct {
	DecisionMS int `json:"decision_ms"`
	PeriodMS   int `json:"period_ms"`
	ValidityMS int `json:"validity_ms"`
}

// advisor is the service at `recommendation`. All minions may run all steps.
type advisor struct {
	mu     sync.Mutex
	terms  advice
	issued map[string]time.Time // when tickets expire
	calls  int
}

// valid reports whether a minion takes a start of a subtask with a ticket.
func (a *advisor) valid(ticket, task, minion string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	step := task[:strings.LastIndexByte(task, '.')]
	return strings.HasPrefix(ticket, step+"/"+minion+"/") && time.Now().Before(a.issued[ticket])
}

// handler returns the service as one machine calls it: its calls are handled in turn.
func (a *advisor) handler(r *rig) http.Handler {
	var turn sync.Mutex
	var queued int
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		var q struct {
			Step    string   `json:"step"`
			Workers []string `json:"workers"`
		}
		if json.NewDecoder(req.Body).Decode(&q) != nil || len(q.Workers) > 100 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		a.mu.Lock()
		full := queued >= 32
		if !full {
			queued++
		}
		terms := a.terms
		a.mu.Unlock()
		if full {
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		turn.Lock()
		time.Sleep(time.Duration(terms.DecisionMS+terms.PeriodMS*len(q.Workers)) * time.Millisecond)
		turn.Unlock()
		good := [][2]string{}
		a.mu.Lock()
		queued--
		a.calls++
		if a.issued == nil {
			a.issued = map[string]time.Time{}
		}
		for _, id := range q.Workers {
			ticket := q.Step + "/" + id + "/" + strconv.Itoa(a.calls)
			a.issued[ticket] = time.Now().Add(time.Duration(terms.ValidityMS) * time.Millisecond)
			good = append(good, [2]string{id, ticket})
		}
		a.mu.Unlock()
		r.event("advice", "step", q.Step, "workers", len(q.Workers))
		reply(w, http.StatusOK, map[string]any{"good": good, "validity_ms": terms.ValidityMS})
	})
}
