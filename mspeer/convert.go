package mspeer

import (
	"time"

	"marjoramspan/mslog"
	"marjoramspan/msmember"
	"marjoramspan/msrule"
	"marjoramspan/msteam"
	"marjoramspan/mstoken"
)

// FromStatus converts st to a protobuf message. A ProofAgeNs of -1 means that the
// member has no proof.
func FromStatus(st msmember.Status) *Status {
	m := &Status{
		Member:     st.Member,
		Epoch:      st.Epoch,
		Next:       st.Next,
		ProofAgeNs: -1,
		Cut:        st.CutOff,
		Unlogged:   uint32(st.Unlogged),

		UnloggedOld: uint32(st.UnloggedOld),
		Hears:       st.HeardMembers,
	}
	if st.HasProof {
		m.ProofAgeNs = int64(st.ProofAge)
	}
	return m
}

// ToStatus converts a protobuf message to the status of its sender.
func ToStatus(m *Status) msmember.Status {
	return msmember.Status{
		Member:   m.GetMember(),
		Epoch:    m.GetEpoch(),
		Next:     m.GetNext(),
		ProofAge: time.Duration(m.GetProofAgeNs()),
		HasProof: m.GetProofAgeNs() >= 0,
		CutOff:   m.GetCut(),
		Unlogged: int(m.GetUnlogged()),

		UnloggedOld:  int(m.GetUnloggedOld()),
		HeardMembers: m.GetHears(),
	}
}

// PoolUsage is one team's usage of one pool.
type PoolUsage struct {
	Pool  string
	Usage msteam.Usage
}

// NameIndex maps teams and pools to their indexes in one version of the rules, so that
// heartbeats carry indexes in place of names.
type NameIndex struct {
	Teams, Pools []string
	teams, pools map[string]int
}

// NewNameIndex indexes the teams and pools of rules.
func NewNameIndex(rules msrule.Set) *NameIndex {
	n := &NameIndex{teams: make(map[string]int), pools: make(map[string]int)}
	for i, t := range rules.Teams {
		n.Teams = append(n.Teams, t.Name)
		n.teams[t.Name] = i
	}
	for i, p := range rules.Pools {
		n.Pools = append(n.Pools, p.Name)
		n.pools[p.Name] = i
	}
	return n
}

// FromUsage converts usage to protobuf messages. It omits teams and pools that are
// not in names.
func FromUsage(us []PoolUsage, names *NameIndex) []*Use {
	ms := make([]*Use, 0, len(us))
	for _, u := range us {
		team, teamFound := names.teams[u.Usage.Team]
		pool, poolFound := names.pools[u.Pool]
		if !teamFound || !poolFound {
			continue
		}
		ms = append(ms, &Use{
			Team:    uint32(team),
			Pool:    uint32(pool),
			SlotMs:  u.Usage.SlotTime.Milliseconds(),
			Running: int32(u.Usage.Running),
			Waiting: int32(u.Usage.Waiting),
		})
	}
	return ms
}

// ToUsage converts protobuf messages to usage. It omits messages whose team or pool
// index is out of range.
func ToUsage(ms []*Use, names *NameIndex) []PoolUsage {
	us := make([]PoolUsage, 0, len(ms))
	for _, m := range ms {
		if int(m.GetPool()) >= len(names.Pools) || int(m.GetTeam()) >= len(names.Teams) {
			continue
		}
		us = append(us, PoolUsage{Pool: names.Pools[m.GetPool()], Usage: msteam.Usage{
			Team:     names.Teams[m.GetTeam()],
			SlotTime: time.Duration(m.GetSlotMs()) * time.Millisecond,
			Running:  int(m.GetRunning()),
			Waiting:  int(m.GetWaiting()),
		}})
	}
	return us
}

// FromItems converts the items of a token exchange to protobuf messages.
func FromItems(items []mstoken.Item) []*Item {
	ms := make([]*Item, 0, len(items))
	for _, i := range items {
		ms = append(ms, &Item{
			Resource: i.Resource,
			Epoch:    i.Gen.Epoch,
			Version:  i.Gen.Version,
			Seq:      i.Seq,
			Held:     int32(i.Held),
			Want:     int32(i.Want),
			Ceiling:  int32(i.Ceiling),
			Call:     i.Call,
			Recall:   int32(i.Recall),
			Due:      entitlementField(i),
		})
	}
	return ms
}

// entitlementField returns nil if the item has no entitlement, so that the optional
// field stays unset.
func entitlementField(i mstoken.Item) *int32 {
	if !i.HasEntitlement {
		return nil
	}
	due := int32(i.Entitlement)
	return &due
}

// ToItems converts protobuf messages to the items of a token exchange.
func ToItems(ms []*Item) []mstoken.Item {
	items := make([]mstoken.Item, 0, len(ms))
	for _, m := range ms {
		items = append(items, mstoken.Item{
			Resource:       m.GetResource(),
			Gen:            mstoken.Generation{Epoch: m.GetEpoch(), Version: m.GetVersion()},
			Seq:            m.GetSeq(),
			Held:           int(m.GetHeld()),
			Want:           int(m.GetWant()),
			Ceiling:        int(m.GetCeiling()),
			Call:           m.GetCall(),
			Recall:         int(m.GetRecall()),
			Entitlement:    int(m.GetDue()),
			HasEntitlement: m.Due != nil,
		})
	}
	return items
}

// FromGrants converts the grants of a resource's home to protobuf messages.
func FromGrants(grants []mstoken.Grant) []*Gift {
	ms := make([]*Gift, 0, len(grants))
	for _, g := range grants {
		ms = append(ms, &Gift{
			Resource: g.Resource,
			Epoch:    g.Gen.Epoch,
			Version:  g.Gen.Version,
			Seq:      g.Seq,
			N:        int32(g.Granted),
			Refused:  g.Refused,
			Recall:   int32(g.Recall),
			Settled:  g.Settled,
			Tight:    g.Contended,
			Ceiling:  int32(g.Ceiling),
		})
	}
	return ms
}

// ToGrants converts protobuf messages to the grants of a resource's home.
func ToGrants(ms []*Gift) []mstoken.Grant {
	grants := make([]mstoken.Grant, 0, len(ms))
	for _, m := range ms {
		grants = append(grants, mstoken.Grant{
			Resource:  m.GetResource(),
			Gen:       mstoken.Generation{Epoch: m.GetEpoch(), Version: m.GetVersion()},
			Seq:       m.GetSeq(),
			Granted:   int(m.GetN()),
			Refused:   m.GetRefused(),
			Recall:    int(m.GetRecall()),
			Settled:   m.GetSettled(),
			Contended: m.GetTight(),
			Ceiling:   int(m.GetCeiling()),
		})
	}
	return grants
}

// FromRecords converts log records to protobuf messages.
func FromRecords(rs []mslog.Record) []*StateRecord {
	ms := make([]*StateRecord, 0, len(rs))
	for _, r := range rs {
		ms = append(ms, &StateRecord{Offset: r.Offset, TimeUnixNano: r.Time.UnixNano(), Id: r.ID, Data: r.Data})
	}
	return ms
}

// ToRecords converts protobuf messages to log records.
func ToRecords(ms []*StateRecord) []mslog.Record {
	rs := make([]mslog.Record, 0, len(ms))
	for _, m := range ms {
		rs = append(rs, mslog.Record{
			Offset: m.GetOffset(),
			Time:   time.Unix(0, m.GetTimeUnixNano()).UTC(),
			ID:     m.GetId(),
			Data:   m.GetData(),
		})
	}
	return rs
}
