package mspeer

import (
	"time"

	"marjoramspan/mslog"
	"marjoramspan/msmember"
	"marjoramspan/msrule"
	"marjoramspan/msteam"
	"marjoramspan/mstoken"
)

// FromStatus returns st as a message.
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

// ToStatus returns the message as what its sender knows.
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

// PoolUse is what one team uses of one pool.
type PoolUse struct {
	Pool string
	Use  msteam.Usage
}

// Names gives teams and pools by their places in one version of the rules, so
// that heartbeats need not spell them.
type Names struct {
	Teams, Pools []string
	teams, pools map[string]int
}

// NewNames returns the names of rules.
func NewNames(rules msrule.Set) *Names {
	n := &Names{teams: make(map[string]int), pools: make(map[string]int)}
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

// FromUses returns the use of teams as messages. What the rules don't name is
// left out.
func FromUses(us []PoolUse, names *Names) []*Use {
	ms := make([]*Use, 0, len(us))
	for _, u := range us {
		team, known := names.teams[u.Use.Team]
		pool, owned := names.pools[u.Pool]
		if !known || !owned {
			continue
		}
		ms = append(ms, &Use{
			Team:    uint32(team),
			Pool:    uint32(pool),
			SlotMs:  u.Use.SlotTime.Milliseconds(),
			Running: int32(u.Use.Running),
			Waiting: int32(u.Use.Waiting),
		})
	}
	return ms
}

// ToUses returns the messages as the use of teams.
func ToUses(ms []*Use, names *Names) []PoolUse {
	us := make([]PoolUse, 0, len(ms))
	for _, m := range ms {
		if int(m.GetPool()) >= len(names.Pools) || int(m.GetTeam()) >= len(names.Teams) {
			continue
		}
		us = append(us, PoolUse{Pool: names.Pools[m.GetPool()], Use: msteam.Usage{
			Team:     names.Teams[m.GetTeam()],
			SlotTime: time.Duration(m.GetSlotMs()) * time.Millisecond,
			Running:  int(m.GetRunning()),
			Waiting:  int(m.GetWaiting()),
		}})
	}
	return us
}

// FromItems returns the items of an exchange as messages.
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
			Due:      fromDue(i),
		})
	}
	return ms
}

func fromDue(i mstoken.Item) *int32 {
	if !i.HasEntitlement {
		return nil
	}
	due := int32(i.Entitlement)
	return &due
}

// ToItems returns the messages as items of an exchange.
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

// FromGifts returns the gifts of a home as messages.
func FromGifts(gifts []mstoken.Grant) []*Gift {
	ms := make([]*Gift, 0, len(gifts))
	for _, g := range gifts {
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

// ToGifts returns the messages as gifts of a home.
func ToGifts(ms []*Gift) []mstoken.Grant {
	gifts := make([]mstoken.Grant, 0, len(ms))
	for _, m := range ms {
		gifts = append(gifts, mstoken.Grant{
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
	return gifts
}

// FromRecords returns log records as messages.
func FromRecords(rs []mslog.Record) []*StateRecord {
	ms := make([]*StateRecord, 0, len(rs))
	for _, r := range rs {
		ms = append(ms, &StateRecord{Offset: r.Offset, TimeUnixNano: r.Time.UnixNano(), Id: r.ID, Data: r.Data})
	}
	return ms
}

// ToRecords returns the messages as log records.
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
