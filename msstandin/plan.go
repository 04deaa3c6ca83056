package msstandin

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// Plan is what a run of Callers asks for. It is read from a JSON file.
type Plan struct {
	Seed uint64 `json:"seed"`
	// Requests is how many requests are made.
	Requests int `json:"requests"`
	// Rate is the requests a second. Zero sends as fast as Concurrency lets.
	Rate float64 `json:"rate"`
	// Concurrency is the most requests that are open at a time.
	Concurrency int `json:"concurrency"`
	// TimeoutMS is how long a caller waits for one answer, in milliseconds.
	TimeoutMS int64 `json:"timeout-ms"`
	// Tries is how often a request is sent while it is refused as not run.
	Tries int `json:"tries"`
	// ResendUnknown sends a request again after an unknown outcome too, with the
	// same idempotency key. Entries then have to run it at most once.
	ResendUnknown bool `json:"resend-unknown,omitempty"`
	// PauseMS is the pause before another try, in milliseconds.
	PauseMS int64       `json:"pause-ms"`
	Entries []string    `json:"entries"`
	Teams   []PlanTeam  `json:"teams"`
	Queues  []PlanQueue `json:"queues"`
}

// PlanTeam is a team that makes requests.
type PlanTeam struct {
	Name string `json:"name"`
	// Secret is the team's key. A team without one uses open queues.
	Secret string `json:"secret,omitempty"`
	// Limit is the most that the team may have running across the fleet.
	Limit int `json:"limit"`
	// Weight is the team's part of the requests. Zero stands for 1.
	Weight int `json:"weight,omitempty"`
	// Queues are the names of the queues that the team uses.
	Queues []string `json:"queues"`
}

// PlanQueue is a queue that requests go to.
type PlanQueue struct {
	Name       string `json:"name"`
	Path       string `json:"path,omitempty"`
	Idempotent bool   `json:"idempotent,omitempty"`
	// BodyBytes is about how long the bodies are.
	BodyBytes int `json:"body-bytes,omitempty"`
}

const (
	defaultTimeout     = 10 * time.Second
	defaultPause       = 50 * time.Millisecond
	defaultConcurrency = 32
	defaultTries       = 3
)

// PlanError says what a plan lacks.
type PlanError struct {
	Field  string
	Reason string
}

// Error returns the field and the reason.
func (e *PlanError) Error() string {
	return fmt.Sprintf("plan: %s: %s", e.Field, e.Reason)
}

// Check returns an error that names all that makes the plan unusable.
func (p Plan) Check() error {
	var errs []error
	add := func(field, reason string) { errs = append(errs, &PlanError{Field: field, Reason: reason}) }
	if p.Requests <= 0 {
		add("requests", "must be above 0")
	}
	if p.Rate < 0 {
		add("rate", "must not be negative")
	}
	if len(p.Entries) == 0 {
		add("entries", "none")
	}
	if len(p.Teams) == 0 {
		add("teams", "none")
	}
	for _, t := range p.Teams {
		if len(t.Queues) == 0 || t.Weight < 0 || t.Limit <= 0 {
			add("team "+t.Name, "needs queues, a limit and no negative weight")
		}
		for _, q := range t.Queues {
			if p.queue(q) == nil {
				add("team "+t.Name, "unknown queue "+q)
			}
		}
	}
	return errors.Join(errs...)
}

func (p Plan) queue(name string) *PlanQueue {
	for i := range p.Queues {
		if p.Queues[i].Name == name {
			return &p.Queues[i]
		}
	}
	return nil
}

func (p Plan) timeout() time.Duration {
	if p.TimeoutMS <= 0 {
		return defaultTimeout
	}
	return time.Duration(p.TimeoutMS) * time.Millisecond
}

func (p Plan) pause() time.Duration {
	if p.PauseMS <= 0 {
		return defaultPause
	}
	return time.Duration(p.PauseMS) * time.Millisecond
}

func (p Plan) concurrency() int {
	if p.Concurrency <= 0 {
		return defaultConcurrency
	}
	return p.Concurrency
}

func (p Plan) tries() int {
	if p.Tries <= 0 {
		return defaultTries
	}
	return p.Tries
}

// call is one request of a plan.
type call struct {
	id    string
	key   string
	team  PlanTeam
	queue PlanQueue
	body  string
	// entry is the entry of the first try. Later tries go to the next ones.
	entry int
}

// drawCall returns the plan's call n, given the source of a run's draws.
func (p Plan) drawCall(n int, rng *rand.Rand) call {
	c := call{team: p.drawTeam(rng)}
	c.queue = *p.queue(c.team.Queues[rng.IntN(len(c.team.Queues))])
	c.entry = rng.IntN(len(p.Entries))
	c.id = fmt.Sprintf("%s-%d-%d", c.team.Name, p.Seed, n)
	c.body = c.id + "\n" + strings.Repeat("x", c.queue.BodyBytes)
	return c
}

func (p Plan) drawTeam(rng *rand.Rand) PlanTeam {
	total := 0
	for _, t := range p.Teams {
		total += max(1, t.Weight)
	}
	n := rng.IntN(total)
	for _, t := range p.Teams {
		n -= max(1, t.Weight)
		if n < 0 {
			return t
		}
	}
	return p.Teams[len(p.Teams)-1]
}
