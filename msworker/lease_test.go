package msworker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	testLease   = 4 * time.Second
	testLongest = 6 * time.Second
)

// leaseOfNextLife returns the lease of a life that answered a call with the given token at clock,
// after a life whose latest end was sent with token 7.
func leaseOfNextLife(earlierClock, clock time.Duration, token int64) (Lease, time.Time) {
	now := time.Unix(1000, 0)
	var earlier Lease
	earlier.Observe(earlierClock, now)
	earlier.Sent(7)
	earlier.Grant(now, testLease)
	l := earlier.Next()
	l.Observe(clock, now)
	l.Answered(token, testLongest)
	return l, now
}

func TestLifeMayHoldTheLongestLeaseFromACallForTheOneBefore(t *testing.T) {
	l, now := leaseOfNextLife(time.Hour, time.Second, 8)
	require.Equal(t, 7*time.Second, l.Until())
	require.True(t, l.Fenced())
	require.False(t, l.Expired(now.Add(testLongest)))
	require.True(t, l.Expired(now.Add(testLongest*103/100)))
}

func TestEarlierEndBehindTheNewClockGrantsNothing(t *testing.T) {
	l, now := leaseOfNextLife(time.Second, time.Hour, 8)
	require.True(t, l.Expired(now.Add(time.Millisecond)))
	l, _ = leaseOfNextLife(time.Second, 2*time.Second, 8)
	require.Equal(t, 5*time.Second, l.Until(), "the earlier end itself")
}

// A life that has seen only tokens of calls for the one before may carry such calls out after its
// latest answer, until they are too late.
func TestLifeTakesStrayCallsUntilItIsFenced(t *testing.T) {
	l, now := leaseOfNextLife(time.Hour, time.Second, 7)
	require.False(t, l.Fenced())
	require.EqualValues(t, 8, l.MinToken(true))
	require.Equal(t, time.Second+MaxCallDelay+testLongest, l.Until())
	require.Equal(t, OfEarlierLife, l.Source())
	l.Observe(4*time.Second, now.Add(3*time.Second))
	l.Answered(8, testLongest)
	require.True(t, l.Fenced())
	l.Observe(20*time.Second, now.Add(19*time.Second))
	l.Answered(8, testLongest)
	require.Equal(t, 10*time.Second, l.Until())
}

// Calls for any of several earlier lives may be under way.
func TestStrayCallsOutliveALifeThatWasNotFenced(t *testing.T) {
	second, now := leaseOfNextLife(time.Hour, 2*time.Hour, 7)
	third := second.Next()
	third.Observe(time.Second, now)
	third.Answered(8, testLongest)
	require.Equal(t, 7*time.Second, third.Until())
}

func TestUnreachableWorkerIsCalledWithAHigherToken(t *testing.T) {
	var l Lease
	require.EqualValues(t, 1, l.MinToken(false))
	l.Sent(7)
	require.EqualValues(t, 7, l.MinToken(true))
	require.EqualValues(t, 8, l.MinToken(false))
	l.Sent(9)
	next := l.Next()
	require.EqualValues(t, 10, next.MinToken(true))
}

// The next scheduler doesn't know the ends that were sent to lives before the one that it finds.
func TestRestartSoonAfterAChangeOfSchedulerAllowsTheLongestLease(t *testing.T) {
	now := time.Unix(1000, 0)
	for age, want := range map[time.Duration]time.Duration{time.Second: 2*time.Hour + testLongest, time.Hour: time.Minute + testLease} {
		var l Lease
		l.Observe(time.Minute, now)
		l.Inherit(testLease, testLongest, age)
		next := l.Next()
		next.Observe(2*time.Hour, now)
		next.Answered(1, testLongest)
		require.Equal(t, want, next.Until())
	}
}

func TestInheritedLeaseDependsOnTheAgeOfTheLife(t *testing.T) {
	require.Equal(t, testLongest, InheritedLease(testLease, testLongest, 0))
	require.Equal(t, testLongest, InheritedLease(testLease, testLongest, MaxCallDelay+maxWallError))
	require.Equal(t, 5*time.Second, InheritedLease(testLease, testLongest, MaxCallDelay+maxWallError+time.Second))
	require.Equal(t, testLease, InheritedLease(testLease, testLongest, time.Hour))
	require.Equal(t, testLongest, InheritedLease(testLease, testLongest, -time.Hour))
}
