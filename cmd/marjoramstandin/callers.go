package main

import (
	"context"
	"encoding/json"
	"os"
	"os/signal"
	"syscall"

	"marjoramspan/msstandin"
)

type callersCommand struct {
	Plan    string `required:"" type:"existingfile" help:"JSON file that says what to ask."`
	Records string `required:"" help:"JSON lines file that is written with what was told of each request."`
}

// Run makes the plan's requests. At SIGTERM it starts no more and waits for
// those that are open.
func (c *callersCommand) Run() error {
	var p msstandin.Plan
	if err := readFile(c.Plan, &p); err != nil {
		return err
	}
	f, err := os.Create(c.Records)
	if err != nil {
		return err
	}
	defer f.Close()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	enc := json.NewEncoder(f)
	callers := &msstandin.Callers{Plan: p, Record: func(r msstandin.CallerRecord) error { return enc.Encode(r) }}
	if err := callers.Run(ctx); err != nil {
		return err
	}
	return f.Close()
}

func readFile(name string, v any) error {
	b, err := os.ReadFile(name)
	if err != nil {
		return err
	}
	return json.Unmarshal(b, v)
}
