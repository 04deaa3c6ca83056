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

// The detail must not name a rejected change, one of another kind or one on another base.
func TestConflictDetailNamesAuthorOfAcceptedChange(t *testing.T) {
	publish := func(by string, base uint64) msstate.Change {
		return msstate.NewChange(msstate.KindRulesPublish, by, base, msstate.RulesPublish{Rules: msrule.Set{}})
	}
	auditRecord := func(c msstate.Change, version uint64, accepted bool) msstate.AuditRecord {
		return msstate.AuditRecord{Outcome: msstate.Outcome{Change: c, Version: version, Accepted: accepted}}
	}
	give := msstate.NewChange(msstate.KindKeyGive, "giver", 3, msstate.KeyGive{})
	records := []msstate.AuditRecord{
		auditRecord(publish("earlier", 2), 3, true),
		auditRecord(publish("void", 3), 4, false),
		auditRecord(give, 5, true),
		auditRecord(publish("winner", 3), 6, true),
		auditRecord(publish("later", 6), 7, true),
	}
	require.Equal(t, "; winner was first", conflictDetail(records, publish("me", 3)))
	require.Empty(t, conflictDetail(records, publish("me", 7)), "no change was accepted on the same base")
}

// A period ends when its member leaves or the same entry joins again as a new member.
// Rejected records neither start nor end a period.
func TestActivePeriodsFollowMembershipChanges(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var records []msstate.AuditRecord
	add := func(kind msstate.Kind, body any, accepted bool) {
		at := start.Add(time.Duration(len(records)) * time.Minute)
		c := msstate.NewChange(kind, "test", 0, body)
		records = append(records, msstate.AuditRecord{Time: at, Outcome: msstate.Outcome{Change: c, Accepted: accepted}})
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
	}, activePeriods(records, s))
}

func TestActivePeriodsSkipUndecodableRecord(t *testing.T) {
	c := msstate.Change{Kind: msstate.KindMemberJoin, Body: json.RawMessage(`"x"`)}
	e := msstate.AuditRecord{Outcome: msstate.Outcome{Change: c, Accepted: true}}
	require.Empty(t, activePeriods([]msstate.AuditRecord{e}, &msstate.State{}))
}

func TestCountInForceComparesAppliedOffsets(t *testing.T) {
	status := func(id string, next uint64) EntryStatus {
		return EntryStatus{Member: msstate.Member{ID: id}, Status: &msentry.Status{Next: next}}
	}
	silent := EntryStatus{Member: msstate.Member{ID: "silent"}, Error: "no answer"}
	got := countInForce(7, []EntryStatus{status("at", 7), status("before", 6), status("after", 9), silent})
	require.Equal(t, InForce{Version: 7, Entries: 4, Applied: 2, Behind: []string{"before", "silent"}}, got)
}
