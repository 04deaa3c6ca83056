package msleader_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"marjoramspan/msclock"
	"marjoramspan/msjournal"
	"marjoramspan/msleader"
	"marjoramspan/msstandin"
)

const waitTimeout = 30 * time.Second

// termRecorder records the current term of each entry and the epochs of all terms.
type termRecorder struct {
	mu      sync.Mutex
	current map[string]msleader.Term
	epochs  []int64
}

func (s *termRecorder) lead(name string) func(ctx context.Context, t msleader.Term) error {
	return func(ctx context.Context, t msleader.Term) error {
		s.mu.Lock()
		s.current[name] = t
		s.epochs = append(s.epochs, t.Epoch)
		s.mu.Unlock()
		<-ctx.Done()
		s.mu.Lock()
		delete(s.current, name)
		s.mu.Unlock()
		return nil
	}
}

// validLeaders returns the entries that hold a valid term.
func (s *termRecorder) validLeaders() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []string
	for name, t := range s.current {
		if t.Valid() {
			all = append(all, name)
		}
	}
	return all
}

// awaitLeader waits until exactly one entry other than except holds a valid term.
func (s *termRecorder) awaitLeader(t *testing.T, except string) string {
	t.Helper()
	var got string
	require.Eventually(t, func() bool {
		v := s.validLeaders()
		if len(v) == 1 && v[0] != except {
			got = v[0]
			return true
		}
		return false
	}, waitTimeout, 2*time.Millisecond)
	return got
}

// startCandidate runs an entry in the election until stop is called or the test ends.
func startCandidate(t *testing.T, log *msstandin.JobLog, s *termRecorder, name string) (stop func()) {
	l := &msleader.Elector{
		Log: log.Log(), Clock: &msclock.Boot{}, Logger: zap.NewNop(), Stream: "leader", Holder: name,
		Jitter: func() float64 { return 0.3 }, Lead: s.lead(name),
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = l.Run(ctx) }()
	var once sync.Once
	stop = func() { once.Do(func() { cancel(); <-done }) }
	t.Cleanup(stop)
	return stop
}

// bubbleClock is the clock of a synctest bubble. Its channels aren't those of timers: a goroutine
// that receives from the channel of a due timer runs the timer itself, with the bubble's one
// context of the race detector, and the detector crashes if two do so at a time.
type bubbleClock struct {
	msclock.System
}

func (c bubbleClock) After(d time.Duration) <-chan time.Time {
	due := make(chan time.Time, 1)
	if d <= 0 {
		due <- c.Now()
	} else {
		time.AfterFunc(d, func() { due <- c.Now() })
	}
	return due
}

// When the leader stops, another entry takes over with a higher epoch.
func TestOneLeadsAndEpochsRise(t *testing.T) {
	t.Parallel()
	var log msstandin.JobLog
	s := &termRecorder{current: map[string]msleader.Term{}}
	stops := map[string]func(){}
	for i := range 4 {
		name := fmt.Sprint("e", i)
		stops[name] = startCandidate(t, &log, s, name)
	}
	leader := s.awaitLeader(t, "")
	for range 3 {
		stops[leader]()
		leader = s.awaitLeader(t, leader)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := 1; i < len(s.epochs); i++ {
		require.Greater(t, s.epochs[i], s.epochs[i-1])
	}
}

// Renewals give the term further fencing tokens. Calls of the next leader have higher ones.
func TestTokensRiseWithRenewalsAndStayBelowTheNextEpoch(t *testing.T) {
	t.Parallel()
	var log msstandin.JobLog
	s := &termRecorder{current: map[string]msleader.Term{}}
	stop := startCandidate(t, &log, s, "a")
	s.awaitLeader(t, "")
	s.mu.Lock()
	term := s.current["a"]
	s.mu.Unlock()
	token := term.Epoch
	for range 3 {
		require.Eventually(t, func() bool { return term.LatestToken() > token }, waitTimeout, time.Millisecond)
		token = term.LatestToken()
	}
	startCandidate(t, &log, s, "b")
	stop()
	s.awaitLeader(t, "a")
	s.mu.Lock()
	defer s.mu.Unlock()
	require.Greater(t, s.current["b"].Epoch, token)
	require.Equal(t, term.Epoch, term.LatestToken(), "of a term that has ended")
}

// The log loses every second response, so that the outcome of an append is unknown.
// At no time do two entries hold a valid term, and a leader is there again once the
// fault is over.
func TestLostAnswersMakeNoSecondLeader(t *testing.T) {
	t.Parallel()
	var log msstandin.JobLog
	s := &termRecorder{current: map[string]msleader.Term{}}
	for i := range 3 {
		startCandidate(t, &log, s, fmt.Sprint("e", i))
	}
	s.awaitLeader(t, "")
	log.SetFault(msstandin.LogFault{LoseEvery: 2})
	until := time.Now().Add(4 * time.Second)
	for time.Now().Before(until) {
		require.LessOrEqual(t, len(s.validLeaders()), 1)
		time.Sleep(time.Millisecond)
	}
	log.SetFault(msstandin.LogFault{})
	s.awaitLeader(t, "")
}

// The term of a leader that can't reach the log expires. When the log responds again
// and nobody has taken over, the leader continues in the same term.
func TestTermOutlivesAnOutage(t *testing.T) {
	t.Parallel()
	var log msstandin.JobLog
	s := &termRecorder{current: map[string]msleader.Term{}}
	startCandidate(t, &log, s, "a")
	s.awaitLeader(t, "")
	log.SetFault(msstandin.LogFault{Silent: true})
	require.Eventually(t, func() bool { return len(s.validLeaders()) == 0 }, waitTimeout, time.Millisecond)
	s.mu.Lock()
	lapsed := s.current["a"].ExpiredFor()
	s.mu.Unlock()
	require.Less(t, lapsed, waitTimeout)
	log.SetFault(msstandin.LogFault{})
	s.awaitLeader(t, "")
	s.mu.Lock()
	defer s.mu.Unlock()
	require.Len(t, s.epochs, 1)
}

// The VM of the leader restarts: its new process knows that the earlier one has ended and
// leads at once, while the others still wait for the term to expire. A process of another
// VM does not.
func TestRestartedVMTakesOverItsOwnTerm(t *testing.T) {
	t.Parallel()
	var log msstandin.JobLog
	begin := func(holder, vm string) *termRecorder {
		s := &termRecorder{current: map[string]msleader.Term{}}
		l := &msleader.Elector{
			Log: log.Log(), Clock: &msclock.Boot{}, Logger: zap.NewNop(), Stream: "leader", Holder: holder, VM: vm,
			Jitter: func() float64 { return 0 }, Lead: s.lead(holder),
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); _ = l.Run(ctx) }()
		t.Cleanup(func() { cancel(); <-done })
		return s
	}
	// The record of a process that was killed.
	log.Put("leader", "term", []byte(`{"holder":"a-1","serial":1,"vm":"a","vm-orders-stored":true}`))
	killed := time.Now()
	other := begin("b-1", "b")
	again := begin("a-2", "a")
	again.awaitLeader(t, "")
	require.Empty(t, other.validLeaders())
	again.mu.Lock()
	defer again.mu.Unlock()
	term := again.current["a-2"]
	require.True(t, term.Released)
	require.True(t, term.VMOrdersStored)
	t.Logf("led again after %s", time.Since(killed))
}

// A term that a record of another VM, of an earlier version or without a VM names isn't
// taken over before it has expired.
func TestOthersWaitForTheTermToExpire(t *testing.T) {
	t.Parallel()
	const oldTTL = 1600 * time.Millisecond
	for record, ttl := range map[string]time.Duration{
		`{"holder":"a-1","serial":1,"vm":"a"}`:                        oldTTL,
		`{"holder":"a-1","serial":1}`:                                 oldTTL,
		`{"holder":"a-1","serial":1,"vm":"a","ttl-ms":1200}`:          1200 * time.Millisecond,
		`{"holder":"a-1","serial":1,"vm":"a","ttl-ms":-5}`:            oldTTL,
		`{"holder":"a-1","serial":1,"vm":"a","ttl-ms":9000000000000}`: oldTTL,
	} {
		var log msstandin.JobLog
		log.Put("leader", "term", []byte(record))
		s := &termRecorder{current: map[string]msleader.Term{}}
		started := time.Now()
		startCandidate(t, &log, s, "b")
		s.awaitLeader(t, "")
		require.GreaterOrEqual(t, time.Since(started), ttl, record)
		s.mu.Lock()
		require.False(t, s.current["b"].Released)
		require.False(t, s.current["b"].VMOrdersStored)
		s.mu.Unlock()
	}
}

// The log loses every second answer. The renewals are repeated in time, so the term goes
// on and no other entry takes over.
func TestTermOutlivesLostAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := msstandin.JobLog{Clock: bubbleClock{}}
		log.SetFault(msstandin.LogFault{Delay: 4 * time.Millisecond})
		s := &termRecorder{current: map[string]msleader.Term{}}
		for i := range 3 {
			l := &msleader.Elector{
				Log:   (&msjournal.Repeater{Log: log.Log(), Clock: bubbleClock{}}).Repeated(),
				Clock: bubbleClock{}, Logger: zap.NewNop(), Stream: "leader", Holder: fmt.Sprint("e", i),
				Jitter: func() float64 { return float64(i) / 3 }, Lead: s.lead(fmt.Sprint("e", i)),
			}
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() { defer close(done); _ = l.Run(ctx) }()
			t.Cleanup(func() { cancel(); <-done; time.Sleep(time.Minute) })
		}
		time.Sleep(10 * time.Second)
		log.SetFault(msstandin.LogFault{Delay: 4 * time.Millisecond, LoseEvery: 2, LoseReadsEvery: 2})
		for range 20000 {
			time.Sleep(time.Millisecond)
			require.Len(t, s.validLeaders(), 1)
		}
		s.mu.Lock()
		require.Len(t, s.epochs, 1)
		s.mu.Unlock()
		log.SetFault(msstandin.LogFault{})
	})
}

// The leader loses the log, which serves the others. Another entry leads within a second,
// and no two terms are valid at a time.
func TestLostLeaderIsReplacedWithinASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := msstandin.JobLog{Clock: bubbleClock{}}
		log.SetFault(msstandin.LogFault{Delay: 4 * time.Millisecond})
		s := &termRecorder{current: map[string]msleader.Term{}}
		var refused sync.Map
		for i := range 3 {
			name := fmt.Sprint("e", i)
			l := log.Log()
			plain := l.Append
			l.Append = func(ctx context.Context, a msjournal.AppendRequest) (int64, error) {
				if _, ok := refused.Load(name); ok {
					return 0, &msjournal.Error{Kind: msjournal.Rejected, Op: "append"}
				}
				return plain(ctx, a)
			}
			e := &msleader.Elector{
				Log: l, Clock: bubbleClock{}, Logger: zap.NewNop(), Stream: "leader", Holder: name,
				Jitter: func() float64 { return float64(i) / 3 }, Lead: s.lead(name),
			}
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() { defer close(done); _ = e.Run(ctx) }()
			t.Cleanup(func() { cancel(); <-done })
		}
		time.Sleep(10 * time.Second)
		before := s.validLeaders()
		require.Len(t, before, 1)
		refused.Store(before[0], true)
		time.Sleep(time.Second)
		after := s.validLeaders()
		require.Len(t, after, 1)
		require.NotEqual(t, before, after)
	})
}

// The log takes 300 ms to answer: the term goes on.
func TestTermOutlivesASlowLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := msstandin.JobLog{Clock: bubbleClock{}}
		log.SetFault(msstandin.LogFault{Delay: 4 * time.Millisecond})
		s := &termRecorder{current: map[string]msleader.Term{}}
		for i := range 3 {
			name := fmt.Sprint("e", i)
			e := &msleader.Elector{
				Log:   (&msjournal.Repeater{Log: log.Log(), Clock: bubbleClock{}}).Repeated(),
				Clock: bubbleClock{}, Logger: zap.NewNop(), Stream: "leader", Holder: name,
				Jitter: func() float64 { return float64(i) / 3 }, Lead: s.lead(name),
			}
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() { defer close(done); _ = e.Run(ctx) }()
			t.Cleanup(func() { cancel(); <-done; time.Sleep(time.Minute) })
		}
		time.Sleep(10 * time.Second)
		log.SetFault(msstandin.LogFault{Delay: 300 * time.Millisecond})
		time.Sleep(30 * time.Second)
		s.mu.Lock()
		require.Len(t, s.epochs, 1)
		s.mu.Unlock()
		log.SetFault(msstandin.LogFault{})
	})
}

// The leader is stopped while a renewal is under way. It must release its term all the
// same, or its successor waits for the TTL and treats its workers as uncertain.
func TestStoppingDuringARenewalReleasesTheTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const answerTime = 200 * time.Millisecond
		log := msstandin.JobLog{Clock: bubbleClock{}}
		s := &termRecorder{current: map[string]msleader.Term{}}
		l := log.Log()
		plain, read := l.Append, l.Read
		l.Read = func(ctx context.Context, stream string, from int64, wait time.Duration) (msjournal.Batch, error) {
			if ctx.Err() != nil {
				return msjournal.Batch{}, &msjournal.Error{Kind: msjournal.Unknown, Op: "read", Err: ctx.Err()}
			}
			return read(ctx, stream, from, wait)
		}
		inFlight := make(chan struct{}, 100)
		l.Append = func(ctx context.Context, a msjournal.AppendRequest) (int64, error) {
			inFlight <- struct{}{}
			off, err := plain(ctx, a)
			if msclock.Sleep(ctx, bubbleClock{}, answerTime) != nil {
				return 0, &msjournal.Error{Kind: msjournal.Unknown, Op: "append", Err: ctx.Err()}
			}
			return off, err
		}
		e := &msleader.Elector{
			Log: l, Clock: bubbleClock{}, Logger: zap.NewNop(), Stream: "leader", Holder: "a",
			Jitter: func() float64 { return 0 }, Lead: s.lead("a"),
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); _ = e.Run(ctx) }()
		time.Sleep(10 * time.Second)
		for len(inFlight) > 0 {
			<-inFlight
		}
		<-inFlight
		time.Sleep(answerTime / 2)
		cancel()
		<-done
		all := log.Records("leader")
		require.Contains(t, string(all[len(all)-1].Value), `"released":true`)
	})
}

// An entry restarted its wait for a renewal after each read that was refused for the number of
// reads, so that no entry took a dead leader's place.
func TestRefusedReadsDontHideADeadLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := msstandin.JobLog{Clock: bubbleClock{}}
		log.Put("leader", "term", []byte(`{"holder":"dead","serial":1,"ttl-ms":800}`))
		l := log.Log()
		answered := l.Read
		var reads atomic.Int64
		l.Read = func(ctx context.Context, stream string, from int64, wait time.Duration) (msjournal.Batch, error) {
			if reads.Add(1)%2 == 1 {
				return msjournal.Batch{}, &msjournal.Error{Kind: msjournal.Rejected, Op: "read", TooMany: true}
			}
			return answered(ctx, stream, from, wait)
		}
		terms := &termRecorder{current: map[string]msleader.Term{}}
		e := &msleader.Elector{
			Log: l, Clock: bubbleClock{}, Logger: zap.NewNop(), Stream: "leader", Holder: "a",
			Jitter: func() float64 { return 0.3 }, Lead: terms.lead("a"),
		}
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		defer wg.Wait()
		defer cancel()
		wg.Go(func() { _ = e.Run(ctx) })
		time.Sleep(ackTimeout)
		require.Equal(t, []string{"a"}, terms.validLeaders())
	})
}

// ackTimeout is the time within which the platform's contract wants work to be confirmed again
// after the loss of a machine.
const ackTimeout = 4 * time.Second
