// Package msrule parses, checks, formats and compares the rules with which
// operators define data centres, pools, VMs, teams, queues and keys.
//
// Operators write rules in a plain text file with one rule per line. Each line
// ends in a comment that names who asked for the rule. Parse returns the rules of
// a file as a Set. Diff compares sets, Format writes them as text, and records of
// the platform's log hold them as JSON.
package msrule

import "time"

// Set is a collection of rules. The zero value is empty.
type Set struct {
	DataCentres []DataCentre `json:"data-centres,omitempty"`
	Pools       []Pool       `json:"pools,omitempty"`
	VMs         []VM         `json:"vms,omitempty"`
	Teams       []Team       `json:"teams,omitempty"`
	Queues      []Queue      `json:"queues,omitempty"`
	Keys        []Key        `json:"keys,omitempty"`
}

// Origin records the position of a rule in its file and who asked for it.
type Origin struct {
	// Line is the line number in the file, from 1, or 0 if the rule isn't from a
	// file.
	Line int `json:"line,omitempty"`
	// AskedBy is the text of the comment at the end of the line.
	AskedBy string `json:"asked-by"`
}

// DataCentre is a failure domain within a region; it contains racks.
type DataCentre struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	Origin Origin `json:"origin"`
}

// Pool is a set of VMs that run one service.
type Pool struct {
	Name string `json:"name"`
	// Size is the target number of VMs.
	Size int `json:"size"`
	// Slots is the number of requests that one VM runs concurrently.
	Slots int `json:"slots"`
	// Connections is the number of connections that one VM accepts.
	Connections int `json:"connections"`
	// Available is the availability budget: the minimum number of VMs that must
	// be in service, in percent of Size.
	Available int `json:"available-percent"`
	// Spare marks the pool that lends VMs to other pools. It serves no queue.
	Spare  bool   `json:"spare,omitempty"`
	Origin Origin `json:"origin"`
}

// VM assigns a VM to its initial pool. Later moves are separate log records.
type VM struct {
	Name   string `json:"name"`
	Pool   string `json:"pool"`
	Origin Origin `json:"origin"`
}

// Team is an organisation whose callers send requests.
type Team struct {
	Name string `json:"name"`
	// Share is the team's weight in fair sharing when no slot is free.
	Share int `json:"share"`
	// Limit is the maximum number of requests that the team may have running
	// across the fleet.
	Limit  int    `json:"limit"`
	Origin Origin `json:"origin"`
}

// Queue is a named queue of requests for one pool.
type Queue struct {
	Name string `json:"name"`
	Pool string `json:"pool"`
	// Teams are the teams that may use the queue, each with its own keys. An open
	// queue has exactly one team, to which its requests are accounted.
	Teams []string `json:"teams"`
	// Open queues accept requests without a key.
	Open bool `json:"open,omitempty"`
	// Idempotent queues hold requests that may be sent again after an unknown
	// outcome. Requests of other queues need an idempotency key and run at most
	// once.
	Idempotent bool `json:"idempotent,omitempty"`
	// Urgent queues take precedence over other queues of the same team.
	Urgent bool `json:"urgent,omitempty"`
	// Deadline is the maximum time that a request may wait and run.
	Deadline time.Duration `json:"deadline-ns"`
	Origin   Origin        `json:"origin"`
}

// Key holds the digest of a secret that authenticates callers of a team.
type Key struct {
	ID   string `json:"id"`
	Team string `json:"team"`
	// Digest is the SHA-256 digest of the secret, in lower-case hexadecimal.
	Digest string `json:"digest"`
	Origin Origin `json:"origin"`
}
