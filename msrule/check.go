package msrule

import (
	"fmt"
	"slices"
	"time"
)

// Ranges of the fields of rules.
const (
	// MaxSlots is the most requests that one VM may run at a time.
	MaxSlots = 1024
	// MaxCount is the largest of all other numbers.
	MaxCount = 1 << 30
	// MaxDeadline is the longest deadline of a queue.
	MaxDeadline = 24 * time.Hour
	// MaxName is the longest name, in characters.
	MaxName = 63
	// digestDigits is the length of a SHA-256 in hexadecimal.
	digestDigits = 64
	percent      = 100
)

// Check reports what is wrong with a set: fields out of range, duplicate names
// and references to rules that aren't there. Its error is Errors, with all the
// faults.
func Check(s Set) error {
	c := checker{set: s}
	c.check()
	return c.errs.orNil()
}

// checker collects the faults of a set. A file and the places of its rules are
// known only to Parse.
type checker struct {
	set    Set
	file   string
	places map[ruleIndex]place
	faulty map[lineField]bool
	errs   Errors

	// names, digests and spare are the first rules that hold them.
	names   map[ruleID]rule
	digests map[string]Key
	spare   *Pool
	// sorted are the names of a kind, once a fault has asked for them.
	sorted map[string][]string
}

func (c *checker) check() {
	c.names = map[ruleID]rule{}
	c.digests = map[string]Key{}
	c.sorted = map[string][]string{}
	c.checkNames()
	for i, d := range c.set.DataCentres {
		c.subject(d.rule(), i).checkName("region", d.Region)
	}
	for i, p := range c.set.Pools {
		c.checkPool(i, p)
	}
	for i, v := range c.set.VMs {
		c.subject(v.rule(), i).refers(kindPool, v.Pool)
	}
	for i, t := range c.set.Teams {
		c.checkTeam(i, t)
	}
	for i, q := range c.set.Queues {
		c.checkQueue(i, q)
	}
	for i, k := range c.set.Keys {
		c.checkKey(i, k)
	}
}

// subject is a rule under check.
type subject struct {
	c      *checker
	rule   rule
	number int
}

// subject returns the rule of that kind's index for reporting.
func (c *checker) subject(r rule, index int) subject {
	return subject{c, r, index}
}

// fault reports a field of the rule, unless Parse could not read it.
func (s subject) fault(field, reason, want string) {
	e := Error{
		File: s.c.file, Line: s.rule.origin.Line, Rule: s.rule.kind + " " + s.rule.name,
		Field: field, Reason: reason, Want: want,
	}
	if s.c.faulty[lineField{e.Line, field}] {
		return
	}
	e.Column = s.c.places[ruleIndex{s.rule.kind, s.number}].column(field)
	s.c.errs = append(s.c.errs, e)
}

// between reports a number that is out of range.
func (s subject) between(field string, n, low, high int) {
	if n < low || n > high {
		s.fault(field, fmt.Sprintf("%d is out of range", n), fmt.Sprintf("want %d to %d", low, high))
	}
}

// refers reports a reference to a rule that isn't there.
func (s subject) refers(kind, name string) {
	s.refersFrom(kind, kind, name)
}

// refersFrom reports a field that refers to a rule that isn't there.
func (s subject) refersFrom(field, kind, name string) {
	if _, ok := s.c.names[ruleID{kind, name}]; !ok {
		s.fault(field, fmt.Sprintf("there is no %s %q", kind, name), Suggest(name, s.c.known(kind)))
	}
}

// known returns the sorted names of a kind's rules.
func (c *checker) known(kind string) []string {
	if names, ok := c.sorted[kind]; ok {
		return names
	}
	var names []string
	for id := range c.names {
		if id.kind == kind && id.name != "" {
			names = append(names, id.name)
		}
	}
	slices.Sort(names)
	c.sorted[kind] = names
	return names
}

func (c *checker) checkPool(i int, p Pool) {
	s := c.subject(p.rule(), i)
	s.between("size", p.Size, 0, MaxCount)
	s.between("slots", p.Slots, 1, MaxSlots)
	s.between("connections", p.Connections, max(p.Slots, 1), MaxCount)
	s.between("available", p.Available, 0, percent)
	switch {
	case p.Spare && c.spare == nil:
		c.spare = &p
	case p.Spare:
		s.fault("spare", "pool "+c.spare.Name+" is the spare pool already", "want one spare pool at most")
	}
}

func (c *checker) checkTeam(i int, t Team) {
	s := c.subject(t.rule(), i)
	s.between("share", t.Share, 1, MaxCount)
	s.between("limit", t.Limit, 1, MaxCount)
	if t.Name == allTeams {
		s.fault(fieldName, "the name all stands for every team", "want another name")
	}
}

func (c *checker) checkQueue(i int, q Queue) {
	s := c.subject(q.rule(), i)
	s.refers(kindPool, q.Pool)
	if c.spare != nil && c.spare.Name == q.Pool {
		s.fault("pool", "pool "+q.Pool+" is the spare pool", "want a pool that serves queues")
	}
	s.checkTeams(q.Teams)
	if q.Open && len(q.Teams) != 1 {
		s.fault("open", fmt.Sprintf("an open queue is counted for one team, not %d", len(q.Teams)), "want teams= with one team")
	}
	if q.Deadline <= 0 || q.Deadline > MaxDeadline {
		s.fault("deadline", fmt.Sprintf("%s is out of range", q.Deadline), fmt.Sprintf("want more than 0s, up to %s", MaxDeadline))
	}
}

// checkTeams reports teams of a queue that are missing, unknown or doubled.
func (s subject) checkTeams(teams []string) {
	if len(teams) == 0 {
		s.fault("teams", "the queue has no team", "want one team or more")
	}
	given := map[string]bool{}
	for _, t := range teams {
		s.refersFrom("teams", kindTeam, t)
		if given[t] {
			s.fault("teams", fmt.Sprintf("team %q is given twice", t), "give it once")
		}
		given[t] = true
	}
}

func (c *checker) checkKey(i int, k Key) {
	s := c.subject(k.rule(), i)
	s.refers(kindTeam, k.Team)
	s.checkDigest(k.Digest)
	if before, ok := c.digests[k.Digest]; ok {
		s.fault("digest", "key "+before.ID+" has this digest already"+onLine(before.rule()), "want a secret of its own for each key")
		return
	}
	c.digests[k.Digest] = k
}
