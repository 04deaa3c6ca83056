package msroster

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjoramspan/msjob"
	"marjoramspan/msworker"
)

// Each source in turn is of another life than the rest.
func TestSourceOfThePresentLifeHolds(t *testing.T) {
	t.Parallel()
	at := func(s int) time.Time { return time.Unix(int64(1000+s), 0) }
	entry := msworker.Worker{ID: "w", Address: "192.0.2.1:1", Pool: "booth", Rack: "r1", Labels: []string{"a"}, Capacity: msjob.Resources{CPU: 4000}, ProcessStart: 5, Draining: true}
	vm := msworker.VM{Pool: "quote", Rack: "r2", Labels: []string{"b"}, Capacity: msjob.Resources{CPU: 8000}, Worker: "w", Up: true}
	s := Sources{Entry: entry, Registered: true, ProcessStart: 5, LifeSeenAt: at(0), AnsweredAt: at(1), VM: vm, ListedAt: at(1)}
	require.Equal(t, entry, s.Current(), "the entry is of the life that reports")
	require.True(t, s.Settled(at(1)))

	s.ProcessStart, s.LifeSeenAt, s.AnsweredAt = 7, at(10), at(10)
	require.Equal(t, entry, s.Current(), "the list is of the life before")
	require.False(t, s.Settled(at(10)))
	require.True(t, s.Settled(at(10).Add(MaxEntryDelay)))

	s.ListedAt = at(11)
	require.True(t, s.Settled(at(11)))
	got := s.Current()
	require.Equal(t, [3]string{"quote", "r2", "b"}, [3]string{got.Pool, got.Rack, got.Labels[0]})
	require.Equal(t, vm.Capacity, got.Capacity)
	require.Equal(t, entry.Address, got.Address)
	require.False(t, got.Draining, "the life before was leaving")

	s.Entry.ProcessStart = 7
	require.Equal(t, "booth", s.Current().Pool)
}

// An entry lapses while the store is away; a worker that has left has no entry either.
func TestLapsedEntryNeedsTwoLaterSources(t *testing.T) {
	t.Parallel()
	at := func(s int) time.Time { return time.Unix(int64(1000+s), 0) }
	up := msworker.VM{Up: true}
	s := Sources{Registered: true}
	require.True(t, s.Exists(at(0)))
	s = Sources{LapsedAt: at(5), AnsweredAt: at(6), VM: up, ListedAt: at(6)}
	require.True(t, s.Exists(at(6)))
	require.False(t, s.Exists(at(6).Add(MaxListAge+1)), "the list is too old")
	s.AnsweredAt = at(4)
	require.False(t, s.Exists(at(6)), "it has not answered since")
	s.AnsweredAt, s.ListedAt = at(6), at(4)
	require.False(t, s.Exists(at(6)), "the list is from before")
	s.ListedAt, s.VM.Up = at(6), false
	require.False(t, s.Exists(at(6)))
}

func TestReturnNeedsALaterSign(t *testing.T) {
	t.Parallel()
	at := time.Unix(1000, 0)
	s := Sources{Registered: true, Entry: msworker.Worker{ProcessStart: 5}, VM: msworker.VM{Up: true}, ListedAt: at}
	require.False(t, s.HasReturned(at, 5))
	s.ListedAt = at.Add(time.Millisecond)
	require.True(t, s.HasReturned(at, 5))
	s.ListedAt, s.Entry.ProcessStart = time.Time{}, 6
	require.True(t, s.HasReturned(at, 5))
	require.False(t, s.HasReturned(at, 0), "whether the entry is of a later life isn't known")
}

// A row without a data centre hid that the worker's is evacuated, and one without a capacity left
// a restarted worker without room.
func TestRowThatLeavesOutFieldsHidesNothing(t *testing.T) {
	t.Parallel()
	at := time.Unix(1000, 0)
	entry := msworker.Worker{ID: "w", DataCentre: "north", Capacity: msjob.Resources{CPU: 4000}, ProcessStart: 5}
	vm := msworker.VM{Pool: "booth", Labels: []string{"b"}, Capacity: msjob.Resources{CPU: 8000}, Up: true}
	s := Sources{Entry: entry, Registered: true, ProcessStart: 7, LifeSeenAt: at, AnsweredAt: at, VM: vm, ListedAt: at.Add(1)}
	require.Equal(t, vm.Capacity, s.Current().Capacity)
	require.Equal(t, "north", s.Current().DataCentre, "a worker stays in its data centre")
	s.VM.Capacity = msjob.Resources{}
	require.False(t, s.Settled(at.Add(1)))
	require.Equal(t, entry, s.Current())
	s.VM.Capacity, s.VM.Pool = vm.Capacity, ""
	require.False(t, s.Settled(at.Add(1)))
}
