package msrule

import (
	"fmt"
	"io"
	"strings"
	"unicode/utf8"
)

const (
	// MaxFileSize is the maximum size of a rules file, in bytes.
	MaxFileSize = 1 << 20
	// MaxLineLength is the maximum length of a line, in bytes.
	MaxLineLength = 8 << 10
)

// Values of Error.Field that aren't fields of a rule.
const (
	fieldFile = "file"
	fieldLine = "line"
	fieldKind = "kind"
	fieldName = "name"
)

// allTeams is the value of a queue's teams field that means every team in the
// file.
const allTeams = "all"

// Parse reads and checks a rules file. On failure it returns Errors with every
// error in the file; file is the name used in their positions.
func Parse(file string, r io.Reader) (Set, error) {
	data, err := io.ReadAll(io.LimitReader(r, MaxFileSize+1))
	if err != nil {
		return Set{}, Errors{{File: file, Field: fieldFile, Reason: err.Error(), Want: "want a readable file"}}
	}
	if len(data) > MaxFileSize {
		return Set{}, Errors{{
			File: file, Field: fieldFile, Reason: "the file is too long",
			Want: fmt.Sprintf("want at most %d bytes", MaxFileSize),
		}}
	}
	p := parser{file: file, positions: map[ruleIndex]position{}, invalidFields: map[lineField]bool{}}
	for i, text := range strings.Split(string(data), "\n") {
		p.parseLine(i+1, strings.TrimSuffix(text, "\r"))
	}
	return p.finish()
}

// parser collects the rules and errors of a file.
type parser struct {
	file      string
	set       Set
	positions map[ruleIndex]position
	// invalidFields are the fields that could not be parsed. The checker skips
	// them, so that each is reported only once.
	invalidFields map[lineField]bool
	errs          Errors
}

// lineField identifies a field by its line number and name.
type lineField struct {
	line  int
	field string
}

// ruleIndex identifies a rule by its kind and its index among the rules of that
// kind. Unlike the name, it is unique even in a file with duplicate names.
type ruleIndex struct {
	kind  string
	index int
}

// position is the line of a rule and the columns of its kind, name and fields.
type position struct {
	line    int
	columns map[string]int
}

// column returns the column of a field, or the column of the rule's kind if the
// line doesn't set the field.
func (p position) column(field string) int {
	if c, ok := p.columns[field]; ok {
		return c
	}
	return p.columns[fieldKind]
}

// token is a run of characters between spaces or tabs.
type token struct {
	text   string
	column int
}

// finish resolves teams=all, which needs every team of the file, and checks the
// set.
func (p *parser) finish() (Set, error) {
	for i, q := range p.set.Queues {
		if len(q.Teams) == 1 && q.Teams[0] == allTeams {
			p.set.Queues[i].Teams = p.set.teamNames()
		}
	}
	c := checker{set: p.set, file: p.file, positions: p.positions, invalidFields: p.invalidFields, errs: p.errs}
	c.check()
	if err := c.errs.errorOrNil(); err != nil {
		return Set{}, err
	}
	return p.set, nil
}

// parseLine parses one line of the file. n is the line number, from 1.
func (p *parser) parseLine(n int, text string) {
	if len(text) > MaxLineLength {
		reason := fmt.Sprintf("the line is %d bytes long", len(text))
		p.addError(n, MaxLineLength+1, fieldLine, reason, fmt.Sprintf("want at most %d bytes", MaxLineLength))
		return
	}
	if at, reason := badCharacter(text); reason != "" {
		p.addError(n, at, fieldLine, reason, "remove it")
		return
	}
	if i := secretIndex(text); i >= 0 {
		p.addError(n, utf8.RuneCountInString(text[:i])+1, fieldLine, secretExposed, secretAdvice)
		return
	}
	text, comment, _ := strings.Cut(text, "#")
	tokens := tokenize(text)
	if len(tokens) == 0 {
		return
	}
	l := lineParser{p: p, line: n, origin: Origin{Line: n, AskedBy: strings.TrimSpace(comment)}}
	if l.origin.AskedBy == "" {
		p.addError(n, utf8.RuneCountInString(text)+1, fieldAskedBy, "the line doesn't say who asked for the rule", "end it with # and a name")
	}
	l.parse(tokens)
}

// addError records an error and marks the field as not parsed.
func (p *parser) addError(line, column int, field, reason, want string) {
	p.invalidFields[lineField{line, field}] = true
	p.errs = append(p.errs, Error{File: p.file, Line: line, Column: column, Field: field, Reason: reason, Want: want})
}

// tokenize splits a line, without its comment, at spaces and tabs.
func tokenize(text string) []token {
	var tokens []token
	column, start := 0, -1
	flush := func(end int) {
		if start >= 0 {
			tokens = append(tokens, token{text[start:end], column})
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
	return tokens
}
