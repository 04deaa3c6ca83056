package main

import (
	"encoding/json"
	"net/http"
	"os"
	"time"

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
}

// Run serves an upstream until it is told to stop, and then lets what runs end.
func (c *upstreamCommand) Run() error {
	u := &msstandin.Upstream{
		Name:        c.Name,
		Slots:       c.Slots,
		Connections: c.Connections,
		Mode:        msstandin.UpstreamMode{Run: c.RunTime, Spread: c.Spread, Seed: c.Seed},
	}
	s := &http.Server{Handler: u, ConnContext: u.ConnContext, ConnState: u.ConnState}
	if err := serve(c.Listen, s); err != nil {
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
