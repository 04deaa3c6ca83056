// Command marjorammeasure runs every measure over a seeded load and prints one
// line a figure.
package main

import (
	"fmt"

	"marjoramspan/msmeasure"

	"github.com/alecthomas/kong"
)

var measures = append(msmeasure.FleetMeasures(), msmeasure.ShareError, msmeasure.UrgentStart)

type options struct {
	Seed       uint64 `help:"Seed of the generated demands and failures." default:"1"`
	Deployment string `help:"Fleet to measure." enum:"lamphun,kilele,both" default:"both"`
}

// Run prints the lines of every measure for the deployments asked for.
func (o options) Run() error {
	ds, err := msmeasure.Deployments(o.Deployment)
	if err != nil {
		return err
	}
	for _, m := range measures {
		for _, d := range ds {
			lines, err := m.Run(d, o.Seed)
			if err != nil {
				return fmt.Errorf("%s %s: %w", m.Name, d.Name, err)
			}
			for _, l := range lines {
				fmt.Println(l)
			}
		}
	}
	return nil
}

func main() {
	var o options
	ctx := kong.Parse(&o, kong.Name("marjorammeasure"))
	ctx.FatalIfErrorf(ctx.Run())
}
