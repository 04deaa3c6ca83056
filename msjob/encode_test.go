package msjob

import (
	"encoding/json"
	"math/rand"
	"testing"
	"testing/quick"

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
