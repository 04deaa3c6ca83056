package msfailure

import (
	"errors"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjoramspan/msoperator"
	"marjoramspan/mspool"
	"marjoramspan/msstandin"
	"marjoramspan/msstate"
)

// moveRules give each pool one VM beyond its size, which is all that may go.
const moveRules = `
data-centre dc-1 region=r  # test
pool quotes size=2 slots=8 connections=64 available=50%  # test
pool booths size=2 slots=8 connections=64 available=50%  # test
pool bench size=1 slots=8 connections=64 available=0% spare=yes  # test
team a share=3 limit=24  # test
team b share=1 limit=12  # test
queue quote pool=quotes teams=all idempotent=yes deadline=7s  # test
queue run pool=booths teams=all deadline=7s  # test
vm vm-0 pool=quotes  # test
vm vm-1 pool=quotes  # test
vm vm-2 pool=quotes  # test
vm vm-3 pool=booths  # test
vm vm-4 pool=booths  # test
vm vm-5 pool=booths  # test
vm vm-6 pool=bench  # test
`

// wish is a move that an operator asks for.
type wish struct{ vm, to string }

// race lets an operator ask for each move at the same time, and returns the one
// that was accepted.
func (f *fleet) race(wishes ...wish) wish {
	f.t.Helper()
	errs := make([]error, len(wishes))
	begin := make(chan struct{})
	var wg sync.WaitGroup
	for i, w := range wishes {
		wg.Go(func() {
			o := f.newOperator("op-" + w.vm + "-" + w.to)
			<-begin
			_, errs[i] = o.MoveVM(f.t.Context(), w.vm, w.to, false)
		})
	}
	close(begin)
	wg.Wait()
	var won []wish
	for i, err := range errs {
		if err == nil {
			won = append(won, wishes[i])
			continue
		}
		var oe *msoperator.Error
		require.True(f.t, errors.As(err, &oe), err)
		require.Equal(f.t, msoperator.Rejected, oe.Kind, err)
	}
	require.Len(f.t, won, 1, "of the operators that race, one wins: %v", errs)
	return won[0]
}

// awaitSettled waits until no move is under way.
func (f *fleet) awaitSettled() *msstate.State {
	f.t.Helper()
	return f.await("every move is complete", func(s *msstate.State) bool {
		for _, h := range s.Ownership.VMs {
			if h.Phase != mspool.InPool {
				return false
			}
		}
		return true
	})
}

func TestRacingMovesWithAFrozenEntry(t *testing.T) {
	f := newFleet(t, moveRules, 7)
	var moved []wish
	// A pause within the lease wakes up an entry that may still send on what it
	// knew, one beyond it an entry that may not.
	freezes := []time.Duration{1600 * time.Millisecond, 4 * time.Second}
	races := [][]wish{
		{{"vm-0", "booths"}, {"vm-1", "bench"}},
		{{"vm-3", "quotes"}, {"vm-3", "bench"}},
	}
	f.underLoad(func() {
		f.platform.SetFault(msstandin.Fault{Mode: msstandin.FaultLoseAnswers, Rate: 0.3, Seed: 1})
		for i, freeze := range freezes {
			frozen := f.entries[i]
			frozen.signal(syscall.SIGSTOP)
			moved = append(moved, f.race(races[i]...))
			pause(freeze)
			frozen.signal(syscall.SIGCONT)
			f.awaitSettled()
		}
		f.platform.SetFault(msstandin.Fault{})
	})
	s := f.awaitSettled()
	for _, w := range moved {
		require.Equal(t, w.to, s.Ownership.VMs[w.vm].Pool, w.vm)
	}
	f.judgeFleet()
}
