// Package msmeasure drives the project's decisions over generated demands and
// prints how well they do.
//
// A Measure runs one policy and its naive version in a plain loop over the
// same seeded demands and returns a Line for each figure. Nothing here opens a
// connection or starts a process: what is measured is the decision itself.
package msmeasure

import (
	"fmt"
	"strings"
	"time"
)

// Measure is one run of a policy against its naive version.
type Measure struct {
	Name string
	// Run returns the same lines for the same deployment and seed.
	Run func(Deployment, uint64) ([]Line, error)
}

// Line is one figure of a measure.
type Line struct {
	Name       string
	Deployment string
	// Ours and Baseline are in the same unit, which belongs to Name.
	Ours, Baseline float64
	Seed           uint64
	// Target is the highest value of Ours that is wanted; 0 is no target.
	Target float64
	// Cause says why Ours is over Target, where that is known.
	Cause string
	// Notes are further figures of the same run, printed as KEY=VALUE.
	Notes []Note
}

// Note is a further figure of a Line.
type Note struct {
	Key, Value string
}

// Ratio returns Ours over Baseline, or 0 where there is no baseline.
func (l Line) Ratio() float64 {
	if l.Baseline == 0 {
		return 0
	}
	return l.Ours / l.Baseline
}

// Missed reports whether the line has a target and is over it.
func (l Line) Missed() bool {
	return l.Target > 0 && l.Ours > l.Target
}

// String prints the line, and a second one where its target is missed.
func (l Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "measure %s deployment=%s ours=%.4g baseline=%.4g ratio=%.3g seed=%d",
		l.Name, l.Deployment, l.Ours, l.Baseline, l.Ratio(), l.Seed)
	for _, n := range l.Notes {
		fmt.Fprintf(&b, " %s=%s", n.Key, n.Value)
	}
	if l.Missed() {
		fmt.Fprintf(&b, "\nmissed %s deployment=%s ours=%.4g target=%.4g seed=%d cause=%q",
			l.Name, l.Deployment, l.Ours, l.Target, l.Seed, l.Cause)
	}
	return b.String()
}

// Deployment is the size and load of one user's fleet.
type Deployment struct {
	Name        string
	DataCentres int
	// Entries is how many entry VMs the system runs on.
	Entries  int
	Services []Service
	Workers  Workers
	Teams    []Team
	Turns    Turns
}

// Service is a pool of VMs that serves one queue.
type Service struct {
	Name        string
	Instances   int
	Slots       int // per instance
	Connections int // per instance
	// Spare marks the pool that lends VMs to the others.
	Spare bool
	// Available is the availability budget in percent of Instances.
	Available int
	// RunTime is the median run time of a request; run times are heavy-tailed.
	RunTime time.Duration
}

// Workers is the machines that carry the VMs and run jobs.
type Workers struct {
	Count, PerRack   int
	Cores, MemoryGiB int // per worker
}

// Team is one organisation: its weight when all is full, its upper limit
// across the fleet, and its part of the demand.
type Team struct {
	Name          string
	Weight, Limit int
	Demand        float64
}

// Turns is how queues take turns: the queue whose turn it is asks Peak times
// its mean for For, and the others Trough times theirs.
type Turns struct {
	Peak, Trough float64
	For          time.Duration
}

// Lamphun is the fleet of Lamphun Panelcraft Labs.
func Lamphun() Deployment {
	return Deployment{
		Name:        "lamphun",
		DataCentres: 3,
		Entries:     8,
		Services: services("spare", []serviceTime{
			{"quote", 120 * time.Millisecond},
			{"colour", 80 * time.Millisecond},
			{"booth", 400 * time.Millisecond},
			{"cure", 50 * time.Millisecond},
		}),
		Workers: Workers{Count: 50, PerRack: 4, Cores: 32, MemoryGiB: 64},
		Teams:   sixTeams(),
		Turns:   Turns{Peak: 5, Trough: 0.05, For: 10 * time.Second},
	}
}

// Kilele is the fleet of Kilele Systems.
func Kilele() Deployment {
	return Deployment{
		Name:        "kilele",
		DataCentres: 3,
		Entries:     8,
		Services: services("spare", []serviceTime{
			{"tally", 60 * time.Millisecond},
			{"board", 40 * time.Millisecond},
			{"seat", 150 * time.Millisecond},
			{"reconcile", 800 * time.Millisecond},
		}),
		Workers: Workers{Count: 50, PerRack: 4, Cores: 64, MemoryGiB: 128},
		Teams:   sixTeams(),
		Turns:   Turns{Peak: 5, Trough: 0.05, For: 10 * time.Second},
	}
}

// Deployments returns the deployments that a --deployment flag names.
func Deployments(name string) ([]Deployment, error) {
	switch name {
	case "lamphun":
		return []Deployment{Lamphun()}, nil
	case "kilele":
		return []Deployment{Kilele()}, nil
	case "both":
		return []Deployment{Lamphun(), Kilele()}, nil
	}
	return nil, fmt.Errorf("no deployment %q: want lamphun, kilele or both", name)
}

type serviceTime struct {
	name    string
	runTime time.Duration
}

// services returns the serving pools and the spare one, all of today's size.
func services(spare string, names []serviceTime) []Service {
	var out []Service
	for _, n := range names {
		out = append(out, Service{Name: n.name, Instances: 10, Slots: 8, Connections: 64, Available: 80, RunTime: n.runTime})
	}
	return append(out, Service{Name: spare, Instances: 10, Slots: 8, Connections: 64, Spare: true})
}

// sixTeams returns six organisations, two of them large.
func sixTeams() []Team {
	return []Team{
		{Name: "team-1", Weight: 8, Limit: 160, Demand: 0.40},
		{Name: "team-2", Weight: 6, Limit: 20, Demand: 0.30},
		{Name: "team-3", Weight: 2, Limit: 60, Demand: 0.10},
		{Name: "team-4", Weight: 2, Limit: 60, Demand: 0.10},
		{Name: "team-5", Weight: 1, Limit: 40, Demand: 0.05},
		{Name: "team-6", Weight: 1, Limit: 10, Demand: 0.05},
	}
}
