package main

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"marjoramspan/mspool"
	"marjoramspan/mswave"
)

// dryFlags make a change happen only where it was asked for.
type dryFlags struct {
	Yes bool `help:"Do it. Without this flag the command only shows what it would do."`
}

type poolCmd struct {
	Show poolShowCmd `cmd:"" help:"Show the pools, their budgets and their VMs."`
}

type poolShowCmd struct {
	logFlags
	outputFlags
	Pool string `arg:"" optional:"" help:"Only this pool, with its VMs."`
}

// Run shows the pools.
func (c *poolShowCmd) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.Limit)
	defer cancel()
	f, err := c.operator("").Fleet(ctx)
	if err != nil {
		return err
	}
	if c.Pool != "" {
		f.Health = slices.DeleteFunc(f.Health, func(h mspool.PoolHealth) bool { return h.Pool != c.Pool })
	}
	return c.print(f.Health, func(w io.Writer) {
		var rows, vms []string
		for _, h := range f.Health {
			rows = append(rows, fmt.Sprintf("%s\t%d\t%d\t%d\t%d", h.Pool, h.Size, h.Serving, h.Needed, h.Margin))
		}
		table(w, "POOL\tSIZE\tSERVING\tNEEDED\tMARGIN AFTER A RACK", rows)
		if c.Pool == "" {
			return
		}
		for _, v := range f.Table.VMs {
			if v.Pool == c.Pool {
				vms = append(vms, fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%d", v.Name, v.DataCentre, v.Rack, v.State, v.Moving, v.Running))
			}
		}
		table(w, "VM\tDATA CENTRE\tRACK\tSTATE\tMOVING TO\tRUNNING", vms)
	})
}

type vmCmd struct {
	Move vmMoveCmd `cmd:"" help:"Move a VM to another pool: out, drained, then in."`
}

type vmMoveCmd struct {
	logFlags
	byFlags
	outputFlags
	dryFlags
	VM string `arg:"" help:"The VM."`
	To string `required:"" help:"The pool that it goes to."`
}

// Run moves the VM.
func (c *vmMoveCmd) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.Limit)
	defer cancel()
	m, err := c.operator(c.By).MoveVM(ctx, c.VM, c.To, !c.Yes)
	if err != nil {
		return err
	}
	return c.print(m, func(w io.Writer) {
		fmt.Fprintf(w, "pool %s keeps %d VMs and needs %d; a rack may take %d more; fits=%t\n", m.From, m.InService, m.Needed, m.RackLoss, m.Fits)
		if m.Version > 0 {
			fmt.Fprintf(w, "accepted as version %d: %s goes from %s to %s\n", m.Version, m.VM, m.From, m.To)
			return
		}
		fmt.Fprintln(w, "nothing was changed; add --yes to do it")
	})
}

type waveCmd struct {
	Plan   wavePlanCmd   `cmd:"" help:"Forecast a maintenance wave."`
	Start  waveStartCmd  `cmd:"" help:"Start a maintenance wave."`
	Pause  wavePauseCmd  `cmd:"" help:"Stop the wave until it is resumed; VMs that are out come back."`
	Resume waveResumeCmd `cmd:"" help:"Let a stopped wave go on."`
	Status waveStatusCmd `cmd:"" help:"Show the wave and the VMs that are out."`
}

// waveFlags are the settings of a wave.
type waveFlags struct {
	Name        string        `arg:"" help:"The wave's name."`
	MaxOut      int           `help:"Most VMs out of service at a time; 0 leaves it to the budgets."`
	StopAfter   int           `help:"How many VMs that don't come back stop the wave; 0 is the default."`
	BootTimeout time.Duration `help:"How long a VM may take to come back; 0 is the default."`
	Soak        time.Duration `help:"How long a VM has to stay up before it gets work; 0 is the default."`
	MaxRun      time.Duration `default:"30s" help:"The entries' max-run."`
	Cutoff      time.Time     `help:"Leave out VMs that were maintained at or after this time (RFC 3339)."`
	Lease       time.Duration `default:"4s" help:"The entries' lease."`
}

func (f waveFlags) settings() mswave.Settings {
	return mswave.Settings{
		Cutoff:         f.Cutoff,
		MaxUnavailable: f.MaxOut,
		StopAfter:      f.StopAfter,
		BootTimeout:    f.BootTimeout,
		Soak:           f.Soak,
		MaxRun:         f.MaxRun,
		Lease:          f.Lease,
	}
}

func printForecast(w io.Writer, f mswave.Forecast) {
	for i, b := range f.Batches {
		fmt.Fprintf(w, "batch %d: %s\n", i+1, strings.Join(b.VMs, " "))
	}
	for _, l := range f.Loans {
		fmt.Fprintf(w, "pool %s needs %d VMs from the spare pool first\n", l.Pool, l.VMs)
	}
	if len(f.Blocked) > 0 {
		fmt.Fprintf(w, "blocked by a budget: %s\n", strings.Join(f.Blocked, " "))
	}
}

type wavePlanCmd struct {
	logFlags
	outputFlags
	waveFlags
}

// Run forecasts the wave.
func (c *wavePlanCmd) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.Limit)
	defer cancel()
	f, _, err := c.operator("").StartWave(ctx, c.Name, c.settings(), true)
	if err != nil {
		return err
	}
	return c.print(f, func(w io.Writer) { printForecast(w, f) })
}

type waveStartCmd struct {
	logFlags
	byFlags
	outputFlags
	dryFlags
	waveFlags
}

// Run starts the wave.
func (c *waveStartCmd) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.Limit)
	defer cancel()
	f, v, err := c.operator(c.By).StartWave(ctx, c.Name, c.settings(), !c.Yes)
	if err != nil {
		return err
	}
	return c.print(f, func(w io.Writer) {
		printForecast(w, f)
		if v > 0 {
			fmt.Fprintf(w, "accepted as version %d\n", v)
			return
		}
		fmt.Fprintln(w, "nothing was changed; add --yes to start it")
	})
}

type wavePauseCmd struct {
	logFlags
	byFlags
	Reason string `required:"" help:"Why the wave is paused."`
}

// Run pauses the wave.
func (c *wavePauseCmd) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.Limit)
	defer cancel()
	v, err := c.operator(c.By).PauseWave(ctx, c.Reason)
	if err == nil {
		fmt.Printf("accepted as version %d\n", v)
	}
	return err
}

type waveResumeCmd struct {
	logFlags
	byFlags
}

// Run resumes the wave.
func (c *waveResumeCmd) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.Limit)
	defer cancel()
	v, err := c.operator(c.By).ResumeWave(ctx)
	if err == nil {
		fmt.Printf("accepted as version %d\n", v)
	}
	return err
}

type waveStatusCmd struct {
	logFlags
	outputFlags
}

// Run shows the wave.
func (c *waveStatusCmd) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.Limit)
	defer cancel()
	s, err := c.operator("").State(ctx)
	if err != nil {
		return err
	}
	return c.print(s.Wave, func(w io.Writer) {
		wave := s.Wave
		if wave.Status == "" {
			fmt.Fprintln(w, "there has been no wave")
			return
		}
		fmt.Fprintf(w, "wave %s: %s, started %s %s\n", wave.Wave, wave.Status, wave.Started.Format(time.RFC3339), wave.Reason)
		var rows []string
		for vm, p := range wave.VMs {
			rows = append(rows, fmt.Sprintf("%s\t%s\t%s", vm, p.Phase, p.Since.Format(time.RFC3339)))
		}
		slices.Sort(rows)
		table(w, "VM\tPHASE\tSINCE", rows)
	})
}

type whyCmd struct {
	VM  whyVMCmd  `cmd:"" name:"vm" help:"Say why a VM is not maintained now."`
	Job whyJobCmd `cmd:"" help:"Say where each task of a job stands and why."`
}

type whyVMCmd struct {
	logFlags
	outputFlags
	VM string `arg:"" help:"The VM."`
}

// Run says why.
func (c *whyVMCmd) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.Limit)
	defer cancel()
	reasons, err := c.operator("").WhyVM(ctx, c.VM)
	if err != nil {
		return err
	}
	return c.print(reasons, func(w io.Writer) {
		for _, r := range reasons {
			fmt.Fprintf(w, "%s: %s\n", r.Code, r.Text)
		}
	})
}
