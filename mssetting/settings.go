// Package mssetting is the settings of one daemon, read from an INI file.
//
// Settings tell a process what it can't learn from the rules: its name and
// place, the addresses that it listens on, and the limits of its own work.
// Rules are the same everywhere and change while daemons run; settings differ
// from VM to VM and are read once, at the start. Load refuses a file with any
// fault and names all of them at once, so that an operator corrects a file in
// one round. Format prints what is in force, defaults included.
package mssetting

import "time"

// Settings are the settings of a daemon, one field a section of the file.
// Defaults returns the values of those that a file may leave out.
type Settings struct {
	Entry     Entry
	Log       Log
	Limits    Limits
	Peers     Peers
	Drain     Drain
	Account   Account
	LogOutput LogOutput
}

// Entry is who and where the process is. Addresses are IP:port.
type Entry struct {
	// Name is the entry's name, unique in the fleet.
	Name string
	// DataCentre, Rack and Region are the failure domains that it stands in.
	// Region may be empty.
	DataCentre string
	Rack       string
	Region     string
	// Listen takes callers' HTTP.
	Listen string
	// AdminListen takes operators' HTTP and serves the metrics.
	AdminListen string
	// PeerListen takes the gRPC of other entries.
	PeerListen string
	// Advertise is where other entries reach PeerListen.
	Advertise string
}

// Log is the platform's log service.
type Log struct {
	// Address is the IP:port of the service.
	Address string
	// Timeout is the longest that one call of it may take.
	Timeout time.Duration
	// StreamPrefix begins the names of all streams that the fleet uses.
	StreamPrefix string
}

// Limits bound the work of the entry.
type Limits struct {
	// Lease is how long an entry may admit work on what it last knew.
	Lease time.Duration
	// MaxRun is the longest that a request may run at an upstream.
	MaxRun time.Duration
	// MaxBody is the longest body of a request, in bytes.
	MaxBody int64
	// MaxWaiting is the most requests that wait for one pool.
	MaxWaiting int
	// IdempotencyWindow is how long the outcome of an idempotency key is kept.
	IdempotencyWindow time.Duration
	// ConnectionsPerUpstream is the most connections to one VM.
	ConnectionsPerUpstream int
}

// Peers is how entries watch one another.
type Peers struct {
	// Heartbeat is the time between two heartbeats.
	Heartbeat time.Duration
	// ExcludeAfter is how long an entry is silent before it is excluded.
	ExcludeAfter time.Duration
}

// Drain is how the entry stops.
type Drain struct {
	// BalancerLag is how long the balancer still sends after the entry says
	// that it leaves.
	BalancerLag time.Duration
	// Grace is the longest that a graceful stop takes, BalancerLag included.
	Grace time.Duration
}

// Account is the count of answers and refusals.
type Account struct {
	// Flush is the time between two appends of the counts.
	Flush time.Duration
}

// LogOutput is what the process writes about itself.
type LogOutput struct {
	// Level is debug, info, warn or error.
	Level string
}

// Defaults returns the settings of a file that leaves out all that it may.
func Defaults() Settings {
	return Settings{
		Log: Log{Timeout: 2 * time.Second},
		Limits: Limits{
			Lease:                  4 * time.Second,
			MaxRun:                 30 * time.Second,
			MaxBody:                64 * mebibyte,
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
