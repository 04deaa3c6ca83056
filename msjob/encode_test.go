package msjob

import (
	"encoding/json"
	"math/rand"
	"testing"
	"testing/quick"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against progress records that differ from those of earlier versions, and against a
// new field of Progress or Task that the encoder doesn't know: the fields of the values are
// filled by reflection.
func TestProgressIsEncodedAsByEncodingJSON(t *testing.T) {
	same := func(p Progress, task Task, plain string) bool {
		if p.Occurrences == nil {
			p.Occurrences = map[int]*OccurrenceProgress{}
		}
		p.Occurrences[3] = &OccurrenceProgress{Steps: [][]Task{{task, {}}, nil, {{Worker: plain, Checkpoint: `a"<b>&\` + "\u2028\n"}}}}
		p.Occurrences[12] = nil
		want, err := json.Marshal(&p)
		require.NoError(t, err)
		r, err := ProgressRecord("x", &p)
		require.NoError(t, err)
		require.Equal(t, string(want), string(r.Value))
		return true
	}
	require.NoError(t, quick.Check(same, &quick.Config{MaxCount: 60, Rand: rand.New(rand.NewSource(5))}))
	for _, p := range []Progress{{}, {Started: true, State: Running}, {State: Failed, Ended: -3, Reason: "why"}, *benchProgress(benchJob(1))} {
		want, err := json.Marshal(&p)
		require.NoError(t, err)
		require.Equal(t, string(want), string(appendProgress(nil, &p)))
	}
}

// Guards against an older offer that hides a newer one: a load returns records in no
// particular order.
func TestNewestOfferCounts(t *testing.T) {
	var table Table
	made := time.Unix(1000, 0).UTC()
	for _, o := range []Offer{{800, made}, {1600, made.Add(time.Second)}, {800, made.Add(-time.Second)}} {
		r, err := OfferRecord("edge-1", o)
		require.NoError(t, err)
		require.NoError(t, table.Apply(r))
	}
	require.Equal(t, Offer{1600, made.Add(time.Second)}, table.Offer())
	require.Error(t, table.Apply(Record{Key: "offer/x", Value: []byte("[")}))
	require.NoError(t, table.Apply(Record{Key: "offer/x"}))
	require.Equal(t, int64(1600), table.Offer().MilliCores)
}
