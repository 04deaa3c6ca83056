//go:build review

package rig

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// step is a step of a job as callers send it.
type step map[string]any

// call makes a request of a caller and returns the status, 0 if there was no answer, and the
// body.
func (e *entry) call(method, path, key string, body any, timeout time.Duration) (int, string) {
	var in io.Reader
	if body != nil {
		b, _ := json.Marshal(body)
		in = strings.NewReader(string(b))
	}
	q, err := http.NewRequest(method, "http://"+e.ip+":"+portCallers+path, in)
	if err != nil {
		panic(err)
	}
	q.Host = "jobs.example"
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set("Credential", key)
	q.Header.Set("Deadline-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	c := http.Client{Timeout: timeout}
	resp, err := c.Do(q)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(b)
}

// deadline is how long callers wait for an answer.
const deadline = 3 * time.Second

// submit hands a job in, and again after no answer, a 502, 503, 504 or 429, and returns the
// last status.
func (r *rig) submit(n int, queue, id, key string, body any) int {
	status := 0
	for try := range 6 {
		e := r.entries[(n+try)%len(r.entries)]
		var text string
		status, text = e.call(http.MethodPost, "/"+queue+"/"+id, key, body, deadline)
		r.note("caller: POST /%s/%s at %s: %d %.80s", queue, id, e.name, status, text)
		if status == http.StatusOK || status == http.StatusBadRequest {
			break
		}
		time.Sleep(500 * time.Millisecond)
	}
	return status
}

// state returns the state of a job, or the status if there is none.
func (e *entry) state(queue, id, key string) string {
	status, text := e.call(http.MethodGet, "/"+queue+"/"+id, key, nil, deadline)
	var b struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal([]byte(text), &b) != nil {
		return strconv.Itoa(status)
	}
	return b.State
}

// jobID returns the ID of the job with the given number.
func jobID(n int) string { return fmt.Sprintf("%016x", 0x5c0e7a2100000000+n) }
