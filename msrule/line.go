package msrule

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// DefaultDeadline is the deadline of a queue whose rule doesn't set one.
const DefaultDeadline = 10 * time.Second

// ruleKind holds the field names of a kind of rule and the function that parses
// its lines.
type ruleKind struct {
	fields []string
	parse  func(l *lineParser)
}

var ruleKinds = map[string]ruleKind{
	kindDataCentre: {[]string{"region"}, (*lineParser).dataCentre},
	kindPool:       {[]string{"size", "slots", "connections", "available", "spare"}, (*lineParser).pool},
	kindVM:         {[]string{"pool"}, (*lineParser).vm},
	kindTeam:       {[]string{"share", "limit"}, (*lineParser).team},
	kindQueue:      {[]string{"pool", "teams", "open", "idempotent", "urgent", "deadline"}, (*lineParser).queue},
	kindKey:        {[]string{"team", "digest"}, (*lineParser).key},
}

// lineParser parses the tokens of one line into a rule.
type lineParser struct {
	p        *parser
	line     int
	origin   Origin
	name     string
	values   map[string]string
	position position
}

// parse adds the rule of the line to the set. It does so even if some fields are
// invalid, so that references to the rule aren't reported as errors too.
func (l *lineParser) parse(tokens []token) {
	k, ok := ruleKinds[tokens[0].text]
	if !ok {
		known := slices.Sorted(maps.Keys(ruleKinds))
		l.errorAt(tokens[0].column, fieldKind, fmt.Sprintf("%q is no kind of rule", tokens[0].text), Suggest(tokens[0].text, known))
		return
	}
	l.position = position{l.line, map[string]int{fieldKind: tokens[0].column}}
	l.values = map[string]string{}
	tokens = tokens[1:]
	if len(tokens) == 0 || strings.Contains(tokens[0].text, "=") {
		l.errorAt(l.position.column(fieldName), fieldName, "the rule has no name", "want the name after the kind")
	} else {
		l.name = tokens[0].text
		l.position.columns[fieldName] = tokens[0].column
		tokens = tokens[1:]
	}
	for _, t := range tokens {
		l.parseField(t, k.fields)
	}
	k.parse(l)
}

// parseField stores the value of a key=value token.
func (l *lineParser) parseField(t token, known []string) {
	name, value, ok := strings.Cut(t.text, "=")
	switch {
	case !ok || name == "":
		l.errorAt(t.column, fieldLine, fmt.Sprintf("%q is no field", t.text), "want key=value")
	case !slices.Contains(known, name):
		l.errorAt(t.column, name, "unknown field", Suggest(name, known))
	case l.position.columns[name] != 0:
		l.errorAt(t.column, name, "the field is given twice", "give it once")
	default:
		l.position.columns[name] = t.column
		l.values[name] = value
	}
}

func (l *lineParser) errorAt(column int, field, reason, want string) {
	l.p.addError(l.line, column, field, reason, want)
}

// recordPosition stores the rule's position for the errors of the checker.
func (l *lineParser) recordPosition(kind string, index int) {
	l.p.positions[ruleIndex{kind, index}] = l.position
}

func (l *lineParser) dataCentre() {
	s := &l.p.set
	l.recordPosition(kindDataCentre, len(s.DataCentres))
	s.DataCentres = append(s.DataCentres, DataCentre{Name: l.name, Region: l.requiredText("region"), Origin: l.origin})
}

func (l *lineParser) pool() {
	s := &l.p.set
	l.recordPosition(kindPool, len(s.Pools))
	s.Pools = append(s.Pools, Pool{
		Name:        l.name,
		Size:        l.requiredInt("size"),
		Slots:       l.requiredInt("slots"),
		Connections: l.requiredInt("connections"),
		Available:   l.requiredPercent("available"),
		Spare:       l.yesNo("spare"),
		Origin:      l.origin,
	})
}

func (l *lineParser) vm() {
	s := &l.p.set
	l.recordPosition(kindVM, len(s.VMs))
	s.VMs = append(s.VMs, VM{Name: l.name, Pool: l.requiredText("pool"), Origin: l.origin})
}

func (l *lineParser) team() {
	s := &l.p.set
	l.recordPosition(kindTeam, len(s.Teams))
	s.Teams = append(s.Teams, Team{Name: l.name, Share: l.requiredInt("share"), Limit: l.requiredInt("limit"), Origin: l.origin})
}

func (l *lineParser) queue() {
	s := &l.p.set
	l.recordPosition(kindQueue, len(s.Queues))
	s.Queues = append(s.Queues, Queue{
		Name:       l.name,
		Pool:       l.requiredText("pool"),
		Teams:      strings.Split(l.requiredText("teams"), ","),
		Open:       l.yesNo("open"),
		Idempotent: l.yesNo("idempotent"),
		Urgent:     l.yesNo("urgent"),
		Deadline:   l.duration("deadline", DefaultDeadline),
		Origin:     l.origin,
	})
}

func (l *lineParser) key() {
	s := &l.p.set
	l.recordPosition(kindKey, len(s.Keys))
	s.Keys = append(s.Keys, Key{ID: l.name, Team: l.requiredText("team"), Digest: l.requiredText("digest"), Origin: l.origin})
}

// requiredText returns the value of a required field.
func (l *lineParser) requiredText(name string) string {
	value, ok := l.values[name]
	if !ok {
		l.errorAt(l.position.column(name), name, "the field is missing", "give "+name+"=")
		return ""
	}
	if value == "" {
		l.errorAt(l.position.column(name), name, "the field is empty", "give its value after =")
	}
	return value
}

// requiredInt returns the value of a required integer field.
func (l *lineParser) requiredInt(name string) int {
	value := l.requiredText(name)
	if value == "" {
		return 0
	}
	return l.atoi(name, value, value, "want a whole number")
}

// requiredPercent returns the value of a required field that holds an integer
// followed by %.
func (l *lineParser) requiredPercent(name string) int {
	value := l.requiredText(name)
	if value == "" {
		return 0
	}
	digits, ok := strings.CutSuffix(value, "%")
	if !ok {
		digits = ""
	}
	return l.atoi(name, value, digits, "want a whole number of percent, as in 80%")
}

// atoi converts digits, and reports value as the invalid text on failure.
func (l *lineParser) atoi(name, value, digits, want string) int {
	n, err := strconv.Atoi(digits)
	if err != nil {
		l.errorAt(l.position.column(name), name, fmt.Sprintf("%q is no number", value), want)
	}
	return n
}

// yesNo returns the value of a yes or no field, which defaults to no.
func (l *lineParser) yesNo(name string) bool {
	value, ok := l.values[name]
	if ok && value != "yes" && value != "no" {
		l.errorAt(l.position.column(name), name, fmt.Sprintf("%q is neither yes nor no", value), "want yes or no")
	}
	return value == "yes"
}

// duration returns the value of a duration field, or fallback if the line doesn't
// set it.
func (l *lineParser) duration(name string, fallback time.Duration) time.Duration {
	value, ok := l.values[name]
	if !ok {
		return fallback
	}
	d, err := time.ParseDuration(value)
	if err != nil {
		l.errorAt(l.position.column(name), name, fmt.Sprintf("%q is no duration", value), "want a number with its unit, as in 10s or 500ms")
	}
	return d
}
