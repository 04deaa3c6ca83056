package msrule

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestExamplesMatchDeploymentSize(t *testing.T) {
	for _, deployment := range []string{"lamphun", "kilele"} {
		file := "../examples/" + deployment + ".rules"
		r, err := os.Open(file)
		require.NoError(t, err)
		defer r.Close()
		s, err := Parse(file, r)
		require.NoError(t, err)
		require.Len(t, s.DataCentres, 3)
		require.Len(t, s.Pools, 6)
		require.Len(t, s.Teams, 6)
		spare, ok := NewIndex(s).SparePool()
		require.True(t, ok)

		inPool := map[string]int{}
		for _, v := range s.VMs {
			inPool[v.Pool]++
		}
		served, open := map[string]bool{}, 0
		for _, q := range s.Queues {
			served[q.Pool] = true
			if q.Open {
				open++
			}
		}
		require.Equal(t, 1, open)
		for _, p := range s.Pools {
			require.Equal(t, p.Size, inPool[p.Name], p.Name)
			require.Equal(t, p.Name != spare.Name, served[p.Name], p.Name)
		}
		withKey := map[string]bool{}
		for _, k := range s.Keys {
			withKey[k.Team] = true
		}
		require.Len(t, withKey, len(s.Teams))
	}
}
