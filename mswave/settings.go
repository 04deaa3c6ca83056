package mswave

import "time"

// Settings controls the scope and pace of a wave. The zero value is ready for
// use: the wave maintains every VM as fast as the defaults and the budgets allow.
type Settings struct {
	// Cutoff excludes VMs that were maintained at or after it. The zero time
	// excludes none.
	Cutoff time.Time `json:"cutoff,omitzero"`
	// MaxUnavailable is the maximum number of VMs out of service at the same time, 0 for
	// no limit besides Canary and the budgets.
	MaxUnavailable int `json:"max-out,omitempty"`
	// Canary is how many VMs may be out of service before any has returned, 1
	// where it is 0. Later, at most twice as many VMs as have returned may be out
	// at a time.
	Canary int `json:"canary,omitempty"`
	// StopAfter is how many failed VMs stop the wave while few have returned, 2
	// where it is 0. StopPercent of the VMs that have returned is added to it, 10
	// where it is 0: a bad image shows in the first VMs, and in a large wave some
	// VMs always fail.
	StopAfter   int `json:"stop-after,omitempty"`
	StopPercent int `json:"stop-percent,omitempty"`
	// MinSpare is how many VMs of the spare pool stay in service.
	MinSpare int `json:"keep-spare,omitempty"`
	// Lease is how long an entry may send work after it last read the log.
	Lease time.Duration `json:"lease-ns,omitempty"`
	// MaxRun is the longest that a request may run on a VM.
	MaxRun time.Duration `json:"max-run-ns,omitempty"`
	// BootTimeout is how long a VM may take from its Reboot record to its return.
	BootTimeout time.Duration `json:"boot-timeout-ns,omitempty"`
	// Soak is how long a rebooted VM must stay up before it gets work.
	Soak time.Duration `json:"soak-ns,omitempty"`
	// FailureWindow is how long after its return a VM's failure counts towards stopping
	// the wave.
	FailureWindow time.Duration `json:"follow-ns,omitempty"`
	// ResumeDelay is how long a wave that stopped automatically waits before it resumes.
	ResumeDelay time.Duration `json:"quiet-ns,omitempty"`
}

// Defaults of Settings.
const (
	DefaultCanary        = 1
	DefaultStopAfter     = 2
	DefaultStopPercent   = 10
	DefaultLease         = 4 * time.Second
	DefaultMaxRun        = 5 * time.Minute
	DefaultBootTimeout   = 15 * time.Minute
	DefaultSoak          = 2 * time.Minute
	DefaultFailureWindow = time.Hour
	DefaultResumeDelay   = 15 * time.Minute
)

// ClockSkew is the largest clock difference allowed for between the writer of a
// record and its reader.
const ClockSkew = 2 * time.Second

// withDefaults returns s with zero values replaced by the defaults.
func (s Settings) withDefaults() Settings {
	s.Canary = intOrDefault(s.Canary, DefaultCanary)
	s.StopAfter = intOrDefault(s.StopAfter, DefaultStopAfter)
	s.StopPercent = intOrDefault(s.StopPercent, DefaultStopPercent)
	s.Lease = durationOrDefault(s.Lease, DefaultLease)
	s.MaxRun = durationOrDefault(s.MaxRun, DefaultMaxRun)
	s.BootTimeout = durationOrDefault(s.BootTimeout, DefaultBootTimeout)
	s.Soak = durationOrDefault(s.Soak, DefaultSoak)
	s.FailureWindow = durationOrDefault(s.FailureWindow, DefaultFailureWindow)
	s.ResumeDelay = durationOrDefault(s.ResumeDelay, DefaultResumeDelay)
	return s
}

// PeriodicCutoff returns the cutoff of a wave that starts at start, where waves
// start every interval, take longest at most, and each VM must be maintained
// once in period. The wave includes the VMs that the next wave might return too
// late.
func PeriodicCutoff(start time.Time, period, interval, longest time.Duration) time.Time {
	return start.Add(interval + longest - period)
}

func intOrDefault(n, def int) int {
	if n == 0 {
		return def
	}
	return n
}

func durationOrDefault(d, def time.Duration) time.Duration {
	if d == 0 {
		return def
	}
	return d
}
