// Package mssetting reads the settings of a daemon from an INI file.
//
// Settings hold what the rules don't: the name and location of the process, its
// listen addresses and its limits. Rules are the same everywhere and change at
// run time; settings differ from VM to VM and are read once, at startup. Load
// rejects a file with any error and reports all errors at once, so that an
// operator can correct the file in one pass. Format prints the effective
// settings, including defaults.
package mssetting

import "time"

// Settings holds the settings of a daemon, with one field per section of the
// file. Defaults returns the values of optional settings.
type Settings struct {
	Entry     Entry
	Log       Log
	Limits    Limits
	Peers     Peers
	Drain     Drain
	Account   Account
	LogOutput LogOutput
}

// Entry holds the identity, location and addresses of the process. Addresses
// have the form IP:port.
type Entry struct {
	// Name is the entry's name, unique in the fleet.
	Name string
	// DataCentre, Rack and Region are the failure domains of the entry.
	// Region may be empty.
	DataCentre string
	Rack       string
	Region     string
	// Listen is the address for HTTP requests of callers.
	Listen string
	// AdminListen is the address for HTTP requests of operators and for metrics.
	AdminListen string
	// PeerListen is the address for gRPC calls from other entries.
	PeerListen string
	// Advertise is the address at which other entries reach PeerListen. It
	// defaults to PeerListen.
	Advertise string
}

// Log configures the client of the platform's log service.
type Log struct {
	// Address is the IP:port of the service.
	Address string
	// Timeout limits each call to the service.
	Timeout time.Duration
	// StreamPrefix is the prefix of the names of all streams that the fleet uses.
	StreamPrefix string
}

// Limits holds the request limits of the entry.
type Limits struct {
	// Lease is how long an entry may admit requests based on its last known state.
	Lease time.Duration
	// MaxRun is the maximum time that a request may run at an upstream.
	MaxRun time.Duration
	// MaxBody is the maximum size of a request body, in bytes.
	MaxBody int64
	// MaxConnections is the maximum number of callers' connections.
	MaxConnections int
	// MaxWaiting is the maximum number of requests waiting for one pool.
	MaxWaiting int
	// IdempotencyWindow is how long the result of an idempotency key is kept.
	IdempotencyWindow time.Duration
	// ConnectionsPerUpstream is the maximum number of connections to one VM.
	ConnectionsPerUpstream int
}

// Peers configures failure detection between entries.
type Peers struct {
	// Heartbeat is the interval between heartbeats.
	Heartbeat time.Duration
	// ExcludeAfter is how long an entry may be silent before it is excluded.
	ExcludeAfter time.Duration
}

// Drain configures the graceful shutdown of the entry.
type Drain struct {
	// BalancerLag is how long the load balancer may keep sending requests after the
	// entry announces its shutdown.
	BalancerLag time.Duration
	// Grace is the maximum duration of a graceful shutdown, including BalancerLag.
	Grace time.Duration
}

// Account configures the counting of responses and rejections.
type Account struct {
	// Flush is the interval between appends of the counts.
	Flush time.Duration
}

// LogOutput configures the log output of the process itself.
type LogOutput struct {
	// Level is the minimum log level: debug, info, warn or error.
	Level string
}

// Defaults returns the default values of all optional settings.
func Defaults() Settings {
	return Settings{
		Log: Log{Timeout: 2 * time.Second},
		Limits: Limits{
			Lease:                  4 * time.Second,
			MaxRun:                 30 * time.Second,
			MaxBody:                64 * mebibyte,
			MaxConnections:         4096,
			MaxWaiting:             1000,
			IdempotencyWindow:      10 * time.Minute,
			ConnectionsPerUpstream: 7,
		},
		Peers:     Peers{Heartbeat: time.Second, ExcludeAfter: 5 * time.Second},
		Drain:     Drain{BalancerLag: 5 * time.Second, Grace: 35 * time.Second},
		Account:   Account{Flush: 10 * time.Second},
		LogOutput: LogOutput{Level: "info"},
	}
}
