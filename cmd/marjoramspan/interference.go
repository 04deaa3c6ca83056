package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"marjoramspan/msclock"
	"marjoramspan/msjob"
)

type pairsCmd struct {
	platformLogFlags
	outputFlags
}

// interferenceRow is a pair of images as the command prints it.
type interferenceRow struct {
	Slowed   string        `json:"slowed"`
	By       string        `json:"by"`
	Slowdown float64       `json:"slowdown"`
	Evidence float64       `json:"evidence"`
	Samples  int           `json:"samples"`
	Age      time.Duration `json:"age"`
}

// Run lists the images found to slow others, as the leader has last recorded them.
func (c *pairsCmd) Run(ctx context.Context) error {
	t, err := c.jobTable(ctx)
	if err != nil {
		return err
	}
	f, _ := t.Fleet()
	rows := interferenceRows(f, msclock.System{}.Now())
	return c.print(rows, func(w io.Writer) {
		var lines []string
		for _, r := range rows {
			lines = append(lines, fmt.Sprintf("%s\t%s\t%.2f\t%.1f\t%d\t%s", r.Slowed, r.By, r.Slowdown, r.Evidence, r.Samples, r.Age.Round(time.Second)))
		}
		table(w, "SLOWED\tBY\tSLOWDOWN\tEVIDENCE\tSAMPLES\tAGE", lines)
	})
}

func interferenceRows(f msjob.Fleet, now time.Time) []interferenceRow {
	rows := []interferenceRow{}
	for _, p := range f.Interference {
		rows = append(rows, interferenceRow{Slowed: p.Slowed, By: p.By, Slowdown: p.Slowdown, Evidence: p.Evidence, Samples: p.Samples, Age: now.Sub(time.UnixMilli(p.Updated))})
	}
	return rows
}
