package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"marjoramspan/msoperator"
	"marjoramspan/msstate"
)

type zoneCmd struct {
	Evacuate zoneEvacuateCmd `cmd:"" help:"Give the VMs of a data centre no new work."`
	Release  zoneReleaseCmd  `cmd:"" help:"Revoke the evacuation of a data centre."`
	List     zoneListCmd     `cmd:"" help:"List the data centres and their evacuations."`
}

// zoneFlags name a data centre and say why it is changed.
type zoneFlags struct {
	logFlags
	byFlags
	outputFlags
	Name   string `arg:"" help:"The data centre."`
	Why    string `required:"" placeholder:"TEXT" help:"Why, for the audit trail."`
	NoWait bool   `help:"Don't wait until every entry acts on it."`
}

func (f *zoneFlags) run(ctx context.Context, change func(o *msoperator.Operator, ctx context.Context) (msoperator.ZoneChanged, error)) error {
	ctx, cancel := context.WithTimeout(ctx, f.Limit)
	defer cancel()
	o := f.operator(f.By)
	z, err := change(o, ctx)
	if err != nil {
		return err
	}
	err = f.print(z, func(w io.Writer) {
		fmt.Fprintf(w, "accepted as version %d\n", z.Version)
		for _, h := range z.Short {
			fmt.Fprintf(w, "pool %s serves with %d VMs and needs %d\n", h.Pool, h.Serving, h.Needed)
		}
	})
	if err != nil || f.NoWait {
		return err
	}
	return f.awaitInForce(ctx, o, z.Version)
}

type zoneEvacuateCmd struct {
	zoneFlags
}

// Run evacuates the data centre.
func (c *zoneEvacuateCmd) Run(ctx context.Context) error {
	return c.run(ctx, func(o *msoperator.Operator, ctx context.Context) (msoperator.ZoneChanged, error) {
		return o.EvacuateZone(ctx, c.Name, c.Why)
	})
}

type zoneReleaseCmd struct {
	zoneFlags
}

// Run releases the data centre.
func (c *zoneReleaseCmd) Run(ctx context.Context) error {
	return c.run(ctx, func(o *msoperator.Operator, ctx context.Context) (msoperator.ZoneChanged, error) {
		return o.ReleaseZone(ctx, c.Name, c.Why)
	})
}

type zoneListCmd struct {
	logFlags
	outputFlags
}

// Run lists the data centres.
func (c *zoneListCmd) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.Limit)
	defer cancel()
	zones, err := c.operator("").Zones(ctx)
	if err != nil {
		return err
	}
	return c.print(zones, func(w io.Writer) {
		var rows []string
		for _, z := range zones {
			since, by, why := "-", "-", "-"
			if e := z.Evacuation; e != nil {
				since, by, why = e.Since.Format(time.RFC3339), e.By, e.Why
			}
			rows = append(rows, fmt.Sprintf("%s\t%d\t%d\t%d\t%s\t%s\t%s", z.DataCentre, z.VMs, z.Up, z.Running, since, by, why))
		}
		table(w, "DATA CENTRE\tVMS\tUP\tRUNNING\tEVACUATED SINCE\tBY\tWHY", rows)
	})
}

// zoneDetail returns the data centre and the reason of a change that evacuates or releases
// it, for the audit trail, and "" for other changes.
func zoneDetail(c msstate.Change) string {
	var z msstate.ZoneChange
	if c.Kind != msstate.KindZoneEvacuate && c.Kind != msstate.KindZoneRelease || json.Unmarshal(c.Body, &z) != nil {
		return ""
	}
	return fmt.Sprintf(" (%s: %s)", z.DataCentre, z.Why)
}
