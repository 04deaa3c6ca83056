package msstate

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"marjoramspan/mslog"
	"marjoramspan/msrule"
)

var digests = []string{strings.Repeat("a", 64), strings.Repeat("b", 64), strings.Repeat("c", 64)}

func newRules(limit int, keys ...string) msrule.Set {
	asked := msrule.Origin{AskedBy: "test"}
	s := msrule.Set{
		Pools:  []msrule.Pool{{Name: "p", Size: 1, Slots: 8, Connections: 64, Available: 50, Origin: asked}},
		VMs:    []msrule.VM{{Name: "vm-1", Pool: "p", Origin: asked}},
		Teams:  []msrule.Team{{Name: "t", Share: 1, Limit: limit, Origin: asked}},
		Queues: []msrule.Queue{{Name: "q", Pool: "p", Teams: []string{"t"}, Deadline: time.Second, Origin: asked}},
	}
	for _, k := range keys {
		s.Keys = append(s.Keys, newKey(k))
	}
	return s
}

func newKey(id string) msrule.Key {
	return msrule.Key{ID: id, Team: "t", Digest: digests[id[len(id)-1]-'1'], Origin: msrule.Origin{AskedBy: "test"}}
}

func nextRecord(s *State, id string, c Change) mslog.Record {
	return mslog.Record{Offset: s.Next, ID: id, Time: time.Unix(int64(s.Next), 0).UTC(), Data: c.Encode()}
}

func applyNext(t require.TestingT, s *State, id string, c Change) Outcome {
	out, err := s.Apply(nextRecord(s, id, c))
	require.NoError(t, err)
	return out
}

func newPublish(base uint64, rules msrule.Set) Change {
	return NewChange(KindRulesPublish, "test", base, RulesPublish{Rules: rules})
}

func TestOfTwoRacingOperatorsOneIsVoid(t *testing.T) {
	s := &State{}
	require.True(t, applyNext(t, s, "1", newPublish(0, newRules(1))).Accepted)
	base := s.RulesVersion
	require.True(t, applyNext(t, s, "2", newPublish(base, newRules(2))).Accepted)
	out := applyNext(t, s, "3", newPublish(base, newRules(3)))
	require.False(t, out.Accepted)
	require.Contains(t, out.Reason, "decided on version 1, but version 2")
	require.Equal(t, 2, s.Rules.Teams[0].Limit)
}

func TestRepeatedRecordIsVoid(t *testing.T) {
	s := &State{}
	applyNext(t, s, "1", newPublish(0, newRules(1, "k1")))
	applyNext(t, s, "2", NewChange(KindKeyWithdraw, "test", 0, KeyWithdraw{ID: "k1"}))
	out := applyNext(t, s, "2", NewChange(KindKeyWithdraw, "test", 0, KeyWithdraw{ID: "k1"}))
	require.Equal(t, "duplicate of an earlier record", out.Reason)
}

func TestWithdrawnKeyNeverComesBack(t *testing.T) {
	s := &State{}
	applyNext(t, s, "1", newPublish(0, newRules(1, "k1")))
	stale := s.RulesVersion
	require.True(t, applyNext(t, s, "2", NewChange(KindKeyWithdraw, "test", 0, KeyWithdraw{ID: "k1"})).Accepted)
	require.False(t, applyNext(t, s, "3", newPublish(stale, newRules(1, "k1"))).Accepted)
	require.False(t, applyNext(t, s, "4", newPublish(s.RulesVersion, newRules(1, "k1"))).Accepted)
	require.False(t, applyNext(t, s, "5", NewChange(KindKeyGive, "test", 0, KeyGive{Key: newKey("k1")})).Accepted)
	renamed := newKey("k1")
	renamed.ID = "other"
	require.False(t, applyNext(t, s, "6", NewChange(KindKeyGive, "test", 0, KeyGive{Key: renamed})).Accepted, "the same secret under another id must be rejected")
	require.Empty(t, s.Rules.Keys)
}

func TestGapIsAnError(t *testing.T) {
	s := &State{}
	applyNext(t, s, "1", newPublish(0, newRules(1)))
	r := nextRecord(s, "2", newPublish(1, newRules(2)))
	r.Offset++
	_, err := s.Apply(r)
	require.ErrorContains(t, err, "expected offset 1")
	_, err = Replay(3, []mslog.Record{{Offset: 3, ID: "x", Data: r.Data}})
	require.ErrorContains(t, err, "no snapshot joins up")
}

func TestAuditBeginsAtTheOldestRecord(t *testing.T) {
	s := &State{}
	var log []mslog.Record
	add := func(id string, c Change) {
		r := nextRecord(s, id, c)
		_, err := s.Apply(r)
		require.NoError(t, err)
		log = append(log, r)
	}
	add("1", NewChange(KindMemberJoin, "a", 0, MemberJoin{Member: newMember("a-1", "a")}))
	add("2", NewSnapshot(s, "a"))
	add("3", NewChange(KindMemberJoin, "b", 0, MemberJoin{Member: newMember("b-1", "b")}))
	add("4", NewSnapshot(s, "a"))
	add("5", newPublish(0, newRules(1)))
	entries, end, err := History{Records: log}.Audit()
	require.NoError(t, err)
	require.Len(t, entries, 5, "a snapshot must not hide the records before it")
	require.Equal(t, s.Checksum(), end.Checksum())
	entries, end, err = History{First: 1, Records: log[1:]}.Audit()
	require.NoError(t, err)
	require.Equal(t, s.Checksum(), end.Checksum())
	require.Len(t, entries, 5)
	require.Contains(t, string(entries[0].Outcome.Change.Body), "a-1", "a member of the first snapshot must be listed")
	require.Contains(t, string(entries[2].Outcome.Change.Body), "b-1")
}

func TestDamagedSnapshotIsPassedOver(t *testing.T) {
	s := &State{}
	r0 := nextRecord(s, "1", newPublish(0, newRules(1)))
	_, err := s.Apply(r0)
	require.NoError(t, err)
	r1 := nextRecord(s, "2", NewSnapshot(s, "test"))
	r1.Data = []byte(strings.Replace(string(r1.Data), `"limit":1`, `"limit":9`, 1))
	_, err = Restore(r1)
	require.ErrorContains(t, err, "checksum")
	_, err = Replay(1, []mslog.Record{r1})
	require.Error(t, err)
	booted, err := Replay(0, []mslog.Record{r0, r1})
	require.NoError(t, err)
	require.Equal(t, 1, booted.Rules.Teams[0].Limit)
}

func newMember(id, name string) Member {
	return Member{ID: id, Name: name, Peer: "127.0.0.1:1"}
}

func TestSecondExcluderOfAViewIsVoid(t *testing.T) {
	s := &State{}
	for _, id := range []string{"a", "b", "c"} {
		applyNext(t, s, id, NewChange(KindMemberJoin, id, 0, MemberJoin{Member: newMember(id, id)}))
	}
	base := s.Epoch
	require.True(t, applyNext(t, s, "x1", NewChange(KindMemberExclude, "a", base, MemberEnd{ID: "b"})).Accepted)
	require.False(t, applyNext(t, s, "x2", NewChange(KindMemberExclude, "b", base, MemberEnd{ID: "a"})).Accepted, "two members must not exclude each other")
	require.Len(t, s.Members, 2)
	require.Equal(t, "b", s.Lost[0].ID)
	require.False(t, applyNext(t, s, "x3", NewChange(KindMemberJoin, "b", 0, MemberJoin{Member: newMember("b", "b")})).Accepted, "an excluded member must join under a new id")
}

// TestFoldAgrees applies random records in order and then boots a second state from
// a random offset. It expects equal states, versions that never decrease,
// withdrawn keys that stay withdrawn, and void records that change nothing.
func TestFoldAgrees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &State{}
		var log []mslog.Record
		withdrawn := make(map[string]bool)
		n := rapid.IntRange(1, 40).Draw(t, "records")
		for range n {
			r := nextRecord(s, fmt.Sprint(rapid.IntRange(0, 60).Draw(t, "id")), drawChange(t, s))
			before := s.Clone()
			out, err := s.Apply(r)
			require.NoError(t, err)
			log = append(log, r)
			require.GreaterOrEqual(t, s.RulesVersion, before.RulesVersion)
			require.GreaterOrEqual(t, s.Epoch, before.Epoch)
			if !out.Accepted {
				requireUnchanged(t, before, s)
			}
			for _, k := range s.Rules.Keys {
				require.False(t, withdrawn[k.ID], "withdrawn key %s was accepted again", k.ID)
			}
			for _, w := range s.Withdrawn {
				withdrawn[w.ID] = true
			}
		}
		first := rapid.IntRange(0, len(log)-1).Draw(t, "first")
		booted, err := Replay(uint64(first), log[first:])
		if err == nil {
			require.Equal(t, s.Checksum(), booted.Checksum())
		} else {
			require.Positive(t, first)
		}
	})
}

// requireUnchanged checks that a void record changed nothing but Next and Seen.
func requireUnchanged(t require.TestingT, before, after *State) {
	b, a := before.Clone(), after.Clone()
	a.Next, a.Seen = b.Next, b.Seen
	require.Equal(t, b.Checksum(), a.Checksum())
}

func drawChange(t *rapid.T, s *State) Change {
	base := s.RulesVersion
	if rapid.IntRange(0, 3).Draw(t, "stale") == 0 {
		base = uint64(rapid.IntRange(0, int(s.Next)).Draw(t, "base"))
	}
	key := rapid.SampledFrom([]string{"k1", "k2", "k3"}).Draw(t, "key")
	id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "member")
	switch rapid.IntRange(0, 8).Draw(t, "kind") {
	case 0:
		return newPublish(base, newRules(rapid.IntRange(1, 9).Draw(t, "limit"), key))
	case 1:
		return newPublish(base, newRules(1))
	case 2:
		return NewChange(KindKeyGive, "test", base, KeyGive{Key: newKey(key)})
	case 3:
		return NewChange(KindKeyWithdraw, "test", base, KeyWithdraw{ID: key})
	case 4:
		return NewChange(KindMemberJoin, "test", 0, MemberJoin{Member: newMember(fmt.Sprint(id, s.Next), id)})
	case 5:
		return NewChange(KindMemberExclude, "test", s.Epoch, MemberEnd{ID: firstMember(s)})
	case 6:
		return NewChange(KindMemberLeave, "test", s.Epoch, MemberEnd{ID: firstMember(s)})
	case 7:
		return NewSnapshot(s, "test")
	default:
		return Change{Kind: "strange", By: "test"}
	}
}

func firstMember(s *State) string {
	if len(s.Members) == 0 {
		return ""
	}
	return s.Members[0].ID
}

func FuzzApply(f *testing.F) {
	f.Add([]byte(`{"kind":"rules-publish","by":"x","body":{"rules":{}}}`))
	f.Add([]byte(`{"kind":"member-join","body":{"member":{"id":"a","name":"a","peer":"x"}}}`))
	f.Add([]byte(`{"kind":"key-give","body":7}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s := &State{}
		applyNext(t, s, "0", newPublish(0, newRules(3, "k1")))
		before := s.Clone()
		out, err := s.Apply(mslog.Record{Offset: s.Next, ID: "f", Data: json.RawMessage(data)})
		require.NoError(t, err)
		require.Equal(t, before.Next+1, s.Next)
		if !out.Accepted {
			requireUnchanged(t, before, s)
		}
	})
}
