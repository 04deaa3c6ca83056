package main

import (
	"context"
	"fmt"
	"io"
)

type keysCmd struct {
	Give     keysGiveCmd     `cmd:"" help:"Make a key for a team. Its secret is printed once."`
	Withdraw keysWithdrawCmd `cmd:"" help:"End a key for good."`
	List     keysListCmd     `cmd:"" help:"List the keys in force, by id."`
}

type keysGiveCmd struct {
	logFlags
	byFlags
	outputFlags
	ID       string `arg:"" help:"The new key's id."`
	Team     string `required:"" help:"The team that the key is for."`
	AskedFor string `help:"Who asked for the key and why; the default is the name given by --by."`
	NoWait   bool   `help:"Don't wait until the key is in force on every entry."`
}

// Run gives the key.
func (c *keysGiveCmd) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.Limit)
	defer cancel()
	o := c.operator(c.By)
	asked := c.AskedFor
	if asked == "" {
		asked = c.By
	}
	k, err := o.GiveKey(ctx, c.ID, c.Team, asked)
	if err != nil {
		return err
	}
	if err := c.print(k, func(w io.Writer) {
		fmt.Fprintf(w, "accepted as version %d\nkey %s of team %s: %s\n", k.Version, k.ID, k.Team, k.Secret)
	}); err != nil || c.NoWait {
		return err
	}
	return c.awaitInForce(ctx, o, k.Version)
}

type keysWithdrawCmd struct {
	logFlags
	byFlags
	outputFlags
	ID     string `arg:"" help:"The key's id."`
	NoWait bool   `help:"Don't wait until the key has stopped working on every entry."`
}

// Run withdraws the key.
func (c *keysWithdrawCmd) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.Limit)
	defer cancel()
	o := c.operator(c.By)
	a, err := o.WithdrawKey(ctx, c.ID)
	if err != nil {
		return err
	}
	if err := c.print(a, func(w io.Writer) {
		fmt.Fprintf(w, "accepted as version %d\n", a.Version)
	}); err != nil || c.NoWait {
		return err
	}
	return c.awaitInForce(ctx, o, a.Version)
}

type keysListCmd struct {
	logFlags
	outputFlags
}

// Run lists the keys.
func (c *keysListCmd) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.Limit)
	defer cancel()
	s, err := c.operator("").State(ctx)
	if err != nil {
		return err
	}
	return c.print(s.Rules.Keys, func(w io.Writer) {
		var rows []string
		for _, k := range s.Rules.Keys {
			rows = append(rows, fmt.Sprintf("%s\t%s\t%s", k.ID, k.Team, k.Origin.AskedBy))
		}
		table(w, "KEY\tTEAM\tASKED BY", rows)
	})
}
