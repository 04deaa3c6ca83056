package msoperator

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjoramspan/msaccount"
	"marjoramspan/msentry"
	"marjoramspan/msrule"
	"marjoramspan/msstate"
)

func TestLostToNamesTheChangeThatWasFirst(t *testing.T) {
	publish := func(by string, base uint64) msstate.Change {
		return msstate.NewChange(msstate.KindRulesPublish, by, base, msstate.RulesPublish{Rules: msrule.Set{}})
	}
	entry := func(c msstate.Change, version uint64, accepted bool) msstate.AuditRecord {
		return msstate.AuditRecord{Outcome: msstate.Outcome{Change: c, Version: version, Accepted: accepted}}
	}
	give := msstate.NewChange(msstate.KindKeyGive, "giver", 3, msstate.KeyGive{})
	entries := []msstate.AuditRecord{
		entry(publish("earlier", 2), 3, true),
		entry(publish("void", 3), 4, false),
		entry(give, 5, true),
		entry(publish("winner", 3), 6, true),
		entry(publish("later", 6), 7, true),
	}
	require.Equal(t, "; winner was first", lostTo(entries, publish("me", 3)))
	require.Empty(t, lostTo(entries, publish("me", 7)), "nobody was first")
}

func TestRunsFollowTheView(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var entries []msstate.AuditRecord
	add := func(kind msstate.Kind, body any, accepted bool) {
		at := start.Add(time.Duration(len(entries)) * time.Minute)
		c := msstate.NewChange(kind, "test", 0, body)
		entries = append(entries, msstate.AuditRecord{Time: at, Outcome: msstate.Outcome{Change: c, Accepted: accepted}})
	}
	join := func(id string) msstate.MemberJoin { return msstate.MemberJoin{Member: msstate.Member{ID: id}} }
	add(msstate.KindMemberJoin, join("entry-0-aaaaaaaa"), true)
	add(msstate.KindMemberJoin, join("entry-1-bbbbbbbb"), true)
	add(msstate.KindMemberJoin, join("entry-2-cccccccc"), false)
	add(msstate.KindMemberLeave, msstate.MemberEnd{ID: "entry-0-aaaaaaaa"}, true)
	add(msstate.KindMemberJoin, join("entry-1-dddddddd"), true)
	add(msstate.KindMemberExclude, msstate.MemberEnd{ID: "entry-1-dddddddd"}, false)
	s := &msstate.State{Members: []msstate.Member{{ID: "entry-1-dddddddd"}}}
	minute := func(n int) time.Time { return start.Add(time.Duration(n) * time.Minute) }
	require.Equal(t, []msaccount.ActivePeriod{
		{Member: "entry-0-aaaaaaaa", From: minute(0), To: minute(3)},
		{Member: "entry-1-bbbbbbbb", From: minute(1), To: minute(4)},
		{Member: "entry-1-dddddddd", From: minute(4)},
	}, runs(entries, s))
}

func TestRunsOfARecordThatCannotBeRead(t *testing.T) {
	c := msstate.Change{Kind: msstate.KindMemberJoin, Body: json.RawMessage(`"x"`)}
	e := msstate.AuditRecord{Outcome: msstate.Outcome{Change: c, Accepted: true}}
	require.Empty(t, runs([]msstate.AuditRecord{e}, &msstate.State{}))
}

func TestInForceCountsWhoActsOnTheVersion(t *testing.T) {
	status := func(id string, next uint64) EntryStatus {
		return EntryStatus{Member: msstate.Member{ID: id}, Status: &msentry.Status{Next: next}}
	}
	silent := EntryStatus{Member: msstate.Member{ID: "silent"}, Error: "no answer"}
	got := inForce(7, []EntryStatus{status("at", 7), status("before", 6), status("after", 9), silent})
	require.Equal(t, InForce{Version: 7, Entries: 4, Have: 2, Behind: []string{"before", "silent"}}, got)
}
