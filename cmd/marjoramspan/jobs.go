package main

import (
	"context"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"marjoramspan/msclock"
	"marjoramspan/msjob"
	"marjoramspan/msjournal"
	"marjoramspan/mswait"
	"marjoramspan/platform"
)

// platformLogFlags say where the users' platform keeps its log.
type platformLogFlags struct {
	Log   string        `required:"" placeholder:"IP:PORT" env:"MARJORAMSPAN_PLATFORM_LOG" help:"Address of the users' platform's log."`
	Limit time.Duration `name:"timeout" default:"20s" help:"Longest that the command may take."`
}

// jobTable reads the newest records of all jobs and of their progress.
func (f platformLogFlags) jobTable(ctx context.Context) (*msjob.Table, error) {
	ctx, cancel := context.WithTimeout(ctx, f.Limit)
	defer cancel()
	l := (&platform.LogClient{Client: platform.NewClient(1), Address: func() string { return f.Log }}).Log()
	t := &msjob.Table{}
	if err := readNewest(ctx, l, streamJobs, t.Apply); err != nil {
		return nil, err
	}
	var failed error
	t.StreamsInUse().Each(func(n int) {
		apply := func(r msjob.Record) error { return t.ApplyFrom(n, r) }
		if err := readNewest(ctx, l, jobStream(n), apply); err != nil {
			failed = err
		}
	})
	if failed != nil {
		return nil, failed
	}
	return t, readNewest(ctx, l, streamProgress, t.Apply)
}

func readNewest(ctx context.Context, l msjournal.Log, stream string, apply func(r msjob.Record) error) error {
	after := ""
	for {
		p, err := l.Newest(ctx, stream, after)
		if err != nil {
			return err
		}
		for _, r := range p.Records {
			// A record that can't be read names no job; the others hold.
			if err := apply(msjob.Record{Key: r.Key, Value: r.Value}); err != nil {
				fmt.Println("left aside:", err)
			}
		}
		if p.Cursor == "" {
			return nil
		}
		after = p.Cursor
	}
}

type jobsCmd struct {
	platformLogFlags
	outputFlags
	Queue string `help:"Only jobs of this queue, by the name that it had or by its host and path prefix."`
	Team  string `help:"Only jobs of this team."`
	All   bool   `help:"Show jobs that have ended as well."`
}

// jobRow is a job as the command prints it.
type jobRow struct {
	ID       string        `json:"id"`
	Queue    string        `json:"queue"`
	Team     string        `json:"team,omitempty"`
	State    string        `json:"state"`
	Age      time.Duration `json:"age"`
	Done     int           `json:"done"`
	Assigned int           `json:"assigned"`
	Waiting  int           `json:"waiting"`
	Reason   string        `json:"reason,omitempty"`
}

// Run lists jobs.
func (c *jobsCmd) Run(ctx context.Context) error {
	t, err := c.jobTable(ctx)
	if err != nil {
		return err
	}
	now := msclock.System{}.Now()
	var rows []jobRow
	t.Each(func(e msjob.TableEntry) {
		if !isOfQueue(e.Job, c.Queue) || c.Team != "" && e.Job.Team != c.Team || !c.All && e.State().Final() {
			return
		}
		rows = append(rows, newJobRow(e, now))
	})
	sort.Slice(rows, func(i, k int) bool { return rows[i].Age > rows[k].Age })
	return c.print(rows, func(w io.Writer) {
		var lines []string
		for _, r := range rows {
			lines = append(lines, fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d", r.ID, r.Queue, r.Team, r.State, r.Age.Round(time.Millisecond), r.Done, r.Assigned, r.Waiting))
		}
		table(w, "JOB\tQUEUE\tTEAM\tSTATE\tAGE\tDONE\tASSIGNED\tWAITING", lines)
	})
}

// isOfQueue reports whether a job is of the queue that the flag names, if any.
func isOfQueue(j *msjob.Job, queue string) bool {
	return queue == "" || j.Queue == queue || j.QueueID().Key() == strings.TrimSuffix(queue, "/")
}

func newJobRow(e msjob.TableEntry, now time.Time) jobRow {
	r := jobRow{ID: e.Job.ID, Queue: e.Job.Queue, Team: e.Job.Team, State: e.State().String(), Age: now.Sub(e.Job.Accepted)}
	r.Reason = e.Status.Reason
	if e.Progress == nil {
		return r
	}
	for _, round := range e.Progress.Occurrences {
		for _, tasks := range round.Steps {
			for i := range tasks {
				switch tasks[i].Phase {
				case msjob.Done:
					r.Done++
				case msjob.Assigned:
					r.Assigned++
				case msjob.Waiting:
					r.Waiting++
				}
			}
		}
	}
	return r
}

type whyJobCmd struct {
	platformLogFlags
	ID string `arg:"" help:"The job's id."`
}

// Run says where each task of a job stands and why.
func (c *whyJobCmd) Run(ctx context.Context) error {
	t, err := c.jobTable(ctx)
	if err != nil {
		return err
	}
	e, ok := t.Job(c.ID)
	if !ok {
		fmt.Printf("job %s is not known: it was never accepted, or its state is no longer kept\n", c.ID)
		return nil
	}
	fmt.Println(whyJob(e, t.Load(), msclock.System{}.Now()))
	return nil
}

func whyJob(e msjob.TableEntry, l msjob.Load, now time.Time) string {
	var b strings.Builder
	j := e.Job
	fmt.Fprintf(&b, "job %s of queue %s is %s; accepted %s ago", j.ID, j.Queue, e.State(), now.Sub(j.Accepted).Round(time.Millisecond))
	if e.State().Final() {
		// Its steps are no longer kept.
		fmt.Fprintf(&b, ", ended after %s\n", time.UnixMilli(e.Status.Ended).Sub(j.Accepted).Round(time.Millisecond))
	} else {
		fmt.Fprintf(&b, ", objective %s, longest chain %s\n", j.LatencyObjective().Round(time.Millisecond), j.CriticalPath().Round(time.Millisecond))
	}
	if e.Status.Reason != "" {
		fmt.Fprintf(&b, "%s\n", e.Status.Reason)
	}
	if e.Progress == nil {
		if w, ok := l.Waits[j.ID]; ok && !e.State().Final() {
			fmt.Fprintf(&b, "%s\n", whyWaits(w, now))
		}
		if !e.State().Final() {
			fmt.Fprintf(&b, "the scheduler has stored nothing of it yet\n")
		}
		return b.String()
	}
	if p, ok := l.Pools[j.Pool]; ok && !e.State().Final() {
		fmt.Fprintf(&b, "pool %s has %d cores for %.0f core-seconds ahead\n", j.Pool, p.MilliCores/1000, p.Backlog)
	}
	if w, ok := l.Waits[j.ID]; ok {
		fmt.Fprintf(&b, "%s\n", whyWaits(w, now))
	}
	for k, round := range e.Progress.Occurrences {
		for s, tasks := range round.Steps {
			for i, task := range tasks {
				fmt.Fprintf(&b, "  %s: %s\n", msjob.TaskID{Job: j.ID, Occurrence: k, Step: s, Index: i}, whyTask(j, round, s, task))
			}
		}
	}
	return b.String()
}

// waitTexts has what operators read of the reasons of mswait.
var waitTexts = map[mswait.Reason]string{
	mswait.Full:          "the workers that could run it have no room",
	mswait.NoWorker:      "its pool has no worker",
	mswait.NoEntry:       "VMs of its pool are up that could run it, but the registry lacks their workers or these were given up",
	mswait.SourcesDiffer: "workers could run it by the list of VMs, and can't by their entries in the registry",
	mswait.NoLabel:       "no worker of its pool has its label",
	mswait.NoSize:        "no worker of its pool is large enough for it",
	mswait.Spread:        "each worker that could run it runs as many tasks of its step as may share a worker",
	mswait.Unsettled:     "the workers that could run it have restarted, or run attempts of jobs that are no longer known",
	mswait.Leaving:       "the workers that could run it drain, are ordered away or can't be reached",
	mswait.Gang:          "there is room for some of its gang only",
	mswait.Paused:        "the workers with room are paused, as tasks failed or stalled there, starts were rejected or the pool needs fewer VMs",
	mswait.HeldForWide:   "the worker with room is kept for a wide job",
	mswait.BehindUseful:  "it is late beyond use, and jobs that aren't wait for room",
	mswait.KeptForTrials: "the workers with room are kept for tasks that may have crashed others",
	mswait.OnTrial:       "it may have crashed a worker and has to start apart from others",
	mswait.TeamLimit:     "its team runs as much as its limit allows",
	mswait.Ticket:        "the advisor has named no worker yet",
	mswait.RetryDelay:    "it is delayed after starts that failed",
	mswait.NewerSite:     "it was accepted by a newer version of the site than the leader has read",
	mswait.StaleRecords:  "the leader's view of the operators' records is too old to start tasks",
	mswait.StartOfTerm:   "the leader waits for the first reports of its workers",
	mswait.NoTerm:        "the leader can't renew its term",
}

func whyWaits(w msjob.Wait, now time.Time) string {
	text := waitTexts[mswait.Reason(w.Reason)]
	if text == "" {
		text = w.Reason
	}
	return fmt.Sprintf("waits beside free workers for %s: %s", now.Sub(time.Unix(w.Since, 0)).Round(time.Second), text)
}

func whyTask(j *msjob.Job, round *msjob.OccurrenceProgress, step int, t msjob.Task) string {
	tried := fmt.Sprintf("attempt %d, %d failed", t.Attempt, t.Failures)
	switch {
	case t.Phase == msjob.Done:
		return "done, " + tried
	case t.Phase == msjob.Assigned:
		return "assigned to " + t.Worker + ", " + tried
	case !round.Ready(j, step):
		return fmt.Sprintf("waits for steps %v", j.Steps[step].After)
	case t.Attempt == 0:
		return "waits for room"
	}
	return "waits for room again, " + tried + ", last on " + t.Worker
}
