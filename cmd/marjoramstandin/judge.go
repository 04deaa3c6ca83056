package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"marjoramspan/msstandin"
)

// journalTimeout bounds the fetch of one journal.
const journalTimeout = 10 * time.Second

type judgeCommand struct {
	Plan     string   `required:"" type:"existingfile" help:"The callers' plan, for its number of requests and the teams' limits."`
	Records  []string `required:"" help:"What the callers wrote. May be given several times."`
	Journals []string `name:"journal" required:"" help:"An upstream's journal: its file, or its address as http://HOST:PORT. May be given several times."`
}

// Run prints the verdict and fails on any breach.
func (c *judgeCommand) Run() error {
	var p msstandin.Plan
	if err := readFile(c.Plan, &p); err != nil {
		return err
	}
	j := msstandin.Judge{Asked: p.Requests, Limits: map[string]int{}}
	for _, t := range p.Teams {
		j.Limits[t.Name] = t.Limit
	}
	for _, name := range c.Records {
		rs, err := readRecords(name)
		if err != nil {
			return err
		}
		j.Records = append(j.Records, rs...)
	}
	for _, from := range c.Journals {
		l, err := readJournal(from)
		if err != nil {
			return fmt.Errorf("journal %s: %w", from, err)
		}
		j.Journals = append(j.Journals, l)
	}
	v := j.Verdict()
	fmt.Println(v)
	return v.Err()
}

func readRecords(name string) ([]msstandin.CallerRecord, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var rs []msstandin.CallerRecord
	d := json.NewDecoder(f)
	for {
		var r msstandin.CallerRecord
		err := d.Decode(&r)
		if errors.Is(err, io.EOF) {
			return rs, nil
		}
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		rs = append(rs, r)
	}
}

func readJournal(from string) (msstandin.Journal, error) {
	var l msstandin.Journal
	if !strings.HasPrefix(from, "http://") {
		return l, readFile(from, &l)
	}
	client := &http.Client{Timeout: journalTimeout}
	resp, err := client.Get(from + "/standin/journal")
	if err != nil {
		return l, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return l, fmt.Errorf("status %d", resp.StatusCode)
	}
	return l, json.NewDecoder(resp.Body).Decode(&l)
}
