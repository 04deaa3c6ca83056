package msjob

import (
	"fmt"
	"testing"
	"time"
)

func benchJob(n int) *Job {
	step := Step{Count: 8, Need: Resources{CPU: 6200, Memory: 2000}, Estimate: 640 * time.Millisecond, Image: "short"}
	second := step
	second.After = []int{0}
	return &Job{
		ID: fmt.Sprintf("%016x", n), Queue: "queue-1", Pool: "pool-1", Team: "team-7", Spec: fmt.Sprintf("image=short run=640ms input=%032d", n),
		Steps: []Step{step, second}, Attempts: 3, Stretch: 1.6, Slack: 600 * time.Millisecond, Accepted: time.Now().UTC(),
	}
}

// benchProgress is the progress of a job whose second step runs.
func benchProgress(j *Job) *Progress {
	p := &Progress{State: Running, Started: true}
	r := p.Occurrence(j, 0)
	for s := range r.Steps {
		for i := range r.Steps[s] {
			r.Steps[s][i] = Task{Phase: Phase(2 - s), Attempt: 1, EndedAttempts: uint64(1 - s), Worker: fmt.Sprintf("w-%04d-7f3a", i)}
		}
	}
	return p
}

// BenchmarkEntryJob measures what one job costs an entry that only follows it: the records of
// the job, its start and its end.
func BenchmarkEntryJob(b *testing.B) {
	var table Table
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		b.StopTimer()
		j := benchJob(n)
		job, _ := JobRecord(j)
		records := []Record{job}
		begun, _ := StatusRecords(j, Status{State: Running})
		ended, _ := StatusRecords(j, Status{State: Completed, Ended: time.Now().UnixMilli()})
		records = append(append(records, begun...), ended...)
		n++
		if n%10_000 == 0 {
			table.Reset()
		}
		b.StartTimer()
		for _, r := range records {
			if err := table.Apply(r); err != nil {
				b.Fatal(err)
			}
		}
	}
}

// BenchmarkProgressRecord measures the record that a leader writes for each change of a job.
func BenchmarkProgressRecord(b *testing.B) {
	p := benchProgress(benchJob(1))
	b.ReportAllocs()
	size := 0
	for b.Loop() {
		r, err := ProgressRecord("0000000000000001", p)
		if err != nil {
			b.Fatal(err)
		}
		size = len(r.Value)
	}
	b.ReportMetric(float64(size), "bytes")
}
