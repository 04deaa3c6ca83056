package msrule

import (
	"strconv"
	"strings"
)

// The kinds of rules, in the order in which Format writes them.
const (
	kindDataCentre = "data-centre"
	kindPool       = "pool"
	kindVM         = "vm"
	kindTeam       = "team"
	kindQueue      = "queue"
	kindKey        = "key"
)

// rule is the textual form of a rule, which Format writes and Diff compares.
type rule struct {
	kind   string
	name   string
	fields []field
	origin Origin
}

// field is a key=value pair of a rule. Fields with omit set have their default
// value and are left out of the rule's text.
type field struct {
	name  string
	value string
	omit  bool
}

// definition returns the rule's line without its comment.
func (r rule) definition() string {
	parts := []string{r.kind, r.name}
	for _, f := range r.fields {
		if !f.omit {
			parts = append(parts, f.name+"="+f.value)
		}
	}
	return strings.Join(parts, " ")
}

// String returns the rule's line with its comment.
func (r rule) String() string {
	return r.definition() + "  # " + r.origin.AskedBy
}

// rules returns the set's rules grouped by kind, in the order of the set within
// each kind.
func (s Set) rules() []rule {
	var rules []rule
	for _, d := range s.DataCentres {
		rules = append(rules, d.rule())
	}
	for _, p := range s.Pools {
		rules = append(rules, p.rule())
	}
	for _, v := range s.VMs {
		rules = append(rules, v.rule())
	}
	for _, t := range s.Teams {
		rules = append(rules, t.rule())
	}
	for _, q := range s.Queues {
		rules = append(rules, q.rule())
	}
	for _, k := range s.Keys {
		rules = append(rules, k.rule())
	}
	return rules
}

func (d DataCentre) rule() rule {
	return rule{kindDataCentre, d.Name, []field{
		{name: "region", value: d.Region},
	}, d.Origin}
}

func (p Pool) rule() rule {
	return rule{kindPool, p.Name, []field{
		{name: "size", value: strconv.Itoa(p.Size)},
		{name: "slots", value: strconv.Itoa(p.Slots)},
		{name: "connections", value: strconv.Itoa(p.Connections)},
		{name: "available", value: strconv.Itoa(p.Available) + "%"},
		{name: "spare", value: yesNo(p.Spare), omit: !p.Spare},
	}, p.Origin}
}

func (v VM) rule() rule {
	return rule{kindVM, v.Name, []field{
		{name: "pool", value: v.Pool},
	}, v.Origin}
}

func (t Team) rule() rule {
	return rule{kindTeam, t.Name, []field{
		{name: "share", value: strconv.Itoa(t.Share)},
		{name: "limit", value: strconv.Itoa(t.Limit)},
	}, t.Origin}
}

func (q Queue) rule() rule {
	return rule{kindQueue, q.Name, []field{
		{name: "pool", value: q.Pool},
		{name: "teams", value: strings.Join(q.Teams, ",")},
		{name: "open", value: yesNo(q.Open), omit: !q.Open},
		{name: "idempotent", value: yesNo(q.Idempotent)},
		{name: "urgent", value: yesNo(q.Urgent), omit: !q.Urgent},
		{name: "deadline", value: q.Deadline.String()},
	}, q.Origin}
}

func (k Key) rule() rule {
	return rule{kindKey, k.ID, []field{
		{name: "team", value: k.Team},
		{name: "digest", value: k.Digest},
	}, k.Origin}
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
