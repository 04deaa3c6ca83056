package msrule

import (
	"fmt"
	"io"
	"strings"
	"unicode/utf8"
)

const (
	// MaxFile is the longest rules file, in bytes.
	MaxFile = 1 << 20
	// MaxLine is the longest line, in bytes.
	MaxLine = 8 << 10
)

// Fields of errors that aren't fields of a rule.
const (
	fieldFile = "file"
	fieldLine = "line"
	fieldKind = "kind"
	fieldName = "name"
)

// allTeams stands for every team of the file in the teams of a queue.
const allTeams = "all"

// Parse reads a rules file and checks it. Its error is Errors, with all the
// faults of the file; file is the name that they are reported under.
func Parse(file string, r io.Reader) (Set, error) {
	data, err := io.ReadAll(io.LimitReader(r, MaxFile+1))
	if err != nil {
		return Set{}, Errors{{File: file, Field: fieldFile, Reason: err.Error(), Want: "want a readable file"}}
	}
	if len(data) > MaxFile {
		return Set{}, Errors{{
			File: file, Field: fieldFile, Reason: "the file is too long",
			Want: fmt.Sprintf("want at most %d bytes", MaxFile),
		}}
	}
	p := parser{file: file, places: map[ruleIndex]place{}, faulty: map[lineField]bool{}}
	for i, text := range strings.Split(string(data), "\n") {
		p.line(i+1, strings.TrimSuffix(text, "\r"))
	}
	return p.finish()
}

// parser collects the rules and faults of a file.
type parser struct {
	file   string
	set    Set
	places map[ruleIndex]place
	// faulty are the fields that can't be read. They aren't checked further.
	faulty map[lineField]bool
	errs   Errors
}

// lineField is a field of a line.
type lineField struct {
	line  int
	field string
}

// ruleIndex names a rule by its kind and its index among them, which is unique
// even where names are not.
type ruleIndex struct {
	kind  string
	index int
}

// place is where the parts of a rule stand in the file.
type place struct {
	line    int
	columns map[string]int
}

// column returns the column of a field, or that of the rule where the line
// doesn't give the field.
func (p place) column(field string) int {
	if c, ok := p.columns[field]; ok {
		return c
	}
	return p.columns[fieldKind]
}

// word is a run of characters between blanks.
type word struct {
	text   string
	column int
}

// finish resolves what depends on the whole file and checks the set.
func (p *parser) finish() (Set, error) {
	for i, q := range p.set.Queues {
		if len(q.Teams) == 1 && q.Teams[0] == allTeams {
			p.set.Queues[i].Teams = p.set.teamNames()
		}
	}
	c := checker{set: p.set, file: p.file, places: p.places, faulty: p.faulty, errs: p.errs}
	c.check()
	if err := c.errs.orNil(); err != nil {
		return Set{}, err
	}
	return p.set, nil
}

// line reads one line of the file.
func (p *parser) line(n int, text string) {
	if len(text) > MaxLine {
		reason := fmt.Sprintf("the line is %d bytes long", len(text))
		p.add(n, MaxLine+1, fieldLine, reason, fmt.Sprintf("want at most %d bytes", MaxLine))
		return
	}
	if at, reason := badCharacter(text); reason != "" {
		p.add(n, at, fieldLine, reason, "remove it")
		return
	}
	if i := secretIndex(text); i >= 0 {
		p.add(n, utf8.RuneCountInString(text[:i])+1, fieldLine, secretShown, secretAdvice)
		return
	}
	text, comment, _ := strings.Cut(text, "#")
	words := split(text)
	if len(words) == 0 {
		return
	}
	l := lineReader{p: p, number: n, origin: Origin{Line: n, AskedBy: strings.TrimSpace(comment)}}
	if l.origin.AskedBy == "" {
		p.add(n, utf8.RuneCountInString(text)+1, fieldAskedBy, "the line doesn't say who asked for the rule", "end it with # and a name")
	}
	l.read(words)
}

func (p *parser) add(line, column int, field, reason, want string) {
	p.faulty[lineField{line, field}] = true
	p.errs = append(p.errs, Error{File: p.file, Line: line, Column: column, Field: field, Reason: reason, Want: want})
}

// split returns the words of a line without its comment.
func split(text string) []word {
	var words []word
	column, start := 0, -1
	flush := func(end int) {
		if start >= 0 {
			words = append(words, word{text[start:end], column})
		}
		start = -1
	}
	n := 0
	for i, c := range text {
		n++
		if c == ' ' || c == '\t' {
			flush(i)
			continue
		}
		if start < 0 {
			start, column = i, n
		}
	}
	flush(len(text))
	return words
}
