package main

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"marjoramspan/msclock"
	"marjoramspan/msstandin"
)

type upstreamCommand struct {
	Listen      string        `default:"127.0.0.1:7101" help:"Address to listen on."`
	Name        string        `required:"" help:"Name of the VM."`
	Slots       int           `default:"8" help:"Requests that run at a time."`
	Connections int           `default:"64" help:"Connections that are accepted."`
	RunTime     time.Duration `name:"run" default:"20ms" help:"Run time of a request."`
	Spread      time.Duration `default:"0s" help:"Run times spread evenly by this much to both sides."`
	Seed        uint64        `default:"1" help:"Seed of the draws."`
	Journal     string        `help:"File that the journal is written to at the end."`
	Platform    string        `help:"Address of the platform that the VM reports to and takes orders from."`
	DataCentre  string        `help:"Data centre of the VM, for its reports."`
	Rack        string        `help:"Rack of the VM, for its reports."`
	Region      string        `help:"Region of the VM, for its reports."`
	Boot        time.Duration `default:"2s" help:"How long a reboot takes."`
}

// reportTimeout bounds one report to the platform.
const reportTimeout = time.Second

// Run serves an upstream until it is told to stop, and then lets what runs end.
func (c *upstreamCommand) Run() error {
	u := &msstandin.Upstream{
		Name:        c.Name,
		Slots:       c.Slots,
		Connections: c.Connections,
		Mode:        msstandin.UpstreamMode{Run: c.RunTime, Spread: c.Spread, Seed: c.Seed},
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := c.boots(ctx, u); err != nil {
		return err
	}
	if c.Journal == "" {
		return nil
	}
	b, err := json.Marshal(u.ReadJournal())
	if err != nil {
		return err
	}
	return os.WriteFile(c.Journal, b, 0o644)
}

// boots serves one boot after another until ctx is done.
func (c *upstreamCommand) boots(ctx context.Context, u *msstandin.Upstream) error {
	a := &msstandin.Agent{
		Upstream: u,
		Platform: c.Platform,
		Report:   msstandin.VMReport{Address: c.Listen, DataCentre: c.DataCentre, Rack: c.Rack, Region: c.Region},
		Clock:    msclock.System{},
		HTTP:     &http.Client{Timeout: reportTimeout},
	}
	for {
		again, err := c.boot(ctx, u, a)
		if err != nil || !again {
			return err
		}
		if msclock.Sleep(ctx, a.Clock, c.Boot) != nil {
			return nil
		}
	}
}

// boot serves until the VM is to reboot or ctx is done, and returns which. A
// reboot cuts what still runs.
func (c *upstreamCommand) boot(ctx context.Context, u *msstandin.Upstream, a *msstandin.Agent) (bool, error) {
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return false, err
	}
	s := &http.Server{Handler: u, ConnContext: u.ConnContext, ConnState: u.ConnState}
	failed := make(chan error, 1)
	go func() { failed <- s.Serve(l) }()
	reboot := make(chan bool, 1)
	if c.Platform != "" {
		go func() { reboot <- a.Run(ctx) }()
	}
	select {
	case err := <-failed:
		return false, err
	case <-ctx.Done():
		stop(s)
		return false, nil
	case again := <-reboot:
		if !again {
			stop(s)
			return false, nil
		}
		u.Reboot()
		err := s.Close()
		if errors.Is(err, http.ErrServerClosed) {
			err = nil
		}
		return true, err
	}
}
