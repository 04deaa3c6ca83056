package msleader_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"marjoramspan/msjournal"
	"marjoramspan/msleader"
	"marjoramspan/msstandin"
)

const (
	// crowd is a number of entries that read the log more often than it allows, at their usual
	// rate.
	crowd = 300
	// crowdReads is how many reads a second the log allows all of them.
	crowdReads = 2000
	// crowdSeed is the seed of the entries' delays.
	crowdSeed = 36
	// configApply is the time within which the platform's contract wants a configuration to be
	// in force.
	configApply = 2 * time.Second
)

// crowdEntry is what an entry that doesn't lead reads of the log.
type crowdEntry struct {
	operators, jobs *msjournal.Follower
	elector         *msleader.Elector

	mu     sync.Mutex
	newest string
}

func newCrowdEntry(log *msstandin.JobLog, name string, seed uint64, lead func(ctx context.Context, t msleader.Term) error) *crowdEntry {
	e := &crowdEntry{}
	clock := bubbleClock{}
	r := rand.New(rand.NewPCG(crowdSeed, seed))
	jitter := func() float64 {
		e.mu.Lock()
		defer e.mu.Unlock()
		return r.Float64()
	}
	pacer := &msjournal.Pacer{Clock: clock, Jitter: jitter}
	l := pacer.Watch(log.Log())
	e.operators = &msjournal.Follower{
		Log: l, Clock: clock, Logger: zap.NewNop(), Stream: "op", Reset: func() {},
		Apply: func(r msjournal.Record, _ int64) {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.newest = string(r.Value)
		},
	}
	e.jobs = &msjournal.Follower{
		Log: l, Clock: clock, Logger: zap.NewNop(), Stream: "jobs", Reset: func() {}, Apply: func(msjournal.Record, int64) {},
		Pause: func() time.Duration { return 200*time.Millisecond + pacer.Pause(800*time.Millisecond) },
	}
	e.elector = &msleader.Elector{
		Log: l, Clock: clock, Logger: zap.NewNop(), Stream: "leader", Holder: name, Lead: lead, Jitter: jitter, Pacer: pacer,
	}
	return e
}

// run runs the entry until ctx is done, and begins after delay.
func (e *crowdEntry) run(ctx context.Context, delay time.Duration) {
	time.Sleep(delay)
	var wg sync.WaitGroup
	for _, run := range []func(ctx context.Context) error{e.operators.Run, e.jobs.Run, e.elector.Run} {
		wg.Go(func() { _ = run(ctx) })
	}
	wg.Wait()
}

func (e *crowdEntry) has(value string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.newest == value
}

// Where the log allows fewer reads than all entries together make, refused reads were repeated
// sooner than others were made. Some entries then had configurations late, and kept queues that
// had been dropped.
func TestConfigurationsAreInForceWhereTheLogLimitsReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := msstandin.JobLog{Clock: bubbleClock{}}
		log.SetFault(msstandin.LogFault{ReadsPerSecond: crowdReads})
		r := rand.New(rand.NewPCG(crowdSeed, 0))
		terms := &termRecorder{current: map[string]msleader.Term{}}
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		defer wg.Wait()
		defer cancel()
		var entries []*crowdEntry
		for i := range crowd {
			name := fmt.Sprint("edge-", i)
			e := newCrowdEntry(&log, name, uint64(i+1), terms.lead(name))
			entries = append(entries, e)
			delay := time.Duration(r.Int64N(int64(time.Second)))
			wg.Go(func() { e.run(ctx, delay) })
		}
		// Jobs come all the time.
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				log.Put("jobs", fmt.Sprint(n%1000), []byte("{}"))
				time.Sleep(50 * time.Millisecond)
			}
		})
		// The processes start at about the same time, and have 12 s to serve.
		time.Sleep(12 * time.Second)
		term := terms.validLeaders()
		require.Len(t, term, 1)
		for version := range 20 {
			value := fmt.Sprint(version)
			log.Put("op", "config", []byte(value))
			time.Sleep(configApply)
			late := 0
			for _, e := range entries {
				if !e.has(value) {
					late++
				}
			}
			require.Zero(t, late, "entries that don't have version %d after %s", version, configApply)
		}
		require.Equal(t, term, terms.validLeaders())
		refused := log.RefusedReads()
		time.Sleep(10 * time.Second)
		require.Less(t, log.RefusedReads()-refused, crowdReads, "more than a tenth of the reads are refused")
	})
}
