package msmember

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// An entry has restarted under its address, and answers the heartbeats to its earlier process.
func TestAnswerOfTheNextProcessIsNotThatOfTheMember(t *testing.T) {
	v := newView("a", "b-1")
	v.RecordStatus(Status{Member: "b-2", Epoch: 7, Next: 10, HasProof: true, CutOff: true}, at(6*second), at(6*second))
	require.False(t, fresh(v, 6*second), "a process that isn't a member proves nothing")
	require.False(t, v.Outage(at(6*second)))
	require.Empty(t, v.Status(at(6*second)).HeardMembers)
	v.RecordLogRead(at(6*second), 10)
	require.Equal(t, []string{"b-1"}, v.SilentMembers(at(6*second)))
	require.False(t, v.PeersLogged(7))
	require.False(t, v.AllClaimsLogged("b-1", at(6*second)))
}
