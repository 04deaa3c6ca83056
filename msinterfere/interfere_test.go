package msinterfere

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjoramspan/msjob"
)

var begin = time.Unix(1000, 0)

// spread is the standard deviation of the logarithm of run times.
const spread = 0.3

type stream struct {
	Table
	random *rand.Rand
	n      int
}

// end adds an attempt of the image with its run time multiplied by factor.
func (s *stream) end(image string, factor float64, beside ...Neighbour) {
	s.jobs(image, factor, 1, 1, beside...)
}

// jobs adds the attempts of some jobs that run at the same time. Each attempt of a job takes a
// tenth longer than the one before.
func (s *stream) jobs(image string, factor float64, jobs, tasks int, beside ...Neighbour) {
	factors := make([]float64, jobs)
	for k := range factors {
		factors[k] = factor * math.Exp(spread*s.random.NormFloat64())
	}
	for i := range tasks {
		for k, f := range factors {
			ratio := f * (1 + 0.1*float64(i))
			s.Add(Sample{Image: image, Job: strconv.Itoa(s.n + k), Ratio: ratio}, beside, begin.Add(time.Duration(s.n)*time.Millisecond))
		}
	}
	s.n += jobs
}

func newStream(seed uint64) *stream {
	return &stream{random: rand.New(rand.NewPCG(seed, 1))}
}

// plant alternates ends without and beside the neighbour until the pair is found, and returns
// the number of ends beside it.
func (s *stream) plant(limit int) int {
	for range references {
		s.end("a", 1)
	}
	for n := 1; n <= limit; n++ {
		s.end("a", 1)
		s.end("a", 1.5, Neighbour{"b", 1})
		if s.Found() > 0 {
			return n
		}
	}
	return limit + 1
}

// A pair with a slowdown of 1.5 must be found within foundWithin ends beside it in 99 of 100
// cases. Each end adds 0.56 with a deviation of 0.79, and the references' error moves that
// by 0.075: 11 take 20 ends on average, and 2.33 deviations more take 47. Once it has no
// effect, an end takes 0.34 with a deviation of 0.54, moved by 0.05: at most 11 take 32 ends
// on average, and 2.33 deviations more take 76.
const (
	foundWithin     = 50
	forgottenWithin = 100
)

func TestPairIsFoundAndForgotten(t *testing.T) {
	t.Parallel()
	const trials = 1000
	late, kept := 0, 0
	for seed := range uint64(trials) {
		s := newStream(seed)
		if s.plant(200) > foundWithin {
			late++
		}
		require.Equal(t, []string{"b"}, s.Partners("a"))
		require.Equal(t, []string{"a"}, s.Partners("b"))
		c := s.Changes()
		require.Len(t, c, 1)
		// Four standard deviations of the mean of the samples and of the references.
		n := float64(c[0].Samples)
		require.InDelta(t, math.Log(1.5), math.Log(c[0].Slowdown), 4*spread*(1/math.Sqrt(n)+1/math.Sqrt(references)))
		for range forgottenWithin {
			s.end("a", 1)
			s.end("a", 1, Neighbour{"b", 1})
			if s.Found() == 0 {
				break
			}
		}
		kept += s.Found()
	}
	t.Log("found late", late, "kept", kept)
	require.LessOrEqual(t, late, trials/100)
	require.LessOrEqual(t, kept, trials/100)
}

// Of the pairs of 1,000 neutral images at most 1 in 1,000 may be reported at any time. Each
// image runs beside the same neighbours again and again, which is the case with most chances
// of an error: all 3,000 pairs have about 130 samples. With one table they compete for
// memory, with ten none is dropped. The tasks of a job have much of their run time in common:
// eight of them are no more evidence than one.
func TestNeutralImagesAreNotReported(t *testing.T) {
	t.Parallel()
	const images, neighbours, jobs = 1000, 3, 400
	for k, c := range []struct{ tables, jobs, tasks int }{{1, 1, 1}, {10, 1, 1}, {10, 1, 1}, {10, 1, 1}, {10, 8, 8}} {
		var streams []*stream
		for i := range c.tables {
			streams = append(streams, newStream(uint64(100*k+i)))
		}
		worst := 0
		for range jobs / c.jobs {
			found := 0
			for _, s := range streams {
				for i := range images / c.tables {
					beside := Neighbour{strconv.Itoa((i + 1 + s.random.IntN(neighbours)) % images), 1}
					s.jobs(strconv.Itoa(i), 1+float64(i%5), c.jobs, c.tasks, beside)
				}
				found += s.Found()
			}
			worst = max(worst, found)
		}
		t.Log(c, "pairs reported at most", worst)
		require.LessOrEqual(t, worst, images*neighbours/1000)
	}
}

// Callers choose the names of images, so memory must stay bounded, and the pair with evidence
// must outlast those seen once.
func TestMemoryIsBounded(t *testing.T) {
	t.Parallel()
	s := newStream(1)
	require.LessOrEqual(t, s.plant(200), 200)
	for i := range 5 * maxImages {
		s.end(strconv.Itoa(i), 1, Neighbour{"x", 1})
		s.end("a", 1, Neighbour{"n" + strconv.Itoa(i), 1})
	}
	require.LessOrEqual(t, len(s.images), 2*maxImages)
	require.LessOrEqual(t, len(s.pairs), 2*maxPairs)
	require.Contains(t, s.found, Pair{"a", "b"})
}

// A new leader continues with the recorded pairs, forgets them without samples, and takes no
// malformed ones.
func TestPairsSurviveAChangeOfLeader(t *testing.T) {
	t.Parallel()
	s := newStream(1)
	s.plant(200)
	now := begin.Add(time.Minute)
	require.True(t, s.RecordDue(now))
	require.False(t, s.RecordDue(now.Add(time.Minute)))
	value, err := json.Marshal(append(s.Record(now, now), msjob.Interference{Slowed: "c", By: "c", Slowdown: 2, Evidence: 12}, msjob.Interference{}))
	require.NoError(t, err)
	var read []msjob.Interference
	require.NoError(t, json.Unmarshal(value, &read))
	var next Table
	next.Restore(read, now, now.Add(time.Second))
	require.Equal(t, 1, next.Found())
	require.Equal(t, []string{"a"}, next.Partners("b"))
	next.Expire(now.Add(2 * halfLife))
	require.Zero(t, next.Found())
	require.Nil(t, next.Partners("b"))
}

// Overlap counts attempts that ended before as well as those that run.
func TestOverlaps(t *testing.T) {
	t.Parallel()
	var h History
	at := func(s int) time.Time { return begin.Add(time.Duration(s) * time.Second) }
	h.Ended("b", at(0), at(12))
	h.Ended("c", at(0), at(10))
	var o Overlaps
	o.Begin(at(10), at(20), &h)
	o.Add("b", at(15), at(20))
	require.Equal(t, []Neighbour{{"b", 0.7}}, o.List())
}
