package msrule

import (
	"fmt"
	"slices"
	"time"
)

// Limits of rule fields.
const (
	// MaxSlots is the maximum number of slots of a VM.
	MaxSlots = 1024
	// MaxCount is the maximum of all other integer fields, except percentages.
	MaxCount = 1 << 30
	// MaxDeadline is the maximum deadline of a queue.
	MaxDeadline = 24 * time.Hour
	// MaxNameLength is the maximum length of a name, in characters.
	MaxNameLength = 63
	// digestDigits is the number of hexadecimal digits of a SHA-256 digest.
	digestDigits = 64
	maxPercent   = 100
)

// Check validates a set: field ranges, names, comments, duplicates and references
// between rules. On failure it returns Errors with every error in the set.
func Check(s Set) error {
	c := checker{set: s}
	c.check()
	return c.errs.errorOrNil()
}

// checker collects the errors of a set. Only Parse sets file, positions and
// invalidFields.
type checker struct {
	set           Set
	file          string
	positions     map[ruleIndex]position
	invalidFields map[lineField]bool
	errs          Errors

	// names, digests and spare hold the first rule with each name, each digest
	// and spare=yes. Later ones are reported as duplicates.
	names   map[ruleID]rule
	digests map[string]Key
	spare   *Pool
	// sortedNames caches the sorted names of each kind. knownNames fills it on
	// demand.
	sortedNames map[string][]string
}

func (c *checker) check() {
	c.names = map[ruleID]rule{}
	c.digests = map[string]Key{}
	c.sortedNames = map[string][]string{}
	c.checkNames()
	for i, d := range c.set.DataCentres {
		c.ruleChecker(d.rule(), i).checkName("region", d.Region)
	}
	for i, p := range c.set.Pools {
		c.checkPool(i, p)
	}
	for i, v := range c.set.VMs {
		c.ruleChecker(v.rule(), i).checkRef(kindPool, v.Pool)
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

// ruleChecker reports the errors of one rule.
type ruleChecker struct {
	c     *checker
	rule  rule
	index int
}

// ruleChecker returns a checker for r, which has the given index among the rules
// of its kind.
func (c *checker) ruleChecker(r rule, index int) ruleChecker {
	return ruleChecker{c, r, index}
}

// addError records an error in a field, unless Parse has already reported the
// field.
func (s ruleChecker) addError(field, reason, want string) {
	e := Error{
		File: s.c.file, Line: s.rule.origin.Line, Rule: s.rule.kind + " " + s.rule.name,
		Field: field, Reason: reason, Want: want,
	}
	if s.c.invalidFields[lineField{e.Line, field}] {
		return
	}
	e.Column = s.c.positions[ruleIndex{s.rule.kind, s.index}].column(field)
	s.c.errs = append(s.c.errs, e)
}

// checkRange reports an error if n is not between low and high, inclusive.
func (s ruleChecker) checkRange(field string, n, low, high int) {
	if n < low || n > high {
		s.addError(field, fmt.Sprintf("%d is out of range", n), fmt.Sprintf("want %d to %d", low, high))
	}
}

// checkRef reports an error if the field named kind refers to a rule that doesn't
// exist.
func (s ruleChecker) checkRef(kind, name string) {
	s.checkFieldRef(kind, kind, name)
}

// checkFieldRef reports an error if field refers to a rule that doesn't exist.
func (s ruleChecker) checkFieldRef(field, kind, name string) {
	if _, ok := s.c.names[ruleID{kind, name}]; !ok {
		s.addError(field, fmt.Sprintf("there is no %s %q", kind, name), Suggest(name, s.c.knownNames(kind)))
	}
}

// knownNames returns the sorted names of all rules of a kind.
func (c *checker) knownNames(kind string) []string {
	if names, ok := c.sortedNames[kind]; ok {
		return names
	}
	var names []string
	for id := range c.names {
		if id.kind == kind && id.name != "" {
			names = append(names, id.name)
		}
	}
	slices.Sort(names)
	c.sortedNames[kind] = names
	return names
}

func (c *checker) checkPool(i int, p Pool) {
	s := c.ruleChecker(p.rule(), i)
	s.checkRange("size", p.Size, 0, MaxCount)
	s.checkRange("slots", p.Slots, 1, MaxSlots)
	s.checkRange("connections", p.Connections, max(p.Slots, 1), MaxCount)
	s.checkRange("available", p.Available, 0, maxPercent)
	switch {
	case p.Spare && c.spare == nil:
		c.spare = &p
	case p.Spare:
		s.addError("spare", "pool "+c.spare.Name+" is the spare pool already", "want at most one spare pool")
	}
}

func (c *checker) checkTeam(i int, t Team) {
	s := c.ruleChecker(t.rule(), i)
	s.checkRange("share", t.Share, 1, MaxCount)
	s.checkRange("limit", t.Limit, 1, MaxCount)
	if t.Name == allTeams {
		s.addError(fieldName, "the name all is reserved for teams=all", "want another name")
	}
}

func (c *checker) checkQueue(i int, q Queue) {
	s := c.ruleChecker(q.rule(), i)
	s.checkRef(kindPool, q.Pool)
	if c.spare != nil && c.spare.Name == q.Pool {
		s.addError("pool", "pool "+q.Pool+" is the spare pool", "want a pool that serves queues")
	}
	s.checkTeams(q.Teams)
	if q.Open && len(q.Teams) != 1 {
		s.addError("open", fmt.Sprintf("an open queue is counted for one team, not %d", len(q.Teams)), "want teams= with one team")
	}
	if q.Deadline <= 0 || q.Deadline > MaxDeadline {
		s.addError("deadline", fmt.Sprintf("%s is out of range", q.Deadline), fmt.Sprintf("want more than 0s, up to %s", MaxDeadline))
	}
}

// checkTeams reports an error if a queue has no team, and for each unknown or
// duplicate team.
func (s ruleChecker) checkTeams(teams []string) {
	if len(teams) == 0 {
		s.addError("teams", "the queue has no team", "want at least one team")
	}
	given := map[string]bool{}
	for _, t := range teams {
		s.checkFieldRef("teams", kindTeam, t)
		if given[t] {
			s.addError("teams", fmt.Sprintf("team %q is given twice", t), "give it once")
		}
		given[t] = true
	}
}

func (c *checker) checkKey(i int, k Key) {
	s := c.ruleChecker(k.rule(), i)
	s.checkRef(kindTeam, k.Team)
	s.checkDigest(k.Digest)
	if before, ok := c.digests[k.Digest]; ok {
		s.addError("digest", "key "+before.ID+" has this digest already"+onLine(before.rule()), "want a secret of its own for each key")
		return
	}
	c.digests[k.Digest] = k
}
