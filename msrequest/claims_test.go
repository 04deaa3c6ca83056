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

// world is a claims stream with several entries, each of which may be asked as
// the home of a key.
type world struct {
	clock  *msclock.Fake
	stream []Event
	// authors holds the node that wrote each event of stream.
	authors []*node
	down    bool
	// loseAnswers lets appends take effect and still fail.
	loseAnswers bool
	outage      bool
	homes       []*node
	unsure      time.Time
	// epoch grows with each move of the keys' home.
	epoch uint64
	// agreed is set once the owner has found that every member acts on its view:
	// from then on no other node takes itself for the home.
	agreed bool
}

type node struct {
	Home
	w    *world
	next int
	dead bool
	// caught says whether the node had read the whole stream when the outage began.
	caught bool
}

func newWorld(n int) *world {
	w := &world{clock: msclock.NewFake(time.Unix(1_700_000_000, 0))}
	for range n {
		w.add()
	}
	return w
}

func (w *world) add() *node {
	n := &node{w: w}
	n.Table = &Table{Window: time.Hour}
	n.Clock = w.clock
	n.Append = n.append
	n.Outage = func() bool { return w.outage }
	n.Caught = func() bool { return n.caught }
	n.Logged = func() bool { return w.logged(n) }
	n.Epoch = func() uint64 { return w.epoch }
	n.Unsure = func() (time.Time, bool) { return w.unsure, !w.unsure.IsZero() }
	w.homes = append(w.homes, n)
	return n
}

func (w *world) logged(self *node) bool {
	for _, n := range w.homes {
		if n != self && !n.dead && n.Table.UnloggedBefore(w.epoch) > 0 {
			return false
		}
	}
	return true
}

func (n *node) append(_ context.Context, es []Event) error {
	if n.w.down {
		return errLogDown
	}
	n.w.stream = append(n.w.stream, es...)
	for range es {
		n.w.authors = append(n.w.authors, n)
	}
	if n.w.loseAnswers {
		return errLogDown
	}
	n.fold(len(n.w.stream))
	return nil
}

// foldedOthers says whether the node lacks no event but its own.
func (n *node) foldedOthers() bool {
	for _, by := range n.w.authors[n.next:] {
		if by != n {
			return false
		}
	}
	return true
}

func (n *node) fold(to int) {
	for ; n.next < to; n.next++ {
		n.Table.Apply(n.w.stream[n.next], n.w.clock.Now())
	}
}

func TestKeyIsGrantedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(3)
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
					at = rapid.IntRange(0, len(w.homes)-1).Draw(t, "home")
				}
				if w.homes[at].dead {
					return
				}
				c := Claim{Team: "t", Key: k, Request: fmt.Sprint("r", attempts)}
				switch w.homes[at].Claim(context.Background(), c).Verdict {
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
				n := w.homes[rapid.IntRange(0, len(w.homes)-1).Draw(t, "home")]
				if w.outage {
					n = w.homes[owner]
				}
				if !n.dead {
					n.Settle(context.Background(), Event{Claim: refused[0], Outcome: OutcomeNotRun})
					refused = refused[1:]
				}
			},
			"not-run": func(*rapid.T) {
				k := key()
				if len(held[k]) == 0 || w.homes[owner].dead {
					return
				}
				c := held[k][len(held[k])-1]
				held[k] = nil
				w.homes[owner].Settle(context.Background(), Event{Claim: c, Outcome: OutcomeNotRun})
				runs[k]--
			},
			"fold": func(*rapid.T) {
				n := w.homes[rapid.IntRange(0, len(w.homes)-1).Draw(t, "node")]
				if !w.down {
					n.fold(rapid.IntRange(n.next, len(w.stream)).Draw(t, "to"))
				}
			},
			"lose-answers": func(*rapid.T) { w.loseAnswers = !w.loseAnswers },
			"outage": func(*rapid.T) {
				if w.outage {
					return
				}
				w.down, w.outage = true, true
				for _, n := range w.homes {
					n.caught = n.foldedOthers()
				}
				w.agreed = w.agreed || w.homes[owner].caught
			},
			"return": func(*rapid.T) {
				if w.homes[owner].dead {
					return
				}
				w.down, w.outage, w.loseAnswers = false, false, false
			},
			"move-owner": func(*rapid.T) {
				to := rapid.IntRange(0, len(w.homes)-1).Draw(t, "owner")
				if !w.outage && !w.homes[to].dead {
					owner = to
					w.epoch++
					w.agreed = false
				}
			},
			"flush": func(*rapid.T) {
				n := w.homes[rapid.IntRange(0, len(w.homes)-1).Draw(t, "node")]
				if !n.dead && !w.outage {
					_ = n.Flush(context.Background())
				}
			},
			"lose-owner": func(*rapid.T) {
				if w.homes[owner].dead || len(w.homes) > 5 {
					return
				}
				w.homes[owner].dead = true
				w.down, w.outage, w.loseAnswers = false, false, false
				w.unsure = w.clock.Now()
				for _, n := range w.homes {
					n.fold(len(w.stream))
				}
				owner = len(w.homes)
				w.epoch++
				w.agreed = false
				w.add().fold(len(w.stream))
			},
		})
	})
}

func TestNewKeyRunsAfterAnUnsureLoss(t *testing.T) {
	w := newWorld(1)
	w.unsure = w.clock.Now()
	claim := func(key string) Verdict {
		return w.homes[0].Claim(context.Background(), Claim{Team: "t", Key: key, Request: key}).Verdict
	}
	require.Equal(t, NotHome, claim("opaque"), "another member may still vouch")
	w.clock.Advance(VouchWait)
	require.Equal(t, Unknown, claim("opaque"))
	require.Equal(t, Unknown, claim(keyOf(t, w.clock.Now().Add(-time.Minute))))
	w.clock.Advance(2 * time.Minute)
	require.Equal(t, Granted, claim(keyOf(t, w.clock.Now())))
	require.Equal(t, Unknown, claim(keyOf(t, w.clock.Now().Add(time.Hour))), "a key from the future proves nothing")
}

// keyOf returns a UUID of version 7 that was made at a time.
func keyOf(t *testing.T, made time.Time) string {
	t.Helper()
	u, err := uuid.NewV7()
	require.NoError(t, err)
	ms := made.UnixMilli()
	for i := range 6 {
		u[i] = byte(ms >> (8 * (5 - i)))
	}
	return u.String()
}

func TestRepeatedKeyLearnsWhatBecameOfTheFirst(t *testing.T) {
	w := newWorld(1)
	h := w.homes[0]
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

func TestHeldKeyOutlivesTheWindowUntilItIsLogged(t *testing.T) {
	w := newWorld(1)
	h := w.homes[0]
	h.Table.Window = time.Minute
	h.caught = true
	w.down, w.outage = true, true
	require.Equal(t, Granted, h.Claim(context.Background(), Claim{Team: "t", Key: "k", Request: "r1"}).Verdict)
	w.clock.Advance(time.Hour)
	h.Table.Expire(w.clock.Now())
	require.Equal(t, 1, h.Table.Len())
	w.down, w.outage = false, false
	require.NoError(t, h.Flush(context.Background()))
	require.Zero(t, h.Pending())
	require.Len(t, w.stream, 1)
}

func TestClaimFromMemoryHoldsAgainstALateRelease(t *testing.T) {
	ctx := context.Background()
	w := newWorld(2)
	h, other := w.homes[0], w.homes[1]
	h.caught = true
	first := Claim{Team: "t", Key: "k", Request: "r1"}
	w.loseAnswers = true
	require.Equal(t, NotHome, h.Claim(ctx, first).Verdict, "the answer was lost, the record was not")
	w.down, w.outage = true, true
	require.Equal(t, Granted, h.Claim(ctx, Claim{Team: "t", Key: "k", Request: "r2"}).Verdict)
	w.down, w.outage, w.loseAnswers = false, false, false
	require.NoError(t, h.Flush(ctx))
	other.Settle(ctx, Event{Claim: first, Outcome: OutcomeNotRun})
	require.Equal(t, Running, other.Claim(ctx, Claim{Team: "t", Key: "k", Request: "r3"}).Verdict)
}

func TestClaimSettledInMemoryIsNeverFlushed(t *testing.T) {
	ctx := context.Background()
	w := newWorld(2)
	h, other := w.homes[0], w.homes[1]
	h.caught = true
	w.down, w.outage = true, true
	first := Claim{Team: "t", Key: "k", Request: "r1"}
	require.Equal(t, Granted, h.Claim(ctx, first).Verdict)
	h.Settle(ctx, Event{Claim: first, Outcome: OutcomeNotRun})
	w.down, w.outage = false, false
	require.Equal(t, Granted, other.Claim(ctx, Claim{Team: "t", Key: "k", Request: "r2"}).Verdict)
	require.NoError(t, h.Flush(ctx))
	require.Len(t, w.stream, 1, "a claim that never ran reached the stream")
	require.Equal(t, Running, other.Claim(ctx, Claim{Team: "t", Key: "k", Request: "r3"}).Verdict)
}

func TestClaimOnItsWayIsSettledByTheStream(t *testing.T) {
	ctx := context.Background()
	w := newWorld(2)
	h, other := w.homes[0], w.homes[1]
	h.caught = true
	w.down, w.outage = true, true
	first := Claim{Team: "t", Key: "k", Request: "r1"}
	require.Equal(t, Granted, h.Claim(ctx, first).Verdict)
	w.down, w.outage, w.loseAnswers = false, false, true
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
