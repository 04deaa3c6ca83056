package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"marjoramspan/msaccount"
)

type statusCmd struct {
	logFlags
	outputFlags
	Tokens bool `help:"Show each entry's part of every limit and slot."`
}

// Run shows every entry.
func (c *statusCmd) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.Limit)
	defer cancel()
	all, err := c.operator("").Entries(ctx)
	if err != nil {
		return err
	}
	return c.print(all, func(w io.Writer) {
		var rows, tokens []string
		for _, es := range all {
			if es.Status == nil {
				rows = append(rows, fmt.Sprintf("%s\t%s\t-\t-\t-\t-\t-\t-\t%s", es.Member.ID, es.Member.DataCentre, es.Error))
				continue
			}
			s := es.Status
			rows = append(rows, fmt.Sprintf("%s\t%s\t%t\t%d\t%d\t%d\t%d\t%d\t%s",
				s.Member, s.DataCentre, s.Fresh, s.RulesVersion, s.Requests.Answered, s.Requests.Refused, s.Requests.Unknown, s.Requests.Open, s.Uptime))
			for _, r := range s.Resources {
				tokens = append(tokens, fmt.Sprintf("%s\t%s\t%d\t%d\t%d\t%d\t%d\t%t", s.Member, r.Resource, r.Total, r.Held, r.Running, r.Free, r.Unknown, r.Home))
			}
		}
		table(w, "ENTRY\tDATA CENTRE\tFRESH\tRULES\tANSWERED\tREFUSED\tUNKNOWN\tOPEN\tUP", rows)
		if c.Tokens {
			table(w, "ENTRY\tRESOURCE\tTOTAL\tHELD\tRUNNING\tFREE\tUNKNOWN\tHOME", tokens)
		}
	})
}

type refusalsCmd struct {
	logFlags
	outputFlags
	Team string `help:"Only this team."`
	All  bool   `help:"Show answered requests as well."`
}

// Run shows the account.
func (c *refusalsCmd) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.Limit)
	defer cancel()
	s, err := c.operator("").Account(ctx)
	if err != nil {
		return err
	}
	var counts []msaccount.Count
	for _, n := range s.Counts {
		wanted := c.All || n.Row.Outcome != msaccount.Answered
		if wanted && (c.Team == "" || c.Team == n.Row.Team) {
			counts = append(counts, n)
		}
	}
	s.Counts = counts
	return c.print(s, func(w io.Writer) { printAccount(w, s) })
}

func printAccount(w io.Writer, s msaccount.Summary) {
	var rows []string
	for _, n := range s.Counts {
		r := n.Row
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%s\t%d", r.Minute.Format(time.RFC3339), r.Team, r.Pool, r.Queue, r.Outcome, r.Reason, n.N))
	}
	table(w, "MINUTE\tTEAM\tPOOL\tQUEUE\tOUTCOME\tREASON\tREQUESTS", rows)
	for _, g := range s.Gaps {
		fmt.Fprintf(w, "gap: the counts of %s are missing from %s to %s\n", g.Member, g.From.Format(time.RFC3339), g.To.Format(time.RFC3339))
	}
	fmt.Fprintf(w, "asked=%d answered=%d refused=%d unknown=%d open=%d agrees=%t gaps=%d\n", s.Received, s.Answered, s.Refused, s.Unknown, s.Open, s.Balanced(), len(s.Gaps))
}

type auditCmd struct {
	logFlags
	outputFlags
}

// Run shows every change.
func (c *auditCmd) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.Limit)
	defer cancel()
	entries, err := c.operator("").Audit(ctx)
	if err != nil {
		return err
	}
	return c.print(entries, func(w io.Writer) {
		var rows []string
		for _, e := range entries {
			became := "accepted"
			if !e.Outcome.Accepted {
				became = "void: " + e.Outcome.Reason
			}
			rows = append(rows, fmt.Sprintf("%s\t%d\t%s\t%s\t%s", e.Time.Format(time.RFC3339), e.Outcome.Version, e.Outcome.Change.Kind, e.Outcome.Change.By, became+zoneDetail(e.Outcome.Change)))
		}
		table(w, "TIME\tVERSION\tCHANGE\tBY\tOUTCOME", rows)
	})
}
