package msrule

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// DefaultDeadline is the deadline of a queue whose rule gives none.
const DefaultDeadline = 10 * time.Second

// kind is a kind of rule: its fields and how a line of it is read.
type kind struct {
	fields []string
	read   func(l *lineReader)
}

var kinds = map[string]kind{
	kindDataCentre: {[]string{"region"}, (*lineReader).dataCentre},
	kindPool:       {[]string{"size", "slots", "connections", "available", "spare"}, (*lineReader).pool},
	kindVM:         {[]string{"pool"}, (*lineReader).vm},
	kindTeam:       {[]string{"share", "limit"}, (*lineReader).team},
	kindQueue:      {[]string{"pool", "teams", "open", "idempotent", "urgent", "deadline"}, (*lineReader).queue},
	kindKey:        {[]string{"team", "digest"}, (*lineReader).key},
}

// lineReader turns the words of one line into a rule.
type lineReader struct {
	p      *parser
	number int
	origin Origin
	name   string
	values map[string]string
	place  place
}

// read adds the rule of the line to the set, also where some of its fields are
// wrong, so that other rules may refer to it.
func (l *lineReader) read(words []word) {
	k, ok := kinds[words[0].text]
	if !ok {
		known := slices.Sorted(maps.Keys(kinds))
		l.fault(words[0].column, fieldKind, fmt.Sprintf("%q is no kind of rule", words[0].text), Suggest(words[0].text, known))
		return
	}
	l.place = place{l.number, map[string]int{fieldKind: words[0].column}}
	l.values = map[string]string{}
	words = words[1:]
	if len(words) == 0 || strings.Contains(words[0].text, "=") {
		l.fault(l.place.column(fieldName), fieldName, "the rule has no name", "want the name after the kind")
	} else {
		l.name = words[0].text
		l.place.columns[fieldName] = words[0].column
		words = words[1:]
	}
	for _, w := range words {
		l.field(w, k.fields)
	}
	k.read(l)
}

// field keeps the value of a key=value.
func (l *lineReader) field(w word, known []string) {
	name, value, ok := strings.Cut(w.text, "=")
	switch {
	case !ok || name == "":
		l.fault(w.column, fieldLine, fmt.Sprintf("%q is no field", w.text), "want key=value")
	case !slices.Contains(known, name):
		l.fault(w.column, name, "unknown field", Suggest(name, known))
	case l.place.columns[name] != 0:
		l.fault(w.column, name, "the field is given twice", "give it once")
	default:
		l.place.columns[name] = w.column
		l.values[name] = value
	}
}

func (l *lineReader) fault(column int, field, reason, want string) {
	l.p.add(l.number, column, field, reason, want)
}

// located remembers where the rule stands, for the checks of the whole set.
func (l *lineReader) located(kind string, index int) {
	l.p.places[ruleIndex{kind, index}] = l.place
}

func (l *lineReader) dataCentre() {
	s := &l.p.set
	l.located(kindDataCentre, len(s.DataCentres))
	s.DataCentres = append(s.DataCentres, DataCentre{Name: l.name, Region: l.text("region"), Origin: l.origin})
}

func (l *lineReader) pool() {
	s := &l.p.set
	l.located(kindPool, len(s.Pools))
	s.Pools = append(s.Pools, Pool{
		Name:        l.name,
		Size:        l.integer("size"),
		Slots:       l.integer("slots"),
		Connections: l.integer("connections"),
		Available:   l.percent("available"),
		Spare:       l.yesNo("spare"),
		Origin:      l.origin,
	})
}

func (l *lineReader) vm() {
	s := &l.p.set
	l.located(kindVM, len(s.VMs))
	s.VMs = append(s.VMs, VM{Name: l.name, Pool: l.text("pool"), Origin: l.origin})
}

func (l *lineReader) team() {
	s := &l.p.set
	l.located(kindTeam, len(s.Teams))
	s.Teams = append(s.Teams, Team{Name: l.name, Share: l.integer("share"), Limit: l.integer("limit"), Origin: l.origin})
}

func (l *lineReader) queue() {
	s := &l.p.set
	l.located(kindQueue, len(s.Queues))
	s.Queues = append(s.Queues, Queue{
		Name:       l.name,
		Pool:       l.text("pool"),
		Teams:      strings.Split(l.text("teams"), ","),
		Open:       l.yesNo("open"),
		Idempotent: l.yesNo("idempotent"),
		Urgent:     l.yesNo("urgent"),
		Deadline:   l.duration("deadline", DefaultDeadline),
		Origin:     l.origin,
	})
}

func (l *lineReader) key() {
	s := &l.p.set
	l.located(kindKey, len(s.Keys))
	s.Keys = append(s.Keys, Key{ID: l.name, Team: l.text("team"), Digest: l.text("digest"), Origin: l.origin})
}

// text returns a field that must be given.
func (l *lineReader) text(name string) string {
	value, ok := l.values[name]
	if !ok {
		l.fault(l.place.column(name), name, "the field is missing", "give "+name+"=")
		return ""
	}
	if value == "" {
		l.fault(l.place.column(name), name, "the field is empty", "give its value after =")
	}
	return value
}

// integer returns a whole number that must be given.
func (l *lineReader) integer(name string) int {
	value := l.text(name)
	if value == "" {
		return 0
	}
	return l.atoi(name, value, value, "want a whole number")
}

// percent returns a whole number of percent that must be given.
func (l *lineReader) percent(name string) int {
	value := l.text(name)
	if value == "" {
		return 0
	}
	digits, ok := strings.CutSuffix(value, "%")
	if !ok {
		digits = ""
	}
	return l.atoi(name, value, digits, "want a whole number of percent, as in 80%")
}

func (l *lineReader) atoi(name, value, digits, want string) int {
	n, err := strconv.Atoi(digits)
	if err != nil {
		l.fault(l.place.column(name), name, fmt.Sprintf("%q is no number", value), want)
	}
	return n
}

// yesNo returns a field that is no unless given.
func (l *lineReader) yesNo(name string) bool {
	value, ok := l.values[name]
	if ok && value != "yes" && value != "no" {
		l.fault(l.place.column(name), name, fmt.Sprintf("%q is neither yes nor no", value), "want yes or no")
	}
	return value == "yes"
}

// duration returns a duration, or preset where the line gives none.
func (l *lineReader) duration(name string, preset time.Duration) time.Duration {
	value, ok := l.values[name]
	if !ok {
		return preset
	}
	d, err := time.ParseDuration(value)
	if err != nil {
		l.fault(l.place.column(name), name, fmt.Sprintf("%q is no duration", value), "want a number with its unit, as in 10s or 500ms")
	}
	return d
}
