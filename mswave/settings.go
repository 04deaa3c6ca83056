package mswave

import "time"

// Settings is how a wave is run. The zero value is ready for use: it takes
// every VM, at the pace that the budgets allow.
type Settings struct {
	// Cutoff leaves out VMs that were maintained at or after it; the zero time
	// leaves out none.
	Cutoff time.Time `json:"cutoff,omitzero"`
	// MaxOut is the most VMs out of service at the same time, 0 for no limit but
	// the budgets.
	MaxOut int `json:"max-out,omitempty"`
	// Canary is how many VMs go before any has returned, 1 where it is 0. Later
	// no more VMs go at a time than twice those that have returned.
	Canary int `json:"canary,omitempty"`
	// StopAfter is how many VMs that did not come back stop the wave while few
	// have returned, 2 where it is 0. StopPercent of those that have returned is
	// added to it, 10 where it is 0: a bad image shows in the first VMs, and a
	// large wave always loses some.
	StopAfter   int `json:"stop-after,omitempty"`
	StopPercent int `json:"stop-percent,omitempty"`
	// KeepSpare is how many VMs the spare pool keeps in service.
	KeepSpare int `json:"keep-spare,omitempty"`
	// Lease is how long an entry may send work after it last read the log.
	Lease time.Duration `json:"lease-ns,omitempty"`
	// MaxRun is the longest that a request may run on a VM.
	MaxRun time.Duration `json:"max-run-ns,omitempty"`
	// BootTimeout is how long a VM may take from its reboot's record to serving.
	BootTimeout time.Duration `json:"boot-timeout-ns,omitempty"`
	// Soak is how long a rebooted VM has to stay up before it gets work.
	Soak time.Duration `json:"soak-ns,omitempty"`
	// Follow is how long after its return a VM's failure is held against the wave.
	Follow time.Duration `json:"follow-ns,omitempty"`
	// Quiet is how long a wave that stopped by itself waits before it resumes.
	Quiet time.Duration `json:"quiet-ns,omitempty"`
}

// Defaults of Settings.
const (
	DefaultCanary      = 1
	DefaultStopAfter   = 2
	DefaultStopPercent = 10
	DefaultLease       = 4 * time.Second
	DefaultMaxRun      = 5 * time.Minute
	DefaultBootTimeout = 15 * time.Minute
	DefaultSoak        = 2 * time.Minute
	DefaultFollow      = time.Hour
	DefaultQuiet       = 15 * time.Minute
)

// ClockSkew is allowed for between the writer of a record and its reader.
const ClockSkew = 2 * time.Second

// filled returns s with the defaults in place of zeros.
func (s Settings) filled() Settings {
	s.Canary = orInt(s.Canary, DefaultCanary)
	s.StopAfter = orInt(s.StopAfter, DefaultStopAfter)
	s.StopPercent = orInt(s.StopPercent, DefaultStopPercent)
	s.Lease = orTime(s.Lease, DefaultLease)
	s.MaxRun = orTime(s.MaxRun, DefaultMaxRun)
	s.BootTimeout = orTime(s.BootTimeout, DefaultBootTimeout)
	s.Soak = orTime(s.Soak, DefaultSoak)
	s.Follow = orTime(s.Follow, DefaultFollow)
	s.Quiet = orTime(s.Quiet, DefaultQuiet)
	return s
}

// PeriodicCutoff returns the cutoff of a wave that starts at start, where waves
// start every interval, take longest at most, and each VM is to be maintained
// once in period: it takes the VMs that would be late in the next wave.
func PeriodicCutoff(start time.Time, period, interval, longest time.Duration) time.Time {
	return start.Add(interval + longest - period)
}

func orInt(n, other int) int {
	if n == 0 {
		return other
	}
	return n
}

func orTime(d, other time.Duration) time.Duration {
	if d == 0 {
		return other
	}
	return d
}
