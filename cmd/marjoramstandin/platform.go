package main

import (
	"net/http"
	"time"

	"marjoramspan/msstandin"
)

type platformCommand struct {
	Listen        string        `default:"127.0.0.1:7000" help:"Address to listen on."`
	RetainRecords int           `default:"100000" help:"Most records that a stream keeps; 0 keeps all."`
	ListLag       time.Duration `default:"0s" help:"How late a change of a VM shows in the list."`
}

// Run serves the platform until it is told to stop.
func (c *platformCommand) Run() error {
	p := &msstandin.Platform{RetainRecords: c.RetainRecords, ListLag: c.ListLag}
	return serve(c.Listen, &http.Server{Handler: p})
}
