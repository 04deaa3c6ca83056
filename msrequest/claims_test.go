package msrequest

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"marjoramspan/msclock"
)

var errLogDown = errors.New("log down")

// fakeCluster simulates a claims stream and several entries, each of which can be
// asked as the home of a key.
type fakeCluster struct {
	clock  *msclock.Fake
	stream []Event
	// writers holds the node that appended each event of stream.
	writers []*node
	logDown bool
	// loseAnswers makes appends take effect but return an error.
	loseAnswers     bool
	outage          bool
	nodes           []*node
	uncertainLossAt time.Time
	// epoch is incremented each time the home of the keys moves.
	epoch uint64
	// agreed is set once the owner knows that every member acts on its view: from
	// then on no other node answers as the home.
	agreed bool
}

type node struct {
	Home
	cluster *fakeCluster
	next    int
	dead    bool
	// caughtUp is set if the node had applied the events of all other nodes when
	// the outage began.
	caughtUp bool
}

func newFakeCluster(n int) *fakeCluster {
	cluster := &fakeCluster{clock: msclock.NewFake(time.Unix(1_700_000_000, 0))}
	for range n {
		cluster.add()
	}
	return cluster
}

func (cluster *fakeCluster) add() *node {
	n := &node{cluster: cluster}
	n.Table = &Table{Window: time.Hour}
	n.Clock = cluster.clock
	n.Append = n.append
	n.Outage = func() bool { return cluster.outage }
	n.CaughtUp = func() bool { return n.caughtUp }
	n.PeersLogged = func() bool { return cluster.othersLogged(n) }
	n.Epoch = func() uint64 { return cluster.epoch }
	n.LastUncertainLoss = func() (time.Time, bool) { return cluster.uncertainLossAt, !cluster.uncertainLossAt.IsZero() }
	cluster.nodes = append(cluster.nodes, n)
	return n
}

func (cluster *fakeCluster) othersLogged(self *node) bool {
	for _, n := range cluster.nodes {
		if n != self && !n.dead && n.Table.UnloggedBefore(cluster.epoch) > 0 {
			return false
		}
	}
	return true
}

func (n *node) append(_ context.Context, es []Event) error {
	if n.cluster.logDown {
		return errLogDown
	}
	n.cluster.stream = append(n.cluster.stream, es...)
	for range es {
		n.cluster.writers = append(n.cluster.writers, n)
	}
	if n.cluster.loseAnswers {
		return errLogDown
	}
	n.applyUpTo(len(n.cluster.stream))
	return nil
}

// appliedAllOthers reports whether the node has applied every event of the other
// nodes.
func (n *node) appliedAllOthers() bool {
	for _, writer := range n.cluster.writers[n.next:] {
		if writer != n {
			return false
		}
	}
	return true
}

func (n *node) applyUpTo(to int) {
	for ; n.next < to; n.next++ {
		n.Table.Apply(n.cluster.stream[n.next], n.cluster.clock.Now())
	}
}

func TestKeyIsGrantedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cluster := newFakeCluster(3)
		runs := make(map[string]int)
		held := make(map[string][]Claim)
		var refused []Claim
		attempts := 0
		owner := 0
		keys := []string{"k1", "k2"}
		key := func() string { return rapid.SampledFrom(keys).Draw(t, "key") }
		t.Repeat(map[string]func(*rapid.T){
			"claim": func(*rapid.T) {
				k := key()
				attempts++
				// Until all members have agreed on the view, a node with an older view
				// may still answer as the home.
				at := owner
				if !cluster.outage && !cluster.agreed {
					at = rapid.IntRange(0, len(cluster.nodes)-1).Draw(t, "home")
				}
				if cluster.nodes[at].dead {
					return
				}
				c := Claim{Team: "t", Key: k, Request: fmt.Sprint("r", attempts)}
				switch cluster.nodes[at].Claim(context.Background(), c).Verdict {
				case Granted:
					runs[k]++
					held[k] = append(held[k], c)
					require.LessOrEqual(t, runs[k], 1, "key %s runs twice", k)
				case NotHome:
					refused = append(refused, c)
				}
			},
			"settle-refused": func(*rapid.T) {
				if len(refused) == 0 {
					return
				}
				n := cluster.nodes[rapid.IntRange(0, len(cluster.nodes)-1).Draw(t, "home")]
				if cluster.outage {
					n = cluster.nodes[owner]
				}
				if !n.dead {
					n.Settle(context.Background(), Event{Claim: refused[0], Outcome: OutcomeNotRun})
					refused = refused[1:]
				}
			},
			"not-run": func(*rapid.T) {
				k := key()
				if len(held[k]) == 0 || cluster.nodes[owner].dead {
					return
				}
				c := held[k][len(held[k])-1]
				held[k] = nil
				cluster.nodes[owner].Settle(context.Background(), Event{Claim: c, Outcome: OutcomeNotRun})
				runs[k]--
			},
			"fold": func(*rapid.T) {
				n := cluster.nodes[rapid.IntRange(0, len(cluster.nodes)-1).Draw(t, "node")]
				if !cluster.logDown {
					n.applyUpTo(rapid.IntRange(n.next, len(cluster.stream)).Draw(t, "to"))
				}
			},
			"lose-answers": func(*rapid.T) { cluster.loseAnswers = !cluster.loseAnswers },
			"outage": func(*rapid.T) {
				if cluster.outage {
					return
				}
				cluster.logDown, cluster.outage = true, true
				for _, n := range cluster.nodes {
					n.caughtUp = n.appliedAllOthers()
				}
				cluster.agreed = cluster.agreed || cluster.nodes[owner].caughtUp
			},
			"return": func(*rapid.T) {
				if cluster.nodes[owner].dead {
					return
				}
				cluster.logDown, cluster.outage, cluster.loseAnswers = false, false, false
			},
			"move-owner": func(*rapid.T) {
				to := rapid.IntRange(0, len(cluster.nodes)-1).Draw(t, "owner")
				if !cluster.outage && !cluster.nodes[to].dead {
					owner = to
					cluster.epoch++
					cluster.agreed = false
				}
			},
			"flush": func(*rapid.T) {
				n := cluster.nodes[rapid.IntRange(0, len(cluster.nodes)-1).Draw(t, "node")]
				if !n.dead && !cluster.outage {
					_ = n.Flush(context.Background())
				}
			},
			"lose-owner": func(*rapid.T) {
				if cluster.nodes[owner].dead || len(cluster.nodes) > 5 {
					return
				}
				cluster.nodes[owner].dead = true
				cluster.logDown, cluster.outage, cluster.loseAnswers = false, false, false
				cluster.uncertainLossAt = cluster.clock.Now()
				for _, n := range cluster.nodes {
					n.applyUpTo(len(cluster.stream))
				}
				owner = len(cluster.nodes)
				cluster.epoch++
				cluster.agreed = false
				cluster.add().applyUpTo(len(cluster.stream))
			},
		})
	})
}

func TestNewKeyRunsAfterAnUnsureLoss(t *testing.T) {
	cluster := newFakeCluster(1)
	cluster.uncertainLossAt = cluster.clock.Now()
	claim := func(key string) Verdict {
		return cluster.nodes[0].Claim(context.Background(), Claim{Team: "t", Key: key, Request: key}).Verdict
	}
	require.Equal(t, NotHome, claim("opaque"), "another member may still confirm the claims of the lost one")
	cluster.clock.Advance(VouchWait)
	require.Equal(t, Unknown, claim("opaque"))
	require.Equal(t, Unknown, claim(uuidV7At(t, cluster.clock.Now().Add(-time.Minute))))
	cluster.clock.Advance(2 * time.Minute)
	require.Equal(t, Granted, claim(uuidV7At(t, cluster.clock.Now())))
	require.Equal(t, Unknown, claim(uuidV7At(t, cluster.clock.Now().Add(time.Hour))), "the time in a key from the future is not used")
}

// uuidV7At returns a UUID of version 7 with the given creation time.
func uuidV7At(t *testing.T, made time.Time) string {
	t.Helper()
	u, err := uuid.NewV7()
	require.NoError(t, err)
	ms := made.UnixMilli()
	for i := range 6 {
		u[i] = byte(ms >> (8 * (5 - i)))
	}
	return u.String()
}

func TestRepeatedKeyReturnsTheOutcomeOfTheFirstRequest(t *testing.T) {
	cluster := newFakeCluster(1)
	h := cluster.nodes[0]
	ctx := context.Background()
	first := Claim{Team: "t", Key: "k", Request: "r1", Digest: "d"}
	again := Claim{Team: "t", Key: "k", Request: "r2", Digest: "d"}
	require.Equal(t, Granted, h.Claim(ctx, first).Verdict)
	require.Equal(t, Running, h.Claim(ctx, again).Verdict)
	require.Equal(t, Mismatch, h.Claim(ctx, Claim{Team: "t", Key: "k", Request: "r3", Digest: "other"}).Verdict)
	require.Equal(t, Granted, h.Claim(ctx, Claim{Team: "u", Key: "k", Request: "r4"}).Verdict, "keys belong to their team")
	h.Settle(ctx, Event{Claim: first, Outcome: OutcomeDone, Status: 201})
	require.Equal(t, Answer{Verdict: Done, Status: 201}, h.Claim(ctx, again))
}

func TestUnloggedClaimDoesNotExpire(t *testing.T) {
	cluster := newFakeCluster(1)
	h := cluster.nodes[0]
	h.Table.Window = time.Minute
	h.caughtUp = true
	cluster.logDown, cluster.outage = true, true
	require.Equal(t, Granted, h.Claim(context.Background(), Claim{Team: "t", Key: "k", Request: "r1"}).Verdict)
	cluster.clock.Advance(time.Hour)
	h.Table.Expire(cluster.clock.Now())
	require.Equal(t, 1, h.Table.Len())
	cluster.logDown, cluster.outage = false, false
	require.NoError(t, h.Flush(context.Background()))
	require.Zero(t, h.Pending())
	require.Len(t, cluster.stream, 1)
}

func TestClaimFromMemoryHoldsAgainstALateRelease(t *testing.T) {
	ctx := context.Background()
	cluster := newFakeCluster(2)
	h, other := cluster.nodes[0], cluster.nodes[1]
	h.caughtUp = true
	first := Claim{Team: "t", Key: "k", Request: "r1"}
	cluster.loseAnswers = true
	require.Equal(t, NotHome, h.Claim(ctx, first).Verdict, "the record is on the stream, but its append returned an error")
	cluster.logDown, cluster.outage = true, true
	require.Equal(t, Granted, h.Claim(ctx, Claim{Team: "t", Key: "k", Request: "r2"}).Verdict)
	cluster.logDown, cluster.outage, cluster.loseAnswers = false, false, false
	require.NoError(t, h.Flush(ctx))
	other.Settle(ctx, Event{Claim: first, Outcome: OutcomeNotRun})
	require.Equal(t, Running, other.Claim(ctx, Claim{Team: "t", Key: "k", Request: "r3"}).Verdict)
}

func TestClaimSettledInMemoryIsNeverFlushed(t *testing.T) {
	ctx := context.Background()
	cluster := newFakeCluster(2)
	h, other := cluster.nodes[0], cluster.nodes[1]
	h.caughtUp = true
	cluster.logDown, cluster.outage = true, true
	first := Claim{Team: "t", Key: "k", Request: "r1"}
	require.Equal(t, Granted, h.Claim(ctx, first).Verdict)
	h.Settle(ctx, Event{Claim: first, Outcome: OutcomeNotRun})
	cluster.logDown, cluster.outage = false, false
	require.Equal(t, Granted, other.Claim(ctx, Claim{Team: "t", Key: "k", Request: "r2"}).Verdict)
	require.NoError(t, h.Flush(ctx))
	require.Len(t, cluster.stream, 1, "the claim of a request that never ran was appended to the stream")
	require.Equal(t, Running, other.Claim(ctx, Claim{Team: "t", Key: "k", Request: "r3"}).Verdict)
}

func TestClaimOnItsWayIsSettledByTheStream(t *testing.T) {
	ctx := context.Background()
	cluster := newFakeCluster(2)
	h, other := cluster.nodes[0], cluster.nodes[1]
	h.caughtUp = true
	cluster.logDown, cluster.outage = true, true
	first := Claim{Team: "t", Key: "k", Request: "r1"}
	require.Equal(t, Granted, h.Claim(ctx, first).Verdict)
	cluster.logDown, cluster.outage, cluster.loseAnswers = false, false, true
	require.Error(t, h.Flush(ctx), "the record is on the stream, but its append returned an error")
	h.Settle(ctx, Event{Claim: first, Outcome: OutcomeNotRun})
	cluster.loseAnswers = false
	require.Equal(t, Granted, other.Claim(ctx, Claim{Team: "t", Key: "k", Request: "r2"}).Verdict)
	require.NoError(t, h.Flush(ctx), "the claim is appended a second time")
	require.Zero(t, h.Pending(), "a claim on the stream still counts as unlogged")
	require.Equal(t, Running, other.Claim(ctx, Claim{Team: "t", Key: "k", Request: "r3"}).Verdict)
}

func TestLateCopyOfAReleasedClaimTakesNothing(t *testing.T) {
	table := &Table{}
	now := time.Unix(1_700_000_000, 0)
	first := Event{Claim: Claim{Team: "t", Key: "k", Request: "r1"}}
	table.Apply(first, now)
	table.Apply(Event{Claim: first.Claim, Outcome: OutcomeNotRun}, now)
	second := Claim{Team: "t", Key: "k", Request: "r2"}
	table.Apply(Event{Claim: second}, now)
	first.FromMemory = true
	table.Apply(first, now)
	a, ok := table.Lookup(second)
	require.True(t, ok)
	require.Equal(t, Granted, a.Verdict, "a late duplicate took the key from the running request")
}
