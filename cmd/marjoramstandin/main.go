// Command marjoramstandin serves the stand-ins that take the place of the
// platform, the upstream VMs and the callers in demos and tests.
package main

import (
	"github.com/alecthomas/kong"
)

type commands struct {
	Platform platformCommand   `cmd:"" help:"Serve the platform's log and its list of VMs."`
	Upstream upstreamCommand   `cmd:"" help:"Serve an upstream VM."`
	Callers  callersCommand    `cmd:"" help:"Make the requests of a plan."`
	Jobs     jobsCommand       `cmd:"" help:"Run jobs through failures, a drain and a maintenance wave, and judge."`
	Fleet    fleetJudgeCommand `cmd:"" name:"fleet-judge" help:"Hold the VMs' history against the log."`
	Judge    judgeCommand      `cmd:"" help:"Hold what callers were told against the upstreams' journals."`
}

func main() {
	var c commands
	k := kong.Parse(&c, kong.Name("marjoramstandin"), kong.Description("Stand-ins for the platform, upstreams and callers."))
	k.FatalIfErrorf(k.Run())
}
