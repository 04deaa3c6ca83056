// Command marjoramspan is the daemon of an entry VM and the operators' tool.
package main

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"marjoramspan/msoperator"
)

// The exit codes of every command.
const (
	exitFailed    = 1
	exitUsage     = 2
	exitRejected  = 3
	exitNoLog     = 4
	exitUndecided = 5
	exitInvalid   = 6
)

const description = `marjoramspan keeps pools of VMs serving their teams.

Exit codes: 0 done, 1 failed, 2 wrong usage, 3 the change was read back and is void,
4 the log can't be reached and nothing has changed, 5 undecided: the change may stand, 6 the file is not valid.

Examples:
  marjoramspan settings check entry.ini
  marjoramspan serve --settings entry.ini
  marjoramspan rules check site.rules
  marjoramspan rules publish site.rules --log 10.0.0.5:7000 --by somchai
  marjoramspan keys give fitters-2 --team fitters --log 10.0.0.5:7000 --by somchai
  marjoramspan status --log 10.0.0.5:7000 --json`

type cli struct {
	Serve    serveCmd    `cmd:"" help:"Run the daemon of an entry VM."`
	Platform platformCmd `cmd:"" help:"Run the daemon of an entry VM on the users' platform."`
	Settings settingsCmd `cmd:"" help:"Check or show the daemon's settings."`
	Rules    rulesCmd    `cmd:"" help:"Check, compare, publish or show the rules."`
	Keys     keysCmd     `cmd:"" help:"Give, withdraw or list keys."`
	Pool     poolCmd     `cmd:"" help:"Show the pools."`
	VM       vmCmd       `cmd:"" name:"vm" help:"Move VMs between pools."`
	Wave     waveCmd     `cmd:"" help:"Plan, start, pause, resume or show a maintenance wave."`
	Zone     zoneCmd     `cmd:"" help:"Evacuate, release or list data centres."`
	Why      whyCmd      `cmd:"" help:"Say why something is as it is."`
	Jobs     jobsCmd     `cmd:"" help:"List the jobs on the users' platform."`
	Pairs    pairsCmd    `cmd:"" name:"interference" help:"List the images found to slow others on the same worker."`
	Status   statusCmd   `cmd:"" help:"Show every entry: freshness, members, requests, tokens."`
	Refusals refusalsCmd `cmd:"" help:"Show what was refused, by minute, team, pool, queue and reason, with gaps marked."`
	Audit    auditCmd    `cmd:"" help:"Show every change, who asked for it and what became of it."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	var c cli
	parser := kong.Must(&c,
		kong.Name("marjoramspan"),
		kong.Description(description),
		kong.UsageOnError(),
		kong.BindTo(ctx, (*context.Context)(nil)),
		kong.Exit(func(code int) {
			if code != 0 {
				code = exitUsage
			}
			os.Exit(code)
		}),
	)
	kctx, err := parser.Parse(os.Args[1:])
	parser.FatalIfErrorf(err)
	if err := kctx.Run(); err != nil {
		parser.Errorf("%s", err)
		stop()
		os.Exit(exitCode(err)) //nolint:gocritic // stop was called above.
	}
}

func exitCode(err error) int {
	var oe *msoperator.Error
	if !errors.As(err, &oe) {
		return exitFailed
	}
	switch oe.Kind {
	case msoperator.Rejected:
		return exitRejected
	case msoperator.Unavailable:
		return exitNoLog
	case msoperator.OutcomeUnknown:
		return exitUndecided
	case msoperator.Invalid:
		return exitInvalid
	}
	return exitFailed
}
