package msfailure

import (
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjoramspan/msstandin"
	"marjoramspan/mswave"
)

func TestWaveOutlivesItsDriver(t *testing.T) {
	f := newFleet(t, waveRules, waveVMs)
	f.underLoad(func() {
		f.startWave(mswave.Settings{})
		f.awaitWave("a VM reboots", reached(1, mswave.Rebooting))
		killed := f.driver()
		killed.kill()
		f.awaitWave("another entry goes on", reached(waveBatch+1, mswave.Draining))
		f.start(killed)
		f.awaitReady(killed)
		frozen := f.driver()
		frozen.signal(syscall.SIGSTOP)
		pause(6 * time.Second)
		f.awaitWave("the wave ends without the frozen entry", hasEnded)
		frozen.signal(syscall.SIGCONT)
		pause(2 * time.Second)
		f.awaitReady(frozen)
	})
	f.rebootedOnce()
	f.outOnce()
	f.judgeFleet()
}

func TestWaveWhileThePlatformFails(t *testing.T) {
	f := newFleet(t, waveRules, waveVMs)
	lossy := msstandin.Fault{Mode: msstandin.FaultLoseAnswers, Rate: 0.5, Seed: 1}
	f.underLoad(func() {
		f.platform.SetFault(lossy)
		f.startWave(mswave.Settings{})
		f.awaitWave("a VM has returned", reached(1, mswave.Returned))
		f.awaitWave("another VM drains", reached(waveBatch+1, mswave.Draining))
		f.platform.SetFault(msstandin.Fault{Mode: msstandin.FaultDown})
		pause(4 * time.Second)
		f.platform.SetFault(lossy)
		f.awaitWave("the wave ends", hasEnded)
		f.platform.SetFault(msstandin.Fault{})
	})
	f.rebootedOnce()
	f.outOnce()
	f.judgeFleet()
	require.Zero(t, f.unknown(), "a request was cut")
}

func TestWaveStopsWhereAVMStaysAway(t *testing.T) {
	f := newFleet(t, waveRules, waveVMs)
	lost := f.machines[0]
	lost.back = make(chan struct{})
	f.underLoad(func() {
		f.startWave(mswave.Settings{StopAfter: 1, BootTimeout: 3 * time.Second, ResumeDelay: time.Hour})
		w := f.awaitWave("the wave stops", func(w *mswave.State) bool { return w.Status == mswave.Stopped })
		require.False(t, w.Held, "the wave stopped by itself")
		require.Contains(t, w.Reason, lost.upstream.Name)
		require.Equal(t, mswave.Overdue, w.VMs[lost.upstream.Name].Phase)
		reasons, err := f.operator.WhyVM(t.Context(), lost.upstream.Name)
		require.NoError(t, err)
		require.Len(t, reasons, 2)
		require.Equal(t, mswave.WaveStopped, reasons[0].Code)
		require.Equal(t, mswave.NotBack, reasons[1].Code)
		f.awaitWave("the others are back", reached(waveBatch-1, mswave.Returned))
		_, err = f.operator.ResumeWave(t.Context())
		require.NoError(t, err)
		f.awaitWave("the wave goes on without the VM", reached(waveBatch+1, mswave.Draining))
		close(lost.back)
		f.awaitWave("the VM is back", func(w *mswave.State) bool { return w.VMs[lost.upstream.Name].Phase == mswave.Returned })
		f.awaitWave("the wave ends", hasEnded)
	})
	f.rebootedOnce()
	f.judgeFleet()
	require.Zero(t, f.unknown(), "a request was cut")
}

func TestRollingStopDuringAWave(t *testing.T) {
	f := newFleet(t, waveRules, waveVMs)
	f.underLoad(func() {
		f.startWave(mswave.Settings{})
		f.awaitWave("a VM drains", reached(1, mswave.Draining))
		for _, e := range f.entries {
			e.signal(syscall.SIGTERM)
			e.end()
			f.start(e)
			f.awaitReady(e)
		}
		f.awaitWave("the wave ends", hasEnded)
	})
	f.rebootedOnce()
	f.outOnce()
	f.judgeFleet()
	require.Zero(t, f.unknown(), "a request was cut")
}

// unknown counts the requests of unknown outcome.
func (f *fleet) unknown() int {
	n := 0
	for _, r := range f.records {
		if r.Outcome == msstandin.OutcomeUnknown {
			n++
		}
	}
	return n
}
