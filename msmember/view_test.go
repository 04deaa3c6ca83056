package msmember

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjoramspan/msstate"
)

const second = time.Second

var testStart = time.Unix(1000, 0)

func at(d time.Duration) time.Time {
	return testStart.Add(d)
}

func newView(members ...string) *View {
	v := &View{Self: "a", Lease: 4 * second, CutOffAfter: 2 * second, ExcludeAfter: 5 * second}
	v.Start(testStart)
	s := &msstate.State{Next: 10}
	for _, m := range members {
		s.Members = append(s.Members, msstate.Member{ID: m})
	}
	v.SetState(s, testStart)
	return v
}

func fresh(v *View, d time.Duration) bool {
	ok, _ := v.Fresh(at(d))
	return ok
}

func TestOwnReadKeepsEntryFreshForOneLease(t *testing.T) {
	v := newView("a")
	v.RecordLogRead(at(0), 10)
	require.True(t, fresh(v, 4*second))
	// Expiry is checked with two members: the only member of a view is fresh even
	// after its lease, for being cut off itself proves the outage.
	w := newView("a", "b")
	w.RecordLogRead(at(0), 10)
	require.True(t, fresh(w, 4*second))
	require.False(t, fresh(w, 4*second+1))
}

func TestProofOfUnfoldedRecordsDoesNotCount(t *testing.T) {
	v := newView("a", "b")
	v.RecordLogRead(at(0), 11)
	require.False(t, fresh(v, 0))
	v.SetState(&msstate.State{Next: 11, Members: []msstate.Member{{ID: "a"}, {ID: "b"}}}, at(second))
	require.True(t, fresh(v, second))
}

func TestPeerProofCountsWithItsAge(t *testing.T) {
	v := newView("a", "b")
	v.RecordStatus(Status{Member: "b", Next: 10, HasProof: true, ProofAge: 3 * second}, at(10*second), at(11*second))
	require.True(t, fresh(v, 11*second))
	require.False(t, fresh(v, 11*second+1))
}

func TestPeerAheadReturnsItsOffsetAndProvesNothing(t *testing.T) {
	v := newView("a", "b")
	ahead := v.RecordStatus(Status{Member: "b", Next: 12, HasProof: true}, at(0), at(0))
	require.EqualValues(t, 12, ahead)
	require.False(t, fresh(v, 0))
}

func TestOutageNeedsEveryMember(t *testing.T) {
	v := newView("a", "b", "c")
	cut := func(id string, d time.Duration) {
		v.RecordStatus(Status{Member: id, Next: 10, CutOff: true}, at(d), at(d))
	}
	cut("b", 10*second)
	require.False(t, fresh(v, 10*second), "c may read the log")
	cut("c", 11*second)
	require.True(t, fresh(v, 11*second))
	require.True(t, v.Outage(at(11*second)))
	require.False(t, fresh(v, 14*second+1), "the status of b is older than a lease")
	v.RecordStatus(Status{Member: "b", Next: 10}, at(15*second), at(15*second))
	cut("c", 15*second)
	require.False(t, fresh(v, 15*second), "b reads the log again")
}

func TestPeerThatIsAheadProvesNoOutage(t *testing.T) {
	v := newView("a", "b")
	v.RecordStatus(Status{Member: "b", Next: 11, CutOff: true}, at(10*second), at(10*second))
	require.False(t, fresh(v, 10*second))
}

func TestMemberThatRefusesConnectionsCountsAsCutOff(t *testing.T) {
	v := newView("a", "b", "c")
	v.RecordStatus(Status{Member: "b", Next: 10, CutOff: true}, at(10*second), at(10*second))
	v.RecordRefused("c", at(10*second))
	require.True(t, fresh(v, 11*second))
}

func TestExcludedEntryIsNotFresh(t *testing.T) {
	v := newView("a", "b")
	v.RecordLogRead(at(0), 10)
	v.SetState(&msstate.State{Next: 11, Members: []msstate.Member{{ID: "b"}}}, at(second))
	v.RecordLogRead(at(second), 11)
	require.False(t, fresh(v, second))
}

func TestMemberIsSilentOnlyIfNoReachablePeerHearsIt(t *testing.T) {
	v := newView("a", "b", "c")
	v.RecordStatus(Status{Member: "b", Next: 10}, at(0), at(0))
	v.RecordStatus(Status{Member: "c", Next: 10, HeardMembers: []string{"b"}}, at(6*second), at(6*second))
	v.RecordLogRead(at(6*second), 10)
	require.Empty(t, v.SilentMembers(at(6*second)))
	v.RecordStatus(Status{Member: "c", Next: 10}, at(6*second), at(6*second))
	v.RecordStatus(Status{Member: "c", Next: 10}, at(7*second), at(7*second))
	require.Equal(t, []string{"b"}, v.SilentMembers(at(7*second)))
	require.Empty(t, v.SilentMembers(at(9*second)), "an entry that can't read the log excludes nobody")
}

func TestCleanNeedsAnUnbrokenLog(t *testing.T) {
	v := newView("a", "b")
	for d := range 8 {
		v.RecordLogRead(at(time.Duration(d)*second), 10)
	}
	v.RecordStatus(Status{Member: "b", Next: 10}, at(3*second), at(3*second))
	require.False(t, v.AllClaimsLogged("b", at(7*second)), "b may have proved an outage by a status from a lease before")
	v.RecordStatus(Status{Member: "b", Next: 10}, at(5*second), at(5*second))
	require.True(t, v.AllClaimsLogged("b", at(7*second)))
	require.False(t, v.AllClaimsLogged("c", at(7*second)))
	v.RecordLogRead(at(12*second), 10)
	require.False(t, v.AllClaimsLogged("b", at(12*second)), "the entry was cut off from the log in between")
	v.RecordStatus(Status{Member: "b", Next: 10, Unlogged: 1}, at(18*second), at(18*second))
	v.RecordLogRead(at(18*second), 10)
	require.False(t, v.AllClaimsLogged("b", at(18*second)))
}

func TestCleanRequiresAViewThatIncludesTheEntry(t *testing.T) {
	v := newView("b")
	v.SetState(&msstate.State{Next: 10, Epoch: 7, Members: []msstate.Member{{ID: "a", Since: 7}, {ID: "b"}}}, testStart)
	for d := range 8 {
		v.RecordLogRead(at(time.Duration(d)*second), 10)
	}
	v.RecordStatus(Status{Member: "b", Next: 10, Epoch: 6}, at(5*second), at(5*second))
	require.False(t, v.AllClaimsLogged("b", at(7*second)), "b could prove an outage without this entry")
	v.RecordStatus(Status{Member: "b", Next: 10, Epoch: 7}, at(6*second), at(6*second))
	require.True(t, v.AllClaimsLogged("b", at(7*second)))
}

func TestLoggedIsSaidInThePresentView(t *testing.T) {
	v := newView("a", "b")
	v.RecordStatus(Status{Member: "b", Next: 10, Epoch: 1}, at(0), at(0))
	require.True(t, v.PeersLogged(1))
	require.False(t, v.PeersLogged(2), "b may still grant claims in the old view")
	v.RecordStatus(Status{Member: "b", Next: 10, Epoch: 2, UnloggedOld: 1}, at(second), at(second))
	require.False(t, v.PeersLogged(2))
	v.RecordStatus(Status{Member: "b", Next: 10, Epoch: 2}, at(2*second), at(2*second))
	require.True(t, v.PeersLogged(2))
}
