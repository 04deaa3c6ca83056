package msruntime

import (
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjoramspan/msjob"
)

var begin = time.Unix(1000, 0)

// The ratios must follow the samples within a bucket, and single outliers must not move
// them: a hung or slow worker makes a task ten times as long.
func TestRatiosAreRobust(t *testing.T) {
	t.Parallel()
	var table Table
	r := rand.New(rand.NewPCG(1, 2))
	for i := range 400 {
		ratio := 1.5 * math.Exp(0.3*r.NormFloat64())
		if i%20 == 0 {
			ratio = 12
		}
		table.RecordJob("q", time.Duration(ratio*float64(time.Second)), time.Second, begin.Add(time.Duration(i)*20*time.Millisecond))
	}
	got := table.Queue("q")
	require.InEpsilon(t, 1.5, got.Median, 0.12)
	require.InEpsilon(t, 1.5*math.Exp(0.3*0.84), got.P80, 0.15)
	require.Greater(t, got.Samples, 300)
}

// Without samples a job's path counts 1.5 times, and a few samples don't swing it.
func TestRatioWithoutSamples(t *testing.T) {
	t.Parallel()
	var table Table
	require.InDelta(t, 1.5, table.Queue("q").Factor(), 1e-9)
	require.InDelta(t, 1.9, table.Queue("q").TailFactor(), 1e-9)
	table.RecordJob("q", 6*time.Second, time.Second, begin)
	require.Less(t, table.Queue("q").Factor(), 2.2)
	table.RecordJob("q", 0, time.Second, begin)
	table.RecordJob("q", time.Second, 0, begin)
	require.Equal(t, 1, table.Queue("q").Samples, "samples without a length are left out")
	require.InDelta(t, 1.0, table.Image("i").Factor(), 1e-9)
}

// What held minutes ago must not count any more, and many samples must not overflow.
func TestRatiosForget(t *testing.T) {
	t.Parallel()
	var table Table
	for i := range 3000 {
		table.RecordTask("i", 4*time.Second, time.Second, begin.Add(time.Duration(i)*time.Second))
	}
	later := begin.Add(3000 * time.Second)
	for i := range 100 {
		table.RecordTask("i", time.Second, time.Second, later.Add(time.Duration(i)*time.Second))
	}
	require.InEpsilon(t, 1, table.Image("i").Median, 0.1)
	table.RecordTask("i", time.Second, time.Second, later.Add(1000*time.Hour))
	require.Equal(t, 1, table.Image("i").Samples)
	require.False(t, math.IsNaN(table.Image("i").Median))
}

// Names come from callers, so their number must be bounded.
func TestNamesAreBounded(t *testing.T) {
	t.Parallel()
	var table Table
	for i := range 3 * maxNames {
		table.RecordTask(strconv.Itoa(i), time.Second, time.Second, begin.Add(time.Duration(i)*time.Millisecond))
	}
	require.Len(t, table.images, maxNames)
	require.Equal(t, 1, table.Image(strconv.Itoa(3*maxNames-1)).Samples)
}

// A new leader continues with the factors of the load record, and takes no malformed ones.
func TestFactorsSurviveAChangeOfLeader(t *testing.T) {
	t.Parallel()
	var first, second Table
	require.Nil(t, first.Factors(), "nothing is published without samples")
	for range 50 {
		first.RecordJob("q", 2*time.Second, time.Second, begin)
	}
	factors := first.Factors()
	require.InEpsilon(t, 2, factors["q"], 0.1)
	first.RecordJob("q", 2100*time.Millisecond, time.Second, begin)
	require.Equal(t, factors, first.Factors(), "a small change is not published")
	second.Restore(map[string]float64{"q": factors["q"], "bad": -1, "worse": math.NaN()}, begin)
	require.Equal(t, factors, second.Factors())
	require.InDelta(t, factors["q"], FromLoad(&msjob.Load{Ratios: factors}, "q").Factor(), 1e-9)
	require.InDelta(t, 1.5, FromLoad(&msjob.Load{}, "q").Factor(), 1e-9)
}

// Objective and remaining time are stretched alike: the slack of a new job grows with its
// ratio if the stretch allows more than the tail.
func TestObjectiveStretchesWithTheJob(t *testing.T) {
	t.Parallel()
	j := &msjob.Job{Stretch: 1.6, Slack: 600 * time.Millisecond}
	r := Ratio{Median: 2, P80: 2.5}
	require.Equal(t, 3800*time.Millisecond, r.Objective(j, time.Second))
	require.Equal(t, 2500*time.Millisecond, r.RemainingTime(time.Second))
}

func BenchmarkRecord(b *testing.B) {
	var table Table
	b.ReportAllocs()
	for i := range b.N {
		table.RecordTask("i", time.Duration(500+i%1000)*time.Millisecond, time.Second, begin.Add(time.Duration(i)*time.Millisecond))
	}
}
