// Package msrule is the operators' rules: pools, VMs, teams, queues and keys.
//
// Operators write rules in a plain text file, one rule a line, and each line
// ends in a comment that names who asked for it. A Set is what such a file
// says once it has been parsed and checked. Sets are compared by Diff, printed
// back by Format, and travel as JSON in the records of the platform's log.
package msrule

import "time"

// Set is a checked collection of rules. The zero value holds no rule.
type Set struct {
	DataCentres []DataCentre `json:"data-centres,omitempty"`
	Pools       []Pool       `json:"pools,omitempty"`
	VMs         []VM         `json:"vms,omitempty"`
	Teams       []Team       `json:"teams,omitempty"`
	Queues      []Queue      `json:"queues,omitempty"`
	Keys        []Key        `json:"keys,omitempty"`
}

// Origin tells where a rule stands and who asked for it.
type Origin struct {
	// Line is the rule's line in its file, from 1.
	Line int `json:"line,omitempty"`
	// AskedBy is the text of the comment that ends the line.
	AskedBy string `json:"asked-by"`
}

// DataCentre is a failure domain that holds racks, within a region.
type DataCentre struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	Origin Origin `json:"origin"`
}

// Pool is a set of VMs that run one service.
type Pool struct {
	Name string `json:"name"`
	// Size is the wanted number of VMs.
	Size int `json:"size"`
	// Slots is how many requests one VM runs at a time.
	Slots int `json:"slots"`
	// Connections is how many connections one VM accepts.
	Connections int `json:"connections"`
	// Available is the availability budget: the lowest part of the pool's VMs
	// that must be in service, in percent of Size.
	Available int `json:"available-percent"`
	// Spare marks the pool that lends VMs to the others. It serves no queue.
	Spare  bool   `json:"spare,omitempty"`
	Origin Origin `json:"origin"`
}

// VM names the pool that a VM starts in. Later moves are records of their own.
type VM struct {
	Name   string `json:"name"`
	Pool   string `json:"pool"`
	Origin Origin `json:"origin"`
}

// Team is a caller's organisation.
type Team struct {
	Name string `json:"name"`
	// Share is the team's weight when all is full.
	Share int `json:"share"`
	// Limit is the most that the team may have running across the fleet.
	Limit  int    `json:"limit"`
	Origin Origin `json:"origin"`
}

// Queue is a named way into a pool.
type Queue struct {
	Name string `json:"name"`
	Pool string `json:"pool"`
	// Teams may use the queue, each with its own keys. An open queue has
	// exactly one: the team that its work is counted for.
	Teams []string `json:"teams"`
	// Open takes work without a key.
	Open bool `json:"open,omitempty"`
	// Idempotent requests may be sent again after an unknown outcome. All
	// others need an idempotency key and run at most once.
	Idempotent bool `json:"idempotent,omitempty"`
	// Urgent work goes before other work of the same team.
	Urgent bool `json:"urgent,omitempty"`
	// Deadline is the longest that a request may wait and run.
	Deadline time.Duration `json:"deadline-ns"`
	Origin   Origin        `json:"origin"`
}

// Key is the digest of a secret that callers of a team present.
type Key struct {
	ID   string `json:"id"`
	Team string `json:"team"`
	// Digest is the SHA-256 of the secret, in hexadecimal.
	Digest string `json:"digest"`
	Origin Origin `json:"origin"`
}
