package msfailure

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjoramspan/msentry"
)

// homeOf returns the entry that is the home of a resource.
func (s *site) homeOf(resource string) *entry {
	for _, e := range s.entries {
		res, err := http.Get("http://" + e.admin + msentry.PathStatus)
		require.NoError(s.t, err)
		var st msentry.Status
		require.NoError(s.t, json.NewDecoder(res.Body).Decode(&st))
		require.NoError(s.t, res.Body.Close())
		for _, r := range st.Resources {
			if r.Resource == resource && r.Home {
				return e
			}
		}
	}
	require.Fail(s.t, "no home", resource)
	return nil
}

// The home of an idle team's tokens crashes: the team's requests at other entries are answered.
func TestCrashOfATeamsHomeKeepsTheTeamAtWork(t *testing.T) {
	s := newSite(t, 3)
	lost := s.homeOf("team/a")
	lost.kill()
	pause(4 * time.Second)
	for _, e := range s.entries {
		if e != lost {
			status, outcome := s.ask(e, "quote", s.secrets["a"], "after-"+e.name)
			require.Equal(t, http.StatusOK, status, "%s: %s", e.name, outcome)
		}
	}
}
