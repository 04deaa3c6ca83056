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

// fakeCluster is a claims stream with several entries, each of which may be asked as
// the home of a key.
type fakeCluster struct {
	clock  *msclock.Fake
	stream []Event
	// writers holds the node that wrote each event of stream.
	writers []*node
	logDown    bool
	// loseAnswers lets appends take effect and still fail.
	loseAnswers bool
	outage      bool
	nodes       []*node
	uncertainLossAt      time.Time
	// epoch grows with each move of the keys' home.
	epoch uint64
	// agreed is set once the owner has found that every member acts on its view:
	// from then on no other node takes itself for the home.
	agreed bool
}

type node struct {
	Home
	w    *fakeCluster
	next int
	dead bool
	// caughtUp says whether the node had read the whole stream when the outage began.
	caughtUp bool
}

func newFakeCluster(n int) *fakeCluster {
	w := &fakeCluster{clock: msclock.NewFake(time.Unix(1_700_000_000, 0))}
	for range n {
		w.add()
	}
	return w
}

func (w *fakeCluster) add() *node {
	n := &node{w: w}
	n.Table = &Table{Window: time.Hour}
	n.Clock = w.clock
	n.Append = n.append
	n.Outage = func() bool { return w.outage }
	n.Caught = func() bool { return n.caughtUp }
	n.Logged = func() bool { return w.othersLogged(n) }
	n.Epoch = func() uint64 { return w.epoch }
	n.Unsure = func() (time.Time, bool) { return w.uncertainLossAt, !w.uncertainLossAt.IsZero() }
	w.nodes = append(w.nodes, n)
	return n
}

func (w *fakeCluster) othersLogged(self *node) bool {
	for _, n := range w.nodes {
		if n != self && !n.dead && n.Table.UnloggedBefore(w.epoch) > 0 {
			return false
		}
	}
	return true
}

func (n *node) append(_ context.Context, es []Event) error {
	if n.w.logDown {
		return errLogDown
	}
	n.w.stream = append(n.w.stream, es...)
	for range es {
		n.w.writers = append(n.w.writers, n)
	}
	if n.w.loseAnswers {
		return errLogDown
	}
	n.applyUpTo(len(n.w.stream))
	return nil
}

// appliedAllOthers says whether the node lacks no event but its own.
func (n *node) appliedAllOthers() bool {
	for _, writer := range n.w.writers[n.next:] {
		if writer != n {
			return false
		}
	}
	return true
}

func (n *node) applyUpTo(to int) {
	for ; n.next < to; n.next++ {
		n.Table.Apply(n.w.stream[n.next], n.w.clock.Now())
	}
}

func TestKeyIsGrantedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newFakeCluster(3)
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
				// A node that has not seen the newest view may take itself for the
				// home, until all have agreed.
				at := owner
				if !w.outage && !w.agreed {
					at = rapid.IntRange(0, len(w.nodes)-1).Draw(t, "home")
				}
				if w.nodes[at].dead {
					return
				}
				c := Claim{Team: "t", Key: k, Request: fmt.Sprint("r", attempts)}
				switch w.nodes[at].Claim(context.Background(), c).Verdict {
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
				n := w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "home")]
				if w.outage {
					n = w.nodes[owner]
				}
				if !n.dead {
					n.Settle(context.Background(), Event{Claim: refused[0], Outcome: OutcomeNotRun})
					refused = refused[1:]
				}
			},
			"not-run": func(*rapid.T) {
				k := key()
				if len(held[k]) == 0 || w.nodes[owner].dead {
					return
				}
				c := held[k][len(held[k])-1]
				held[k] = nil
				w.nodes[owner].Settle(context.Background(), Event{Claim: c, Outcome: OutcomeNotRun})
				runs[k]--
			},
			"fold": func(*rapid.T) {
				n := w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")]
				if !w.logDown {
					n.applyUpTo(rapid.IntRange(n.next, len(w.stream)).Draw(t, "to"))
				}
			},
			"lose-answers": func(*rapid.T) { w.loseAnswers = !w.loseAnswers },
			"outage": func(*rapid.T) {
				if w.outage {
					return
				}
				w.logDown, w.outage = true, true
				for _, n := range w.nodes {
					n.caughtUp = n.appliedAllOthers()
				}
				w.agreed = w.agreed || w.nodes[owner].caughtUp
			},
			"return": func(*rapid.T) {
				if w.nodes[owner].dead {
					return
				}
				w.logDown, w.outage, w.loseAnswers = false, false, false
			},
			"move-owner": func(*rapid.T) {
				to := rapid.IntRange(0, len(w.nodes)-1).Draw(t, "owner")
				if !w.outage && !w.nodes[to].dead {
					owner = to
					w.epoch++
					w.agreed = false
				}
			},
			"flush": func(*rapid.T) {
				n := w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")]
				if !n.dead && !w.outage {
					_ = n.Flush(context.Background())
				}
			},
			"lose-owner": func(*rapid.T) {
				if w.nodes[owner].dead || len(w.nodes) > 5 {
					return
				}
				w.nodes[owner].dead = true
				w.logDown, w.outage, w.loseAnswers = false, false, false
				w.uncertainLossAt = w.clock.Now()
				for _, n := range w.nodes {
					n.applyUpTo(len(w.stream))
				}
				owner = len(w.nodes)
				w.epoch++
				w.agreed = false
				w.add().applyUpTo(len(w.stream))
			},
		})
	})
}

func TestNewKeyRunsAfterAnUnsureLoss(t *testing.T) {
	w := newFakeCluster(1)
	w.uncertainLossAt = w.clock.Now()
	claim := func(key string) Verdict {
		return w.nodes[0].Claim(context.Background(), Claim{Team: "t", Key: key, Request: key}).Verdict
	}
	require.Equal(t, NotHome, claim("opaque"), "another member may still vouch")
	w.clock.Advance(VouchWait)
	require.Equal(t, Unknown, claim("opaque"))
	require.Equal(t, Unknown, claim(uuidV7At(t, w.clock.Now().Add(-time.Minute))))
	w.clock.Advance(2 * time.Minute)
	require.Equal(t, Granted, claim(uuidV7At(t, w.clock.Now())))
	require.Equal(t, Unknown, claim(uuidV7At(t, w.clock.Now().Add(time.Hour))), "a key from the future proves nothing")
}

// uuidV7At returns a UUID of version 7 that was made at a time.
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
	w := newFakeCluster(1)
	h := w.nodes[0]
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
	w := newFakeCluster(1)
	h := w.nodes[0]
	h.Table.Window = time.Minute
	h.caughtUp = true
	w.logDown, w.outage = true, true
	require.Equal(t, Granted, h.Claim(context.Background(), Claim{Team: "t", Key: "k", Request: "r1"}).Verdict)
	w.clock.Advance(time.Hour)
	h.Table.Expire(w.clock.Now())
	require.Equal(t, 1, h.Table.Len())
	w.logDown, w.outage = false, false
	require.NoError(t, h.Flush(context.Background()))
	require.Zero(t, h.Pending())
	require.Len(t, w.stream, 1)
}

func TestClaimFromMemoryHoldsAgainstALateRelease(t *testing.T) {
	ctx := context.Background()
	w := newFakeCluster(2)
	h, other := w.nodes[0], w.nodes[1]
	h.caughtUp = true
	first := Claim{Team: "t", Key: "k", Request: "r1"}
	w.loseAnswers = true
	require.Equal(t, NotHome, h.Claim(ctx, first).Verdict, "the answer was lost, the record was not")
	w.logDown, w.outage = true, true
	require.Equal(t, Granted, h.Claim(ctx, Claim{Team: "t", Key: "k", Request: "r2"}).Verdict)
	w.logDown, w.outage, w.loseAnswers = false, false, false
	require.NoError(t, h.Flush(ctx))
	other.Settle(ctx, Event{Claim: first, Outcome: OutcomeNotRun})
	require.Equal(t, Running, other.Claim(ctx, Claim{Team: "t", Key: "k", Request: "r3"}).Verdict)
}

func TestClaimSettledInMemoryIsNeverFlushed(t *testing.T) {
	ctx := context.Background()
	w := newFakeCluster(2)
	h, other := w.nodes[0], w.nodes[1]
	h.caughtUp = true
	w.logDown, w.outage = true, true
	first := Claim{Team: "t", Key: "k", Request: "r1"}
	require.Equal(t, Granted, h.Claim(ctx, first).Verdict)
	h.Settle(ctx, Event{Claim: first, Outcome: OutcomeNotRun})
	w.logDown, w.outage = false, false
	require.Equal(t, Granted, other.Claim(ctx, Claim{Team: "t", Key: "k", Request: "r2"}).Verdict)
	require.NoError(t, h.Flush(ctx))
	require.Len(t, w.stream, 1, "a claim that never ran reached the stream")
	require.Equal(t, Running, other.Claim(ctx, Claim{Team: "t", Key: "k", Request: "r3"}).Verdict)
}

func TestClaimOnItsWayIsSettledByTheStream(t *testing.T) {
	ctx := context.Background()
	w := newFakeCluster(2)
	h, other := w.nodes[0], w.nodes[1]
	h.caughtUp = true
	w.logDown, w.outage = true, true
	first := Claim{Team: "t", Key: "k", Request: "r1"}
	require.Equal(t, Granted, h.Claim(ctx, first).Verdict)
	w.logDown, w.outage, w.loseAnswers = false, false, true
	require.Error(t, h.Flush(ctx), "its record is on the stream, its answer lost")
	h.Settle(ctx, Event{Claim: first, Outcome: OutcomeNotRun})
	w.loseAnswers = false
	require.Equal(t, Granted, other.Claim(ctx, Claim{Team: "t", Key: "k", Request: "r2"}).Verdict)
	require.NoError(t, h.Flush(ctx), "a second copy")
	require.Zero(t, h.Pending(), "what has reached the stream still counts as missing")
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
	a, ok := table.Look(second)
	require.True(t, ok)
	require.Equal(t, Granted, a.Verdict, "a late copy took the key from the request that runs")
}
