package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"marjoramspan/msclock"
	"marjoramspan/mslog"
	"marjoramspan/mspool"
	"marjoramspan/msstandin"
	"marjoramspan/msstate"
)

type fleetJudgeCommand struct {
	Plan     string        `required:"" type:"existingfile" help:"The callers' plan, for the path of each queue."`
	Platform string        `required:"" help:"Address of the platform."`
	Journals []string      `name:"journal" required:"" help:"An upstream's journal: its file, or its address as http://HOST:PORT. May be given several times."`
	Lag      time.Duration `default:"5s" help:"How long an entry may act on the state before a change."`
}

// Run prints the verdict, and fails on any breach or where no VM was rebooted.
func (c *fleetJudgeCommand) Run() error {
	var p msstandin.Plan
	if err := readFile(c.Plan, &p); err != nil {
		return err
	}
	j := msstandin.FleetJudge{Lag: c.Lag}
	for _, from := range c.Journals {
		l, err := readJournal(from)
		if err != nil {
			return fmt.Errorf("journal %s: %w", from, err)
		}
		j.Journals = append(j.Journals, l)
	}
	var err error
	if j.Owners, err = owners(c.Platform, p); err != nil {
		return err
	}
	if j.Events, err = history(c.Platform); err != nil {
		return err
	}
	if len(j.Owners) > 0 {
		j.From = j.Owners[0].At
	}
	v := j.Verdict()
	fmt.Println(v)
	if v.Reboots == 0 {
		return msstandin.ErrNoReboot
	}
	return v.Err()
}

func history(platform string) ([]msstandin.VMEvent, error) {
	client := &http.Client{Timeout: journalTimeout}
	res, err := client.Get("http://" + platform + "/standin/history")
	if err != nil {
		return nil, err
	}
	defer func() { _ = res.Body.Close() }()
	var events []msstandin.VMEvent
	err = json.NewDecoder(res.Body).Decode(&events)
	return events, err
}

// owners folds the state stream and notes each ownership of the VMs.
func owners(platform string, p msstandin.Plan) ([]msstandin.Ownership, error) {
	ctx, cancel := context.WithTimeout(context.Background(), journalTimeout)
	defer cancel()
	reading, err := msstate.Read(ctx, &mslog.Client{Address: platform}, msclock.System{}, "state")
	if err != nil {
		return nil, err
	}
	s := &msstate.State{}
	var all []msstandin.Ownership
	for _, rec := range reading.Records {
		out, err := s.Apply(rec)
		if err != nil {
			return nil, err
		}
		if out.Accepted && s.RulesVersion > 0 {
			all = append(all, ownership(s, p, rec.Time))
		}
	}
	return all, nil
}

func ownership(s *msstate.State, p msstandin.Plan, at time.Time) msstandin.Ownership {
	o := msstandin.Ownership{At: at, Pools: map[string]string{}, Needed: map[string]int{}, Paths: map[string]string{}}
	for vm, h := range s.Ownership.VMs {
		o.Pools[vm] = h.Pool
	}
	for _, rule := range s.Rules.Pools {
		o.Needed[rule.Name] = mspool.Pool{Size: rule.Size, Available: rule.Available}.Needed()
	}
	for _, rule := range s.Rules.Queues {
		for _, q := range p.Queues {
			if q.Name == rule.Name {
				o.Paths["/"+q.Path] = rule.Pool
			}
		}
	}
	return o
}
