package msscheduler

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"marjoramspan/msjob"
	"marjoramspan/msjournal"
)

// Entries store jobs and cancels in additional streams while the appends to the public
// stream are contended, at hundreds of jobs a second. The leader reads all streams and
// stores what it decides in the public stream alone. In the additional streams it deletes:
// the records of jobs that have ended, once their final status is stored, and further
// records of a job that two streams have.

// copyInterval is the time between two rounds of deletions, so that a round takes one
// append per stream. Nothing waits for them.
const copyInterval = time.Second

// copyDeletions has records that are to be deleted in the additional streams.
type copyDeletions struct {
	records map[int][]msjournal.Record
	// expired has the jobs to delete from the public stream afterwards: without their
	// status, a record that is left in another stream would make them run again.
	expired []string
}

func (d *copyDeletions) add(stream int, records ...msjob.Record) {
	if d.records == nil {
		d.records = map[int][]msjournal.Record{}
	}
	for _, r := range records {
		d.records[stream] = append(d.records[stream], msjournal.Record{Key: r.Key})
	}
}

// addJob adds all records of a job in the additional streams of a set.
func (d *copyDeletions) addJob(id string, set msjob.StreamSet) {
	set.Remove(0)
	set.Each(func(stream int) { d.add(stream, msjob.DeleteCopyRecords(id)...) })
}

// merge adds other deletions.
func (d *copyDeletions) merge(other copyDeletions) {
	if d.records == nil {
		d.records = map[int][]msjournal.Record{}
	}
	for stream, records := range other.records {
		d.records[stream] = append(d.records[stream], records...)
	}
	d.expired = append(d.expired, other.expired...)
}

// expire adds the records that delete expired jobs to a publication. Jobs of which an
// additional stream has records are moved to the returned deletions.
func (e *Engine) expire(a *publication) copyDeletions {
	var d copyDeletions
	var expired []string
	for _, id := range a.expired {
		set := e.Jobs.JobStreams(id)
		set.Remove(0)
		if set != 0 {
			d.addJob(id, set)
			d.expired = append(d.expired, id)
			continue
		}
		expired = append(expired, id)
		for _, r := range msjob.DeleteRecords(id) {
			a.records = append(a.records, msjournal.Record{Key: r.Key})
		}
	}
	a.expired = expired
	return d
}

// AddCopy is called for each further record of a known job, which another stream has, and
// deletes it. The job stays stored in the stream that its definition is from.
func (e *Engine) AddCopy(id string, stream int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if j := e.jobs[id]; j != nil && !j.p.State.Final() {
		e.deleteCopy(j, stream)
	}
}

// deleteCopy deletes the record of a job that has not ended in a stream other than its
// own. A cancel there stays until the job has ended. The caller holds mu.
func (e *Engine) deleteCopy(j *job, stream int) {
	r := msjob.DeleteCopyRecords(j.def.ID)[:1]
	switch stream {
	case j.stream:
	case 0:
		e.enqueue(nil, r...)
	default:
		e.copyDeletions.add(stream, r...)
	}
}

// deleteLeftCopies deletes what an earlier leader has left of a job's records. The caller
// holds mu.
func (e *Engine) deleteLeftCopies(entry msjob.TableEntry) {
	if entry.Status.State.Final() {
		e.copyDeletions.addJob(entry.Job.ID, entry.Streams())
		return
	}
	if j := e.jobs[entry.Job.ID]; j != nil {
		entry.CopyStreams().Each(func(stream int) { e.deleteCopy(j, stream) })
	}
}

// takeOverJobStreams fences earlier leaders off the additional streams that are in use, and
// reads these to their ends.
func (e *Engine) takeOverJobStreams(ctx context.Context) error {
	var streams errgroup.Group
	e.Jobs.StreamsInUse().Each(func(n int) {
		if n > len(e.jobStreams) {
			return
		}
		streams.Go(func() error {
			if err := e.store(ctx, &e.jobStreams[n-1], nil); err != nil {
				return err
			}
			e.jobStreams[n-1].fenced = true
			return e.sync(ctx, e.JobJournals[n-1])
		})
	})
	return streams.Wait()
}

// deleteCopies deletes records from the additional streams until ctx is done. First it
// fences earlier leaders off the streams that were not in use.
func (e *Engine) deleteCopies(ctx context.Context) {
	for len(e.jobStreams) > 0 {
		e.mu.Lock()
		d := e.copyDeletions
		e.copyDeletions = copyDeletions{}
		e.mu.Unlock()
		if err := e.storeCopyDeletions(ctx, d); err != nil {
			if ctx.Err() == nil {
				e.endTerm(err)
			}
			return
		}
		if len(d.expired) > 0 {
			e.mu.Lock()
			e.unpublished.expired = append(e.unpublished.expired, d.expired...)
			e.enqueue(nil)
			e.mu.Unlock()
		}
		select {
		case <-ctx.Done():
			return
		case <-e.Clock.After(copyInterval):
		}
	}
}

func (e *Engine) storeCopyDeletions(ctx context.Context, d copyDeletions) error {
	var streams errgroup.Group
	for i := range e.jobStreams {
		a := &e.jobStreams[i]
		streams.Go(func() error {
			if !a.fenced {
				if err := e.store(ctx, a, nil); err != nil {
					return err
				}
				a.fenced = true
			}
			_, err := e.storeAll(ctx, a, d.records[i+1])
			return err
		})
	}
	return streams.Wait()
}
