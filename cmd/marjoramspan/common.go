package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"text/tabwriter"
	"time"

	"marjoramspan/msclock"
	"marjoramspan/mslog"
	"marjoramspan/msoperator"
)

// logFlags say where the platform's log is.
type logFlags struct {
	Log    string        `required:"" placeholder:"IP:PORT" env:"MARJORAMSPAN_LOG" help:"Address of the platform's log service."`
	Prefix string        `env:"MARJORAMSPAN_PREFIX" help:"Prefix of the fleet's streams."`
	Limit  time.Duration `name:"timeout" default:"20s" help:"Longest that the command may take."`
}

// byFlags say who asks for a change.
type byFlags struct {
	By string `required:"" placeholder:"NAME" env:"MARJORAMSPAN_BY" help:"Who asks for the change, for the audit trail."`
}

// outputFlags choose the form of the output.
type outputFlags struct {
	JSON bool `help:"Print JSON."`
}

func (f logFlags) operator(by string) *msoperator.Operator {
	c := msclock.System{}
	r := rand.New(rand.NewPCG(uint64(c.Now().UnixNano()), uint64(os.Getpid())))
	return &msoperator.Operator{
		Log:    &mslog.Client{Address: f.Log, Prefix: f.Prefix, Clock: c},
		By:     by,
		Clock:  c,
		Jitter: r.Float64,
	}
}

// print writes v as JSON, or else calls text.
func (f outputFlags) print(v any, text func(w io.Writer)) error {
	if !f.JSON {
		text(os.Stdout)
		return nil
	}
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// table writes rows in columns; the cells of a row are separated by tabs.
func table(w io.Writer, head string, rows []string) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, head)
	for _, r := range rows {
		fmt.Fprintln(tw, r)
	}
	_ = tw.Flush()
}

// awaitInForce waits until every entry acts on a version, and says how many do.
// Until then a change is accepted and not in force: while the log is down an entry
// that has not read it may go on as before.
func (f outputFlags) awaitInForce(ctx context.Context, o *msoperator.Operator, version uint64) error {
	got, err := o.WaitInForce(ctx, version)
	if err != nil {
		fmt.Fprintf(os.Stderr, "accepted as version %d, but in force on %d of %d entries only; behind: %v\n", got.Version, got.Applied, got.Entries, got.Behind)
		return err
	}
	if !f.JSON {
		fmt.Printf("in force on %d of %d entries\n", got.Applied, got.Entries)
	}
	return nil
}
