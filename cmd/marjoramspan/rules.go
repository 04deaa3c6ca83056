package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"marjoramspan/msoperator"
	"marjoramspan/msrule"
)

type rulesCmd struct {
	Check   rulesCheckCmd   `cmd:"" help:"Check a rules file."`
	Diff    rulesDiffCmd    `cmd:"" help:"Show what publishing a file would change."`
	Publish rulesPublishCmd `cmd:"" help:"Put the rules of a file in force."`
	Show    rulesShowCmd    `cmd:"" help:"Print the rules in force, as a rules file."`
}

type rulesCheckCmd struct {
	File string `arg:"" type:"existingfile" help:"The rules file."`
}

// Run checks the file and changes nothing.
func (c *rulesCheckCmd) Run() error {
	_, err := parseRules(c.File)
	return err
}

func parseRules(file string) (msrule.Set, error) {
	f, err := os.Open(file)
	if err != nil {
		return msrule.Set{}, err
	}
	defer f.Close()
	s, err := msrule.Parse(file, f)
	if err != nil {
		return msrule.Set{}, &msoperator.Error{Op: "read rules", Kind: msoperator.Invalid, Err: err}
	}
	return s, nil
}

type rulesDiffCmd struct {
	logFlags
	outputFlags
	File string `arg:"" type:"existingfile" help:"The rules file."`
}

// Run shows what would change.
func (c *rulesDiffCmd) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.Limit)
	defer cancel()
	rules, err := parseRules(c.File)
	if err != nil {
		return err
	}
	s, err := c.operator("").State(ctx)
	if err != nil {
		return err
	}
	changes := msrule.Diff(s.Rules, rules)
	return c.print(changes, func(w io.Writer) {
		fmt.Fprintf(w, "against version %d\n", s.RulesVersion)
		printChanges(w, changes)
	})
}

func printChanges(w io.Writer, changes []msrule.Change) {
	for _, ch := range changes {
		fmt.Fprintln(w, ch)
	}
}

type rulesPublishCmd struct {
	logFlags
	byFlags
	outputFlags
	File   string `arg:"" type:"existingfile" help:"The rules file."`
	Base   uint64 `help:"The version that the file was written for; the default is the present one."`
	NoWait bool   `help:"Don't wait until the rules are in force on every entry."`
}

// Run publishes the file, and says accepted only once it was read back.
func (c *rulesPublishCmd) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.Limit)
	defer cancel()
	rules, err := parseRules(c.File)
	if err != nil {
		return err
	}
	o := c.operator(c.By)
	a, err := o.Publish(ctx, rules, c.Base)
	if err != nil {
		return err
	}
	if err := c.print(a, func(w io.Writer) {
		fmt.Fprintf(w, "accepted as version %d\n", a.Version)
		printChanges(w, a.Changes)
	}); err != nil || c.NoWait {
		return err
	}
	return c.awaitInForce(ctx, o, a.Version)
}

type rulesShowCmd struct {
	logFlags
	outputFlags
}

// Run prints the rules in force.
func (c *rulesShowCmd) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.Limit)
	defer cancel()
	s, err := c.operator("").State(ctx)
	if err != nil {
		return err
	}
	return c.print(s.Rules, func(w io.Writer) {
		fmt.Fprintf(w, "# version %d\n", s.RulesVersion)
		_ = msrule.Format(w, s.Rules)
	})
}
